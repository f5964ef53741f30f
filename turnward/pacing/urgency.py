# SPDX-License-Identifier: BSD-3-Clause
"""Protects tokens for the most urgent requests of a workspace.

Load: the callers of a workspace ask for more tokens than its limit holds, and less urgent requests,
though few, need most of them. In the order of arrival these use up the limit, after which urgent
requests are refused as well.

Of the tokens left, a multiple of those that the most urgent requests have used since the limit was
last raised is protected for them, since the time until the next raise is unknown. The rest drains
to all other requests at a rate that falls with it; the more urgent of them get more of it. A kind
that was served until then has been served at least 1 / (1 + multiple) times as often as the most
urgent one by the time that this has used the protected tokens.
"""

import math
from collections import defaultdict
from collections.abc import Callable

import msgspec

from turnward.ledger import DemandMeter
from turnward.pacing.core import PacedRequest, TokenPacerBase, TokenSupply
from turnward.pacing.usage import WorkspaceUse

__all__ = ["UrgencyPacer", "UrgencyPacerRule"]


class UrgencyPacerRule(msgspec.Struct, frozen=True, kw_only=True):
    """How many tokens are protected, and how fast the others are given out.

    Attributes
    ----------
    protected_factor : float
        Tokens protected for the most urgent requests, per token that these have used.
    drain_s : float
        Longest time constant with which unprotected tokens drain to less urgent requests; more
        than ``max_delay_s``, so that the rate by which a delay was computed holds meanwhile.
    lookahead_s : float
        Other requests are not refused while unprotected tokens would suffice the most urgent ones
        alone for this time; shortens the time constant where these ask for little.
    step_weight : float
        Weight of a token asked for, relative to one of the next less urgent priority, where the
        drained tokens are divided; large enough for the order to show in each kind's share.
    burst_s : float
        Time at the current rate whose tokens may be given out at once.
    max_delay_s : float
        Longest delay told to a caller, as the limit may be raised at any time.
    """

    protected_factor: float = 0.5
    drain_s: float = 25.0
    lookahead_s: float = 60.0
    step_weight: float = 3.0
    burst_s: float = 3.0
    max_delay_s: float = 20.0

    def drain_time_s(self, most_urgent_share: float) -> float:
        """Return the time constant where the most urgent requests have a share of the demand.

        Examples
        --------
        >>> rule = UrgencyPacerRule(drain_s=25.0, lookahead_s=60.0)
        >>> [rule.drain_time_s(share) for share in (0.0625, 0.5)]
        [4.0, 25.0]
        """
        other_share = max(1e-9, 1.0 - most_urgent_share)
        return min(self.drain_s, self.lookahead_s * most_urgent_share / other_share)


class _Bucket:
    """Tokens that requests of one priority may take; negative after an admission.

    Since a request of any size is admitted while the balance isn't negative, large requests are
    not put behind small ones.
    """

    __slots__ = ("_balance_tokens", "_demand", "_refused_tokens", "_updated_s")

    def __init__(self, now_s: float, demand_time_constant_s: float):
        self._balance_tokens = math.inf
        self._demand = DemandMeter(demand_time_constant_s)
        self._refused_tokens = 0.0
        self._updated_s = now_s

    def note_asked(self, tokens: int, now_s: float) -> None:
        """Count the tokens that a request asks for."""
        self._demand.add(tokens, now_s)

    def demand_tokens_per_s(self, now_s: float) -> float:
        """Return the rate of tokens asked for lately."""
        return self._demand.rate_tokens_per_s(now_s)

    def refill(self, rate_tokens_per_s: float, burst_s: float, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        added = rate_tokens_per_s * max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        capacity = rate_tokens_per_s * burst_s
        self._balance_tokens = min(capacity, self._balance_tokens + added)
        self._refused_tokens = max(0.0, self._refused_tokens - added)

    def take(self, tokens: int) -> bool:
        """Take tokens, and return whether a request may use them."""
        if self._balance_tokens < 0:
            return False
        self._balance_tokens -= tokens
        return True

    def queue_delay_s(self, tokens: int, rate_tokens_per_s: float, max_delay_s: float) -> float:
        """Return when the rate covers a refused request and those refused before it."""
        ahead = max(0.0, -self._balance_tokens) + self._refused_tokens
        if ahead >= rate_tokens_per_s * max_delay_s:
            return max_delay_s
        self._refused_tokens += tokens
        return max(ahead / rate_tokens_per_s, 1e-3)


class UrgencyPacer(TokenPacerBase):
    """Admits less urgent requests at the rate at which unprotected tokens may drain.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    rule : UrgencyPacerRule, optional
        How many tokens are protected, and how fast the others are given out.

    Examples
    --------
    >>> pacer = UrgencyPacer(lambda: 0.0)
    >>> urgent = PacedRequest(workspace="w", tokens=500, priority=0)
    >>> less_urgent = PacedRequest(workspace="w", tokens=500, priority=2)
    >>> pacer.delay_s(urgent, TokenSupply(limit_tokens=10_000, remaining_tokens=10_000))
    0.0
    >>> supply = TokenSupply(limit_tokens=10_000, remaining_tokens=3_000)
    >>> pacer.delay_s(less_urgent, supply)
    20.0
    >>> pacer.protected_tokens(less_urgent, supply)
    3500
    """

    def __init__(self, clock: Callable[[], float], rule: UrgencyPacerRule | None = None):
        self._clock = clock
        self._rule = rule or UrgencyPacerRule()
        self._uses: dict[str, WorkspaceUse] = {}
        self._buckets: defaultdict[str, dict[int, _Bucket]] = defaultdict(dict)

    def delay_s(self, request: PacedRequest, supply: TokenSupply) -> float:
        """See ``TokenPacerBase.delay_s``."""
        use = self._use(request.workspace, supply)
        use.note_asked(request, supply)
        delay_s = self._bucket_delay_s(use, request, supply)
        if delay_s == 0:
            use.note_admitted(request)
        return delay_s

    def protected_tokens(self, request: PacedRequest, supply: TokenSupply) -> int:
        """See ``TokenPacerBase.protected_tokens``."""
        use = self._use(request.workspace, supply)
        used = use.used_by_most_urgent(request.priority, supply)
        return int(self._rule.protected_factor * used)

    def _use(self, workspace: str, supply: TokenSupply) -> WorkspaceUse:
        use = self._uses.get(workspace)
        if use is None:
            # What was spent before protects no more than what is left now.
            max_before_tokens = int(supply.remaining_tokens / self._rule.protected_factor)
            use = self._uses[workspace] = WorkspaceUse(supply, max_before_tokens)
        return use

    def _bucket_delay_s(
        self, use: WorkspaceUse, request: PacedRequest, supply: TokenSupply
    ) -> float:
        most_urgent_share = use.most_urgent_share(request.priority)
        if most_urgent_share <= 0:
            return 0.0
        rule = self._rule
        now_s = self._clock()
        unprotected = supply.remaining_tokens - self.protected_tokens(request, supply)
        buckets = self._buckets[request.workspace]
        bucket = buckets.get(request.priority)
        if bucket is None:
            bucket = buckets[request.priority] = _Bucket(now_s, rule.drain_s)
        bucket.note_asked(request.tokens, now_s)
        drain_s = rule.drain_time_s(most_urgent_share)
        drain_tokens_per_s = max(0, unprotected) / (drain_s * max(1, supply.holders))
        share = _share_of_drain(buckets, request.priority, rule.step_weight, now_s)
        rate_tokens_per_s = drain_tokens_per_s * share
        bucket.refill(rate_tokens_per_s, rule.burst_s, now_s)
        if rate_tokens_per_s > 0 and bucket.take(request.tokens):
            return 0.0
        return bucket.queue_delay_s(request.tokens, rate_tokens_per_s, rule.max_delay_s)


def _share_of_drain(
    buckets: dict[int, _Bucket], priority: int, step_weight: float, now_s: float
) -> float:
    """Return the share of the drained tokens for a priority, by its demand and urgency."""
    weighted = {
        other: buckets[other].demand_tokens_per_s(now_s) / step_weight**rank
        for rank, other in enumerate(sorted(buckets))
    }
    return weighted[priority] / sum(weighted.values())
