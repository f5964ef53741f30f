# SPDX-License-Identifier: BSD-3-Clause
"""Writes bills in batches, at most one bill per request."""

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

#: Bills per transaction; each takes one or two of the 100 items that the store allows.
BATCH_BILLS = 40


class Bill(msgspec.Struct, frozen=True):
    """A bill to be written, with the rows that must change in the same transaction.

    Attributes
    ----------
    row : BillRow
        The bill. It is charged to the grant of ``row.incarnation``.
    extra_writes : tuple of Write
        Other writes of the same transaction, such as a claim's outcome.
    """

    row: BillRow
    extra_writes: tuple[Write, ...] = ()

    @property
    def key(self) -> str:
        """Key of the bill's row."""
        return bill_key(self.row.workspace, self.row.request_id)

    @property
    def grant(self) -> str:
        """Key of the row of the grant that the bill is charged to."""
        return grant_key(self.row.incarnation, self.row.budget)


class BillBatchResult(msgspec.Struct):
    """Outcome of a flush.

    Attributes
    ----------
    written : list of Bill
        Bills that are now stored.
    duplicates : list of tuple
        Bills not written, each with the stored bill of the same request id.
    orphaned : list of Bill
        Bills not written because the grant that they are charged to is closed.
    """

    written: list[Bill] = msgspec.field(default_factory=list)
    duplicates: list[tuple[Bill, BillRow]] = msgspec.field(default_factory=list)
    orphaned: list[Bill] = msgspec.field(default_factory=list)


class BillWriter:
    """Queues bills and writes them; a bill stays queued until the outcome of its write is known.

    Not safe for concurrent flushes: a single task must own it.

    Parameters
    ----------
    table : TableBase
        The shared store's table.
    incarnation : str
        Incarnation of the router that writes; it must not be fenced.
    """

    def __init__(self, table: TableBase, incarnation: str):
        self.incarnation = incarnation
        self._table = table
        self._pending: OrderedDict[str, Bill] = OrderedDict()

    @property
    def pending(self) -> list[Bill]:
        """Bills that are not known to be stored."""
        return list(self._pending.values())

    def has_urgent(self) -> bool:
        """Return whether a full batch, or a bill with extra writes, is queued."""
        return len(self._pending) >= BATCH_BILLS or any(
            bill.extra_writes for bill in self._pending.values()
        )

    def add(self, bill: Bill) -> bool:
        """Queue a bill; return False if a bill for the same request is already queued."""
        if bill.key in self._pending:
            return False
        self._pending[bill.key] = bill
        return True

    async def flush(self) -> BillBatchResult:
        """Write the queued bills.

        Raises
        ------
        FencedError
            The incarnation is fenced; the bills stay queued.
        PlatformUnavailableError
            The store was unreachable; the bills stay queued.
        """
        outcome = BillBatchResult()
        queued = self.pending
        for start in range(0, len(queued), BATCH_BILLS):
            await self._flush_batch(queued[start : start + BATCH_BILLS], outcome)
        return outcome

    async def _flush_batch(self, bills: list[Bill], outcome: BillBatchResult) -> None:
        while bills:
            try:
                result = await self._table.transact(self._transaction(bills))
            except OutcomeUnknownError:
                await self._read_back(bills, outcome)
                return
            if isinstance(result, Committed):
                self._dequeue(bills, outcome.written)
                return
            if router_key(self.incarnation) in result.keys:
                raise FencedError(f"incarnation {self.incarnation} is fenced")
            failed_keys = set(result.keys)
            affected = [bill for bill in bills if failed_keys & {bill.key, bill.grant}]
            await self._read_back(affected, outcome)
            orphaned = [
                bill for bill in affected if bill.key in self._pending and bill.grant in failed_keys
            ]
            self._dequeue(orphaned, outcome.orphaned)
            bills = [bill for bill in bills if bill not in affected]

    async def _read_back(self, bills: list[Bill], outcome: BillBatchResult) -> None:
        rows = await self._table.read([bill.key for bill in bills])
        written = [bill for bill in bills if self._is_stored(bill, rows.get(bill.key))]
        duplicates = [bill for bill in bills if bill.key in rows and bill not in written]
        self._dequeue(written, outcome.written)
        for bill in duplicates:
            del self._pending[bill.key]
            outcome.duplicates.append((bill, msgspec.convert(rows[bill.key].value, BillRow)))

    def _is_stored(self, bill: Bill, row: Row | None) -> bool:
        return row is not None and row.value == msgspec.to_builtins(bill.row)

    def _dequeue(self, bills: list[Bill], target: list[Bill]) -> None:
        for bill in bills:
            self._pending.pop(bill.key, None)
        target.extend(bills)

    def _transaction(self, bills: list[Bill]) -> Transaction:
        checks = [live_check(self.incarnation)]
        writes: list[Write] = []
        charged_tokens: Counter[tuple[str, str]] = Counter()
        for bill in bills:
            checks.append(Absent(bill.key))
            writes.append(Put(bill.key, msgspec.to_builtins(bill.row)))
            writes.extend(bill.extra_writes)
            charged_tokens[bill.grant, bill.row.incarnation] += bill.row.tokens
        for (grant, incarnation), tokens in charged_tokens.items():
            if tokens:
                checks.append(FieldIs(grant, "incarnation", incarnation))
                writes.append(Add(grant, "settled_tokens", tokens))
        return Transaction(tuple(checks), tuple(writes))
