# SPDX-License-Identifier: BSD-3-Clause
"""Clocks: one by which ages, leases and limits are counted, and the time of day.

The time of day steps, so nothing is counted by it. ``CLOCK_MONOTONIC`` stands still while the
machine is suspended, so a lease would look younger than it is.
"""

import time
from abc import ABC, abstractmethod

__all__ = ["ClockBase", "ManualClock", "SystemClock"]


class ClockBase(ABC):
    """Source of time in seconds."""

    @abstractmethod
    def now_s(self) -> float:
        """Return a steady time in seconds: it neither steps nor stands still in a pause."""

    @abstractmethod
    def wall_s(self) -> float:
        """Return wall-clock time in seconds since 1970; it may jump."""


class SystemClock(ClockBase):
    """The machine's clocks."""

    def now_s(self):
        """See ``ClockBase.now_s``; the time since the machine's start, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

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
