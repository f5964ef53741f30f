# SPDX-License-Identifier: BSD-3-Clause
"""Writes bills, each request once, in batches."""

from collections import Counter, OrderedDict

import msgspec

from turnward.budgets.rows import BillRow, bill_key, grant_key
from turnward.fleet import FencedError, live_check, router_key
from turnward.store import (
    Absent,
    Add,
    Committed,
    FieldIs,
    OutcomeUnknownError,
    Put,
    Row,
    TableBase,
    Transaction,
    Write,
)

__all__ = ["Bill", "BillBatchResult", "BillWriter"]

#: Bills in one transaction; each takes one or two items of the table's limit of 100.
BATCH_BILLS = 40


class Bill(msgspec.Struct, frozen=True):
    """A bill to be written, and rows that must change with it.

    Attributes
    ----------
    row : BillRow
        The bill; ``row.incarnation`` names the grant it is drawn on.
    extra_writes : tuple of Write
        Further writes of the same transaction, such as a claim's outcome.
    """

    row: BillRow
    extra_writes: tuple[Write, ...] = ()

    @property
    def key(self) -> str:
        """Key of the bill's row."""
        return bill_key(self.row.workspace, self.row.request_id)

    @property
    def grant(self) -> str:
        """Key of the grant row it draws on."""
        return grant_key(self.row.incarnation, self.row.budget)


class BillBatchResult(msgspec.Struct):
    """What became of a batch.

    Attributes
    ----------
    written : list of Bill
        Stand in the table now.
    doubled : list of tuple
        Bills not written, each with the bill of the same request id that stands.
    orphaned : list of Bill
        Not written, since the grant they draw on is closed.
    """

    written: list[Bill] = msgspec.field(default_factory=list)
    duplicates: list[tuple[Bill, BillRow]] = msgspec.field(default_factory=list)
    orphaned: list[Bill] = msgspec.field(default_factory=list)


class BillWriter:
    """Keeps unwritten bills and writes them; a bill leaves only when it stands in the table.

    Not safe for concurrent flushes: one task owns it.

    Parameters
    ----------
    table : TableBase
        The platform's table.
    incarnation : str
        The writer; its row must be live.
    """

    def __init__(self, table: TableBase, incarnation: str):
        self.incarnation = incarnation
        self._table = table
        self._pending: OrderedDict[str, Bill] = OrderedDict()

    @property
    def pending(self) -> list[Bill]:
        """Bills not known to stand in the table."""
        return list(self._pending.values())

    def has_urgent(self) -> bool:
        """Tell whether a bill waits that others look for, or a whole batch."""
        return len(self._pending) >= BATCH_BILLS or any(
            bill.extra_writes for bill in self._pending.values()
        )

    def add(self, bill: Bill) -> bool:
        """Queue a bill; False when a bill for the same request waits already."""
        if bill.key in self._pending:
            return False
        self._pending[bill.key] = bill
        return True

    async def flush(self) -> BillBatchResult:
        """Write the waiting bills.

        Raises
        ------
        FencedError
            The incarnation is not live any more; the bills stay queued.
        PlatformUnavailableError
            The table was not reached; the bills stay queued.
        """
        done = BillBatchResult()
        waiting = self.pending
        for start in range(0, len(waiting), BATCH_BILLS):
            await self._flush_batch(waiting[start : start + BATCH_BILLS], done)
        return done

    async def _flush_batch(self, bills: list[Bill], done: BillBatchResult) -> None:
        while bills:
            try:
                result = await self._table.transact(self._transaction(bills))
            except OutcomeUnknownError:
                await self._read_back(bills, done)
                return
            if isinstance(result, Committed):
                self._finish(bills, done.written)
                return
            if router_key(self.incarnation) in result.keys:
                raise FencedError(f"incarnation {self.incarnation} is fenced")
            failed = set(result.keys)
            hit = [bill for bill in bills if failed & {bill.key, bill.grant}]
            await self._read_back(hit, done)
            orphaned = [bill for bill in hit if bill.key in self._pending and bill.grant in failed]
            self._finish(orphaned, done.orphaned)
            bills = [bill for bill in bills if bill not in hit]

    async def _read_back(self, bills: list[Bill], done: BillBatchResult) -> None:
        rows = await self._table.read([bill.key for bill in bills])
        ours = [bill for bill in bills if self._is_ours(bill, rows.get(bill.key))]
        others = [bill for bill in bills if bill.key in rows and bill not in ours]
        self._finish(ours, done.written)
        for bill in others:
            del self._pending[bill.key]
            done.duplicates.append((bill, msgspec.convert(rows[bill.key].value, BillRow)))

    def _is_ours(self, bill: Bill, row: Row | None) -> bool:
        return row is not None and row.value == msgspec.to_builtins(bill.row)

    def _finish(self, bills: list[Bill], into: list[Bill]) -> None:
        for bill in bills:
            self._pending.pop(bill.key, None)
        into.extend(bills)

    def _transaction(self, bills: list[Bill]) -> Transaction:
        checks = [live_check(self.incarnation)]
        writes: list[Write] = []
        drawn: Counter[tuple[str, str]] = Counter()
        for bill in bills:
            checks.append(Absent(bill.key))
            writes.append(Put(bill.key, msgspec.to_builtins(bill.row)))
            writes.extend(bill.extra_writes)
            drawn[bill.grant, bill.row.incarnation] += bill.row.tokens
        for (grant, incarnation), tokens in drawn.items():
            if tokens:
                checks.append(FieldIs(grant, "incarnation", incarnation))
                writes.append(Add(grant, "settled_tokens", tokens))
        return Transaction(tuple(checks), tuple(writes))
