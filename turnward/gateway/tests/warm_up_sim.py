# SPDX-License-Identifier: BSD-3-Clause
"""A fleet that sends to cold endpoints, on a clock of its own; each way of dealing out the rate.

Routers draw requests at random moments and send each to the first endpoint of one list that the way
permits: the worst that a choice of endpoints can do. What arrives is counted at the endpoints.
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

#: Seconds that a datagram or request is under way, at least and at most.
_WAY_S = (0.0005, 0.003)
#: Seconds for which a lease of one request is good where leases are asked for.
_LEASE_S = 0.5


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One play.

    Attributes
    ----------
    demand_per_s : float
        Requests that each router draws.
    cut : float
        Share of the routers that hear no other, and are heard by none.
    unread : float
        Share of the routers that have not read the members' table.
    added : int
        Routers that only they themselves and the newest of them know of.
    frozen : float
        Share of the routers that stand still for half a second and then send all at once.
    connect_s : float
        Longest that it takes until a request leaves.
    """

    routers: int
    endpoints: int
    requests_per_s: float = 9.9
    cold_s: float = 3.0
    demand_per_s: float = 2.4
    cut: float = 0.0
    unread: float = 0.0
    added: int = 0
    frozen: float = 0.0
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
    """How one router learns whether it may send."""

    def __init__(self, scenario, fleet, number, book, clock):
        self.scenario = scenario
        self.fleet = fleet
        self.number = number
        self.book = book
        self.clock = clock

    @abstractmethod
    def may_send(self, endpoint: str) -> bool:
        """Tell whether a request may go to a cold endpoint now, and note it if so."""


class ShareStrategy(StrategyBase):
    """The product's way."""

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
    """A broken variant: the rate is shared out among the routers that are heard."""

    def allowance(self, endpoint):
        seen = 1 if self.fleet.is_cut(self.number) else self.fleet.heard
        each_per_s = self.scenario.requests_per_s / max(1, seen)
        return Allowance(1.0 / each_per_s, 0, seen)


class NoRampStrategy(ShareStrategy):
    """A broken variant: all routers choose the endpoint as soon as its cold time is over."""

    def may_send(self, endpoint):
        if self.warm_ups[endpoint].cold_for_s <= 0:
            return True
        return super().may_send(endpoint)


class UninformedStrategy(ShareStrategy):
    """A broken variant: routers are not told that an endpoint is cold, and find out by sending."""

    def may_send(self, endpoint):
        return True


class LeaseStrategy(StrategyBase):
    """The other way weighed: the first member in rank grants each request."""

    def may_send(self, endpoint):
        holder = self.fleet.holder(endpoint, self.number)
        if holder is None:
            return False
        now_s = self.clock()
        free_s = self.fleet.lease_free_s.get((holder, endpoint), -1e9)
        if now_s < free_s:
            return False
        self.fleet.lease_free_s[holder, endpoint] = now_s + 1.0 / self.scenario.requests_per_s
        self.fleet.lease_calls += 1
        return True


class Outcome(msgspec.Struct, frozen=True):
    """What a play showed.

    Attributes
    ----------
    most_in_a_second : int
        The most requests that a cold endpoint got in a sliding second.
    served : int
        Requests that cold endpoints took in their cold time.
    step : int
        The most that a just warm endpoint got in 0.2 s.
    """

    most_in_a_second: int
    served: int
    step: int


class Fleet:
    """The routers of a play and the endpoints' counts."""

    def __init__(self, scenario: Scenario, way: type[StrategyBase]):
        self.scenario = scenario
        self.draw = random.Random(scenario.seed)
        self.clock = Clock()
        self.endpoints = [f"e-{number}-{scenario.seed}" for number in range(scenario.endpoints)]
        self.arrivals = {endpoint: [] for endpoint in self.endpoints}
        count = scenario.routers
        self._cut = set(self.draw.sample(range(count), int(scenario.cut * count)))
        self._unread = set(self.draw.sample(range(count), int(scenario.unread * count)))
        self._frozen = set(self.draw.sample(range(count), int(scenario.frozen * count)))
        self.heard = count - len(self._cut)
        self.lease_free_s = {}
        self.lease_calls = 0
        self.addresses = [f"10.0.{n // 250}.{n % 250}:1" for n in range(count + scenario.added)]
        self.routers = [
            way(scenario, self, number, self._book(number), self.clock)
            for number in range(count + scenario.added)
        ]
        self._holders = {}

    def is_cut(self, number: int) -> bool:
        return number in self._cut

    def _book(self, number: int) -> PeerBook:
        book = PeerBook(self.addresses[number], self.clock)
        newcomer = number >= self.scenario.routers
        for other, address in enumerate(self.addresses):
            if newcomer or other < self.scenario.routers:
                book.add_member(address, "z")
        book.members_read = number not in self._unread
        return book

    def holder(self, endpoint: str, asker: int) -> int | None:
        """Return who grants an endpoint's leases to a router; None when it is not reached."""
        newcomer = asker >= self.scenario.routers
        known = len(self.addresses) if newcomer else self.scenario.routers
        key = (endpoint, known)
        if key not in self._holders:
            self._holders[key] = max(
                range(known),
                key=lambda number: rendezvous_weight(endpoint, self.addresses[number]),
            )
        holder = self._holders[key]
        if holder != asker and (self.is_cut(holder) or self.is_cut(asker)):
            return None
        return holder

    def run(self, until_s: float) -> Outcome:
        """Let time pass; each request goes to the first endpoint that it may."""
        scenario = self.scenario
        events = []
        for number in range(len(self.routers)):
            self._draw_next(events, number, 0.0)
        while events:
            at_s, number = heapq.heappop(events)
            if at_s > until_s:
                break
            self.clock.now_s = max(self.clock.now_s, at_s)
            self._draw_next(events, number, at_s)
            if number in self._frozen and 1.0 <= at_s < 1.5:
                heapq.heappush(events, (1.5, number))
                continue
            for endpoint in self.endpoints:
                if self.routers[number].may_send(endpoint):
                    delay_s = self.draw.uniform(*_WAY_S) + self.draw.uniform(0, scenario.connect_s)
                    self.arrivals[endpoint].append((self.clock.now_s, delay_s))
                    break
        return self._outcome()

    def _draw_next(self, events, number: int, at_s: float) -> None:
        if at_s == 1.5 and number in self._frozen:
            return
        heapq.heappush(events, (at_s + self.draw.expovariate(self.scenario.demand_per_s), number))

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
    """Return the most requests in a sliding second: the rate, and what newcomers and delays add.

    A router that the others do not know yet may take the place of one that goes on; delays that
    differ bring requests of two seconds together.
    """
    chosen = max(1, min(scenario.routers, int(scenario.requests_per_s)))
    replaced = min(chosen, scenario.added)
    late = math.ceil((chosen + replaced) * (scenario.connect_s + _WAY_S[1]))
    return max(1.0, scenario.requests_per_s) + replaced + late


def random_scenario(seed: int) -> Scenario:
    """Return a play in which all that may differ is drawn."""
    draw = random.Random(seed)
    routers = draw.choice((2, 3, 7, 20, 86))
    return Scenario(
        routers=routers,
        endpoints=draw.randint(1, 8),
        requests_per_s=draw.choice((0.5, 1.0, 4.0, 9.9, 19.9, 40.0)),
        cold_s=draw.choice((1.0, 3.0, 5.0)),
        demand_per_s=draw.choice((0.5, 2.4, 10.0)),
        cut=draw.choice((0.0, 0.3, 1.0)),
        unread=draw.choice((0.0, 0.2)),
        added=draw.randint(0, max(1, routers // 8)),
        frozen=draw.choice((0.0, 0.1)),
        connect_s=draw.choice((0.0, 0.3)),
        seed=seed,
    )


CASES = {
    "all live": {},
    "a third cut off": {"cut": 0.34},
    "each reaches no other": {"cut": 1.0},
    "a fifth has not read the members": {"unread": 0.2},
    "a tenth added, not known to all": {"added": 0.1},
    "a tenth stands still for 0.5 s": {"frozen": 0.1},
    "connections take up to 0.3 s": {"connect_s": 0.3},
}

SIZES = ((7, 2), (86, 45), (300, 90))


def scenarios(routers: int, endpoints: int, seed: int = 0):
    """Return each case's name and play at a size."""
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
    """Print the table of the ways, or play as many random fleets as the argument says."""
    if len(sys.argv) > 1:
        _play_random(int(sys.argv[1]))
        return
    ways = (
        ShareStrategy,
        LeaseStrategy,
        ShareOfVisiblePeersStrategy,
        NoRampStrategy,
        UninformedStrategy,
    )
    for routers, endpoints in SIZES:
        for name, scenario in scenarios(routers, endpoints):
            for way in ways:
                fleet = Fleet(scenario, way)
                outcome = fleet.run(scenario.cold_s + 1.0)
                sys.stdout.write(
                    f"| {routers} x {endpoints} | {name} | {way.__name__} "
                    f"| {outcome.most_in_a_second} | {outcome.served} | {outcome.step} "
                    f"| {fleet.lease_calls} |\n"
                )
                sys.stdout.flush()


def _play_random(count: int) -> None:
    broken = 0
    for seed in range(count):
        scenario = random_scenario(seed)
        most = Fleet(scenario, ShareStrategy).run(scenario.cold_s + 1.0).most_in_a_second
        if most > stated_limit(scenario):
            broken += 1
            sys.stdout.write(
                f"seed {seed}: {most} in a second, {stated_limit(scenario):.1f} allowed\n"
            )
    sys.stdout.write(f"{count} plays, {broken} broken\n")


if __name__ == "__main__":
    main()
