# SPDX-License-Identifier: BSD-3-Clause
"""Splits a stream of server-sent events into events.

References
----------
WHATWG HTML Living Standard, section 9.2 (server-sent events).
"""

import msgspec

__all__ = ["END_MARK", "EventSplitter", "StreamEvent"]

#: Data of the event that ends a complete stream.
END_MARK = b"[DONE]"

_PREFIX = b"data: "
_SEPARATOR = b"\n\n"


class StreamEvent(msgspec.Struct, frozen=True):
    """One event as received, its data, and the usage that it reports, if any."""

    raw: bytes
    data: bytes
    usage_tokens: int | None = None


class _Usage(msgspec.Struct):
    total_tokens: int


class _Chunk(msgspec.Struct):
    usage: _Usage | None = None


class EventSplitter:
    """Collects bytes and returns complete events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: {}")
    []
    >>> [event.data for event in splitter.feed(b"\\n\\ndata: [DONE]\\n\\n")]
    [b'{}', b'[DONE]']
    """

    def __init__(self):
        self._partial = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete."""
        *complete, self._partial = (self._partial + data).split(_SEPARATOR)
        return [_event(part) for part in complete]


def _event(part: bytes) -> StreamEvent:
    data = part.removeprefix(_PREFIX)
    return StreamEvent(part + _SEPARATOR, data, _usage_tokens(data))


def _usage_tokens(data: bytes) -> int | None:
    if b'"usage"' not in data:
        return None
    try:
        usage = msgspec.json.decode(data, type=_Chunk).usage
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    return usage.total_tokens if usage else None
