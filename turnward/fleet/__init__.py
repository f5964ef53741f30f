# SPDX-License-Identifier: BSD-3-Clause
"""Membership of routers: their rows in the store, fencing and the choice of buddies."""

from turnward.fleet.buddies import BUDDY_COUNT, choose_buddies, rendezvous_weight
from turnward.fleet.errors import FencedError, FleetError
from turnward.fleet.registry import RouterRegistry
from turnward.fleet.rows import (
    ROUTERS_PREFIX,
    RouterRow,
    RouterState,
    instance_of,
    live_check,
    router_key,
)

__all__ = [
    "BUDDY_COUNT",
    "ROUTERS_PREFIX",
    "FencedError",
    "FleetError",
    "RouterRegistry",
    "RouterRow",
    "RouterState",
    "choose_buddies",
    "instance_of",
    "live_check",
    "rendezvous_weight",
    "router_key",
]
