# SPDX-License-Identifier: BSD-3-Clause
"""Splits an event stream into complete events.

References
----------
WHATWG HTML, section 9.2 (server-sent events): events end with a blank line.
"""

from itertools import pairwise

import msgspec

__all__ = ["EventSplitter", "StreamEvents", "event_number"]

#: Longer ids are not read as numbers.
_MAX_DIGITS = 18

_BLANK_LINES = (b"\n\n", b"\r\n\r\n")


class StreamEvents(msgspec.Struct, frozen=True):
    """Complete events taken from a stream.

    Attributes
    ----------
    data : bytes
        Their bytes as received.
    count : int
        Number of events.
    first_id, last_id : bytes or None
        Ids of the first and the last event that carry one.
    ids : int
        Number of events that carry one.
    in_order : bool
        Whether each id is larger than the one before, or another one if they are no numbers.
    begin_run : bool
        Whether no events were taken from the stream before.
    """

    data: bytes
    count: int
    first_id: bytes | None
    last_id: bytes | None
    ids: int = 0
    in_order: bool = True
    begin_run: bool = False


class EventSplitter:
    """Buffers bytes and returns complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda").count
    1
    >>> splitter.partial
    True
    >>> splitter.feed(b"ta: b\\n\\n").last_id
    b'2'
    """

    __slots__ = ("_begun", "_tail")

    def __init__(self):
        self._begun = False
        self._tail = b""

    @property
    def partial(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._tail)

    def feed(self, data: bytes) -> StreamEvents:
        """Buffer bytes and return the events that are complete now."""
        data = self._tail + data
        end = _end_of_last_event(data)
        if end == 0:
            self._tail = data
            return StreamEvents(b"", 0, None, None)
        complete, self._tail = data[:end], data[end:]
        count, ids = _count_events(complete)
        begin_run = not self._begun
        self._begun = self._begun or count > 0
        first_id, last_id = (ids[0], ids[-1]) if ids else (None, None)
        return StreamEvents(complete, count, first_id, last_id, len(ids), _in_order(ids), begin_run)


def _end_of_last_event(data: bytes) -> int:
    """Return where the last blank line ends, or 0 where there is none."""
    ends = (data.rfind(blank) + len(blank) for blank in _BLANK_LINES if blank in data)
    return max(ends, default=0)


def _count_events(complete: bytes) -> tuple[int, list[bytes]]:
    """Return the number of events and the ids of those that carry one."""
    count = 0
    ids = []
    for event in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
        if not event.strip():
            continue
        count += 1
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                ids.append(line[3:].strip())
    return count, ids


def _in_order(ids: list[bytes]) -> bool:
    if len(ids) < 2:
        return True
    numbers = [event_number(each) for each in ids]
    if None in numbers:
        return all(before != after for before, after in pairwise(ids))
    return all(before < after for before, after in pairwise(numbers))


def event_number(event_id: bytes) -> int | None:
    """Return the number that an id is; None if it is none.

    Examples
    --------
    >>> event_number(b"12"), event_number(b"a-12")
    (12, None)
    """
    return int(event_id) if event_id.isdigit() and len(event_id) <= _MAX_DIGITS else None
