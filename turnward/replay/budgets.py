# SPDX-License-Identifier: BSD-3-Clause
"""Replays demand on one budget through grants and through the naive schemes."""

import random
from abc import ABC, abstractmethod

import msgspec
from expression import Result

from turnward.budgets import BudgetRow, GrantLedger, GrantStore, SizingRule, budget_key
from turnward.coroutines import run_now
from turnward.fleet import RouterRow, RouterState, router_key
from turnward.store import FaultyTable, MemoryTable, PlatformUnavailableError, Put, Transaction

__all__ = [
    "BUDGET_SCHEMES",
    "BudgetReport",
    "BudgetScenario",
    "EvenSplit",
    "Grants",
    "SchemeBase",
    "SingleCounter",
    "replay_budget",
]

_BUDGET = "b"
_TICK_S = 0.2


class BudgetScenario(msgspec.Struct, frozen=True, kw_only=True):
    """Demand on one budget from several routers, with an outage of the store.

    Attributes
    ----------
    fill : float
        Limit as a share of all that is asked for; below 1 the budget runs out.
    skew : float
        Share of the demand that comes to the first router; the rest is even.
    shift : bool
        The first router's share moves to the last one when the outage begins.
    """

    routers: int = 4
    requests: int = 4_000
    request_tokens: int = 200
    duration_s: float = 400.0
    outage_s: float = 0.0
    limit_ratio: float = 2.0
    skew: float = 0.25
    shift: bool = False
    horizon_s: float = 120.0
    seed: int = 1


class BudgetReport(msgspec.Struct, frozen=True):
    """Outcome: refusals while tokens were left, refusals in truth, and overspend."""

    scheme: str
    asked: int
    false_refusals: int
    true_refusals: int
    overspent_tokens: int


class SchemeBase(ABC):
    """Decides whether a router may spend."""

    @abstractmethod
    def spend(self, router: int, tokens: int, now_s: float) -> bool:
        """Spend tokens at a router, or refuse."""

    def tick(self, now_s: float) -> None:
        """Let time pass; most schemes do nothing."""
        return

    def set_down(self, down: bool) -> None:
        """Cut the routers off from the store, or mend it; some schemes need none."""
        return


class EvenSplit(SchemeBase):
    """Naive: each router owns an equal part for good."""

    def __init__(self, scenario: BudgetScenario, limit_tokens: int):
        self._left = [limit_tokens // scenario.routers] * scenario.routers

    def spend(self, router, tokens, now_s):
        """See ``SchemeBase.spend``."""
        if self._left[router] < tokens:
            return False
        self._left[router] -= tokens
        return True


class SingleCounter(SchemeBase):
    """Naive: every request asks the store."""

    def __init__(self, scenario: BudgetScenario, limit_tokens: int):
        self._left = limit_tokens
        self._down = False

    def set_down(self, down):
        """See ``SchemeBase.set_down``."""
        self._down = down

    def spend(self, router, tokens, now_s):
        """See ``SchemeBase.spend``."""
        if self._down or self._left < tokens:
            return False
        self._left -= tokens
        return True


class _GrantRouter:
    """One router's ledger and store, as the grant task drives them."""

    def __init__(self, table: MemoryTable, name: str, rule: SizingRule):
        self.table = FaultyTable(table)
        self.ledger = GrantLedger(rule)
        self.store = GrantStore(self.table, name, rule.share)

    def take(self, now_s: float) -> None:
        asks = self.ledger.plan_grants(now_s)
        if not asks:
            return
        views = run_now(self.store.read_views(list(asks)))
        for budget, view in views.items():
            self.ledger.observe(budget, view, now_s)
        for budget, tokens in run_now(
            self.store.apply(self.store.plan_acquire(asks, views))
        ).items():
            self.ledger.add(budget, tokens)
        self.ledger.clear_wanted(_BUDGET)

    def look_again(self, now_s: float) -> None:
        budgets = self.ledger.plan_refreshes(now_s)
        if budgets:
            for budget, view in run_now(self.store.read_views(budgets)).items():
                self.ledger.observe(budget, view, now_s)

    def give_back(self, now_s: float) -> None:
        for budget, tokens in self.ledger.plan_returns(now_s).items():
            change = self.store.plan_return(budget, tokens)
            if change is not None and run_now(self.store.apply([change])):
                self.ledger.withdraw(budget, tokens)


class Grants(SchemeBase):
    """The product's grants, over its own ledger and store."""

    def __init__(self, scenario: BudgetScenario, limit_tokens: int):
        table = MemoryTable()
        rule = SizingRule(scenario.horizon_s)
        self._routers = []
        row = msgspec.to_builtins(BudgetRow(limit_tokens, limit_tokens))
        table.apply(Transaction((), (Put(budget_key(_BUDGET), row),)))
        for number in range(scenario.routers):
            name = f"r{number}"
            live = RouterRow(name, name, "a", "ost", "", "", RouterState.LIVE)
            put = Put(router_key(name), msgspec.to_builtins(live))
            table.apply(Transaction((), (put,)))
            self._routers.append(_GrantRouter(table, name, rule))

    def set_down(self, down):
        """See ``SchemeBase.set_down``."""
        for router in self._routers:
            router.table.down = down

    def tick(self, now_s):
        """See ``SchemeBase.tick``."""
        for router in self._routers:
            try:
                router.take(now_s)
                router.look_again(now_s)
                router.give_back(now_s)
            except PlatformUnavailableError:
                return

    def spend(self, router, tokens, now_s):
        """See ``SchemeBase.spend``."""
        chosen = self._routers[router]
        for first_try in (True, False):
            match chosen.ledger.reserve(_BUDGET, tokens, now_s, first_try):
                case Result(tag="ok", ok=reservation):
                    chosen.ledger.settle(reservation, tokens)
                    chosen.store.record_billed_tokens(_BUDGET, 0)
                    return True
            try:
                chosen.take(now_s)
            except PlatformUnavailableError:
                return False
        return False


BUDGET_SCHEMES: dict[str, type[SchemeBase]] = {
    "grants": Grants,
    "even_split": EvenSplit,
    "single_counter": SingleCounter,
}


def replay_budget(scenario: BudgetScenario, scheme: str) -> BudgetReport:
    """Play a scenario through a scheme."""
    rng = random.Random(scenario.seed)
    asked_tokens = scenario.requests * scenario.request_tokens
    limit_tokens = int(asked_tokens * scenario.limit_ratio)
    decider = BUDGET_SCHEMES[scheme](scenario, limit_tokens)
    outage_from_s = scenario.duration_s / 2
    outage_to_s = outage_from_s + scenario.outage_s
    spent = false_refusals = true_refusals = 0
    next_tick_s = 0.0
    for number in range(scenario.requests):
        now_s = scenario.duration_s * number / scenario.requests
        decider.set_down(outage_from_s <= now_s < outage_to_s)
        while next_tick_s <= now_s:
            decider.tick(next_tick_s)
            next_tick_s += _TICK_S
        shifted = scenario.shift and now_s >= outage_from_s
        router = _choose_router(rng, scenario, shifted)
        tokens = rng.randint(1, 2 * scenario.request_tokens - 1)
        if decider.spend(router, tokens, now_s):
            spent += tokens
        elif limit_tokens - spent >= tokens:
            false_refusals += 1
        else:
            true_refusals += 1
    return BudgetReport(
        scheme, scenario.requests, false_refusals, true_refusals, max(0, spent - limit_tokens)
    )


def _choose_router(rng: random.Random, scenario: BudgetScenario, shifted: bool) -> int:
    last = scenario.routers - 1
    if rng.random() < scenario.skew:
        return last if shifted else 0
    others = [number for number in range(scenario.routers) if number != (last if shifted else 0)]
    return rng.choice(others)
