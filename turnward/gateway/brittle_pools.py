# SPDX-License-Identifier: BSD-3-Clause
"""Bounds how many requests brittle endpoints have to reject for want of room.

A brittle endpoint crashes if it has to reject more requests in a second than it announces, and the
room in its queue may shrink without notice. Any request that it is sent and has not yet accepted
may therefore be rejected. The rejections that it bears are divided among the routers like the rate
of a cold endpoint; a router leaves at most its share of requests unaccepted, and sends nothing for
a second after one was rejected. In any second each router then causes at most its share, whatever
the others do, and no message is needed.

All endpoints of a pool count as brittle once one of them says so.
"""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from turnward.gateway.endpoint_feedback import parse_limit_per_s
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.warm_up import WarmUpShares
from turnward.http1 import HeaderList, header_values

__all__ = ["BrittlePools"]

#: Time for which a pool counts as brittle after a response last said so.
_BRITTLE_S = 10.0
#: Time after a rejection in which the router sends the endpoint nothing: the second over which the
#: endpoint counts, and a margin for the clocks of two machines.
_PAUSE_S = 1.05
#: An endpoint that sends anything this long after it was sent a request has not rejected it.
_ACCEPTED_AFTER_S = 0.05
#: Time after which a request counts as accepted at an endpoint that sends nothing.
_MAX_UNACCEPTED_S = 3.0
#: Endpoints of a pool remembered, as those that restart get new incarnations.
_MAX_ENDPOINTS = 10_000


class _Endpoint:
    """What one router has sent a brittle endpoint."""

    __slots__ = ("paused_until_s", "unaccepted_s")

    def __init__(self):
        self.paused_until_s = -1e9
        #: When the requests were sent that it may still reject.
        self.unaccepted_s: deque[float] = deque()

    def note_answered(self, sent_s: float) -> None:
        """Drop the request that was sent at a given time, which has its own response."""
        if sent_s in self.unaccepted_s:
            self.unaccepted_s.remove(sent_s)

    def drop_sent_before(self, time_s: float) -> None:
        """Drop the requests that were sent by a given time."""
        while self.unaccepted_s and self.unaccepted_s[0] <= time_s:
            self.unaccepted_s.popleft()


class _Pool:
    """A pool whose endpoints have said that they are brittle."""

    __slots__ = ("endpoints", "heard_s", "rejections_per_s")

    def __init__(self):
        #: By incarnation, in the order in which they were first used.
        self.endpoints: OrderedDict[str, _Endpoint] = OrderedDict()
        self.heard_s = -1e9
        self.rejections_per_s = 1.0


class BrittlePools:
    """The brittle pools as one router knows them.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    shares : WarmUpShares
        Divides what an endpoint bears among the routers.
    header_name : bytes
        Header in which an endpoint says how many rejections in a second it bears.
    on_change : callable
        Called with a pool and the rejections in a second that its endpoints bear, when a response
        says so for the first time or names another number.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        shares: WarmUpShares,
        header_name: bytes,
        on_change: Callable[[str, float], None],
    ):
        self._clock = clock
        self._shares = shares
        self._header_name = header_name
        self._on_change = on_change
        self._pools: dict[str, _Pool] = {}

    def note_response(
        self, record: EndpointRecord, headers: HeaderList, sent_s: float, rejected: bool
    ) -> None:
        """Apply the head of the response to a request that was sent at a given time."""
        rejections_per_s = parse_limit_per_s(header_values(headers, self._header_name))
        if rejections_per_s is not None:
            self._note_brittle(record.entry.pool, rejections_per_s)
        endpoint = self._endpoint(record)
        if endpoint is None:
            return
        endpoint.note_answered(sent_s)
        if rejected:
            endpoint.paused_until_s = self._clock() + _PAUSE_S
        else:
            self.note_heard(record)

    def _note_brittle(self, pool_name: str, rejections_per_s: float) -> None:
        now_s = self._clock()
        pool = self._pools.setdefault(pool_name, _Pool())
        known = now_s - pool.heard_s < _BRITTLE_S
        changed = not known or pool.rejections_per_s != rejections_per_s
        pool.heard_s = now_s
        pool.rejections_per_s = rejections_per_s
        if changed:
            self._on_change(pool_name, rejections_per_s)

    def note_heard(self, record: EndpointRecord) -> None:
        """Note that an endpoint sends something, so it has accepted what it got before that."""
        endpoint = self._endpoint(record)
        if endpoint is not None:
            endpoint.drop_sent_before(self._clock() - _ACCEPTED_AFTER_S)

    def note_sent(self, record: EndpointRecord, sent_s: float) -> None:
        """Note that an endpoint is sent a request."""
        endpoint = self._endpoint(record)
        if endpoint is not None:
            endpoint.unaccepted_s.append(sent_s)

    def permits(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint may be sent a request now."""
        endpoint = self._endpoint(record)
        if endpoint is None:
            return True
        now_s = self._clock()
        endpoint.drop_sent_before(now_s - _MAX_UNACCEPTED_S)
        if now_s < endpoint.paused_until_s:
            return False
        return len(endpoint.unaccepted_s) < self._share(record)

    def _share(self, record: EndpointRecord) -> int:
        """Return how many requests of this router an endpoint may have to reject in a second."""
        pool = self._pools[record.entry.pool]
        allowance = self._shares.allowance(record.endpoint_id, pool.rejections_per_s)
        return int(1 / allowance.interval_s)

    def withholds(self, records: Iterable[EndpointRecord]) -> bool:
        """Return whether some endpoint may not be sent a request now."""
        return any(not self.permits(record) for record in records)

    def _endpoint(self, record: EndpointRecord) -> _Endpoint | None:
        """Return the state of an endpoint, None if its pool is not brittle."""
        pool = self._pools.get(record.entry.pool)
        if pool is None:
            return None
        if self._clock() - pool.heard_s >= _BRITTLE_S:
            del self._pools[record.entry.pool]
            return None
        endpoint = pool.endpoints.get(record.incarnation)
        if endpoint is None:
            endpoint = pool.endpoints[record.incarnation] = _Endpoint()
            while len(pool.endpoints) > _MAX_ENDPOINTS:
                pool.endpoints.popitem(last=False)
        return endpoint
