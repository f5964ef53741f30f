# SPDX-License-Identifier: BSD-3-Clause
"""Simulates a fleet that sends to cold endpoints, with several strategies of dividing the rate.

Routers create requests at random times and send each to the first endpoint in a common list that
the strategy permits, which is the worst case for a choice of endpoints. The simulation has a clock
of its own and counts the arrivals at each endpoint.
"""

import heapq
import math
import random
import sys
from abc import ABC, abstractmethod

import msgspec

from turnward.gateway.configuration import WarmUpTraits
from turnward.gateway.member_ranks import MemberRanks
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.tests.feedback_simulation import max_in_window
from turnward.gateway.warm_up import Allowance, WarmUp, WarmUpShares
from turnward.hashing import rendezvous_weight

#: Shortest and longest delivery time of a request.
_DELIVERY_S = (0.0005, 0.003)
#: Lifetime of a lease for one request.
_LEASE_S = 0.5


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of one simulation.

    Attributes
    ----------
    demand_per_s : float
        Requests that each router creates per second.
    partitioned : float
        Share of the routers that cannot communicate with any other.
    unread : float
        Share of the routers that have not read the members' table.
    added : int
        Number of new routers, of which only the new ones know.
    paused : float
        Share of the routers that pause for half a second and then send everything at once.
    connect_s : float
        Longest time to open a connection.
    """

    routers: int
    endpoints: int
    requests_per_s: float = 9.9
    cold_s: float = 3.0
    demand_per_s: float = 2.4
    partitioned: float = 0.0
    unread: float = 0.0
    added: int = 0
    paused: float = 0.0
    connect_s: float = 0.0
    seed: int = 0

    @property
    def traits(self) -> WarmUpTraits:
        return WarmUpTraits(cold_s=self.cold_s, requests_per_s=self.requests_per_s)


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


class StrategyBase(ABC):
    """Decides whether one router may send a request."""

    def __init__(self, scenario, fleet, number, book, clock):
        self.scenario = scenario
        self.fleet = fleet
        self.number = number
        self.book = book
        self.clock = clock

    @abstractmethod
    def may_send(self, endpoint: str) -> bool:
        """Return whether a request may be sent to a cold endpoint now, and record it if so."""


class ShareStrategy(StrategyBase):
    """The strategy in use: a fixed share of the rate for each router."""

    def __init__(self, *args):
        super().__init__(*args)
        self.shares = WarmUpShares(MemberRanks(self.book))
        self.warm_ups = {endpoint: WarmUp(self.clock) for endpoint in self.fleet.endpoints}
        for warm_up in self.warm_ups.values():
            warm_up.note_cold(self.scenario.cold_s)

    def allowance(self, endpoint: str) -> Allowance:
        return self.shares.allowance(endpoint, self.scenario.requests_per_s)

    def may_send(self, endpoint):
        warm_up = self.warm_ups[endpoint]
        if not warm_up.permits(self.allowance(endpoint)):
            return False
        warm_up.note_sent()
        return True


class ShareOfVisiblePeersStrategy(ShareStrategy):
    """A broken variant: the rate is divided among the reachable routers."""

    def allowance(self, endpoint):
        reachable = 1 if self.fleet.is_partitioned(self.number) else self.fleet.reachable
        each_per_s = self.scenario.requests_per_s / max(1, reachable)
        return Allowance(1.0 / each_per_s, 0, reachable)


class NoRampStrategy(ShareStrategy):
    """A broken variant: all routers choose the endpoint as soon as its cold time is over."""

    def may_send(self, endpoint):
        if self.warm_ups[endpoint].cold_for_s <= 0:
            return True
        return super().may_send(endpoint)


class UninformedStrategy(ShareStrategy):
    """A broken variant: routers do not know that an endpoint is cold."""

    def may_send(self, endpoint):
        return True


class LeaseStrategy(StrategyBase):
    """An alternative: the member that ranks first grants a lease for each request."""

    def may_send(self, endpoint):
        holder = self.fleet.holder(endpoint, self.number)
        if holder is None:
            return False
        now_s = self.clock()
        next_s = self.fleet.lease_next_s.get((holder, endpoint), -1e9)
        if now_s < next_s:
            return False
        self.fleet.lease_next_s[holder, endpoint] = now_s + 1.0 / self.scenario.requests_per_s
        self.fleet.lease_calls += 1
        return True


class Outcome(msgspec.Struct, frozen=True):
    """Result of a simulation.

    Attributes
    ----------
    max_per_second : int
        Most requests that a cold endpoint received in a sliding second.
    served : int
        Requests that the endpoints received in their cold time.
    step : int
        Most requests that an endpoint received in 0.2 s shortly after its cold time.
    """

    max_per_second: int
    served: int
    step: int


class Fleet:
    """The routers of a simulation and the arrivals at the endpoints."""

    def __init__(self, scenario: Scenario, strategy: type[StrategyBase]):
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.clock = Clock()
        self.endpoints = [f"e-{number}-{scenario.seed}" for number in range(scenario.endpoints)]
        self.arrivals = {endpoint: [] for endpoint in self.endpoints}
        count = scenario.routers
        self._partitioned = set(self.rng.sample(range(count), int(scenario.partitioned * count)))
        self._unread = set(self.rng.sample(range(count), int(scenario.unread * count)))
        self._paused = set(self.rng.sample(range(count), int(scenario.paused * count)))
        self.reachable = count - len(self._partitioned)
        self.lease_next_s = {}
        self.lease_calls = 0
        self.addresses = [f"10.0.{n // 250}.{n % 250}:1" for n in range(count + scenario.added)]
        self.routers = [
            strategy(scenario, self, number, self._book(number), self.clock)
            for number in range(count + scenario.added)
        ]
        self._holders = {}

    def is_partitioned(self, number: int) -> bool:
        return number in self._partitioned

    def _book(self, number: int) -> PeerBook:
        book = PeerBook(self.addresses[number], self.clock)
        newcomer = number >= self.scenario.routers
        for other, address in enumerate(self.addresses):
            if newcomer or other < self.scenario.routers:
                book.add_member(address, "z")
        book.members_read = number not in self._unread
        return book

    def holder(self, endpoint: str, requester: int) -> int | None:
        """Return which router grants an endpoint's leases; None if it is unreachable."""
        newcomer = requester >= self.scenario.routers
        known = len(self.addresses) if newcomer else self.scenario.routers
        key = (endpoint, known)
        if key not in self._holders:
            self._holders[key] = max(
                range(known),
                key=lambda number: rendezvous_weight(endpoint, self.addresses[number]),
            )
        holder = self._holders[key]
        if holder != requester and (self.is_partitioned(holder) or self.is_partitioned(requester)):
            return None
        return holder

    def run(self, until_s: float) -> Outcome:
        """Run the simulation; each request goes to the first endpoint that the strategy permits."""
        scenario = self.scenario
        events = []
        for number in range(len(self.routers)):
            self._schedule_next(events, number, 0.0)
        while events:
            at_s, number = heapq.heappop(events)
            if at_s > until_s:
                break
            self.clock.now_s = max(self.clock.now_s, at_s)
            self._schedule_next(events, number, at_s)
            if number in self._paused and 1.0 <= at_s < 1.5:
                heapq.heappush(events, (1.5, number))
                continue
            for endpoint in self.endpoints:
                if self.routers[number].may_send(endpoint):
                    delay_s = self.rng.uniform(*_DELIVERY_S) + self.rng.uniform(
                        0, scenario.connect_s
                    )
                    self.arrivals[endpoint].append((self.clock.now_s, delay_s))
                    break
        return self._outcome()

    def _schedule_next(self, events, number: int, at_s: float) -> None:
        if at_s == 1.5 and number in self._paused:
            return
        heapq.heappush(events, (at_s + self.rng.expovariate(self.scenario.demand_per_s), number))

    def _outcome(self) -> Outcome:
        cold_s = self.scenario.cold_s
        most = served = step = 0
        for arrivals in self.arrivals.values():
            times = sorted(sent_s + delay_s for sent_s, delay_s in arrivals)
            cold = [time_s for time_s in times if time_s < cold_s]
            served += len(cold)
            most = max(most, max_in_window(cold, 1.0))
            warm = [time_s for time_s in times if cold_s <= time_s < cold_s + 0.4]
            step = max(step, max_in_window(warm, 0.2))
        return Outcome(most, served, step)


def stated_limit(scenario: Scenario) -> float:
    """Return the upper bound of requests in a sliding second: the rate plus two allowances.

    A new router that others do not know yet may send in addition to the one that it replaces, and
    varying delays bring requests from different seconds together.
    """
    senders = max(1, min(scenario.routers, int(scenario.requests_per_s)))
    replaced = min(senders, scenario.added)
    delayed = math.ceil((senders + replaced) * (scenario.connect_s + _DELIVERY_S[1]))
    return max(1.0, scenario.requests_per_s) + replaced + delayed


def random_scenario(seed: int) -> Scenario:
    """Return a scenario with randomly chosen parameters."""
    rng = random.Random(seed)
    routers = rng.choice((2, 3, 7, 20, 86))
    return Scenario(
        routers=routers,
        endpoints=rng.randint(1, 8),
        requests_per_s=rng.choice((0.5, 1.0, 4.0, 9.9, 19.9, 40.0)),
        cold_s=rng.choice((1.0, 3.0, 5.0)),
        demand_per_s=rng.choice((0.5, 2.4, 10.0)),
        partitioned=rng.choice((0.0, 0.3, 1.0)),
        unread=rng.choice((0.0, 0.2)),
        added=rng.randint(0, max(1, routers // 8)),
        paused=rng.choice((0.0, 0.1)),
        connect_s=rng.choice((0.0, 0.3)),
        seed=seed,
    )


CASES = {
    "all routers live": {},
    "a third partitioned": {"partitioned": 0.34},
    "no router reaches another": {"partitioned": 1.0},
    "a fifth has not read the members' table": {"unread": 0.2},
    "a tenth added, not known to the others": {"added": 0.1},
    "a tenth paused for 0.5 s": {"paused": 0.1},
    "connections take up to 0.3 s": {"connect_s": 0.3},
}

SIZES = ((7, 2), (86, 45), (300, 90))


def scenarios(routers: int, endpoints: int, seed: int = 0):
    """Yield the name and scenario of each case for a fleet size."""
    for name, fields in CASES.items():
        fields = dict(fields)
        if "added" in fields:
            fields["added"] = max(1, int(fields["added"] * routers))
        demand = 210.0 * endpoints / 45 / routers
        yield (
            name,
            Scenario(
                routers=routers, endpoints=endpoints, demand_per_s=demand, seed=seed, **fields
            ),
        )


def main() -> None:
    """Print a table of all strategies, or check as many random scenarios as the argument says."""
    if len(sys.argv) > 1:
        _run_random(int(sys.argv[1]))
        return
    strategies = (
        ShareStrategy,
        LeaseStrategy,
        ShareOfVisiblePeersStrategy,
        NoRampStrategy,
        UninformedStrategy,
    )
    for routers, endpoints in SIZES:
        for name, scenario in scenarios(routers, endpoints):
            for strategy in strategies:
                fleet = Fleet(scenario, strategy)
                outcome = fleet.run(scenario.cold_s + 1.0)
                sys.stdout.write(
                    f"| {routers} x {endpoints} | {name} | {strategy.__name__} "
                    f"| {outcome.max_per_second} | {outcome.served} | {outcome.step} "
                    f"| {fleet.lease_calls} |\n"
                )
                sys.stdout.flush()


def _run_random(count: int) -> None:
    exceeded = 0
    for seed in range(count):
        scenario = random_scenario(seed)
        most = Fleet(scenario, ShareStrategy).run(scenario.cold_s + 1.0).max_per_second
        if most > stated_limit(scenario):
            exceeded += 1
            sys.stdout.write(
                f"seed {seed}: {most} in a second, {stated_limit(scenario):.1f} allowed\n"
            )
    sys.stdout.write(f"{count} scenarios, {exceeded} exceeded the limit\n")


if __name__ == "__main__":
    main()
