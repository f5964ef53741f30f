# SPDX-License-Identifier: BSD-3-Clause
"""The members' table, in which routers discover each other; it has a row for each node."""

from typing import Annotated

import msgspec

from turnward.bounds import Name
from turnward.settings import parse_peer_address

__all__ = ["MEMBERS_TABLE", "Member", "decode_member", "encode_member"]

MEMBERS_TABLE = "members"
_MAX_LINK_MBIT_PER_S = 1e9


class Member(msgspec.Struct, frozen=True):
    """Row of a router in the members' table.

    Attributes
    ----------
    address : str
        ``IP:port`` at which peers reach the router.
    zone : str
        Availability zone of the router.
    link_mbit_per_s : float
        Bandwidth of the machine's network link; 0 if the settings do not contain it.
    takes_relays : bool
        Whether the router runs requests that other routers relay to it.
    keeps_versions : bool
        Whether it resumes streams at the software version that began them.
    tells_paths : bool
        Whether it answers which pools it reaches.
    """

    address: Name
    zone: Name
    link_mbit_per_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_LINK_MBIT_PER_S)] = 0.0
    takes_relays: bool = False
    keeps_versions: bool = False
    tells_paths: bool = False


def encode_member(member: Member) -> bytes:
    """Return the value of a member's row."""
    return msgspec.json.encode(member)


def decode_member(value: bytes) -> Member:
    """Return the member from the value of a row.

    Raises
    ------
    msgspec.DecodeError
        The value does not encode a member.
    ValueError
        The address is not ``IP:port``.

    Examples
    --------
    >>> decode_member(encode_member(Member("10.0.0.1:80", "z"))).zone
    'z'
    """
    member = msgspec.json.decode(value, type=Member)
    if parse_peer_address(member.address) is None:
        raise ValueError(f"member address {member.address!r} is not IP:port")
    return member
