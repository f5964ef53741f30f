# SPDX-License-Identifier: BSD-3-Clause
"""Retry budget: limits retries to a share of a workspace's successful requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """Token bucket of retries for one workspace.

    Parameters
    ----------
    share : float
        Retries allowed per successful request.
    burst : float
        Capacity of the bucket, in retries.
    """

    __slots__ = ("_burst", "_level", "_share")

    def __init__(self, share: float, burst: float = 5.0):
        self._share = share
        self._burst = burst
        self._level = burst

    def record_success(self) -> None:
        """Add ``share`` of a retry to the bucket."""
        self._level = min(self._burst, self._level + self._share)

    def take(self) -> bool:
        """Take one retry; return False when the budget is exhausted."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
