# SPDX-License-Identifier: BSD-3-Clause
"""No schedule of a holder, a borrower and their successors spends more than the prepaid tokens.

Runs the schedules of ``test_prepaid`` with one router that holds no tokens. It borrows and returns
tokens by messages that are delivered, are lost, or whose responses are lost.
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
    """Holders from the view of a router whose peer holds all tokens."""

    def holds(self, workspace):
        return False

    def other_holders(self, workspace):
        return ["holder", "holder again"]


class SteppedCalls:
    """Calls to the holder, which complete when the schedule decides their outcome."""

    def __init__(self, simulation, index):
        self.simulation = simulation
        self.index = index
        self.pending = []

    async def call(self, address, path, body, timeout_s):
        result = defer.Deferred()
        self.pending.append((path, body, result))
        return await result

    def decide(self, outcome):
        """Complete the oldest call: ``done``, ``lost`` (done, but no response) or ``refused``."""
        if not self.pending:
            return
        path, body, result = self.pending.pop(0)
        if outcome == "refused":
            result.errback(NotSentError("refused"))
            return
        response = result if outcome == "done" else defer.Deferred()
        self.deliver(path, body, response)
        if outcome == "lost":
            result.errback(UnansweredError("lost"))

    def deliver(self, path, body, response):
        holder = self.simulation.routers[1 - self.index]
        if path == LOANS_PATH:
            lending = holder.lend_for_request(msgspec.msgpack.decode(body, type=LoanAsk))
            lending.addCallback(lambda loan: response.callback(msgspec.msgpack.encode(loan)))
        else:
            holder.accept_return(msgspec.msgpack.decode(body, type=LoanReturn))
            response.callback(b"")


class HolderSimulation(PrepaidSimulation):
    """Router 0 holds tokens; router 1 borrows from it for each request."""

    client_type = HolderClient

    def start(self, index):
        self.calls = getattr(self, "calls", [None, None])
        previous = self.calls[index]
        super().start(index)
        router = self.routers[index]
        self.calls[index] = SteppedCalls(self, index)
        if index == 1:
            router._holders = OneHolder(lambda: 1)
            router.holder_client = self.client_type(
                router._holders, self.calls[index].call, router._log
            )
            if previous is not None:
                # Calls of the crashed router may still be delivered.
                for path, body, _ in previous.pending:
                    self.calls[index].deliver(path, body, defer.Deferred())

    def step(self, action):
        if action[0] == "call":
            self.calls[1].decide(action[1])
            self.check()
            return
        super().step(action)

    def spend(self, index, tokens):
        # Half of the tokens are used; the remainder is returned.
        answer = self.routers[index].reserve("acme", tokens, 0, 2)
        self._spend_when_answered(index, answer)

    def _spent(self, index, answer):
        if isinstance(answer, Reservation):
            used = answer.tokens if self.starts % 2 else (answer.tokens + 1) // 2
            self.spent += used
            self.routers[index].settle(answer, used)


CALLS = [("call", "done"), ("call", "lost"), ("call", "refused")]


class LendsWithoutCounting(PrepaidAccounts):
    """Broken: lent tokens stay free at the lender."""

    def _loan_from(self, request, answer):
        loan = super()._loan_from(request, answer)
        if loan.tokens:
            self.ledger.unsettle(request.workspace, loan.tokens)
        return loan


class ReturnsTokensItKeeps(PrepaidAccounts):
    """Broken: returned tokens stay free at the sender."""

    async def _return_free_tokens(self, workspace):
        tokens = self._spendable_tokens(workspace)
        if tokens:
            await self.holder_client.return_tokens(workspace, tokens)


class ReclaimsLostTokens(PrepaidAccounts):
    """Broken: treats a message whose response was lost as not delivered."""

    async def _return_free_tokens(self, workspace):
        tokens = self._spendable_tokens(workspace)
        reservation = self._try_reserve(workspace, tokens, first_try=False) if tokens else None
        if reservation is None:
            return
        self.ledger.settle(reservation, tokens)
        if await self.holder_client.return_tokens(workspace, tokens) is not ReturnOutcome.ACCEPTED:
            self.ledger.unsettle(workspace, tokens)


class LendsUngrantedTokens(PrepaidAccounts):
    """Broken: lends tokens that were neither granted nor reported."""

    def _reserve_locally(self, workspace, tokens, priority):
        self.ledger.add(workspace, tokens)
        return super()._reserve_locally(workspace, tokens, priority)


class ReturnsTokensTwice(HolderClient):
    """Broken: sends the same tokens again when the holder does not respond."""

    async def return_tokens(self, workspace, tokens):
        outcome = await super().return_tokens(workspace, tokens)
        if outcome is ReturnOutcome.LOST:
            outcome = await super().return_tokens(workspace, tokens)
        return outcome


class CountsReturnsAsOwn(PrepaidAccounts):
    """Broken: reports omit returned tokens, so that a successor takes them for unspent."""

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


def run_seed(seed, accounts_type=PrepaidAccounts, client_type=HolderClient):
    simulation_type = type("Simulation", (HolderSimulation,), {"client_type": client_type})
    return run_schedule(random_schedule(seed, SCHEDULE_ACTIONS), accounts_type, simulation_type)


def test_every_short_schedule_keeps_the_limit():
    actions = [*(action for action in ACTIONS if action[0] != "loan"), *CALLS]
    prefix = [("calm", 0, 0.5), ("spend", 0, 6), ("spend", 1, 6)]
    for schedule in itertools.product(actions, repeat=3):
        run_schedule(prefix + list(schedule), simulation_type=HolderSimulation)


def test_random_schedules_keep_the_limit():
    spent = 0
    for seed in range(300):
        spent += run_seed(seed).spent
    assert spent > 300 * LIMIT / 8


@pytest.mark.parametrize(
    "broken",
    [
        LendsWithoutCounting,
        ReturnsTokensItKeeps,
        ReclaimsLostTokens,
        LendsUngrantedTokens,
        ReturnsTokensTwice,
        CountsReturnsAsOwn,
    ],
)
def test_random_schedules_catch_a_broken_variant(broken):
    is_client = issubclass(broken, HolderClient)
    variant = {"client_type": broken} if is_client else {"accounts_type": broken}
    assert is_caught(lambda seed: run_seed(seed, **variant), seeds=2_000)


def test_request_waits_for_the_store_when_no_holder_responds():
    simulation = HolderSimulation()
    simulation.answer_all_calls(1.0)
    answers = []
    simulation.routers[1].reserve("acme", 6).addCallback(answers.append)
    while simulation.calls[1].pending:
        simulation.calls[1].decide("refused")
    assert answers == []
    simulation.answer_all_calls(0.5)
    assert isinstance(answers[0], Reservation)


def test_holder_reports_an_exhausted_budget():
    simulation = HolderSimulation()
    simulation.answer_all_calls(1.0)
    answers = []
    simulation.routers[1].reserve("acme", LIMIT + 1).addCallback(answers.append)
    while simulation.calls[1].pending:
        simulation.calls[1].decide("done")
    simulation.answer_all_calls(0.5)
    assert answers == [BudgetRefusal.EXHAUSTED]
