# SPDX-License-Identifier: BSD-3-Clause
"""Chooses the buddy routers that hold a router's run records.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
"""

from turnward.fleet.rows import RouterRow, RouterState
from turnward.hashing import rendezvous_weight

__all__ = ["BUDDY_COUNT", "choose_buddies", "rendezvous_weight"]

#: Buddies a router names.
BUDDY_COUNT = 2


def choose_buddies(own: RouterRow, rows: list[RouterRow], keep=()) -> tuple[str, ...]:
    """Return the incarnations to name as buddies, best first.

    Live routers of the same region and another zone come first, one per zone;
    the buddies in ``keep`` are preferred among equals, so that a choice does
    not change without need.
    """
    candidates = [
        row for row in rows if row.state is RouterState.LIVE and row.incarnation != own.incarnation
    ]

    def preference(row: RouterRow):
        return (
            row.zone == own.zone,
            row.region != own.region,
            row.incarnation not in keep,
            -rendezvous_weight(own.instance, row.instance),
        )

    chosen: list[RouterRow] = []
    for row in sorted(candidates, key=preference):
        if all(row.zone != other.zone for other in chosen):
            chosen.append(row)
    for row in sorted(candidates, key=preference):
        if row not in chosen:
            chosen.append(row)
    return tuple(row.incarnation for row in chosen[:BUDDY_COUNT])
