# SPDX-License-Identifier: BSD-3-Clause
"""The router rows in the platform's table: who is live, and who was fenced."""

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
    """States of a router incarnation's row; the row is removed in the end."""

    LIVE = "live"
    LEAVING = "leaving"
    FENCED = "fenced"
    RECOVERED = "recovered"


class RouterRow(msgspec.Struct, frozen=True):
    """One incarnation of a router.

    Attributes
    ----------
    writable : bool
        False once fenced; every write of the incarnation checks it.
    buddies : tuple of str
        Incarnations that may hold its run records.
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
    """Return the instance that an incarnation's id names.

    Examples
    --------
    >>> instance_of("entry-1.0123456789ab")
    'entry-1'
    """
    return incarnation.rpartition(".")[0]


def live_check(incarnation: str) -> FieldIs:
    """Return the check that the incarnation may still write."""
    return FieldIs(router_key(incarnation), "writable", True)
