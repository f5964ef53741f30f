# SPDX-License-Identifier: BSD-3-Clause
"""Copies this router's run records to its buddies."""

import msgspec
from twisted.internet import defer
from twisted.internet.defer import Deferred

from turnward.peers.book import RecordOutbox, is_urgent
from turnward.peers.errors import PeerError
from turnward.peers.messages import PutRecords, RecordsAck, RecordState, RunRecord
from turnward.router.task import TaskBase, Tick

__all__ = ["ReplicateRecord", "RecordTask"]

#: Seconds for which a buddy that did not acknowledge is left alone.
REST_S = 0.5
#: Seconds after which records that need not be sent at once are sent; longer than bills
#: wait, so that most ends of runs are overtaken by their bills.
LAZY_S = 2.0
#: Records in one message.
BATCH_RECORDS = 200


class ReplicateRecord(msgspec.Struct, frozen=True, eq=False):
    """A request waits until a buddy holds its record; the answer is True or False."""

    record: RunRecord
    answer: Deferred


class _Sent(msgspec.Struct, frozen=True, eq=False):
    """A buddy's answer to a batch."""

    buddy: str
    records: tuple[RunRecord, ...]
    held: bool


class RecordTask(TaskBase):
    """Owns the outbox; sends to each buddy one batch at a time.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    incarnation : str
        Whose records these are.
    """

    log_prefix = "records"

    def __init__(self, context, incarnation: str, on_fenced):
        super().__init__(context.reactor, REST_S, on_fenced)
        self._context = context
        self._incarnation = incarnation
        self._refused = on_fenced
        self.outbox = RecordOutbox()
        self.buddies: tuple[str, ...] = ()
        self._waiting: dict[str, ReplicateRecord] = {}
        self._sending: set[str] = set()
        self._failed: set[str] = set()
        self._lazy_s = context.now_s()

    def put(self, record: RunRecord) -> None:
        """Queue a change of a record; nobody waits for it."""
        self.outbox.put(record)
        if is_urgent(record):
            self.tell(None)

    def set_buddies(self, buddies: tuple[str, ...]) -> None:
        """Change whom records are sent to."""
        self.buddies = buddies
        self.outbox.set_buddies(buddies)

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        for message in messages:
            if isinstance(message, ReplicateRecord):
                self._hold(message)
            elif isinstance(message, _Sent):
                self._take_answer(message)
        if Tick() in messages:
            self._failed.clear()
        everything = self._is_lazy_due()
        for buddy in self.buddies:
            if buddy in self._sending or buddy in self._failed:
                continue
            if self.outbox.has_urgent(buddy) or (everything and self.outbox.unsent_count(buddy)):
                self._sending.add(buddy)
                defer.ensureDeferred(self._send(buddy, urgent_only=not everything))

    def _is_lazy_due(self) -> bool:
        now_s = self._context.now_s()
        due = now_s - self._lazy_s >= LAZY_S
        if due:
            self._lazy_s = now_s
        return due

    def _hold(self, message: ReplicateRecord) -> None:
        self.outbox.put(message.record)
        if self.buddies:
            self._waiting[message.record.run_id] = message
        else:
            message.answer.callback(False)

    async def _send(self, buddy: str, urgent_only: bool) -> None:
        records = self.outbox.next_unsent_records(buddy, BATCH_RECORDS, urgent_only)
        held = False
        row = self._context.rows.get(buddy)
        try:
            if row is not None:
                answer = await self._context.peers.ask(row.peers_address, buddy, _message(records))
                held = isinstance(answer, RecordsAck) and answer.accepted
                if not held:
                    self._refused()
        except PeerError:
            self._context.metrics.count("records.unacknowledged")
        self._sending.discard(buddy)
        self.tell(_Sent(buddy, records, held))

    def _take_answer(self, sent: _Sent) -> None:
        if not sent.held:
            self._failed.add(sent.buddy)
        else:
            self.outbox.mark_acknowledged(sent.buddy, sent.records)
        for record in sent.records:
            self._answer_waiter(record, sent)

    def _answer_waiter(self, record: RunRecord, sent: _Sent) -> None:
        waiter = self._waiting.get(record.run_id)
        if waiter is None or record.state is not RecordState.OPEN:
            return
        if sent.held or not self._others_may_hold(record, sent.buddy):
            del self._waiting[record.run_id]
            if not waiter.answer.called:
                waiter.answer.callback(sent.held)

    def _others_may_hold(self, record: RunRecord, buddy: str) -> bool:
        """Tell whether another buddy still has to answer for the record."""
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
