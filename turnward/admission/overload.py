# SPDX-License-Identifier: BSD-3-Clause
"""Estimates how long an overload will last from how long it has lasted so far."""

from collections.abc import Callable

__all__ = ["OverloadPeriod"]

#: Expected remaining time of an overload as a share of its age. Callers that were told to return as
#: soon as the queue would be short, if nobody else came, were refused again and again.
_REMAINING_SHARE = 0.5
#: Upper limit of the expected remaining time: callers wait for at most a third of their time limit.
_MAX_REMAINING_S = 4.0
#: Time without refusals that ends an overload period.
_IDLE_TIMEOUT_S = 1.0


class OverloadPeriod:
    """A period in which a pool keeps refusing requests.

    Its end is unknown; the longer it has lasted, the longer it is expected to continue.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.

    Examples
    --------
    >>> times_s = iter((10.0, 10.8, 11.6, 30.0))
    >>> period = OverloadPeriod(lambda: next(times_s))
    >>> [round(period.note_refused(), 2) for _ in range(4)]
    [0.0, 0.4, 0.8, 0.0]
    """

    __slots__ = ("_clock", "_last_refused_s", "_started_s")

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._started_s = self._last_refused_s = float("-inf")

    def note_refused(self) -> float:
        """Record a refusal and return the expected remaining time of the overload, in seconds."""
        now_s = self._clock()
        if now_s - self._last_refused_s > _IDLE_TIMEOUT_S:
            self._started_s = now_s
        self._last_refused_s = now_s
        return min(_MAX_REMAINING_S, _REMAINING_SHARE * (now_s - self._started_s))
