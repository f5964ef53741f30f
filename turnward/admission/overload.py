# SPDX-License-Identifier: BSD-3-Clause
"""How long a pool has been beyond its capacity, and so how long it may be yet."""

from collections.abc import Callable

__all__ = ["OverloadPeriod"]

#: Share of the time for which it has lasted that a spell is taken to last on. Told to come back as
#: soon as the queue would be short if nobody else came, callers were refused again and again. Worth
#: of four days with five times the usual traffic for 6 s, one play each: 0.46 to 0.52 with it,
#: 0.41 to 0.46 without.
_LASTS_ON = 0.5
#: Most of that, in seconds: callers wait for a third of their time at most.
_LONGEST_S = 4.0
#: Seconds without a refusal after which the next one begins another spell.
_ENDS_AFTER_S = 1.0


class OverloadPeriod:
    """A time in which requests are refused again and again.

    Nobody knows how long it will last; one that has lasted for some time is likely to last for
    about as long again.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.

    Examples
    --------
    >>> moments_s = iter((10.0, 10.8, 11.6, 30.0))
    >>> spell = OverloadPeriod(lambda: next(moments_s))
    >>> [round(spell.note_refused(), 2) for _ in range(4)]
    [0.0, 0.4, 0.8, 0.0]
    """

    __slots__ = ("_began_s", "_clock", "_last_s")

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._began_s = self._last_s = float("-inf")

    def note_refused(self) -> float:
        """Note a refusal; return for how many seconds more the spell may last."""
        now_s = self._clock()
        if now_s - self._last_s > _ENDS_AFTER_S:
            self._began_s = now_s
        self._last_s = now_s
        return min(_LONGEST_S, _LASTS_ON * (now_s - self._began_s))
