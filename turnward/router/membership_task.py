# SPDX-License-Identifier: BSD-3-Clause
"""Tracks the fleet: router rows, buddies, heartbeats and unresponsive routers."""

import msgspec

from turnward.fleet import RouterRow, choose_buddies, rendezvous_weight
from turnward.peers.errors import PeerError
from turnward.peers.messages import Heartbeat, HeartbeatAck, StatusReply, StatusRequest
from turnward.router.config_task import PeerRevision
from turnward.router.recovery_task import FenceRouter
from turnward.router.task import TaskBase
from turnward.store import PlatformError

__all__ = ["MembershipTask"]


class MembershipTask(TaskBase):
    """Keeps the view of the fleet up to date, and requests the fencing of silent routers.

    Parameters
    ----------
    context : RouterContext
        Settings, clients and state of the router.
    config, recovery : TaskBase
        Receive the revisions of peers and the routers to fence.
    core : callable
        Returns the current ``RouterCore``.
    """

    log_prefix = "fleet"

    def __init__(self, context, config, recovery, core, on_fenced):
        super().__init__(context.reactor, context.settings.heartbeat_s, on_fenced)
        self._context = context
        self._config = config
        self._recovery = recovery
        self._core = core
        self._registry = context.registry
        self._last_read_s = float("-inf")
        self._first_seen_s: dict[str, float] = {}
        self._seen_incarnation = ""

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        await self._send_heartbeats()
        now_s = self._context.now_s()
        if now_s - self._last_read_s >= self._context.settings.membership_poll_s:
            self._last_read_s = now_s
            await self._read_fleet()

    async def _read_fleet(self) -> None:
        self._context.rows = await self._registry.rows()
        self._context.refresh_queues()
        await self._check_own_row()
        await self._update_buddies()
        await self._fence_silent_routers()

    async def _check_own_row(self) -> None:
        core = self._core()
        own = self._context.rows.get(core.incarnation)
        if own is not None:
            self._seen_incarnation = core.incarnation
        removed = own is None and self._seen_incarnation == core.incarnation
        if removed or (own is not None and not own.writable):
            self._on_fenced()

    async def _send_heartbeats(self) -> None:
        for buddy in self._core().records.buddies:
            row = self._context.rows.get(buddy)
            if row is not None:
                await self._send_heartbeat(row)

    async def _send_heartbeat(self, row: RouterRow) -> None:
        try:
            answer = await self._context.peers.ask(
                row.peers_address, row.incarnation, Heartbeat(self._context.config.revision)
            )
        except PeerError:
            return
        if isinstance(answer, HeartbeatAck):
            self._context.last_heartbeat_s[row.incarnation] = self._context.now_s()
            if answer.revision > self._context.config.revision:
                self._config.tell(PeerRevision(row.incarnation, answer.revision))

    async def _update_buddies(self) -> None:
        core = self._core()
        own = self._context.rows.get(core.incarnation)
        if own is None or not own.writable:
            return
        current = core.records.buddies
        new_buddies = choose_buddies(own, list(self._context.rows.values()), keep=current)
        if set(new_buddies) == set(current) == set(own.buddies):
            return
        await self._change_buddies(core, own, new_buddies)

    async def _change_buddies(self, core, own: RouterRow, new_buddies: tuple[str, ...]) -> None:
        """List old and new buddies, copy the open records, then list the new ones alone."""
        all_buddies = tuple(dict.fromkeys((*own.buddies, *core.records.buddies, *new_buddies)))
        if set(own.buddies) != set(all_buddies):
            await self._registry.set_field(core.incarnation, "buddies", all_buddies)
        core.records.set_buddies(new_buddies)
        core.records.tell(None)
        if all(core.records.outbox.has_initial_copy(buddy) for buddy in new_buddies):
            await self._registry.set_field(core.incarnation, "buddies", new_buddies)
            self._context.events.emit("fleet.buddies", buddies=",".join(new_buddies))

    async def _fence_silent_routers(self) -> None:
        listed_instances = self._context.listed_instances = await self._read_instance_list()
        for row in list(self._context.rows.values()):
            if not row.writable or row.incarnation == self._core().incarnation:
                continue
            unlisted = listed_instances is not None and row.instance not in listed_instances
            limit_s = self._silence_limit_s(row, unlisted)
            if limit_s is not None and await self._is_unresponsive(row, limit_s):
                self._recovery.tell(FenceRouter(row.incarnation))

    async def _read_instance_list(self) -> set[str] | None:
        try:
            entries = await self._context.instance_list.instances()
        except PlatformError:
            return None
        return {entry.instance for entry in entries}

    def _silence_limit_s(self, row: RouterRow, unlisted: bool) -> float | None:
        """Return the silence after which this router fences another, or None for never.

        Buddies act first. When they may have failed as well, the other routers act
        at staggered times, so that they rarely race and none is a single point of failure.
        """
        settings = self._context.settings
        if self._core().incarnation in row.buddies:
            return settings.gone_after_s if unlisted else settings.fence_listed_after_s
        rows = self._context.rows
        has_buddy = any(name in rows and rows[name].writable for name in row.buddies)
        if has_buddy and not unlisted:
            return None
        rank = self._rank_for(row)
        return settings.fence_listed_after_s + rank * settings.gone_after_s

    def _rank_for(self, row: RouterRow) -> int:
        names = [other.incarnation for other in self._context.live_rows()]
        names.sort(key=lambda name: rendezvous_weight(row.instance, name), reverse=True)
        own = self._core().incarnation
        return names.index(own) if own in names else len(names)

    async def _is_unresponsive(self, row: RouterRow, limit_s: float) -> bool:
        now_s = self._context.now_s()
        first_s = self._first_seen_s.setdefault(row.incarnation, now_s)
        silent_s = now_s - self._context.last_heartbeat_s.get(row.incarnation, first_s)
        if silent_s < limit_s or await self._responds(row):
            return False
        return not await self._responds_to_buddies(row, limit_s)

    async def _responds(self, row: RouterRow) -> bool:
        try:
            await self._context.peers.ask(
                row.peers_address, row.incarnation, Heartbeat(self._context.config.revision)
            )
        except PeerError:
            return False
        self._context.last_heartbeat_s[row.incarnation] = self._context.now_s()
        return True

    async def _responds_to_buddies(self, row: RouterRow, limit_s: float) -> bool:
        for buddy in row.buddies:
            other = self._context.rows.get(buddy)
            if other is None or not other.writable or buddy == self._core().incarnation:
                continue
            try:
                answer = await self._context.peers.ask(
                    other.peers_address, buddy, StatusRequest(f"silent/{row.incarnation}")
                )
            except PeerError:
                continue
            if isinstance(answer, StatusReply):
                silent_s = msgspec.json.decode(answer.body, type=float | None)
                if silent_s is not None and silent_s < limit_s / 2:
                    return True
        return False
