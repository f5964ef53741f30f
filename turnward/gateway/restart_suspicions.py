# SPDX-License-Identifier: BSD-3-Clause
"""Endpoints that may have restarted while the store can't be read, and so may be cold.

An entry tells whether its endpoint is cold. While entries can't be read, the only sign of a restart
is that the endpoint closes all connections. If most endpoints of a pool do so at the same time, the
network is the likelier cause, and none of them is suspected.
"""

from collections.abc import Callable, Collection

import msgspec

__all__ = ["RestartSuspicion", "RestartSuspicions"]

#: Largest share of a pool that is suspected at the same time.
_MAX_SHARE = 0.5


class RestartSuspicion(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that may have restarted, and for how much longer; array on the wire."""

    pool: str
    incarnation: str
    left_ms: int


class RestartSuspicions:
    """Suspected restarts of endpoints, as seen by this router.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.

    Examples
    --------
    >>> suspicions = RestartSuspicions(lambda: 0.0)
    >>> suspicions.note("pool", "e-1", duration_s=3.0)
    True
    >>> suspicions.is_suspected("pool", "e-1", endpoints=3)
    True
    >>> suspicions.note("pool", "e-2", duration_s=3.0)
    True
    >>> suspicions.is_suspected("pool", "e-1", endpoints=3)
    False
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        #: By pool and incarnation, when the suspicion ends.
        self._until_s: dict[str, dict[str, float]] = {}

    def note(self, pool: str, incarnation: str, duration_s: float) -> bool:
        """Suspect for some time that an endpoint has restarted; return whether this is news."""
        by_incarnation = self._until_s.setdefault(pool, {})
        now_s = self._clock()
        known = by_incarnation.get(incarnation, now_s) > now_s
        by_incarnation[incarnation] = now_s + duration_s
        return not known

    def merge(self, suspicion: RestartSuspicion) -> None:
        """Add what another router suspects."""
        by_incarnation = self._until_s.setdefault(suspicion.pool, {})
        until_s = self._clock() + suspicion.left_ms / 1_000
        by_incarnation[suspicion.incarnation] = max(
            until_s, by_incarnation.get(suspicion.incarnation, until_s)
        )

    def left_ms(self, pool: str, incarnation: str) -> int:
        """Return for how much longer an endpoint is suspected, in milliseconds."""
        until_s = self._until_s.get(pool, {}).get(incarnation, 0.0)
        return max(0, round((until_s - self._clock()) * 1_000))

    def is_suspected(self, pool: str, incarnation: str, endpoints: int) -> bool:
        """Return whether one of a pool's ``endpoints`` may have restarted."""
        return incarnation in self.suspected(pool, endpoints)

    def suspected(self, pool: str, endpoints: int) -> Collection[str]:
        """Return which of a pool's ``endpoints`` may have restarted."""
        by_incarnation = self._until_s.get(pool)
        if not by_incarnation:
            return ()
        now_s = self._clock()
        for ended in [name for name, until_s in by_incarnation.items() if until_s <= now_s]:
            del by_incarnation[ended]
        return by_incarnation.keys() if len(by_incarnation) <= _MAX_SHARE * endpoints else ()
