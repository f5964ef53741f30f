# SPDX-License-Identifier: BSD-3-Clause
"""Chooses an endpoint for a request, by load and cached prompt parts.

The costs of engines are those of ``engine_costs``; a plain service costs its running requests.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Mapping
from functools import partial

import msgspec

from turnward.gateway.availability import UnavailableReason
from turnward.gateway.brittle_pools import BrittlePools
from turnward.gateway.configuration import EndpointEntry, EngineTraits, WarmUpTraits
from turnward.gateway.dialect import Dialect
from turnward.gateway.endpoint_feedback import parse_feedback
from turnward.gateway.endpoint_record import EndpointRecord, RemovedRecord
from turnward.gateway.engine_costs import COST_OF_QUEUED_MS, ChoiceRule, EngineCosts
from turnward.gateway.engine_speed import EventGaps, GapSums, next_speed_class, usual_gaps
from turnward.gateway.outcomes import Reason
from turnward.gateway.pauses import Pause
from turnward.gateway.peer_book import EndpointLoad
from turnward.gateway.pool_probes import PoolProbes
from turnward.gateway.pool_shortage import NO_ENDPOINT, PoolShortage
from turnward.gateway.prompt_lanes import PromptLanesBase
from turnward.gateway.prompts import Prompt
from turnward.gateway.rate_limits import RateLimits
from turnward.gateway.restart_suspicions import RestartSuspicions
from turnward.gateway.service_rates import ServiceRatesBase
from turnward.gateway.warm_up import WarmUp, WarmUpShares
from turnward.http1 import HeaderList, header_values
from turnward.software_versions import may_be_same_version

__all__ = ["ChoiceRule", "EndpointBook", "EndpointChoice"]

#: Range of the random addition that breaks ties between similar costs.
_TIE_MS = 0.5
#: Time between two classifications of the engines; peers report their measurements as often.
_CLASSIFY_INTERVAL_S = 0.25
#: Number and share of a pool's entries that must be missing at once to count as lapsed because of
#: the store; releases and scaling remove entries one by one.
_MIN_LAPSED = 2
_MIN_LAPSED_SHARE = 0.25
#: Upper bound of the random factor that lengthens a requested backoff, so that routers do not all
#: return at the same time.
_MAX_BACKOFF_JITTER = 1.25
#: Limit of removed endpoints whose warm-up state and availability are kept in case their entries
#: return.
_MAX_REMOVED = 1_000


class EndpointChoice(msgspec.Struct, frozen=True):
    """The chosen endpoint.

    Attributes
    ----------
    record : EndpointRecord
        Record of the endpoint.
    cost_ms : float
        Its cost for the request.
    candidates : int
        Number of endpoints that it was chosen from.
    cached_tokens : int
        Tokens of the prompt that this router's recent requests have put into its cache.
    queue_ms : float
        Estimated time that an engine takes to process its queue; 0 for plain services.
    cold : bool
        Whether the endpoint is cold; the choice then takes this router's share of its rate.
    """

    record: EndpointRecord
    cost_ms: float
    candidates: int
    cached_tokens: int
    queue_ms: float = 0.0
    cold: bool = False


class EndpointBook:
    """The known endpoints, and the choice among them.

    Parameters
    ----------
    zone : str
        This router's zone.
    clock : callable
        Monotonic clock in seconds.
    make_pool : callable
        Returns the connection pool of an ``IP:port``; takes the address and a callback for the
        heads of answers.
    peer_loads : callable
        Returns the requests of all peers in flight, by the endpoints' incarnations.
    rng : random.Random
        Breaks ties and adds jitter.
    rule : ChoiceRule, optional
        Criteria of the choice.
    warm_up_of : callable, optional
        Returns the warm-up traits of a pool, None if its endpoints need no warm-up.
    shares : WarmUpShares, optional
        Divides the rates of cold endpoints; required with ``warm_up_of``.
    dialect : Dialect, optional
        Header names of endpoints' feedback.
    limits : RateLimits, optional
        This router's shares of the endpoints' rate limits; without it they are ignored.
    rates : ServiceRatesBase, optional
        Service rates of engines; by default, all engines are assumed to be equally fast.
    lanes : PromptLanesBase, optional
        Division of a pool between long and short prompts; none by default.

    Attributes
    ----------
    costs : EngineCosts
        Costs of prompts at engines.
    """

    def __init__(
        self,
        zone: str,
        clock: Callable[[], float],
        make_pool,
        peer_loads,
        rng: random.Random,
        rule: ChoiceRule | None = None,
        warm_up_of: Callable[[str], WarmUpTraits | None] = lambda pool: None,
        shares: WarmUpShares | None = None,
        dialect: Dialect | None = None,
        limits: RateLimits | None = None,
        rates: ServiceRatesBase | None = None,
        lanes: PromptLanesBase | None = None,
    ):
        self._rule = rule or ChoiceRule()
        self.costs = EngineCosts(self._rule, zone, rates, lanes)
        self._rng = rng
        self._clock = clock
        self._make_pool = make_pool
        self._peer_loads = peer_loads
        self._records: dict[str, EndpointRecord] = {}
        self._by_pool: dict[str, list[EndpointRecord]] = {}
        self._classified_s: dict[str, float] = {}
        self._loads_at_choice: Mapping[str, EndpointLoad] = {}
        self._warm_up_of = warm_up_of
        self._shares = shares
        self._limits = limits
        self._drained: frozenset[str] = frozenset()
        self._entries_known = False
        self._removed: OrderedDict[str, RemovedRecord] = OrderedDict()
        self._restart_suspicions = RestartSuspicions(clock)
        self._probes = PoolProbes(clock, rng)
        #: Bounds the requests that brittle endpoints may have to reject.
        self.brittle: BrittlePools | None = None
        #: Called with an endpoint that has closed its connections.
        self.on_connections_closed: Callable[[EndpointRecord], None] = _ignore_change
        #: Called with one that may be cold after a restart, and whether it counts as cold.
        self.on_restart_suspected: Callable[[EndpointRecord, bool], None] = _ignore_change
        #: Called with the name and the endpoints of a pool none of which responds any more.
        self.on_unresponsive: Callable[[str, list[EndpointRecord]], None] = _ignore_change
        #: Called with an endpoint that responds, and how long none of its pool did, in seconds.
        self.on_responsive: Callable[[EndpointRecord, float], None] = _ignore_change
        #: Returns whether the entries may be out of date because the store can't be read.
        self.entries_stale: Callable[[], bool] = lambda: False
        #: Returns the pause of this process after which entries are still being updated, if any.
        #: An endpoint may have restarted during it, unless a connection has stayed open.
        self.resumed_lately: Callable[[], Pause | None] = lambda: None
        #: Called with the record, its gaps and the usual ones when its speed class has changed.
        self.on_speed_class: Callable[[EndpointRecord, EventGaps, EventGaps], None]
        self.on_speed_class = _ignore_change
        self._dialect = dialect or Dialect()
        #: Called with the record, the reason and the response's headers when an endpoint's feedback
        #: makes it unavailable.
        self.on_feedback: Callable[[EndpointRecord, UnavailableReason, HeaderList], None]
        self.on_feedback = _ignore_change
        #: Called with the record, the limit and the response's headers when an endpoint changes its
        #: rate limit; the limit is None when it is lifted.
        self.on_rate_limit: Callable[[EndpointRecord, float | None, HeaderList], None]
        self.on_rate_limit = _ignore_change

    def set_entries(
        self, entries: dict[str, EndpointEntry], store_was_unavailable: bool = False
    ) -> None:
        """Replace all entries; records of endpoints that remain are kept.

        An endpoint restarted under the same id gets a new record, since failures, backoff and
        cached prompt parts belong to the earlier process.

        ``store_was_unavailable`` is set if the store was unreachable until now.
        """
        retained = self._retained_incarnations(entries, store_was_unavailable)
        corrected = self._corrected_records(entries)
        for record in list(self._records.values()):
            entry = entries.get(record.endpoint_id)
            if entry is None and record.incarnation in retained:
                record.mark_lapsed(self._clock())
            elif entry is None or not record.matches_entry(entry):
                self._remove(record)
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
                if entry.endpoint_id in corrected:
                    self._inherit_feedback(entry.incarnation, *corrected[entry.endpoint_id])
        self._entries_known = True
        self._by_pool = {}
        for record in self._records.values():
            self._by_pool.setdefault(record.entry.pool, []).append(record)

    def _corrected_records(
        self, entries: dict[str, EndpointEntry]
    ) -> dict[str, tuple[EndpointRecord, float]]:
        """Return, by endpoint id, the records whose start was wrong in an earlier entry.

        A connection that has been open since before the change shows that the process is the same.
        Each comes with the time from which that is known. The entry of an earlier start may have
        been read from a store that was restored from an older copy.
        """
        corrected = {}
        for record in self._records.values():
            entry = entries.get(record.endpoint_id)
            if entry is None or entry.incarnation == record.incarnation:
                continue
            open_since_s = record.pool.oldest_open_s
            if entry.address == record.entry.address and open_since_s is not None:
                corrected[record.endpoint_id] = (record, open_since_s)
        return corrected

    def _inherit_feedback(self, incarnation: str, earlier: EndpointRecord, since_s: float) -> None:
        """Let a record take over the feedback that its process gave under an earlier entry."""
        self._records[incarnation].availability.inherit_feedback(earlier.availability, since_s)
        if self._limits is not None:
            self._limits.rename(earlier.incarnation, incarnation, since_s)

    def _retained_incarnations(
        self, entries: dict[str, EndpointEntry], store_was_unavailable: bool
    ) -> set[str]:
        """Return the endpoints that stay in use for a while although their entries are missing.

        Entries lapse while the store is away, and live endpoints renew them within two seconds of
        its return. If many entries are missing at that moment and their endpoints were not
        draining, an outage of the store is likelier than that many ends.
        """
        now_s = self._clock()
        retained = set()
        for records in self._by_pool.values():
            missing = [
                record
                for record in records
                if record.endpoint_id not in entries and not record.availability.draining
            ]
            many = store_was_unavailable and len(missing) >= max(
                _MIN_LAPSED, _MIN_LAPSED_SHARE * len(records)
            )
            retained.update(
                record.incarnation
                for record in missing
                if (many and record.lapsed_s is None) or record.may_return(now_s)
            )
        return retained

    def drop_lapsed(self) -> None:
        """Remove endpoints whose entries did not return in time."""
        now_s = self._clock()
        for record in list(self._records.values()):
            if record.lapsed_s is not None and not record.may_return(now_s):
                self._remove(record)
                self._by_pool[record.entry.pool].remove(record)

    def _remove(self, record: EndpointRecord) -> None:
        record.pool.close()
        del self._records[record.incarnation]
        self._removed[record.incarnation] = RemovedRecord.from_record(record)
        while len(self._removed) > _MAX_REMOVED:
            self._removed.popitem(last=False)

    def _add(self, entry: EndpointEntry) -> None:
        removed = self._removed.pop(entry.incarnation, None)
        if removed is not None and not may_be_same_version(removed.version, entry.version):
            removed = None
        warm_up = removed.warm_up if removed is not None else None
        if warm_up is None:
            warm_up = WarmUp(self._clock, partial(self._cold_s, entry.pool))
            if self._entries_known:
                # A new endpoint is cold even if its entry does not say so.
                warm_up.note_start()
        warm_up.note_cold(entry.cold_left_s)
        record = EndpointRecord(entry, self._make_pool, warm_up, self._apply_feedback)
        record.pool.on_all_closed = partial(self._suspect_restart, record)
        self._records[entry.incarnation] = record
        if removed is not None and removed.address == entry.address:
            # Its feedback remains valid although its entry lapsed in the meantime.
            record.availability = removed.availability
            record.availability.entry_draining = entry.leaving

    def _apply_feedback(self, record: EndpointRecord, status: int, headers: HeaderList) -> None:
        """Apply the feedback in the head of any response of an endpoint."""
        self._note_response(record)
        feedback = parse_feedback(status, headers, self._dialect)
        if feedback is None:
            return
        jitter = self._rng.uniform(1.0, _MAX_BACKOFF_JITTER)
        reason = record.availability.apply_feedback(feedback, self._clock(), jitter)
        if reason is not None:
            self.on_feedback(record, reason, headers)
        if feedback.limit_per_s is None or self._limits is None:
            return
        if self._limits.set_limit(record.incarnation, feedback.limit_per_s):
            self.on_rate_limit(record, feedback.limit_per_s, headers)

    def _note_response(self, record: EndpointRecord) -> None:
        """Note that an endpoint responds, and so its pool is in use again."""
        recovered = record.availability.unresponsive
        record.availability.note_response()
        lasted_s = self._probes.end(record.entry.pool) if recovered else None
        if lasted_s is not None:
            self.on_responsive(record, lasted_s)

    def note_success(self, record: EndpointRecord, sent_s: float, headers: HeaderList) -> None:
        """Process the head of a successful response; one without a rate limit may lift the limit.

        Failures lift no limit, since they may be generated before the endpoint sets its headers.
        """
        if self._limits is None or header_values(headers, self._dialect.rate_limit):
            return
        if self._limits.note_unlimited(record.incarnation, sent_s):
            self.on_rate_limit(record, None, headers)

    def claim_send(
        self, record: EndpointRecord, chosen_cold: bool = False
    ) -> UnavailableReason | None:
        """Return why a request must not be sent; None if it may, and then count it as sent.

        Called right before the first byte is written. While the connection was being opened, the
        endpoint may have sent feedback or turned cold, and other requests of this router may have
        been sent. ``chosen_cold`` is whether it was cold when it was chosen.
        """
        unavailable_reason = record.availability.unavailable_reason(self._clock())
        if unavailable_reason is not None:
            return unavailable_reason
        if self.brittle is not None and not self.brittle.permits(record):
            return UnavailableReason.BRITTLE
        if not chosen_cold and not self._claim_cold_send(record):
            return UnavailableReason.COLD
        if self._limits is None:
            return None
        if self._limits.available_in_s(record.incarnation) > 0:
            return UnavailableReason.RATE_LIMITED
        self._limits.note_sent(record.incarnation)
        return None

    def _claim_cold_send(self, record: EndpointRecord) -> bool:
        """Return whether a request may be sent in the endpoint's present warm-up state."""
        traits = self._warm_up_of(record.entry.pool)
        if traits is None or not self._is_cold(record):
            return True
        if not self._is_warm_enough(record, traits):
            return False
        record.warm_up.note_sent()
        return True

    def _suspect_restart(self, record: EndpointRecord) -> None:
        """Suspect that an endpoint has restarted, and is cold."""
        self.on_connections_closed(record)
        cold_s = self._cold_s(record.entry.pool)
        if cold_s <= 0:
            return
        if self._restart_suspicions.note(record.entry.pool, record.incarnation, cold_s):
            self.on_restart_suspected(record, self._may_have_restarted(record))

    def _may_have_restarted(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint may have restarted without its entry telling."""
        if not self.entries_stale():
            return False
        pool = record.entry.pool
        pause = self.resumed_lately()
        if pause is not None and not record.pool.has_connection_since(pause.began_s):
            return self._cold_s(pool) > 0
        endpoints = len(self._by_pool.get(pool, ()))
        return self._restart_suspicions.is_suspected(pool, record.incarnation, endpoints)

    def _is_cold(self, record: EndpointRecord) -> bool:
        """Return whether an endpoint is cold, or may be so after a restart."""
        return record.warm_up.cold_for_s > 0 or self._may_have_restarted(record)

    def _cold_s(self, pool: str) -> float:
        """Return how long endpoints of a pool are cold after a start."""
        traits = self._warm_up_of(pool)
        return traits.cold_s if traits is not None else 0.0

    def set_drained_zones(self, zones: frozenset[str]) -> None:
        """Send nothing new to these zones; endpoints of zones no longer drained count as cold."""
        for record in self._records.values():
            zone = record.entry.zone
            if zone in self._drained and zone not in zones:
                record.warm_up.note_start()
        self._drained = zones

    def all(self) -> list[EndpointRecord]:
        """Return every endpoint's record."""
        return list(self._records.values())

    def get(self, incarnation: str) -> EndpointRecord | None:
        """Return the record of one start of an endpoint."""
        return self._records.get(incarnation)

    def size(self, pool: str) -> int:
        """Return the number of a pool's endpoints."""
        return len(self._by_pool.get(pool, ()))

    def incarnations_with_entry(self) -> set[str]:
        """Return the incarnations of the endpoints that have an entry now."""
        return {record.incarnation for record in self._records.values() if record.lapsed_s is None}

    def loads(self) -> list[EndpointLoad]:
        """Return this router's own load on the endpoints, to report to peers."""
        now_s = self._clock()
        rates = self.costs.rates
        return [
            _load_of(record, rates.own_sums(record, now_s), now_s)
            for record in self._records.values()
            if record.in_flight
        ]

    def certain_prefill_tokens(self, record: EndpointRecord, prompt: Prompt) -> int:
        """Return how many tokens an engine will surely process before a prompt's first event.

        Other routers may have put the shared parts into its cache. It is 0 while the engine has
        other prompts to process, since it is not known how far it is with them.
        """
        load = self._loads_at_choice.get(record.incarnation)
        if record.prefill_tokens or (load is not None and load.prefill_tokens):
            return 0
        cached = max(record.cached_tokens(prompt, self._clock()), prompt.shared_tokens)
        return max(0, prompt.tokens - cached)

    def has_other(self, pool: str, excluded: set[str]) -> bool:
        """Return whether an endpoint outside ``excluded`` accepts requests."""
        return bool(self._candidates(pool, excluded))

    def _candidates(self, pool: str, excluded: set[str]) -> list[EndpointRecord]:
        """Return the endpoints that a request may be sent to now.

        If none of those that accept requests responds, it is the one to probe, or none.
        """
        accepting = self.accepting(pool, excluded)
        if not _all_unresponsive(accepting):
            return accepting
        if self._probes.begin(pool):
            self.on_unresponsive(pool, accepting)
        if self._probes.wait_s(pool) > 0:
            return []
        return [min(accepting, key=lambda record: record.availability.lost_s)]

    def accepting(self, pool: str, excluded: set[str]) -> list[EndpointRecord]:
        """Return the endpoints that accept requests, whether or not they respond."""
        now_s = self._clock()
        candidates = [
            record
            for record in self._by_pool.get(pool, ())
            if record.availability.unavailable_reason(now_s) is None
            and record.incarnation not in excluded
            and self._is_present(record, now_s)
            and self._is_within_limit(record)
            and (self.brittle is None or self.brittle.permits(record))
        ]
        traits = self._warm_up_of(pool)
        if traits is None:
            return candidates
        return [record for record in candidates if self._is_warm_enough(record, traits)]

    def _is_present(self, record: EndpointRecord, now_s: float) -> bool:
        """Return whether an endpoint has an entry or may regain it, and its zone is not drained."""
        if record.entry.zone in self._drained:
            return False
        return record.lapsed_s is None or record.may_return(now_s)

    def _is_within_limit(self, record: EndpointRecord) -> bool:
        """Return whether the endpoint's rate limit lets this router send a request now."""
        if self._limits is None or not self._limits.is_limited(record.incarnation):
            return True
        return not record.opening and self._limits.available_in_s(record.incarnation) <= 0

    def _is_warm_enough(self, record: EndpointRecord, traits: WarmUpTraits) -> bool:
        """Return whether the endpoint's warm-up state lets this router send a request now."""
        suspected = self._may_have_restarted(record)
        if record.warm_up.ramp_finished(self._shares.members) and not suspected:
            return True
        allowance = self._shares.allowance(record.endpoint_id, traits.requests_per_s)
        return record.warm_up.permits(allowance, suspected)

    def cold_incarnations(self) -> list[str]:
        """Return the incarnations of endpoints that are cold."""
        return [
            incarnation
            for incarnation, record in self._records.items()
            if record.warm_up.cold_for_s > 0
        ]

    def shortage(self, pool: str) -> PoolShortage | None:
        """Return why no endpoint of a pool accepts requests; None if one does."""
        now_s = self._clock()
        if _all_unresponsive(self.accepting(pool, set())):
            wait_s = self._probes.wait_s(pool)
            return PoolShortage(Reason.ENDPOINTS_UNRESPONSIVE, wait_s) if wait_s > 0 else None
        shortages = [
            self._shortage_of(record, now_s)
            for record in self._by_pool.get(pool, ())
            if self._is_present(record, now_s)
            and record.availability.unavailable_reason(now_s)
            not in (UnavailableReason.REPLACED, UnavailableReason.DRAINING)
        ]
        first = min(shortages, key=lambda shortage: shortage.available_in_s, default=NO_ENDPOINT)
        if first.available_in_s > 0:
            return first
        return PoolShortage(Reason.ENDPOINTS_BRITTLE, 0.0) if self.is_withheld(pool) else None

    def unresponsive_pools(self) -> list[str]:
        """Return the pools whose endpoints that accept requests are all unresponsive."""
        active = self._probes.active()
        return [pool for pool in active if _all_unresponsive(self.accepting(pool, set()))]

    def is_withheld(self, pool: str) -> bool:
        """Return whether no endpoint of a pool may be sent a request, as some are brittle."""
        brittle = self.brittle is not None and self.brittle.withholds(self._by_pool.get(pool, ()))
        return brittle and not self.accepting(pool, set())

    def _shortage_of(self, record: EndpointRecord, now_s: float) -> PoolShortage:
        """Return why an endpoint accepts no requests, and for how long."""
        limited = self._limits is not None and not self._is_within_limit(record)
        limited_for_s = self._limits.fleet_wait_s(record.incarnation) if limited else 0.0
        shortages = (
            PoolShortage(Reason.ENDPOINTS_BACKING_OFF, record.availability.backoff_left_s(now_s)),
            PoolShortage(Reason.ENDPOINTS_COLD, record.warm_up.cold_for_s),
            PoolShortage(Reason.ENDPOINTS_RATE_LIMITED, limited_for_s),
        )
        return max(shortages, key=lambda shortage: shortage.available_in_s)

    def choose(
        self,
        pool: str,
        prompt: Prompt,
        traits: EngineTraits | None,
        excluded: set[str],
        pause_target_s: float | None = None,
    ) -> "EndpointChoice | None":
        """Return the endpoint with the lowest cost; None if no endpoint accepts requests.

        ``pause_target_s`` is the target for the longest pause in the pool's streams; with None the
        engines' speeds are not considered.
        """
        now_s = self._clock()
        candidates = self._candidates(pool, excluded)
        if not candidates:
            return None
        if _all_unresponsive(candidates):
            self._probes.note_probe(pool)
        candidates = self._preferred(candidates, now_s)
        loads = self._peer_loads()
        if traits is None:
            costs = [(self._service_cost_ms(record, loads), record) for record in candidates]
        else:
            costs = self._engine_costs(pool, prompt, candidates, loads, now_s, pause_target_s)
        cost_ms, record = min(costs, key=lambda cost: cost[0] + self._rng.random() * _TIE_MS)
        cached = record.cached_tokens(prompt, now_s)
        record.warm_up.note_sent()
        cold = self._is_cold(record)
        chosen = EndpointChoice(record, round(cost_ms, 1), len(candidates), cached, cold=cold)
        if traits is None:
            return chosen
        self.costs.lanes.note_prompt(record, prompt.tokens, now_s)
        queue_ms = self.costs.queue_ms(record, loads.get(record.incarnation))
        return msgspec.structs.replace(chosen, queue_ms=round(queue_ms, 1))

    def _preferred(self, candidates: list[EndpointRecord], now_s: float) -> list[EndpointRecord]:
        """Return the healthy candidates; else those that respond; else all."""
        healthy = [record for record in candidates if self._is_healthy(record, now_s)]
        responsive = [each for each in candidates if not each.availability.unresponsive]
        return healthy or responsive or candidates

    def shortest_queue_ms(self, pool: str) -> float:
        """Return the queue time of the least loaded engine that accepts requests.

        The chosen engine may have a longer queue, because it has cached parts of the prompt.
        """
        loads = self._peer_loads()
        candidates = self._candidates(pool, set())
        return min(
            (self.costs.queue_ms(record, loads.get(record.incarnation)) for record in candidates),
            default=0.0,
        )

    def _engine_costs(self, pool, prompt: Prompt, candidates, loads, now_s, pause_target_s):
        """Return the cost of each candidate engine with its record."""
        records = self._by_pool[pool]
        self._loads_at_choice = loads
        self.costs.rates.refresh(pool, records, loads, now_s)
        pause_target_ms = None if pause_target_s is None else pause_target_s * 1_000
        uses_classes = self._rule.weighs_pace and not self.costs.rates.replaces_speed_classes(pool)
        if pause_target_ms is not None and uses_classes:
            self._classify(pool, loads, now_s, pause_target_ms)
        self.costs.lanes.refresh(pool, records, loads, pause_target_ms, now_s)
        return self.costs.costs_ms(prompt, candidates, loads, now_s)

    def _classify(self, pool: str, loads, now_s: float, pause_target_ms: float) -> None:
        """Update the engines' speed classes from own streams and the reports of peers."""
        if now_s - self._classified_s.get(pool, -1e9) < _CLASSIFY_INTERVAL_S:
            return
        self._classified_s[pool] = now_s
        records = self._by_pool[pool]
        observed = [self._observed_gaps(record, loads, now_s) for record in records]
        usual = usual_gaps(observed)
        for record, gaps in zip(records, observed, strict=True):
            speed_class = next_speed_class(record.speed_class, gaps, usual, pause_target_ms)
            if speed_class is not record.speed_class:
                record.speed_class = speed_class
                self.on_speed_class(record, gaps, usual)

    @staticmethod
    def _observed_gaps(record: EndpointRecord, loads, now_s: float) -> EventGaps:
        own = record.gap_tracker.observed(now_s)
        load = loads.get(record.incarnation)
        if load is None:
            return own
        return EventGaps(
            max(own.quiet_gap_ms, load.quiet_gap_ms), max(own.held_up_gap_ms, load.held_up_gap_ms)
        )

    def _is_healthy(self, record: EndpointRecord, now_s: float) -> bool:
        return not self._rule.rests or record.availability.is_healthy(now_s, record.in_flight)

    def _service_cost_ms(self, record: EndpointRecord, loads) -> float:
        load = loads.get(record.incarnation)
        running = record.in_flight + (load.requests if load is not None else 0)
        waiting = max(0, running + 1 - record.entry.slots)
        cost_ms = running + waiting * COST_OF_QUEUED_MS / max(1, record.entry.slots)
        return cost_ms + self.costs.zone_cost_ms(record)


def _all_unresponsive(records: list[EndpointRecord]) -> bool:
    return bool(records) and all(record.availability.unresponsive for record in records)


def _load_of(record: EndpointRecord, sums: GapSums, now_s: float) -> EndpointLoad:
    gaps = record.gap_tracker.observed(now_s)
    return EndpointLoad(
        record.incarnation,
        record.in_flight,
        record.prefill_tokens,
        round(gaps.quiet_gap_ms, 1),
        round(gaps.held_up_gap_ms, 1),
        round(100 * sums.weight),
        round(100 * sums.log_sum),
    )


def _ignore_change(record: EndpointRecord, *details) -> None:
    """Do nothing; the default callback for changes."""
