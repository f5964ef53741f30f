# SPDX-License-Identifier: BSD-3-Clause
"""When callers whose requests are refused are told to come back."""

import math
import random
from collections.abc import Callable

from turnward.admission import OverloadPeriod
from turnward.gateway.choice import EndpointBook
from turnward.gateway.outcomes import Reason

__all__ = ["RetryAfterEstimator"]

#: By what the time to come back is scaled when a pool refuses, so that callers do not all come at
#: the same moment. Cold endpoints bear some requests before they are warm; others bear none before
#: they open.
_SPREAD = {
    Reason.ENDPOINTS_COLD: (0.5, 1.5),
    Reason.ENDPOINTS_FULL: (1.0, 1.5),
    Reason.ENDPOINTS_BACKING_OFF: (1.0, 1.5),
    Reason.ENDPOINTS_RATE_LIMITED: (1.0, 1.5),
    Reason.OVERLOADED: (1.0, 1.5),
}


class RetryAfterEstimator:
    """When another try may be served, by why and where one was refused.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    endpoints : EndpointBook
        Tells when a pool opens that takes no work at all.
    draw : random.Random
        Spreads callers.
    least_s : float
        What callers are told where nothing is known, and at least.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        endpoints: EndpointBook,
        draw: random.Random,
        least_s: float,
    ):
        self._clock = clock
        self._endpoints = endpoints
        self._draw = draw
        self._least_s = least_s
        self._spells: dict[str, OverloadPeriod] = {}

    def retry_after_s(self, reason: Reason, pool: str, excess_s: float = 0.0) -> float:
        """Return the time to tell, rounded up to hundredths.

        Parameters
        ----------
        excess_s : float
            By how much the pool's queue was too long.
        """
        spread = _SPREAD.get(reason)
        if spread is None:
            return self._least_s
        wait_s = self._opens_in_s(reason, pool, excess_s) * self._draw.uniform(*spread)
        return math.ceil(100 * max(self._least_s, wait_s)) / 100

    def _opens_in_s(self, reason: Reason, pool: str, excess_s: float) -> float:
        """Return for how long the pool is likely to refuse."""
        shortage = self._endpoints.shortage(pool)
        opens_in_s = shortage.opens_in_s if shortage is not None else 0.0
        known_s = opens_in_s if math.isfinite(opens_in_s) else 0.0
        if reason is Reason.ENDPOINTS_COLD:
            return known_s
        spell = self._spells.setdefault(pool, OverloadPeriod(self._clock))
        return max(known_s, excess_s, spell.note_refused())
