# SPDX-License-Identifier: BSD-3-Clause
"""Urgent requests get a workspace's tokens although dear, less urgent ones come first.

Played load: callers ask for 1.4 times the limit. The least urgent requests need most of it, come in
a burst early on, and have used up the limit long before the end in the order of arrival.
"""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from turnward.pacing import PacedRequest, TokenSupply, Unpaced, UrgencyPacer, make_token_pacer

URGENT, MIDDLE, DEAR = 0, 1, 2
#: Mean tokens of a request, and requests per second.
KINDS = {URGENT: (1_700, 10.0), MIDDLE: (2_400, 3.0), DEAR: (12_000, 2.0)}
BURST_S = (5.0, 11.0)
BURST_FACTOR = 2.5
END_S = 50.0
LIMIT_TOKENS = 1_920_000


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


class Arrival(msgspec.Struct, frozen=True):
    """A request of the played load."""

    at_s: float
    priority: int
    tokens: int


def arrivals(seed=1, kinds=None):
    """Return the requests of the load in order; sizes vary fivefold within a kind."""
    rng = random.Random(seed)
    load = []
    for priority, (tokens, rate) in (kinds or KINDS).items():
        now_s = 0.0
        while True:
            burst = priority == DEAR and BURST_S[0] <= now_s < BURST_S[1]
            now_s += rng.expovariate(rate * (BURST_FACTOR if burst else 1.0))
            if now_s >= END_S:
                break
            load.append(Arrival(now_s, priority, int(tokens * rng.uniform(1 / 3, 5 / 3))))
    return sorted(load, key=lambda arrival: arrival.at_s)


class Played(msgspec.Struct):
    """What became of the requests: served, refused until later, and refused as nothing is left."""

    served: list[Arrival]
    paced: list[tuple[Arrival, float]]
    short: list[Arrival]
    limit: int

    def share(self, priority, of=lambda arrival: True):
        """Return the share of a kind's requests that were served."""
        served = sum(arrival.priority == priority and of(arrival) for arrival in self.served)
        refused = [arrival for arrival, _ in self.paced] + self.short
        return served / (served + sum(a.priority == priority and of(a) for a in refused))

    @property
    def used(self):
        return sum(arrival.tokens for arrival in self.served)


def play(make_pacer, load, holders=1, limit=LIMIT_TOKENS, raise_at=None, new_holder_at_s=None):
    """Play a load against holders that share one limit, and are asked in turn."""
    clock = Clock()
    pacers = [make_pacer(clock) for _ in range(holders)]
    played = Played([], [], [], limit)
    used = 0
    for number, arrival in enumerate(load):
        clock.now_s = arrival.at_s
        if raise_at is not None and arrival.at_s >= raise_at[0]:
            played.limit, raise_at = played.limit + raise_at[1], None
        if new_holder_at_s is not None and arrival.at_s >= new_holder_at_s:
            pacers[0], new_holder_at_s = make_pacer(clock), None
        remaining = played.limit - used
        if arrival.tokens > remaining:
            played.short.append(arrival)
            continue
        supply = TokenSupply(limit_tokens=played.limit, remaining_tokens=remaining, holders=holders)
        request = PacedRequest(workspace="w", tokens=arrival.tokens, priority=arrival.priority)
        delay_s = pacers[number % holders].delay_s(request, supply)
        if delay_s > 0:
            played.paced.append((arrival, delay_s))
            continue
        played.served.append(arrival)
        used += arrival.tokens
    assert used == played.used <= played.limit
    return played


def unpaced(clock):
    return Unpaced()


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("holders", [1, 2])
def test_urgent_requests_are_served_to_the_end_of_a_load_beyond_the_limit(seed, holders):
    load = arrivals(seed)
    assert sum(a.tokens for a in load) > 1.3 * LIMIT_TOKENS
    assert play(unpaced, load).share(URGENT) < 0.8
    played = play(UrgencyPacer, load, holders)
    assert played.share(URGENT) > 0.99
    assert played.share(MIDDLE) >= played.share(DEAR) - 0.05
    assert played.used > 0.85 * LIMIT_TOKENS


@pytest.mark.parametrize("seed", range(5))
def test_no_kind_and_no_size_starves(seed):
    load = arrivals(seed)
    played = play(UrgencyPacer, load, holders=2)
    for priority, (tokens, _) in KINDS.items():
        assert played.share(priority) > 0.25 * len(played.served) / len(load)
        largest = played.share(priority, lambda a, least=1.5 * tokens: a.tokens > least)
        assert largest > 0.5 * played.share(priority)


def test_rate_of_less_urgent_requests_falls_gradually():
    played = play(UrgencyPacer, arrivals(), holders=2)
    served_s = [arrival.at_s for arrival in played.served if arrival.priority == DEAR]
    first_paced_s = min(a.at_s for a, _ in played.paced if a.priority == DEAR)
    # Between all and none, some are served for longer than callers wait on average.
    assert max(served_s) - first_paced_s > 8.0


def test_nothing_is_refused_while_the_limit_is_far():
    load = arrivals()
    played = play(UrgencyPacer, load, limit=3 * LIMIT_TOKENS)
    assert len(played.served) == len(load)


def test_a_few_urgent_tokens_do_not_put_all_others_behind():
    load = arrivals(kinds={URGENT: (1_700, 2.0), DEAR: (12_000, 5.0)})
    total = sum(a.tokens for a in load)
    assert not play(UrgencyPacer, load, limit=int(1.15 * total)).paced
    limit = int(0.8 * total)
    played = play(UrgencyPacer, load, limit=limit)
    assert played.share(URGENT) > play(unpaced, load, limit=limit).share(URGENT) + 0.1
    assert played.used > 0.95 * limit


def test_least_urgent_requests_are_not_held_back_for_the_kind_between():
    """The kind between asks for most tokens, the most urgent and the least urgent for few."""
    kinds = {URGENT: (1_700, 2.0), MIDDLE: (12_000, 5.0), DEAR: (2_400, 2.0)}
    load = arrivals(kinds=kinds)
    limit = int(0.8 * sum(a.tokens for a in load))
    played = play(UrgencyPacer, load, limit=limit)
    first_paced_s = min(a.at_s for a, _ in played.paced if a.priority == DEAR)
    used = sum(a.tokens for a in played.served if a.at_s < first_paced_s)
    assert used > 0.7 * limit
    assert played.share(URGENT) > 0.95
    assert played.share(DEAR) > 0.6


@pytest.mark.parametrize("seed", range(3))
def test_trickle_of_most_urgent_requests_leaves_the_next_kind_protected(seed):
    load = arrivals(seed, {MIDDLE: KINDS[URGENT], DEAR: KINDS[DEAR]})
    limit = int(0.7 * sum(a.tokens for a in load))
    without = play(UrgencyPacer, load, limit=limit)
    trickle = arrivals(seed, {URGENT: (50, 0.5)})
    played = play(UrgencyPacer, sorted(load + trickle, key=lambda a: a.at_s), limit=limit)
    assert played.share(MIDDLE) > without.share(MIDDLE) - 0.05
    assert played.share(MIDDLE) > play(unpaced, load, limit=limit).share(MIDDLE) + 0.15
    assert played.share(URGENT) > 0.9


def test_nothing_is_protected_from_a_kind_more_urgent_than_all_seen():
    pacer = UrgencyPacer(Clock())
    dear = PacedRequest(workspace="w", tokens=50_000, priority=DEAR)
    urgent = PacedRequest(workspace="w", tokens=1_000, priority=URGENT)
    assert pacer.delay_s(dear, TokenSupply(limit_tokens=100_000, remaining_tokens=100_000)) == 0.0
    used = TokenSupply(limit_tokens=100_000, remaining_tokens=50_000)
    assert pacer.protected_tokens(urgent, used) == 0


def test_requests_of_one_urgency_are_not_paced():
    load = arrivals(kinds={DEAR: KINDS[DEAR]})
    limit = sum(a.tokens for a in load) // 2
    assert not play(UrgencyPacer, load, limit=limit).paced


def test_pacer_that_is_not_enabled_admits_all():
    assert not play(lambda clock: make_token_pacer(False, clock), arrivals()).paced
    assert play(lambda clock: make_token_pacer(True, clock), arrivals()).paced


def test_raised_limit_is_used_when_it_comes():
    at_s = 30.0
    without = play(UrgencyPacer, arrivals())
    played = play(UrgencyPacer, arrivals(), raise_at=(at_s, LIMIT_TOKENS))
    soon = lambda arrival: at_s <= arrival.at_s < at_s + 5.0  # noqa: E731
    assert without.share(DEAR, soon) < 0.5
    assert played.share(DEAR, soon) > 0.9
    assert played.share(URGENT) == 1.0


def test_new_holder_protects_tokens_that_its_predecessor_protected():
    for at_s in (15.0, 25.0, 35.0):
        played = play(UrgencyPacer, arrivals(), holders=2, new_holder_at_s=at_s)
        assert played.share(URGENT) > 0.97


def test_new_holders_protect_tokens_after_a_loss_of_all():
    for at_s in (15.0, 25.0, 35.0):
        played = play(UrgencyPacer, arrivals(), new_holder_at_s=at_s)
        assert played.share(URGENT) > 0.95


def test_lowered_limit_leaves_the_remainder_to_urgent_requests():
    played = play(UrgencyPacer, arrivals(), raise_at=(20.0, -LIMIT_TOKENS // 4))
    last = lambda arrival: 20.0 <= arrival.at_s < 35.0  # noqa: E731
    assert played.share(URGENT, last) > 0.99


def test_raise_starts_a_new_period():
    """Otherwise what urgent requests used over all raises could exceed every later raise."""
    pacer = UrgencyPacer(Clock())
    urgent = PacedRequest(workspace="w", tokens=10_000, priority=URGENT)
    dear = PacedRequest(workspace="w", tokens=10_000, priority=DEAR)
    limit = spent = 0
    for _ in range(10):
        limit += 100_000
        for _ in range(8):
            supply = TokenSupply(limit_tokens=limit, remaining_tokens=limit - spent)
            assert pacer.delay_s(urgent, supply) == 0.0
            spent += urgent.tokens
        supply = TokenSupply(limit_tokens=limit, remaining_tokens=limit - spent)
        assert pacer.protected_tokens(dear, supply) == 40_000


def test_workspace_is_not_paced_by_urgent_requests_of_long_ago():
    pacer = UrgencyPacer(Clock())
    urgent = PacedRequest(workspace="w", tokens=50_000, priority=URGENT)
    dear = PacedRequest(workspace="w", tokens=10_000, priority=DEAR)
    limit = 100_000
    assert pacer.delay_s(urgent, TokenSupply(limit_tokens=limit, remaining_tokens=limit)) == 0.0
    refused = []
    for _ in range(3):
        for remaining in range(limit, 10_000, -10_000):
            supply = TokenSupply(limit_tokens=limit, remaining_tokens=remaining)
            refused.append(pacer.delay_s(dear, supply) > 0)
        limit += 100_000
    assert any(refused[:18])
    assert not any(refused[-20:])


def test_kind_that_used_nothing_does_not_count_as_the_most_urgent():
    """Its tokens were asked for just before a raise, and it is not seen again."""
    pacer = UrgencyPacer(Clock())
    gone = PacedRequest(workspace="w", tokens=500, priority=URGENT)
    middle = PacedRequest(workspace="w", tokens=10_000, priority=MIDDLE)
    dear = PacedRequest(workspace="w", tokens=10_000, priority=DEAR)
    first = TokenSupply(limit_tokens=100_000, remaining_tokens=100_000)
    assert pacer.delay_s(gone, first) == 0.0
    for remaining in range(200_000, 110_000, -10_000):
        raised = TokenSupply(limit_tokens=200_000, remaining_tokens=remaining)
        assert pacer.delay_s(middle, raised) == 0.0
    nearly_used_up = TokenSupply(limit_tokens=200_000, remaining_tokens=50_000)
    assert pacer.protected_tokens(dear, nearly_used_up) > 40_000
    assert any(pacer.delay_s(dear, nearly_used_up) > 0 for _ in range(3))


def test_new_pacer_of_an_old_workspace_protects_the_urgent_share_of_what_is_left():
    pacer = UrgencyPacer(Clock())
    supply = TokenSupply(limit_tokens=1_000_000_000, remaining_tokens=1_000_000)
    urgent = PacedRequest(workspace="w", tokens=10_000, priority=URGENT)
    dear = PacedRequest(workspace="w", tokens=10_000, priority=DEAR)
    assert pacer.delay_s(urgent, supply) == 0.0
    assert pacer.delay_s(dear, supply) == 0.0
    assert pacer.protected_tokens(dear, supply) == 500_000


def test_delays_name_when_the_rate_covers_those_refused_before():
    clock = Clock()
    pacer = UrgencyPacer(clock)
    supply = TokenSupply(limit_tokens=1_000_000, remaining_tokens=900_000)
    urgent = PacedRequest(workspace="w", tokens=500_000, priority=URGENT)
    dear = PacedRequest(workspace="w", tokens=100_000, priority=DEAR)
    assert pacer.delay_s(urgent, supply) == 0.0
    delays = [pacer.delay_s(dear, supply) for _ in range(8)]
    refused = [delay for delay in delays if delay]
    assert refused == sorted(refused)
    assert 0 < refused[0] < 5.0 < refused[-1] <= 20.0
    clock.now_s = refused[0] + 0.01
    assert pacer.delay_s(dear, supply) == 0.0


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 3.0), st.sampled_from([URGENT, MIDDLE, DEAR]), st.integers(1, 9_000)
        ),
        max_size=120,
    ),
    st.integers(1, 200_000),
    st.integers(1, 3),
)
def test_pacing_refuses_no_more_urgent_requests_than_the_order_of_arrival(steps, limit, holders):
    load, now_s = [], 0.0
    for wait_s, priority, tokens in steps:
        now_s += wait_s
        load.append(Arrival(now_s, priority, tokens))
    played = play(UrgencyPacer, load, holders, limit)
    without = play(unpaced, load, holders, limit)
    assert not any(arrival.priority == URGENT for arrival, _ in played.paced)
    assert all(0 < delay <= 20.0 for _, delay in played.paced)
    urgent = [sum(a.tokens for a in p.served if a.priority == URGENT) for p in (played, without)]
    assert urgent[0] >= urgent[1] - max((a.tokens for a in load), default=0)
