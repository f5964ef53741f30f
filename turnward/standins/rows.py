# SPDX-License-Identifier: BSD-3-Clause
"""A store of versioned rows in memory, with faults that can be switched on."""

import random

import msgspec
from twisted.internet import defer

from turnward.rows import (
    HistoryUnavailableError,
    RowKey,
    RowOutcomeUnknownError,
    RowsUnavailableError,
    StoredRow,
    StoreEras,
    TableChanges,
    VersionConflictError,
    VersionedStoreBase,
    VersionedTransaction,
)

__all__ = ["MemoryRows", "RowFaults", "RowsClient", "RowsCopy"]


class RowFaults(msgspec.Struct):
    """Faults of the store towards one caller, or all.

    Attributes
    ----------
    unavailable : bool
        Every call fails and nothing is done.
    lost_share : float
        Part of the writes that are done and not answered.
    late_share : float
        Part of the writes that are not answered and done ``late_s`` later,
        provided their condition still holds.
    delay_s : float
        Time until an answer.
    """

    unavailable: bool = False
    lost_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 3.0
    delay_s: float = 0.004


class RowsCopy(msgspec.Struct, frozen=True):
    """The rows as they were at one moment."""

    version: int
    rows: dict[RowKey, StoredRow]
    history: tuple[StoredRow, ...]
    history_from: int


class MemoryRows:
    """The rows, and what all callers share; versions here are numbers of the current era.

    Attributes
    ----------
    era : int
        Rises by one each time that the rows go back to a copy.
    version : int
        The newest version; after a return numbers are given out again.
    rollback_version : int
        The version of the copy that they last went back to; 0 before any return.
    """

    def __init__(self, clock, seed: int = 0):
        self.clock = clock
        self._draw = random.Random(seed)
        self._rows: dict[RowKey, StoredRow] = {}
        self._history: list[StoredRow] = []
        self._history_from = 0
        self._waiting: list[defer.Deferred] = []
        self.era = 0
        self.version = 0
        self.rollback_version = 0
        self.faults = RowFaults()
        self.writes = 0
        self.calls = 0

    def get(self, key: RowKey) -> StoredRow:
        """Return a row as it is; a missing one has version 0."""
        return self._rows.get(key, StoredRow(key, b"", 0))

    def put(self, table: str, key: str, value: bytes, part: str = "") -> int:
        """Write a row without a condition."""
        return self._store([StoredRow(RowKey(table, part, key), value, 0)])

    def remove(self, table: str, key: str, part: str = "") -> int:
        """Remove a row."""
        return self._store([StoredRow(RowKey(table, part, key), b"", 0, gone=True)])

    def forget_history(self) -> None:
        """Drop all changes; feeds that go on from before are told so."""
        self._history.clear()
        self._history_from = self.version
        self._wake()

    def copy(self) -> RowsCopy:
        """Return a copy to which the rows can go back."""
        return RowsCopy(self.version, dict(self._rows), tuple(self._history), self._history_from)

    def roll_back(self, copy: RowsCopy, rewritten_tables: tuple[str, ...] = ()) -> None:
        """Lose all that was written since a copy was made.

        Parameters
        ----------
        rewritten_tables : tuple of str
            Tables whose writers write at once again what they wrote since.
        """
        lost = self._rows
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        self._history_from = copy.history_from
        self.version = self.rollback_version = copy.version
        self.era += 1
        for key, row in lost.items():
            if key.table in rewritten_tables and self.get(key) != row:
                self._store([row])
        self._wake()

    def apply(self, transaction: VersionedTransaction) -> int:
        """Write if the conditions hold."""
        for change in transaction.changes:
            row = self.get(change.key)
            held = 0 if row.gone else row.version
            if held != change.expected_version:
                rows = [self.get(other.key) for other in transaction.changes]
                raise VersionConflictError(f"version {held}", rows)
        self.writes += 1
        rows = [StoredRow(change.key, change.value, 0) for change in transaction.changes]
        rows += [StoredRow(key, b"", 0, gone=True) for key in transaction.removals]
        return self._store(rows)

    def table(self, table: str, part: str) -> list[StoredRow]:
        """Return the rows of a part."""
        return [
            row
            for key, row in sorted(self._rows.items(), key=lambda item: item[0].key)
            if key.table == table and key.part == part and not row.gone
        ]

    def since(self, table: str, version: int) -> list[StoredRow]:
        """Return the changes of a table after a version."""
        if version < self._history_from:
            raise HistoryUnavailableError("forgotten")
        if version > self.version:
            raise HistoryUnavailableError("no such version")
        newest = {
            row.key: row
            for row in self._history
            if row.key.table == table and row.version > version
        }
        return sorted(newest.values(), key=lambda row: row.version)

    def wait(self) -> defer.Deferred:
        """Return a deferred that fires at the next change."""
        waiting = defer.Deferred()
        self._waiting.append(waiting)
        return waiting

    def draw(self) -> float:
        """Return a seeded random number."""
        return self._draw.random()

    def _store(self, rows: list[StoredRow]) -> int:
        self.version += 1
        for row in rows:
            row = msgspec.structs.replace(row, version=self.version)
            self._rows[row.key] = row
            self._history.append(row)
        self._wake()
        return self.version

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for deferred in waiting:
            if not deferred.called:
                deferred.callback(None)


class RowsClient(VersionedStoreBase):
    """One caller's way to the rows, with faults of its own.

    As over the wire, numbers alone are sent, and each answer names the era that it is of.
    """

    def __init__(self, rows: MemoryRows, reactor, faults: RowFaults | None = None):
        self._rows = rows
        self._reactor = reactor
        self._answered = False
        self._eras = StoreEras()
        #: Reads whose answers are held back, by table.
        self._held_reads: dict[str, list[defer.Deferred]] = {}
        self.faults = faults or RowFaults()

    def hold_reads(self, *tables: str) -> None:
        """Hold back the answers to all reads of some tables until they are released."""
        for table in tables:
            self._held_reads.setdefault(table, [])

    def release_reads(self, table: str) -> None:
        """Answer the reads of a table that were held back, as of now, and hold back no more."""
        for held in self._held_reads.pop(table, []):
            held.callback(None)

    @property
    def eras(self):
        """See ``VersionedStoreBase.eras``."""
        return self._eras

    def time_floor_s(self):
        """See ``VersionedStoreBase.time_floor_s``."""
        return self._reactor.seconds() if self._answered else None

    async def read_row(self, key):
        """See ``VersionedStoreBase.read_row``."""
        await self._travel(key.table)
        return self._answered_row(self._rows.get(key))

    async def read_table(self, table, part=""):
        """See ``VersionedStoreBase.read_table``."""
        await self._travel(table)
        return self._answered_rows(self._rows.table(table, part))

    async def transact(self, transaction):
        """See ``VersionedStoreBase.transact``."""
        era = self._eras.known
        sent = self._sent(transaction)
        await self._arrive()
        drawn = self._rows.draw()
        lost_share = max(self.faults.lost_share, self._rows.faults.lost_share)
        late_share = max(self.faults.late_share, self._rows.faults.late_share)
        if drawn < late_share:
            late_s = max(self.faults.late_s, self._rows.faults.late_s)
            self._rows.clock.callLater(late_s, self._apply_late, sent)
            raise RowOutcomeUnknownError("no answer")
        try:
            number = self._rows.apply(sent)
        except VersionConflictError as conflict:
            self._note_answer()
            rows = [self._answered_row(row) for row in conflict.rows]
            raise VersionConflictError(str(conflict), rows) from conflict
        if drawn < late_share + lost_share:
            raise RowOutcomeUnknownError("no answer")
        self._note_answer()
        if era is not None and self._eras.known != era:
            raise RowOutcomeUnknownError("done after the store came back from an older copy")
        return self._eras.version(number)

    async def changes(self, table, after_version, wait_s):
        """See ``VersionedStoreBase.changes``."""
        number = self._eras.after_number(after_version)
        await self._travel(table)
        self._eras.after_number(after_version)
        era = self._rows.era
        until_s = self._reactor.seconds() + wait_s
        while True:
            if self._rows.era != era:
                raise RowsUnavailableError("the connection ended")
            changed = self._rows.since(table, number)
            left_s = until_s - self._reactor.seconds()
            if changed or left_s <= 0:
                return self._answered_rows(changed)
            waiting = self._rows.wait()
            timer = self._reactor.callLater(left_s, _fire, waiting)
            await waiting
            if timer.active():
                timer.cancel()

    async def _travel(self, table: str) -> None:
        """Reach the store and have its answer to a read of a table."""
        await self._arrive()
        if table in self._held_reads:
            held = defer.Deferred()
            self._held_reads[table].append(held)
            await held
        self._note_answer()

    async def _arrive(self) -> None:
        self._rows.calls += 1
        arrived = defer.Deferred()
        delay_s = max(self.faults.delay_s, self._rows.faults.delay_s)
        self._reactor.callLater(delay_s, arrived.callback, None)
        await arrived
        if self.faults.unavailable or self._rows.faults.unavailable:
            raise RowsUnavailableError("the store is away")

    def _note_answer(self) -> None:
        self._eras.observe_era(self._rows.era)
        self._answered = True

    def _sent(self, transaction: VersionedTransaction) -> VersionedTransaction:
        """Return a transaction with the numbers that are sent."""
        changes = tuple(
            msgspec.structs.replace(
                change, expected_version=self._eras.expected_number(change.expected_version)
            )
            for change in transaction.changes
        )
        return msgspec.structs.replace(transaction, changes=changes)

    def _answered_row(self, row: StoredRow) -> StoredRow:
        if not row.version:
            return row
        return msgspec.structs.replace(row, version=self._eras.version(row.version))

    def _answered_rows(self, rows) -> TableChanges:
        version = self._eras.version(self._rows.version)
        return TableChanges(tuple(map(self._answered_row, rows)), version)

    def _apply_late(self, transaction) -> None:
        try:
            self._rows.apply(transaction)
        except VersionConflictError:
            return


def _fire(waiting: defer.Deferred) -> None:
    if not waiting.called:
        waiting.callback(None)
