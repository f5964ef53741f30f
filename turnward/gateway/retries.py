# SPDX-License-Identifier: BSD-3-Clause
"""The fleet's retry budget, of which each router enforces its own share.

In any window, retries stay below a ratio of the requests plus a fixed slack. The slack is divided
evenly among the routers that may be live, so that they need no coordination. A router that does not
know yet how many these are uses none of it.
"""

from collections import deque
from collections.abc import Callable

import msgspec

__all__ = ["RetryBudgetRule", "RetryBudgetShare"]

#: Leaves a margin, because the windows of different routers are not aligned.
_SAFETY_FACTOR = 0.8


class RetryBudgetRule(msgspec.Struct, frozen=True):
    """How many retries the fleet may send to one pool in a window."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 50.0


class RetryBudgetShare:
    """One router's share of the retry budget for one pool.

    Examples
    --------
    >>> share = RetryBudgetShare(RetryBudgetRule(0.5, 10.0, 2.5), lambda: 0.0)
    >>> share.take(routers=1), share.take(routers=1), share.take(routers=1)
    (True, True, False)
    """

    def __init__(self, rule: RetryBudgetRule, clock: Callable[[], float]):
        self._rule = rule
        self._clock = clock
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self) -> None:
        """Count the first attempt of a request."""
        self._evict(self._requests)
        self._requests.append(self._clock())

    def take(self, routers: int | None) -> bool:
        """Use one retry; return False if this router's share is used up.

        ``routers`` is how many may be live; None if that is not known.
        """
        self._evict(self._requests)
        self._evict(self._retries)
        slack = self._rule.slack / max(1, routers) if routers is not None else 0.0
        allowed = _SAFETY_FACTOR * (self._rule.ratio * len(self._requests) + slack)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(self._clock())
        return True

    def _evict(self, times: deque[float]) -> None:
        cutoff_s = self._clock() - self._rule.window_s
        while times and times[0] < cutoff_s:
            times.popleft()
