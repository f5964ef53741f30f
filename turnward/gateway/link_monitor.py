# SPDX-License-Identifier: BSD-3-Clause
"""Reports when this router loses its links to a pool's endpoints, and what its peers tell."""

from collections.abc import Callable

from turnward.gateway.choice import EndpointBook
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.pool_links import PoolLinks

__all__ = ["LinkMonitor"]


class LinkMonitor:
    """Watches the links to all pools.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    endpoints : EndpointBook
        The endpoints of each pool.
    book : PeerBook
        Peers, whose digests name the pools that they reach no endpoint of.
    metrics, log
        Receivers of the reports.

    Attributes
    ----------
    links : PoolLinks
        State of the links.
    """

    def __init__(
        self, clock: Callable[[], float], endpoints: EndpointBook, book: PeerBook, metrics, log
    ):
        self._endpoints = endpoints
        self._book = book
        self._metrics = metrics
        self._log = log
        self.links = PoolLinks(clock, self._count_accepting)

    def _count_accepting(self, pool: str) -> int:
        return len(self._endpoints.accepting(pool, set()))

    def opened(self, record: EndpointRecord) -> None:
        """Record a connection that was opened to an endpoint."""
        pool = record.entry.pool
        lost_for_s = self.links.note_opened(pool)
        if lost_for_s is None:
            return
        self._metrics.links_lost.labels(pool).set(0)
        self._log.belief(
            "pool.links_regained",
            pool=pool,
            endpoint=record.incarnation,
            lasted_s=round(lost_for_s, 3),
        )

    def responded(self, record: EndpointRecord) -> None:
        """Record a response of an endpoint."""
        self.links.note_responded(record.entry.pool)

    def failed(self, record: EndpointRecord) -> None:
        """Record an endpoint that can't be reached, or lost a request without a response."""
        pool = record.entry.pool
        if not self.links.note_failed(pool, record.incarnation):
            return
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
