# SPDX-License-Identifier: BSD-3-Clause
"""Replicates this router's run records to its buddies.

While a buddy does not acknowledge them, a record may be held by the other buddy alone. The store
then holds a copy as well, so that no bill is lost if that buddy and this router crash together.
Requests do not wait for it.
"""

import msgspec
from twisted.internet import defer
from twisted.internet.defer import Deferred

from turnward.peers.book import RecordOutbox, is_urgent
from turnward.peers.errors import PeerError
from turnward.peers.messages import PutRecords, RecordsAck, RecordState, RunRecord
from turnward.router.stored_records import StoredRecords
from turnward.router.task import TaskBase, Tick

__all__ = ["ReplicateRecord", "RecordTask"]

#: Time until records are sent again to a buddy that did not acknowledge a batch.
RETRY_INTERVAL_S = 0.5
#: Interval of sending non-urgent records. Longer than the wait of bills, so that most
#: records of finished runs are billed before they would be sent.
NON_URGENT_INTERVAL_S = 2.0
BATCH_RECORDS = 200
#: Takes the place of a buddy's incarnation for the copies in the store.
_STORE = ""
#: Rows in one transaction.
_STORE_BATCH_RECORDS = 40


class ReplicateRecord(msgspec.Struct, frozen=True, eq=False):
    """Replicate the record of a waiting request; the answer is whether a buddy holds it."""

    record: RunRecord
    answer: Deferred


class _BatchResult(msgspec.Struct, frozen=True, eq=False):
    """The outcome of sending a batch of records to a buddy."""

    buddy: str
    records: tuple[RunRecord, ...]
    held: bool


class RecordTask(TaskBase):
    """Owns the outbox; sends each buddy at most one batch at a time.

    Parameters
    ----------
    context : RouterContext
        Settings, clients and state of the router.
    incarnation : str
        The incarnation that the records belong to.
    """

    log_prefix = "records"

    def __init__(self, context, incarnation: str, on_fenced):
        super().__init__(context.reactor, RETRY_INTERVAL_S, on_fenced)
        self._context = context
        self._incarnation = incarnation
        self._on_refused = on_fenced
        self.outbox = RecordOutbox()
        self.buddies: tuple[str, ...] = ()
        self._waiting: dict[str, ReplicateRecord] = {}
        self._sending: set[str] = set()
        self._failed: set[str] = set()
        #: Buddies that did not acknowledge the latest batch sent to them.
        self._lagging: set[str] = set()
        self._stored = StoredRecords(context.table, incarnation)
        self._last_full_send_s = context.now_s()

    def put(self, record: RunRecord) -> None:
        """Queue a changed record, without waiting for an acknowledgement."""
        self.outbox.put(record)
        if is_urgent(record):
            self.tell(None)

    def set_buddies(self, buddies: tuple[str, ...]) -> None:
        """Set the routers to which records are sent."""
        self.buddies = buddies
        self._lagging.intersection_update(buddies)
        self.outbox.set_buddies(self._targets())

    def _targets(self) -> tuple[str, ...]:
        """Return where records are sent: to the buddies, and to the store if one is lagging."""
        return (*self.buddies, _STORE) if self._lagging else self.buddies

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        for message in messages:
            if isinstance(message, ReplicateRecord):
                self._hold(message)
            elif isinstance(message, _BatchResult):
                self._handle_result(message)
        if Tick() in messages:
            self._failed.clear()
        send_all = self._is_full_send_due()
        self.outbox.set_buddies(self._targets())
        for buddy in self._targets():
            if buddy in self._sending or buddy in self._failed:
                continue
            if self.outbox.has_urgent(buddy) or (send_all and self.outbox.unsent_count(buddy)):
                self._sending.add(buddy)
                defer.ensureDeferred(self._send(buddy, urgent_only=not send_all))
        if Tick() in messages and not self._lagging and _STORE not in self._sending:
            self._remove_stored()

    def _is_full_send_due(self) -> bool:
        now_s = self._context.now_s()
        due = now_s - self._last_full_send_s >= NON_URGENT_INTERVAL_S
        if due:
            self._last_full_send_s = now_s
        return due

    def _hold(self, message: ReplicateRecord) -> None:
        self.outbox.put(message.record)
        if self.buddies:
            self._waiting[message.record.run_id] = message
        else:
            message.answer.callback(False)

    async def _send(self, buddy: str, urgent_only: bool) -> None:
        if buddy == _STORE:
            await self._store(urgent_only)
            return
        records = self.outbox.next_unsent_records(buddy, BATCH_RECORDS, urgent_only)
        held = False
        row = self._context.rows.get(buddy)
        try:
            if row is not None:
                answer = await self._context.peers.ask(row.peers_address, buddy, _message(records))
                held = isinstance(answer, RecordsAck) and answer.accepted
                if not held:
                    self._on_refused()
        except PeerError:
            self._context.metrics.count("records.unacknowledged")
        self._sending.discard(buddy)
        self.tell(_BatchResult(buddy, records, held))

    async def _store(self, urgent_only: bool) -> None:
        records = self.outbox.next_unsent_records(_STORE, _STORE_BATCH_RECORDS, urgent_only)
        held = await self._stored.write(records)
        self._context.metrics.count("records.stored", len(records) if held else 0)
        self._sending.discard(_STORE)
        self.tell(_BatchResult(_STORE, records, held))

    def _remove_stored(self) -> None:
        """Remove the copies in the store; what fails is tried again with the next tick."""
        if self._stored.run_ids:
            self._sending.add(_STORE)
            defer.ensureDeferred(self._remove_batch())

    async def _remove_batch(self) -> None:
        await self._stored.remove(_STORE_BATCH_RECORDS)
        self._sending.discard(_STORE)

    def _handle_result(self, result: _BatchResult) -> None:
        if not result.held:
            self._failed.add(result.buddy)
            self._lagging.update({result.buddy} & set(self.buddies))
        else:
            self._lagging.discard(result.buddy)
            self.outbox.mark_acknowledged(result.buddy, result.records)
        for record in result.records:
            self._answer_waiter(record, result)

    def _answer_waiter(self, record: RunRecord, result: _BatchResult) -> None:
        waiter = self._waiting.get(record.run_id)
        if waiter is None or record.state is not RecordState.OPEN:
            return
        if result.held or not self._others_may_acknowledge(record, result.buddy):
            del self._waiting[record.run_id]
            if not waiter.answer.called:
                waiter.answer.callback(result.held)

    def _others_may_acknowledge(self, record: RunRecord, buddy: str) -> bool:
        """Return whether another buddy may still acknowledge the record."""
        return any(
            other != buddy
            and other not in self._failed
            and self.outbox.awaits_acknowledgement(other, record.run_id)
            for other in self.buddies
        )


def _message(records: tuple[RunRecord, ...]) -> PutRecords:
    held = tuple(record for record in records if record.state is not RecordState.BILLED)
    dropped = tuple(record.run_id for record in records if record.state is RecordState.BILLED)
    return PutRecords(held, dropped)
