# SPDX-License-Identifier: BSD-3-Clause
"""A call is claimed through a change of its shard's holders, and refused as not run else."""

import pytest
from twisted.internet import defer, task

from turnward.callers.claim_coordinator import CLAIM_WAIT_S, ClaimCoordinator
from turnward.callers.problems import RefusedError
from turnward.claims import ClaimOutcome, ClaimResult, ClaimRow, HoldOutcome, HoldResult
from turnward.router.claim_task import ReleaseClaim, TakeClaim
from turnward.router.pair_task import ClaimAtHolders, RefreshShards, ReleaseAtHolders

CLAIM = ClaimRow("r-1", "acme", "inc", "token", "print")


class Row:
    epoch = 3


class Pairs:
    """Answers holds from a list; ``known`` tells whether a shard's row is known."""

    def __init__(self, answers, known=True):
        self.answers = answers
        self.known = known
        self.messages = []

    def row_of(self, key):
        return Row() if self.known else None

    def tell(self, message):
        self.messages.append(message)
        if isinstance(message, ClaimAtHolders):
            message.answer.callback(HoldResult(self.answers.pop(0)))
        elif isinstance(message, RefreshShards):
            self.known = True


class Claims:
    """Answers claims in the table from a list."""

    def __init__(self, answers):
        self.answers = answers
        self.messages = []

    def tell(self, message):
        self.messages.append(message)
        if isinstance(message, TakeClaim):
            message.answer.callback(ClaimResult(self.answers.pop(0)))


class World:
    """The parts of a router that a claim desk uses."""

    def __init__(self, holds, table, known=True):
        self.reactor = task.Clock()
        self.pairs = Pairs(holds, known)
        self.core = self
        self.claims = Claims(table)
        self.taken = defer.ensureDeferred(ClaimCoordinator(self).take(self, CLAIM))
        self.outcome = []
        self.taken.addBoth(self.outcome.append)

    def now_s(self):
        return self.reactor.seconds()

    def run(self):
        for _ in range(int(CLAIM_WAIT_S * 20)):
            self.reactor.advance(0.05)
        return self.outcome[0]


def test_claim_succeeds_after_change_of_shard_holders():
    world = World([HoldOutcome.STALE, HoldOutcome.STALE, HoldOutcome.HELD], [ClaimOutcome.TAKEN])
    assert world.outcome == []
    assert world.run() is None
    assert world.reactor.seconds() < CLAIM_WAIT_S + 0.1


def test_claim_refreshes_shards_when_the_table_write_is_stale():
    world = World([HoldOutcome.HELD], [ClaimOutcome.STALE, ClaimOutcome.TAKEN], known=False)
    assert world.run() is None


@pytest.mark.parametrize("outcome", [HoldOutcome.STALE])
def test_claim_is_refused_and_released_when_holders_stay_unknown(outcome):
    world = World([outcome] * 20, [])
    failure = world.run()
    assert failure.check(RefusedError)
    assert any(isinstance(message, ReleaseClaim) for message in world.claims.messages)
    assert any(isinstance(message, ReleaseAtHolders) for message in world.pairs.messages)
