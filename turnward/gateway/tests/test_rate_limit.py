# SPDX-License-Identifier: BSD-3-Clause
"""An endpoint that names a rate gets no more than that from all routers together.

The story. Two engines of six were in need and named a rate in each of their answers, 1.2 and 1
requests a second. Their share of the requests stayed what it had been: 19 requests in four seconds
reached the one, 14 the other, at an even load of eight routers that had all been told. No caller
noticed; the engines were not spared.

The cause: nothing read that word, and nothing could have kept to it, since a rate from all routers
together is known to none of them alone.

The evidence: the two were among the six candidates of each choice before and after they named a
rate, and each router chose them as before; one router sent the one of them six requests in a
second. The first test brings that about with nothing else wrong; read by each router for itself,
the rate is passed several times over (the plays of broken versions).
"""

import pytest

from turnward.gateway.member_ranks import MemberRanks
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.rate_limit import RateShare, ToldLimit
from turnward.gateway.rate_limits import RateLimits
from turnward.gateway.tests.feedback_simulation import WordPlay
from turnward.gateway.tests.harness import Harness, answer_ok, answered
from turnward.gateway.tests.rate_limit_simulation import (
    ByAllMembers,
    ByOwnWord,
    ByRouterAlone,
    BySecond,
    Fleet,
    Play,
    random_play,
    stated_limit,
)
from turnward.gateway.tests.test_forwarding import error_reason

#: What an endpoint bears for a while: in each span, its rate by a factor, and some requests more.
SPAN_S = 4.0
FACTOR = 1.5
MORE = 5


def allowed(limit_per_s):
    return FACTOR * limit_per_s * SPAN_S + MORE


def test_all_routers_together_stay_within_a_limit():
    play = WordPlay(gateways=8, endpoints=6)
    limited = play.endpoints[:2]
    for endpoint, limit_per_s in zip(limited, (1.2, 1.0), strict=True):
        endpoint.limit_per_s = limit_per_s
    play.ask_for(12.0, pause_s=0.04)
    for endpoint in limited:
        assert endpoint.limited_s
        assert endpoint.most_when_limited(SPAN_S) <= allowed(endpoint.limit_per_s)
    assert set(play.statuses()) == {200}


@pytest.mark.parametrize(("routers", "endpoints"), [(1, 1), (7, 2), (24, 6)])
@pytest.mark.parametrize("per_s", [0.0, 0.4, 1.4, 5.0])
@pytest.mark.parametrize(
    "case", [{}, {"cut": 0.3}, {"cut": 1.0}, {"dead": 0.3}, {"frozen": 0.2}, {"connect_s": 0.3}]
)
def test_sends_stay_within_the_rate_plus_one_per_holder(routers, endpoints, per_s, case):
    demand_per_s = 2.0 * max(0.5, per_s) * endpoints
    play = Play(
        routers=routers, endpoints=endpoints, per_s=per_s, demand_per_s=demand_per_s, **case
    )
    assert Fleet(play).run().most <= stated_limit(play)


@pytest.mark.parametrize("case", [{}, {"cut": 0.3}, {"dead": 0.3}])
def test_bound_holds_in_a_fleet_of_300(case):
    play = Play(routers=300, endpoints=2, per_s=1.4, demand_per_s=20.0, lasts_s=12.0, **case)
    assert Fleet(play).run().most <= stated_limit(play)


#: ``python -m turnward.gateway.tests.rate_limit_simulation 200`` plays more seeds.
@pytest.mark.parametrize("seed", range(16))
def test_random_fleets_stay_within_the_bound(seed):
    play = random_play(seed)
    assert Fleet(play).run().most <= stated_limit(play), play


@pytest.mark.parametrize("broken", [ByRouterAlone, ByAllMembers, BySecond, ByOwnWord])
def test_simulation_detects_broken_variants(broken):
    """Also the version that holds a rate by each router's own word only, before all are told."""
    plays = [
        Play(routers=86, endpoints=3, per_s=per_s, demand_per_s=20.0 * per_s)
        for per_s in (1.4, 5.0, 40.0)
    ]
    assert any(Fleet(play, broken).run().most > stated_limit(play) for play in plays)
    assert all(Fleet(play).run().most <= stated_limit(play) for play in plays)


@pytest.mark.parametrize("routers", [1, 7, 86])
def test_all_routers_learn_that_a_limit_is_lifted(routers):
    demand_per_s = max(8.0, 1.0 * routers)
    play = Play(routers=routers, endpoints=2, per_s=2.0, demand_per_s=demand_per_s, lifted_s=10.0)
    assert Fleet(play).run().free == 1.0


def test_sends_of_holders_never_exceed_what_endpoints_sustain():
    for members in (1, 2, 7, 24, 86, 300):
        for tenths in range(0, 1_000):
            share = RateShare.from_rate(tenths / 10, 0, members)
            most = SPAN_S * share.holders / share.interval_s + share.holders
            assert most <= allowed(tenths / 10), (members, tenths)


def test_fully_limited_pool_is_used_and_the_excess_refused_at_once():
    play = WordPlay(gateways=4, endpoints=2)
    for endpoint in play.endpoints:
        endpoint.limit_per_s = 2.0
    play.ask_for(10.0, pause_s=0.05)
    for endpoint in play.endpoints:
        assert endpoint.most_when_limited(SPAN_S) <= allowed(2.0)
    statuses = play.statuses()
    assert set(statuses) == {200, 503}
    # Half of what both allow in ten seconds: holders do not get a request in each interval.
    assert statuses.count(200) >= 20
    refusals = [caller for caller in play.callers if caller.status == 503]
    assert {error_reason(caller) for caller in refusals} == {"endpoints_limited"}
    assert all(0.25 <= float(caller.header(b"retry-after")) <= 6.0 for caller in refusals)
    lines = [line for log in play.harness.logs for line in log.of("request.ended")]
    assert max(line["took_ms"] for line in lines if line["outcome"] == "refused") < 50


def test_endpoint_gets_its_full_load_after_a_limit_is_lifted():
    play = WordPlay(gateways=4, endpoints=3)
    limited = play.endpoints[0]
    limited.limit_per_s = 1.0
    play.ask_for(5.0, pause_s=0.05)
    limited.limit_per_s = None
    play.ask_for(3.0, pause_s=0.05)
    before = len(limited.sends)
    play.ask_for(3.0, pause_s=0.05)
    assert len(limited.sends) - before >= 12
    changes = [line["limit_per_s"] for line in play.harness.logs[0].of("endpoint.limited")]
    changes += [line["limit_per_s"] for line in play.harness.logs[0].of("endpoint.told_limit")]
    assert set(changes) == {1.0, None}


def test_limit_outlasts_changed_entries():
    play = WordPlay(gateways=4, endpoints=3)
    limited = play.endpoints[0]
    limited.limit_per_s = 1.0
    for change in range(12):
        play.harness.announce(limited.endpoint, zone="z", slots=5 + change)
        play.ask_for(0.5, pause_s=0.025)
    assert limited.most_when_limited(SPAN_S) <= allowed(1.0)


def test_limit_does_not_apply_after_a_restart():
    limits = RateLimits(lambda: 0.0, fixed_ranks(rank=3, members=4), "me")
    limits.name("e-1@1", 0.2)
    assert limits.opens_in_s("e-1@1") > 0
    assert limits.opens_in_s("e-1@2") == 0


def test_requests_waiting_for_connections_obey_a_new_limit():
    harness = Harness()
    limited = harness.endpoint(answer_ok)
    harness.ready()
    record = harness.gateways[0].endpoints.get("e-1")
    callers = [harness.connect() for _ in range(6)]
    for caller in callers:
        caller.transport.write(harness.request_bytes())
    harness.network.advance_until(lambda: record.opening == 6)
    harness.gateways[0]._limits.name("e-1", 1.0)
    harness.network.advance_until(lambda: all(answered(caller) for caller in callers))
    assert len(limited.requests) == 1
    assert sorted(caller.status for caller in callers) == [200] + [503] * 5
    assert record.opening == record.in_flight == 0
    assert {line["hold"] for line in harness.logs[0].of("attempt.failed")} == {"limited"}


def fixed_ranks(rank, members):
    """Return ranks of a fleet in which this router always has the same one."""
    ranks = MemberRanks(PeerBook("10.0.0.1:1", lambda: 0.0))
    ranks._book.members_read = True
    for number in range(2, members + 1):
        ranks._book.add_member(f"10.0.0.{number}:1", "z")
    ranks.of = lambda key: rank
    return ranks


class Told:
    """One router's limits, on a clock that the test moves."""

    def __init__(self, rank=0, members=4):
        self.now_s = 100.0
        self.limits = RateLimits(lambda: self.now_s, fixed_ranks(rank, members), "me")

    @property
    def per_s(self):
        return self.limits._limits["e"].per_s


def test_newer_update_wins_in_any_order():
    told = Told()
    told.limits.take_in([ToldLimit("e", 2.0, 1_000, "a", 70)])
    told.limits.take_in([ToldLimit("e", 5.0, 3_000, "b", 70)])
    assert told.per_s == 2.0
    told.limits.take_in([ToldLimit("e", None, 0, "a", 71)])
    assert told.per_s is None
    told.limits.take_in([ToldLimit("e", 2.0, 500, "b", 71)])
    assert told.per_s is None


def test_duplicate_update_does_not_refresh_a_limit():
    """Passed on by many, and delayed on each way, it would never grow old."""
    told = Told()
    word = ToldLimit("e", 2.0, 100, "a", 70)
    told.limits.take_in([word])
    told.now_s += 1.0
    told.limits.take_in([word])
    assert told.limits.told()[0].age_ms == 1_100


def test_own_update_that_comes_back_is_ignored():
    told = Told()
    told.limits.name("e", 2.0)
    (own,) = told.limits.told()
    told.now_s += 1.0
    told.limits.take_in([own])
    assert told.limits.told()[0].age_ms == 1_000


def test_response_to_an_earlier_request_does_not_lift_a_limit():
    told = Told()
    told.limits.name("e", 2.0)
    told.now_s += 0.2
    assert not told.limits.note_unlimited("e", sent_s=99.9)
    assert told.per_s == 2.0
    assert told.limits.note_unlimited("e", sent_s=100.1)
    assert told.per_s is None


def test_peer_lifts_a_limit_only_when_clearly_later():
    told = Told()
    told.limits.name("e", 2.0)
    told.now_s += 0.6
    told.limits.take_in([ToldLimit("e", None, 300, "a", 70)])
    assert told.per_s == 2.0
    told.limits.take_in([ToldLimit("e", None, 50, "a", 320)])
    assert told.per_s is None


def test_router_without_a_share_probes_only_after_long_silence():
    told = Told(rank=3, members=4)
    told.limits.name("e", 0.5)
    assert told.limits.opens_in_s("e") == 5.0 + 4.0 * 3 / 0.5
    told.now_s += 20.0
    told.limits.take_in([ToldLimit("e", 0.5, 0, "a", 70)])
    assert told.limits.opens_in_s("e") == 5.0 + 4.0 * 3 / 0.5
    told.now_s += 29.0
    assert told.limits.opens_in_s("e") == 0.0
    told.limits.note_sent("e")
    assert told.limits.opens_in_s("e") == 5.0 + 4.0 * 4 / 0.5


def test_old_limits_are_not_announced():
    told = Told()
    told.limits.name("e", 2.0)
    told.limits.take_in([ToldLimit("other", 2.0, 3_000, "a", 70)])
    told.now_s += 1.0
    assert told.limits.told() == (
        ToldLimit("e", 2.0, 1_000, "me", 100_000),
        ToldLimit("other", 2.0, 4_000, "a", 70),
    )
    told.now_s += 1.0
    assert told.limits.told() == ()


def test_announced_limits_are_bounded_newest_first():
    told = Told()
    for number in range(100):
        told.now_s += 0.01
        told.limits.name(f"e-{number}", 2.0)
    words = told.limits.told()
    assert len(words) == 32
    assert words[0].endpoint == "e-99"


def test_remembered_endpoints_are_bounded():
    told = Told()
    for number in range(1_500):
        told.limits.name(f"e-{number}", 2.0)
    assert len(told.limits._limits) == 1_000
