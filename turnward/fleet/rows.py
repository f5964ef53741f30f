# SPDX-License-Identifier: BSD-3-Clause
"""Router rows in the shared store: which incarnations are live and which are fenced."""

from enum import StrEnum

import msgspec

from turnward.store import FieldIs

__all__ = [
    "ROUTERS_PREFIX",
    "RouterRow",
    "RouterState",
    "instance_of",
    "live_check",
    "router_key",
]

ROUTERS_PREFIX = "router/"


class RouterState(StrEnum):
    """State of a router incarnation, until its row is removed."""

    LIVE = "live"
    LEAVING = "leaving"
    FENCED = "fenced"
    RECOVERED = "recovered"


class RouterRow(msgspec.Struct, frozen=True):
    """Row of one router incarnation.

    Attributes
    ----------
    writable : bool
        False once the incarnation is fenced; checked by each of its writes.
    buddies : tuple of str
        Incarnations that may hold its run records.
    recoverer : str
        Incarnation that recovers this one once it is fenced, else empty.
    """

    incarnation: str
    instance: str
    zone: str
    region: str
    peers_address: str
    operators_address: str
    state: RouterState
    writable: bool = True
    buddies: tuple[str, ...] = ()
    recoverer: str = ""


def router_key(incarnation: str) -> str:
    """Return the key of an incarnation's row."""
    return f"{ROUTERS_PREFIX}{incarnation}"


def instance_of(incarnation: str) -> str:
    """Return the instance that an incarnation runs on.

    Examples
    --------
    >>> instance_of("entry-1.0123456789ab")
    'entry-1'
    """
    return incarnation.rpartition(".")[0]


def live_check(incarnation: str) -> FieldIs:
    """Return a check that fails if the incarnation is fenced or removed."""
    return FieldIs(router_key(incarnation), "writable", True)
