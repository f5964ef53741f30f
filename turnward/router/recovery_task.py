# SPDX-License-Identifier: BSD-3-Clause
"""Fences failed routers and drives their recovery."""

import msgspec

from turnward.fleet import RouterRow, RouterState, rendezvous_weight
from turnward.peers.recovery import Recoverer, RecoveryState
from turnward.router.task import TaskBase, Tick
from turnward.store import PlatformError

__all__ = ["FenceRouter", "RecoveryTask"]


class FenceRouter(msgspec.Struct, frozen=True):
    """Fence an unresponsive router, then recover it."""

    incarnation: str


class RecoveryTask(TaskBase):
    """Owns the recoveries for which this router is responsible.

    Parameters
    ----------
    context : RouterContext
        Settings, clients and state of the router.
    core : callable
        Returns the current ``RouterCore``.
    """

    log_prefix = "recovery"

    def __init__(self, context, core, on_fenced):
        super().__init__(context.reactor, 1.0, on_fenced)
        self._context = context
        self._core = core
        self._registry = context.registry
        self._recoverer = Recoverer(
            context.table,
            context.registry,
            context.peers,
            context.book,
            context.engines,
            self._endpoint_url,
            self._is_engine,
            context.events,
        )
        self.states: dict[str, RecoveryState] = {}

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        for message in messages:
            if isinstance(message, FenceRouter):
                await self._fence(message.incarnation)
        if Tick() in messages:
            await self._advance_recoveries()

    async def _fence(self, incarnation: str) -> None:
        own = self._core().incarnation
        if await self._registry.fence(incarnation, own):
            self.log.warning("A router is fenced.", incarnation=incarnation)
            self._context.events.emit("recovery.fenced", of=incarnation)
            self._context.rows = await self._registry.rows()
            await self._advance_recoveries()

    async def _advance_recoveries(self) -> None:
        for row in list(self._context.rows.values()):
            if row.state is RouterState.FENCED:
                await self._recover(row)

    async def _recover(self, row: RouterRow) -> None:
        own = self._core().incarnation
        if row.recoverer != own and not await self._take_over(row, own):
            return
        rows = await self._registry.rows()
        if row.incarnation not in rows:
            return
        try:
            state = await self._recoverer.step(
                rows[row.incarnation], own, rows, self._context.listed_instances
            )
        except PlatformError as error:
            self.log.info("A recovery waits for the platform.", cause=str(error))
            return
        if self.states.get(row.incarnation) != state:
            self.log.info("A recovery has moved.", incarnation=row.incarnation, state=str(state))
            self._context.events.emit("recovery.state", of=row.incarnation, state=str(state))
        self.states[row.incarnation] = state
        if state in (RecoveryState.CLOSED, RecoveryState.CLOSED_IN_DOUBT):
            self._context.rows = await self._registry.rows()

    async def _take_over(self, row: RouterRow, own: str) -> bool:
        recoverer = self._context.rows.get(row.recoverer)
        if recoverer is not None and recoverer.writable:
            return False
        live_routers = [other.incarnation for other in self._context.live_rows()]
        candidates = [name for name in row.buddies if name in live_routers] or live_routers
        successor = max(
            candidates, key=lambda name: rendezvous_weight(row.incarnation, name), default=""
        )
        return successor == own and await self._registry.take_over(row.incarnation, own)

    def _endpoint_url(self, name: str) -> str | None:
        endpoint = self._context.config.resources.get("endpoints", name)
        return endpoint.url if endpoint else None

    def _is_engine(self, name: str) -> bool:
        resources = self._context.config.resources
        endpoint = resources.get("endpoints", name)
        pool = resources.get("pools", endpoint.pool) if endpoint else None
        return pool is not None and pool.kind == "engine"
