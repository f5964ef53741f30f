# SPDX-License-Identifier: BSD-3-Clause
"""Chooses an endpoint for a request, from what this router and its peers know.

The cost of an engine is the time until a new prompt is read there: what is
being read already, and the parts of this prompt that the engine does not keep.
Shared parts weigh more than their time, so that they are read again seldom.
Which engine keeps a part that nobody here has sent is guessed by rendezvous
hashing, so that all routers guess alike.
"""

import math
import random
from collections import OrderedDict
from collections.abc import Callable

import msgspec

from turnward.gateway.availability import Availability, UnavailableReason
from turnward.gateway.configuration import EndpointEntry, EngineTraits, WarmUpTraits
from turnward.gateway.dialect import Dialect
from turnward.gateway.endpoint_feedback import parse_feedback
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.engine_speed import EventGaps, SpeedClass, next_speed_class, usual_gaps
from turnward.gateway.outcomes import Reason
from turnward.gateway.peer_book import EndpointLoad
from turnward.gateway.prompts import Prompt
from turnward.gateway.rate_limits import RateLimits
from turnward.gateway.warm_up import WarmUp, WarmUpShares
from turnward.hashing import rendezvous_weight
from turnward.http1 import HeaderList, header_values

__all__ = ["ChoiceRule", "EndpointBook", "EndpointChoice", "PoolShortage"]

#: Prompt tokens that an engine reads in a millisecond, until measured.
_PREFILL_TOKENS_PER_MS = 50.0
#: Milliseconds that a request already there adds to a new one's cost.
_COST_OF_RUNNING_MS = 1.5
#: Milliseconds that a request waiting for a place adds, on plain services.
_COST_OF_PLACE_MS = 60.0
#: Costs that differ by less are taken for equal.
_TIE_MS = 0.5
#: Share of a prompt part that an agreed home is taken to keep.
_HOME_TRUST = 1.0
#: Prompts from this size on are long: engines read prompts in pieces of some 2,000 tokens
#: between the tokens of others, so several events in a row wait for a longer one.
_LONG_PROMPT_TOKENS = 4_000
#: What a long prompt costs on a slower engine, where it holds all streams up for too long.
_COST_OF_LONG_ON_SLOWER_MS = 800.0
#: What a short one costs where long ones are read, if slower engines have none of them.
_COST_OF_SHORT_BESIDE_LONG_MS = 30.0
#: Seconds between two looks at the engines' speeds; peers tell theirs as often.
_CLASSIFY_PERIOD_S = 0.25
#: What anything costs on an engine that crawls.
_COST_OF_CRAWLING_MS = 200.0
#: Entries of a pool that go at once, as a number and as a share, and are taken to have lapsed with
#: the store: releases and scaling take single ones away.
_LAPSED_LEAST = 2
_LAPSED_SHARE = 0.25
#: Most by which a rest that an endpoint asked for is lengthened, each router by its own draw: else
#: all of them would come back in the same moment.
_REST_SPREAD = 1.25
#: Endpoints without an entry that are remembered, so that one whose entry only lapsed is as warm as
#: it was when it is back, and what it said of itself holds on.
_LEFT_LIMIT = 1_000


class ChoiceRule(msgspec.Struct, frozen=True):
    """What the choice of an endpoint takes into account.

    Attributes
    ----------
    homes : int
        Agreed homes of a prompt part; 0: none.
    reread_weight : float
        How much more it costs to read a shared part where it is not kept, than to read
        anything else: that time is taken from all that run there, and a kept copy elsewhere
        lies idle.
    zone_cost_ms : float
        Milliseconds that another zone adds.
    rests : bool
        Whether endpoints that fail rest.
    weighs_pace : bool
        Whether long prompts keep away from engines that are slower than most, and short
        ones go there.
    """

    preferred_endpoints: int = 1
    reread_weight: float = 6.0
    zone_cost_ms: float = 2.0
    rests: bool = True
    weighs_pace: bool = True


class EndpointChoice(msgspec.Struct, frozen=True):
    """The endpoint chosen, what it costs and among how many.

    Attributes
    ----------
    cached_tokens : int
        Tokens of the prompt that own requests have read there lately.
    queue_ms : float
        How long an engine will read what is queued there, as far as is known; 0 on plain services.
    """

    record: EndpointRecord
    cost_ms: float
    candidates: int
    cached_tokens: int
    queue_ms: float = 0.0


class _LeftEndpoint(msgspec.Struct, frozen=True):
    """What is kept of an endpoint whose entry went, in case it comes back."""

    address: str
    warm_up: WarmUp
    availability: Availability

    @classmethod
    def from_record(cls, record: EndpointRecord) -> "_LeftEndpoint":
        """Return what is kept of a record."""
        return cls(record.entry.address, record.warm_up, record.availability)


class PoolShortage(msgspec.Struct, frozen=True):
    """Why no endpoint of a pool takes work, and when the first one does; inf if none will."""

    reason: Reason
    opens_in_s: float


_NEVER = PoolShortage(Reason.NO_ENDPOINT, math.inf)


class EndpointBook:
    """The endpoints known, and the choice among them.

    Parameters
    ----------
    zone : str
        This router's zone.
    clock : callable
        Steady clock in seconds.
    make_pool : callable
        Returns the connections to an ``IP:port``, whose answers' heads go to the second argument.
    peer_loads : callable
        Returns by endpoint's incarnation what all peers have in flight.
    draw : random.Random
        Breaks ties.
    rule : ChoiceRule, optional
        What the choice takes into account.
    warm_up_of : callable, optional
        Returns how endpoints of a pool start, None where that makes no difference.
    shares : WarmUpShares, optional
        Deals out what cold endpoints bear; needed with ``warm_up_of``.
    dialect : Dialect, optional
        Names on the wire of what endpoints say of themselves.
    limits : RateLimits, optional
        This router's part of the rates that endpoints name; without it they are not kept to.
    """

    def __init__(
        self,
        zone: str,
        clock: Callable[[], float],
        make_pool,
        peer_loads,
        draw: random.Random,
        rule: ChoiceRule | None = None,
        warm_up_of: Callable[[str], WarmUpTraits | None] = lambda pool: None,
        shares: WarmUpShares | None = None,
        dialect: Dialect | None = None,
        limits: RateLimits | None = None,
    ):
        self._rule = rule or ChoiceRule()
        self._draw = draw
        self._zone = zone
        self._clock = clock
        self._make_pool = make_pool
        self._peer_loads = peer_loads
        self._records: dict[str, EndpointRecord] = {}
        self._by_pool: dict[str, list[EndpointRecord]] = {}
        self._classified_s: dict[str, float] = {}
        self._warm_up_of = warm_up_of
        self._shares = shares
        self._limits = limits
        self._drained: frozenset[str] = frozenset()
        self._entries_known = False
        self._left: OrderedDict[str, _LeftEndpoint] = OrderedDict()
        #: Called with record, its pace and the usual one when a pace class has changed.
        self.on_speed_class: Callable[[EndpointRecord, EventGaps, EventGaps], None]
        self.on_speed_class = _told_nobody
        self._dialect = dialect or Dialect()
        #: Called with record, hold and the answer's headers when an answer says that its endpoint
        #: is to be sent nothing.
        self.on_feedback: Callable[[EndpointRecord, UnavailableReason, HeaderList], None]
        self.on_feedback = _told_nobody
        #: Called with record, limit and the answer's headers when an answer names another rate
        #: limit, or none (None) any more.
        self.on_rate_limit: Callable[[EndpointRecord, float | None, HeaderList], None]
        self.on_rate_limit = _told_nobody

    def set_entries(self, entries: dict[str, EndpointEntry], store_was_away: bool = False) -> None:
        """Take in all endpoints; what is known of those that stay is kept.

        One that was born again under its id does not stay: its failures, its rest and the prompt
        parts that it kept were its earlier process's.

        ``store_was_away`` tells that the store was not reached until just now.
        """
        spared = self._lapsed_together(entries, store_was_away)
        for record in list(self._records.values()):
            entry = entries.get(record.endpoint_id)
            if entry is None and record.incarnation in spared:
                record.mark_lapsed(self._clock())
            elif entry is None or not record.matches_entry(entry):
                self._forget(record)
            else:
                record.lapsed_s = None
                if entry != record.entry:
                    record.availability.apply_entry(entry.leaving)
                if entry.cold_left_s != record.entry.cold_left_s:
                    record.warm_up.note_cold(entry.cold_left_s)
                record.entry = entry
        for entry in entries.values():
            if entry.incarnation not in self._records:
                self._add(entry)
        self._entries_known = True
        self._by_pool = {}
        for record in self._records.values():
            self._by_pool.setdefault(record.entry.pool, []).append(record)

    def _lapsed_together(self, entries: dict[str, EndpointEntry], store_was_away: bool) -> set[str]:
        """Return the endpoints that keep their work for a while though their entries are gone.

        Entries lapse while the store is away, and are back within two seconds of its return if
        the endpoint lives. Many that go at once then, without having said that they leave,
        tell of that rather than of so many ends.
        """
        now_s = self._clock()
        spared = set()
        for records in self._by_pool.values():
            missing = [
                record
                for record in records
                if record.endpoint_id not in entries and not record.availability.draining
            ]
            many = store_was_away and len(missing) >= max(
                _LAPSED_LEAST, _LAPSED_SHARE * len(records)
            )
            spared.update(
                record.incarnation
                for record in missing
                if (many and record.lapsed_s is None) or record.may_return(now_s)
            )
        return spared

    def drop_lapsed(self) -> None:
        """Forget endpoints whose entries did not come back in time."""
        now_s = self._clock()
        for record in list(self._records.values()):
            if record.lapsed_s is not None and not record.may_return(now_s):
                self._forget(record)
                self._by_pool[record.entry.pool].remove(record)

    def _forget(self, record: EndpointRecord) -> None:
        record.pool.close()
        del self._records[record.incarnation]
        self._left[record.incarnation] = _LeftEndpoint.from_record(record)
        while len(self._left) > _LEFT_LIMIT:
            self._left.popitem(last=False)

    def _add(self, entry: EndpointEntry) -> None:
        left = self._left.pop(entry.incarnation, None)
        warm_up = left.warm_up if left is not None else None
        if warm_up is None:
            warm_up = WarmUp(self._clock)
            if self._entries_known:
                # It has just started, whether or not its entry says that it is cold.
                warm_up.note_cold(self._cold_s(entry.pool))
        warm_up.note_cold(entry.cold_left_s)
        record = EndpointRecord(entry, self._make_pool, warm_up, self._head_received)
        self._records[entry.incarnation] = record
        if left is not None and left.address == entry.address:
            # What it said holds on, though its entry lapsed with the store meanwhile.
            record.availability = left.availability
            record.availability.entry_draining = entry.leaving

    def _head_received(self, record: EndpointRecord, status: int, headers: HeaderList) -> None:
        """Take in what an endpoint says of itself in the head of any answer."""
        word = parse_feedback(status, headers, self._dialect)
        if word is None:
            return
        spread = self._draw.uniform(1.0, _REST_SPREAD)
        news = record.availability.apply_feedback(word, self._clock(), spread)
        if news is not None:
            self.on_feedback(record, news, headers)
        if word.limit_per_s is None or self._limits is None:
            return
        if self._limits.name(record.incarnation, word.limit_per_s):
            self.on_rate_limit(record, word.limit_per_s, headers)

    def note_success(self, record: EndpointRecord, sent_s: float, headers: HeaderList) -> None:
        """Take in the head of a success; one that names no rate limit may lift it.

        Failures lift none: they may be made before the endpoint has its say.
        """
        if self._limits is None or header_values(headers, self._dialect.rate_limit):
            return
        if self._limits.note_unlimited(record.incarnation, sent_s):
            self.on_rate_limit(record, None, headers)

    def claim_send(self, record: EndpointRecord) -> UnavailableReason | None:
        """Note that a request is about to leave; return why it must not, None if it may.

        Asked right before the first byte: while a connection was being opened, the endpoint may
        have spoken, and others of this router's requests may have left.
        """
        unavailable_reason = record.availability.unavailable_reason(self._clock())
        if unavailable_reason is not None or self._limits is None:
            return unavailable_reason
        if self._limits.opens_in_s(record.incarnation) > 0:
            return UnavailableReason.RATE_LIMITED
        self._limits.note_sent(record.incarnation)
        return None

    def _cold_s(self, pool: str) -> float:
        """Return how long an endpoint of a pool is cold after a start."""
        traits = self._warm_up_of(pool)
        return traits.cold_s if traits is not None else 0.0

    def set_drained_zones(self, zones: frozenset[str]) -> None:
        """Send nothing new to these zones; endpoints of those taken back may be cold."""
        for record in self._records.values():
            zone = record.entry.zone
            if zone in self._drained and zone not in zones:
                record.warm_up.note_cold(self._cold_s(record.entry.pool))
        self._drained = zones

    def all(self) -> list[EndpointRecord]:
        """Return every endpoint's record."""
        return list(self._records.values())

    def get(self, incarnation: str) -> EndpointRecord | None:
        """Return the record of one start of an endpoint."""
        return self._records.get(incarnation)

    def incarnations_with_entry(self) -> set[str]:
        """Return the incarnations of the endpoints that have an entry."""
        return {record.incarnation for record in self._records.values() if record.lapsed_s is None}

    def loads(self) -> list[EndpointLoad]:
        """Return what this router has in flight, for its peers."""
        now_s = self._clock()
        return [_load_of(record, now_s) for record in self._records.values() if record.in_flight]

    def has_other(self, pool: str, excluded: set[str]) -> bool:
        """Tell whether an endpoint takes work besides those in ``without``."""
        return bool(self._candidates(pool, excluded))

    def _candidates(self, pool: str, excluded: set[str]) -> list[EndpointRecord]:
        now_s = self._clock()
        found = [
            record
            for record in self._by_pool.get(pool, ())
            if record.availability.unavailable_reason(now_s) is None
            and record.incarnation not in excluded
            and self._stands(record, now_s)
            and self._is_within_limit(record)
        ]
        traits = self._warm_up_of(pool)
        if traits is None:
            return found
        return [record for record in found if self._is_warm_enough(record, traits)]

    def _stands(self, record: EndpointRecord, now_s: float) -> bool:
        """Tell whether an endpoint has an entry and its zone gets work."""
        if record.entry.zone in self._drained:
            return False
        return record.lapsed_s is None or record.may_return(now_s)

    def _is_within_limit(self, record: EndpointRecord) -> bool:
        """Tell whether a rate limit that the endpoint names lets this router send a request."""
        if self._limits is None or not self._limits.is_limited(record.incarnation):
            return True
        return not record.opening and self._limits.opens_in_s(record.incarnation) <= 0

    def _is_warm_enough(self, record: EndpointRecord, traits: WarmUpTraits) -> bool:
        """Tell whether an endpoint that may be cold bears a request of this router now."""
        if record.warm_up.ramp_finished(self._shares.members):
            return True
        allowance = self._shares.allowance(record.endpoint_id, traits.requests_per_s)
        return record.warm_up.permits(allowance)

    def cold_incarnations(self) -> list[str]:
        """Return the incarnations of endpoints that are cold."""
        return [
            incarnation
            for incarnation, record in self._records.items()
            if record.warm_up.cold_for_s > 0
        ]

    def shortage(self, pool: str) -> PoolShortage | None:
        """Return why no endpoint of a pool takes work, None if one does."""
        now_s = self._clock()
        waits = [
            self._wait_for(record, now_s)
            for record in self._by_pool.get(pool, ())
            if self._stands(record, now_s)
            and record.availability.unavailable_reason(now_s)
            not in (UnavailableReason.REPLACED, UnavailableReason.DRAINING)
        ]
        first = min(waits, key=lambda wait: wait.opens_in_s, default=_NEVER)
        return first if first.opens_in_s > 0 else None

    def _wait_for(self, record: EndpointRecord, now_s: float) -> PoolShortage:
        """Return how long an endpoint takes no work, and why."""
        limited = self._limits is not None and not self._is_within_limit(record)
        limited_for_s = self._limits.callers_wait_s(record.incarnation) if limited else 0.0
        waits = (
            PoolShortage(Reason.ENDPOINTS_BACKING_OFF, record.availability.backoff_left_s(now_s)),
            PoolShortage(Reason.ENDPOINTS_COLD, record.warm_up.cold_for_s),
            PoolShortage(Reason.ENDPOINTS_RATE_LIMITED, limited_for_s),
        )
        return max(waits, key=lambda wait: wait.opens_in_s)

    def choose(
        self,
        pool: str,
        prompt: Prompt,
        traits: EngineTraits | None,
        excluded: set[str],
        pause_target_s: float | None = None,
    ) -> "EndpointChoice | None":
        """Return the endpoint with the least cost, or None when none takes work.

        ``pause_target_s`` is the longest pause that the pool's streams should have; None
        leaves the engines' speeds out of account.
        """
        now_s = self._clock()
        candidates = self._candidates(pool, excluded)
        trusted = [record for record in candidates if self._is_trusted(record, now_s)]
        candidates = trusted or candidates
        if not candidates:
            return None
        loads = self._peer_loads()
        if traits is None:
            costs = [(self._service_cost_ms(record, loads), record) for record in candidates]
        else:
            costs = self._engine_costs(pool, prompt, candidates, loads, now_s, pause_target_s)
        cost_ms, record = min(costs, key=lambda cost: cost[0] + self._draw.random() * _TIE_MS)
        kept = record.cached_tokens(prompt, now_s)
        record.warm_up.note_sent()
        chosen = EndpointChoice(record, round(cost_ms, 1), len(candidates), kept)
        if traits is None:
            return chosen
        queue_ms = _queue_ms(record, loads.get(record.incarnation))
        return msgspec.structs.replace(chosen, queue_ms=round(queue_ms, 1))

    def shortest_queue_ms(self, pool: str) -> float:
        """Return for how long the least loaded engine that takes work reads what is queued there.

        The engine that is chosen may have a longer queue, since it keeps parts of the prompt.
        """
        loads = self._peer_loads()
        candidates = self._candidates(pool, set())
        return min((_queue_ms(one, loads.get(one.incarnation)) for one in candidates), default=0.0)

    def _engine_costs(self, pool, prompt: Prompt, candidates, loads, now_s, pause_target_s):
        """Return the cost of each candidate engine with its record."""
        if self._rule.weighs_pace and pause_target_s is not None:
            self._classify(pool, loads, now_s, pause_target_s * 1_000)
        preferred_endpoints = _homes(
            prompt, _fit_to_keep(prompt, candidates), self._rule.preferred_endpoints
        )
        return [
            (
                self._engine_cost_ms(record, prompt, loads, preferred_endpoints, now_s)
                + _pace_cost_ms(prompt, record.speed_class),
                record,
            )
            for record in candidates
        ]

    def _classify(self, pool: str, loads, now_s: float, pause_target_ms: float) -> None:
        """Bring the engines' pace classes up to date, by own streams and what peers tell."""
        if now_s - self._classified_s.get(pool, -1e9) < _CLASSIFY_PERIOD_S:
            return
        self._classified_s[pool] = now_s
        records = self._by_pool[pool]
        paces = [self._observed_pace(record, loads, now_s) for record in records]
        usual = usual_gaps(paces)
        for record, gap_tracker in zip(records, paces, strict=True):
            found = next_speed_class(record.speed_class, gap_tracker, usual, pause_target_ms)
            if found is not record.speed_class:
                record.speed_class = found
                self.on_speed_class(record, gap_tracker, usual)

    @staticmethod
    def _observed_pace(record: EndpointRecord, loads, now_s: float) -> EventGaps:
        own = record.gap_tracker.observed(now_s)
        load = loads.get(record.incarnation)
        if load is None:
            return own
        return EventGaps(
            max(own.quiet_gap_ms, load.quiet_gap_ms), max(own.held_up_gap_ms, load.held_up_gap_ms)
        )

    def _is_trusted(self, record: EndpointRecord, now_s: float) -> bool:
        return not self._rule.rests or record.availability.is_healthy(now_s, record.in_flight)

    def _service_cost_ms(self, record: EndpointRecord, loads) -> float:
        load = loads.get(record.incarnation)
        running = record.in_flight + (load.requests if load is not None else 0)
        waiting = max(0, running + 1 - record.entry.slots)
        cost_ms = running + waiting * _COST_OF_PLACE_MS / max(1, record.entry.slots)
        return cost_ms + self._zone_cost_ms(record)

    def _engine_cost_ms(
        self, record, prompt: Prompt, loads, preferred_endpoints, now_s: float
    ) -> float:
        load = loads.get(record.incarnation)
        running = record.in_flight
        backlog = record.prefill_tokens
        if load is not None:
            running += load.requests
            backlog += load.prefill_tokens
        kept = record.cached_tokens(prompt, now_s)
        if record.endpoint_id in preferred_endpoints:
            kept = max(kept, int(_HOME_TRUST * prompt.shared_tokens))
        unread = max(0, prompt.tokens - kept)
        reread = max(0, prompt.shared_tokens - kept)
        weighed = unread + (self._rule.reread_weight - 1.0) * reread
        cost_ms = (backlog + weighed) / _PREFILL_TOKENS_PER_MS + running * _COST_OF_RUNNING_MS
        over = max(0, running + 1 - record.entry.slots)
        return cost_ms + over * _COST_OF_PLACE_MS + self._zone_cost_ms(record)

    def _zone_cost_ms(self, record: EndpointRecord) -> float:
        return 0.0 if record.entry.zone == self._zone else self._rule.zone_cost_ms


def _load_of(record: EndpointRecord, now_s: float) -> EndpointLoad:
    gap_tracker = record.gap_tracker.observed(now_s)
    return EndpointLoad(
        record.incarnation,
        record.in_flight,
        record.prefill_tokens,
        round(gap_tracker.quiet_gap_ms, 1),
        round(gap_tracker.held_up_gap_ms, 1),
    )


def _queue_ms(record: EndpointRecord, load: EndpointLoad | None) -> float:
    """Return how long an engine will read what this router and its peers have sent there."""
    backlog = record.prefill_tokens + (load.prefill_tokens if load is not None else 0)
    running = record.in_flight + (load.requests if load is not None else 0)
    over = max(0, running + 1 - record.entry.slots)
    return backlog / _PREFILL_TOKENS_PER_MS + over * _COST_OF_PLACE_MS


def _fit_to_keep(prompt: Prompt, candidates: list[EndpointRecord]) -> list[EndpointRecord]:
    """Return the candidates among which the agreed home of a prompt is chosen."""
    if prompt.tokens < _LONG_PROMPT_TOKENS:
        return candidates
    usual = [record for record in candidates if record.speed_class is SpeedClass.USUAL]
    return usual or candidates


def _pace_cost_ms(prompt: Prompt, speed_class: SpeedClass) -> float:
    """Return what an engine's speed adds to the cost of a prompt there."""
    if speed_class is SpeedClass.CRAWLING:
        return _COST_OF_CRAWLING_MS
    if prompt.tokens >= _LONG_PROMPT_TOKENS:
        return _COST_OF_LONG_ON_SLOWER_MS if speed_class is SpeedClass.SLOWER else 0.0
    return _COST_OF_SHORT_BESIDE_LONG_MS if speed_class is SpeedClass.USUAL else 0.0


def _told_nobody(record: EndpointRecord, *what) -> None:
    """Stand in where nobody wants to know of changes."""


def _homes(prompt: Prompt, candidates: list[EndpointRecord], count: int) -> set[str]:
    """Return the agreed homes of the last shared part of a prompt."""
    if len(prompt.parts) < 2:
        return set()
    key = str(prompt.parts[-2].prefix_hash)
    names = [record.endpoint_id for record in candidates]
    names.sort(key=lambda name: rendezvous_weight(key, name), reverse=True)
    return set(names[:count])
