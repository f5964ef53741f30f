# SPDX-License-Identifier: BSD-3-Clause
"""Estimates the rate at which a budget is spent."""

import math

__all__ = ["DemandMeter"]

#: Shortest time over which a bias-corrected rate is averaged.
_MIN_AGE_S = 2.0


class DemandMeter:
    """Exponentially weighted moving average of a rate of tokens.

    Parameters
    ----------
    time_constant_s : float
        Time constant of the average in seconds.
    bias_corrected : bool
        Average over the time since the first demand, instead of assuming zero demand before it.
        A new router then has a useful estimate at once.

    Examples
    --------
    >>> corrected, plain = DemandMeter(10.0, bias_corrected=True), DemandMeter(10.0)
    >>> for meter in (corrected, plain):
    ...     for second in range(3):
    ...         meter.add(100, float(second))
    >>> round(corrected.rate_tokens_per_s(3.0)), round(plain.rate_tokens_per_s(3.0))
    (95, 25)
    """

    __slots__ = (
        "_bias_corrected",
        "_decayed_tokens",
        "_first_demand_s",
        "_time_constant_s",
        "_updated_s",
    )

    def __init__(self, time_constant_s: float = 10.0, bias_corrected: bool = False):
        self._time_constant_s = time_constant_s
        self._bias_corrected = bias_corrected
        self._first_demand_s: float | None = None
        self._decayed_tokens = 0.0
        self._updated_s = 0.0

    def add(self, tokens: int, now_s: float) -> None:
        """Add a demand of ``tokens``."""
        self._decay(now_s)
        if self._first_demand_s is None:
            self._first_demand_s = now_s
        self._decayed_tokens += tokens

    def rate_tokens_per_s(self, now_s: float) -> float:
        """Return the estimated rate at ``now_s``."""
        self._decay(now_s)
        if not self._bias_corrected or self._first_demand_s is None:
            return self._decayed_tokens / self._time_constant_s
        age_s = max(_MIN_AGE_S, now_s - self._first_demand_s)
        return self._decayed_tokens / (
            self._time_constant_s * -math.expm1(-age_s / self._time_constant_s)
        )

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._decayed_tokens *= math.exp(-elapsed_s / self._time_constant_s)
        self._updated_s = now_s
