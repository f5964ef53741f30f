# SPDX-License-Identifier: BSD-3-Clause
"""Splits an event stream into complete events.

References
----------
WHATWG HTML, section 9.2 (server-sent events): events end with a blank line.
"""

import msgspec

__all__ = ["EventSplitter", "StreamEvents"]


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
    """

    data: bytes
    count: int
    first_id: bytes | None
    last_id: bytes | None


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

    __slots__ = ("_tail",)

    def __init__(self):
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
        return StreamEvents(complete, *_count_events(complete))


def _end_of_last_event(data: bytes) -> int:
    """Return where the last blank line ends, or 0 where there is none."""
    ends = (data.rfind(blank) + len(blank) for blank in _BLANK_LINES if blank in data)
    return max(ends, default=0)


def _count_events(complete: bytes) -> tuple[int, bytes | None, bytes | None]:
    count = 0
    ids = []
    for event in complete.replace(b"\r\n", b"\n").split(b"\n\n"):
        if not event.strip():
            continue
        count += 1
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                ids.append(line[3:].strip())
    return count, ids[0] if ids else None, ids[-1] if ids else None
