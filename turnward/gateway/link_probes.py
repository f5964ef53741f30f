# SPDX-License-Identifier: BSD-3-Clause
"""Opens connections to endpoints to find out whether this router's links to a pool work.

Nothing is sent on them: a request that is lost on a broken link may have run.
"""

import random
from collections.abc import Callable

from turnward.gateway.choice import EndpointBook
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.pool_links import PoolLinks
from turnward.http1 import ExchangeBase, ExchangeFailure, OutboundConnection

__all__ = ["LinkProbes"]

#: Endpoints probed in the first round and in each later one. One that has crashed alone is told
#: from a broken network by few others.
_PROBED_FIRST = 2
_PROBED_LATER = 4
#: Time within which a connection of a probe must open. A probe that gives up early costs a relay.
_CONNECT_TIMEOUT_S = 0.3
#: Time between two rounds of probes, until the links count as lost and from then on, and the range
#: of its random factor.
_PAUSE_S = 0.01
_INTERVAL_S = 0.5
_JITTER = (0.8, 1.2)


class _Probe(ExchangeBase):
    """One connection that is opened and closed unused."""

    def __init__(self, record: EndpointRecord, on_result: Callable[[EndpointRecord, bool], None]):
        self._record = record
        self._on_result = on_result

    def exchange_started(self, connection: OutboundConnection) -> None:
        connection.drop()
        self._on_result(self._record, True)

    def exchange_failed(self, failure: ExchangeFailure) -> None:
        self._on_result(self._record, False)

    def head_received(self, status, headers):
        """Do nothing; nothing is sent."""

    def body_received(self, data):
        """Do nothing; nothing is sent."""

    def response_ended(self):
        """Do nothing; nothing is sent."""


class LinkProbes:
    """The probes of this router's links.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    endpoints : EndpointBook
        The endpoints of each pool.
    links : PoolLinks
        Tells which endpoints have failed, and whether the links to a pool count as lost.
    on_result : callable
        Called with each endpoint probed, whether a connection opened, and how long that took in
        seconds.
    added_timeout_s : callable
        Returns the time that connections get in addition to open.
    rng : random.Random
        Chooses the endpoints, and adds jitter.
    """

    def __init__(
        self,
        reactor,
        endpoints: EndpointBook,
        links: PoolLinks,
        on_result: Callable[[EndpointRecord, bool, float], None],
        added_timeout_s: Callable[[], float],
        rng: random.Random,
    ):
        self._reactor = reactor
        self._endpoints = endpoints
        self._links = links
        self._on_result = on_result
        self._added_timeout_s = added_timeout_s
        self._rng = rng
        #: Pools that are being probed, with the probes of the present round that are not over.
        self._pending: dict[str, int] = {}
        self._round_began_s: dict[str, float] = {}
        #: Pools of which a probe of the present round has opened a connection.
        self._reached: set[str] = set()

    def suspect(self, pool: str) -> None:
        """Probe a pool until a connection opens, unless it is being probed."""
        if pool not in self._pending:
            self._begin_round(pool, _PROBED_FIRST)

    def _begin_round(self, pool: str, count: int) -> None:
        probed = self._choose(pool, count)
        self._reached.discard(pool)
        self._pending[pool] = len(probed)
        self._round_began_s[pool] = self._reactor.seconds()
        if not probed:
            self._end_round(pool)
        for record in probed:
            timeout_s = _CONNECT_TIMEOUT_S + self._added_timeout_s()
            record.pool.open(_Probe(record, self._probe_ended), timeout_s)

    def _choose(self, pool: str, count: int) -> list[EndpointRecord]:
        """Return the endpoints to probe, first those that have not failed until all have."""
        records = self._endpoints.accepting(pool, set())
        self._rng.shuffle(records)
        if not self._links.is_lost(pool):
            failed = self._links.failed_endpoints(pool)
            records.sort(key=lambda record: record.incarnation in failed)
        return records[:count]

    def _probe_ended(self, record: EndpointRecord, opened: bool) -> None:
        pool = record.entry.pool
        if opened:
            self._reached.add(pool)
        waited_s = self._reactor.seconds() - self._round_began_s[pool]
        self._on_result(record, opened, waited_s)
        self._pending[pool] -= 1
        if not self._pending[pool]:
            self._end_round(pool)

    def _end_round(self, pool: str) -> None:
        lost = self._links.is_lost(pool)
        vanished = not lost and not self._endpoints.accepting(pool, set())
        if pool in self._reached or vanished:
            del self._pending[pool]
            return
        delay_s = (_INTERVAL_S if lost else _PAUSE_S) * self._rng.uniform(*_JITTER)
        self._reactor.callLater(delay_s, self._begin_round, pool, _PROBED_LATER)
