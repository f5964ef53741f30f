# SPDX-License-Identifier: BSD-3-Clause
"""The ``Retry-After`` delay of refusals."""

import math
import random
from collections.abc import Callable

from turnward.admission import OverloadPeriod
from turnward.gateway.choice import EndpointBook
from turnward.gateway.outcomes import Reason

__all__ = ["RetryAfterEstimator"]

#: Range of the random factor by reason, so that callers do not all retry at once. Only for cold
#: endpoints may it shorten the delay, as they serve some requests while they warm up.
_JITTER = {
    Reason.ENDPOINTS_COLD: (0.5, 1.5),
    Reason.ENDPOINTS_FULL: (1.0, 1.5),
    Reason.ENDPOINTS_BACKING_OFF: (1.0, 1.5),
    Reason.ENDPOINTS_RATE_LIMITED: (1.0, 1.5),
    Reason.ENDPOINTS_UNRESPONSIVE: (1.0, 1.5),
    Reason.OVERLOADED: (1.0, 1.5),
    Reason.BUDGET_PACED: (1.0, 1.1),
}


class RetryAfterEstimator:
    """Estimates when a refused request may be served, by reason and pool.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    endpoints : EndpointBook
        Gives when a pool without any available endpoint is available again.
    rng : random.Random
        Source of the jitter.
    min_s : float
        Minimum, and the value where nothing is known.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        endpoints: EndpointBook,
        rng: random.Random,
        min_s: float,
    ):
        self._clock = clock
        self._endpoints = endpoints
        self._rng = rng
        self._min_s = min_s
        self._overloads: dict[str, OverloadPeriod] = {}

    def retry_after_s(self, reason: Reason, pool: str, excess_s: float = 0.0) -> float:
        """Return the delay for the caller, rounded up to hundredths of a second.

        Parameters
        ----------
        excess_s : float
            Time by which the pool's queue exceeds its limit.
        """
        jitter = _JITTER.get(reason)
        if jitter is None:
            return self._min_s
        wait_s = self._refused_for_s(reason, pool, excess_s) * self._rng.uniform(*jitter)
        return math.ceil(100 * max(self._min_s, wait_s)) / 100

    def paced_retry_after_s(self, delay_s: float) -> float:
        """Return the delay for a caller whose tokens are available after ``delay_s``."""
        jitter = _JITTER[Reason.BUDGET_PACED]
        return math.ceil(100 * max(self._min_s, delay_s * self._rng.uniform(*jitter))) / 100

    def _refused_for_s(self, reason: Reason, pool: str, excess_s: float) -> float:
        """Return how long the pool is likely to refuse requests."""
        shortage = self._endpoints.shortage(pool)
        available_in_s = shortage.available_in_s if shortage is not None else 0.0
        pool_wait_s = available_in_s if math.isfinite(available_in_s) else 0.0
        if reason is Reason.ENDPOINTS_COLD:
            return pool_wait_s
        overload = self._overloads.setdefault(pool, OverloadPeriod(self._clock))
        return max(pool_wait_s, excess_s, overload.note_refused())
