# SPDX-License-Identifier: BSD-3-Clause
"""Writes bills and drops run records that are billed."""

import msgspec
from twisted.internet.defer import Deferred

from turnward.budgets import Bill, BillWriter, GrantLedger, GrantStore
from turnward.peers.messages import RecordState, RunRecord
from turnward.router.task import TaskBase, Tick

__all__ = ["AddBill", "BillTask", "FlushBills"]

#: Seconds between looks at the waiting bills.
TICK_S = 0.1


class AddBill(msgspec.Struct, frozen=True, eq=False):
    """A run has ended; ``record`` is dropped once the bill stands."""

    bill: Bill
    record: RunRecord


class FlushBills(msgspec.Struct, frozen=True, eq=False):
    """Write everything; the answer is how many bills still wait."""

    answer: Deferred


class BillTask(TaskBase):
    """Owns the unwritten bills."""

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
        super().__init__(context.reactor, TICK_S, on_fenced)
        self._flushed_s = context.now_s()
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
                self._flushed_s = self._context.now_s()
                await self._flush()
        finally:
            for message in flushes:
                message.answer.callback(len(self.writer.pending))

    def _is_due(self) -> bool:
        """Tell whether to write now: a whole batch, a claim's outcome, or after a while."""
        waited_s = self._context.now_s() - self._flushed_s
        return self.writer.has_urgent() or waited_s >= self._context.settings.bill_flush_s

    def take_unwritten(self) -> list[AddBill]:
        """Return the bills not known to stand, for the next incarnation."""
        unwritten = []
        for bill in self.writer.pending:
            for record in self._billed_records.get(bill.key, []):
                unwritten.append(AddBill(bill, record))
        return unwritten

    def _add(self, message: AddBill) -> None:
        self._billed_records.setdefault(message.bill.key, []).append(message.record)
        if not self.writer.add(message.bill):
            self._drop_double(message.bill)

    async def _flush(self) -> None:
        done = await self.writer.flush()
        for bill in done.written:
            self._note_written(bill)
        for bill, standing in done.duplicates:
            self._note_doubled(bill, standing)
        for bill in done.orphaned:
            self._draw_anew(bill)

    def _note_written(self, bill: Bill) -> None:
        if bill.row.incarnation == self.writer.incarnation:
            self._store.record_billed_tokens(bill.row.budget, bill.row.tokens)
        self._context.metrics.count("bills.written")
        self._emit("bill.written", bill)
        self._release(bill)

    def _note_doubled(self, bill: Bill, standing) -> None:
        if standing.fingerprint != bill.row.fingerprint:
            request_id = f"{bill.row.request_id}~{bill.row.fingerprint}"
            row = msgspec.structs.replace(bill.row, request_id=request_id)
            other = Bill(row, bill.extra_writes)
            self._billed_records[other.key] = self._billed_records.pop(bill.key, [])
            self.writer.add(other)
            return
        self._drop_double(bill)
        self._release(bill)

    def _drop_double(self, bill: Bill) -> None:
        if bill.row.incarnation == self.writer.incarnation:
            self._ledger.unsettle(bill.row.budget, bill.row.tokens)
        self._context.metrics.count("bills.doubled")
        self._emit("bill.doubled", bill)

    def _draw_anew(self, bill: Bill) -> None:
        """Draw a bill whose grant is closed on this incarnation's own grant."""
        now_s = self._context.now_s()
        reserved = self._ledger.reserve(bill.row.budget, bill.row.tokens, now_s)
        if reserved.is_error():
            self._context.metrics.count("bills.orphaned")
            self._emit("bill.orphaned", bill)
            return
        self._ledger.settle(reserved.ok, bill.row.tokens)
        row = msgspec.structs.replace(bill.row, incarnation=self.writer.incarnation)
        self.writer.add(Bill(row, bill.extra_writes))

    def _release(self, bill: Bill) -> None:
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
