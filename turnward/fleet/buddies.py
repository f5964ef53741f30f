# SPDX-License-Identifier: BSD-3-Clause
"""Chooses the buddies of a router: the routers that hold copies of its run records.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
"""

from turnward.fleet.rows import RouterRow, RouterState
from turnward.hashing import rendezvous_weight

__all__ = ["BUDDY_COUNT", "choose_buddies", "rendezvous_weight"]

#: Buddies per router.
BUDDY_COUNT = 2


def choose_buddies(own: RouterRow, rows: list[RouterRow], keep=()) -> tuple[str, ...]:
    """Return the incarnations of a router's buddies in order of preference.

    Live routers of another zone and of the same region come first, at most one
    per zone. Among equals, those in ``keep`` are preferred, so that buddies do
    not change needlessly.
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
