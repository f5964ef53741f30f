# SPDX-License-Identifier: BSD-3-Clause
"""No schedule of rollbacks, lost or late writes and crashes spends more than the prepaid tokens.

Runs the schedules of ``test_prepaid`` with rollbacks of the store to older copies as further steps.
"""

import itertools

import msgspec
import pytest

from turnward.gateway import prepaid, restoring, spending
from turnward.gateway.prepaid import PrepaidAccounts
from turnward.gateway.restoring import AccountRestorer
from turnward.gateway.tests.test_prepaid import (
    ACTIONS,
    RANDOM_ACTIONS,
    PrepaidSimulation,
    SteppedStore,
    random_schedule,
)
from turnward.rows import (
    RowKey,
    RowOutcomeUnknownError,
    RowsUnavailableError,
    StoreEras,
    TableChanges,
    VersionConflictError,
)


class RollbackStore(SteppedStore):
    """Store client that sends version numbers without eras; each response names the era."""

    def __init__(self, rows):
        super().__init__(rows)
        self._eras = StoreEras()

    @property
    def eras(self):
        return self._eras

    async def transact(self, transaction):
        changes = tuple(
            msgspec.structs.replace(
                change, expected_version=self._eras.expected_number(change.expected_version)
            )
            for change in transaction.changes
        )
        era = self._eras.known
        sent = msgspec.structs.replace(transaction, changes=changes)
        number = await self._wait("write", sent)
        if era is not None and self._eras.known != era:
            raise RowOutcomeUnknownError("done after a rollback of the store")
        return self._eras.version(number)

    def decide(self, outcome):
        """See ``SteppedStore.decide``."""
        if not self.pending:
            return False
        kind, payload, result = self.pending.pop(0)
        if outcome == "refused":
            result.errback(RowsUnavailableError("refused"))
        elif kind == "read":
            self._note_response()
            if isinstance(payload, RowKey):
                result.callback(self._with_era(self.rows.get(payload)))
            else:
                rows = tuple(map(self._with_era, self.rows.table(*payload)))
                result.callback(TableChanges(rows, self._eras.version(self.rows.version)))
        elif outcome == "late":
            self.late.append(payload)
            result.errback(RowOutcomeUnknownError("lost"))
        else:
            self._apply(payload, result, outcome)
        return True

    def _apply(self, transaction, result, outcome):
        try:
            number = self.rows.apply(transaction)
        except VersionConflictError as conflict:
            self._note_response()
            rows = tuple(map(self._with_era, conflict.rows))
            result.errback(VersionConflictError(str(conflict), rows))
            return
        if outcome == "lost":
            result.errback(RowOutcomeUnknownError("lost"))
            return
        self._note_response()
        result.callback(number)

    def _note_response(self):
        self.answered_s = self.rows.clock.seconds()
        self._eras.observe_era(self.rows.era)

    def _with_era(self, row):
        if not row.version:
            return row
        return msgspec.structs.replace(row, version=self._eras.version(row.version))


class RollbackStoreSimulation(PrepaidSimulation):
    """Two routers whose store can be rolled back."""

    store_type = RollbackStore

    def __init__(self, *arguments, **fields):
        self.copies = []
        super().__init__(*arguments, **fields)

    def start(self, index):
        super().start(index)
        self.routers[index].on_written = self.exchange_updates
        for router in filter(None, self.routers):
            # Routers announce everything to a new router before the next crash: if all that know a
            # row crash at once, what the store lost of it can't be restored.
            router.updates.announce_all()
        self.exchange_updates()

    def exchange_updates(self):
        """Exchange one round of messages."""
        first, second = self.routers
        if first is not None and second is not None:
            first.updates.merge(second.updates.announced())
            second.updates.merge(first.updates.announced())

    def step(self, action):
        if action[0] == "copy":
            self.copies.append(self.rows.copy())
        elif action[0] == "back" and self.copies:
            self.rows.roll_back(self.copies[action[1] % len(self.copies)])
            self.copies.clear()
        elif action[0] == "time":
            self.exchange_updates()
        super().step(action)

    def check(self):
        assert self.spent <= self.limit


ROLLBACK_ACTIONS = [("copy", 0), ("back", 0)]
RANDOM_ROLLBACK_ACTIONS = [
    *RANDOM_ACTIONS,
    *ROLLBACK_ACTIONS,
    *ROLLBACK_ACTIONS,
    ("back", 1),
    ("calm", 0, 1.5),
    ("calm", 0, 1.5),
]
CALM = ("calm", 0, 1.5)
#: Actions before the schedule, after which both routers hold tokens and have announced them.
SETUP = (CALM, ("copy", 0), ("spend", 0, 13), CALM, ("spend", 1, 6), CALM)


def run_schedule(schedule, accounts_type=PrepaidAccounts):
    simulation = RollbackStoreSimulation(accounts_type)
    for action in schedule:
        simulation.step(action)
    return simulation


def is_caught(seeds):
    """Return whether a random schedule exceeds the limit."""
    for seed in seeds:
        try:
            run_schedule(random_schedule(seed, RANDOM_ROLLBACK_ACTIONS, 140))
        except AssertionError:
            return True
    return False


def test_no_short_schedule_exceeds_the_limit_after_a_rollback():
    steps = [action for action in ACTIONS if action[0] != "loan"]
    ends = (CALM, ("spend", 0, 25), CALM, ("spend", 1, 25), CALM, ("spend", 0, 13), CALM)
    for schedule in itertools.product(steps, steps):
        run_schedule((*SETUP, ("back", 0), *schedule, *ends))
        run_schedule((*SETUP, schedule[0], ("back", 0), schedule[1], *ends))
        run_schedule((*SETUP, *schedule, ("back", 0), *ends))


@pytest.mark.parametrize("first", range(0, 200, 50))
def test_no_random_schedule_exceeds_the_limit_after_rollbacks(first):
    for seed in range(first, first + 50):
        run_schedule(random_schedule(seed, RANDOM_ROLLBACK_ACTIONS, 140))


class ClaimsNothing(AccountRestorer):
    """Broken: uses the rolled back row as it is."""

    def _target(self, account, stored, row):
        return stored


def trust_every_report(row, now_s, era):
    """Broken: treats a report of an earlier era as the latest one."""
    report = msgspec.json.decode(row.value, type=spending.SpendReport)
    return BOUNDS(row, now_s, report.era)


def ignore_known_rows(account, era, incarnation, held_tokens, known):
    """Broken: claims its own grant only, and treats other tokens that the copy lacks as free."""
    return RESTORE(account, era, incarnation, held_tokens, None)


BOUNDS = spending._bounds
RESTORE = restoring.restore_account


BROKEN = {
    "claims nothing": (prepaid, "AccountRestorer", ClaimsNothing),
    "trusts every report": (spending, "_bounds", trust_every_report),
    "ignores known rows": (restoring, "restore_account", ignore_known_rows),
    "takes tokens before claiming": (AccountRestorer, "is_current", lambda *_: True),
}


@pytest.mark.parametrize("broken", BROKEN)
def test_random_schedules_catch_broken_accounting(broken, monkeypatch):
    monkeypatch.setattr(*BROKEN[broken])
    assert is_caught(range(600))
