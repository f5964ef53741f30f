# SPDX-License-Identifier: BSD-3-Clause
"""Accounting of one router's grants and reservations, without input or output."""

from enum import StrEnum

import msgspec
from expression import Error, Ok, Result

from turnward.ledger.demand import DemandMeter

__all__ = [
    "BudgetView",
    "GrantRequest",
    "GrantLedger",
    "RefusalReason",
    "Reservation",
    "SizingRule",
]


#: A budget is near its limit if its ungranted tokens are below this multiple of the free tokens.
NEAR_LIMIT_FACTOR = 8


class RefusalReason(StrEnum):
    """Reason why a reservation was refused."""

    EXHAUSTED = "budget_exhausted"
    UNREACHABLE = "budget_unreachable"


class Reservation(msgspec.Struct):
    """Tokens reserved for one request, to be settled once."""

    budget: str
    tokens: int
    open: bool = True


class BudgetView(msgspec.Struct, frozen=True):
    """A budget's row as last read by this router."""

    limit_tokens: int
    ungranted_tokens: int
    spent_tokens: int


class GrantRequest(msgspec.Struct, frozen=True):
    """Request for a larger grant.

    Attributes
    ----------
    required_tokens : int
        Tokens that waiting requests need, below which a grant is of no use; 0 if none wait.
    desired_tokens : int
        Tokens that cover the expected demand over the horizon.
    """

    required_tokens: int
    desired_tokens: int


class SizingRule(msgspec.Struct, frozen=True):
    """How far ahead of demand grants are taken, and when they are returned.

    Attributes
    ----------
    horizon_s : float
        Seconds of demand that a full grant covers.
    minimum_tokens : int
        Smallest grant that is worth a write.
    share : float
        Largest share of the available tokens (ungranted, or free in this router) that
        one router claims beyond what waiting requests need.
    floor_share : float
        Share of the available tokens that is held even without demand, so
        that a router disconnected from the store can still serve requests.
    bias_corrected : bool
        See ``DemandMeter``.
    idle_return_s : float
        Idle time after which surplus tokens are returned.
    near_limit_refresh_s, default_refresh_s : float
        Age at which the row of a budget with free tokens is read again, near
        its limit and otherwise.
    evict_after_s : float
        Idle time after which a budget without held tokens is evicted.
    """

    horizon_s: float = 20.0
    minimum_tokens: int = 2_000
    share: float = 0.25
    floor_share: float = 0.0
    bias_corrected: bool = False
    idle_return_s: float = 5.0
    near_limit_refresh_s: float = 1.0
    default_refresh_s: float = 30.0
    evict_after_s: float = 60.0


class _Account:
    """State of one budget in this router."""

    __slots__ = (
        "demand",
        "granted_tokens",
        "idle_since_s",
        "prefetches",
        "refused_tokens",
        "requested_s",
        "reserved_tokens",
        "settled_tokens",
        "view",
        "view_read_s",
        "wanted_tokens",
    )

    def __init__(self, bias_corrected: bool):
        self.prefetches = True
        self.granted_tokens = 0
        self.settled_tokens = 0
        self.reserved_tokens = 0
        self.wanted_tokens = 0
        self.refused_tokens = 0
        self.requested_s = 0.0
        self.idle_since_s = 0.0
        self.demand = DemandMeter(bias_corrected=bias_corrected)
        self.view: BudgetView | None = None
        self.view_read_s = 0.0

    @property
    def free_tokens(self) -> int:
        return self.granted_tokens - self.settled_tokens - self.reserved_tokens


class GrantLedger:
    """Grants, reservations and settlements of one router incarnation.

    Parameters
    ----------
    rule : SizingRule
        How grants are sized and returned.
    """

    def __init__(self, rule: SizingRule):
        self._rule = rule
        self._accounts: dict[str, _Account] = {}
        self._recently_used: set[str] = set()

    @property
    def rule(self) -> SizingRule:
        """How grants are sized and returned."""
        return self._rule

    @rule.setter
    def rule(self, rule: SizingRule) -> None:
        self._rule = rule

    def budgets(self) -> list[str]:
        """Return the budgets that this router keeps an account of."""
        return list(self._accounts)

    def free_tokens(self, budget: str) -> int:
        """Return the tokens that can still be reserved."""
        account = self._accounts.get(budget)
        return account.free_tokens if account else 0

    def committed_tokens(self, budget: str) -> int:
        """Return the tokens that are settled or reserved."""
        account = self._accounts.get(budget)
        return account.settled_tokens + account.reserved_tokens if account else 0

    def demand_tokens_per_s(self, budget: str, now_s: float) -> float:
        """Return the rate of demand for a budget in this router."""
        account = self._accounts.get(budget)
        return account.demand.rate_tokens_per_s(now_s) if account else 0.0

    def set_prefetch(self, budget: str, prefetches: bool) -> None:
        """Set whether tokens of a budget are taken ahead of demand, as they are by default."""
        self._account(budget).prefetches = prefetches

    def is_idle(self, budget: str, idle_s: float, now_s: float) -> bool:
        """Return whether free tokens are held that no request needed for ``idle_s`` seconds."""
        account = self._accounts.get(budget)
        if account is None or account.free_tokens <= 0 or account.reserved_tokens:
            return False
        return now_s - account.requested_s >= idle_s

    def granted_tokens(self, budget: str) -> int:
        """Return all tokens added less those withdrawn."""
        account = self._accounts.get(budget)
        return account.granted_tokens if account else 0

    def held_tokens(self, budget: str) -> int:
        """Return granted tokens that are not settled."""
        account = self._accounts.get(budget)
        return account.granted_tokens - account.settled_tokens if account else 0

    def reserve(
        self, budget: str, tokens: int, now_s: float, first_try: bool = True
    ) -> Result[Reservation, RefusalReason]:
        """Reserve tokens, or return why they are refused.

        The tokens of a refused request are recorded, so that the next plan
        includes them; ``first_try`` is False when the same request tries again.
        """
        account = self._account(budget)
        self._recently_used.add(budget)
        account.requested_s = now_s
        if first_try:
            account.demand.add(tokens, now_s)
        if tokens <= account.free_tokens:
            account.idle_since_s = now_s
            account.refused_tokens = 0
            account.reserved_tokens += tokens
            return Ok(Reservation(budget, tokens))
        account.wanted_tokens = max(account.wanted_tokens, tokens)
        account.refused_tokens = max(account.refused_tokens, tokens)
        return Error(self._refusal(account, tokens))

    def settle(self, reservation: Reservation, used_tokens: int) -> int:
        """Close a reservation and return the tokens to bill, at most those reserved."""
        if not reservation.open:
            raise ValueError("the reservation is settled already")
        reservation.open = False
        account = self._account(reservation.budget)
        billed = min(used_tokens, reservation.tokens)
        account.reserved_tokens -= reservation.tokens
        account.settled_tokens += billed
        return billed

    def unsettle(self, budget: str, tokens: int) -> None:
        """Revert a settlement, for example of a request that was billed before."""
        self._account(budget).settled_tokens -= tokens

    def add(self, budget: str, tokens: int) -> None:
        """Add tokens that were granted or lent to this router."""
        self._account(budget).granted_tokens += tokens

    def withdraw(self, budget: str, tokens: int) -> int:
        """Withdraw up to ``tokens`` free tokens to return them; return how many."""
        account = self._account(budget)
        withdrawn = max(0, min(tokens, account.free_tokens))
        account.granted_tokens -= withdrawn
        return withdrawn

    def observe(self, budget: str, view: BudgetView, now_s: float) -> None:
        """Record the budget's row as read."""
        account = self._account(budget)
        account.view = view
        account.view_read_s = now_s

    def plan_refreshes(self, now_s: float) -> list[str]:
        """Return the budgets with free tokens whose row has to be read again.

        Rows of budgets near their limit are read more often, so that free tokens
        are returned when other routers run out.
        """
        return [budget for budget in self._accounts if self.needs_refresh(budget, now_s)]

    def needs_refresh(self, budget: str, now_s: float) -> bool:
        """Return whether one budget's row has to be read again; see ``plan_refreshes``."""
        account = self._accounts.get(budget)
        if account is None or account.free_tokens <= 0 or account.view is None:
            return False
        near_limit = account.view.ungranted_tokens < NEAR_LIMIT_FACTOR * account.free_tokens
        refresh_s = self._rule.near_limit_refresh_s if near_limit else self._rule.default_refresh_s
        return now_s - account.view_read_s >= refresh_s

    def clear_wanted(self, budget: str) -> None:
        """Clear the tokens wanted by refused requests; those that still wait try again."""
        self._account(budget).wanted_tokens = 0

    def plan_grants(self, now_s: float) -> dict[str, GrantRequest]:
        """Return the grant requests of the budgets that need more tokens.

        Only budgets with reservations tried since the last plan are considered.
        """
        used, self._recently_used = self._recently_used, set()
        requests = {budget: self.plan_grant(budget, now_s) for budget in used}
        return {budget: request for budget, request in requests.items() if request is not None}

    def plan_grant(self, budget: str, now_s: float) -> GrantRequest | None:
        """Return the grant request of one budget, or None if it needs no more tokens."""
        account = self._accounts.get(budget)
        if account is None:
            return None
        target = self._target_tokens(account, now_s)
        shortfall = max(0, account.wanted_tokens - account.free_tokens)
        if shortfall == 0 and account.free_tokens >= target / 2:
            return None
        desired = max(shortfall, int(target) - account.free_tokens)
        return GrantRequest(shortfall, desired) if desired > 0 else None

    def evict_idle(self, now_s: float) -> None:
        """Evict idle budgets that hold no tokens."""
        for budget, account in list(self._accounts.items()):
            held = account.granted_tokens - account.settled_tokens + account.reserved_tokens
            idle = now_s - account.requested_s >= self._rule.evict_after_s
            if not held and idle and budget not in self._recently_used:
                del self._accounts[budget]

    def plan_returns(self, now_s: float) -> dict[str, int]:
        """Return the surplus tokens to return, by budget."""
        surplus = {budget: self.plan_return(budget, now_s) for budget in self._accounts}
        return {budget: tokens for budget, tokens in surplus.items() if tokens}

    def plan_return(self, budget: str, now_s: float) -> int:
        """Return the surplus tokens of one budget, or 0."""
        account = self._accounts.get(budget)
        if account is None:
            return 0
        unusable = self._is_recalled(account) or self._is_insufficient(account)
        retained = 0 if unusable else int(self._target_tokens(account, now_s) * 2)
        idle = now_s - account.idle_since_s >= self._rule.idle_return_s
        immediate = unusable or self._is_scarce(account)
        if unusable:
            account.refused_tokens = 0
        if account.free_tokens > retained and (idle or immediate):
            return account.free_tokens - retained
        return 0

    def _target_tokens(self, account: _Account, now_s: float) -> float:
        if not account.prefetches:
            return 0.0
        rate = account.demand.rate_tokens_per_s(now_s)
        if rate < 1.0 and not self._rule.floor_share:
            return 0.0
        target = max(self._rule.minimum_tokens, rate * self._rule.horizon_s)
        if account.view is None:
            return target
        available = account.view.ungranted_tokens + account.free_tokens
        target = max(target, self._rule.floor_share * available)
        return max(0.0, min(target, self._rule.share * available))

    def _is_scarce(self, account: _Account) -> bool:
        """Return whether this router has more free tokens than are left for all others to take."""
        return account.view is not None and account.view.ungranted_tokens < account.free_tokens

    def _is_recalled(self, account: _Account) -> bool:
        return account.view is not None and account.view.ungranted_tokens < 0

    def _is_insufficient(self, account: _Account) -> bool:
        """Return whether free and ungranted tokens together can't serve a refused request.

        Such remainders are returned, so that those of several routers add up
        to a grant that is large enough.
        """
        if account.view is None or account.refused_tokens <= account.free_tokens:
            return False
        shortfall = account.refused_tokens - account.free_tokens
        return account.view.ungranted_tokens < shortfall

    def _refusal(self, account: _Account, tokens: int) -> RefusalReason:
        view = account.view
        if view is None:
            return RefusalReason.UNREACHABLE
        own_settled = account.settled_tokens
        remaining = view.limit_tokens - view.spent_tokens - own_settled
        return RefusalReason.EXHAUSTED if remaining < tokens else RefusalReason.UNREACHABLE

    def _account(self, budget: str) -> _Account:
        account = self._accounts.get(budget)
        if account is None:
            account = self._accounts[budget] = _Account(self._rule.bias_corrected)
        return account
