# SPDX-License-Identifier: BSD-3-Clause
"""How much of an event stream has been forwarded to its caller."""

__all__ = ["StreamProgress"]


class StreamProgress:
    """Events forwarded to one caller, from whichever endpoints.

    Attributes
    ----------
    events : int
        Number of events forwarded so far.
    last_id : bytes or None
        Id of the last event that carried one.
    first_s, last_s : float or None
        When the first and the last event were forwarded, on the monotonic clock.
    longest_pause_s : float
        Longest time between two consecutive events.

    Examples
    --------
    >>> progress = StreamProgress()
    >>> progress.note(2, b"2", now_s=1.0)
    >>> progress.note(1, b"3", now_s=1.25)
    >>> progress.events, progress.longest_pause_s
    (3, 0.25)
    >>> progress.may_continue_with(b"3"), progress.may_continue_with(b"4")
    (False, True)
    """

    __slots__ = ("events", "first_s", "last_id", "last_s", "longest_pause_s")

    def __init__(self):
        self.events = 0
        self.last_id: bytes | None = None
        self.first_s: float | None = None
        self.last_s: float | None = None
        self.longest_pause_s = 0.0

    def note(self, count: int, last_id: bytes | None, now_s: float) -> None:
        """Record events that were forwarded together."""
        if not count:
            return
        if self.first_s is None:
            self.first_s = now_s
        else:
            self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_s)
        self.last_s = now_s
        self.events += count
        if last_id is not None:
            self.last_id = last_id

    def may_continue_with(self, first_id: bytes | None) -> bool:
        """Return whether an event with this id may follow the last forwarded one."""
        if self.last_id is None or first_id is None:
            return True
        if not self.last_id.isdigit() or not first_id.isdigit():
            return first_id != self.last_id
        return int(first_id) > int(self.last_id)
