# SPDX-License-Identifier: BSD-3-Clause
"""No schedule of a holder, a borrower and their successors spends more than is prepaid.

The schedules of ``test_prepaid`` with one router that holds none: what it asks for and
hands back travels by messages that arrive, get lost, or whose answers get lost.
"""

import itertools

import msgspec
import pytest
from twisted.internet import defer

from turnward.gateway.holder_client import HolderClient, ReturnOutcome
from turnward.gateway.holders import EveryRouterHolds
from turnward.gateway.loans import LOANS_PATH, LoanAsk, LoanReturn
from turnward.gateway.prepaid import BudgetRefusal, PrepaidAccounts
from turnward.gateway.tests.test_prepaid import (
    ACTIONS,
    LIMIT,
    RANDOM_ACTIONS,
    PrepaidSimulation,
    is_caught,
    random_schedule,
    run_schedule,
)
from turnward.http1 import NotSentError, UnansweredError
from turnward.ledger import Reservation


class OneHolder(EveryRouterHolds):
    """The other router holds the tokens."""

    def holds(self, workspace):
        return False

    def other_holders(self, workspace):
        return ["holder", "holder again"]


class SteppedCalls:
    """Calls to the holder wait until the schedule decides."""

    def __init__(self, world, index):
        self.world = world
        self.index = index
        self.pending = []

    async def call(self, address, path, body, timeout_s):
        decided = defer.Deferred()
        self.pending.append((path, body, decided))
        return await decided

    def decide(self, outcome):
        """Let the oldest call end: ``done``, ``lost`` (done, never heard of) or ``refused``."""
        if not self.pending:
            return
        path, body, decided = self.pending.pop(0)
        if outcome == "refused":
            decided.errback(NotSentError("refused"))
            return
        answered = decided if outcome == "done" else defer.Deferred()
        self.arrive(path, body, answered)
        if outcome == "lost":
            decided.errback(UnansweredError("lost"))

    def arrive(self, path, body, answered):
        holder = self.world.routers[1 - self.index]
        if path == LOANS_PATH:
            lending = holder.lend_for_request(msgspec.msgpack.decode(body, type=LoanAsk))
            lending.addCallback(lambda loan: answered.callback(msgspec.msgpack.encode(loan)))
        else:
            holder.accept_return(msgspec.msgpack.decode(body, type=LoanReturn))
            answered.callback(b"")


class HolderWorld(PrepaidSimulation):
    """Router 0 holds tokens; router 1 asks it for each request."""

    client_type = HolderClient

    def start(self, index):
        self.calls = getattr(self, "calls", [None, None])
        old = self.calls[index]
        super().start(index)
        router = self.routers[index]
        self.calls[index] = SteppedCalls(self, index)
        if index == 1:
            router._holders = OneHolder(lambda: 1)
            router.holder_client = self.client_type(
                router._holders, self.calls[index].call, router._log
            )
            if old is not None:
                # What the dead one had asked for may still arrive.
                for path, body, _ in old.pending:
                    self.calls[index].arrive(path, body, defer.Deferred())

    def step(self, action):
        if action[0] == "call":
            self.calls[1].decide(action[1])
            self.check()
            return
        super().step(action)

    def spend(self, index, tokens):
        # Half of it is used: the rest is handed back.
        answer = self.routers[index].reserve("acme", tokens, 0, 2)
        self._spend_when_answered(index, answer)

    def _spent(self, index, answer):
        if isinstance(answer, Reservation):
            used = answer.tokens if self.starts % 2 else (answer.tokens + 1) // 2
            self.spent += used
            self.routers[index].settle(answer, used)


CALLS = [("call", "done"), ("call", "lost"), ("call", "refused")]


class LendsWithoutCounting(PrepaidAccounts):
    """Broken: lets a request have tokens that stay free at the holder."""

    def _loan_from(self, ask, answer):
        loan = super()._loan_from(ask, answer)
        if loan.tokens:
            self.ledger.unsettle(ask.workspace, loan.tokens)
        return loan


class ReturnsTokensItKeeps(PrepaidAccounts):
    """Broken: tokens that are handed back stay free at the sender."""

    async def _return_free_tokens(self, workspace):
        tokens = self._spendable_tokens(workspace)
        if tokens:
            await self.holder_client.return_tokens(workspace, tokens)


class TakesLostTokensBack(PrepaidAccounts):
    """Broken: takes a message whose answer is lost for one that was not read."""

    async def _return_free_tokens(self, workspace):
        tokens = self._spendable_tokens(workspace)
        reservation = self._try_reserve(workspace, tokens, first_try=False) if tokens else None
        if reservation is None:
            return
        self.ledger.settle(reservation, tokens)
        if await self.holder_client.return_tokens(workspace, tokens) is not ReturnOutcome.TAKEN:
            self.ledger.unsettle(workspace, tokens)


class LendsUngrantedTokens(PrepaidAccounts):
    """Broken: lends what it has neither granted nor reported."""

    def _reserve_locally(self, workspace, tokens, priority):
        self.ledger.add(workspace, tokens)
        return super()._reserve_locally(workspace, tokens, priority)


class ReturnsTokensTwice(HolderClient):
    """Broken: sends tokens to the next holder when the first does not answer."""

    async def return_tokens(self, workspace, tokens):
        became = await super().return_tokens(workspace, tokens)
        if became is ReturnOutcome.LOST:
            became = await super().return_tokens(workspace, tokens)
        return became


class CountsReturnsAsOwn(PrepaidAccounts):
    """Broken: its reports leave out what came back, so that it seems unspent to a successor."""

    def accept_return(self, returned):
        super().accept_return(returned)
        self._account(returned.workspace).borrowed_tokens += returned.tokens


SCHEDULE_ACTIONS = [
    *RANDOM_ACTIONS,
    *CALLS,
    *CALLS,
    ("call", "done"),
    ("spend", 1, 6),
    ("spend", 1, 13),
]


def play_seed(seed, accounts_type=PrepaidAccounts, client_type=HolderClient):
    simulation_type = type("World", (HolderWorld,), {"client_type": client_type})
    return run_schedule(random_schedule(seed, SCHEDULE_ACTIONS), accounts_type, simulation_type)


def test_every_short_schedule_keeps_the_limit():
    actions = [*(action for action in ACTIONS if action[0] != "loan"), *CALLS]
    prefix = [("calm", 0, 0.5), ("spend", 0, 6), ("spend", 1, 6)]
    for schedule in itertools.product(actions, repeat=3):
        run_schedule(prefix + list(schedule), simulation_type=HolderWorld)


def test_random_schedules_keep_the_limit():
    spent = 0
    for seed in range(300):
        spent += play_seed(seed).spent
    assert spent > 300 * LIMIT / 8


@pytest.mark.parametrize(
    "broken",
    [
        LendsWithoutCounting,
        ReturnsTokensItKeeps,
        TakesLostTokensBack,
        LendsUngrantedTokens,
        ReturnsTokensTwice,
        CountsReturnsAsOwn,
    ],
)
def test_random_schedules_catch_a_broken_variant(broken):
    is_client = issubclass(broken, HolderClient)
    variant = {"client_type": broken} if is_client else {"accounts_type": broken}
    assert is_caught(lambda seed: play_seed(seed, **variant), seeds=2_000)


def test_request_waits_for_the_store_when_no_holder_answers():
    world = HolderWorld()
    world.answer_all_calls(1.0)
    answers = []
    world.routers[1].reserve("acme", 6).addCallback(answers.append)
    while world.calls[1].pending:
        world.calls[1].decide("refused")
    assert answers == []
    world.answer_all_calls(0.5)
    assert isinstance(answers[0], Reservation)


def test_holder_reports_an_exhausted_budget():
    world = HolderWorld()
    world.answer_all_calls(1.0)
    answers = []
    world.routers[1].reserve("acme", LIMIT + 1).addCallback(answers.append)
    while world.calls[1].pending:
        world.calls[1].decide("done")
    world.answer_all_calls(0.5)
    assert answers == [BudgetRefusal.EXHAUSTED]
