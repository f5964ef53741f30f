# SPDX-License-Identifier: BSD-3-Clause
"""Estimates how fast a budget is drawn on."""

import math

__all__ = ["DemandMeter"]


#: Shortest time that a rate is taken over, in seconds.
_LEAST_AGE_S = 2.0


class DemandMeter:
    """Exponentially weighted rate of tokens.

    Parameters
    ----------
    time_constant_s : float
        Time constant in seconds.
    bias_corrected : bool
        Take the rate over the time since the first demand, not as though there
        had been none before it. A new router then knows its rate at once.

    Examples
    --------
    >>> young, old = DemandMeter(10.0, bias_corrected=True), DemandMeter(10.0)
    >>> for meter in (young, old):
    ...     for second in range(3):
    ...         meter.add(100, float(second))
    >>> round(young.rate_tokens_per_s(3.0)), round(old.rate_tokens_per_s(3.0))
    (95, 25)
    """

    __slots__ = ("_first_s", "_level_tokens", "_memory_s", "_seen_s", "_weighs_start")

    def __init__(self, time_constant_s: float = 10.0, bias_corrected: bool = False):
        self._memory_s = time_constant_s
        self._weighs_start = bias_corrected
        self._first_s: float | None = None
        self._level_tokens = 0.0
        self._seen_s = 0.0

    def add(self, tokens: int, now_s: float) -> None:
        """Take in a demand of ``tokens``."""
        self._decay(now_s)
        if self._first_s is None:
            self._first_s = now_s
        self._level_tokens += tokens

    def rate_tokens_per_s(self, now_s: float) -> float:
        """Return the rate as of now."""
        self._decay(now_s)
        if not self._weighs_start or self._first_s is None:
            return self._level_tokens / self._memory_s
        age_s = max(_LEAST_AGE_S, now_s - self._first_s)
        return self._level_tokens / (self._memory_s * -math.expm1(-age_s / self._memory_s))

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._seen_s)
        self._level_tokens *= math.exp(-elapsed_s / self._memory_s)
        self._seen_s = now_s
