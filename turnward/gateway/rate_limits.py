# SPDX-License-Identifier: BSD-3-Clause
"""The rate limits of all endpoints as one router knows them, and what it tells others of them."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from turnward.gateway.member_ranks import MemberRanks
from turnward.gateway.rate_limit import RateLimit, RateShare, ToldLimit

__all__ = ["RateLimits"]

#: Seconds for which others are told what was learnt of an endpoint. Holders hear it again with
#: each of their requests.
_TOLD_S = 1.5
#: Most limits in one message.
_TOLD_LIMIT = 32
#: Endpoints remembered that named a limit.
_KNOWN_LIMIT = 1_000


class RateLimits:
    """The limits that endpoints named, to this router or others.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    ranks : MemberRanks
        Deals the rates out.
    own_name : str
        This process among all that ever ran.
    """

    def __init__(self, clock: Callable[[], float], ranks: MemberRanks, own_name: str):
        self._own_name = own_name
        self._clock = clock
        self._ranks = ranks
        #: By incarnation, in the order in which one was first named.
        self._limits: OrderedDict[str, RateLimit] = OrderedDict()
        #: Called with incarnation and limit (None: lifted) when another router tells of a change.
        self.on_peer_limit: Callable[[str, float | None], None] = _told_nobody

    # What endpoints say.

    def name(self, incarnation: str, per_s: float) -> bool:
        """Take in what an answer names; True when that changes the limit."""
        return self._of(incarnation).hear(per_s, self._clock())

    def note_unlimited(self, incarnation: str, sent_s: float) -> bool:
        """Take in an answer that names no limit; True when that lifts one."""
        limit = self._limits.get(incarnation)
        return limit is not None and limit.hear_none(sent_s, self._clock())

    def _of(self, incarnation: str) -> RateLimit:
        limit = self._limits.get(incarnation)
        if limit is None:
            limit = self._limits[incarnation] = RateLimit(self._own_name)
            while len(self._limits) > _KNOWN_LIMIT:
                self._limits.popitem(last=False)
        return limit

    # What this router may send.

    def opens_in_s(self, incarnation: str) -> float:
        """Return after which time this router may send an endpoint a request; 0: now."""
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return 0.0
        return limit.opens_in_s(self._share(incarnation, limit.per_s), self._clock())

    def fleet_wait_s(self, incarnation: str) -> float:
        """Return after which time a caller may be served there, by whichever router.

        A router without a part waits long; its callers may come to one that holds a part.
        """
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return 0.0
        share = self._share(incarnation, limit.per_s)
        return min(share.interval_s, limit.opens_in_s(share, self._clock()))

    def is_limited(self, incarnation: str) -> bool:
        """Tell whether an endpoint names a limit."""
        limit = self._limits.get(incarnation)
        return limit is not None and limit.per_s is not None

    @property
    def limited_count(self) -> int:
        """How many endpoints name a limit."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def note_sent(self, incarnation: str) -> None:
        """Note that this router sends an endpoint a request."""
        limit = self._limits.get(incarnation)
        if limit is not None:
            limit.note_sent(self._clock())

    def _share(self, incarnation: str, per_s: float) -> RateShare:
        rank = self._ranks.of(incarnation) if self._ranks.known else self._ranks.members
        return RateShare.from_rate(per_s, rank, self._ranks.members)

    # What routers tell each other.

    def told(self) -> tuple[ToldLimit, ...]:
        """Return what others are told: what was learnt lately, the newest first."""
        now_s = self._clock()
        told = [
            ToldLimit(
                incarnation,
                limit.per_s,
                round((now_s - limit.heard_s) * 1_000),
                limit.witness,
                limit.witness_ms,
            )
            for incarnation, limit in self._limits.items()
            if now_s - limit.learnt_s < _TOLD_S
        ]
        told.sort(key=lambda one: one.age_ms)
        return tuple(told[:_TOLD_LIMIT])

    def take_in(self, told: Iterable[ToldLimit]) -> None:
        """Take in what another router tells."""
        now_s = self._clock()
        for one in told:
            if one.per_s is None and one.endpoint not in self._limits:
                continue
            if self._of(one.endpoint).hear_told(one, now_s):
                self.on_peer_limit(one.endpoint, one.per_s)


def _told_nobody(incarnation: str, per_s: float | None) -> None:
    """Stand in where nobody wants to know of changes."""
