# SPDX-License-Identifier: BSD-3-Clause
"""The records a router holds for others, and those it has handed to others."""

from collections import OrderedDict
from itertools import islice

from turnward.peers.messages import RecordState, RunRecord

__all__ = ["RecordBook", "RecordOutbox", "is_urgent"]


def is_urgent(record: RunRecord) -> bool:
    """Tell whether a record must be sent at once.

    An open record must be held before its request goes out, and of a call that
    may not be repeated only the record tells that it has ended. The end of other
    runs can be asked of the endpoint, so it may be sent later.
    """
    return record.state is RecordState.OPEN or (
        record.state is RecordState.CLOSED and not record.repeatable
    )


class RecordBook:
    """Run records held for other routers, by their incarnation.

    A record that is not billed is never dropped by age; only its owner's
    ``BILLED`` or a closed recovery removes it.
    """

    def __init__(self):
        self._records: dict[str, dict[str, RunRecord]] = {}
        self._closed: set[str] = set()

    def put(self, incarnation: str, records: tuple[RunRecord, ...], dropped=()) -> bool:
        """Hold records and drop billed ones; False when the incarnation is fenced here."""
        if incarnation in self._closed:
            return False
        held = self._records.setdefault(incarnation, {})
        for record in records:
            held[record.run_id] = record
        for run_id in dropped:
            held.pop(run_id, None)
        return True

    def close(self, incarnation: str) -> tuple[RunRecord, ...]:
        """Accept no more records of a fenced incarnation; return those held."""
        self._closed.add(incarnation)
        return tuple(self._records.get(incarnation, {}).values())

    def forget(self, incarnation: str) -> None:
        """Drop the records of an incarnation whose recovery is closed."""
        self._records.pop(incarnation, None)

    def count(self) -> int:
        """Return how many records are held."""
        return sum(len(held) for held in self._records.values())


class RecordOutbox:
    """This router's own records, and which of them a buddy has not acknowledged.

    Attributes
    ----------
    open_records : dict
        Every record not billed yet, by run id.
    """

    def __init__(self):
        self.open_records: OrderedDict[str, RunRecord] = OrderedDict()
        self._unsent: dict[str, OrderedDict[str, RunRecord]] = {}
        self._first_copy: dict[str, set[str]] = {}

    def set_buddies(self, buddies: tuple[str, ...]) -> None:
        """Change whom records go to; a new buddy is sent every open record."""
        for buddy in buddies:
            if buddy not in self._unsent:
                self._unsent[buddy] = OrderedDict(self.open_records)
                self._first_copy[buddy] = set(self.open_records)
        for buddy in set(self._unsent) - set(buddies):
            del self._unsent[buddy]
            del self._first_copy[buddy]

    def has_initial_copy(self, buddy: str) -> bool:
        """Tell whether a buddy holds every record that was open when it was named."""
        return not self._first_copy.get(buddy, {""})

    def put(self, record: RunRecord) -> None:
        """Queue a new or changed record for every buddy."""
        if record.state is RecordState.BILLED:
            self.open_records.pop(record.run_id, None)
        else:
            self.open_records[record.run_id] = record
        for queue in self._unsent.values():
            queue[record.run_id] = record

    def next_unsent_records(
        self, buddy: str, limit: int, urgent_only: bool
    ) -> tuple[RunRecord, ...]:
        """Return up to ``limit`` records to send to a buddy.

        What need not be sent at once may be overtaken: a run that ends and is
        billed within a moment is sent as billed only.
        """
        queue = self._unsent.get(buddy, {}).values()
        wanted = (record for record in queue if not urgent_only or is_urgent(record))
        return tuple(islice(wanted, limit))

    def has_urgent(self, buddy: str) -> bool:
        """Tell whether a record waits that must be sent at once."""
        return any(is_urgent(record) for record in self._unsent.get(buddy, {}).values())

    def mark_acknowledged(self, buddy: str, records: tuple[RunRecord, ...]) -> None:
        """Take in that a buddy holds these records."""
        queue = self._unsent.get(buddy, {})
        first_copy = self._first_copy.get(buddy, set())
        for record in records:
            first_copy.discard(record.run_id)
            if queue.get(record.run_id) == record:
                del queue[record.run_id]

    def awaits_acknowledgement(self, buddy: str, run_id: str) -> bool:
        """Tell whether a record is still to be acknowledged by a buddy."""
        return run_id in self._unsent.get(buddy, {})

    def unsent_count(self, buddy: str) -> int:
        """Return how many records a buddy has not acknowledged."""
        return len(self._unsent.get(buddy, {}))
