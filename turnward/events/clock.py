# SPDX-License-Identifier: BSD-3-Clause
"""A hybrid logical clock for events.

References
----------
Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
"""

import msgspec

from turnward.clocks import ClockBase

__all__ = ["HybridClock", "HybridTimestamp"]


class HybridTimestamp(msgspec.Struct, frozen=True, order=True):
    """A hybrid timestamp: wall time in milliseconds, then a counter."""

    wall_ms: int
    counter: int


class HybridClock:
    """Issues timestamps that keep the order of messages between processes."""

    def __init__(self, clock: ClockBase):
        self._clock = clock
        self._last = HybridTimestamp(0, 0)

    def tick(self) -> HybridTimestamp:
        """Return a timestamp for a local event, later than all earlier ones."""
        wall_ms = int(self._clock.wall_s() * 1000)
        if wall_ms > self._last.wall_ms:
            self._last = HybridTimestamp(wall_ms, 0)
        else:
            self._last = HybridTimestamp(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, stamp: HybridTimestamp) -> None:
        """Advance the clock to the timestamp of a received message."""
        self._last = max(self._last, stamp)
