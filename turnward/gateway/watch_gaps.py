# SPDX-License-Identifier: BSD-3-Clause
"""Tells after which gaps endpoints may have come and gone without being seen here.

Of an endpoint that was written and removed between two answers of the store, the second one tells
no more than that a row is gone.
"""

from collections.abc import Callable

from turnward.gateway.pauses import Pause

__all__ = ["MIN_GAP_S", "WatchGaps"]

#: Shortest gap in which an endpoint may come, begin streams and leave.
MIN_GAP_S = 1.0


class WatchGaps:
    """Gaps in which the endpoints' table was not watched.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.

    Attributes
    ----------
    failing : bool
        Whether the latest poll of the table failed.
    on_gap : callable
        Called at the end of each gap.

    Examples
    --------
    >>> now_s = 0.0
    >>> gaps = WatchGaps(lambda: now_s)
    >>> gaps.on_gap = lambda: print("gap")
    >>> gaps.note_poll(True)
    >>> now_s = 8.0
    >>> gaps.note_poll(False)
    >>> gaps.note_poll(True)
    gap
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._answered_s: float | None = None
        #: When the store or a peer was heard last.
        self._heard_s: float | None = None
        self.failing = False
        self.on_gap: Callable[[], None] = lambda: None

    def note_poll(self, answered: bool) -> None:
        """Record whether a poll of the table was answered.

        A poll that fails may have been lost on its way, so that it counts for nothing.
        """
        if not answered:
            self.failing = True
            return
        failed, self.failing = self.failing, False
        before_s, self._answered_s = self._answered_s, self._clock()
        self._heard_s = self._answered_s
        if failed and before_s is not None and self._answered_s - before_s >= MIN_GAP_S:
            self.on_gap()

    def note_peer(self) -> None:
        """Record that a peer is heard, before what it tells is used."""
        before_s, self._heard_s = self._heard_s, self._clock()
        if before_s is not None and self._heard_s - before_s >= MIN_GAP_S:
            self.on_gap()

    def note_pause(self, pause: Pause) -> None:
        """Record that the process was paused."""
        if pause.resumed_s - pause.began_s >= MIN_GAP_S:
            self.on_gap()
