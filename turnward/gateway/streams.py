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
_LONGEST_BLANK_LINE_BYTES = 4
#: Largest event. An event carries a few tokens, or at most an image that an engine encloses.
_MAX_EVENT_BYTES = 1_048_576


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
        Whether no event with an id was taken from the stream before.
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

    __slots__ = ("_begun", "_bytes_since_event", "_tail")

    def __init__(self):
        self._begun = False
        self._tail = bytearray()
        self._bytes_since_event = 0

    @property
    def partial(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._tail)

    @property
    def overlong(self) -> bool:
        """Whether more bytes have come since the last event than an event may have."""
        return self._bytes_since_event > _MAX_EVENT_BYTES

    def feed(self, data: bytes) -> StreamEvents:
        """Buffer bytes and return the events that are complete now."""
        searched_bytes = max(0, len(self._tail) - _LONGEST_BLANK_LINE_BYTES + 1)
        self._tail += data
        self._bytes_since_event += len(data)
        end = _end_of_last_event(self._tail, searched_bytes)
        if end == 0:
            return StreamEvents(b"", 0, None, None)
        complete = bytes(self._tail[:end])
        del self._tail[:end]
        count, ids = _count_events(complete)
        if count:
            self._bytes_since_event = len(self._tail)
        begin_run = not self._begun
        self._begun = self._begun or bool(ids)
        first_id, last_id = (ids[0], ids[-1]) if ids else (None, None)
        return StreamEvents(complete, count, first_id, last_id, len(ids), _in_order(ids), begin_run)


def _end_of_last_event(data: bytearray, start: int) -> int:
    """Return where the last blank line from a given place on ends, or 0 where there is none."""
    found = [(data.rfind(blank, start), len(blank)) for blank in _BLANK_LINES]
    return max((place + length for place, length in found if place >= 0), default=0)


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
