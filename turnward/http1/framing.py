# SPDX-License-Identifier: BSD-3-Clause
"""Header fields and head encoding of HTTP/1.1 messages.

References
----------
RFC 9110 (HTTP Semantics), section 7.6.1 on connection-specific fields, section 15 on status codes;
RFC 9112 (HTTP/1.1), section 6 on the length of a message body.
"""

from enum import StrEnum
from http import HTTPStatus

__all__ = [
    "BodyFraming",
    "HeaderList",
    "connection_tokens",
    "encode_request_head",
    "encode_response_head",
    "end_to_end_headers",
    "has_known_transfer_encoding",
    "header_value",
    "header_values",
    "is_valid_status_line",
    "keep_alive_s",
    "response_framing",
]

#: Lower-case names and their values, in the order received.
HeaderList = list[tuple[bytes, bytes]]

#: Connection-specific fields, in addition to those listed in ``Connection``.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)

#: Status codes; others are invalid.
_STATUSES = range(100, 600)
_VERSIONS = ("1.0", "1.1")
#: Responses with these statuses have no body.
_BODILESS_STATUSES = (204, 304)

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class BodyFraming(StrEnum):
    """What tells where the body of a response ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


def header_values(headers: HeaderList, name: bytes) -> list[bytes]:
    """Return all values of a header.

    Examples
    --------
    >>> header_values([(b"host", b"a"), (b"x", b"1"), (b"x", b"2")], b"x")
    [b'1', b'2']
    """
    return [value for key, value in headers if key == name]


def header_value(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of a header, or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def is_valid_status_line(status: int, version: str) -> bool:
    """Return whether a status code and a protocol version may begin an HTTP/1.x response.

    Examples
    --------
    >>> is_valid_status_line(599, "1.1"), is_valid_status_line(0, "1.1")
    (True, False)
    >>> is_valid_status_line(200, "0.9")
    False
    """
    return status in _STATUSES and version in _VERSIONS


def has_known_transfer_encoding(headers: HeaderList) -> bool:
    """Return whether the body is in chunks and not encoded further, or has no transfer encoding.

    Examples
    --------
    >>> has_known_transfer_encoding([(b"transfer-encoding", b"Chunked")])
    True
    >>> has_known_transfer_encoding([(b"transfer-encoding", b"gzip, chunked")])
    False
    """
    encodings = header_values(headers, b"transfer-encoding")
    return not encodings or [each.strip().lower() for each in encodings] == [b"chunked"]


def connection_tokens(headers: HeaderList) -> set[bytes]:
    """Return the options listed in ``Connection``, in lower case.

    Examples
    --------
    >>> sorted(connection_tokens([(b"connection", b"Close, X-Own")]))
    [b'close', b'x-own']
    """
    tokens = set()
    for value in header_values(headers, b"connection"):
        tokens.update(token.strip().lower() for token in value.split(b","))
    tokens.discard(b"")
    return tokens


def end_to_end_headers(headers: HeaderList, excluded=frozenset()) -> HeaderList:
    """Return the headers to forward: without connection-specific ones and ``excluded``."""
    dropped = connection_tokens(headers) | excluded
    return [
        (name, value) for name, value in headers if name not in _HOP_BY_HOP and name not in dropped
    ]


def response_framing(status: int, headers: HeaderList) -> BodyFraming:
    """Return what tells where a response ends, from its head; its request is not ``HEAD``.

    Examples
    --------
    >>> str(response_framing(200, []))
    'connection'
    >>> str(response_framing(204, []))
    'length'
    """
    if header_value(headers, b"transfer-encoding") is not None:
        return BodyFraming.CHUNKS
    if header_value(headers, b"content-length") is not None or status in _BODILESS_STATUSES:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION


def keep_alive_s(headers: HeaderList) -> float | None:
    """Return the idle timeout in seconds announced in ``Keep-Alive``, or None.

    Examples
    --------
    >>> keep_alive_s([(b"keep-alive", b"timeout=5, max=100")])
    5.0
    """
    value = header_value(headers, b"keep-alive") or b""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return float(number)
    return None


def encode_request_head(method: bytes, target: bytes, headers: HeaderList) -> bytes:
    """Return the encoded head of a request."""
    lines = [method + b" " + target + b" HTTP/1.1"]
    lines.extend(name + b": " + value for name, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response_head(status: int, headers: HeaderList) -> bytes:
    """Return the encoded head of a response."""
    reason = _REASON_PHRASES.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines.extend(name + b": " + value for name, value in headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"
