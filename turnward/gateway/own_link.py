# SPDX-License-Identifier: BSD-3-Clause
"""The delay of this router's own link, measured by how long connections take to open.

Connections to all destinations pass the own link. If even the fastest of them opens slowly, packets
wait at the own link. Datagrams don't show it: a network may let them pass what waits.
"""

from collections import deque
from collections.abc import Callable

from turnward.gateway.peer_book import PeerBook
from turnward.http1 import ExchangeBase, ExchangeFailure, OutboundConnection, OutboundPool
from turnward.link_use import LinkUse

__all__ = ["BUSY_S", "CHECK_INTERVAL_S", "OwnLink"]

#: Interval in which the delay is checked.
CHECK_INTERVAL_S = 0.1
#: Time in which the fastest opening counts, and after which one is probed if there was none.
_WINDOW_S = 0.5
#: Delay from which the link is busy, so that more requests would only wait there.
BUSY_S = 0.1
#: Time for which the link counts as busy as it was while no connection opens.
_HOLD_S = 1.0
#: Time without any message of a peer from which this router may be cut off from all of them.
_SILENT_AFTER_S = 1.0
#: Time between two probes, time in which one must open, and the probes that wait at most.
_PROBE_INTERVAL_S = 0.2
_PROBE_TIMEOUT_S = 5.0
_MAX_PROBES = 32
#: Probes that must wait to show a delay; a single one may wait for a peer that has crashed.
_PROBES_TO_SHOW = 2
#: Most openings that are remembered.
_MAX_OPENINGS = 256
#: Time for which the longest delay is remembered.
_PEAK_S = 2.5


class _Probe(ExchangeBase):
    """One connection that is opened and closed unused."""

    def __init__(self, on_end):
        self._on_end = on_end

    def exchange_started(self, connection: OutboundConnection) -> None:
        connection.drop()
        self._on_end(self)

    def exchange_failed(self, failure: ExchangeFailure) -> None:
        self._on_end(self)

    def head_received(self, status, headers):
        """Do nothing; nothing is sent."""

    def body_received(self, data):
        """Do nothing; nothing is sent."""

    def response_ended(self):
        """Do nothing; nothing is sent."""


class OwnLink:
    """The delay of the own link.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    book : PeerBook
        Peers, to which connections are opened while the link is busy.
    log
        Receiver of the changes.
    """

    def __init__(self, reactor, book: PeerBook, log):
        self._reactor = reactor
        self._book = book
        self._log = log
        #: When connections have opened, and in which time, both in seconds.
        self._openings: deque[tuple[float, float]] = deque(maxlen=_MAX_OPENINGS)
        self._known_delay_s = 0.0
        self._known_at_s = reactor.seconds()
        self._probes_started_s: dict[_Probe, float] = {}
        self._probed_s = reactor.seconds()
        self._probes = 0
        self._busy_since_s: float | None = None
        #: Delays at the latest checks, and when those were, both in seconds.
        self._checked: deque[tuple[float, float]] = deque()
        self.link_use = LinkUse()
        self.link_use.on_opened = self.note_opened
        #: Returns when the latest message of a peer came, in seconds.
        self.heard_s: Callable[[], float] = lambda: 0.0

    def note_opened(self, opened_in_s: float) -> None:
        """Record a connection to another machine, and in which time it opened."""
        self._openings.append((self._reactor.seconds(), opened_in_s))

    @property
    def delay_s(self) -> float:
        """The delay; 0 if it is not known."""
        now_s = self._reactor.seconds()
        while self._openings and self._openings[0][0] < now_s - _WINDOW_S:
            self._openings.popleft()
        if self._openings:
            self._known_delay_s = min(opened_in_s for _, opened_in_s in self._openings)
            self._known_at_s = now_s
            return self._known_delay_s
        if now_s - self.heard_s() > _SILENT_AFTER_S:
            return 0.0
        held_s = self._known_delay_s if now_s - self._known_at_s < _HOLD_S else 0.0
        return max(held_s, self._waited_s(now_s))

    def _waited_s(self, now_s: float) -> float:
        """Return how long several probes have waited to open."""
        started_s = sorted(self._probes_started_s.values())
        if len(started_s) < _PROBES_TO_SHOW:
            return 0.0
        return now_s - started_s[_PROBES_TO_SHOW - 1]

    @property
    def peak_delay_s(self) -> float:
        """The longest delay of the last few seconds, in which a connection may have waited."""
        return max((delay_s for _, delay_s in self._checked), default=0.0)

    @property
    def waiting_s(self) -> float:
        """For how long packets wait at the link; 0 unless it is busy."""
        delay_s = self.delay_s
        return delay_s if delay_s >= BUSY_S else 0.0

    @property
    def delay_ms(self) -> int:
        """The delay in whole milliseconds."""
        return round(1_000 * self.delay_s)

    def check(self) -> None:
        """Log changes, and probe if no connection has opened lately; to be called regularly."""
        now_s = self._reactor.seconds()
        delay_s = self.delay_s
        busy = delay_s >= BUSY_S
        self._checked.append((now_s, delay_s))
        while self._checked[0][0] < now_s - _PEAK_S:
            self._checked.popleft()
        if busy and self._busy_since_s is None:
            self._busy_since_s = now_s
            self._log.belief("link.delayed", delay_ms=self.delay_ms)
        elif not busy and self._busy_since_s is not None:
            lasted_s = round(now_s - self._busy_since_s, 3)
            self._busy_since_s = None
            self._log.belief("link.free", delay_ms=self.delay_ms, lasted_s=lasted_s)
        if (busy or not self._openings) and now_s - self._probed_s >= _PROBE_INTERVAL_S:
            self._probed_s = now_s
            self._probe()

    def _probe(self) -> None:
        """Open a connection to a peer."""
        peers = self._book.live() or self._book.members
        if not peers or len(self._probes_started_s) >= _MAX_PROBES:
            return
        self._probes += 1
        host, _, port = peers[self._probes % len(peers)].address.rpartition(":")
        pool = OutboundPool(
            self._reactor, (host, int(port)), _PROBE_TIMEOUT_S, link_use=self.link_use
        )
        probe = _Probe(lambda ended: self._probes_started_s.pop(ended, None))
        self._probes_started_s[probe] = self._reactor.seconds()
        pool.open(probe)
