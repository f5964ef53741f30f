# SPDX-License-Identifier: BSD-3-Clause
"""Packing of the state that routers fetch from each other."""

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

ROUTES = 2_000
#: Takes a sixth of a second on a link of 5 Mbit/s.
PACKED_LIMIT_BYTES = 100_000


def large_configuration():
    rng = random.Random(1)
    letters = "abcdefghijklmnopqrstuvwxyz0123456789"
    routes = tuple(
        Route(
            name=f"r-{''.join(rng.choices(letters, k=7))}",
            host="shop.example",
            path_prefix=f"/{''.join(rng.choices(letters, k=7))}/",
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
