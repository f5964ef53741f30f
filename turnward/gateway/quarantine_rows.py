# SPDX-License-Identifier: BSD-3-Clause
"""Stores confirmed quarantines, so that they survive a simultaneous crash of all routers.

Routers announce quarantined contents to each other directly, without the store. In addition, the
router that observed the deciding abort writes a row, which every router reads when it starts.
"""

import random

import msgspec
from twisted.internet import defer, task

from turnward.bounds import Number
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

__all__ = ["QUARANTINE_TABLE", "QuarantineRow", "QuarantineRows"]

QUARANTINE_TABLE = "quarantine"
#: Range of the random delay before a failed store call is retried, so that routers do not retry at
#: the same time.
_RETRY_DELAY_S = (0.3, 0.9)
_MAX_REMOVALS_PER_CALL = 50


class QuarantineRow(msgspec.Struct, frozen=True):
    """The stored quarantine of one content.

    Attributes
    ----------
    store_time_s : float
        When the row was written, by the store's clock; the ages in ``lost`` are relative to it.
    lost : tuple of AbortedRun
        The aborted runs that led to the quarantine.
    """

    store_time_s: Number
    lost: tuple[AbortedRun, ...]

    def aged(self, store_time_s: float) -> tuple[AbortedRun, ...]:
        """Return the aborted runs with their ages as of a later time of the store's clock."""
        elapsed_ms = max(0, round((store_time_s - self.store_time_s) * 1_000))
        return tuple(
            msgspec.structs.replace(
                run,
                sent_age_ms=run.sent_age_ms + elapsed_ms,
                aborted_age_ms=run.aborted_age_ms + elapsed_ms,
            )
            for run in self.lost
        )


class QuarantineRows:
    """Reads stored quarantines at startup, and writes those that this router confirmed.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Holds the rows. Nothing is stored if it has no clock, since ages are relative to that.
    quarantine : Quarantine
        Merges the aborted runs that the rows contain.
    unreadable_rows : UnreadableRows
        Records rows that can't be decoded.
    rng : random.Random
        Draws the delays of retries.
    table : str
        Table of the rows.

    Attributes
    ----------
    read : bool
        Whether the quarantines stored before this start have been read.
    """

    def __init__(
        self,
        reactor,
        store: VersionedStoreBase,
        quarantine: Quarantine,
        unreadable_rows: UnreadableRows,
        rng: random.Random,
        table: str = QUARANTINE_TABLE,
    ):
        self._table = table
        self._reactor = reactor
        self._store = store
        self._quarantine = quarantine
        self._unreadable_rows = unreadable_rows
        self._rng = rng
        #: Contents whose rows are to be written or removed, depending on their verdict then.
        self._pending: list[str] = []
        #: Contents whose rows this router has written, and has to remove.
        self._written: set[str] = set()
        self._writing = False
        self.read = False

    def start(self) -> None:
        """Read the quarantines that routers have stored so far."""
        defer.ensureDeferred(self._read_rows())

    def handle_change(self, change: QuarantineChange) -> None:
        """Write or remove a content's row if this router is responsible for it."""
        responsible = change.content in self._written or (
            change.local and change.verdict is Verdict.CONFIRMED
        )
        if responsible:
            self._schedule_write(change.content)

    def handle_rollback(self) -> None:
        """Write this router's rows again: the rollback of the store may have lost them."""
        for content in tuple(self._written):
            self._schedule_write(content)

    def _schedule_write(self, content: str) -> None:
        if content not in self._pending:
            self._pending.append(content)
        if not self._writing:
            self._writing = True
            defer.ensureDeferred(self._write_pending())

    async def _wait_before_retry(self) -> None:
        await task.deferLater(self._reactor, self._rng.uniform(*_RETRY_DELAY_S))

    async def _read_rows(self) -> None:
        while True:
            try:
                table = await self._store.read_table(self._table)
            except RowStoreError:
                await self._wait_before_retry()
                continue
            break
        now_s = self._store.time_floor_s()
        expired = self._merge_rows(table.rows, now_s) if now_s is not None else []
        self.read = True
        if expired:
            await self._remove(expired[:_MAX_REMOVALS_PER_CALL])

    def _merge_rows(self, rows: tuple[StoredRow, ...], store_time_s: float) -> list[RowKey]:
        """Merge the quarantines in some rows, and return the keys of those that have expired."""
        expired = []
        for row in rows:
            try:
                lost = msgspec.json.decode(row.value, type=QuarantineRow).aged(store_time_s)
            except ROW_DECODE_ERRORS as error:
                self._unreadable_rows.mark_unreadable(row, error)
                continue
            if self._quarantine.within_retention(lost):
                self._quarantine.merge(QuarantineUpdate(lost))
            else:
                expired.append(row.key)
        return expired

    async def _remove(self, keys: list[RowKey]) -> None:
        try:
            await self._store.transact(VersionedTransaction((), tuple(keys)))
        except RowStoreError:
            # The next router that starts tries again.
            return

    async def _write_pending(self) -> None:
        while self._pending:
            try:
                await self._write(self._pending[0])
                del self._pending[0]
            except RowStoreError:
                await self._wait_before_retry()
        self._writing = False

    async def _write(self, content: str) -> None:
        """Write or remove a content's row according to its current verdict."""
        key = RowKey(self._table, "", content)
        row = await self._store.read_row(key)
        now_s = self._store.time_floor_s()
        if now_s is None:
            return
        confirmed = self._quarantine.verdict(content) is Verdict.CONFIRMED
        lost = self._quarantine.aborted_runs_of(content) if confirmed else ()
        if lost:
            value = msgspec.json.encode(QuarantineRow(now_s, lost))
            change = RowChange(key, value, 0 if row.gone else row.version)
            self._written.add(content)
            try:
                await self._store.transact(VersionedTransaction((change,)))
            except VersionConflictError:
                # Another router has just written the row.
                return
            return
        self._written.discard(content)
        if row.version and not row.gone:
            await self._store.transact(VersionedTransaction((), (key,)))
