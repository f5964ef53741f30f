# SPDX-License-Identifier: BSD-3-Clause
"""Compressed encoding of the state that routers fetch from each other."""

import zlib
from collections.abc import Callable, Hashable
from typing import TypeVar

import msgspec

from turnward.gateway.decoding import decode_message

__all__ = ["PackedCache", "pack", "unpack"]

T = TypeVar("T")

#: The fastest level of zlib; higher ones save little more.
_COMPRESSION = 1
#: Bounds the memory that a compressed message can occupy; far larger than any configuration.
_UNPACKED_LIMIT_BYTES = 64 * 1024 * 1024


def pack(state: msgspec.Struct) -> bytes:
    """Return a state, encoded and compressed."""
    return zlib.compress(msgspec.msgpack.encode(state), _COMPRESSION)


def unpack(packed: bytes, layout: type[T]) -> T:
    """Return the state that ``pack`` has encoded.

    Raises
    ------
    msgspec.DecodeError
        The bytes are not a compressed state of this type.

    Examples
    --------
    >>> unpack(pack({"version": 7}), dict)
    {'version': 7}
    """
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, _UNPACKED_LIMIT_BYTES)
    except zlib.error as failure:
        raise msgspec.DecodeError(f"state is not zlib-compressed: {failure}") from failure
    return decode_message(body, layout)


class PackedCache:
    """Caches the packed form of the latest version of a state."""

    __slots__ = ("_packed", "_version")

    def __init__(self):
        self._version: Hashable | None = None
        self._packed = b""

    def get(self, version: Hashable, make_packed: Callable[[], bytes]) -> bytes:
        """Return the packed state; it is packed again only if the version differs."""
        if self._version != version:
            self._packed = make_packed()
            self._version = version
        return self._packed
