# SPDX-License-Identifier: BSD-3-Clause
"""Replays demand on one budget with grants and with baseline schemes."""

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

_BUDGET_NAME = "b"
_TICK_INTERVAL_S = 0.2


class BudgetScenario(msgspec.Struct, frozen=True, kw_only=True):
    """Demand on one budget from several routers, with an outage of the store.

    Attributes
    ----------
    limit_ratio : float
        Ratio of the budget's limit to the total demand; below 1 the budget runs out.
    skew : float
        Share of the demand that the first router receives; the others share the rest evenly.
    shift : bool
        Whether the first router's share moves to the last router when the outage begins.
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
    """Outcome of a scenario; a refusal is false if the budget had enough tokens left."""

    scheme: str
    asked: int
    false_refusals: int
    true_refusals: int
    overspent_tokens: int


class SchemeBase(ABC):
    """Decides whether a router may spend tokens of the budget."""

    @abstractmethod
    def spend(self, router: int, tokens: int, now_s: float) -> bool:
        """Spend tokens at a router; return False if the scheme refuses."""

    def tick(self, now_s: float) -> None:
        """Run periodic work; does nothing by default."""
        return

    def set_store_down(self, down: bool) -> None:
        """Make the store unreachable or reachable; does nothing by default."""
        return


class EvenSplit(SchemeBase):
    """Baseline: each router owns a fixed, equal share of the limit."""

    def __init__(self, scenario: BudgetScenario, limit_tokens: int):
        self._remaining_tokens = [limit_tokens // scenario.routers] * scenario.routers

    def spend(self, router, tokens, now_s):
        """See ``SchemeBase.spend``."""
        if self._remaining_tokens[router] < tokens:
            return False
        self._remaining_tokens[router] -= tokens
        return True


class SingleCounter(SchemeBase):
    """Baseline: every request checks a counter in the store."""

    def __init__(self, scenario: BudgetScenario, limit_tokens: int):
        self._remaining_tokens = limit_tokens
        self._store_down = False

    def set_store_down(self, down):
        """See ``SchemeBase.set_store_down``."""
        self._store_down = down

    def spend(self, router, tokens, now_s):
        """See ``SchemeBase.spend``."""
        if self._store_down or self._remaining_tokens < tokens:
            return False
        self._remaining_tokens -= tokens
        return True


class _GrantRouter:
    """One router's ledger and grant store, driven as by the router's grant task."""

    def __init__(self, table: MemoryTable, name: str, rule: SizingRule):
        self.table = FaultyTable(table)
        self.ledger = GrantLedger(rule)
        self.store = GrantStore(self.table, name, rule.share)

    def acquire_grants(self, now_s: float) -> None:
        grant_requests = self.ledger.plan_grants(now_s)
        if not grant_requests:
            return
        views = run_now(self.store.read_views(list(grant_requests)))
        for budget, view in views.items():
            self.ledger.observe(budget, view, now_s)
        for budget, tokens in run_now(
            self.store.apply(self.store.plan_acquire(grant_requests, views))
        ).items():
            self.ledger.add(budget, tokens)
        self.ledger.clear_wanted(_BUDGET_NAME)

    def refresh_views(self, now_s: float) -> None:
        budgets = self.ledger.plan_refreshes(now_s)
        if budgets:
            for budget, view in run_now(self.store.read_views(budgets)).items():
                self.ledger.observe(budget, view, now_s)

    def return_surplus(self, now_s: float) -> None:
        for budget, tokens in self.ledger.plan_returns(now_s).items():
            change = self.store.plan_return(budget, tokens)
            if change is not None and run_now(self.store.apply([change])):
                self.ledger.withdraw(budget, tokens)


class Grants(SchemeBase):
    """Grants, with the router's ledger and grant store."""

    def __init__(self, scenario: BudgetScenario, limit_tokens: int):
        table = MemoryTable()
        rule = SizingRule(scenario.horizon_s)
        self._routers = []
        budget_row = msgspec.to_builtins(BudgetRow(limit_tokens, limit_tokens))
        table.apply(Transaction((), (Put(budget_key(_BUDGET_NAME), budget_row),)))
        for index in range(scenario.routers):
            name = f"r{index}"
            router_row = RouterRow(name, name, "a", "ost", "", "", RouterState.LIVE)
            put = Put(router_key(name), msgspec.to_builtins(router_row))
            table.apply(Transaction((), (put,)))
            self._routers.append(_GrantRouter(table, name, rule))

    def set_store_down(self, down):
        """See ``SchemeBase.set_store_down``."""
        for router in self._routers:
            router.table.down = down

    def tick(self, now_s):
        """See ``SchemeBase.tick``."""
        for router in self._routers:
            try:
                router.acquire_grants(now_s)
                router.refresh_views(now_s)
                router.return_surplus(now_s)
            except PlatformUnavailableError:
                return

    def spend(self, router, tokens, now_s):
        """See ``SchemeBase.spend``."""
        grant_router = self._routers[router]
        for first_try in (True, False):
            match grant_router.ledger.reserve(_BUDGET_NAME, tokens, now_s, first_try):
                case Result(tag="ok", ok=reservation):
                    grant_router.ledger.settle(reservation, tokens)
                    grant_router.store.record_billed_tokens(_BUDGET_NAME, 0)
                    return True
            try:
                grant_router.acquire_grants(now_s)
            except PlatformUnavailableError:
                return False
        return False


BUDGET_SCHEMES: dict[str, type[SchemeBase]] = {
    "grants": Grants,
    "even_split": EvenSplit,
    "single_counter": SingleCounter,
}


def replay_budget(scenario: BudgetScenario, scheme: str) -> BudgetReport:
    """Run a scenario with a scheme of ``BUDGET_SCHEMES``."""
    rng = random.Random(scenario.seed)
    demand_tokens = scenario.requests * scenario.request_tokens
    limit_tokens = int(demand_tokens * scenario.limit_ratio)
    budget_scheme = BUDGET_SCHEMES[scheme](scenario, limit_tokens)
    outage_start_s = scenario.duration_s / 2
    outage_end_s = outage_start_s + scenario.outage_s
    spent_tokens = false_refusals = true_refusals = 0
    next_tick_s = 0.0
    for index in range(scenario.requests):
        now_s = scenario.duration_s * index / scenario.requests
        budget_scheme.set_store_down(outage_start_s <= now_s < outage_end_s)
        while next_tick_s <= now_s:
            budget_scheme.tick(next_tick_s)
            next_tick_s += _TICK_INTERVAL_S
        shifted = scenario.shift and now_s >= outage_start_s
        router = _choose_router(rng, scenario, shifted)
        tokens = rng.randint(1, 2 * scenario.request_tokens - 1)
        if budget_scheme.spend(router, tokens, now_s):
            spent_tokens += tokens
        elif limit_tokens - spent_tokens >= tokens:
            false_refusals += 1
        else:
            true_refusals += 1
    return BudgetReport(
        scheme,
        scenario.requests,
        false_refusals,
        true_refusals,
        max(0, spent_tokens - limit_tokens),
    )


def _choose_router(rng: random.Random, scenario: BudgetScenario, shifted: bool) -> int:
    last = scenario.routers - 1
    if rng.random() < scenario.skew:
        return last if shifted else 0
    others = [index for index in range(scenario.routers) if index != (last if shifted else 0)]
    return rng.choice(others)
