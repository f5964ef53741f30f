# SPDX-License-Identifier: BSD-3-Clause
"""Simulation of a fleet with rate-limited endpoints, and alternative ways to divide a rate.

Routers get requests at random times and send each to the first endpoint of their own preference
list that the limits permit. The requests that reach each endpoint are counted.
"""

import heapq
import random
import sys
from functools import partial

import msgspec

from turnward.gateway.member_ranks import MemberRanks
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.rate_limit import RateShare
from turnward.gateway.rate_limits import RateLimits
from turnward.gateway.tests.feedback_simulation import max_in_window
from turnward.hashing import rendezvous_weight

__all__ = ["Fleet", "Outcome", "Scenario", "random_scenario", "request_bound"]

#: Minimum and maximum transit time of a request.
_TRANSIT_S = (0.0005, 0.003)
_RESPONSE_TIME_S = 0.05
_UPDATE_INTERVAL_S = 0.1
WINDOW_S = 4.0
#: Time after a router received a limit from which its requests are counted.
SETTLE_S = 0.5
#: Rounds of updates within which all routers that are not isolated receive a limit.
_UPDATE_ROUNDS = 3
#: Time within which all routers receive that limits were lifted.
LIFT_PROPAGATION_S = 3.0


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Input of one simulation.

    Attributes
    ----------
    demand_per_s : float
        Request rate of all routers together.
    skewed : bool
        Whether all requests arrive at one router.
    isolated : float
        Share of the routers that exchange no messages with others.
    crashed : float
        Share of the members that have crashed.
    paused : float
        Share of the routers that are paused for a second and then send all requests at once.
    max_connect_s : float
        Maximum time to open a connection.
    update_delay_s : float
        Age of updates from other routers on arrival.
    lifted_s : float
        Time at which the endpoints lift their limits.
    """

    routers: int
    endpoints: int
    per_s: float
    demand_per_s: float
    skewed: bool = False
    isolated: float = 0.0
    crashed: float = 0.0
    paused: float = 0.0
    max_connect_s: float = 0.0
    update_delay_s: float = 0.2
    duration_s: float = 20.0
    lifted_s: float = 1e9
    seed: int = 0


class Outcome(msgspec.Struct, frozen=True):
    """Result of one simulation.

    Attributes
    ----------
    max_requests : int
        Largest number of requests at one endpoint in a sliding window.
    utilization : float
        Share of the allowed requests that was sent, after the limits had spread.
    refused_with_capacity : float
        Share of the requests that were refused although an endpoint had received less than its
        rate allows in the preceding window; 0 unless tracked.
    unlimited : float
        Share of the pairs of router and endpoint without a limit, some time after all were lifted.
    """

    max_requests: int
    utilization: float
    refused_with_capacity: float
    unlimited: float


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


class Router:
    """One router with its limits and its preference among endpoints."""

    def __init__(self, fleet, number, limits_type):
        scenario = fleet.scenario
        self.number = number
        self.isolated = number in fleet.isolated
        self.paused = number in fleet.paused
        book = PeerBook(fleet.addresses[number], fleet.clock)
        for address in fleet.addresses:
            book.add_member(address, "z")
        book.members_read = True
        self.limits = limits_type(fleet.clock, MemberRanks(book), f"r-{number}")
        #: For variants that ask another router.
        self.limits.router, self.limits.fleet = self, fleet
        self.opening = {endpoint: 0 for endpoint in fleet.endpoints}
        self.preference = fleet.rng.sample(fleet.endpoints, scenario.endpoints)
        self.announced_s = {}

    def limit_known_for_s(self, endpoint, now_s):
        """Return how long ago the endpoint first sent this router a limit."""
        return now_s - self.announced_s.get(endpoint, 1e9)

    def permits(self, endpoint):
        if not self.limits.is_limited(endpoint):
            return True
        return not self.opening[endpoint] and self.limits.available_in_s(endpoint) <= 0


class Fleet:
    """The routers of a scenario and the requests that reach the endpoints."""

    def __init__(self, scenario: Scenario, limits_type=RateLimits, tracks_capacity=False):
        self.scenario = scenario
        self._tracks_capacity = tracks_capacity
        self.rng = random.Random(scenario.seed)
        self.clock = Clock()
        count = scenario.routers
        self.endpoints = [f"e-{number}-{scenario.seed}" for number in range(scenario.endpoints)]
        self.arrivals = {endpoint: [] for endpoint in self.endpoints}
        self.addresses = [f"10.0.{number // 250}.{number % 250}:1" for number in range(count)]
        live_numbers = list(range(count))
        self.rng.shuffle(live_numbers)
        live_numbers = sorted(live_numbers[int(scenario.crashed * count) :])
        self.isolated = set(
            self.rng.sample(live_numbers, int(scenario.isolated * len(live_numbers)))
        )
        self.paused = set(self.rng.sample(live_numbers, int(scenario.paused * len(live_numbers))))
        self.routers = [Router(self, number, limits_type) for number in live_numbers]
        self.announced_s = {}
        self.granted_s = {}
        self.refused = self.refused_with_capacity = 0
        self.unlimited = 0.0
        self._events = []
        self._event_number = 0

    def run(self) -> Outcome:
        """Run all events in order of time."""
        scenario = self.scenario
        for router in self.routers[:1] if scenario.skewed else self.routers:
            self._schedule_request(router)
        for router in self.routers:
            self._at(self.rng.uniform(0, _UPDATE_INTERVAL_S), partial(self._announce, router))
        if scenario.lifted_s < scenario.duration_s:
            self._at(scenario.lifted_s + LIFT_PROPAGATION_S, self._measure_unlimited)
        while self._events and self._events[0][0] <= self.scenario.duration_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.now_s = at_s
            action()
        return self._outcome()

    def _at(self, at_s, action):
        self._event_number += 1
        heapq.heappush(self._events, (at_s, self._event_number, action))

    def _schedule_request(self, router):
        sources = 1 if self.scenario.skewed else len(self.routers)
        interval_s = self.rng.expovariate(self.scenario.demand_per_s / sources)
        self._at(self.clock() + interval_s, partial(self._request, router))

    def _request(self, router):
        self._schedule_request(router)
        if router.paused and 8.0 <= self.clock() < 9.0:
            self._at(9.0, partial(self._dispatch, router))
        else:
            self._dispatch(router)

    def _dispatch(self, router, excluded=()):
        for endpoint in router.preference:
            if endpoint not in excluded and router.permits(endpoint):
                router.opening[endpoint] += 1
                connect_s = self.rng.uniform(0, self.scenario.max_connect_s)
                self._at(self.clock() + connect_s, partial(self._send, router, endpoint, excluded))
                return
        if not excluded:
            self.refused += 1
            self.refused_with_capacity += self._tracks_capacity and self._has_capacity()

    def _send(self, router, endpoint, excluded):
        router.opening[endpoint] -= 1
        if router.limits.available_in_s(endpoint) > 0:
            self._dispatch(router, (*excluded, endpoint))
            return
        sent_s = self.clock()
        router.limits.note_sent(endpoint)
        # An isolated router that was not sent the limit itself can't obey it.
        if not router.isolated or router.limit_known_for_s(endpoint, sent_s) > SETTLE_S:
            self.arrivals[endpoint].append(sent_s + self.rng.uniform(*_TRANSIT_S))
        self._at(sent_s + _RESPONSE_TIME_S, partial(self._answer, router, endpoint, sent_s))

    def _answer(self, router, endpoint, sent_s):
        if self.clock() < self.scenario.lifted_s:
            self.announced_s.setdefault(endpoint, self.clock())
            router.limits.set_limit(endpoint, self.scenario.per_s)
            router.announced_s.setdefault(endpoint, self.clock())
        else:
            router.limits.note_unlimited(endpoint, sent_s)

    def _announce(self, router):
        self._at(self.clock() + _UPDATE_INTERVAL_S, partial(self._announce, router))
        if router.isolated:
            return
        updates = router.limits.announced()
        # Each round reaches some of the others directly, and all of them after a few rounds.
        others = self.rng.sample(self.routers, min(12, len(self.routers)))
        for other in others:
            if not other.isolated and other is not router:
                self._at(
                    self.clock() + self.scenario.update_delay_s,
                    partial(other.limits.merge, updates),
                )

    def reaches_first(self, router, endpoint) -> bool:
        """Return whether a router reaches the member that ranks first for an endpoint."""
        first = max(self.addresses, key=lambda address: rendezvous_weight(endpoint, address))
        holders = [member for member in self.routers if self.addresses[member.number] == first]
        return bool(holders) and (
            holders[0] is router or not (holders[0].isolated or router.isolated)
        )

    def _has_capacity(self) -> bool:
        window_start_s = self.clock() - WINDOW_S
        allowed_requests = self.scenario.per_s * WINDOW_S
        return any(
            sum(time_s > window_start_s for time_s in times[-200:]) < allowed_requests - 1
            for times in self.arrivals.values()
        )

    def _outcome(self) -> Outcome:
        scenario = self.scenario
        end_s = min(scenario.duration_s, scenario.lifted_s)
        max_requests, sent = 0, 0
        for endpoint, arrivals in self.arrivals.items():
            propagation_s = SETTLE_S + _UPDATE_ROUNDS * (
                scenario.update_delay_s + _UPDATE_INTERVAL_S
            )
            counted_from_s = self.announced_s.get(endpoint, 1e9) + propagation_s
            times = sorted(time_s for time_s in arrivals if counted_from_s < time_s < end_s)
            max_requests = max(max_requests, max_in_window(times, WINDOW_S))
            sent += sum(time_s > end_s / 2 for time_s in times)
        allowed_requests = max(0.1, scenario.per_s) * scenario.endpoints * end_s / 2
        total = max(1, self.refused + sum(len(times) for times in self.arrivals.values()))
        return Outcome(
            max_requests,
            sent / allowed_requests,
            self.refused_with_capacity / total,
            self.unlimited,
        )

    def _measure_unlimited(self) -> None:
        limited = [
            router.limits.is_limited(endpoint)
            for router in self.routers
            for endpoint in self.endpoints
        ]
        self.unlimited = limited.count(False) / len(limited)


# Alternative ways to divide a rate.


class WholeRequestShares(RateLimits):
    """As many holders as the rate has whole requests per second, as for cold endpoints."""

    def _share(self, incarnation, per_s):
        share = super()._share(incarnation, per_s)
        holders = max(1, min(self._ranks.members, int(per_s)))
        return msgspec.structs.replace(share, holders=holders, interval_s=holders / per_s)


class EqualShares(RateLimits):
    """Each member holds a share."""

    def _share(self, incarnation, per_s):
        members = self._ranks.members
        return RateShare(0, members, members / per_s, 0.0, 0.0)


class CentralLeases(RateLimits):
    """The first-ranked member grants each request; a router that can't reach it sends none."""

    def available_in_s(self, incarnation):
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return 0.0
        if not self.fleet.reaches_first(self.router, incarnation):
            return 1.0
        next_grant_s = self.fleet.granted_s.get(incarnation, -1e9) + 1.0 / max(0.1, limit.per_s)
        return max(0.0, next_grant_s - self._clock())

    def note_sent(self, incarnation):
        self.fleet.granted_s[incarnation] = self._clock()


class NoCoordination(RateLimits):
    """Broken variant: each router uses the whole rate."""

    def _share(self, incarnation, per_s):
        return RateShare(0, 1, 1.0 / per_s, 0.0, 0.0)


class NoUpdates(RateLimits):
    """Broken variant: routers ignore updates of other routers."""

    def merge(self, updates):
        """Ignore updates."""


class LiftOnAnyResponse(RateLimits):
    """Broken variant: any response without a limit lifts it."""

    def note_unlimited(self, incarnation, sent_s):
        return super().note_unlimited(incarnation, 1e9)


class FixedWindows(RateLimits):
    """Broken variant: each holder may send its share of a fixed window in one burst."""

    def available_in_s(self, incarnation):
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return 0.0
        sent = self.__dict__.setdefault("sent", {})
        window = (incarnation, int(self._clock() / WINDOW_S))
        share = self._share(incarnation, limit.per_s)
        return 0.0 if share.is_holder and sent.get(window, 0) < WINDOW_S / share.interval_s else 1.0

    def note_sent(self, incarnation):
        sent = self.__dict__.setdefault("sent", {})
        window = (incarnation, int(self._clock() / WINDOW_S))
        sent[window] = sent.get(window, 0) + 1


def request_bound(scenario: Scenario) -> float:
    """Return the bound on requests in a sliding window: the rate, and one more for each holder.

    Different transit times may move a request of the next interval into the window.
    """
    per_s = max(0.1, scenario.per_s)
    share = RateShare.from_rate(per_s, 0, scenario.routers)
    in_transit = share.holders * (scenario.max_connect_s + _TRANSIT_S[1]) / share.interval_s
    # Isolated routers send probes: at most a quarter of the rate, and at least one.
    probes = max(1.0, WINDOW_S * per_s / 4) if scenario.isolated or scenario.crashed else 0.0
    return per_s * WINDOW_S + share.holders + in_transit + probes + 1e-6


def random_scenario(seed: int) -> Scenario:
    """Return a random scenario."""
    rng = random.Random(seed)
    routers = rng.choice((1, 2, 7, 24, 86))
    endpoints = rng.choice((1, 2, 6))
    per_s = rng.choice((0.0, 0.2, 0.4, 1.0, 1.4, 5.0, 40.0))
    return Scenario(
        routers=routers,
        endpoints=endpoints,
        per_s=per_s,
        demand_per_s=rng.choice((0.5, 2.0, 6.0)) * max(0.5, per_s) * endpoints,
        skewed=rng.random() < 0.2,
        isolated=rng.choice((0.0, 0.0, 0.3, 1.0)),
        crashed=rng.choice((0.0, 0.0, 0.3)),
        paused=rng.choice((0.0, 0.2)),
        max_connect_s=rng.choice((0.0, 0.3)),
        update_delay_s=rng.choice((0.1, 0.4, 2.0)),
        seed=seed,
    )


def main() -> None:
    """Print a table of the variants, or run as many random scenarios as the argument says."""
    if len(sys.argv) > 1:
        for seed in range(int(sys.argv[1])):
            scenario = random_scenario(seed)
            outcome = Fleet(scenario).run()
            if outcome.max_requests > request_bound(scenario):
                sys.stdout.write(
                    f"seed {seed}: {outcome.max_requests} of {request_bound(scenario):.1f} "
                    f"{scenario}\n"
                )
        return
    variants = (RateLimits, CentralLeases, WholeRequestShares, EqualShares, NoCoordination)
    for routers, endpoints in ((7, 2), (24, 6), (86, 6), (300, 6)):
        for per_s in (0.4, 1.4, 5.0):
            for case in ({}, {"skewed": True}, {"isolated": 0.3}):
                demand_per_s = 2.0 * per_s * endpoints
                scenario = Scenario(
                    routers=routers,
                    endpoints=endpoints,
                    per_s=per_s,
                    demand_per_s=demand_per_s,
                    **case,
                )
                cells = []
                for variant in variants:
                    outcome = Fleet(scenario, variant, tracks_capacity=True).run()
                    cells.append(
                        f"{outcome.max_requests} / {outcome.utilization:.2f} / "
                        f"{outcome.refused_with_capacity:.2f}"
                    )
                name = ", ".join(case) or "even"
                sys.stdout.write(f"| {routers} x {endpoints} at {per_s:g}, {name} ")
                sys.stdout.write(f"| {request_bound(scenario):.1f} | {' | '.join(cells)} |\n")
                sys.stdout.flush()


if __name__ == "__main__":
    main()
