# SPDX-License-Identifier: BSD-3-Clause
"""Decoding of messages between routers, whatever bytes arrive."""

from typing import TypeVar

import msgspec

__all__ = ["MESSAGE_DECODE_ERRORS", "decode_message"]

#: Errors that decoding may raise; ``RecursionError`` when values are nested too deeply.
MESSAGE_DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)

T = TypeVar("T")


def decode_message(data: bytes, layout: type[T]) -> T:
    """Return the message in MessagePack bytes.

    Raises
    ------
    msgspec.DecodeError
        The bytes are no message of this type, or are nested too deeply.

    Examples
    --------
    >>> decode_message(msgspec.msgpack.encode({"version": 7}), dict)
    {'version': 7}
    """
    try:
        return msgspec.msgpack.decode(data, type=layout)
    except MESSAGE_DECODE_ERRORS as failure:
        raise msgspec.DecodeError(str(failure)) from failure
