# SPDX-License-Identifier: BSD-3-Clause
"""Lanes for long prompts by the service rates that the routers measure.

The load: 70 engines that process 160 tokens a millisecond, a third of which are slower; prompts of
45,000 tokens beside short ones, and a pause target of 400 ms.
"""

import pytest

from turnward.gateway.load_controls import LoadControls
from turnward.gateway.tests.test_service_rates import SLOW, THREE_SPEEDS, TOKENS_PER_MS, Fleet

BOTH = LoadControls(service_rates=True, prompt_lanes=True)
ROUTERS = 20
SLOW_IDS = {f"e-{number}" for number, slowdown in enumerate(THREE_SPEEDS) if slowdown == SLOW}
#: Tokens that a usual engine processes in half of the pause target.
LONG_FROM_TOKENS = 200 * TOKENS_PER_MS


def play(slowdowns):
    """Return a fleet under load, and the lanes of all routers in its last 5 s."""
    fleet = Fleet(slowdowns, routers=ROUTERS, controls=BOTH, long_tokens=45_000)
    fleet.run(10.0, requests_per_s=120)
    lanes = []
    for _ in range(10):
        fleet.run(0.5, requests_per_s=120)
        lanes.append([lane_of(book) for book in fleet.books])
    return fleet, lanes


def lane_of(book):
    may_prefer = book.costs.lanes.may_prefer
    return {record.endpoint_id for record in book.all() if may_prefer(record, 10_000_000)}


def shortest_long_prompt(book, endpoint_id):
    """Return the least tokens, in thousands, that are long at an engine."""
    record, lanes = book.get(endpoint_id), book.costs.lanes
    in_lane = endpoint_id in lane_of(book)
    return next(
        thousands
        for thousands in range(1, 1_000)
        if lanes.may_prefer(record, thousands * 1_000) == in_lane
    )


@pytest.fixture(scope="module")
def fleet_and_lanes():
    return play(THREE_SPEEDS)


def test_lane_consists_of_the_faster_engines_at_all_routers(fleet_and_lanes):
    _, lanes = fleet_and_lanes
    assert all(lane and not lane & SLOW_IDS for moment in lanes for lane in moment)


@pytest.mark.parametrize("slower", [SLOW, 1.35])
def test_routers_agree_on_the_lane_though_they_measure_a_little_differently(slower):
    """Slowdowns of 1.35 are measured on both sides of that which moves an engine back."""
    fleet, lanes = play([slower if number % 3 == 2 else 1.0 for number in range(70)])
    assert len({tuple(fleet.slowdowns(router)) for router in range(ROUTERS)}) > 1
    for moment in lanes:
        largest = max(moment, key=len)
        assert all(len(lane - largest) <= 4 for lane in moment)


def test_long_prompts_are_those_that_take_long_at_the_engine(fleet_and_lanes):
    fleet, _ = fleet_and_lanes
    for book in fleet.books:
        usual = [shortest_long_prompt(book, f"e-{number}") for number in (0, 1, 3)]
        assert all(0.6 < 1_000 * each / LONG_FROM_TOKENS < 1.25 for each in usual)
        slowest = max(book.all(), key=book.costs.rates.slowdown)
        slow = shortest_long_prompt(book, slowest.endpoint_id)
        assert slow < min(usual) / 1.6


def test_prompts_are_placed_by_both(fleet_and_lanes):
    fleet, lanes = fleet_and_lanes
    placed = {"long": [0, 0], "short": [0, 0]}
    for number, engine in enumerate(fleet.engines):
        for kind, counts in placed.items():
            counts[f"e-{number}" in lanes[-1][0]] += engine.prompts[kind]
    assert placed["long"][True] > 0.8 * sum(placed["long"])
    assert placed["short"][False] > 0.8 * sum(placed["short"])
