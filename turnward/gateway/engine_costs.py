# SPDX-License-Identifier: BSD-3-Clause
"""Cost of running a prompt at an engine, as the time until the engine has processed it.

The cost covers the engine's backlog and the parts of the prompt that it has not cached. Shared
parts weigh more than the time they take, so that few engines process the same part. For a part that
this router has not sent yet, rendezvous hashing gives the preferred endpoint, which all routers
agree on.
"""

from collections.abc import Mapping, Sequence

import msgspec

from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.engine_speed import SpeedClass
from turnward.gateway.mechanisms import Mechanisms
from turnward.gateway.peer_book import EndpointLoad
from turnward.gateway.prompt_lanes import NoPromptLanes, PromptLanesBase
from turnward.gateway.prompts import Prompt
from turnward.gateway.service_rates import AssumedServiceRates, ServiceRatesBase
from turnward.hashing import rendezvous_weight

__all__ = ["COST_OF_QUEUED_MS", "ChoiceRule", "EngineCosts"]

#: Cost of each request beyond an endpoint's slots.
COST_OF_QUEUED_MS = 60.0
#: Cost of each request that an engine is already running.
_COST_OF_RUNNING_MS = 1.5
#: Share of a prompt's shared parts that its preferred endpoint is assumed to have cached.
_PREFERRED_CACHED_SHARE = 1.0
#: Prompts of at least this size are long. Engines process prompts in chunks of about 2,000 tokens
#: between the tokens of other streams, so a longer prompt delays several events in a row.
_LONG_PROMPT_TOKENS = 4_000
#: Cost of a long prompt on a slower engine, where it would hold up all streams for too long.
_COST_OF_LONG_ON_SLOWER_MS = 800.0
#: Cost of a short prompt on an engine of usual speed, which also processes long prompts.
_COST_OF_SHORT_BESIDE_LONG_MS = 30.0
#: Cost of any prompt on a very slow engine.
_COST_OF_VERY_SLOW_MS = 200.0


class ChoiceRule(msgspec.Struct, frozen=True):
    """Which criteria the choice of an endpoint uses, and their weights.

    Attributes
    ----------
    preferred_endpoints : int
        Number of preferred endpoints of a prompt part; 0 for none.
    reread_weight : float
        Factor on the cost of processing a shared part where it is not cached. Doing so delays
        all requests there and leaves a cached copy elsewhere unused.
    zone_cost_ms : float
        Cost of an endpoint in another zone.
    rests : bool
        Whether endpoints that fail are avoided for a while.
    weighs_pace : bool
        Whether long prompts avoid engines that are slower than most, and short prompts prefer
        them.
    """

    preferred_endpoints: int = 1
    reread_weight: float = 6.0
    zone_cost_ms: float = 2.0
    rests: bool = True
    weighs_pace: bool = True

    @classmethod
    def from_mechanisms(cls, mechanisms: Mechanisms) -> "ChoiceRule":
        """Return the rule of a router with some mechanisms switched off."""
        rule = cls(
            reread_weight=mechanisms.reread_weight,
            rests=mechanisms.rests,
            weighs_pace=mechanisms.weighs_pace,
        )
        if not mechanisms.agreed_homes:
            rule = msgspec.structs.replace(rule, preferred_endpoints=0)
        if not mechanisms.zone_cost:
            rule = msgspec.structs.replace(rule, zone_cost_ms=0.0)
        return rule


class EngineCosts:
    """Costs of prompts at the engines of a pool.

    Parameters
    ----------
    rule : ChoiceRule
        Criteria and weights.
    zone : str
        This router's zone.
    rates : ServiceRatesBase, optional
        Service rates of the engines.
    lanes : PromptLanesBase, optional
        Division of the engines between long and short prompts.

    Attributes
    ----------
    rates : ServiceRatesBase
        Service rates of the engines.
    lanes : PromptLanesBase
        Division of the engines between long and short prompts.
    """

    __slots__ = ("_rule", "_zone", "lanes", "rates")

    def __init__(
        self,
        rule: ChoiceRule,
        zone: str,
        rates: ServiceRatesBase | None = None,
        lanes: PromptLanesBase | None = None,
    ):
        self._rule = rule
        self._zone = zone
        self.rates = rates or AssumedServiceRates()
        self.lanes = lanes or NoPromptLanes()

    def costs_ms(
        self,
        prompt: Prompt,
        candidates: Sequence[EndpointRecord],
        loads: Mapping[str, EndpointLoad],
        now_s: float,
    ) -> list[tuple[float, EndpointRecord]]:
        """Return the cost of each candidate with its record."""
        preferred_ids = _preferred_ids(
            prompt, self._preferable(prompt, candidates), self._rule.preferred_endpoints
        )
        return [
            (
                self._cost_ms(record, prompt, loads.get(record.incarnation), preferred_ids, now_s),
                record,
            )
            for record in candidates
        ]

    def queue_ms(self, record: EndpointRecord, load: EndpointLoad | None) -> float:
        """Return how long an engine will process the prompts that all routers have queued."""
        running, backlog_tokens = _load_at(record, load)
        over = max(0, running + 1 - record.entry.slots)
        queued_ms = over * COST_OF_QUEUED_MS * self.rates.slowdown(record)
        return self.rates.prefill_ms(record, backlog_tokens) + queued_ms

    def zone_cost_ms(self, record: EndpointRecord) -> float:
        """Return the cost of reaching an endpoint, by its zone."""
        return 0.0 if record.entry.zone == self._zone else self._rule.zone_cost_ms

    def _cost_ms(self, record, prompt: Prompt, load, preferred_ids, now_s: float) -> float:
        running, backlog_tokens = _load_at(record, load)
        cached = record.cached_tokens(prompt, now_s)
        if record.endpoint_id in preferred_ids:
            cached = max(cached, int(_PREFERRED_CACHED_SHARE * prompt.shared_tokens))
        uncached = max(0, prompt.tokens - cached)
        uncached_shared = max(0, prompt.shared_tokens - cached)
        weighted = uncached + (self._rule.reread_weight - 1.0) * uncached_shared
        cost_ms = self.rates.prefill_ms(record, backlog_tokens + weighted)
        over = max(0, running + 1 - record.entry.slots)
        load_ms = running * _COST_OF_RUNNING_MS + over * COST_OF_QUEUED_MS
        cost_ms += load_ms * self.rates.slowdown(record) + self.zone_cost_ms(record)
        if not self.rates.replaces_speed_classes(record.entry.pool):
            cost_ms += _speed_cost_ms(prompt, record.speed_class)
        return cost_ms + self.lanes.cost_ms(record, prompt.tokens, uncached)

    def _preferable(self, prompt: Prompt, candidates) -> Sequence[EndpointRecord]:
        """Return the candidates that may be preferred endpoints of a prompt."""
        in_lane = [r for r in candidates if self.lanes.may_prefer(r, prompt.tokens)]
        candidates = in_lane or candidates
        if prompt.tokens < _LONG_PROMPT_TOKENS:
            return candidates
        usual = [record for record in candidates if self._is_usual(record)]
        return usual or candidates

    def _is_usual(self, record: EndpointRecord) -> bool:
        if self.rates.replaces_speed_classes(record.entry.pool):
            return self.rates.is_usual(record)
        return record.speed_class is SpeedClass.USUAL


def _load_at(record: EndpointRecord, load: EndpointLoad | None) -> tuple[int, int]:
    """Return the running requests and the queued prompt tokens of this router and its peers."""
    if load is None:
        return record.in_flight, record.prefill_tokens
    return record.in_flight + load.requests, record.prefill_tokens + load.prefill_tokens


def _speed_cost_ms(prompt: Prompt, speed_class: SpeedClass) -> float:
    """Return what the speed class of an engine adds to the cost of a prompt."""
    if speed_class is SpeedClass.CRAWLING:
        return _COST_OF_VERY_SLOW_MS
    if prompt.tokens >= _LONG_PROMPT_TOKENS:
        return _COST_OF_LONG_ON_SLOWER_MS if speed_class is SpeedClass.SLOWER else 0.0
    return _COST_OF_SHORT_BESIDE_LONG_MS if speed_class is SpeedClass.USUAL else 0.0


def _preferred_ids(prompt: Prompt, candidates: Sequence[EndpointRecord], count: int) -> set[str]:
    """Return the ids of the preferred endpoints of a prompt's last shared part."""
    if len(prompt.parts) < 2:
        return set()
    key = str(prompt.parts[-2].prefix_hash)
    ids = [record.endpoint_id for record in candidates]
    ids.sort(key=lambda endpoint_id: rendezvous_weight(key, endpoint_id), reverse=True)
    return set(ids[:count])
