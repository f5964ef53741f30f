# SPDX-License-Identifier: BSD-3-Clause
"""Load-balancing policies, which choose an endpoint for a request.

References
----------
Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
TPDS 12(10), 2001, on why choosing the minimum by stale load values performs badly.
"""

import random
from abc import ABC, abstractmethod

import msgspec

from turnward.fleet import rendezvous_weight
from turnward.routing.views import EndpointView

__all__ = [
    "POLICIES",
    "Choice",
    "LeastInFlightPolicy",
    "PolicyBase",
    "PrefixHashPolicy",
    "RandomPolicy",
    "RoundRobinPolicy",
    "RouteRequest",
    "ScorePolicy",
]


class RouteRequest(msgspec.Struct, frozen=True):
    """The properties of a request that a policy uses."""

    pool: str
    zone: str
    prefix: str = ""
    prompt_tokens: int = 0


class Choice(msgspec.Struct, frozen=True):
    """The chosen endpoint, and the score of each candidate, where the lowest is best."""

    view: EndpointView
    scores: dict[str, float]


class PolicyBase(ABC):
    """Chooses among the endpoints that accept new requests.

    Attributes
    ----------
    fleet_size : int
        Number of routers that send to the same endpoints.
    """

    fleet_size: int = 1

    @abstractmethod
    def choose(self, request: RouteRequest, candidates: list[EndpointView], now_s: float) -> Choice:
        """Choose one of the candidates, of which there is at least one."""


class RandomPolicy(PolicyBase):
    """Baseline: a random endpoint."""

    def __init__(self, seed: int = 0):
        self._random = random.Random(seed)

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        return Choice(self._random.choice(candidates), {})


class RoundRobinPolicy(PolicyBase):
    """Baseline: the endpoints in turn."""

    def __init__(self):
        self._next = 0

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        self._next += 1
        return Choice(candidates[self._next % len(candidates)], {})


class LeastInFlightPolicy(PolicyBase):
    """Baseline: the endpoint with the fewest requests of this router in flight."""

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        return Choice(min(candidates, key=lambda view: (view.in_flight, view.name)), {})


class PrefixHashPolicy(PolicyBase):
    """Baseline: the same endpoint for each prefix, by rendezvous hashing."""

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        return Choice(
            max(candidates, key=lambda view: rendezvous_weight(request.prefix, view.name)), {}
        )


class ScorePolicy(PolicyBase):
    """Minimizes the expected wait, less the gain of a cached prefix, plus a zone cost.

    All terms are in seconds. The load of an endpoint is estimated as this router's
    requests in flight to it times the number of routers. Load reports are not used:
    they are delayed, and routers that follow the same report would all choose the
    same endpoint. A prefix is expected to be cached at the half of the endpoints
    with the highest rendezvous weights, so that all routers agree without
    communication.

    Parameters
    ----------
    prefill_s_per_token : float
        Prefill time per uncached prompt token.
    zone_cost_s : float
        Cost of an endpoint in another zone.
    batch_cost : float
        Share of the service time by which a full batch delays a request.
    """

    #: Fewest endpoints at which a prefix is expected to be cached, to avoid hot spots.
    _MIN_CACHE_ENDPOINTS = 3
    #: Lower bound of the service time, used before any is known.
    _MIN_SERVICE_S = 0.05

    def __init__(
        self,
        prefill_s_per_token: float = 0.0004,
        zone_cost_s: float = 0.002,
        batch_cost: float = 0.2,
    ):
        self._prefill_s_per_token = prefill_s_per_token
        self._zone_cost_s = zone_cost_s
        self._batch_cost = batch_cost

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        cache_endpoints = self._cache_endpoints(request.prefix, candidates)
        scores = {}
        for view in candidates:
            gain_s = 0.0
            if view.name in cache_endpoints:
                gain_s = request.prompt_tokens * self._prefill_s_per_token
            scores[view.name] = self._cost_s(request, view, now_s) - gain_s
        best = min(candidates, key=lambda view: (scores[view.name], view.name))
        return Choice(best, scores)

    def _cost_s(self, request: RouteRequest, view: EndpointView, now_s: float) -> float:
        slots = view.endpoint.slots
        service_s = max(view.mean_service_s, self._MIN_SERVICE_S)
        load = view.in_flight * self.fleet_size
        queue_s = max(0, load + 1 - slots) / slots * service_s
        batch_s = self._batch_cost * service_s * load / slots
        distance_s = 0.0 if view.endpoint.zone == request.zone else self._zone_cost_s
        return (queue_s + batch_s) / view.share(now_s) + distance_s

    def _cache_endpoints(self, prefix: str, candidates: list[EndpointView]) -> set[str]:
        if not prefix:
            return set()
        names = [view.name for view in candidates]
        names.sort(key=lambda name: rendezvous_weight(prefix, name), reverse=True)
        return set(names[: max(self._MIN_CACHE_ENDPOINTS, len(names) // 2)])


#: Policies by the name used on the command line.
POLICIES: dict[str, type[PolicyBase]] = {
    "score": ScorePolicy,
    "random": RandomPolicy,
    "round_robin": RoundRobinPolicy,
    "least_in_flight": LeastInFlightPolicy,
    "prefix_hash": PrefixHashPolicy,
}
