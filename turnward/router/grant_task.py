# SPDX-License-Identifier: BSD-3-Clause
"""Adjusts the router's token grants to demand."""

import msgspec
from twisted.internet.defer import Deferred

from turnward.budgets import GrantLedger, GrantStore
from turnward.router.task import TaskBase, Tick
from turnward.store import PlatformError

__all__ = ["GrantTask", "ReturnTokens", "RequestTokens"]


REVIEW_INTERVAL_S = 1.0


class RequestTokens(msgspec.Struct, frozen=True, eq=False):
    """Take a grant for a waiting request; the answer is True when it should retry."""

    budget: str
    answer: Deferred


class ReturnTokens(msgspec.Struct, frozen=True, eq=False):
    """Return all free tokens; the answer is the number of tokens that are still held."""

    answer: Deferred


class GrantTask(TaskBase):
    """Owns the ledger's grants and the grant rows.

    Parameters
    ----------
    context : RouterContext
        Settings, clients and state of the router.
    ledger : GrantLedger
        Holds the granted tokens; requests reserve them, and this task adds and withdraws
        them.
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
        self._last_review_s = float("-inf")

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        waiters = [message for message in messages if isinstance(message, RequestTokens)]
        try:
            await self._resolve()
            await self._take_grants()
        finally:
            for waiter in waiters:
                if not waiter.answer.called:
                    waiter.answer.callback(True)
        if Tick() in messages and self._context.now_s() - self._last_review_s >= REVIEW_INTERVAL_S:
            await self._review()
        for message in messages:
            if isinstance(message, ReturnTokens):
                await self._return_all(message)

    async def _take_grants(self) -> None:
        now_s = self._context.now_s()
        token_requests = self.ledger.plan_grants(now_s)
        if not token_requests:
            return
        views = await self.store.read_views(list(token_requests))
        for budget, view in views.items():
            self.ledger.observe(budget, view, now_s)
        taken_tokens = await self.store.apply(self.store.plan_acquire(token_requests, views))
        for budget in token_requests:
            self.ledger.clear_wanted(budget)
        for budget, tokens in taken_tokens.items():
            if tokens:
                self.ledger.add(budget, tokens)
                self._context.metrics.count("grants.taken_tokens", tokens)
                self._context.events.emit("grant.taken", budget=budget, tokens=tokens)

    async def _review(self) -> None:
        """Refresh budget rows, return surplus tokens, write billed ones, and evict idle budgets."""
        now_s = self._last_review_s = self._context.now_s()
        await self._refresh_views()
        await self._return_tokens(self.ledger.plan_returns(now_s))
        await self._write_billed_tokens()
        self.ledger.evict_idle(now_s)

    async def _refresh_views(self) -> None:
        now_s = self._context.now_s()
        budgets = self.ledger.plan_refreshes(now_s)
        if budgets:
            for budget, view in (await self.store.read_views(budgets)).items():
                self.ledger.observe(budget, view, now_s)

    async def _resolve(self) -> None:
        if not self.store.unresolved:
            return
        for budget, delta_tokens in (await self.store.resolve()).items():
            withdrawn_tokens = self._returning.pop(budget, 0)
            if delta_tokens > 0:
                self.ledger.add(budget, delta_tokens)
            elif delta_tokens == 0 and withdrawn_tokens:
                self.ledger.add(budget, withdrawn_tokens)

    async def _return_tokens(self, surplus: dict[str, int]) -> None:
        changes = []
        for budget, tokens in surplus.items():
            change = self.store.plan_return(budget, tokens)
            if change is None:
                continue
            self._returning[budget] = self.ledger.withdraw(budget, tokens)
            changes.append(change)
        if not changes:
            return
        try:
            applied = await self.store.apply(changes)
        except PlatformError:
            self._restore_unless_unresolved([change.budget for change in changes])
            raise
        unresolved = {change.budget for change in self.store.unresolved}
        for change in changes:
            if change.budget in applied:
                tokens = self._returning.pop(change.budget)
                self._context.events.emit("grant.returned", budget=change.budget, tokens=tokens)
            elif change.budget not in unresolved:
                self._restore_unless_unresolved([change.budget])

    def _restore_unless_unresolved(self, budgets: list[str]) -> None:
        unresolved = {change.budget for change in self.store.unresolved}
        for budget in budgets:
            if budget not in unresolved:
                self.ledger.add(budget, self._returning.pop(budget, 0))

    async def _write_billed_tokens(self) -> None:
        changes = [
            self.store.plan_return(budget, 0)
            for budget in self.ledger.budgets()
            if self.store.unreported_tokens(budget) and not self.ledger.free_tokens(budget)
        ]
        await self.store.apply([change for change in changes if change is not None])

    async def _return_all(self, message: ReturnTokens) -> None:
        surplus = {}
        for budget in self.ledger.budgets():
            if self.ledger.free_tokens(budget) > 0 or self.store.unreported_tokens(budget):
                surplus[budget] = self.ledger.free_tokens(budget)
        await self._return_tokens(surplus)
        held_tokens = sum(self.ledger.held_tokens(budget) for budget in self.ledger.budgets())
        message.answer.callback(held_tokens)
