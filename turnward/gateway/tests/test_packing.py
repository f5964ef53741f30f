# SPDX-License-Identifier: BSD-3-Clause
"""State as routers pass it on."""

import random
import zlib

import msgspec
import pytest

from turnward.gateway.configuration import (
    Configuration,
    ConfigurationCopy,
    Route,
    WeightedPool,
)
from turnward.gateway.packing import pack, unpack

#: Routes with names of their own; 416 KB before they are packed.
ROUTES = 2_000
#: A sixth of a second of a link of 5 Mbit/s; 28 KB were measured.
PACKED_LIMIT_BYTES = 100_000


def large_configuration():
    draw = random.Random(1)
    letters = "abcdefghijklmnopqrstuvwxyz0123456789"
    routes = tuple(
        Route(
            name=f"r-{''.join(draw.choices(letters, k=7))}",
            host="shop.example",
            path_prefix=f"/{''.join(draw.choices(letters, k=7))}/",
            pools=(WeightedPool("service"),),
        )
        for _ in range(ROUTES)
    )
    return Configuration(version=3, routes=routes)


def test_large_configuration_is_packed_below_the_limit():
    copy = ConfigurationCopy(large_configuration(), 5)
    packed = pack(copy)
    assert len(packed) < PACKED_LIMIT_BYTES < len(msgspec.msgpack.encode(copy))
    assert unpack(packed, ConfigurationCopy) == copy


@pytest.mark.parametrize("data", [b"", b"x", zlib.compress(b"x"), zlib.compress(b"")])
def test_undecodable_bytes_raise_decode_error(data):
    with pytest.raises(msgspec.DecodeError):
        unpack(data, ConfigurationCopy)
