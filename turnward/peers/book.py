# SPDX-License-Identifier: BSD-3-Clause
"""Run records that a router holds for other routers, and its own that others must hold."""

from collections import OrderedDict
from itertools import islice

from turnward.peers.messages import RecordState, RunRecord

__all__ = ["RecordBook", "RecordOutbox", "is_urgent"]


def is_urgent(record: RunRecord) -> bool:
    """Return whether a record must be sent to the buddies without delay.

    An open record must be held before its request is sent. That a call which must
    not be repeated has ended is known from its record alone. Other closed records
    may be sent later, since the endpoint can report the end of their runs.
    """
    return record.state is RecordState.OPEN or (
        record.state is RecordState.CLOSED and not record.repeatable
    )


class RecordBook:
    """Run records held for other routers, by their incarnation.

    Records do not expire: a record is removed only when its owner drops it after
    billing, or when its owner's recovery is closed.
    """

    def __init__(self):
        self._records: dict[str, dict[str, RunRecord]] = {}
        self._closed: set[str] = set()

    def put(self, incarnation: str, records: tuple[RunRecord, ...], dropped=()) -> bool:
        """Store new records and remove dropped ones; False if ``close`` was called."""
        if incarnation in self._closed:
            return False
        held_records = self._records.setdefault(incarnation, {})
        for record in records:
            held_records[record.run_id] = record
        for run_id in dropped:
            held_records.pop(run_id, None)
        return True

    def close(self, incarnation: str) -> tuple[RunRecord, ...]:
        """Stop accepting records of a fenced incarnation and return those held."""
        self._closed.add(incarnation)
        return tuple(self._records.get(incarnation, {}).values())

    def forget(self, incarnation: str) -> None:
        """Remove the records of an incarnation whose recovery is closed."""
        self._records.pop(incarnation, None)

    def count(self) -> int:
        """Return the number of held records."""
        return sum(len(held_records) for held_records in self._records.values())


class RecordOutbox:
    """This router's own records, and which of them each buddy has yet to acknowledge.

    Attributes
    ----------
    open_records : dict
        Every record that is not billed yet, by run id.
    """

    def __init__(self):
        self.open_records: OrderedDict[str, RunRecord] = OrderedDict()
        self._unacknowledged: dict[str, OrderedDict[str, RunRecord]] = {}
        self._initial_copy: dict[str, set[str]] = {}

    def set_buddies(self, buddies: tuple[str, ...]) -> None:
        """Set the buddies that receive records; every open record is queued for a new buddy."""
        for buddy in buddies:
            if buddy not in self._unacknowledged:
                self._unacknowledged[buddy] = OrderedDict(self.open_records)
                self._initial_copy[buddy] = set(self.open_records)
        for buddy in set(self._unacknowledged) - set(buddies):
            del self._unacknowledged[buddy]
            del self._initial_copy[buddy]

    def has_initial_copy(self, buddy: str) -> bool:
        """Return whether a buddy holds every record that was open when it was added."""
        return not self._initial_copy.get(buddy, {""})

    def put(self, record: RunRecord) -> None:
        """Queue a new or changed record for every buddy."""
        if record.state is RecordState.BILLED:
            self.open_records.pop(record.run_id, None)
        else:
            self.open_records[record.run_id] = record
        for queue in self._unacknowledged.values():
            queue[record.run_id] = record

    def next_unsent_records(
        self, buddy: str, limit: int, urgent_only: bool
    ) -> tuple[RunRecord, ...]:
        """Return up to ``limit`` records to send to a buddy.

        Each queued record is sent in its latest state, so a run that is closed and
        billed in quick succession may be sent as billed only.
        """
        queue = self._unacknowledged.get(buddy, {}).values()
        matching = (record for record in queue if not urgent_only or is_urgent(record))
        return tuple(islice(matching, limit))

    def has_urgent(self, buddy: str) -> bool:
        """Return whether a queued record must be sent without delay."""
        return any(is_urgent(record) for record in self._unacknowledged.get(buddy, {}).values())

    def mark_acknowledged(self, buddy: str, records: tuple[RunRecord, ...]) -> None:
        """Record that a buddy holds these records."""
        queue = self._unacknowledged.get(buddy, {})
        initial_copy = self._initial_copy.get(buddy, set())
        for record in records:
            initial_copy.discard(record.run_id)
            if queue.get(record.run_id) == record:
                del queue[record.run_id]

    def awaits_acknowledgement(self, buddy: str, run_id: str) -> bool:
        """Return whether a buddy has yet to acknowledge a record."""
        return run_id in self._unacknowledged.get(buddy, {})

    def unsent_count(self, buddy: str) -> int:
        """Return the number of records that a buddy has yet to acknowledge."""
        return len(self._unacknowledged.get(buddy, {}))
