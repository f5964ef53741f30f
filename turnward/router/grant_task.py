# SPDX-License-Identifier: BSD-3-Clause
"""Keeps the router's grants in step with demand."""

import msgspec
from twisted.internet.defer import Deferred

from turnward.budgets import GrantLedger, GrantStore
from turnward.router.task import TaskBase, Tick
from turnward.store import PlatformError

__all__ = ["GrantTask", "ReturnTokens", "RequestTokens"]


#: Seconds between looks at every held budget.
TEND_S = 1.0


class RequestTokens(msgspec.Struct, frozen=True, eq=False):
    """A request waits for tokens; the answer is True when it is worth trying again."""

    budget: str
    answer: Deferred


class ReturnTokens(msgspec.Struct, frozen=True, eq=False):
    """Give every free token back; the answer is how many are still held."""

    answer: Deferred


class GrantTask(TaskBase):
    """Owns the ledger's grants and the grant rows.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    ledger : GrantLedger
        Reservations are made on it by the flights; this task adds and withdraws.
    store : GrantStore
        The grant rows.
    """

    log_prefix = "grants"

    def __init__(self, context, ledger: GrantLedger, store: GrantStore, on_fenced):
        super().__init__(context.reactor, context.settings.grant_period_s, on_fenced)
        self._context = context
        self.ledger = ledger
        self.store = store
        self._returning: dict[str, int] = {}
        self._tended_s = float("-inf")

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        waiters = [message for message in messages if isinstance(message, RequestTokens)]
        try:
            await self._resolve()
            await self._take()
        finally:
            for waiter in waiters:
                if not waiter.answer.called:
                    waiter.answer.callback(True)
        if Tick() in messages and self._context.now_s() - self._tended_s >= TEND_S:
            await self._tend()
        for message in messages:
            if isinstance(message, ReturnTokens):
                await self._return_all(message)

    async def _take(self) -> None:
        now_s = self._context.now_s()
        asks = self.ledger.plan_grants(now_s)
        if not asks:
            return
        views = await self.store.read_views(list(asks))
        for budget, view in views.items():
            self.ledger.observe(budget, view, now_s)
        taken = await self.store.apply(self.store.plan_acquire(asks, views))
        for budget in asks:
            self.ledger.clear_wanted(budget)
        for budget, tokens in taken.items():
            if tokens:
                self.ledger.add(budget, tokens)
                self._context.metrics.count("grants.taken_tokens", tokens)
                self._context.events.emit("grant.taken", budget=budget, tokens=tokens)

    async def _tend(self) -> None:
        """Look at every held budget: what can go back, what others should see."""
        now_s = self._tended_s = self._context.now_s()
        await self._look_again()
        await self._give_back(self.ledger.plan_returns(now_s))
        await self._fold()
        self.ledger.evict_idle(now_s)

    async def _look_again(self) -> None:
        now_s = self._context.now_s()
        budgets = self.ledger.plan_refreshes(now_s)
        if budgets:
            for budget, view in (await self.store.read_views(budgets)).items():
                self.ledger.observe(budget, view, now_s)

    async def _resolve(self) -> None:
        if not self.store.unresolved:
            return
        for budget, delta_tokens in (await self.store.resolve()).items():
            promised = self._returning.pop(budget, 0)
            if delta_tokens > 0:
                self.ledger.add(budget, delta_tokens)
            elif delta_tokens == 0 and promised:
                self.ledger.add(budget, promised)

    async def _give_back(self, spare: dict[str, int]) -> None:
        changes = []
        for budget, tokens in spare.items():
            change = self.store.plan_return(budget, tokens)
            if change is None:
                continue
            self._returning[budget] = self.ledger.withdraw(budget, tokens)
            changes.append(change)
        if not changes:
            return
        try:
            done = await self.store.apply(changes)
        except PlatformError:
            self._keep([change.budget for change in changes])
            raise
        unresolved = {change.budget for change in self.store.unresolved}
        for change in changes:
            if change.budget in done:
                tokens = self._returning.pop(change.budget)
                self._context.events.emit("grant.returned", budget=change.budget, tokens=tokens)
            elif change.budget not in unresolved:
                self._keep([change.budget])

    def _keep(self, budgets: list[str]) -> None:
        unresolved = {change.budget for change in self.store.unresolved}
        for budget in budgets:
            if budget not in unresolved:
                self.ledger.add(budget, self._returning.pop(budget, 0))

    async def _fold(self) -> None:
        changes = [
            self.store.plan_return(budget, 0)
            for budget in self.ledger.budgets()
            if self.store.unreported_tokens(budget) and not self.ledger.free_tokens(budget)
        ]
        await self.store.apply([change for change in changes if change is not None])

    async def _return_all(self, message: ReturnTokens) -> None:
        spare = {}
        for budget in self.ledger.budgets():
            if self.ledger.free_tokens(budget) > 0 or self.store.unreported_tokens(budget):
                spare[budget] = self.ledger.free_tokens(budget)
        await self._give_back(spare)
        held = sum(self.ledger.held_tokens(budget) for budget in self.ledger.budgets())
        message.answer.callback(held)
