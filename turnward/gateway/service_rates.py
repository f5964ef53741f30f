# SPDX-License-Identifier: BSD-3-Clause
"""How fast each engine of a pool processes prompts and generates events."""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.engine_speed import GapSums, QuietGapSums
from turnward.gateway.load_controls import LoadControls
from turnward.gateway.peer_book import EndpointLoad
from turnward.gateway.prompt_speed import ASSUMED_TOKENS_PER_MS, PromptSpeed

__all__ = [
    "AssumedServiceRates",
    "MeasuredServiceRates",
    "PoolRates",
    "RateChange",
    "ServiceRatesBase",
    "make_service_rates",
]

#: Time between two updates of a pool's rates; peers report as often.
_REFRESH_INTERVAL_S = 0.25
#: Time in which what is known of an engine fades by a factor of e, while much more is reported, and
#: while nothing is. A slow engine that gets few requests must not count as usual within seconds.
_BUSY_FADING_S = 2.0
_IDLE_FADING_S = 20.0
#: Number of undisturbed gaps that the assumption of the usual speed counts as.
_PRIOR_WEIGHT = 0.5
#: Weight of gaps above which an engine counts for the usual gap of its pool.
_MIN_KNOWN_WEIGHT = 1.0
_MAX_SLOWDOWN = 8.0
#: Range of the logarithm of a gap in milliseconds. Totals of reports that do not match leave it.
_MIN_LOG_GAP = math.log(0.1)
_MAX_LOG_GAP = math.log(600_000.0)
#: Share of the usual gap below which events have arrived together and their gap tells nothing.
_MIN_GAP_SHARE = 0.125
#: Factor by which a slowdown must have moved, for how long, and the weight of gaps that it must be
#: based on, to be reported. An engine may be slow for spells of less than a second.
_REPORTED_FACTOR = 1.25
_REPORTED_AFTER_S = 2.0
_REPORTED_WEIGHT = 4.0
#: Slowdown from which an engine can't take long prompts like the others, and the shares of a pool
#: that must be so slow for rates to be used, and to stay in use. A few are probably faulty, or slow
#: for a moment.
_UNEVEN_SLOWDOWN = 1.6
_UNEVEN_SHARE = 0.2
_STAY_UNEVEN_SHARE = 0.1
#: Prompts must have this many tokens to measure the prompt processing speed, so that it and not the
#: network takes up the time to the first event.
_MIN_MEASURED_TOKENS = 2_000


class RateChange(msgspec.Struct, frozen=True):
    """A changed service rate of an engine.

    Attributes
    ----------
    slowdown, previous : float
        Its service time relative to the usual one, now and as last reported.
    event_gap_ms, usual_gap_ms : float
        Time between two events of an undisturbed stream, there and at a usual engine.
    prompt_tokens_per_ms : float
        Prompt tokens that a usual engine processes in 1 ms.
    """

    slowdown: float
    previous: float
    event_gap_ms: float
    usual_gap_ms: float
    prompt_tokens_per_ms: float


class PoolRates(msgspec.Struct, frozen=True):
    """The range of the slowdowns of a pool's engines, and its prompt processing speed."""

    pool: str
    min_slowdown: float
    max_slowdown: float
    prompt_tokens_per_ms: float


def _ignore_change(record: EndpointRecord, change: RateChange) -> None:
    """Do nothing; the default callback for changes."""


class ServiceRatesBase(ABC):
    """Service rates of engines, as far as this router knows them.

    Attributes
    ----------
    on_change : callable
        Called with the record and a ``RateChange`` when a slowdown has changed for good.
    """

    def __init__(self):
        self.on_change: Callable[[EndpointRecord, RateChange], None] = _ignore_change

    @abstractmethod
    def replaces_speed_classes(self, pool: str) -> bool:
        """Return whether costs by rates replace the speed classes of a pool and their costs."""

    @abstractmethod
    def refresh(
        self,
        pool: str,
        records: Sequence[EndpointRecord],
        loads: Mapping[str, EndpointLoad],
        now_s: float,
    ) -> None:
        """Update the rates of a pool from own measurements and those of peers.

        Called before each choice; ``loads`` holds the sums of the peers' reports by incarnation.
        """

    @abstractmethod
    def note_first_event(
        self, record: EndpointRecord, queued_tokens: int, elapsed_ms: float, now_s: float
    ) -> None:
        """Record the time from sending a request to its first event.

        ``queued_tokens`` is the number of prompt tokens that the engine surely had to process in
        that time; 0 if that is not known.
        """

    @abstractmethod
    def note_gap(self, record: EndpointRecord, gap_ms: float, now_s: float) -> None:
        """Record the time between two events of a stream that this router reads without pause."""

    @abstractmethod
    def own_sums(self, record: EndpointRecord, now_s: float) -> GapSums:
        """Return the sums over gaps of own streams, to report to peers."""

    @abstractmethod
    def prefill_ms(self, record: EndpointRecord, tokens: float) -> float:
        """Return how long an engine takes to process prompt tokens."""

    @abstractmethod
    def event_gap_ms(self, record: EndpointRecord, now_s: float) -> float:
        """Return the time between two events of an undisturbed stream; 0 if unknown."""

    @abstractmethod
    def slowdown(self, record: EndpointRecord) -> float:
        """Return an engine's service time relative to the usual one of its pool.

        It is 1 while the pool's rates are not used.
        """

    @abstractmethod
    def measured_slowdown(self, record: EndpointRecord) -> float:
        """Return the slowdown as measured, whether or not it is used."""

    @abstractmethod
    def is_usual(self, record: EndpointRecord) -> bool:
        """Return whether an engine is not slower than usual for good; spells do not count."""

    @abstractmethod
    def pools(self) -> Iterable[PoolRates]:
        """Return the rates of each pool whose engines are measured."""


class AssumedServiceRates(ServiceRatesBase):
    """The same prompt processing speed for all engines."""

    def replaces_speed_classes(self, pool):
        """See ``ServiceRatesBase.replaces_speed_classes``."""
        return False

    def refresh(self, pool, records, loads, now_s):
        """See ``ServiceRatesBase.refresh``."""

    def note_first_event(self, record, queued_tokens, elapsed_ms, now_s):
        """See ``ServiceRatesBase.note_first_event``."""

    def note_gap(self, record, gap_ms, now_s):
        """See ``ServiceRatesBase.note_gap``."""

    def own_sums(self, record, now_s):
        """See ``ServiceRatesBase.own_sums``."""
        return GapSums()

    def prefill_ms(self, record, tokens):
        """See ``ServiceRatesBase.prefill_ms``."""
        return tokens / ASSUMED_TOKENS_PER_MS

    def event_gap_ms(self, record, now_s):
        """See ``ServiceRatesBase.event_gap_ms``."""
        return record.gap_tracker.observed(now_s).quiet_gap_ms

    def slowdown(self, record):
        """See ``ServiceRatesBase.slowdown``."""
        return 1.0

    def measured_slowdown(self, record):
        """See ``ServiceRatesBase.measured_slowdown``."""
        return 1.0

    def is_usual(self, record):
        """See ``ServiceRatesBase.is_usual``."""
        return True

    def pools(self):
        """See ``ServiceRatesBase.pools``."""
        return ()


class _EngineRate:
    """What a router knows of one engine's speed.

    Attributes
    ----------
    slowdown : float
        Service time relative to the usual one, as well as it is known now.
    settled_slowdown : float
        The slowdown as last reported, which spells do not change.
    """

    __slots__ = ("_known", "_moved_s", "_updates", "own", "settled_slowdown", "slowdown")

    def __init__(self):
        self.own = QuietGapSums()
        self.slowdown = 1.0
        self.settled_slowdown = 1.0
        self._known = GapSums()
        self._updates = 0
        self._moved_s: float | None = None

    @property
    def log_gap(self) -> float | None:
        """Logarithm of the undisturbed gap in milliseconds; None if too little is known."""
        if self._known.weight < _MIN_KNOWN_WEIGHT:
            return None
        return self._known.log_sum / self._known.weight

    def update(self, load: EndpointLoad | None, elapsed_s: float, now_s: float) -> None:
        """Blend the newest sums of all routers into those known; the first sums count alike."""
        newest = self.own.at(now_s)
        if load is not None:
            reported = GapSums(load.gap_weight_centi / 100, load.log_gap_sum_centi / 100)
            newest = newest.add(reported)
        if newest.weight <= 0:
            self._known = self._known.scaled(math.exp(-elapsed_s / _IDLE_FADING_S))
            return
        log_gap = min(_MAX_LOG_GAP, max(_MIN_LOG_GAP, newest.log_sum / newest.weight))
        newest = GapSums(newest.weight, newest.weight * log_gap)
        self._updates += 1
        newest_share = newest.weight / (newest.weight + self._known.weight)
        fading_per_s = newest_share / _BUSY_FADING_S + (1 - newest_share) / _IDLE_FADING_S
        share = max(1 - math.exp(-elapsed_s * fading_per_s), 1 / self._updates)
        self._known = self._known.scaled(1 - share).add(newest.scaled(share))

    def compare(self, usual_log_gap: float) -> None:
        """Set the slowdown, the closer to 1 the less is known."""
        weight = self._known.weight
        if weight <= 0:
            self.slowdown = 1.0
            return
        excess = self._known.log_sum - weight * usual_log_gap
        slowdown = math.exp(excess / (weight + _PRIOR_WEIGHT))
        self.slowdown = min(_MAX_SLOWDOWN, max(1 / _MAX_SLOWDOWN, slowdown))

    def settle(self, now_s: float) -> bool:
        """Return whether the slowdown has moved for good since it was last reported."""
        ratio = self.slowdown / self.settled_slowdown
        moved = not 1 / _REPORTED_FACTOR < ratio < _REPORTED_FACTOR
        if not moved or self._known.weight < _REPORTED_WEIGHT:
            self._moved_s = None
            return False
        if self._moved_s is None:
            self._moved_s = now_s
        if now_s - self._moved_s < _REPORTED_AFTER_S:
            return False
        self._moved_s = None
        self.settled_slowdown = self.slowdown
        return True


class _PoolState:
    """The engines of one pool, by incarnation, and what they have in common.

    Attributes
    ----------
    is_uneven : bool
        Whether a part of the pool is much slower than the rest.
    min_gap_ms : float
        Gaps below this are of events that arrived together.
    """

    __slots__ = (
        "_most_known",
        "engines",
        "is_uneven",
        "min_gap_ms",
        "prompt_speed",
        "refreshed_s",
        "usual_gap_ms",
    )

    def __init__(self):
        self.is_uneven = False
        self.engines: dict[str, _EngineRate] = {}
        self.prompt_speed = PromptSpeed()
        self.refreshed_s = -1e9
        self.usual_gap_ms = 0.0
        self.min_gap_ms = 0.0
        self._most_known = 0

    def note_known(self, log_gaps: Sequence[float]) -> None:
        """Update the usual gap from the gaps of the known engines, in ascending order.

        It stays while most of them are forgotten, since the median of the rest is that of others.
        """
        known = len(log_gaps)
        self._most_known = min(len(self.engines), max(self._most_known, known))
        if known and 2 * known >= self._most_known:
            self.usual_gap_ms = math.exp(log_gaps[(known - 1) // 2])
        # While no engine is known, all may have become so fast that each gap is below the share.
        self.min_gap_ms = _MIN_GAP_SHARE * self.usual_gap_ms if known else 0.0

    def note_slowdowns(self) -> None:
        """Update whether many engines are much slower than usual."""
        slow = sum(engine.slowdown >= _UNEVEN_SLOWDOWN for engine in self.engines.values())
        min_share = _STAY_UNEVEN_SHARE if self.is_uneven else _UNEVEN_SHARE
        self.is_uneven = slow > 0 and slow >= min_share * len(self.engines)


class MeasuredServiceRates(ServiceRatesBase):
    """Rates measured from the streams of all routers.

    They are used in pools of which a part is much slower than the rest. Where engines are nearly
    alike, speed classes keep long prompts off the slower ones.
    """

    def __init__(self):
        super().__init__()
        self._pools: dict[str, _PoolState] = {}

    def replaces_speed_classes(self, pool):
        """See ``ServiceRatesBase.replaces_speed_classes``."""
        state = self._pools.get(pool)
        return state is not None and state.is_uneven

    def refresh(self, pool, records, loads, now_s):
        """See ``ServiceRatesBase.refresh``."""
        state = self._pools.get(pool)
        if state is None:
            state = self._pools[pool] = _PoolState()
        elapsed_s = now_s - state.refreshed_s
        if elapsed_s < _REFRESH_INTERVAL_S:
            return
        state.refreshed_s = now_s
        known = state.engines
        state.engines = {
            record.incarnation: known.get(record.incarnation) or _EngineRate() for record in records
        }
        for incarnation, engine in state.engines.items():
            engine.update(loads.get(incarnation), elapsed_s, now_s)
        log_gaps = sorted(
            engine.log_gap for engine in state.engines.values() if engine.log_gap is not None
        )
        state.note_known(log_gaps)
        if state.usual_gap_ms:
            self._compare(state, records, now_s)

    def _compare(self, state: _PoolState, records, now_s: float) -> None:
        """Set the slowdown of each engine and report those that have changed for good."""
        usual_log_gap = math.log(state.usual_gap_ms)
        for record in records:
            engine = state.engines[record.incarnation]
            engine.compare(usual_log_gap)
            previous = engine.settled_slowdown
            if engine.settle(now_s):
                change = RateChange(
                    engine.slowdown,
                    previous,
                    state.usual_gap_ms * engine.slowdown,
                    state.usual_gap_ms,
                    state.prompt_speed.tokens_per_ms,
                )
                self.on_change(record, change)
        state.note_slowdowns()

    def note_first_event(self, record, queued_tokens, elapsed_ms, now_s):
        """See ``ServiceRatesBase.note_first_event``."""
        state = self._pools.get(record.entry.pool)
        if state is None or queued_tokens < _MIN_MEASURED_TOKENS or elapsed_ms <= 0:
            return
        # The engine also generates the event, which takes a gap; the gap is known less exactly.
        processing_ms = max(elapsed_ms - self.event_gap_ms(record, now_s), elapsed_ms / 2)
        state.prompt_speed.note(queued_tokens * self.measured_slowdown(record) / processing_ms)

    def note_gap(self, record, gap_ms, now_s):
        """See ``ServiceRatesBase.note_gap``."""
        state = self._pools.get(record.entry.pool)
        engine = state.engines.get(record.incarnation) if state is not None else None
        if engine is not None and gap_ms >= state.min_gap_ms:
            engine.own.note(gap_ms, now_s)

    def own_sums(self, record, now_s):
        """See ``ServiceRatesBase.own_sums``."""
        engine = self._engine(record)
        return engine.own.at(now_s) if engine is not None else GapSums()

    def prefill_ms(self, record, tokens):
        """See ``ServiceRatesBase.prefill_ms``."""
        state = self._pools.get(record.entry.pool)
        if state is None or not state.is_uneven:
            return tokens / ASSUMED_TOKENS_PER_MS
        return tokens * self.slowdown(record) / state.prompt_speed.tokens_per_ms

    def event_gap_ms(self, record, now_s):
        """See ``ServiceRatesBase.event_gap_ms``."""
        state = self._pools.get(record.entry.pool)
        if state is None:
            return 0.0
        return state.usual_gap_ms * self.measured_slowdown(record)

    def slowdown(self, record):
        """See ``ServiceRatesBase.slowdown``."""
        if not self.replaces_speed_classes(record.entry.pool):
            return 1.0
        return self.measured_slowdown(record)

    def measured_slowdown(self, record):
        """See ``ServiceRatesBase.measured_slowdown``."""
        engine = self._engine(record)
        return engine.slowdown if engine is not None else 1.0

    def is_usual(self, record):
        """See ``ServiceRatesBase.is_usual``."""
        engine = self._engine(record)
        return engine is None or engine.settled_slowdown < _REPORTED_FACTOR

    def pools(self):
        """See ``ServiceRatesBase.pools``."""
        for pool, state in self._pools.items():
            slowdowns = [engine.slowdown for engine in state.engines.values()] or [1.0]
            speed = round(state.prompt_speed.tokens_per_ms, 1)
            yield PoolRates(pool, round(min(slowdowns), 2), round(max(slowdowns), 2), speed)

    def _engine(self, record: EndpointRecord) -> _EngineRate | None:
        state = self._pools.get(record.entry.pool)
        return state.engines.get(record.incarnation) if state is not None else None


def make_service_rates(controls: LoadControls) -> ServiceRatesBase:
    """Return the service rates that the settings call for."""
    return MeasuredServiceRates() if controls.service_rates else AssumedServiceRates()
