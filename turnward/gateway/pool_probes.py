# SPDX-License-Identifier: BSD-3-Clause
"""Limits the requests to a pool none of whose endpoints responds.

A request that is lost without a response may have run, so it is charged in full and may not be
reported as not run. If all endpoints of a pool lose every request, further ones are therefore
rejected before they are sent, but for a few that probe whether an endpoint has recovered.
"""

import random
from collections.abc import Callable

__all__ = ["PoolProbes"]

#: Time between two probes of a pool by one router. Each probe that fails costs its caller an
#: unknown result, and the workspace the tokens of the request; each interval delays the recovery.
_PROBE_INTERVAL_S = 0.5
#: Time without a request that finds no endpoint responsive after which the next one is news.
_EPISODE_GAP_S = 5.0
#: Range of the random factor of the interval, so that routers do not all probe at once.
_JITTER = (0.8, 1.2)


class PoolProbes:
    """The probes of this router to unresponsive pools.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    rng : random.Random
        Source of the jitter.

    Examples
    --------
    >>> now_s = 10.0
    >>> probes = PoolProbes(lambda: now_s, random.Random(1))
    >>> probes.begin("pool"), probes.begin("pool"), probes.wait_s("pool")
    (True, False, 0.0)
    >>> probes.note_probe("pool")
    >>> 0.4 <= probes.wait_s("pool") <= 0.6
    True
    >>> now_s = 13.0
    >>> probes.wait_s("pool"), probes.end("pool"), probes.end("pool")
    (0.0, 3.0, None)
    """

    def __init__(self, clock: Callable[[], float], rng: random.Random):
        self._clock = clock
        self._rng = rng
        #: When each pool was first and last found unresponsive, while no endpoint has recovered.
        self._began_s: dict[str, float] = {}
        self._found_s: dict[str, float] = {}
        self._next_probe_s: dict[str, float] = {}

    def begin(self, pool: str) -> bool:
        """Note that no endpoint of a pool responds; return whether this is news."""
        now_s = self._clock()
        known = pool in self._began_s and now_s - self._found_s[pool] < _EPISODE_GAP_S
        self._found_s[pool] = now_s
        if not known:
            self._began_s[pool] = now_s
        return not known

    def end(self, pool: str) -> float | None:
        """Note that an unresponsive endpoint responded; return how long none did.

        Returns None if another one always did.
        """
        began_s = self._began_s.pop(pool, None)
        return None if began_s is None else self._clock() - began_s

    def active(self) -> list[str]:
        """Return the pools that were found unresponsive, and no endpoint has recovered since."""
        return list(self._began_s)

    def wait_s(self, pool: str) -> float:
        """Return the time until a request may probe the pool."""
        return max(0.0, self._next_probe_s.get(pool, 0.0) - self._clock())

    def note_probe(self, pool: str) -> None:
        """Note that a request is sent to probe the pool."""
        self._next_probe_s[pool] = self._clock() + _PROBE_INTERVAL_S * self._rng.uniform(*_JITTER)
