# SPDX-License-Identifier: BSD-3-Clause
"""Moves tokens between a budget's row and a router's grant row.

Each change has an id and names the change before it. When the outcome of a
change is unknown, a second write with the same check cancels it, and a read
shows which of the two took effect. A delayed write can therefore not take
effect after its change was resolved.
"""

from collections import Counter

import msgspec

from turnward.budgets.rows import BudgetRow, GrantRow, budget_key, grant_key
from turnward.fleet import FencedError, live_check, router_key
from turnward.ids import new_id
from turnward.ledger import BudgetView, GrantRequest
from turnward.store import (
    Absent,
    Add,
    Check,
    Committed,
    FieldAtLeast,
    FieldIs,
    OutcomeUnknownError,
    Put,
    SetField,
    TableBase,
    Transaction,
    Write,
)

__all__ = ["GrantChange", "GrantStore"]

#: Budgets per transaction; each takes three of the 100 items that the store allows.
BATCH_BUDGETS = 30


class GrantChange(msgspec.Struct, frozen=True):
    """A change of the grant of one budget.

    Attributes
    ----------
    delta_tokens : int
        Tokens to acquire (positive) or to return (negative).
    reported_tokens : int
        Billed tokens to move from the grant row to ``spent_tokens`` of the
        budget's row, where other routers see them.
    change_id : str
        Id of this change.
    previous_id : str or None
        Id of the change before it; None if the grant row does not exist yet.
    """

    budget: str
    delta_tokens: int
    reported_tokens: int
    change_id: str
    previous_id: str | None


class GrantStore:
    """The grant rows of one router incarnation.

    Not safe for concurrent calls: a single task must own it.

    Parameters
    ----------
    table : TableBase
        The shared store's table.
    incarnation : str
        The router incarnation that owns the rows.
    share : float
        Largest fraction of a budget's ungranted tokens that one change may
        acquire beyond what waiting requests need.
    """

    def __init__(self, table: TableBase, incarnation: str, share: float = 0.25):
        self._table = table
        self._incarnation = incarnation
        self._share = share
        self._last_change: dict[str, str] = {}
        self._unresolved: dict[str, GrantChange] = {}
        self._unreported_tokens: Counter[str] = Counter()

    def record_billed_tokens(self, budget: str, tokens: int) -> None:
        """Record that a bill charged to this incarnation's grant was stored."""
        self._unreported_tokens[budget] += tokens

    def unreported_tokens(self, budget: str) -> int:
        """Return the billed tokens that the budget's row does not include yet."""
        return self._unreported_tokens[budget]

    @property
    def unresolved(self) -> list[GrantChange]:
        """Changes whose outcome is unknown."""
        return list(self._unresolved.values())

    async def read_views(self, budgets: list[str]) -> dict[str, BudgetView]:
        """Return the stored state of the given budgets; unknown budgets are omitted."""
        rows = await self._table.read([budget_key(budget) for budget in budgets])
        views = {}
        for budget in budgets:
            row = rows.get(budget_key(budget))
            if row:
                row_value = msgspec.convert(row.value, BudgetRow)
                views[budget] = BudgetView(
                    row_value.limit_tokens, row_value.ungranted_tokens, row_value.spent_tokens
                )
        return views

    def plan_acquire(self, requests: dict[str, GrantRequest], views: dict[str, BudgetView]):
        """Return changes that satisfy requests from the budgets' ungranted tokens.

        A budget that cannot satisfy its request gets a change that only reports
        billed tokens, if there are any.
        """
        changes = []
        for budget, request in requests.items():
            if budget not in views or budget in self._unresolved:
                continue
            ungranted = views[budget].ungranted_tokens
            share_tokens = int(ungranted * self._share)
            tokens = min(request.desired_tokens, max(request.required_tokens, share_tokens))
            if request.required_tokens <= ungranted and tokens > 0:
                changes.append(self._change(budget, tokens))
            elif self._unreported_tokens[budget]:
                changes.append(self._change(budget, 0))
        return changes

    def plan_return(self, budget: str, tokens: int) -> GrantChange | None:
        """Return a change that returns tokens, or None while a change is unresolved."""
        if budget in self._unresolved:
            return None
        return self._change(budget, -tokens)

    async def apply(self, changes: list[GrantChange]) -> dict[str, int]:
        """Apply changes and return the deltas that took effect, by budget.

        Changes of unknown outcome are kept in ``unresolved``.

        Raises
        ------
        FencedError
            The incarnation is fenced.
        PlatformUnavailableError
            The store was unreachable.
        """
        applied: dict[str, int] = {}
        for start in range(0, len(changes), BATCH_BUDGETS):
            applied.update(await self._apply_batch(changes[start : start + BATCH_BUDGETS]))
        return applied

    async def _apply_batch(self, changes: list[GrantChange]) -> dict[str, int]:
        while changes:
            try:
                result = await self._table.transact(self._transaction(changes))
            except OutcomeUnknownError:
                self._unresolved.update({change.budget: change for change in changes})
                return {}
            if isinstance(result, Committed):
                for change in changes:
                    self._mark_applied(change)
                return {change.budget: change.delta_tokens for change in changes}
            self._require_live(result.keys)
            failed_keys = set(result.keys)
            changes = [change for change in changes if not failed_keys & self._keys(change.budget)]
        return {}

    async def resolve(self) -> dict[str, int]:
        """Resolve changes of unknown outcome; return their deltas, 0 for cancelled changes."""
        resolved: dict[str, int] = {}
        for change in self.unresolved:
            cancel_id = f"cancel-{change.change_id}"
            await self._cancel(change, cancel_id)
            key = grant_key(self._incarnation, change.budget)
            row = (await self._table.read([key])).get(key)
            last_change = row.value["last_change"] if row else None
            if last_change not in (change.change_id, cancel_id):
                continue
            took_effect = last_change == change.change_id
            resolved[change.budget] = change.delta_tokens if took_effect else 0
            if took_effect:
                self._mark_applied(change)
            self._last_change[change.budget] = last_change
            del self._unresolved[change.budget]
        return resolved

    def _mark_applied(self, change: GrantChange) -> None:
        self._last_change[change.budget] = change.change_id
        self._unreported_tokens[change.budget] -= change.reported_tokens

    async def _cancel(self, change: GrantChange, cancel_id: str) -> None:
        key = grant_key(self._incarnation, change.budget)
        cancel = msgspec.structs.replace(
            change, change_id=cancel_id, delta_tokens=0, reported_tokens=0
        )
        checks = (live_check(self._incarnation), self._row_check(key, change))
        try:
            result = await self._table.transact(Transaction(checks, (self._row_write(cancel),)))
        except OutcomeUnknownError:
            return
        if not isinstance(result, Committed):
            self._require_live(result.keys)

    def _change(self, budget: str, delta_tokens: int) -> GrantChange:
        reported_tokens = self._unreported_tokens[budget]
        previous_id = self._last_change.get(budget)
        return GrantChange(budget, delta_tokens, reported_tokens, new_id(), previous_id)

    def _transaction(self, changes: list[GrantChange]) -> Transaction:
        checks: list[Check] = [live_check(self._incarnation)]
        writes: list[Write] = []
        for change in changes:
            self._extend_grant(change, checks, writes)
            self._extend_budget(change, checks, writes)
        return Transaction(tuple(checks), tuple(writes))

    def _extend_grant(self, change: GrantChange, checks, writes) -> None:
        key = grant_key(self._incarnation, change.budget)
        checks.append(self._row_check(key, change))
        writes.append(self._row_write(change))
        if change.previous_id is None:
            return
        writes.append(Add(key, "granted_tokens", change.delta_tokens - change.reported_tokens))
        if change.reported_tokens:
            writes.append(Add(key, "settled_tokens", -change.reported_tokens))

    def _extend_budget(self, change: GrantChange, checks, writes) -> None:
        key = budget_key(change.budget)
        if change.delta_tokens > 0:
            checks.append(FieldAtLeast(key, "ungranted_tokens", change.delta_tokens))
        if change.delta_tokens:
            writes.append(Add(key, "ungranted_tokens", -change.delta_tokens))
        if change.reported_tokens:
            writes.append(Add(key, "spent_tokens", change.reported_tokens))

    def _row_check(self, key: str, change: GrantChange):
        if change.previous_id is None:
            return Absent(key)
        return FieldIs(key, "last_change", change.previous_id)

    def _row_write(self, change: GrantChange):
        key = grant_key(self._incarnation, change.budget)
        if change.previous_id is not None:
            return SetField(key, "last_change", change.change_id)
        row = GrantRow(change.budget, self._incarnation, change.delta_tokens, 0, change.change_id)
        return Put(key, msgspec.to_builtins(row))

    def _keys(self, budget: str) -> set[str]:
        return {budget_key(budget), grant_key(self._incarnation, budget)}

    def _require_live(self, failed_keys) -> None:
        if router_key(self._incarnation) in failed_keys:
            raise FencedError(f"incarnation {self._incarnation} is fenced")
