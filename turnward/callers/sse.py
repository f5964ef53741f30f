# SPDX-License-Identifier: BSD-3-Clause
"""Splits a stream of server-sent events into whole events.

References
----------
WHATWG HTML Living Standard, section 9.2 (server-sent events).
"""

import msgspec

__all__ = ["END_MARK", "EventSplitter", "StreamEvent"]

#: Data of the event that ends a whole stream.
END_MARK = b"[DONE]"

_PREFIX = b"data: "
_SEPARATOR = b"\n\n"


class StreamEvent(msgspec.Struct, frozen=True):
    """One event as received, its data, and the usage it reports if any."""

    raw: bytes
    data: bytes
    usage_tokens: int | None = None


class _Usage(msgspec.Struct):
    total_tokens: int


class _Chunk(msgspec.Struct):
    usage: _Usage | None = None


class EventSplitter:
    """Collects bytes and gives out whole events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"data: {}")
    []
    >>> [event.data for event in splitter.feed(b"\\n\\ndata: [DONE]\\n\\n")]
    [b'{}', b'[DONE]']
    """

    def __init__(self):
        self._rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events they complete."""
        *whole, self._rest = (self._rest + data).split(_SEPARATOR)
        return [_event(part) for part in whole]


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
