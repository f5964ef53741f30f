# SPDX-License-Identifier: BSD-3-Clause
"""All routers together stay within the rate limit that an endpoint announces.

Guards against routers that ignore the limit, and against routers that each use the whole rate
because none of them sees the endpoint's total load.
"""

import pytest

from turnward.gateway.member_ranks import MemberRanks
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.rate_limit import RateLimitUpdate, RateShare
from turnward.gateway.rate_limits import RateLimits
from turnward.gateway.tests.feedback_simulation import FeedbackSimulation
from turnward.gateway.tests.harness import Harness, answer_ok, answered
from turnward.gateway.tests.rate_limit_simulation import (
    EqualShares,
    FixedWindows,
    Fleet,
    NoCoordination,
    NoUpdates,
    Scenario,
    random_scenario,
    request_bound,
)
from turnward.gateway.tests.test_forwarding import error_reason

#: Requests that an endpoint sustains per window: its rate times a factor, plus a constant.
WINDOW_S = 4.0
RATE_FACTOR = 1.5
EXTRA_REQUESTS = 5


def allowed(limit_per_s):
    return RATE_FACTOR * limit_per_s * WINDOW_S + EXTRA_REQUESTS


def test_all_routers_together_stay_within_a_limit():
    simulation = FeedbackSimulation(gateways=8, endpoints=6)
    limited = simulation.endpoints[:2]
    for endpoint, limit_per_s in zip(limited, (1.2, 1.0), strict=True):
        endpoint.limit_per_s = limit_per_s
    simulation.send_requests(12.0, interval_s=0.04)
    for endpoint in limited:
        assert endpoint.limit_sent_s
        assert endpoint.max_sends_when_limited(WINDOW_S) <= allowed(endpoint.limit_per_s)
    assert set(simulation.statuses()) == {200}


@pytest.mark.parametrize(("routers", "endpoints"), [(1, 1), (7, 2), (24, 6)])
@pytest.mark.parametrize("per_s", [0.0, 0.4, 1.4, 5.0])
@pytest.mark.parametrize(
    "case",
    [
        {},
        {"isolated": 0.3},
        {"isolated": 1.0},
        {"crashed": 0.3},
        {"paused": 0.2},
        {"max_connect_s": 0.3},
    ],
)
def test_sends_stay_within_the_rate_plus_one_per_holder(routers, endpoints, per_s, case):
    demand_per_s = 2.0 * max(0.5, per_s) * endpoints
    scenario = Scenario(
        routers=routers, endpoints=endpoints, per_s=per_s, demand_per_s=demand_per_s, **case
    )
    assert Fleet(scenario).run().max_requests <= request_bound(scenario)


@pytest.mark.parametrize("case", [{}, {"isolated": 0.3}, {"crashed": 0.3}])
def test_bound_holds_in_a_fleet_of_300(case):
    scenario = Scenario(
        routers=300, endpoints=2, per_s=1.4, demand_per_s=20.0, duration_s=12.0, **case
    )
    assert Fleet(scenario).run().max_requests <= request_bound(scenario)


#: ``python -m turnward.gateway.tests.rate_limit_simulation 200`` runs more seeds.
@pytest.mark.parametrize("seed", range(16))
def test_random_fleets_stay_within_the_bound(seed):
    scenario = random_scenario(seed)
    assert Fleet(scenario).run().max_requests <= request_bound(scenario), scenario


@pytest.mark.parametrize("broken", [NoCoordination, EqualShares, FixedWindows, NoUpdates])
def test_simulation_detects_broken_variants(broken):
    """Each broken variant exceeds the bound in some scenario, the product in none."""
    scenarios = [
        Scenario(routers=86, endpoints=3, per_s=per_s, demand_per_s=20.0 * per_s)
        for per_s in (1.4, 5.0, 40.0)
    ]
    assert any(
        Fleet(scenario, broken).run().max_requests > request_bound(scenario)
        for scenario in scenarios
    )
    assert all(
        Fleet(scenario).run().max_requests <= request_bound(scenario) for scenario in scenarios
    )


@pytest.mark.parametrize("routers", [1, 7, 86])
def test_all_routers_learn_that_a_limit_is_lifted(routers):
    demand_per_s = max(8.0, 1.0 * routers)
    scenario = Scenario(
        routers=routers, endpoints=2, per_s=2.0, demand_per_s=demand_per_s, lifted_s=10.0
    )
    assert Fleet(scenario).run().unlimited == 1.0


def test_sends_of_holders_never_exceed_what_endpoints_sustain():
    for members in (1, 2, 7, 24, 86, 300):
        for tenths in range(0, 1_000):
            share = RateShare.from_rate(tenths / 10, 0, members)
            max_requests = WINDOW_S * share.holders / share.interval_s + share.holders
            assert max_requests <= allowed(tenths / 10), (members, tenths)


def test_fully_limited_pool_is_used_and_the_excess_refused_at_once():
    simulation = FeedbackSimulation(gateways=4, endpoints=2)
    for endpoint in simulation.endpoints:
        endpoint.limit_per_s = 2.0
    simulation.send_requests(10.0, interval_s=0.05)
    for endpoint in simulation.endpoints:
        assert endpoint.max_sends_when_limited(WINDOW_S) <= allowed(2.0)
    statuses = simulation.statuses()
    assert set(statuses) == {200, 503}
    # Half of what both allow in ten seconds: holders do not get a request in every interval.
    assert statuses.count(200) >= 20
    refusals = [caller for caller in simulation.callers if caller.status == 503]
    assert {error_reason(caller) for caller in refusals} == {"endpoints_limited"}
    assert all(0.25 <= float(caller.header(b"retry-after")) <= 6.0 for caller in refusals)
    lines = [line for log in simulation.harness.logs for line in log.of("request.ended")]
    assert max(line["took_ms"] for line in lines if line["outcome"] == "refused") < 50


def test_endpoint_gets_its_full_load_after_a_limit_is_lifted():
    simulation = FeedbackSimulation(gateways=4, endpoints=3)
    limited = simulation.endpoints[0]
    limited.limit_per_s = 1.0
    simulation.send_requests(5.0, interval_s=0.05)
    limited.limit_per_s = None
    simulation.send_requests(3.0, interval_s=0.05)
    before = len(limited.sends)
    simulation.send_requests(3.0, interval_s=0.05)
    assert len(limited.sends) - before >= 12
    changes = [line["limit_per_s"] for line in simulation.harness.logs[0].of("endpoint.limited")]
    changes += [
        line["limit_per_s"] for line in simulation.harness.logs[0].of("endpoint.told_limit")
    ]
    assert set(changes) == {1.0, None}


def test_limit_outlasts_changed_entries():
    simulation = FeedbackSimulation(gateways=4, endpoints=3)
    limited = simulation.endpoints[0]
    limited.limit_per_s = 1.0
    for change in range(12):
        simulation.harness.announce(limited.endpoint, zone="z", slots=5 + change)
        simulation.send_requests(0.5, interval_s=0.025)
    assert limited.max_sends_when_limited(WINDOW_S) <= allowed(1.0)


def test_limit_does_not_apply_after_a_restart():
    limits = RateLimits(lambda: 0.0, fixed_ranks(rank=3, members=4), "me")
    limits.set_limit("e-1@1", 0.2)
    assert limits.available_in_s("e-1@1") > 0
    assert limits.available_in_s("e-1@2") == 0


def test_requests_waiting_for_connections_obey_a_new_limit():
    harness = Harness()
    limited = harness.endpoint(answer_ok)
    harness.ready()
    record = harness.gateways[0].endpoints.get("e-1")
    callers = [harness.connect() for _ in range(6)]
    for caller in callers:
        caller.transport.write(harness.request_bytes())
    harness.network.advance_until(lambda: record.opening == 6)
    harness.gateways[0]._limits.set_limit("e-1", 1.0)
    harness.network.advance_until(lambda: all(answered(caller) for caller in callers))
    assert len(limited.requests) == 1
    assert sorted(caller.status for caller in callers) == [200] + [503] * 5
    assert record.opening == record.in_flight == 0
    assert {line["hold"] for line in harness.logs[0].of("attempt.failed")} == {"limited"}


def fixed_ranks(rank, members):
    """Return ranks in which this router has the same rank for every key."""
    ranks = MemberRanks(PeerBook("10.0.0.1:1", lambda: 0.0))
    ranks._book.members_read = True
    for number in range(2, members + 1):
        ranks._book.add_member(f"10.0.0.{number}:1", "z")
    ranks.rank_for = lambda key: rank
    return ranks


class RouterUnderTest:
    """One router's limits, on a clock that the test controls."""

    def __init__(self, rank=0, members=4):
        self.now_s = 100.0
        self.limits = RateLimits(lambda: self.now_s, fixed_ranks(rank, members), "me")

    @property
    def per_s(self):
        return self.limits._limits["e"].per_s


def test_newer_update_wins_in_any_order():
    router = RouterUnderTest()
    router.limits.merge([RateLimitUpdate("e", 2.0, 1_000, "a", 70)])
    router.limits.merge([RateLimitUpdate("e", 5.0, 3_000, "b", 70)])
    assert router.per_s == 2.0
    router.limits.merge([RateLimitUpdate("e", None, 0, "a", 71)])
    assert router.per_s is None
    router.limits.merge([RateLimitUpdate("e", 2.0, 500, "b", 71)])
    assert router.per_s is None


def test_duplicate_update_does_not_refresh_a_limit():
    """Forwarded repeatedly, with a delay each time, it would never expire."""
    router = RouterUnderTest()
    update = RateLimitUpdate("e", 2.0, 100, "a", 70)
    router.limits.merge([update])
    router.now_s += 1.0
    router.limits.merge([update])
    assert router.limits.announced()[0].age_ms == 1_100


def test_own_update_received_from_a_peer_is_ignored():
    router = RouterUnderTest()
    router.limits.set_limit("e", 2.0)
    (own_update,) = router.limits.announced()
    router.now_s += 1.0
    router.limits.merge([own_update])
    assert router.limits.announced()[0].age_ms == 1_000


def test_response_to_an_earlier_request_does_not_lift_a_limit():
    router = RouterUnderTest()
    router.limits.set_limit("e", 2.0)
    router.now_s += 0.2
    assert not router.limits.note_unlimited("e", sent_s=99.9)
    assert router.per_s == 2.0
    assert router.limits.note_unlimited("e", sent_s=100.1)
    assert router.per_s is None


def test_peer_lifts_a_limit_only_when_clearly_later():
    router = RouterUnderTest()
    router.limits.set_limit("e", 2.0)
    router.now_s += 0.6
    router.limits.merge([RateLimitUpdate("e", None, 300, "a", 70)])
    assert router.per_s == 2.0
    router.limits.merge([RateLimitUpdate("e", None, 50, "a", 320)])
    assert router.per_s is None


def test_router_without_a_share_probes_only_after_long_silence():
    router = RouterUnderTest(rank=3, members=4)
    router.limits.set_limit("e", 0.5)
    assert router.limits.available_in_s("e") == 5.0 + 4.0 * 3 / 0.5
    router.now_s += 20.0
    router.limits.merge([RateLimitUpdate("e", 0.5, 0, "a", 70)])
    assert router.limits.available_in_s("e") == 5.0 + 4.0 * 3 / 0.5
    router.now_s += 29.0
    assert router.limits.available_in_s("e") == 0.0
    router.limits.note_sent("e")
    assert router.limits.available_in_s("e") == 5.0 + 4.0 * 4 / 0.5


def test_old_limits_are_not_announced():
    router = RouterUnderTest()
    router.limits.set_limit("e", 2.0)
    router.limits.merge([RateLimitUpdate("other", 2.0, 3_000, "a", 70)])
    router.now_s += 1.0
    assert router.limits.announced() == (
        RateLimitUpdate("e", 2.0, 1_000, "me", 100_000),
        RateLimitUpdate("other", 2.0, 4_000, "a", 70),
    )
    router.now_s += 1.0
    assert router.limits.announced() == ()


def test_announced_limits_are_bounded_newest_first():
    router = RouterUnderTest()
    for number in range(100):
        router.now_s += 0.01
        router.limits.set_limit(f"e-{number}", 2.0)
    updates = router.limits.announced()
    assert len(updates) == 32
    assert updates[0].endpoint == "e-99"


def test_remembered_endpoints_are_bounded():
    router = RouterUnderTest()
    for number in range(1_500):
        router.limits.set_limit(f"e-{number}", 2.0)
    assert len(router.limits._limits) == 1_000
