# SPDX-License-Identifier: BSD-3-Clause
"""The fleet's budget of repeated sends, kept by each router for its own part.

In any window, the sends beyond the first of each request stay under a share of
the requests plus a fixed number. The fixed number is split evenly over the
routers that may live, so that no word among them is needed.
"""

from collections import deque
from collections.abc import Callable

import msgspec

__all__ = ["RetryBudgetShare", "RetryBudgetRule"]

#: Part of what is allowed that is used, as windows of different routers differ.
_SAFETY = 0.8


class RetryBudgetRule(msgspec.Struct, frozen=True):
    """How many repeats the fleet may send to one pool in a window."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0


class RetryBudgetShare:
    """One router's part of the budget towards one pool.

    Examples
    --------
    >>> allowance = RetryBudgetShare(RetryBudgetRule(0.5, 10.0, 2.5), lambda: 0.0)
    >>> allowance.take(routers=1), allowance.take(routers=1), allowance.take(routers=1)
    (True, True, False)
    """

    def __init__(self, rule: RetryBudgetRule, clock: Callable[[], float]):
        self._rule = rule
        self._clock = clock
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self) -> None:
        """Count a request's first send."""
        self._forget(self._requests)
        self._requests.append(self._clock())

    def take(self, routers: int) -> bool:
        """Use one repeat; False when this router's part is used up."""
        self._forget(self._requests)
        self._forget(self._retries)
        fixed = self._rule.slack / max(1, routers)
        allowed = _SAFETY * (self._rule.ratio * len(self._requests) + fixed)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(self._clock())
        return True

    def _forget(self, times: deque[float]) -> None:
        since_s = self._clock() - self._rule.window_s
        while times and times[0] < since_s:
            times.popleft()
