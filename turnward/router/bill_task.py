# SPDX-License-Identifier: BSD-3-Clause
"""Writes bills to the store, and releases the run records that they cover."""

import msgspec
from twisted.internet.defer import Deferred

from turnward.budgets import Bill, BillWriter, GrantLedger, GrantStore
from turnward.peers.messages import RecordState, RunRecord
from turnward.router.task import TaskBase, Tick

__all__ = ["AddBill", "BillTask", "FlushBills"]

PERIOD_S = 0.1


class AddBill(msgspec.Struct, frozen=True, eq=False):
    """Queue the bill of a finished run; ``record`` is released once the bill is stored."""

    bill: Bill
    record: RunRecord


class FlushBills(msgspec.Struct, frozen=True, eq=False):
    """Write all pending bills; the answer is the number that is still pending."""

    answer: Deferred


class BillTask(TaskBase):
    """Owns the bills that are not stored yet."""

    log_prefix = "bills"

    def __init__(
        self,
        context,
        writer: BillWriter,
        ledger: GrantLedger,
        store: GrantStore,
        records,
        on_fenced,
    ):
        super().__init__(context.reactor, PERIOD_S, on_fenced)
        self._last_flush_s = context.now_s()
        self._context = context
        self.writer = writer
        self._ledger = ledger
        self._store = store
        self._records = records
        self._billed_records: dict[str, list[RunRecord]] = {}

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        for message in messages:
            if isinstance(message, AddBill):
                self._add(message)
        flushes = [message for message in messages if isinstance(message, FlushBills)]
        try:
            if flushes or (Tick() in messages and self._is_due()):
                self._last_flush_s = self._context.now_s()
                await self._flush()
        finally:
            for message in flushes:
                message.answer.callback(len(self.writer.pending))

    def _is_due(self) -> bool:
        """Return whether a full batch or an urgent bill waits, or the flush interval is over."""
        waited_s = self._context.now_s() - self._last_flush_s
        return self.writer.has_urgent() or waited_s >= self._context.settings.bill_flush_s

    def take_unwritten(self) -> list[AddBill]:
        """Return the bills not known to be stored, for the next incarnation to write."""
        unwritten = []
        for bill in self.writer.pending:
            for record in self._billed_records.get(bill.key, []):
                unwritten.append(AddBill(bill, record))
        return unwritten

    def _add(self, message: AddBill) -> None:
        self._billed_records.setdefault(message.bill.key, []).append(message.record)
        if not self.writer.add(message.bill):
            self._drop_duplicate(message.bill)

    async def _flush(self) -> None:
        result = await self.writer.flush()
        for bill in result.written:
            self._on_written(bill)
        for bill, stored_row in result.duplicates:
            self._on_duplicate(bill, stored_row)
        for bill in result.orphaned:
            self._move_to_own_grant(bill)

    def _on_written(self, bill: Bill) -> None:
        if bill.row.incarnation == self.writer.incarnation:
            self._store.record_billed_tokens(bill.row.budget, bill.row.tokens)
        self._context.metrics.count("bills.written")
        self._emit("bill.written", bill)
        self._release_records(bill)

    def _on_duplicate(self, bill: Bill, stored_row) -> None:
        if stored_row.fingerprint != bill.row.fingerprint:
            request_id = f"{bill.row.request_id}~{bill.row.fingerprint}"
            row = msgspec.structs.replace(bill.row, request_id=request_id)
            renamed_bill = Bill(row, bill.extra_writes)
            self._billed_records[renamed_bill.key] = self._billed_records.pop(bill.key, [])
            self.writer.add(renamed_bill)
            return
        self._drop_duplicate(bill)
        self._release_records(bill)

    def _drop_duplicate(self, bill: Bill) -> None:
        if bill.row.incarnation == self.writer.incarnation:
            self._ledger.unsettle(bill.row.budget, bill.row.tokens)
        self._context.metrics.count("bills.doubled")
        self._emit("bill.doubled", bill)

    def _move_to_own_grant(self, bill: Bill) -> None:
        """Charge a bill whose grant is closed to the grant of this incarnation."""
        now_s = self._context.now_s()
        reserved = self._ledger.reserve(bill.row.budget, bill.row.tokens, now_s)
        if reserved.is_error():
            self._context.metrics.count("bills.orphaned")
            self._emit("bill.orphaned", bill)
            return
        self._ledger.settle(reserved.ok, bill.row.tokens)
        row = msgspec.structs.replace(bill.row, incarnation=self.writer.incarnation)
        self.writer.add(Bill(row, bill.extra_writes))

    def _release_records(self, bill: Bill) -> None:
        for record in self._billed_records.pop(bill.key, []):
            self._records.put(msgspec.structs.replace(record, state=RecordState.BILLED))

    def _emit(self, kind: str, bill: Bill) -> None:
        self._context.events.emit(
            kind,
            request_id=bill.row.request_id,
            workspace=bill.row.workspace,
            endpoint=bill.row.endpoint,
            tokens=bill.row.tokens,
        )
