# SPDX-License-Identifier: BSD-3-Clause
"""The software versions whose streams may still be resumed, by pool.

A version that has left the table of endpoints can still own streams: endpoints serve on for a
while, and callers resume a broken stream until their deadline.
"""

import math
from collections.abc import Callable, Iterable, Mapping

__all__ = ["UNKNOWN_VERSION", "UNNAMED_VERSION", "PoolVersions", "may_be_same_version"]

#: Time for which the versions of a pool without streams are kept; a route may lead to it later.
_RETENTION_WITHOUT_STREAMS_S = 3_600.0
#: Version of an endpoint whose entry came from a router that does not pass versions on.
UNKNOWN_VERSION = "\0"
#: Version of endpoints whose entries name none.
UNNAMED_VERSION = "unnamed"


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

    A pool is of a single version only once all versions are known whose streams may go on: other
    routers have recorded them, or its endpoints have been watched here for as long as a stream may
    last. Until then it counts as mixed.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    stream_limit_s : callable
        Returns how long after its version has left the table a stream of a pool may still be
        resumed, in seconds; 0 for pools without streams, None while that is not known.

    Attributes
    ----------
    watched_since_s : float
        Since when the table of endpoints has been watched without a gap; infinity before.

    Examples
    --------
    >>> now_s = 0.0
    >>> versions = PoolVersions(lambda: now_s, lambda pool: 40.0)
    >>> versions.set_present({"pool": {"v1", "v2"}})
    >>> versions.add_recorded({"pool": {"v1"}})
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

    def __init__(self, clock: Callable[[], float], stream_limit_s: Callable[[str], float | None]):
        self._clock = clock
        self._stream_limit_s = stream_limit_s
        self._histories: dict[str, _PoolHistory] = {}
        self.watched_since_s = math.inf

    def set_present(self, by_pool: Mapping[str, Iterable[str]]) -> None:
        """Replace the versions that are present in the table."""
        now_s = self._clock()
        self.watched_since_s = min(self.watched_since_s, now_s)
        for pool in self._histories.keys() - by_pool.keys():
            self._histories[pool].set_present((), now_s)
        for pool, versions in by_pool.items():
            self._history(pool).set_present(versions, now_s)
        for history in self._histories.values():
            history.note_known_since(self.watched_since_s)

    def add_versions(self, by_pool: Mapping[str, Iterable[str]]) -> None:
        """Add versions that may be some of those of the past.

        Those that are not present may have left just now.
        """
        now_s = self._clock()
        for pool, versions in by_pool.items():
            self._history(pool).add(versions, now_s)

    def add_seen(self, by_pool: Mapping[str, Mapping[str, float]]) -> None:
        """Add versions that were in the table until some time, unless they are known."""
        for pool, versions in by_pool.items():
            for version, seen_s in versions.items():
                self._history(pool).add((version,), seen_s)

    def add_recorded(self, by_pool: Mapping[str, Iterable[str]]) -> None:
        """Add all versions of the past of some pools, as other routers have recorded them."""
        self.add_versions(by_pool)
        for pool in by_pool:
            self._history(pool).note_known_since(-math.inf)

    def add_stream_limit(self, pool: str, limit_s: float) -> None:
        """Record how long streams of a pool last that may have begun until now."""
        history = self._history(pool)
        if limit_s > history.limit_s:
            history.note_limit(limit_s, self._clock())

    def stream_limit_s(self, pool: str) -> float:
        """Return how long the streams last that may still go on; 0 while that is not known."""
        history = self._histories.get(pool)
        return history.limit_s if history is not None else 0.0

    def move_streams(self, pool: str, sources: Iterable[str]) -> None:
        """Record that streams of other pools may go on at a pool from now on."""
        now_s = self._clock()
        history = self._history(pool)
        for source in sources:
            self.of(source)
            history.extend(self._history(source), now_s)

    def forget_past(self) -> None:
        """Record that versions may have come and gone unseen until now.

        Those that are absent may have come back meanwhile, and left again just now.
        """
        now_s = self._clock()
        if math.isfinite(self.watched_since_s):
            self.watched_since_s = now_s
        for pool, history in self._histories.items():
            history.drop_ended(self._stream_limit_s(pool), now_s)
            history.note_gap(now_s)
            history.known_since_s = self.watched_since_s

    def of(self, pool: str) -> frozenset[str]:
        """Return the known versions whose streams may still go on."""
        history = self._histories.get(pool)
        if history is None:
            return frozenset()
        history.drop_ended(self._stream_limit_s(pool), self._clock())
        return frozenset(history.left_s)

    def knows_past(self, pool: str) -> bool:
        """Return whether all versions are known whose streams may still go on."""
        limit_s = self._stream_limit_s(pool)
        if limit_s is None:
            return False
        history = self._history(pool)
        now_s = self._clock()
        history.note_limit(limit_s, now_s)
        return history.known_since_s <= now_s - history.limit_s

    def is_mixed(self, pool: str) -> bool:
        """Return whether streams of more than one version may be resumed in a pool."""
        if not self.knows_past(pool):
            return True
        versions = self.of(pool)
        return len(versions) > 1 or UNKNOWN_VERSION in versions

    def recordable(self) -> dict[str, frozenset[str]]:
        """Return the versions of the pools with streams, for routers that start later."""
        return {
            pool: self.of(pool) - {UNKNOWN_VERSION}
            for pool in list(self._histories)
            if self._stream_limit_s(pool)
        }

    def ages_s(self) -> dict[str, dict[str, float]]:
        """Return how long ago each version left, by pool with streams; 0 if it is present."""
        now_s = self._clock()
        return {
            pool: {
                version: max(0.0, now_s - self._histories[pool].left_s[version])
                for version in versions
            }
            for pool, versions in self.recordable().items()
        }

    def _history(self, pool: str) -> "_PoolHistory":
        history = self._histories.get(pool)
        if history is None:
            history = self._histories[pool] = _PoolHistory(self.watched_since_s)
        return history


class _PoolHistory:
    """The versions of one pool.

    Attributes
    ----------
    known_since_s : float
        All versions that began streams since then are known: minus infinity if those of the past
        are recorded, infinity while nothing has been read.
    left_s : dict
        When each version has left the table; infinity while it is present.
    limit_s : float
        How long the streams last that may still go on; a configuration may have shortened it since.
    """

    __slots__ = ("_limit_ends_s", "known_since_s", "left_s", "limit_s")

    def __init__(self, known_since_s: float):
        self.known_since_s = known_since_s
        self.left_s: dict[str, float] = {}
        self.limit_s = 0.0
        self._limit_ends_s = -math.inf

    def set_present(self, versions: Iterable[str], now_s: float) -> None:
        """Replace the versions that are present."""
        for version in self.left_s:
            self.left_s[version] = min(self.left_s[version], now_s)
        self.left_s.update(dict.fromkeys(versions, math.inf))

    def add(self, versions: Iterable[str], at_s: float) -> None:
        """Add versions that have left at some time unless they are known."""
        for version in versions:
            self.left_s.setdefault(version, at_s)

    def extend(self, source: "_PoolHistory", now_s: float) -> None:
        """Add the versions of another pool, whose streams may have gone on there until now."""
        for version in source.left_s:
            self.left_s[version] = max(self.left_s.get(version, now_s), now_s)
        self.known_since_s = max(self.known_since_s, source.known_since_s)
        self.note_limit(source.limit_s, now_s)

    def note_gap(self, now_s: float) -> None:
        """Count versions that are absent as having left now."""
        for version, at_s in self.left_s.items():
            self.left_s[version] = at_s if math.isinf(at_s) else now_s

    def note_known_since(self, since_s: float) -> None:
        """Record since when all versions are known; what was known before stays so."""
        self.known_since_s = min(self.known_since_s, since_s)

    def note_limit(self, limit_s: float, now_s: float) -> None:
        """Record how long streams last; those that have begun keep a longer limit."""
        if limit_s >= self.limit_s or now_s >= self._limit_ends_s:
            self.limit_s = limit_s
            self._limit_ends_s = now_s + limit_s

    def drop_ended(self, limit_s: float | None, now_s: float) -> None:
        """Drop the versions that left longer ago than a stream lasts, if that is known."""
        if limit_s is None:
            return
        self.note_limit(limit_s, now_s)
        since_s = now_s - (self.limit_s or _RETENTION_WITHOUT_STREAMS_S)
        for version in [version for version, at_s in self.left_s.items() if at_s < since_s]:
            del self.left_s[version]
