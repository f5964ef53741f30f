# SPDX-License-Identifier: BSD-3-Clause
"""No schedule of returns, losses, late writes and deaths lets routers spend more than is prepaid.

The schedules of ``test_prepaid``, with a store that goes back to an older copy as one more step.
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


class ReturningStore(SteppedStore):
    """Numbers alone are sent, and each answer names the era that it is of."""

    def __init__(self, rows):
        super().__init__(rows)
        self._eras = StoreEras()

    @property
    def eras(self):
        return self._eras

    async def transact(self, transaction):
        changes = tuple(
            msgspec.structs.replace(
                change, expected_version=self._eras.condition_number(change.expected_version)
            )
            for change in transaction.changes
        )
        era = self._eras.known
        sent = msgspec.structs.replace(transaction, changes=changes)
        number = await self._wait("write", sent)
        if era is not None and self._eras.known != era:
            raise RowOutcomeUnknownError("done after the store came back")
        return self._eras.version(number)

    def decide(self, outcome):
        """See ``SteppedStore.decide``."""
        if not self.pending:
            return False
        kind, payload, decided = self.pending.pop(0)
        if outcome == "refused":
            decided.errback(RowsUnavailableError("refused"))
        elif kind == "read":
            self._answer()
            if isinstance(payload, RowKey):
                decided.callback(self._labelled(self.rows.get(payload)))
            else:
                rows = tuple(map(self._labelled, self.rows.table(*payload)))
                decided.callback(TableChanges(rows, self._eras.version(self.rows.version)))
        elif outcome == "late":
            self.late.append(payload)
            decided.errback(RowOutcomeUnknownError("lost"))
        else:
            self._apply(payload, decided, outcome)
        return True

    def _apply(self, transaction, decided, outcome):
        try:
            number = self.rows.apply(transaction)
        except VersionConflictError as conflict:
            self._answer()
            rows = tuple(map(self._labelled, conflict.rows))
            decided.errback(VersionConflictError(str(conflict), rows))
            return
        if outcome == "lost":
            decided.errback(RowOutcomeUnknownError("lost"))
            return
        self._answer()
        decided.callback(number)

    def _answer(self):
        self.answered_s = self.rows.clock.seconds()
        self._eras.note_answer(self.rows.era)

    def _labelled(self, row):
        if not row.version:
            return row
        return msgspec.structs.replace(row, version=self._eras.version(row.version))


class ReturningWorld(PrepaidSimulation):
    """Two routers before a store that can go back."""

    store_type = ReturningStore

    def __init__(self, *arguments, **fields):
        self.copies = []
        super().__init__(*arguments, **fields)

    def start(self, index):
        super().start(index)
        self.routers[index].on_written = self.tell
        for router in filter(None, self.routers):
            # A router that hears of another one for the first time tells it all, before the next
            # one dies: if all who know die at once, nobody can tell what the store has lost.
            router.updates.announce_all()
        self.tell()

    def tell(self):
        """Play a round of messages."""
        one, other = self.routers
        if one is not None and other is not None:
            one.updates.take_in(other.updates.told())
            other.updates.take_in(one.updates.told())

    def step(self, action):
        if action[0] == "copy":
            self.copies.append(self.rows.copy())
        elif action[0] == "back" and self.copies:
            self.rows.go_back(self.copies[action[1] % len(self.copies)])
            self.copies.clear()
        elif action[0] == "time":
            self.tell()
        super().step(action)

    def check(self):
        assert self.spent <= self.limit


RETURNS = [("copy", 0), ("back", 0)]
MORE_RETURNS = [
    *RANDOM_ACTIONS,
    *RETURNS,
    *RETURNS,
    ("back", 1),
    ("calm", 0, 1.5),
    ("calm", 0, 1.5),
]
CALM = ("calm", 0, 1.5)
#: What routers hold and have told before the schedule begins.
BEGUN = (CALM, ("copy", 0), ("spend", 0, 13), CALM, ("spend", 1, 6), CALM)


def play(schedule, accounts_type=PrepaidAccounts):
    world = ReturningWorld(accounts_type)
    for action in schedule:
        world.step(action)
    return world


def is_caught(seeds):
    """Tell whether a random schedule breaks the limit."""
    for seed in seeds:
        try:
            play(random_schedule(seed, MORE_RETURNS, 140))
        except AssertionError:
            return True
    return False


def test_no_short_schedule_exceeds_the_limit_after_a_rollback():
    steps = [action for action in ACTIONS if action[0] != "loan"]
    ends = (CALM, ("spend", 0, 25), CALM, ("spend", 1, 25), CALM, ("spend", 0, 13), CALM)
    for schedule in itertools.product(steps, steps):
        play((*BEGUN, ("back", 0), *schedule, *ends))
        play((*BEGUN, schedule[0], ("back", 0), schedule[1], *ends))
        play((*BEGUN, *schedule, ("back", 0), *ends))


@pytest.mark.parametrize("first", range(0, 200, 50))
def test_no_random_schedule_exceeds_the_limit_after_rollbacks(first):
    for seed in range(first, first + 50):
        play(random_schedule(seed, MORE_RETURNS, 140))


class ClaimsNothing(AccountRestorer):
    """Broken: takes the copy's row for what is held."""

    def _wanted(self, account, stored, row):
        return stored


def believes_every_report(row, now_s, era):
    """Broken: takes a report of an earlier era for the last one."""
    report = msgspec.json.decode(row.value, type=spending.SpendReport)
    return BOUNDS(row, now_s, report.era)


def counts_on_from_the_copy(account, era, incarnation, held_tokens, known):
    """Broken: claims what is held, and takes all that the copy lacks besides for free."""
    return RESTORE(account, era, incarnation, held_tokens, None)


BOUNDS = spending._bounds
RESTORE = restoring.restore_account


BROKEN = {
    "claims nothing": (prepaid, "AccountRestorer", ClaimsNothing),
    "believes every report": (spending, "_bounds", believes_every_report),
    "counts on from the copy": (restoring, "restore_account", counts_on_from_the_copy),
    "takes before it claims": (AccountRestorer, "is_current", lambda *_: True),
}


@pytest.mark.parametrize("broken", BROKEN)
def test_random_schedules_catch_broken_accounting(broken, monkeypatch):
    monkeypatch.setattr(*BROKEN[broken])
    assert is_caught(range(600))
