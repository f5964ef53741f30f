# SPDX-License-Identifier: BSD-3-Clause
"""A copy of the endpoints' table for another router, in which no entry can spoil the others."""

from collections.abc import Iterable

import msgspec

from turnward.gateway.configuration import EndpointEntry
from turnward.gateway.decoding import decode_message
from turnward.gateway.packing import pack, unpack
from turnward.gateway.state import EndpointsSnapshot
from turnward.settings import parse_peer_address

__all__ = ["pack_endpoints", "unpack_endpoints"]


class _EntriesApart(msgspec.Struct, frozen=True):
    """An ``EndpointsSnapshot`` whose entries are encoded one by one; the bytes are the same."""

    version: int
    entries: tuple[msgspec.Raw, ...]
    era: int = 0
    names_versions: bool = False
    provisional: bool = False
    removed: tuple[str, ...] = ()
    knows_recovery: bool = False


def pack_endpoints(snapshot: EndpointsSnapshot) -> bytes:
    """Return a snapshot, packed; entries that can't be encoded are left out."""
    try:
        return pack(snapshot)
    except (OverflowError, TypeError, ValueError):
        entries = tuple(_encode_each(snapshot.entries))
        return pack(_with_entries(_EntriesApart, snapshot, entries))


def unpack_endpoints(packed: bytes) -> tuple[EndpointsSnapshot, int]:
    """Return the snapshot that another router has packed, and the number of invalid entries.

    Raises
    ------
    msgspec.DecodeError
        The bytes are no packed snapshot.
    """
    try:
        snapshot = unpack(packed, EndpointsSnapshot)
        received = len(snapshot.entries)
        entries = snapshot.entries
    except msgspec.DecodeError:
        snapshot = unpack(packed, _EntriesApart)
        received = len(snapshot.entries)
        entries = tuple(_decode_each(snapshot.entries))
    valid = tuple([entry for entry in entries if parse_peer_address(entry.address)])
    return _with_entries(EndpointsSnapshot, snapshot, valid), received - len(valid)


def _with_entries(layout: type, snapshot, entries: tuple):
    fields = {name: getattr(snapshot, name) for name in layout.__struct_fields__}
    return layout(**{**fields, "entries": entries})


def _encode_each(entries: Iterable[EndpointEntry]) -> Iterable[msgspec.Raw]:
    for entry in entries:
        try:
            yield msgspec.Raw(msgspec.msgpack.encode(entry))
        except (OverflowError, TypeError, ValueError):
            continue


def _decode_each(entries: Iterable[msgspec.Raw]) -> Iterable[EndpointEntry]:
    for entry in entries:
        try:
            yield decode_message(bytes(entry), EndpointEntry)
        except msgspec.DecodeError:
            continue
