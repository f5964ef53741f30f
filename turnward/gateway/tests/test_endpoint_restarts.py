# SPDX-License-Identifier: BSD-3-Clause
"""A restarted endpoint with an unchanged id inherits nothing from its earlier incarnation."""

import msgspec
import pytest

from turnward.gateway import FleetState
from turnward.gateway.peer_book import EndpointLoad
from turnward.gateway.state import EndpointsSnapshot
from turnward.gateway.tests.harness import Harness, abort_connection, answer_ok
from turnward.gateway.tests.test_choice import ENGINE, World, prompt


def restart(world, endpoint_id, born_ms, **changes):
    """Change an endpoint's entry to another start time and return its record."""
    entry = world.entries[endpoint_id]
    world.entries[endpoint_id] = msgspec.structs.replace(entry, born_ms=born_ms, **changes)
    world.book.set_entries(world.entries)
    return world.book.get(world.entries[endpoint_id].incarnation)


@pytest.fixture
def world():
    return World(count=2, born_ms=1_000)


def test_restart_discards_all_endpoint_state(world):
    old = world.book.get("e-0@1000")
    request_prompt = prompt("ab")
    old.remember(request_prompt, world.now_s)
    old.in_flight = 7
    for _ in range(3):
        old.availability.failed(world.now_s, certain=True)
    new = restart(world, "e-0", 2_000)
    assert new is not old
    assert (new.in_flight, new.availability.failures, new.availability.marked_down) == (0, 0, False)
    assert new.availability.suspected_for_s(world.now_s) == 0.0
    assert new.cached_tokens(request_prompt, world.now_s) == 0
    assert old.pool.closed
    assert world.choose(omit={"e-1@1000"}) is new


def test_restart_at_another_address_is_one_new_endpoint(world):
    new = restart(world, "e-0", 2_000, address="10.0.0.99:80")
    assert new.entry.address == "10.0.0.99:80"
    assert len(world.book.all()) == 2


def test_changed_entry_without_restart_keeps_endpoint_state(world):
    old = world.book.get("e-0@1000")
    assert restart(world, "e-0", 1_000, slots=9) is old


def test_peer_load_of_an_earlier_start_is_ignored(world):
    restart(world, "e-0", 2_000)
    world.loads = {"e-0@1000": EndpointLoad("e-0@1000", 30, 90_000)}
    chosen = {world.choose(prompt("ab"), ENGINE, {"e-1@1000"}).incarnation for _ in range(5)}
    assert chosen == {"e-0@2000"}
    assert not world.book.loads()


def test_late_end_of_a_request_at_an_earlier_start_changes_nothing(world):
    old = world.book.get("e-0@1000")
    old.in_flight = 1
    new = restart(world, "e-0", 2_000)
    old.in_flight -= 1
    old.availability.failed(world.now_s, certain=True)
    assert (new.in_flight, new.availability.failures) == (0, 0)


def test_restarted_endpoint_is_not_treated_as_an_expired_entry(world):
    world.entries = {
        endpoint_id: msgspec.structs.replace(entry, born_ms=2_000)
        for endpoint_id, entry in world.entries.items()
    }
    world.book.set_entries(world.entries, store_was_unavailable=True)
    assert {record.incarnation for record in world.book.all()} == {"e-0@2000", "e-1@2000"}


def test_late_row_of_an_earlier_start_is_ignored():
    state = FleetState(lambda: 0.0)
    world = World(count=1)
    entries = [
        msgspec.structs.replace(world.entries["e-0"], born_ms=born_ms) for born_ms in (2_000, 1_000)
    ]
    for version, entry in enumerate(entries, start=1):
        state.adopt_endpoints(EndpointsSnapshot(version, (entry,)), "store")
    assert state.endpoints["e-0"].born_ms == 2_000
    assert state.endpoints_version == 2


def test_entry_without_a_start_time_counts_as_a_restart(world):
    """Without a start time the writer can't tell whether it is the same process."""
    assert restart(world, "e-0", None) is not None
    assert world.book.get("e-0@1000") is None


def test_restarted_endpoint_gets_requests_at_once():
    harness = Harness(attempts=1)
    endpoint = harness.endpoint(abort_connection, announce=False)
    other = harness.endpoint(answer_ok)
    harness.announce(endpoint, born_ms=1_000)
    harness.ready()
    for _ in range(8):
        harness.ask(path=b"/a/%d" % harness._request_count)
    # The endpoint is suspected for up to four seconds by now.
    assert harness.logs[0].of("endpoint.lost")
    endpoint.behave = answer_ok
    harness.announce(endpoint, born_ms=2_000)
    harness.network.advance(0.2)
    before = len(endpoint.requests)
    for _ in range(6):
        assert harness.ask().status == 200
    assert len(endpoint.requests) > before
    assert other.requests


def test_log_lines_name_the_incarnation():
    harness = Harness(attempts=1)
    endpoint = harness.endpoint(answer_ok, announce=False)
    harness.announce(endpoint, born_ms=1_000)
    harness.ready()
    harness.ask()
    assert harness.logs[0].of("attempt.chosen")[0]["endpoint"] == "e-1@1000"
