# SPDX-License-Identifier: BSD-3-Clause
"""The choice of an endpoint: load, kept prompt parts, rest after failures."""

import random
from collections import Counter

import pytest

from turnward.gateway import EndpointEntry, EngineTraits
from turnward.gateway.choice import EndpointBook, Prompt, parse_prompt_parts
from turnward.gateway.peer_book import EndpointLoad

NO_PROMPT = Prompt()
ENGINE = EngineTraits(slots=8, event_tokens=5)


class Pool:
    """Connections that are never opened."""

    def __init__(self, address):
        self.closed = False

    def close(self):
        self.closed = True


class World:
    def __init__(self, count=4, slots=8, seed=0, **fields):
        self.now_s = 0.0
        self.loads = {}
        self.book = EndpointBook(
            "z", lambda: self.now_s, Pool, lambda: self.loads, random.Random(seed)
        )
        self.entries = {
            f"e-{number}": EndpointEntry(
                endpoint_id=f"e-{number}",
                pool="pool",
                address=f"10.0.0.{number}:80",
                zone="z",
                slots=slots,
                **fields,
            )
            for number in range(count)
        }
        self.book.set_entries(self.entries)

    def choose(self, prompt=NO_PROMPT, traits=None, without=frozenset()):
        choice = self.book.choose("pool", prompt, traits, set(without))
        return choice.record if choice is not None else None


def prompt(subject, tokens=5_000):
    parts = parse_prompt_parts(f"aa:500,{subject}:{tokens - 1_000},own:500")
    return Prompt(tokens, 100, parts)


def test_work_spreads_over_endpoints():
    world = World()
    for _ in range(8):
        world.choose().in_flight += 1
    assert {record.in_flight for record in world.book.all()} == {2}


def test_peers_load_counts():
    world = World(count=2)
    world.loads = {"e-0": EndpointLoad("e-0", 30, 0)}
    assert {world.choose().endpoint_id for _ in range(10)} == {"e-1"}


def test_routers_agree_on_the_home_of_a_prompt_part():
    first, second = World(seed=1), World(seed=2)
    for number in range(20):
        wanted = prompt(f"{number:x}")
        homes = {world.choose(wanted, ENGINE).endpoint_id for world in (first, second)}
        assert len(homes) == 1


def test_homes_spread_over_endpoints():
    world = World()
    homes = Counter(
        world.choose(prompt(f"{number:x}"), ENGINE).endpoint_id for number in range(200)
    )
    assert len(homes) == 4
    assert max(homes.values()) < 90


def test_crowded_home_is_left_for_another():
    world = World()
    home = world.choose(prompt("a"), ENGINE)
    home.prefill_tokens = 50_000
    assert world.choose(prompt("a"), ENGINE) is not home


def test_busy_home_of_a_large_shared_part_is_waited_for():
    world = World()
    wanted = prompt("1")
    home = world.choose(wanted, ENGINE)
    # 200 ms of other prompts are read there first; to read the part anew takes 90 ms elsewhere.
    home.prefill_tokens = 10_000
    assert world.choose(wanted, ENGINE) is home


@pytest.mark.parametrize("certain", [True, False])
def test_endpoint_that_fails_rests_and_is_tried_by_one_request(certain):
    world = World(count=2)
    failing = world.book.get("e-0")
    for _ in range(1 if certain else 2):
        failing.failed(world.now_s, certain)
    assert {world.choose().endpoint_id for _ in range(10)} == {"e-1"}
    world.now_s += 5.0
    world.book.get("e-1").in_flight = 5
    assert world.choose() is failing
    failing.in_flight = 1
    assert world.choose().endpoint_id == "e-1"
    failing.succeeded()
    assert world.choose() is failing


def test_resting_endpoints_are_used_when_there_is_no_other():
    world = World(count=2)
    for record in world.book.all():
        record.failed(world.now_s, certain=True)
    assert world.choose() is not None


def test_leaving_endpoints_are_never_chosen():
    world = World(count=2, leaving=True)
    assert world.choose() is None


def test_endpoints_already_tried_are_not_chosen():
    world = World(count=2)
    assert world.choose(without={"e-0"}).endpoint_id == "e-1"
    assert world.choose(without={"e-0", "e-1"}) is None


def test_changed_address_is_a_new_endpoint_and_the_old_connections_close():
    world = World(count=1)
    before = world.book.get("e-0")
    entry = EndpointEntry(endpoint_id="e-0", pool="pool", address="10.0.0.9:80")
    world.book.set_entries({"e-0": entry})
    assert before.pool.closed
    assert world.book.get("e-0") is not before


def test_memory_of_prompt_parts_is_bounded_and_ages():
    world = World(count=1)
    record = world.book.get("e-0")
    for number in range(5_000):
        record.remember(prompt(f"{number:x}"), world.now_s)
    assert len(record._parts) <= 1_500
    assert record.kept_tokens(prompt(f"{4_999:x}"), world.now_s) == 5_000
    assert record.kept_tokens(prompt(f"{4_999:x}"), world.now_s + 60.0) == 0
