# SPDX-License-Identifier: BSD-3-Clause
"""Tests of taking claims while the holders of a claim's shard change.

The claim is taken once the holders are known, or else refused and released.
"""

import pytest
from twisted.internet import defer, task

from turnward.callers.claim_coordinator import CLAIM_WAIT_S, ClaimCoordinator
from turnward.callers.problems import RefusedError
from turnward.claims import ClaimOutcome, ClaimResult, ClaimRow, HoldOutcome, HoldResult
from turnward.router.claim_task import ReleaseClaim, TakeClaim
from turnward.router.pair_task import ClaimAtHolders, RefreshShards, ReleaseAtHolders

CLAIM = ClaimRow("r-1", "acme", "inc", "token", "print")


class ShardRow:
    epoch = 3


class FakePairs:
    """Answers requests to holders from a list; ``known`` is whether the shard's row is known."""

    def __init__(self, outcomes, known=True):
        self.outcomes = outcomes
        self.known = known
        self.messages = []

    def row_of(self, key):
        return ShardRow() if self.known else None

    def tell(self, message):
        self.messages.append(message)
        if isinstance(message, ClaimAtHolders):
            message.answer.callback(HoldResult(self.outcomes.pop(0)))
        elif isinstance(message, RefreshShards):
            self.known = True


class FakeClaims:
    """Answers claims in the table from a list."""

    def __init__(self, outcomes):
        self.outcomes = outcomes
        self.messages = []

    def tell(self, message):
        self.messages.append(message)
        if isinstance(message, TakeClaim):
            message.answer.callback(ClaimResult(self.outcomes.pop(0)))


class ClaimHarness:
    """Takes one claim with the parts of a router that ``ClaimCoordinator`` uses."""

    def __init__(self, holder_outcomes, table_outcomes, known=True):
        self.reactor = task.Clock()
        self.pairs = FakePairs(holder_outcomes, known)
        self.core = self
        self.claims = FakeClaims(table_outcomes)
        self.claim_result = defer.ensureDeferred(ClaimCoordinator(self).take(self, CLAIM))
        self.outcome = []
        self.claim_result.addBoth(self.outcome.append)

    def now_s(self):
        return self.reactor.seconds()

    def run(self):
        for _ in range(int(CLAIM_WAIT_S * 20)):
            self.reactor.advance(0.05)
        return self.outcome[0]


def test_claim_succeeds_after_change_of_shard_holders():
    harness = ClaimHarness(
        [HoldOutcome.STALE, HoldOutcome.STALE, HoldOutcome.HELD], [ClaimOutcome.TAKEN]
    )
    assert harness.outcome == []
    assert harness.run() is None
    assert harness.reactor.seconds() < CLAIM_WAIT_S + 0.1


def test_claim_refreshes_shards_when_the_table_write_is_stale():
    harness = ClaimHarness(
        [HoldOutcome.HELD], [ClaimOutcome.STALE, ClaimOutcome.TAKEN], known=False
    )
    assert harness.run() is None


@pytest.mark.parametrize("outcome", [HoldOutcome.STALE])
def test_claim_is_refused_and_released_when_holders_stay_unknown(outcome):
    harness = ClaimHarness([outcome] * 20, [])
    failure = harness.run()
    assert failure.check(RefusedError)
    assert any(isinstance(message, ReleaseClaim) for message in harness.claims.messages)
    assert any(isinstance(message, ReleaseAtHolders) for message in harness.pairs.messages)
