# SPDX-License-Identifier: BSD-3-Clause
"""Finds out and reports when this router loses its links to a pool's endpoints."""

import random
from collections import deque
from collections.abc import Callable

import msgspec

from turnward.gateway.choice import EndpointBook
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.link_probes import LinkProbes
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.pool_links import SILENT_S, PoolLinks

__all__ = ["LinkMonitor"]

#: Pools announced to peers at most, so that a message fits a datagram.
_MAX_ANNOUNCED = 16
#: Time for which an endpoint that was reached shows that its pool is.
_REACHED_LIFETIME_S = 1.0
#: Delays of the own link within which a connection opens, while the delay may be growing.
_DELAYS_TO_OPEN = 2.0
#: Failures that wait for the delay of the own link at most, and how long they do.
_MAX_UNJUDGED = 256
_JUDGED_WITHIN_S = 1.0
#: Longest time that connections get in addition.
_MAX_ADDED_TIMEOUT_S = 1.5


class _UnjudgedFailure(msgspec.Struct, frozen=True):
    """A connection that was not answered in time while the delay of the own link was not known.

    Attributes
    ----------
    record : EndpointRecord
        The endpoint.
    waited_s : float
        How long the connection was waited for.
    failed_s : float
        When it failed.
    """

    record: EndpointRecord
    waited_s: float
    failed_s: float


class LinkMonitor:
    """Watches the links to all pools.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    endpoints : EndpointBook
        The endpoints of each pool.
    book : PeerBook
        Peers, whose digests name the pools that they reach no endpoint of.
    rng : random.Random
        Chooses the endpoints to probe.
    metrics, log
        Receivers of the reports.

    Attributes
    ----------
    links : PoolLinks
        State of the links.
    """

    def __init__(
        self,
        reactor,
        endpoints: EndpointBook,
        book: PeerBook,
        rng: random.Random,
        metrics,
        log,
    ):
        self._reactor = reactor
        self._endpoints = endpoints
        self._book = book
        self._metrics = metrics
        self._log = log
        self.links = PoolLinks(reactor.seconds, self._count_accepting)
        self._probes = LinkProbes(
            reactor, endpoints, self.links, self._probed, lambda: self.added_timeout_s, rng
        )
        #: Called soon after the links to a pool are lost, with its name.
        self.on_lost: Callable[[str], None] = lambda pool: None
        #: Returns the delay of this router's own link in seconds, now and at most lately, and
        #: whether it is known yet.
        self.link_delay_s: Callable[[], float] = lambda: 0.0
        self.peak_link_delay_s: Callable[[], float] = lambda: 0.0
        #: Returns for how long packets wait at this router's own link, in seconds.
        self.own_link_delay_s: Callable[[], float] = lambda: 0.0
        self.knows_link_delay: Callable[[], bool] = lambda: True
        #: Connections that were not answered in time, until the delay of the own link is known.
        self._unjudged: deque[_UnjudgedFailure] = deque(maxlen=_MAX_UNJUDGED)
        #: Called with each pool that this router may not reach.
        self.on_doubt: Callable[[str], None] = lambda pool: None

    def _count_accepting(self, pool: str) -> int:
        return len(self._endpoints.accepting(pool, set()))

    @property
    def added_timeout_s(self) -> float:
        """Time that connections get in addition to open, as this router's own link is slow."""
        return min(_MAX_ADDED_TIMEOUT_S, _DELAYS_TO_OPEN * self.link_delay_s())

    def unreached_pools(self) -> tuple[str, ...]:
        """Return the pools that this router is no path to, to announce to peers."""
        unreached = {*self.links.lost_pools(), *self._endpoints.unresponsive_pools()}
        return tuple(sorted(unreached)[:_MAX_ANNOUNCED])

    def reaches(self, pool: str) -> bool | None:
        """Return whether this router reaches a pool; None if that is not known.

        If it has not been tried lately, a trial begins.
        """
        if pool in self.unreached_pools() or not self._endpoints.accepting(pool, set()):
            return False
        if self.links.in_doubt(pool):
            return None
        if self.links.reached_since(pool, self._reactor.seconds() - _REACHED_LIFETIME_S):
            return True
        self._probes.suspect(pool)
        return None

    def opened(self, record: EndpointRecord) -> None:
        """Record a connection that was opened to an endpoint."""
        pool = record.entry.pool
        lost_for_s = self.links.note_opened(pool)
        if lost_for_s is None:
            return
        self._metrics.links_lost.labels(pool).set(0)
        for each in self._endpoints.accepting(pool, set()):
            each.availability.forgive_failures()
        self._log.belief(
            "pool.links_regained",
            pool=pool,
            endpoint=record.incarnation,
            lasted_s=round(lost_for_s, 3),
        )

    def responded(self, record: EndpointRecord) -> None:
        """Record a response of an endpoint."""
        self.links.note_responded(record.entry.pool)

    def failed(self, record: EndpointRecord, waited_s: float) -> None:
        """Record an endpoint that can't be reached, and how long that took to show."""
        self._note_failed(record, waited_s)
        self._probes.suspect(record.entry.pool)

    def suspect(self, record: EndpointRecord) -> None:
        """Check the links to the pool of an endpoint that lost a request without a response."""
        pool = record.entry.pool
        self.links.note_request_lost(pool, record.incarnation)
        if self.links.in_doubt(pool):
            self.on_doubt(pool)
        self._probes.suspect(pool)

    def judge_failures(self) -> None:
        """Judge the connections that failed while the delay of the own link was not known."""
        from_s = self._reactor.seconds() - _JUDGED_WITHIN_S
        unjudged = list(self._unjudged)
        self._unjudged.clear()
        for failure in unjudged:
            if failure.failed_s >= from_s:
                self._note_failed(failure.record, failure.waited_s)

    def _probed(self, record: EndpointRecord, opened: bool, waited_s: float) -> None:
        if opened:
            self.opened(record)
        else:
            self._note_failed(record, waited_s)

    def _note_failed(self, record: EndpointRecord, waited_s: float) -> None:
        pool = record.entry.pool
        if waited_s >= SILENT_S or self.links.failed_endpoints(pool):
            self.on_doubt(pool)
        if waited_s >= SILENT_S and not self.knows_link_delay():
            self._unjudged.append(_UnjudgedFailure(record, waited_s, self._reactor.seconds()))
            return
        delay_s = max(self.link_delay_s(), self.peak_link_delay_s())
        if SILENT_S <= waited_s <= _DELAYS_TO_OPEN * delay_s:
            return
        if not self.links.note_failed(pool, record.incarnation, waited_s):
            return
        for other in {each.entry.pool for each in self._endpoints.all()}:
            self._probes.suspect(other)
        self._reactor.callLater(0, self.on_lost, pool)
        self._metrics.links_lost.labels(pool).set(1)
        digests = [peer.digest for peer in self._book.live()]
        unreached = sum(pool in (digest.unreached or ()) for digest in digests)
        self._log.belief(
            "pool.links_lost",
            pool=pool,
            endpoints=self.links.failed_endpoints(pool),
            peers=len(digests),
            peers_unreached=unreached,
        )
