# SPDX-License-Identifier: BSD-3-Clause
"""Estimates how fast a budget is drawn on."""

import math

__all__ = ["DemandMeter"]


class DemandMeter:
    """Exponentially weighted rate of tokens.

    Parameters
    ----------
    memory_s : float
        Time constant in seconds.
    """

    __slots__ = ("_level_tokens", "_memory_s", "_seen_s")

    def __init__(self, memory_s: float = 10.0):
        self._memory_s = memory_s
        self._level_tokens = 0.0
        self._seen_s = 0.0

    def add(self, tokens: int, now_s: float) -> None:
        """Take in a demand of ``tokens``."""
        self._decay(now_s)
        self._level_tokens += tokens

    def rate_tokens_per_s(self, now_s: float) -> float:
        """Return the rate as of now."""
        self._decay(now_s)
        return self._level_tokens / self._memory_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._seen_s)
        self._level_tokens *= math.exp(-elapsed_s / self._memory_s)
        self._seen_s = now_s
