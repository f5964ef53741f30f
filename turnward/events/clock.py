# SPDX-License-Identifier: BSD-3-Clause
"""Clocks: a hybrid logical clock for events, and the base class of wall clocks.

References
----------
Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
"""

import time
from abc import ABC, abstractmethod

import msgspec

__all__ = ["ClockBase", "HybridClock", "ManualClock", "Stamp", "SystemClock"]


class ClockBase(ABC):
    """Source of time in seconds."""

    @abstractmethod
    def now_s(self) -> float:
        """Return monotonic time in seconds."""

    @abstractmethod
    def wall_s(self) -> float:
        """Return wall-clock time in seconds since 1970; it may jump."""


class SystemClock(ClockBase):
    """The machine's clocks."""

    def now_s(self):
        """See ``ClockBase.now_s``."""
        return time.monotonic()

    def wall_s(self):
        """See ``ClockBase.wall_s``."""
        return time.time()


class ManualClock(ClockBase):
    """A clock that stands still until it is moved."""

    def __init__(self, start_s: float = 1_000.0):
        self._now_s = start_s

    def now_s(self):
        """See ``ClockBase.now_s``."""
        return self._now_s

    def wall_s(self):
        """See ``ClockBase.wall_s``."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock on."""
        self._now_s += seconds


class Stamp(msgspec.Struct, frozen=True, order=True):
    """A hybrid time stamp: wall time in milliseconds, then a counter."""

    wall_ms: int
    counter: int


class HybridClock:
    """Gives stamps that respect the order of messages between processes."""

    def __init__(self, clock: ClockBase):
        self._clock = clock
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return the stamp of a local event."""
        wall_ms = int(self._clock.wall_s() * 1000)
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Take in the stamp of a received message."""
        self._last = max(self._last, stamp)
