# SPDX-License-Identifier: BSD-3-Clause
"""The rate limits of all endpoints as one router knows them, and their exchange among routers."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from turnward.gateway.member_ranks import MemberRanks
from turnward.gateway.rate_limit import RateLimit, RateLimitUpdate, RateShare

__all__ = ["RateLimits"]

#: Time for which a received limit is announced; holders receive it again with each request.
_ANNOUNCE_S = 1.5
#: Bounds the size of a message.
_MAX_ANNOUNCED = 32
_MAX_ENDPOINTS = 1_000


class RateLimits:
    """Rate limits that endpoints announced to this router or to others.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    ranks : MemberRanks
        Ranks by which rates are divided among the members.
    process_name : str
        Unique name of this router process.
    """

    def __init__(self, clock: Callable[[], float], ranks: MemberRanks, process_name: str):
        self._process_name = process_name
        self._clock = clock
        self._ranks = ranks
        #: By incarnation, in the order of the first announcement.
        self._limits: OrderedDict[str, RateLimit] = OrderedDict()
        #: Called with incarnation and limit (None: lifted) when an update of a peer changes it.
        self.on_peer_limit: Callable[[str, float | None], None] = _ignore_change

    # Responses of endpoints.

    def set_limit(self, incarnation: str, per_s: float) -> bool:
        """Apply the limit in a response; return True if it changed."""
        return self._get_or_create(incarnation).observe(per_s, self._clock())

    def note_unlimited(self, incarnation: str, sent_s: float) -> bool:
        """Apply a response without a limit; return True if it lifts one."""
        limit = self._limits.get(incarnation)
        return limit is not None and limit.observe_unlimited(sent_s, self._clock())

    def rename(self, incarnation: str, new_incarnation: str, since_s: float) -> None:
        """Keep a limit received from ``since_s`` on for an endpoint whose entry was corrected."""
        limit = self._limits.get(incarnation)
        if limit is not None and limit.announced_s >= since_s:
            self._limits.setdefault(new_incarnation, limit)

    def _get_or_create(self, incarnation: str) -> RateLimit:
        limit = self._limits.get(incarnation)
        if limit is None:
            limit = self._limits[incarnation] = RateLimit(self._process_name)
            while len(self._limits) > _MAX_ENDPOINTS:
                self._limits.popitem(last=False)
        return limit

    # Admission of requests.

    def available_in_s(self, incarnation: str) -> float:
        """Return the time until this router may send an endpoint a request; 0 if it may now."""
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return 0.0
        return limit.available_in_s(self._share(incarnation, limit.per_s), self._clock())

    def fleet_wait_s(self, incarnation: str) -> float:
        """Return the time until a caller may be served there, by whichever router.

        A router without a share waits long, but its callers may retry at a router that has one.
        """
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return 0.0
        share = self._share(incarnation, limit.per_s)
        return min(share.interval_s, limit.available_in_s(share, self._clock()))

    def is_limited(self, incarnation: str) -> bool:
        """Return whether an endpoint has a limit."""
        limit = self._limits.get(incarnation)
        return limit is not None and limit.per_s is not None

    @property
    def limited_count(self) -> int:
        """Number of endpoints that have a limit."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def note_sent(self, incarnation: str) -> None:
        """Record that this router sends an endpoint a request."""
        limit = self._limits.get(incarnation)
        if limit is not None:
            limit.note_sent(self._clock())

    def _share(self, incarnation: str, per_s: float) -> RateShare:
        rank = self._ranks.rank_for(incarnation) if self._ranks.known else self._ranks.members
        return RateShare.from_rate(per_s, rank, self._ranks.members)

    # Exchange among routers.

    def announced(self) -> tuple[RateLimitUpdate, ...]:
        """Return the recently received limits to announce, newest first."""
        now_s = self._clock()
        updates = [
            RateLimitUpdate(
                incarnation,
                limit.per_s,
                round((now_s - limit.announced_s) * 1_000),
                limit.observer,
                limit.observed_ms,
            )
            for incarnation, limit in self._limits.items()
            if now_s - limit.received_s < _ANNOUNCE_S
        ]
        updates.sort(key=lambda update: update.age_ms)
        return tuple(updates[:_MAX_ANNOUNCED])

    def merge(self, updates: Iterable[RateLimitUpdate]) -> None:
        """Merge updates of another router."""
        now_s = self._clock()
        for update in updates:
            if update.per_s is None and update.endpoint not in self._limits:
                continue
            if self._get_or_create(update.endpoint).merge(update, now_s):
                self.on_peer_limit(update.endpoint, update.per_s)


def _ignore_change(incarnation: str, per_s: float | None) -> None:
    """Default for ``on_peer_limit``."""
