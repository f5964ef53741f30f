# SPDX-License-Identifier: BSD-3-Clause
"""A fleet before endpoints that name a rate, on a clock of its own; ways of dealing the rate out.

Routers draw requests at random moments and send each to the first endpoint of a list of their own
that the way permits. What arrives is counted at the endpoints.
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

__all__ = ["Fleet", "Outcome", "Play", "random_play", "stated_limit"]

#: Seconds that a request or datagram is under way, at least and at most.
_WAY_S = (0.0005, 0.003)
#: Seconds for which a request runs until its answer's head.
_RUN_S = 0.05
#: Seconds between two rounds of word among routers.
_PERIOD_S = 0.1
#: Span in which requests are counted, in seconds.
SPAN_S = 4.0
#: Seconds after a router was told from which its requests count.
SETTLED_S = 0.5
#: Rounds of word after which all routers that are heard know.
_ROUNDS = 3
#: Seconds after limits were lifted at which all routers should know so.
BACK_S = 3.0


class Play(msgspec.Struct, frozen=True, kw_only=True):
    """One play.

    Attributes
    ----------
    demand_per_s : float
        Requests that all routers together draw.
    skewed : bool
        Whether all requests come at one router.
    cut : float
        Share of the routers that hear no other, and are heard by none.
    dead : float
        Share of the members that live no more.
    frozen : float
        Share of the routers that stand still for a second and then send all at once.
    connect_s : float
        Longest that it takes until a request leaves.
    word_s : float
        How old word of other routers is.
    lifted_s : float
        When the endpoints stop to name a limit.
    """

    routers: int
    endpoints: int
    per_s: float
    demand_per_s: float
    skewed: bool = False
    cut: float = 0.0
    dead: float = 0.0
    frozen: float = 0.0
    connect_s: float = 0.0
    word_s: float = 0.2
    lasts_s: float = 20.0
    lifted_s: float = 1e9
    seed: int = 0


class Outcome(msgspec.Struct, frozen=True):
    """What a play showed.

    Attributes
    ----------
    most : int
        The most requests that an endpoint got in a sliding span.
    used : float
        Share of what the limits allow that was sent, once settled.
    refused_with_room : float
        Share of the requests that were refused though some endpoint had got less in the span
        before than its rate allows; 0 where nobody watches.
    free : float
        Share of what routers know of endpoints that was free of a limit a while after all were
        lifted.
    """

    most: int
    used: float
    refused_with_room: float
    free: float


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


class Router:
    """One router: its limits, and which endpoints it prefers."""

    def __init__(self, fleet, number, limits_type):
        play = fleet.play
        self.number = number
        self.cut = number in fleet.cut
        self.frozen = number in fleet.frozen
        book = PeerBook(fleet.addresses[number], fleet.clock)
        for address in fleet.addresses:
            book.add_member(address, "z")
        book.members_read = True
        self.limits = limits_type(fleet.clock, MemberRanks(book), f"r-{number}")
        #: For ways that ask another router.
        self.limits.router, self.limits.fleet = self, fleet
        self.opening = {endpoint: 0 for endpoint in fleet.endpoints}
        self.order = fleet.draw.sample(fleet.endpoints, play.endpoints)
        self.told_s = {}

    def knows_for_s(self, endpoint, now_s):
        """Return for how long the endpoint has named a limit to this router."""
        return now_s - self.told_s.get(endpoint, 1e9)

    def permits(self, endpoint):
        if not self.limits.is_limited(endpoint):
            return True
        return not self.opening[endpoint] and self.limits.opens_in_s(endpoint) <= 0


class Fleet:
    """The routers of a play and the endpoints' counts."""

    def __init__(self, play: Play, limits_type=RateLimits, watches_room=False):
        self.play = play
        self._watches_room = watches_room
        self.draw = random.Random(play.seed)
        self.clock = Clock()
        count = play.routers
        self.endpoints = [f"e-{number}-{play.seed}" for number in range(play.endpoints)]
        self.arrivals = {endpoint: [] for endpoint in self.endpoints}
        self.addresses = [f"10.0.{n // 250}.{n % 250}:1" for n in range(count)]
        living = list(range(count))
        self.draw.shuffle(living)
        living = sorted(living[int(play.dead * count) :])
        self.cut = set(self.draw.sample(living, int(play.cut * len(living))))
        self.frozen = set(self.draw.sample(living, int(play.frozen * len(living))))
        self.routers = [Router(self, number, limits_type) for number in living]
        self.told_s = {}
        self.leased_s = {}
        self.refused = self.refused_with_room = 0
        self.free = 0.0
        self._events = []
        self._number = 0

    def run(self) -> Outcome:
        """Let time pass."""
        play = self.play
        for router in self.routers[:1] if play.skewed else self.routers:
            self._draw_next(router)
        for router in self.routers:
            self._at(self.draw.uniform(0, _PERIOD_S), partial(self._tell, router))
        if play.lifted_s < play.lasts_s:
            self._at(play.lifted_s + BACK_S, self._look_who_is_free)
        while self._events and self._events[0][0] <= self.play.lasts_s:
            at_s, _, act = heapq.heappop(self._events)
            self.clock.now_s = at_s
            act()
        return self._outcome()

    def _at(self, at_s, act):
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, act))

    def _draw_next(self, router):
        drawing = 1 if self.play.skewed else len(self.routers)
        pause_s = self.draw.expovariate(self.play.demand_per_s / drawing)
        self._at(self.clock() + pause_s, partial(self._request, router))

    def _request(self, router):
        self._draw_next(router)
        if router.frozen and 8.0 <= self.clock() < 9.0:
            self._at(9.0, partial(self._dispatch, router))
        else:
            self._dispatch(router)

    def _dispatch(self, router, tried=()):
        for endpoint in router.order:
            if endpoint not in tried and router.permits(endpoint):
                router.opening[endpoint] += 1
                connect_s = self.draw.uniform(0, self.play.connect_s)
                self._at(self.clock() + connect_s, partial(self._send, router, endpoint, tried))
                return
        if not tried:
            self.refused += 1
            self.refused_with_room += self._watches_room and self._has_room()

    def _send(self, router, endpoint, tried):
        router.opening[endpoint] -= 1
        if router.limits.opens_in_s(endpoint) > 0:
            self._dispatch(router, (*tried, endpoint))
            return
        sent_s = self.clock()
        router.limits.note_sent(endpoint)
        # One that nobody tells, and that was not told itself, can't know.
        if not router.cut or router.knows_for_s(endpoint, sent_s) > SETTLED_S:
            self.arrivals[endpoint].append(sent_s + self.draw.uniform(*_WAY_S))
        self._at(sent_s + _RUN_S, partial(self._answer, router, endpoint, sent_s))

    def _answer(self, router, endpoint, sent_s):
        if self.clock() < self.play.lifted_s:
            self.told_s.setdefault(endpoint, self.clock())
            router.limits.name(endpoint, self.play.per_s)
            router.told_s.setdefault(endpoint, self.clock())
        else:
            router.limits.note_unlimited(endpoint, sent_s)

    def _tell(self, router):
        self._at(self.clock() + _PERIOD_S, partial(self._tell, router))
        if router.cut:
            return
        told = router.limits.told()
        # As far as a round of word reaches: some others hear this router itself, all do in a while.
        others = self.draw.sample(self.routers, min(12, len(self.routers)))
        for other in others:
            if not other.cut and other is not router:
                self._at(self.clock() + self.play.word_s, partial(other.limits.take_in, told))

    def reaches_first(self, router, endpoint) -> bool:
        """Tell whether a router reaches the first member in rank for an endpoint."""
        first = max(self.addresses, key=lambda one: rendezvous_weight(endpoint, one))
        holders = [one for one in self.routers if self.addresses[one.number] == first]
        return bool(holders) and (holders[0] is router or not (holders[0].cut or router.cut))

    def _has_room(self) -> bool:
        since_s = self.clock() - SPAN_S
        allowed = self.play.per_s * SPAN_S
        return any(
            sum(time_s > since_s for time_s in times[-200:]) < allowed - 1
            for times in self.arrivals.values()
        )

    def _outcome(self) -> Outcome:
        play = self.play
        end_s = min(play.lasts_s, play.lifted_s)
        most, sent = 0, 0
        for endpoint, arrivals in self.arrivals.items():
            known_s = SETTLED_S + _ROUNDS * (play.word_s + _PERIOD_S)
            settled_s = self.told_s.get(endpoint, 1e9) + known_s
            times = sorted(time_s for time_s in arrivals if settled_s < time_s < end_s)
            most = max(most, max_in_window(times, SPAN_S))
            sent += sum(time_s > end_s / 2 for time_s in times)
        allowed = max(0.1, play.per_s) * play.endpoints * end_s / 2
        drawn = max(1, self.refused + sum(len(times) for times in self.arrivals.values()))
        return Outcome(most, sent / allowed, self.refused_with_room / drawn, self.free)

    def _look_who_is_free(self) -> None:
        known = [
            router.limits.is_limited(endpoint)
            for router in self.routers
            for endpoint in self.endpoints
        ]
        self.free = known.count(False) / len(known)


# Ways of dealing a rate out.


class ByWholeRequests(RateLimits):
    """As cold endpoints are dealt out: as many holders as the rate has whole requests a second."""

    def _share(self, incarnation, per_s):
        share = super()._share(incarnation, per_s)
        holders = max(1, min(self._ranks.members, int(per_s)))
        return msgspec.structs.replace(share, holders=holders, interval_s=holders / per_s)


class ByAllMembers(RateLimits):
    """Each member holds a part."""

    def _share(self, incarnation, per_s):
        members = self._ranks.members
        return RateShare(0, members, members / per_s, 0.0, 0.0)


class ByLeases(RateLimits):
    """The first member in rank grants each request; whoever can't reach it sends none."""

    def opens_in_s(self, incarnation):
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return 0.0
        if not self.fleet.reaches_first(self.router, incarnation):
            return 1.0
        free_s = self.fleet.leased_s.get(incarnation, -1e9) + 1.0 / max(0.1, limit.per_s)
        return max(0.0, free_s - self._clock())

    def note_sent(self, incarnation):
        self.fleet.leased_s[incarnation] = self._clock()


class ByRouterAlone(RateLimits):
    """A broken variant: each router keeps to the whole rate by itself."""

    def _share(self, incarnation, per_s):
        return RateShare(0, 1, 1.0 / per_s, 0.0, 0.0)


class ByOwnWord(RateLimits):
    """A broken variant: routers know only what they were told themselves."""

    def take_in(self, told):
        """Pass over what others tell."""


class ForgetsAtEachAnswer(RateLimits):
    """A broken variant: any answer without a limit lifts it."""

    def note_unlimited(self, incarnation, sent_s):
        return super().note_unlimited(incarnation, 1e9)


class BySecond(RateLimits):
    """A broken variant: each holder may send its part of a span at once, in spans of the clock."""

    def opens_in_s(self, incarnation):
        limit = self._limits.get(incarnation)
        if limit is None or limit.per_s is None:
            return 0.0
        sent = self.__dict__.setdefault("sent", {})
        span = (incarnation, int(self._clock() / SPAN_S))
        share = self._share(incarnation, limit.per_s)
        return 0.0 if share.holds and sent.get(span, 0) < SPAN_S / share.interval_s else 1.0

    def note_sent(self, incarnation):
        sent = self.__dict__.setdefault("sent", {})
        span = (incarnation, int(self._clock() / SPAN_S))
        sent[span] = sent.get(span, 0) + 1


def stated_limit(play: Play) -> float:
    """Return the most requests in a sliding span: the rate, and one more for each holder.

    Ways of different length bring a request of the next interval into a span.
    """
    per_s = max(0.1, play.per_s)
    share = RateShare.from_rate(per_s, 0, play.routers)
    late = share.holders * (play.connect_s + _WAY_S[1]) / share.interval_s
    # Routers that hear nobody ask for themselves: a quarter of the rate, and one at the least.
    asking = max(1.0, SPAN_S * per_s / 4) if play.cut or play.dead else 0.0
    return per_s * SPAN_S + share.holders + late + asking + 1e-6


def random_play(seed: int) -> Play:
    """Return a play in which all that may differ is drawn."""
    draw = random.Random(seed)
    routers = draw.choice((1, 2, 7, 24, 86))
    endpoints = draw.choice((1, 2, 6))
    per_s = draw.choice((0.0, 0.2, 0.4, 1.0, 1.4, 5.0, 40.0))
    return Play(
        routers=routers,
        endpoints=endpoints,
        per_s=per_s,
        demand_per_s=draw.choice((0.5, 2.0, 6.0)) * max(0.5, per_s) * endpoints,
        skewed=draw.random() < 0.2,
        cut=draw.choice((0.0, 0.0, 0.3, 1.0)),
        dead=draw.choice((0.0, 0.0, 0.3)),
        frozen=draw.choice((0.0, 0.2)),
        connect_s=draw.choice((0.0, 0.3)),
        word_s=draw.choice((0.1, 0.4, 2.0)),
        seed=seed,
    )


def main() -> None:
    """Print the table of the ways, or play as many random fleets as the argument says."""
    if len(sys.argv) > 1:
        for seed in range(int(sys.argv[1])):
            play = random_play(seed)
            outcome = Fleet(play).run()
            if outcome.most > stated_limit(play):
                sys.stdout.write(
                    f"seed {seed}: {outcome.most} of {stated_limit(play):.1f} {play}\n"
                )
        return
    ways = (RateLimits, ByLeases, ByWholeRequests, ByAllMembers, ByRouterAlone)
    for routers, endpoints in ((7, 2), (24, 6), (86, 6), (300, 6)):
        for per_s in (0.4, 1.4, 5.0):
            for case in ({}, {"skewed": True}, {"cut": 0.3}):
                demand = 2.0 * per_s * endpoints
                play = Play(
                    routers=routers, endpoints=endpoints, per_s=per_s, demand_per_s=demand, **case
                )
                cells = []
                for way in ways:
                    got = Fleet(play, way, watches_room=True).run()
                    cells.append(f"{got.most} / {got.used:.2f} / {got.refused_with_room:.2f}")
                name = ", ".join(case) or "even"
                sys.stdout.write(f"| {routers} x {endpoints} at {per_s:g}, {name} ")
                sys.stdout.write(f"| {stated_limit(play):.1f} | {' | '.join(cells)} |\n")
                sys.stdout.flush()


if __name__ == "__main__":
    main()
