# SPDX-License-Identifier: BSD-3-Clause
"""A hybrid logical clock for events.

References
----------
Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
"""

import msgspec

from turnward.clocks import ClockBase

__all__ = ["HybridClock", "Stamp"]


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
