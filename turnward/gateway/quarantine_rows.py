# SPDX-License-Identifier: BSD-3-Clause
"""Keeps in the store what is held back for sure, so that it outlasts the death of all routers.

Routers tell each other what they hold back, which needs no store. A row is written beside that by
the router whose loss was the last one needed, and read by each router that starts: after all had
died at once, a request that ends endpoints ended three more.
"""

import random

import msgspec
from twisted.internet import defer, task

from turnward.gateway.unreadable_rows import ROW_DECODE_ERRORS, UnreadableRows
from turnward.quarantine import AbortedRun, Quarantine, QuarantineChange, QuarantineUpdate, Verdict
from turnward.rows import (
    RowChange,
    RowKey,
    RowStoreError,
    StoredRow,
    VersionConflictError,
    VersionedStoreBase,
    VersionedTransaction,
)

__all__ = ["QuarantineRow", "QuarantineRows"]

QUARANTINE_TABLE = "quarantine"
#: Seconds between two tries while the store is away; spread over the routers.
_AGAIN_S = (0.3, 0.9)
#: Most rows that are removed with one call.
_REMOVALS_LIMIT = 50


class QuarantineRow(msgspec.Struct, frozen=True):
    """The row of a content.

    Attributes
    ----------
    store_time_s : float
        By the store's clock; the ages in ``lost`` are as of then.
    """

    store_time_s: float
    lost: tuple[AbortedRun, ...]

    def aged(self, store_time_s: float) -> tuple[AbortedRun, ...]:
        """Return the losses with their ages as of a later time of the store's clock."""
        passed_ms = max(0, round((store_time_s - self.store_time_s) * 1_000))
        return tuple(
            msgspec.structs.replace(
                run,
                sent_age_ms=run.sent_age_ms + passed_ms,
                lost_age_ms=run.lost_age_ms + passed_ms,
            )
            for run in self.lost
        )


class QuarantineRows:
    """Reads the rows at the start, and writes what this router's own losses made known.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Holds the rows; one that tells no time keeps none, since ages could not be told.
    quarantine : Quarantine
        Takes in what the rows tell.
    unreadable_rows : UnreadableRows
        Told of rows that can't be read.
    draw : random.Random
        Spreads tries over time.
    """

    def __init__(
        self,
        reactor,
        store: VersionedStoreBase,
        quarantine: Quarantine,
        unreadable_rows: UnreadableRows,
        draw: random.Random,
    ):
        self._reactor = reactor
        self._store = store
        self._quarantine = quarantine
        self._unreadable_rows = unreadable_rows
        self._draw = draw
        #: Contents whose rows are to be written or removed, as the quarantine then knows them.
        self._pending: list[str] = []
        #: Contents of which this router has written a row; it removes them too.
        self._written: set[str] = set()
        self._writing = False

    def start(self) -> None:
        """Read what earlier processes of any router have written."""
        defer.ensureDeferred(self._read_until_done())

    def handle_change(self, change: QuarantineChange) -> None:
        """Write or remove a content's row, if what happened here changed it."""
        concerns = change.content in self._written or (
            change.local and change.verdict is Verdict.CONFIRMED
        )
        if concerns:
            self._want(change.content)

    def handle_rollback(self) -> None:
        """Write this router's rows anew: the store may have lost them."""
        for content in tuple(self._written):
            self._want(content)

    def _want(self, content: str) -> None:
        if content not in self._pending:
            self._pending.append(content)
        if not self._writing:
            self._writing = True
            defer.ensureDeferred(self._write_pending())

    async def _pause(self) -> None:
        await task.deferLater(self._reactor, self._draw.uniform(*_AGAIN_S))

    async def _read_until_done(self) -> None:
        while True:
            try:
                table = await self._store.read_table(QUARANTINE_TABLE)
            except RowStoreError:
                await self._pause()
                continue
            now_s = self._store.time_floor_s()
            if now_s is not None:
                await self._take_in(table.rows, now_s)
            return

    async def _take_in(self, rows: tuple[StoredRow, ...], store_time_s: float) -> None:
        forgotten = []
        for row in rows:
            try:
                lost = msgspec.json.decode(row.value, type=QuarantineRow).aged(store_time_s)
            except ROW_DECODE_ERRORS as failure:
                self._unreadable_rows.mark_unreadable(row, failure)
                continue
            if self._quarantine.within_retention(lost):
                self._quarantine.merge(QuarantineUpdate(lost))
            else:
                forgotten.append(row.key)
        if forgotten:
            await self._remove(forgotten[:_REMOVALS_LIMIT])

    async def _remove(self, keys: list[RowKey]) -> None:
        try:
            await self._store.transact(VersionedTransaction((), tuple(keys)))
        except RowStoreError:
            # The next router that starts finds them again.
            return

    async def _write_pending(self) -> None:
        while self._pending:
            try:
                await self._write(self._pending[0])
                del self._pending[0]
            except RowStoreError:
                await self._pause()
        self._writing = False

    async def _write(self, content: str) -> None:
        """Bring a content's row in line with what is known here."""
        key = RowKey(QUARANTINE_TABLE, "", content)
        row = await self._store.read_row(key)
        now_s = self._store.time_floor_s()
        if now_s is None:
            return
        sure = self._quarantine.verdict(content) is Verdict.CONFIRMED
        lost = self._quarantine.aborted_runs_of(content) if sure else ()
        if lost:
            value = msgspec.json.encode(QuarantineRow(now_s, lost))
            change = RowChange(key, value, 0 if row.gone else row.version)
            self._written.add(content)
            try:
                await self._store.transact(VersionedTransaction((change,)))
            except VersionConflictError:
                # Another router has just written the same.
                return
            return
        self._written.discard(content)
        if row.version and not row.gone:
            await self._store.transact(VersionedTransaction((), (key,)))
