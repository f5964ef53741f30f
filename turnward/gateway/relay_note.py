# SPDX-License-Identifier: BSD-3-Clause
"""How a relayed request is marked on its way from one router to another.

Its target gets a prefix, so that a router of a version that runs no relayed requests answers 404
whatever the caller's target is. A header tells where it comes from and what was spent on it.
"""

import msgspec

from turnward.http1 import (
    HeaderList,
    InboundLimits,
    InboundRequest,
    header_value,
    header_values,
)

__all__ = [
    "RELAY_PREFIX",
    "RelayNote",
    "RelayNoteError",
    "limits_with_relays",
    "without_relay_note",
]

RELAY_PREFIX = b"/relay"
#: Room in the head of a relayed request for what it has beyond the caller's.
_ADDED_HEAD_BYTES = 1_024
_HEADER = b"relayed-by"
_VERSION_HEADER = b"relayed-stream-version"


class RelayNoteError(Exception):
    """A relayed request lacks its note, or the note can't be decoded."""


class RelayNote(msgspec.Struct, frozen=True):
    """What a router tells the one that it relays a request to.

    Attributes
    ----------
    origin : str
        Address of the router that received the request from its caller.
    attempts : int
        Attempts made so far, which count against those that the route allows.
    version : str
        Software version that began the stream; empty if it begins anew, or any may go on.

    Examples
    --------
    >>> RelayNote.decode(RelayNote("10.0.0.1:82", 1).encode())
    RelayNote(origin='10.0.0.1:82', attempts=1, version='')
    """

    origin: str
    attempts: int
    version: str = ""

    def encode(self) -> bytes:
        """Return the value of the header with origin and attempts."""
        return b"%b %d" % (self.origin.encode(), self.attempts)

    @classmethod
    def decode(cls, value: bytes) -> "RelayNote":
        """Return the note in a header's value.

        Raises
        ------
        RelayNoteError
            The value is malformed.
        """
        origin, _, attempts = value.partition(b" ")
        if not origin or not attempts.isdigit():
            raise RelayNoteError(f"malformed note of a relayed request: {value[:80]!r}")
        return cls(origin.decode("latin-1"), int(attempts))

    def headers(self) -> HeaderList:
        """Return the headers that carry the note."""
        headers = [(_HEADER, self.encode())]
        if self.version:
            headers.append((_VERSION_HEADER, self.version.encode()))
        return headers

    @classmethod
    def take_from(cls, request: InboundRequest) -> "RelayNote":
        """Remove the marks of a relayed request and return its note.

        Raises
        ------
        RelayNoteError
            The request has no note, several, or a malformed one.
        """
        values = header_values(request.headers, _HEADER)
        if len(values) != 1:
            raise RelayNoteError(f"{len(values)} notes on a relayed request")
        version = header_value(request.headers, _VERSION_HEADER) or b""
        note = msgspec.structs.replace(
            cls.decode(values[0]), version=version.decode(errors="replace")
        )
        request.headers = without_relay_note(request.headers)
        request.target = request.target.removeprefix(RELAY_PREFIX)
        return note


def limits_with_relays(callers: InboundLimits) -> InboundLimits:
    """Return the limits on requests of peers, which include all that callers may send.

    Examples
    --------
    >>> limits_with_relays(InboundLimits(head_bytes=20_000, body_bytes=10)).head_bytes
    21024
    """
    own = InboundLimits()
    return InboundLimits(
        head_bytes=max(own.head_bytes, callers.head_bytes) + _ADDED_HEAD_BYTES,
        body_bytes=max(own.body_bytes, callers.body_bytes),
    )


def without_relay_note(headers: HeaderList) -> HeaderList:
    """Return the headers without any note of a relayed request."""
    return [item for item in headers if item[0] not in (_HEADER, _VERSION_HEADER)]
