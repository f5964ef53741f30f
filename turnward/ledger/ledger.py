# SPDX-License-Identifier: BSD-3-Clause
"""The router's own account of its grants: pure decisions, no input or output."""

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


#: A budget is near its end when less than so many times what is free here is ungranted.
NEAR_LIMIT_FACTOR = 8


class RefusalReason(StrEnum):
    """Why a reservation was refused."""

    EXHAUSTED = "budget_exhausted"
    UNREACHABLE = "budget_unreachable"


class Reservation(msgspec.Struct):
    """Tokens set aside for one request; settled once."""

    budget: str
    tokens: int
    open: bool = True


class BudgetView(msgspec.Struct, frozen=True):
    """The budget's row as last read by this router."""

    limit_tokens: int
    ungranted_tokens: int
    spent_tokens: int


class GrantRequest(msgspec.Struct, frozen=True):
    """A wish for more tokens.

    Attributes
    ----------
    required_tokens : int
        What waiting requests need; less is of no use. 0 when nothing waits.
    desired_tokens : int
        What demand over the horizon calls for.
    """

    required_tokens: int
    desired_tokens: int


class SizingRule(msgspec.Struct, frozen=True):
    """How far ahead grants are taken.

    Attributes
    ----------
    horizon_s : float
        Seconds of demand a full grant covers.
    minimum_tokens : int
        Smallest grant worth a write.
    share : float
        Largest part of the tokens within reach (ungranted, or free here) that
        one router claims beyond what waiting requests need.
    floor_share : float
        Part of the tokens within reach that is held even without demand, so
        that a router cut off from the table serves on.
    bias_corrected : bool
        See ``DemandMeter``.
    idle_return_s : float
        Idle time after which spare tokens are returned.
    near_limit_refresh_s, default_refresh_s : float
        Age at which a held budget's row is read again, near its end and
        elsewhere.
    evict_after_s : float
        Time after which a budget that holds nothing is dropped.
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
    """One budget's figures in this router."""

    __slots__ = (
        "ahead",
        "asked_s",
        "demand",
        "granted_tokens",
        "idle_since_s",
        "refused_tokens",
        "reserved_tokens",
        "settled_tokens",
        "view",
        "viewed_s",
        "wanted_tokens",
    )

    def __init__(self, bias_corrected: bool):
        self.ahead = True
        self.granted_tokens = 0
        self.settled_tokens = 0
        self.reserved_tokens = 0
        self.wanted_tokens = 0
        self.refused_tokens = 0
        self.asked_s = 0.0
        self.idle_since_s = 0.0
        self.demand = DemandMeter(bias_corrected=bias_corrected)
        self.view: BudgetView | None = None
        self.viewed_s = 0.0

    @property
    def free_tokens(self) -> int:
        return self.granted_tokens - self.settled_tokens - self.reserved_tokens


class GrantLedger:
    """Grants, reservations and settlements of one router incarnation.

    Parameters
    ----------
    rule : SizingRule
        How grants are sized.
    """

    def __init__(self, rule: SizingRule):
        self._rule = rule
        self._accounts: dict[str, _Account] = {}
        self._touched: set[str] = set()

    @property
    def rule(self) -> SizingRule:
        """How far ahead grants are taken."""
        return self._rule

    @rule.setter
    def rule(self, rule: SizingRule) -> None:
        self._rule = rule

    def budgets(self) -> list[str]:
        """Return the budgets this router has dealt with."""
        return list(self._accounts)

    def free_tokens(self, budget: str) -> int:
        """Return what can still be reserved."""
        account = self._accounts.get(budget)
        return account.free_tokens if account else 0

    def committed_tokens(self, budget: str) -> int:
        """Return what is settled or reserved."""
        account = self._accounts.get(budget)
        return account.settled_tokens + account.reserved_tokens if account else 0

    def demand_tokens_per_s(self, budget: str, now_s: float) -> float:
        """Return how fast a budget is drawn on here."""
        account = self._accounts.get(budget)
        return account.demand.rate_tokens_per_s(now_s) if account else 0.0

    def set_prefetch(self, budget: str, ahead: bool) -> None:
        """Say whether tokens of a budget are held ahead of demand; they are by default."""
        self._account(budget).ahead = ahead

    def is_idle(self, budget: str, idle_s: float, now_s: float) -> bool:
        """Tell whether free tokens lie here for which no request has asked lately."""
        account = self._accounts.get(budget)
        if account is None or account.free_tokens <= 0 or account.reserved_tokens:
            return False
        return now_s - account.asked_s >= idle_s

    def granted_tokens(self, budget: str) -> int:
        """Return all tokens added here less those withdrawn."""
        account = self._accounts.get(budget)
        return account.granted_tokens if account else 0

    def held_tokens(self, budget: str) -> int:
        """Return granted tokens that are not settled."""
        account = self._accounts.get(budget)
        return account.granted_tokens - account.settled_tokens if account else 0

    def reserve(
        self, budget: str, tokens: int, now_s: float, first_try: bool = True
    ) -> Result[Reservation, RefusalReason]:
        """Set tokens aside, or say why not.

        A refused request's need is remembered, so that the next plan asks for
        it; ``first_try`` is False when the same request tries again.
        """
        account = self._account(budget)
        self._touched.add(budget)
        account.asked_s = now_s
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
        """Take back a settlement whose request proved to be billed already."""
        self._account(budget).settled_tokens -= tokens

    def add(self, budget: str, tokens: int) -> None:
        """Take in tokens that the table granted."""
        self._account(budget).granted_tokens += tokens

    def withdraw(self, budget: str, tokens: int) -> int:
        """Take up to ``tokens`` free tokens out, before they are returned."""
        account = self._account(budget)
        taken = max(0, min(tokens, account.free_tokens))
        account.granted_tokens -= taken
        return taken

    def observe(self, budget: str, view: BudgetView, now_s: float) -> None:
        """Take in the budget's row as read."""
        account = self._account(budget)
        account.view = view
        account.viewed_s = now_s

    def plan_refreshes(self, now_s: float) -> list[str]:
        """Return the held budgets whose row is to be read again.

        A budget near its end is looked at often, so that tokens held here go
        back when others run dry; all others seldom.
        """
        return [budget for budget in self._accounts if self.needs_refresh(budget, now_s)]

    def needs_refresh(self, budget: str, now_s: float) -> bool:
        """Tell whether one budget's row is to be read again; see ``plan_refreshes``."""
        account = self._accounts.get(budget)
        if account is None or account.free_tokens <= 0 or account.view is None:
            return False
        near = account.view.ungranted_tokens < NEAR_LIMIT_FACTOR * account.free_tokens
        limit_s = self._rule.near_limit_refresh_s if near else self._rule.default_refresh_s
        return now_s - account.viewed_s >= limit_s

    def clear_wanted(self, budget: str) -> None:
        """Forget what waiting requests wanted; they ask again if they still wait."""
        self._account(budget).wanted_tokens = 0

    def plan_grants(self, now_s: float) -> dict[str, GrantRequest]:
        """Return the budgets that need more tokens, and how many.

        Only budgets drawn on since the last plan are looked at.
        """
        touched, self._touched = self._touched, set()
        asks = {budget: self.plan_grant(budget, now_s) for budget in touched}
        return {budget: ask for budget, ask in asks.items() if ask is not None}

    def plan_grant(self, budget: str, now_s: float) -> GrantRequest | None:
        """Return how many more tokens one budget needs, or None."""
        account = self._accounts.get(budget)
        if account is None:
            return None
        target = self._target_tokens(account, now_s)
        shortfall = max(0, account.wanted_tokens - account.free_tokens)
        if shortfall == 0 and account.free_tokens >= target / 2:
            return None
        most = max(shortfall, int(target) - account.free_tokens)
        return GrantRequest(shortfall, most) if most > 0 else None

    def evict_idle(self, now_s: float) -> None:
        """Drop budgets that hold nothing and were not asked for lately."""
        for budget, account in list(self._accounts.items()):
            holds = account.granted_tokens - account.settled_tokens + account.reserved_tokens
            rested = now_s - account.asked_s >= self._rule.evict_after_s
            if not holds and rested and budget not in self._touched:
                del self._accounts[budget]

    def plan_returns(self, now_s: float) -> dict[str, int]:
        """Return the spare tokens of budgets, to be given back."""
        spare = {budget: self.plan_return(budget, now_s) for budget in self._accounts}
        return {budget: tokens for budget, tokens in spare.items() if tokens}

    def plan_return(self, budget: str, now_s: float) -> int:
        """Return the spare tokens of one budget; 0 when none go back."""
        account = self._accounts.get(budget)
        if account is None:
            return 0
        useless = self._recalled(account) or self._too_little(account)
        keep = 0 if useless else int(self._target_tokens(account, now_s) * 2)
        idle = now_s - account.idle_since_s >= self._rule.idle_return_s
        at_once = useless or self._is_scarce(account)
        if useless:
            account.refused_tokens = 0
        if account.free_tokens > keep and (idle or at_once):
            return account.free_tokens - keep
        return 0

    def _target_tokens(self, account: _Account, now_s: float) -> float:
        if not account.ahead:
            return 0.0
        rate = account.demand.rate_tokens_per_s(now_s)
        if rate < 1.0 and not self._rule.floor_share:
            return 0.0
        target = max(self._rule.minimum_tokens, rate * self._rule.horizon_s)
        if account.view is None:
            return target
        reach = account.view.ungranted_tokens + account.free_tokens
        target = max(target, self._rule.floor_share * reach)
        return max(0.0, min(target, self._rule.share * reach))

    def _is_scarce(self, account: _Account) -> bool:
        """Tell whether this router holds more than is left for all others to take."""
        return account.view is not None and account.view.ungranted_tokens < account.free_tokens

    def _recalled(self, account: _Account) -> bool:
        return account.view is not None and account.view.ungranted_tokens < 0

    def _too_little(self, account: _Account) -> bool:
        """Tell whether the free tokens serve nobody here and the table can't add enough.

        Such remainders are returned, so that those of many routers make up
        one that is large enough.
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
        left = view.limit_tokens - view.spent_tokens - own_settled
        return RefusalReason.EXHAUSTED if left < tokens else RefusalReason.UNREACHABLE

    def _account(self, budget: str) -> _Account:
        account = self._accounts.get(budget)
        if account is None:
            account = self._accounts[budget] = _Account(self._rule.bias_corrected)
        return account
