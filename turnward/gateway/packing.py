# SPDX-License-Identifier: BSD-3-Clause
"""State in few bytes, as routers pass it on to each other."""

import zlib
from collections.abc import Hashable
from typing import TypeVar

import msgspec

__all__ = ["PackedOnce", "pack", "unpack"]

T = TypeVar("T")

#: Fast compression: of 1,935 routes 407 KB become 33 KB in 1.6 ms; level 6 takes twice as long
#: for 30 KB.
_COMPRESSION = 1
#: Largest state that is unpacked, in bytes: a hundred times a configuration of 1,935 routes.
_UNPACKED_LIMIT_BYTES = 64 * 1024 * 1024


def pack(state: msgspec.Struct) -> bytes:
    """Return a message in few bytes."""
    return zlib.compress(msgspec.msgpack.encode(state), _COMPRESSION)


def unpack(packed: bytes, layout: type[T]) -> T:
    """Return the message that ``pack`` packed.

    Raises
    ------
    msgspec.DecodeError
        The bytes are no such message.

    Examples
    --------
    >>> unpack(pack({"version": 7}), dict)
    {'version': 7}
    """
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, _UNPACKED_LIMIT_BYTES)
    except zlib.error as failure:
        raise msgspec.DecodeError(f"not compressed: {failure}") from failure
    return msgspec.msgpack.decode(body, type=layout)


class PackedOnce:
    """Keeps the packed form of one version of a state."""

    __slots__ = ("_packed", "_version")

    def __init__(self):
        self._version: Hashable | None = None
        self._packed = b""

    def get(self, version: Hashable, state: msgspec.Struct) -> bytes:
        """Return the state packed; packed again only when the version is another."""
        if self._version != version:
            self._packed = pack(state)
            self._version = version
        return self._packed
