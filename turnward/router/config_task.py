# SPDX-License-Identifier: BSD-3-Clause
"""Keeps the configuration up to date, from the table or, when it is unreachable, a peer."""

import msgspec

from turnward.peers.messages import ConfigDelta, ConfigEntry, ConfigRequest
from turnward.resources import ConfigLog, LogEntry
from turnward.router.task import TaskBase
from turnward.store import PlatformError

__all__ = ["ConfigTask", "PeerRevision"]

#: Log entries retained for peers that cannot reach the store.
RETAINED_ENTRIES = 2_000


class PeerRevision(msgspec.Struct, frozen=True):
    """A peer announced its configuration revision."""

    incarnation: str
    revision: int


class ConfigTask(TaskBase):
    """Owns the current configuration, whose revision never decreases."""

    log_prefix = "config"

    def __init__(self, context):
        super().__init__(context.reactor, context.settings.config_poll_s)
        self._context = context
        self._log = ConfigLog(context.table)
        self._retained: dict[int, LogEntry] = {}
        self.loaded = False

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        try:
            await self._catch_up_from_table()
        except PlatformError:
            offers = [message for message in messages if isinstance(message, PeerRevision)]
            if not offers:
                raise
            await self._catch_up_from_peer(max(offers, key=lambda offer: offer.revision))

    async def load(self) -> None:
        """Load the complete configuration at startup."""
        self._context.config = await self._log.load()
        self.loaded = True
        self._context.apply_config()
        self._emit()

    async def _catch_up_from_table(self) -> None:
        if not self.loaded:
            await self.load()
            return
        while await self._log.head() > self._context.config.revision:
            entries = await self._log.entries_after(self._context.config.revision)
            if not self._apply(entries):
                return

    async def _catch_up_from_peer(self, offer: PeerRevision) -> None:
        row = self._context.rows.get(offer.incarnation)
        if row is None or not self.loaded or offer.revision <= self._context.config.revision:
            return
        request = ConfigRequest(self._context.config.revision)
        answer = await self._context.peers.ask(row.peers_address, offer.incarnation, request)
        if isinstance(answer, ConfigDelta):
            entries = [msgspec.json.decode(entry.body, type=LogEntry) for entry in answer.entries]
            self._apply(entries)

    def entries_after(self, revision: int) -> ConfigDelta:
        """Return the retained log entries after a revision, for a peer."""
        entries = []
        while revision + 1 in self._retained:
            revision += 1
            entries.append(ConfigEntry(revision, msgspec.json.encode(self._retained[revision])))
        return ConfigDelta(tuple(entries))

    def _apply(self, entries: list[LogEntry]) -> bool:
        changed = False
        for entry in entries:
            if self._context.config.take(entry):
                changed = True
                self._retained[entry.revision] = entry
                self._retained.pop(entry.revision - RETAINED_ENTRIES, None)
        if changed:
            self._context.apply_config()
            self._emit()
        return changed

    def _emit(self) -> None:
        revision = self._context.config.revision
        self._context.metrics.gauge("config.revision", revision)
        self._context.events.emit("config.in_force", revision=revision)
