# SPDX-License-Identifier: BSD-3-Clause
"""How much of an event stream has been forwarded to its caller."""

from turnward.gateway.streams import StreamEvents, event_number

__all__ = ["StreamProgress"]


class StreamProgress:
    """Events forwarded to one caller, from whichever endpoints.

    Attributes
    ----------
    events : int
        Number of events forwarded so far.
    last_id : bytes or None
        Id of the last event of the caller that carried one.
    first_s, last_s : float or None
        When the first and the last event were forwarded, on the monotonic clock.
    longest_pause_s : float
        Longest time between two consecutive events.

    Examples
    --------
    >>> from turnward.gateway.streams import EventSplitter
    >>> progress = StreamProgress()
    >>> progress.note(EventSplitter().feed(b"id: 1\\n\\nid: 2\\n\\n"), now_s=1.0)
    >>> progress.note(EventSplitter().feed(b"id: 3\\n\\n"), now_s=1.25)
    >>> progress.events, progress.longest_pause_s
    (3, 0.25)
    >>> runs = (b"id: 3\\n\\n", b"id: 4\\n\\n", b"id: 5\\n\\n")
    >>> [progress.may_continue_with(EventSplitter().feed(run)) for run in runs]
    [False, True, False]
    """

    __slots__ = (
        "_last_number",
        "_rises_by_one",
        "events",
        "first_s",
        "last_id",
        "last_s",
        "longest_pause_s",
    )

    def __init__(self):
        self.events = 0
        self.last_id: bytes | None = None
        self.first_s: float | None = None
        self.last_s: float | None = None
        self.longest_pause_s = 0.0
        self._last_number: int | None = None
        #: Whether each id was the one before plus one; None without two ids.
        self._rises_by_one: bool | None = None

    @classmethod
    def resumed_after(cls, last_id: bytes) -> "StreamProgress":
        """Return the progress of a caller that has the events up to an id from earlier requests."""
        progress = cls()
        progress.last_id = last_id
        progress._last_number = event_number(last_id)
        return progress

    def note(self, events: StreamEvents, now_s: float) -> None:
        """Record events that were forwarded together."""
        if not events.count:
            return
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_s)
        self.last_s = now_s
        self.events += events.count
        if events.last_id is not None:
            self._note_ids(events)
            self.last_id = events.last_id

    def _note_ids(self, events: StreamEvents) -> None:
        before, self._last_number = self._last_number, event_number(events.last_id)
        steps = events.ids - (before is None)
        if self._rises_by_one is False or not steps:
            return
        if self._last_number is None:
            self._rises_by_one = False
            return
        if before is None:
            before = event_number(events.first_id)
        self._rises_by_one = before is not None and self._last_number - before == steps

    def may_continue_with(self, events: StreamEvents) -> bool:
        """Return whether events may follow the last forwarded one.

        Those of another run must follow it at once, as far as the ids can tell.
        """
        if not events.in_order:
            return False
        first_id = events.first_id
        if self.last_id is None or first_id is None:
            return True
        number = event_number(first_id)
        if self._last_number is None or number is None:
            return first_id != self.last_id
        if events.begin_run and self._rises_by_one:
            return number == self._last_number + 1
        return number > self._last_number
