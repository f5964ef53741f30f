# SPDX-License-Identifier: BSD-3-Clause
"""The state of each resource and router, as operators see it."""

from typing import Any

import msgspec
from twisted.internet import defer

from turnward.budgets import BudgetRow, GrantRow, budget_key, grant_key
from turnward.fleet import RouterRow, RouterState
from turnward.peers.errors import PeerError
from turnward.peers.messages import StatusReply, StatusRequest

__all__ = ["RouterStatus", "StateReader"]


class RouterStatus(msgspec.Struct, frozen=True):
    """The status that a router reports of itself.

    Attributes
    ----------
    revision : int
        Revision of the configuration that the router uses.
    held_records, held_claims : int
        Number of run records and of claims that the router holds.
    endpoints : dict
        By endpoint, its state and this router's requests in flight.
    grants : dict
        By budget, the free tokens of this router's grant.
    advice : list of str
        Problems that operators should look into, each with what to do about it.
    """

    instance: str
    incarnation: str
    zone: str
    state: str
    revision: int
    open_requests: int
    unwritten_bills: int
    held_records: int
    held_claims: int
    blocked_shards: list[int]
    peer_sent_bytes: int
    peer_received_bytes: int
    unsent_records: dict[str, int]
    endpoints: dict[str, dict[str, Any]]
    grants: dict[str, int]
    recoveries: dict[str, str]
    counters: dict[str, int]
    advice: list[str]


class StateReader:
    """Collects states from this router, its peers and the table.

    Parameters
    ----------
    context : RouterContext
        The router's shared components.
    own_status : callable
        Returns this router's ``RouterStatus``.
    """

    def __init__(self, context, own_status):
        self._context = context
        self._own_status = own_status

    async def fleet(self) -> dict[str, Any]:
        """Return every router's row, with its status if it responds."""
        pending = [
            defer.ensureDeferred(self._describe_router(row)) for row in self._context.rows.values()
        ]
        routers = await defer.gatherResults(pending, consumeErrors=True)
        live = [router for router in routers if router["status"] is not None]
        revision = self._context.config.revision
        return {
            "revision": revision,
            "live": len(live),
            "in_force": sum(1 for router in live if router["status"]["revision"] >= revision),
            "routers": routers,
        }

    async def _describe_router(self, row: RouterRow) -> dict[str, Any]:
        status = await self._router_status(row) if row.writable else None
        return {
            "incarnation": row.incarnation,
            "zone": row.zone,
            "row_state": str(row.state),
            "buddies": list(row.buddies),
            "status": status,
            "advice": _router_advice(row, status),
        }

    async def _router_status(self, row: RouterRow) -> dict[str, Any] | None:
        own = self._own_status()
        if row.incarnation == own.incarnation:
            return msgspec.to_builtins(own)
        try:
            reply = await self._context.peers.ask(
                row.peers_address, row.incarnation, StatusRequest("status")
            )
        except PeerError:
            return None
        return msgspec.json.decode(reply.body) if isinstance(reply, StatusReply) else None

    async def budget(self, name: str) -> dict[str, Any]:
        """Return a budget's tokens (granted, spent, in doubt) and the grant of each router."""
        incarnations = list(self._context.rows)
        keys = [grant_key(incarnation, name) for incarnation in incarnations]
        rows = await self._context.table.read([budget_key(name), *keys])
        stored = rows.get(budget_key(name))
        if stored is None:
            return {}
        budget = msgspec.convert(stored.value, BudgetRow)
        grants = [msgspec.convert(rows[key].value, GrantRow) for key in keys if key in rows]
        settled = sum(grant.settled_tokens for grant in grants)
        in_doubt = sum(grant.in_doubt_tokens for grant in grants)
        held = sum(grant.granted_tokens - grant.settled_tokens for grant in grants)
        return {
            "limit_tokens": budget.limit_tokens,
            "limit_in_force_tokens": budget.limit_tokens + max(0, -budget.ungranted_tokens),
            "ungranted_tokens": budget.ungranted_tokens,
            "spent_tokens": budget.spent_tokens + settled,
            "held_tokens": held - in_doubt,
            "in_doubt_tokens": in_doubt,
            "grants": {grant.incarnation: grant.granted_tokens for grant in grants},
        }

    async def endpoint(self, name: str) -> dict[str, Any]:
        """Return an endpoint's state at each router and its requests in flight."""
        fleet = await self.fleet()
        by_router = {
            router["incarnation"]: router["status"]["endpoints"].get(name)
            for router in fleet["routers"]
            if router["status"] is not None
        }
        in_flight = sum(entry["in_flight"] for entry in by_router.values() if entry)
        return {"in_flight": in_flight, "routers": by_router}

    async def resource_state(self, kind: str, name: str, version: int) -> dict[str, Any]:
        """Return the state of a resource at a version."""
        if kind == "budgets":
            return await self.budget(name)
        if kind == "endpoints":
            return await self.endpoint(name)
        return {"in_force_here": self._context.config.revision >= version}


def _router_advice(row: RouterRow, status) -> list[str]:
    if row.state is RouterState.FENCED:
        return [f"recovery by {row.recoverer} is under way; see docs/operators/dead-router.md"]
    if row.writable and status is None:
        return ["live in the table but not reached from here; see docs/operators/partition.md"]
    return []
