# SPDX-License-Identifier: BSD-3-Clause
"""Decides which new connections of callers a router takes.

A balancer may hand most new connections to one router. What it can't serve in time is closed
unread, so that its caller tries again at another one. A router whose own link stays busy has the
balancer hand new connections to others for some time: what callers send before their connection is
closed would keep the link busy.
"""

import resource
from collections.abc import Callable

from turnward.gateway.own_link import BUSY_S
from turnward.gateway.peer_book import PeerBook

__all__ = ["CHECK_INTERVAL_S", "Intake"]

#: Interval of the checks from which the delay of the event loop is known.
CHECK_INTERVAL_S = 0.05
#: Weight of the latest check in the delay.
_WEIGHT = 0.3
#: Most that one check counts for; a process that was paused once is not overloaded.
_MAX_LATE_S = 0.5
#: Delay from which new connections are closed, and below which peers can take them.
_OVERLOADED_S = 0.25
_RELAXED_S = 0.1
#: While overloaded, one in this many new connections is taken nevertheless: the others may meet
#: this router again, and delays end sooner than they are noticed.
_TAKEN_ONE_IN = 4
#: Time for which the link must be busy before the balancer is asked to spare this router, and for
#: how long it is at first and at most. A link that is busy soon again is spared for twice as long.
_SPARED_AFTER_S = 0.5
_FIRST_SPARED_S = 4.0
_MAX_SPARED_S = 32.0
#: Share of the process's descriptors that callers may use; each request may need two more.
_CALLERS_SHARE = 0.3


class Intake:
    """The load of one router's event loop and link, and what it lets in.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    book : PeerBook
        The peers, with the delays that they tell.
    link_delay_s : callable
        Returns the delay of the own link in seconds.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        book: PeerBook,
        link_delay_s: Callable[[], float] = lambda: 0.0,
    ):
        self._clock = clock
        self._book = book
        self._checked_s = clock()
        self._delay_s = 0.0
        self._link_delay_s = link_delay_s
        self._link_busy_since_s: float | None = None
        self._spared_until_s = clock()
        self._spared_s = 0.0
        self._turned_away = 0
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._max_connections = max(1, int(_CALLERS_SHARE * descriptors))

    def check(self) -> None:
        """Measure by how much this call is late; to be called at each ``CHECK_INTERVAL_S``."""
        now_s = self._clock()
        late_s = min(_MAX_LATE_S, max(0.0, now_s - self._checked_s - CHECK_INTERVAL_S))
        self._checked_s = now_s
        self._delay_s += _WEIGHT * (late_s - self._delay_s)
        self._check_link(now_s)

    def _check_link(self, now_s: float) -> None:
        if self._link_delay_s() < BUSY_S:
            self._link_busy_since_s = None
            return
        if self._link_busy_since_s is None:
            self._link_busy_since_s = now_s
        if now_s - self._link_busy_since_s < _SPARED_AFTER_S or not self._peers_relaxed():
            return
        if now_s >= self._spared_until_s + self._spared_s:
            self._spared_s = _FIRST_SPARED_S
        elif now_s >= self._spared_until_s:
            self._spared_s = min(_MAX_SPARED_S, 2 * self._spared_s)
        self._spared_until_s = now_s + self._spared_s

    @property
    def delay_ms(self) -> int:
        """By how much the event loop or the link is late, in milliseconds."""
        return round(max(self._delay_s, self._link_delay_s()) * 1_000)

    @property
    def spared(self) -> bool:
        """Whether the balancer should hand new connections to other routers for some time."""
        return self._clock() < self._spared_until_s

    def takes(self, open_connections: int) -> bool:
        """Return whether a new connection is served rather than closed unread."""
        if open_connections >= self._max_connections:
            return False
        if self._delay_s < _OVERLOADED_S or not self._peers_relaxed():
            return True
        self._turned_away += 1
        return self._turned_away % _TAKEN_ONE_IN == 0

    def _peers_relaxed(self) -> bool:
        """Return whether most peers that were heard lately are hardly late."""
        delays_ms = [peer.digest.delay_ms for peer in self._book.live() if peer.digest]
        relaxed = sum(delay_ms < _RELAXED_S * 1_000 for delay_ms in delays_ms)
        return bool(delays_ms) and relaxed > len(delays_ms) / 2
