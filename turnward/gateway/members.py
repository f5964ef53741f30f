# SPDX-License-Identifier: BSD-3-Clause
"""The table in which routers find each other: a row for each node."""

import msgspec

from turnward.settings import parse_address

__all__ = ["MEMBERS_TABLE", "Member", "decode_member", "encode_member"]

MEMBERS_TABLE = "members"


class Member(msgspec.Struct, frozen=True):
    """What a router writes of itself.

    Attributes
    ----------
    address : str
        ``IP:port`` at which peers reach it.
    zone : str
        Its availability zone.
    link_mbit_per_s : float
        Width of its machine's link; 0 when its settings do not tell.
    """

    address: str
    zone: str
    link_mbit_per_s: float = 0.0


def encode_member(member: Member) -> bytes:
    """Return the value of a member's row."""
    return msgspec.json.encode(member)


def decode_member(value: bytes) -> Member:
    """Return the member that a row tells of.

    Raises
    ------
    msgspec.DecodeError
        The row is no member's.
    ValueError
        Its address is none.

    Examples
    --------
    >>> decode_member(encode_member(Member("10.0.0.1:80", "z"))).zone
    'z'
    """
    member = msgspec.json.decode(value, type=Member)
    if parse_address(member.address) is None:
        raise ValueError(f"{member.address!r} is no IP:port")
    return member
