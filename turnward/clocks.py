# SPDX-License-Identifier: BSD-3-Clause
"""A steady clock for ages, leases and limits, and the wall clock.

Wall-clock time can be adjusted in steps, so no durations are measured by it. ``CLOCK_MONOTONIC``
stops while the machine is suspended, so a lease would appear younger than it is.
"""

import time
from abc import ABC, abstractmethod

__all__ = ["PROCESS_START_S", "ClockBase", "ManualClock", "SystemClock"]

#: Time of ``SystemClock`` at which the process began to import this package. All other imports
#: follow, and may take seconds on a busy machine.
PROCESS_START_S = time.clock_gettime(time.CLOCK_BOOTTIME)


class ClockBase(ABC):
    """Source of time in seconds."""

    @abstractmethod
    def now_s(self) -> float:
        """Return steady time in seconds; it neither jumps nor stops during a suspension."""

    @abstractmethod
    def wall_s(self) -> float:
        """Return wall-clock time in seconds since 1970; it may jump."""


class SystemClock(ClockBase):
    """The machine's clocks."""

    def now_s(self):
        """See ``ClockBase.now_s``; the time since boot, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self):
        """See ``ClockBase.wall_s``."""
        return time.time()


class ManualClock(ClockBase):
    """A clock that changes only when it is advanced, for tests."""

    def __init__(self, start_s: float = 1_000.0):
        self._now_s = start_s

    def now_s(self):
        """See ``ClockBase.now_s``."""
        return self._now_s

    def wall_s(self):
        """See ``ClockBase.wall_s``."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._now_s += seconds
