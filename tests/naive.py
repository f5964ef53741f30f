# SPDX-License-Identifier: BSD-3-Clause
"""Switches that turn one mechanism off, so that a test can see what it is for."""

from collections import deque

from expression import Ok

from turnward.budgets import BillWriter, GrantLedger, Reservation
from turnward.callers.request_coordinator import RequestCoordinator
from turnward.claims import (
    ClaimHolder,
    ClaimOutcome,
    ClaimRegister,
    ClaimResult,
    HoldOutcome,
    HoldResult,
)
from turnward.resources import ConfigState
from turnward.router.record_task import RecordTask
from turnward.store import Absent, Transaction

__all__ = ["SWITCHES", "without_order_of_configuration"]

_bill_transaction = BillWriter._transaction


def without_grants(monkeypatch):
    """Reserve whatever is asked, and bill without a grant."""

    def reserve(self, budget, tokens, now_s, first_try=True):
        self._account(budget).reserved_tokens += tokens
        return Ok(Reservation(budget, tokens))

    def transaction(self, bills):
        whole = _bill_transaction(self, bills)
        writes = tuple(write for write in whole.writes if not write.key.startswith("grant/"))
        checks = tuple(check for check in whole.checks if not check.key.startswith("grant/"))
        return Transaction(checks, writes)

    monkeypatch.setattr(GrantLedger, "reserve", reserve)
    monkeypatch.setattr(BillWriter, "_transaction", transaction)


def without_bill_key(monkeypatch):
    """Write a bill even where one stands."""

    def transaction(self, bills):
        whole = _bill_transaction(self, bills)
        checks = tuple(check for check in whole.checks if not isinstance(check, Absent))
        return Transaction(checks, whole.writes)

    monkeypatch.setattr(BillWriter, "_transaction", transaction)


def without_claims(monkeypatch):
    """Give every claim to whoever asks."""

    async def take_all(self):
        waiting, self._waiting = self._waiting, deque()
        self._answer(waiting, ClaimResult(ClaimOutcome.TAKEN))

    def hold_all(self, shard, epoch, claim):
        return HoldResult(HoldOutcome.HELD)

    monkeypatch.setattr(ClaimRegister, "flush", take_all)
    monkeypatch.setattr(ClaimHolder, "hold", hold_all)


def without_records(monkeypatch):
    """Send requests whose record nobody else holds."""
    monkeypatch.setattr(RecordTask, "_hold", lambda self, message: message.answer.callback(True))


def without_memory_of_attempts(monkeypatch):
    """Forget that an earlier attempt may have run."""
    monkeypatch.setattr(RequestCoordinator, "restore_uncertain", lambda self, flight: False)


def without_order_of_configuration(monkeypatch):
    """Take any entry as the newest."""

    def take(self, entry):
        self.revision = entry.revision
        return True

    monkeypatch.setattr(ConfigState, "take", take)


#: Each switch by the mechanism it turns off, of those that random schedules exercise.
SWITCHES = {
    "bill key": without_bill_key,
    "claims": without_claims,
    "grants": without_grants,
    "memory of attempts": without_memory_of_attempts,
    "records at buddies": without_records,
}
