# SPDX-License-Identifier: BSD-3-Clause
"""Policies that choose an endpoint for a request.

References
----------
Mitzenmacher, "The power of two choices in randomized load balancing", IEEE
TPDS 12(10), 2001, on why stale load misleads a pure minimum.
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
    """What a policy is told of a request."""

    pool: str
    zone: str
    prefix: str = ""
    prompt_tokens: int = 0


class Choice(msgspec.Struct, frozen=True):
    """The chosen endpoint, with each candidate's score for the time line; lowest wins."""

    view: EndpointView
    scores: dict[str, float]


class PolicyBase(ABC):
    """Chooses among endpoints that take work.

    Attributes
    ----------
    fleet_size : int
        Routers that send to the same endpoints.
    """

    fleet_size: int = 1

    @abstractmethod
    def choose(self, request: RouteRequest, candidates: list[EndpointView], now_s: float) -> Choice:
        """Return the choice; ``candidates`` is not empty."""


class RandomPolicy(PolicyBase):
    """Naive: any endpoint."""

    def __init__(self, seed: int = 0):
        self._random = random.Random(seed)

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        return Choice(self._random.choice(candidates), {})


class RoundRobinPolicy(PolicyBase):
    """Naive: one after the other."""

    def __init__(self):
        self._next = 0

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        self._next += 1
        return Choice(candidates[self._next % len(candidates)], {})


class LeastInFlightPolicy(PolicyBase):
    """Naive: the fewest own requests in flight."""

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        return Choice(min(candidates, key=lambda view: (view.in_flight, view.name)), {})


class PrefixHashPolicy(PolicyBase):
    """Naive: the same prefix always to the same endpoint."""

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        return Choice(
            max(candidates, key=lambda view: rendezvous_weight(request.prefix, view.name)), {}
        )


class ScorePolicy(PolicyBase):
    """Expected wait, less the gain of a cached prefix, plus the cost of distance.

    All terms are in seconds. The load of an endpoint is taken to be this
    router's own requests on it times the number of routers: load reports are
    late, and routers that follow the same late report all choose the same
    endpoint. A prefix has as its homes the half of the endpoints with the
    highest rendezvous weights, so that all routers agree where it is cached
    without telling each other.

    Parameters
    ----------
    prefill_s_per_token : float
        Time an uncached prompt token costs.
    zone_cost_s : float
        Cost of another zone.
    batch_cost : float
        Share of the service time that a full batch adds to a request.
    """

    #: Homes of a prefix in a small pool; fewer would crowd one endpoint.
    _LEAST_HOMES = 3
    #: Service time assumed before any is measured, in seconds.
    _LEAST_SERVICE_S = 0.05

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
        homes = self._homes(request.prefix, candidates)
        scores = {}
        for view in candidates:
            gain_s = 0.0
            if view.name in homes:
                gain_s = request.prompt_tokens * self._prefill_s_per_token
            scores[view.name] = self._cost_s(request, view, now_s) - gain_s
        best = min(candidates, key=lambda view: (scores[view.name], view.name))
        return Choice(best, scores)

    def _cost_s(self, request: RouteRequest, view: EndpointView, now_s: float) -> float:
        slots = view.endpoint.slots
        service_s = max(view.mean_service_s, self._LEAST_SERVICE_S)
        load = view.in_flight * self.fleet_size
        queue_s = max(0, load + 1 - slots) / slots * service_s
        batch_s = self._batch_cost * service_s * load / slots
        distance_s = 0.0 if view.endpoint.zone == request.zone else self._zone_cost_s
        return (queue_s + batch_s) / view.share(now_s) + distance_s

    def _homes(self, prefix: str, candidates: list[EndpointView]) -> set[str]:
        if not prefix:
            return set()
        names = [view.name for view in candidates]
        names.sort(key=lambda name: rendezvous_weight(prefix, name), reverse=True)
        return set(names[: max(self._LEAST_HOMES, len(names) // 2)])


#: Policies by the name used on the command line.
POLICIES: dict[str, type[PolicyBase]] = {
    "score": ScorePolicy,
    "random": RandomPolicy,
    "round_robin": RoundRobinPolicy,
    "least_in_flight": LeastInFlightPolicy,
    "prefix_hash": PrefixHashPolicy,
}
