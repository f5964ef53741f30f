# SPDX-License-Identifier: BSD-3-Clause
"""Copies of a router's open run records in the shared store."""

import msgspec

from turnward.fleet import live_check
from turnward.peers.messages import RecordState, RunRecord, stored_record_key
from turnward.store import Committed, Delete, PlatformError, Put, TableBase, Transaction, Write

__all__ = ["StoredRecords"]


class StoredRecords:
    """Writes and removes copies of run records; a recovery reads them.

    Parameters
    ----------
    table : TableBase
        The shared store's table.
    incarnation : str
        The incarnation that the records belong to.

    Attributes
    ----------
    run_ids : set of str
        Runs whose records the store may hold.
    """

    def __init__(self, table: TableBase, incarnation: str):
        self._table = table
        self._incarnation = incarnation
        self.run_ids: set[str] = set()

    async def write(self, records: tuple[RunRecord, ...]) -> bool:
        """Store the records, and remove those of billed runs; return whether that succeeded."""
        billed = {
            record.run_id for record in records if record.state is RecordState.BILLED
        } & self.run_ids
        kept = [record for record in records if record.state is not RecordState.BILLED]
        # An outcome may be unknown, so that the rows have to be removed in any case.
        self.run_ids.update(record.run_id for record in kept)
        writes = [Put(self._key(record.run_id), msgspec.to_builtins(record)) for record in kept]
        return await self._commit([*writes, *self._deletions(billed)], billed)

    async def remove(self, limit: int) -> bool:
        """Remove up to ``limit`` copies; return whether that succeeded."""
        run_ids = set(sorted(self.run_ids)[:limit])
        return await self._commit(self._deletions(run_ids), run_ids)

    async def _commit(self, writes: list[Write], removed: set[str]) -> bool:
        if writes:
            transaction = Transaction((live_check(self._incarnation),), tuple(writes))
            try:
                result = await self._table.transact(transaction)
            except PlatformError:
                return False
            if not isinstance(result, Committed):
                return False
        self.run_ids -= removed
        return True

    def _deletions(self, run_ids: set[str]) -> list[Write]:
        return [Delete(self._key(run_id)) for run_id in sorted(run_ids)]

    def _key(self, run_id: str) -> str:
        return stored_record_key(self._incarnation, run_id)
