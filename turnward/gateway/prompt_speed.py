# SPDX-License-Identifier: BSD-3-Clause
"""Estimates how fast the engines of a pool process prompts, from the times to first events."""

import math
from collections import deque

__all__ = ["ASSUMED_TOKENS_PER_MS", "PromptSpeed"]

#: Prompt processing speed assumed for engines that have not been measured.
ASSUMED_TOKENS_PER_MS = 50.0
#: Largest factor between the assumed speed and an estimate.
_MAX_FACTOR = 8.0
_SAMPLE_WINDOW = 32
#: Quantile of the apparent speeds to use. It is high because prompts of other routers and slow
#: spells only delay first events; it is no maximum because some prompts have run there before.
_QUANTILE = 0.9
#: Number of samples that the assumed speed counts as.
_PRIOR_SAMPLES = 2


class PromptSpeed:
    """Estimates the prompt processing speed of the usual engine of a pool.

    Attributes
    ----------
    tokens_per_ms : float
        The estimate.

    Examples
    --------
    >>> speed = PromptSpeed()
    >>> speed.tokens_per_ms
    50.0
    >>> for apparent in [160.0, 40.0, 150.0, 160.0] * 8:
    ...     speed.note(apparent)
    >>> 140 < speed.tokens_per_ms < 160
    True
    """

    __slots__ = ("_samples", "tokens_per_ms")

    def __init__(self):
        self._samples: deque[float] = deque(maxlen=_SAMPLE_WINDOW)
        self.tokens_per_ms = ASSUMED_TOKENS_PER_MS

    def note(self, apparent_tokens_per_ms: float) -> None:
        """Record the speed at which a prompt seems to have been processed."""
        bounded = min(
            _MAX_FACTOR, max(1 / _MAX_FACTOR, apparent_tokens_per_ms / ASSUMED_TOKENS_PER_MS)
        )
        self._samples.append(bounded)
        ranked = sorted(self._samples)
        count = len(ranked)
        log_factor = math.log(ranked[int(_QUANTILE * count)]) * count / (count + _PRIOR_SAMPLES)
        self.tokens_per_ms = ASSUMED_TOKENS_PER_MS * math.exp(log_factor)
