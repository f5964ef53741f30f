# SPDX-License-Identifier: BSD-3-Clause
"""Decides how much a router may spend of a workspace until its next report.

A loose bound serves more requests while reports can't be written; a tight one strands fewer tokens
when the process crashes. Stranded tokens are missed only where a limit is used up.
"""

from abc import ABC, abstractmethod

import msgspec

from turnward.gateway.load_controls import LoadControls
from turnward.gateway.spending import SpendBound

__all__ = [
    "FixedBursts",
    "HoldingState",
    "RecentMaximum",
    "ScarcityBounds",
    "ScarcityRule",
    "SpendBoundPolicyBase",
    "SpendBoundRule",
    "make_spend_bounds",
    "spend_bound_for",
]

#: Time for which the size of a request is remembered at least, like the demand.
_SIZE_WINDOW_S = 10.0


class RecentMaximum:
    """Largest of the values added within the last one to two windows of time.

    Parameters
    ----------
    window_s : float, optional
        Length of a window.

    Examples
    --------
    >>> sizes = RecentMaximum(10.0)
    >>> sizes.add(900, 1.0)
    >>> sizes.add(400, 12.0)
    >>> sizes.value(13.0), sizes.value(24.0), sizes.value(50.0)
    (900, 400, 0)
    """

    __slots__ = ("_current", "_previous", "_started_s", "_window_s")

    def __init__(self, window_s: float = _SIZE_WINDOW_S):
        self._window_s = window_s
        self._started_s = 0.0
        self._previous = 0
        self._current = 0

    def add(self, value: int, now_s: float) -> None:
        """Add a value."""
        self._roll(now_s)
        self._current = max(self._current, value)

    def value(self, now_s: float) -> int:
        """Return the largest recent value; 0 if there is none."""
        self._roll(now_s)
        return max(self._previous, self._current)

    def _roll(self, now_s: float) -> None:
        age_s = now_s - self._started_s
        if age_s < self._window_s:
            return
        self._previous = self._current if age_s < 2 * self._window_s else 0
        self._current = 0
        self._started_s = now_s - age_s % self._window_s


class HoldingState(msgspec.Struct, frozen=True, kw_only=True):
    """What a router knows of one workspace when it makes a report.

    Attributes
    ----------
    committed_tokens : int
        Settled or reserved under the router's own grant; see ``SpendBound.spent_tokens``.
    free_tokens, waiting_tokens : int
        Held and not reserved, and needed by the requests that wait.
    demand_tokens_per_s : float
        Rate of demand at this router.
    limit_tokens, ungranted_tokens : int or None
        The workspace's limit and the part that no router holds; None if the row is unknown.
    holders : int
        Number of routers that hold the workspace's tokens.
    largest_request_tokens : int
        Size of the largest request seen lately; 0 if none was seen.
    """

    committed_tokens: int
    free_tokens: int
    waiting_tokens: int
    demand_tokens_per_s: float
    limit_tokens: int | None
    ungranted_tokens: int | None
    holders: int
    largest_request_tokens: int = 0

    @property
    def remaining_tokens(self) -> int:
        """Tokens not spent; each other holder is assumed to hold as many as this router."""
        held = self.holders * max(0, self.free_tokens)
        return max(0, self.ungranted_tokens or 0) + held


class SpendBoundPolicyBase(ABC):
    """Makes the spend bounds of a router's reports."""

    @abstractmethod
    def bound_for(self, state: HoldingState) -> SpendBound:
        """Return the bound on the spending of one workspace's tokens until the next report."""


class SpendBoundRule(msgspec.Struct, frozen=True):
    """How tight a router's spend bounds are.

    The burst admits single large requests; the rate only has to keep up with the demand. With a
    tight bound few tokens are lost when the process crashes; a loose one needs fewer reports and
    lets a disconnected router serve more. A crashed process is usually restarted within seconds,
    while a disconnection may last long, so bounds are tight at first and relaxed later.

    Attributes
    ----------
    burst_s, burst_tokens : float, int
        May be spent at once after a report: this many seconds of demand, and at least this
        many tokens.
    burst_share, max_burst_tokens : float, int
        Fraction of a workspace's limit that the routers share as bursts, if that exceeds
        ``burst_tokens`` for each, up to ``max_burst_tokens`` for one router. A single request
        may be much larger than the demand of a second.
    rate_factor : float
        Ratio of the rate after the burst to the demand.
    relax_after_s : float
        Seconds after a report from which the bound grows faster.
    spend_all_s : float
        Seconds from then on in which all tokens held may be spent.
    scarce_share : float
        Fraction of a limit below which the remaining tokens are scarce. Tokens lost in a crash
        are needed only then.
    scarce_factor : float
        Scales the burst and the rate while tokens are scarce.
    """

    burst_s: float = 1.0
    burst_tokens: int = 3_000
    burst_share: float = 0.2
    max_burst_tokens: int = 24_000
    rate_factor: float = 1.0
    relax_after_s: float = 4.0
    spend_all_s: float = 8.0
    scarce_share: float = 0.3
    scarce_factor: float = 0.4

    def for_limit(self, limit_tokens: int, routers: int) -> "SpendBoundRule":
        """Return the rule for a workspace whose limit is shared by a number of routers.

        Examples
        --------
        >>> SpendBoundRule().for_limit(600_000, 2).burst_tokens
        24000
        >>> SpendBoundRule().for_limit(600_000, 30).burst_tokens
        4000
        """
        shared = int(self.burst_share * limit_tokens / max(1, routers))
        burst = max(self.burst_tokens, min(self.max_burst_tokens, shared))
        return msgspec.structs.replace(self, burst_tokens=burst)

    def tightened(self) -> "SpendBoundRule":
        """Return the rule for a workspace whose remaining tokens are scarce."""
        return msgspec.structs.replace(
            self,
            burst_s=self.burst_s * self.scarce_factor,
            burst_tokens=int(self.burst_tokens * self.scarce_factor),
            rate_factor=self.rate_factor * self.scarce_factor,
        )


def spend_bound_for(
    spent_tokens: int,
    free_tokens: int,
    waiting_tokens: int,
    demand_tokens_per_s: float,
    rule: SpendBoundRule,
) -> SpendBound:
    """Return the spend bound of a router with given spending, free tokens and demand.

    Examples
    --------
    >>> bound = spend_bound_for(100, 60_000, 0, 5_000.0, SpendBoundRule())
    >>> bound.burst_tokens, bound.rate_tokens_per_s, bound.relaxed_rate_tokens_per_s
    (5000, 5000.0, 7500.0)
    """
    free_tokens = max(0, free_tokens)
    demand_burst = int(rule.burst_s * demand_tokens_per_s)
    burst = min(free_tokens, max(rule.burst_tokens, demand_burst, waiting_tokens))
    rate = rule.rate_factor * demand_tokens_per_s
    relaxed_rate = free_tokens / rule.spend_all_s
    return SpendBound(
        spent_tokens, burst, round(rate, 1), rule.relax_after_s, round(relaxed_rate, 1)
    )


class FixedBursts(SpendBoundPolicyBase):
    """Bursts of a fixed size, or of a second of demand; tighter while tokens are scarce.

    Parameters
    ----------
    rule : SpendBoundRule, optional
        How tight the bounds are.
    """

    def __init__(self, rule: SpendBoundRule | None = None):
        self._rule = rule or SpendBoundRule()

    def bound_for(self, state: HoldingState) -> SpendBound:
        """See ``SpendBoundPolicyBase.bound_for``."""
        return spend_bound_for(
            state.committed_tokens,
            state.free_tokens,
            state.waiting_tokens,
            state.demand_tokens_per_s,
            self._rule_for(state),
        )

    def _rule_for(self, state: HoldingState) -> SpendBoundRule:
        if state.limit_tokens is None:
            return self._rule
        rule = self._rule.for_limit(state.limit_tokens, state.holders)
        scarce = state.remaining_tokens < rule.scarce_share * state.limit_tokens
        return rule.tightened() if scarce else rule


class ScarcityRule(msgspec.Struct, frozen=True):
    """How bounds by scarcity are sized.

    Attributes
    ----------
    scarce_share : float
        Fraction of a limit below which the remaining tokens are scarce; what is left above it
        is spare.
    stranded_share : float
        Fraction of a limit that a loss of all holders may strand by bursts at any time.
    stranded_share_of_spare : float
        Fraction of the spare tokens that such a loss may strand, if that is more.
    burst_s : float
        Seconds of demand that a burst covers.
    burst_requests : int
        Number of requests, as large as the largest seen lately, that a burst covers.
    unseen_request_tokens : int
        Size assumed before the first request: a long prompt and its response.
    rate_factor, scarce_rate_factor : float
        Ratio of the rate after the burst to the demand, as far as there are spare tokens, and
        in any case.
    relax_after_s, spend_all_s : float
        See ``SpendBoundRule``. Until the bound is relaxed, the rate takes no more than the spare
        tokens.
    """

    scarce_share: float = 0.25
    stranded_share: float = 0.02
    stranded_share_of_spare: float = 0.15
    burst_s: float = 2.0
    burst_requests: int = 4
    unseen_request_tokens: int = 24_000
    rate_factor: float = 1.5
    scarce_rate_factor: float = 0.4
    relax_after_s: float = 4.0
    spend_all_s: float = 8.0


class ScarcityBounds(SpendBoundPolicyBase):
    """Bounds that cover what requests need, as far as what is left of the limit can bear it.

    Parameters
    ----------
    rule : ScarcityRule, optional
        How the bounds are sized.

    Examples
    --------
    >>> full = HoldingState(
    ...     committed_tokens=0,
    ...     free_tokens=2_000_000,
    ...     waiting_tokens=0,
    ...     demand_tokens_per_s=90_000.0,
    ...     limit_tokens=8_000_000,
    ...     ungranted_tokens=4_000_000,
    ...     holders=2,
    ...     largest_request_tokens=50_000,
    ... )
    >>> ScarcityBounds().bound_for(full).burst_tokens
    200000
    >>> nearly_used_up = msgspec.structs.replace(full, free_tokens=300_000, ungranted_tokens=0)
    >>> ScarcityBounds().bound_for(nearly_used_up).burst_tokens
    80000
    """

    def __init__(self, rule: ScarcityRule | None = None):
        self._rule = rule or ScarcityRule()

    def bound_for(self, state: HoldingState) -> SpendBound:
        """See ``SpendBoundPolicyBase.bound_for``.

        The burst isn't limited to the tokens held now, so that it covers the next grant too.
        """
        rule = self._rule
        holders = max(1, state.holders)
        limit = state.limit_tokens or 0
        spare = max(0.0, state.remaining_tokens - rule.scarce_share * limit) / holders
        bearable = rule.stranded_share_of_spare * spare
        always = rule.stranded_share * limit / holders
        burst = max(always, min(bearable, self._needed_tokens(state)))
        # The first seconds of demand say little of the next ones, hence the second term.
        rate = max(rule.rate_factor * state.demand_tokens_per_s, bearable / rule.relax_after_s)
        scarce_rate = rule.scarce_rate_factor * state.demand_tokens_per_s
        return SpendBound(
            state.committed_tokens,
            int(max(burst, state.waiting_tokens)),
            round(max(scarce_rate, min(rate, spare / rule.relax_after_s)), 1),
            rule.relax_after_s,
            round(max(0, state.free_tokens) / rule.spend_all_s, 1),
        )

    def _needed_tokens(self, state: HoldingState) -> float:
        rule = self._rule
        largest = state.largest_request_tokens or rule.unseen_request_tokens
        return max(rule.burst_s * state.demand_tokens_per_s, rule.burst_requests * largest)


def make_spend_bounds(controls: LoadControls) -> SpendBoundPolicyBase:
    """Return the policy that the settings call for."""
    return ScarcityBounds() if controls.spend_bounds_by_scarcity else FixedBursts()
