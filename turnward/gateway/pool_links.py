# SPDX-License-Identifier: BSD-3-Clause
"""Whether this router's own links to the endpoints of each pool work.

A connection that can't be opened shows either that the endpoint is down or that the network
between this router and the endpoint is. Several endpoints in a row, with no connection opened to
any other of the pool in between, point to the network.
"""

from collections.abc import Callable

import msgspec

__all__ = ["SILENT_S", "PoolLinks"]

#: Endpoints that must fail, with none reached in between, before the links to their pool count as
#: lost; all of a smaller pool. Some endpoints may have crashed at the same time.
_FAILED_TO_LOSE = 4
#: Endpoints that must lose requests, with no response in between, before a pool is in doubt.
_LOST_TO_DOUBT = 2
#: Time after which the failure of an endpoint no longer counts.
_FAILURE_LIFETIME_S = 5.0
#: Time without an answer to a connection from which the network counts as silent. A host that is
#: reached refuses within a round trip.
SILENT_S = 0.2


class _Links(msgspec.Struct):
    """The links to one pool.

    Attributes
    ----------
    failed_s : dict
        When each endpoint last failed, since a connection was last opened, by incarnation.
    opened_s, responded_s : float
        When a connection was last opened, and when an endpoint last responded.
    lost_s : float or None
        Since when the links count as lost.
    silent : bool
        Whether the latest connection that failed was not answered, rather than refused.
    request_lost_s : dict
        When each endpoint last lost a request, since an endpoint last responded, by incarnation.
    """

    failed_s: dict[str, float]
    request_lost_s: dict[str, float]
    opened_s: float = -1e9
    responded_s: float = -1e9
    lost_s: float | None = None
    silent: bool = False


class PoolLinks:
    """This router's links to the endpoints of all pools.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    endpoint_count : callable
        Returns how many endpoints of a pool accept requests.

    Examples
    --------
    >>> links = PoolLinks(lambda: 10.0, lambda pool: 2)
    >>> links.note_failed("pool", "e-1", 0.5), links.note_failed("pool", "e-2", 0.5)
    (False, True)
    >>> links.is_lost("pool"), links.lost_pools()
    (True, ['pool'])
    >>> links.note_opened("pool")
    0.0
    >>> links.is_lost("pool")
    False
    """

    def __init__(self, clock: Callable[[], float], endpoint_count: Callable[[str], int]):
        self._clock = clock
        self._endpoint_count = endpoint_count
        self._links: dict[str, _Links] = {}

    def _of(self, pool: str) -> _Links:
        return self._links.setdefault(pool, _Links({}, {}))

    def note_opened(self, pool: str) -> float | None:
        """Record an opened connection; return how long the links were lost, None if they weren't.

        The time is in seconds.
        """
        links = self._of(pool)
        links.opened_s = self._clock()
        links.failed_s.clear()
        lost_s, links.lost_s = links.lost_s, None
        return None if lost_s is None else links.opened_s - lost_s

    def note_responded(self, pool: str) -> None:
        """Record a response, which may have come on a connection opened long before."""
        links = self._of(pool)
        links.responded_s = self._clock()
        links.request_lost_s.clear()

    def note_request_lost(self, pool: str, endpoint: str) -> None:
        """Record a request that was sent to an endpoint and lost without a response."""
        self._of(pool).request_lost_s[endpoint] = self._clock()

    def in_doubt(self, pool: str) -> bool:
        """Return whether endpoints lose requests one after the other, and none responds.

        Links that accept connections and reset them later can't be told from that.
        """
        links = self._links.get(pool)
        if links is None:
            return False
        since_s = self._clock() - _FAILURE_LIFETIME_S
        lost = sum(lost_s > since_s for lost_s in links.request_lost_s.values())
        return lost >= _LOST_TO_DOUBT

    def note_failed(self, pool: str, endpoint: str, waited_s: float) -> bool:
        """Record that an endpoint can't be reached; return True if this loses the pool's links.

        ``waited_s`` is how long the connection took to fail.
        """
        now_s = self._clock()
        links = self._of(pool)
        links.failed_s = {
            each: failed_s
            for each, failed_s in links.failed_s.items()
            if now_s - failed_s < _FAILURE_LIFETIME_S
        }
        links.failed_s[endpoint] = now_s
        links.silent = waited_s >= SILENT_S
        required = min(_FAILED_TO_LOSE, max(1, self._endpoint_count(pool)))
        if links.lost_s is not None or len(links.failed_s) < required:
            return False
        links.lost_s = now_s
        return True

    def failed_endpoints(self, pool: str) -> list[str]:
        """Return the incarnations of the endpoints that failed since a connection was opened."""
        return sorted(self._of(pool).failed_s)

    def is_lost(self, pool: str) -> bool:
        """Return whether no endpoint of a pool can be reached."""
        links = self._links.get(pool)
        return links is not None and links.lost_s is not None

    def is_silent(self, pool: str) -> bool:
        """Return whether no endpoint of a pool even refuses connections."""
        return self.is_lost(pool) and self._links[pool].silent

    def lost_pools(self) -> list[str]:
        """Return the pools of which no endpoint can be reached."""
        return sorted(pool for pool, links in self._links.items() if links.lost_s is not None)

    def opened_since(self, pool: str, time_s: float) -> bool:
        """Return whether a connection to a pool was opened since a given time."""
        return self._of(pool).opened_s >= time_s

    def reached_since(self, pool: str, time_s: float) -> bool:
        """Return whether a connection was opened or an endpoint responded since a given time."""
        return self.opened_since(pool, time_s) or self.responded_since(pool, time_s)

    def responded_since(self, pool: str, time_s: float) -> bool:
        """Return whether an endpoint of a pool responded since a given time."""
        return self._of(pool).responded_s >= time_s
