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
    """Chooses among endpoints that take work."""

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

    All terms are in seconds.

    Parameters
    ----------
    prefill_s_per_token : float
        Time an uncached prompt token costs.
    zone_cost_s : float
        Cost of another zone.
    report_life_s : float
        Age at which a load report counts for nothing.
    prefix_life_s : float
        Time for which a prefix sent is taken to be cached.
    """

    def __init__(
        self,
        prefill_s_per_token: float = 0.0005,
        zone_cost_s: float = 0.002,
        report_life_s: float = 5.0,
        prefix_life_s: float = 120.0,
    ):
        self._prefill_s_per_token = prefill_s_per_token
        self._zone_cost_s = zone_cost_s
        self._report_life_s = report_life_s
        self._prefix_life_s = prefix_life_s

    def choose(self, request, candidates, now_s):
        """See ``PolicyBase.choose``."""
        scores = {view.name: self._score(request, view, now_s) for view in candidates}
        best = min(candidates, key=lambda view: (scores[view.name], view.name))
        return Choice(best, scores)

    def _score(self, request: RouteRequest, view: EndpointView, now_s: float) -> float:
        wait_s = self._wait_s(view, now_s) / max(view.share(now_s), 0.05)
        distance_s = 0.0 if view.endpoint.zone == request.zone else self._zone_cost_s
        return wait_s + distance_s - self._prefix_gain_s(request, view, now_s)

    def _wait_s(self, view: EndpointView, now_s: float) -> float:
        load = float(view.in_flight)
        if view.report is not None:
            age = min(1.0, (now_s - view.reported_s) / self._report_life_s)
            reported = view.report.running + view.report.waiting
            load += max(0.0, reported - view.in_flight) * (1.0 - age)
        return (load / view.endpoint.slots) * max(view.mean_service_s, 0.05)

    def _prefix_gain_s(self, request: RouteRequest, view: EndpointView, now_s: float) -> float:
        seen_s = view.prefixes.get(request.prefix)
        if not request.prefix or seen_s is None or now_s - seen_s > self._prefix_life_s:
            return 0.0
        return request.prompt_tokens * self._prefill_s_per_token


#: Policies by the name used on the command line.
POLICIES: dict[str, type[PolicyBase]] = {
    "score": ScorePolicy,
    "random": RandomPolicy,
    "round_robin": RoundRobinPolicy,
    "least_in_flight": LeastInFlightPolicy,
    "prefix_hash": PrefixHashPolicy,
}
