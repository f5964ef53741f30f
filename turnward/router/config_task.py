# SPDX-License-Identifier: BSD-3-Clause
"""Brings the configuration in force: from the table, or from a peer when cut off."""

import msgspec

from turnward.peers.messages import ConfigDelta, ConfigEntry, ConfigRequest
from turnward.resources import ConfigLog, LogEntry
from turnward.router.task import TaskBase
from turnward.store import PlatformError

__all__ = ["ConfigTask", "PeerRevision"]

#: Entries kept for peers that are cut off from the store.
KEPT_ENTRIES = 2_000


class PeerRevision(msgspec.Struct, frozen=True):
    """A peer holds a revision."""

    incarnation: str
    revision: int


class ConfigTask(TaskBase):
    """Owns the configuration in force; it only moves forward."""

    log_prefix = "config"

    def __init__(self, context):
        super().__init__(context.reactor, context.settings.config_poll_s)
        self._context = context
        self._log = ConfigLog(context.table)
        self._kept: dict[int, LogEntry] = {}
        self.loaded = False

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        try:
            await self._follow_table()
        except PlatformError:
            offers = [message for message in messages if isinstance(message, PeerRevision)]
            if not offers:
                raise
            await self._follow_peer(max(offers, key=lambda offer: offer.revision))

    async def load(self) -> None:
        """Load the whole configuration once, at start."""
        self._context.config = await self._log.load()
        self.loaded = True
        self._context.apply_config()
        self._emit()

    async def _follow_table(self) -> None:
        if not self.loaded:
            await self.load()
            return
        while await self._log.head() > self._context.config.revision:
            entries = await self._log.entries_after(self._context.config.revision)
            if not self._take(entries):
                return

    async def _follow_peer(self, offer: PeerRevision) -> None:
        row = self._context.rows.get(offer.incarnation)
        if row is None or not self.loaded or offer.revision <= self._context.config.revision:
            return
        ask = ConfigRequest(self._context.config.revision)
        answer = await self._context.peers.ask(row.peers_address, offer.incarnation, ask)
        if isinstance(answer, ConfigDelta):
            entries = [msgspec.json.decode(entry.body, type=LogEntry) for entry in answer.entries]
            self._take(entries)

    def entries_after(self, revision: int) -> ConfigDelta:
        """Return the kept entries past a revision, for a peer."""
        entries = []
        while revision + 1 in self._kept:
            revision += 1
            entries.append(ConfigEntry(revision, msgspec.json.encode(self._kept[revision])))
        return ConfigDelta(tuple(entries))

    def _take(self, entries: list[LogEntry]) -> bool:
        moved = False
        for entry in entries:
            if self._context.config.take(entry):
                moved = True
                self._kept[entry.revision] = entry
                self._kept.pop(entry.revision - KEPT_ENTRIES, None)
        if moved:
            self._context.apply_config()
            self._emit()
        return moved

    def _emit(self) -> None:
        revision = self._context.config.revision
        self._context.metrics.gauge("config.revision", revision)
        self._context.events.emit("config.in_force", revision=revision)
