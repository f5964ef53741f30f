# SPDX-License-Identifier: BSD-3-Clause
"""The retry budget: retries are a share of a workspace's successes."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Tokens of retry for one workspace.

    Parameters
    ----------
    share : float
        Retries allowed per success.
    burst : float
        Most retries that can be saved up.
    """

    __slots__ = ("_burst", "_level", "_share")

    def __init__(self, share: float, burst: float = 5.0):
        self._share = share
        self._burst = burst
        self._level = burst

    def record_success(self) -> None:
        """Earn a part of a retry."""
        self._level = min(self._burst, self._level + self._share)

    def take(self) -> bool:
        """Use one retry; False when none is left."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
