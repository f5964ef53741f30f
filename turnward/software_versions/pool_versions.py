# SPDX-License-Identifier: BSD-3-Clause
"""The software versions whose streams may still be resumed, by pool.

A version that has left the table of endpoints can still own streams: endpoints serve on for a
while, and callers resume a broken stream until their deadline.
"""

import math
from collections.abc import Callable, Iterable, Mapping

__all__ = ["UNKNOWN_VERSION", "PoolVersions", "may_be_same_version"]

#: Version of an endpoint whose entry came from a router that does not pass versions on.
UNKNOWN_VERSION = "\0"


def may_be_same_version(one: str, other: str) -> bool:
    """Return whether two names may stand for one version.

    Examples
    --------
    >>> may_be_same_version("v1", "v2"), may_be_same_version("v1", UNKNOWN_VERSION)
    (False, True)
    """
    return one == other or UNKNOWN_VERSION in (one, other)


class PoolVersions:
    """Versions of each pool, as long as a stream that they began may go on.

    Until the versions of the past are known, e.g. from the store, each pool counts as mixed for as
    long as a stream may last.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    stream_limit_s : callable
        Returns how long after its version has left the table a stream of a pool may still be
        resumed, in seconds; 0 for pools without streams.

    Examples
    --------
    >>> now_s = 0.0
    >>> versions = PoolVersions(lambda: now_s, lambda pool: 40.0)
    >>> versions.add_recorded({})
    >>> versions.set_present({"pool": {"v1", "v2"}})
    >>> versions.is_mixed("pool")
    True
    >>> versions.set_present({"pool": {"v2"}})
    >>> now_s = 39.0
    >>> versions.is_mixed("pool")
    True
    >>> now_s = 41.0
    >>> versions.is_mixed("pool")
    False
    """

    def __init__(self, clock: Callable[[], float], stream_limit_s: Callable[[str], float]):
        self._clock = clock
        self._stream_limit_s = stream_limit_s
        self._started_s = clock()
        self._past_known = False
        #: When each version has left the table, by pool; infinity while it is present.
        self._left_s: dict[str, dict[str, float]] = {}

    def set_present(self, by_pool: Mapping[str, Iterable[str]]) -> None:
        """Replace the versions that are present in the table."""
        now_s = self._clock()
        for pool in self._left_s.keys() - by_pool.keys():
            self._set_present_in(pool, (), now_s)
        for pool, versions in by_pool.items():
            self._set_present_in(pool, versions, now_s)

    def _set_present_in(self, pool: str, versions: Iterable[str], now_s: float) -> None:
        left_s = self._left_s.setdefault(pool, {})
        for version in left_s:
            left_s[version] = min(left_s[version], now_s)
        left_s.update(dict.fromkeys(versions, math.inf))

    def add_recorded(self, by_pool: Mapping[str, Iterable[str]]) -> None:
        """Add versions that other routers have recorded; the past is known from then on.

        Those that are not present may have left just now.
        """
        now_s = self._clock()
        for pool, versions in by_pool.items():
            left_s = self._left_s.setdefault(pool, {})
            for version in versions:
                left_s.setdefault(version, now_s)
        self._past_known = True

    def of(self, pool: str) -> frozenset[str]:
        """Return the versions whose streams may still go on."""
        left_s = self._left_s.get(pool)
        if not left_s:
            return frozenset()
        since_s = self._clock() - self._stream_limit_s(pool)
        for version in [version for version, at_s in left_s.items() if at_s < since_s]:
            del left_s[version]
        return frozenset(left_s)

    def is_mixed(self, pool: str) -> bool:
        """Return whether streams of more than one version may be resumed in a pool."""
        if not self._past_known and self._clock() - self._started_s < self._stream_limit_s(pool):
            return True
        versions = self.of(pool)
        return len(versions) > 1 or UNKNOWN_VERSION in versions

    def recordable(self) -> dict[str, frozenset[str]]:
        """Return the versions of the pools with streams, for routers that start later."""
        return {
            pool: self.of(pool) - {UNKNOWN_VERSION}
            for pool in self._left_s
            if self._stream_limit_s(pool)
        }
