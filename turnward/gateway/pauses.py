# SPDX-License-Identifier: BSD-3-Clause
"""Detects that the process was paused, so that what it knows may be out of date.

A paused process, or one on a suspended machine, misses what changes meanwhile. On resuming it runs
the input that has arrived before any timer, so the first requests are processed before a feed can
report that the store has become unreachable.
"""

from collections.abc import Callable

import msgspec

__all__ = ["CHECK_INTERVAL_S", "Pause", "PauseDetector"]

#: Interval at which the process notes that it is running.
CHECK_INTERVAL_S = 0.2
#: Time without such a note that counts as a pause; a busy process is late by less.
_MIN_PAUSE_S = 0.5


class Pause(msgspec.Struct, frozen=True):
    """A pause of the process, by its steady clock.

    Attributes
    ----------
    began_s : float
        When it was last known to run before.
    resumed_s : float
        When it was first known to run again.
    """

    began_s: float
    resumed_s: float


class PauseDetector:
    """Tells when the process was last paused.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds, which goes on during a pause.

    Attributes
    ----------
    on_resumed : callable
        Called with each pause once the process runs again.

    Examples
    --------
    >>> now_s = 10.0
    >>> pauses = PauseDetector(lambda: now_s)
    >>> now_s = 13.0
    >>> pauses.latest_within(1.0)
    Pause(began_s=10.0, resumed_s=13.0)
    >>> now_s = 13.2
    >>> pauses.note_running()
    >>> now_s = 13.6
    >>> pauses.latest_within(1.0), pauses.latest_within(0.5)
    (Pause(began_s=10.0, resumed_s=13.0), None)
    """

    __slots__ = ("_clock", "_latest", "_running_s", "on_resumed")

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._running_s = clock()
        self._latest: Pause | None = None
        self.on_resumed: Callable[[Pause], None] = lambda pause: None

    def note_running(self) -> None:
        """Note that the process is running; to be called at each ``CHECK_INTERVAL_S``."""
        now_s = self._clock()
        paused_since_s, self._running_s = self._running_s, now_s
        if now_s - paused_since_s >= _MIN_PAUSE_S:
            self._latest = Pause(paused_since_s, now_s)
            self.on_resumed(self._latest)

    def latest_within(self, span_s: float) -> Pause | None:
        """Return the latest pause if the process resumed less than ``span_s`` seconds ago."""
        self.note_running()
        latest = self._latest
        if latest is None or self._clock() - latest.resumed_s >= span_s:
            return None
        return latest
