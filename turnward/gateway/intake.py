# SPDX-License-Identifier: BSD-3-Clause
"""Decides which new connections of callers a router takes.

A balancer may hand most new connections to one router. What it can't serve in time is closed
unread, so that its caller tries again at another one.
"""

import resource
from collections.abc import Callable

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
#: Share of the process's descriptors that callers may use; each request may need two more.
_CALLERS_SHARE = 0.3


class Intake:
    """The load of one router's event loop, and what it lets in.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    book : PeerBook
        The peers, with the delays that they tell.
    """

    def __init__(self, clock: Callable[[], float], book: PeerBook):
        self._clock = clock
        self._book = book
        self._checked_s = clock()
        self._delay_s = 0.0
        self._turned_away = 0
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._max_connections = max(1, int(_CALLERS_SHARE * descriptors))

    def check(self) -> None:
        """Measure by how much this call is late; to be called at each ``CHECK_INTERVAL_S``."""
        now_s = self._clock()
        late_s = min(_MAX_LATE_S, max(0.0, now_s - self._checked_s - CHECK_INTERVAL_S))
        self._checked_s = now_s
        self._delay_s += _WEIGHT * (late_s - self._delay_s)

    @property
    def delay_ms(self) -> int:
        """By how much the event loop is late, in milliseconds."""
        return round(self._delay_s * 1_000)

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
