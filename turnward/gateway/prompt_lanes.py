# SPDX-License-Identifier: BSD-3-Clause
"""Which engines of a pool process the long prompts that would hold up other streams.

While an engine processes a prompt, all its streams wait. A prompt is long at an engine if that
takes a large part of the pause target. Long prompts run on some of the engines, the lane, and the
other prompts on the rest. Both are costs, so that prompts change sides where theirs is full.

A prompt counts with its shared parts, cached or not: the first one with a part processes all of it,
and routers do not know which parts the others' requests have put into a cache.

The lane consists of the first engines of a ranking by rendezvous hashing, the faster engines first,
so that all routers agree on it. Its size follows the number of engines that process long prompts,
which each router knows from the reports of its peers.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping, Sequence

import msgspec

from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.load_controls import LoadControls
from turnward.gateway.peer_book import EndpointLoad
from turnward.gateway.service_rates import ServiceRatesBase
from turnward.hashing import rendezvous_weight

__all__ = ["NoPromptLanes", "PoolLanes", "PromptLanes", "PromptLanesBase", "make_prompt_lanes"]

#: Share of the pause target that processing a long prompt takes; two of them within one pause
#: exceed the target.
_LONG_SHARE = 0.5
#: Smallest pool that is divided; in a smaller one, one engine more or less matters too much.
_MIN_POOL = 10
#: Least number of engines in a lane, so that the failure of one leaves another.
_MIN_LANE = 2
#: Sizes of the lane relative to the pool. They lie far apart, as each change moves shared parts to
#: other engines, and routers that measure slightly different loads should use the same size. Most
#: engines remain for the other prompts, as two medium ones within one pause exceed the target too.
_LANE_SHARES = (0.125, 0.25, 0.375)
#: Index of the size with which the lane starts.
_START_LEVEL = 1
#: Time between two updates; peers report their load as often.
_UPDATE_INTERVAL_S = 0.25
#: Time constant of the measured number of busy engines, several times that of processing a prompt.
_BUSY_MEMORY_S = 3.0
#: Share of the lane's engines that may process long prompts at a time. Streams outlast the
#: processing of their prompts several times, so that most long prompts still find an engine with
#: few streams.
_MAX_UTILIZATION = 0.35
#: Utilization that a smaller lane must not exceed for the lane to shrink.
_MAX_UTILIZATION_AFTER_SHRINKING = 0.22
#: Time without a long prompt after which the pool is undivided again.
_LONG_SEEN_LIFETIME_S = 20.0
#: Cost of entering the other lane, relative to the pause target.
_OTHER_LANE_SHARE = 0.5
#: Cost of making one running stream exceed the pause target, relative to the target.
_HELD_UP_SHARE = 0.5
#: Slowdowns at which an engine moves behind the others in the ranking, and back.
_SLOW_RATIO = 1.4
_NOT_SLOW_RATIO = 1.2


class PoolLanes(msgspec.Struct, frozen=True):
    """The division of a pool.

    Attributes
    ----------
    pool : str
        The pool.
    engines : int
        Number of its engines.
    lane_engines : int
        Number of available ones in the lane of long prompts; 0 if the pool is undivided.
    long_ms : float
        Processing time above which a prompt is long.
    busy_engines : float
        Recent number of engines that process long prompts.
    """

    pool: str
    engines: int
    lane_engines: int
    long_ms: float
    busy_engines: float


class PromptLanesBase(ABC):
    """Divides the engines of a pool between long and short prompts.

    Attributes
    ----------
    on_change : callable
        Called with the ``PoolLanes`` when the size of a lane has changed.
    on_long_prompt : callable
        Called with the pool and whether it was placed in the lane, for each long prompt.
    """

    def __init__(self):
        self.on_change: Callable[[PoolLanes], None] = _ignore_change
        self.on_long_prompt: Callable[[str, bool], None] = _ignore_long_prompt

    @abstractmethod
    def refresh(
        self,
        pool: str,
        records: Sequence[EndpointRecord],
        loads: Mapping[str, EndpointLoad],
        pause_target_ms: float | None,
        now_s: float,
    ) -> None:
        """Update the division of a pool; called before each choice among its engines.

        ``loads`` holds the sums of the peers' reports by incarnation. Without a pause target (None
        or 0) the pool is undivided.
        """

    @abstractmethod
    def note_prompt(self, record: EndpointRecord, prompt_tokens: int, now_s: float) -> None:
        """Record that this router sends a prompt to an engine."""

    @abstractmethod
    def cost_ms(self, record: EndpointRecord, prompt_tokens: int, uncached_tokens: int) -> float:
        """Return what an engine's side of the division adds to the cost of a prompt there.

        ``uncached_tokens`` is the part of the prompt that the engine has yet to process.
        """

    @abstractmethod
    def may_prefer(self, record: EndpointRecord, prompt_tokens: int) -> bool:
        """Return whether an engine may be the preferred endpoint of a prompt."""


class NoPromptLanes(PromptLanesBase):
    """All engines process all prompts."""

    def refresh(self, pool, records, loads, pause_target_ms, now_s):
        """See ``PromptLanesBase.refresh``."""

    def note_prompt(self, record, prompt_tokens, now_s):
        """See ``PromptLanesBase.note_prompt``."""

    def cost_ms(self, record, prompt_tokens, uncached_tokens):
        """See ``PromptLanesBase.cost_ms``."""
        return 0.0

    def may_prefer(self, record, prompt_tokens):
        """See ``PromptLanesBase.may_prefer``."""
        return True


class _Division:
    """The division of one pool.

    Attributes
    ----------
    lane : frozenset of str
        Ids of the engines in the lane; empty if the pool is undivided.
    loads : mapping of str to EndpointLoad
        Load of the peers.
    pause_target_ms : float
        Target for the longest pause in the pool's streams.
    busy_engines : float
        Recent number of engines that process long prompts, in the largest lane.
    """

    __slots__ = (
        "_level",
        "_long_seen_s",
        "_slow",
        "_updated_s",
        "_weights",
        "busy_engines",
        "lane",
        "loads",
        "pause_target_ms",
        "pool",
    )

    def __init__(self, pool: str):
        self.pool = pool
        self.lane: frozenset[str] = frozenset()
        self.loads: Mapping[str, EndpointLoad] = {}
        self.pause_target_ms = 0.0
        self._level = _START_LEVEL
        self.busy_engines = 0.0
        self._long_seen_s: float | None = None
        self._updated_s = -math.inf
        self._slow: set[str] = set()
        self._weights: dict[str, int] = {}

    @property
    def long_ms(self) -> float:
        """Processing time above which a prompt is long."""
        return _LONG_SHARE * self.pause_target_ms

    def update(self, records: Sequence[EndpointRecord], rates: ServiceRatesBase, now_s) -> bool:
        """Update the lane if it is time for it; return whether its size has changed."""
        elapsed_s = now_s - self._updated_s
        if elapsed_s < _UPDATE_INTERVAL_S:
            return False
        self._updated_s = now_s
        before = len(self.lane)
        available = [
            record
            for record in records
            if record.lapsed_s is None
            and record.availability.unavailable_reason(now_s) is None
            and record.availability.is_healthy(now_s, record.in_flight)
        ]
        # A router that starts can't know what its peers have seen.
        if self._long_seen_s is None or any(
            self._has_long_prompt(record, rates) for record in available
        ):
            self._long_seen_s = now_s
        if len(available) < _MIN_POOL or now_s - self._long_seen_s > _LONG_SEEN_LIFETIME_S:
            self.lane = frozenset()
            return before > 0
        ranked = self._ranked(available, rates)
        sizes = [max(_MIN_LANE, int(share * len(ranked))) for share in _LANE_SHARES]
        busy = self._count_busy(ranked[: sizes[-1]], rates)
        if not self.lane:
            self._level = _START_LEVEL
            self.busy_engines = _MAX_UTILIZATION * sizes[_START_LEVEL]
        else:
            weight = 1.0 - math.exp(-elapsed_s / _BUSY_MEMORY_S)
            self.busy_engines += weight * (busy - self.busy_engines)
            self._level = self._next_level(sizes)
        self.lane = frozenset(record.endpoint_id for record in ranked[: sizes[self._level]])
        return len(self.lane) != before

    def note_long_prompt(self, now_s: float) -> None:
        """Record that this router sends a long prompt to the pool."""
        self._long_seen_s = now_s

    def queued_tokens(self, record: EndpointRecord) -> int:
        """Return the prompt tokens that all routers have queued at an engine."""
        load = self.loads.get(record.incarnation)
        return record.prefill_tokens + (load.prefill_tokens if load is not None else 0)

    def running(self, record: EndpointRecord) -> int:
        """Return the number of requests of all routers at an engine."""
        load = self.loads.get(record.incarnation)
        return record.in_flight + (load.requests if load is not None else 0)

    def _has_long_prompt(self, record: EndpointRecord, rates: ServiceRatesBase) -> bool:
        """Return whether an engine's load proves that one of its prompts is long."""
        running = self.running(record)
        if not running:
            return False
        return rates.prefill_ms(record, self.queued_tokens(record) / running) > self.long_ms

    def _ranked(self, records, rates: ServiceRatesBase) -> list[EndpointRecord]:
        """Return the engines in the order in which they join the lane."""
        weights = {}
        for record in records:
            endpoint_id = record.endpoint_id
            weights[endpoint_id] = self._weights.get(endpoint_id) or rendezvous_weight(
                f"lane|{self.pool}", endpoint_id
            )
            is_slow = endpoint_id in self._slow
            if rates.slowdown(record) >= (_NOT_SLOW_RATIO if is_slow else _SLOW_RATIO):
                self._slow.add(endpoint_id)
            else:
                self._slow.discard(endpoint_id)
        self._weights = weights
        self._slow &= weights.keys()
        return sorted(
            records,
            key=lambda record: (record.endpoint_id in self._slow, -weights[record.endpoint_id]),
        )

    def _count_busy(self, records, rates: ServiceRatesBase) -> int:
        """Return how many engines process long prompts, or others that take half as long."""
        return sum(
            rates.prefill_ms(record, self.queued_tokens(record)) > self.long_ms / 2
            for record in records
        )

    def _next_level(self, sizes: list[int]) -> int:
        """Return the index of the size for the number of busy engines.

        The lane shrinks only if it is clearly too large.
        """
        for level, size in enumerate(sizes[:-1]):
            is_smaller = level < self._level
            limit = _MAX_UTILIZATION_AFTER_SHRINKING if is_smaller else _MAX_UTILIZATION
            if self.busy_engines <= limit * size:
                return level
        return len(sizes) - 1


class PromptLanes(PromptLanesBase):
    """Keeps long prompts of large pools on engines of their own.

    Parameters
    ----------
    rates : ServiceRatesBase
        Service rates of the engines.
    """

    def __init__(self, rates: ServiceRatesBase):
        super().__init__()
        self._rates = rates
        self._divisions: dict[str, _Division] = {}

    def refresh(self, pool, records, loads, pause_target_ms, now_s):
        """See ``PromptLanesBase.refresh``."""
        if not pause_target_ms:
            self._drop_division(pool, len(records))
            return
        division = self._divisions.get(pool)
        if division is None:
            division = self._divisions[pool] = _Division(pool)
        division.loads = loads
        division.pause_target_ms = pause_target_ms
        if division.update(records, self._rates, now_s):
            self.on_change(self._describe(division, len(records)))

    def _drop_division(self, pool: str, engines: int) -> None:
        """Forget the division of a pool whose pause target is gone from the configuration."""
        division = self._divisions.pop(pool, None)
        if division is not None and division.lane:
            division.lane = frozenset()
            self.on_change(self._describe(division, engines))

    def note_prompt(self, record, prompt_tokens, now_s):
        """See ``PromptLanesBase.note_prompt``."""
        division = self._divisions.get(record.entry.pool)
        if division is None or not self._is_long(division, record, prompt_tokens):
            return
        division.note_long_prompt(now_s)
        if division.lane:
            self.on_long_prompt(division.pool, record.endpoint_id in division.lane)

    def cost_ms(self, record, prompt_tokens, uncached_tokens):
        """See ``PromptLanesBase.cost_ms``.

        A prompt outside its lane costs part of the pause target. So does each stream for which the
        prompt, along with those queued before it, lengthens a pause beyond the target.
        """
        division = self._divisions.get(record.entry.pool)
        if division is None or not division.lane:
            return 0.0
        cost_ms = self._held_up_cost_ms(division, record, uncached_tokens)
        in_lane = record.endpoint_id in division.lane
        if in_lane != self._is_long(division, record, prompt_tokens):
            cost_ms += _OTHER_LANE_SHARE * division.pause_target_ms
        return cost_ms

    def may_prefer(self, record, prompt_tokens):
        """See ``PromptLanesBase.may_prefer``."""
        division = self._divisions.get(record.entry.pool)
        if division is None or not division.lane:
            return True
        in_lane = record.endpoint_id in division.lane
        return in_lane == self._is_long(division, record, prompt_tokens)

    def _is_long(self, division: _Division, record: EndpointRecord, prompt_tokens: int) -> bool:
        return self._rates.prefill_ms(record, prompt_tokens) > division.long_ms

    def _held_up_cost_ms(self, division, record: EndpointRecord, uncached_tokens) -> float:
        """Return the cost of the pauses that a prompt causes in the engine's streams."""
        running = division.running(record)
        if not running:
            return 0.0
        queue_ms = self._rates.prefill_ms(record, division.queued_tokens(record))
        own_ms = self._rates.prefill_ms(record, uncached_tokens)
        held_up = _held_up_share(queue_ms + own_ms, division) - _held_up_share(queue_ms, division)
        return running * held_up * _HELD_UP_SHARE * division.pause_target_ms

    def _describe(self, division: _Division, engines: int) -> PoolLanes:
        return PoolLanes(
            division.pool,
            engines,
            len(division.lane),
            division.long_ms,
            division.busy_engines,
        )


def _held_up_share(queue_ms: float, division: _Division) -> float:
    """Return the share of an engine's streams that a queue of prompts makes pause for too long."""
    over_ms = queue_ms - division.long_ms
    return min(1.0, max(0.0, over_ms / (division.pause_target_ms - division.long_ms)))


def make_prompt_lanes(controls: LoadControls, rates: ServiceRatesBase) -> PromptLanesBase:
    """Return the division of pools that the settings call for."""
    return PromptLanes(rates) if controls.prompt_lanes else NoPromptLanes()


def _ignore_change(lanes: PoolLanes) -> None:
    """Do nothing; the default callback for changes."""


def _ignore_long_prompt(pool: str, in_lane: bool) -> None:
    """Do nothing; the default callback for long prompts."""
