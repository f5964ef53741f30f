# SPDX-License-Identifier: BSD-3-Clause
"""A restarted endpoint with an unchanged id inherits nothing from its earlier incarnation."""

import msgspec
import pytest

from turnward.gateway import EndpointPool, FleetState, WarmUpTraits
from turnward.gateway.peer_book import EndpointLoad
from turnward.gateway.state import EndpointsSnapshot
from turnward.gateway.tests.harness import (
    DIALECT,
    Harness,
    abort_connection,
    answer_head,
    answer_ok,
    answered,
)
from turnward.gateway.tests.test_choice import ENGINE, ChoiceSimulation, prompt


def restart(simulation, endpoint_id, born_ms, **changes):
    """Change an endpoint's entry to another start time and return its record."""
    entry = simulation.entries[endpoint_id]
    simulation.entries[endpoint_id] = msgspec.structs.replace(entry, born_ms=born_ms, **changes)
    simulation.book.set_entries(simulation.entries)
    return simulation.book.get(simulation.entries[endpoint_id].incarnation)


@pytest.fixture
def simulation():
    return ChoiceSimulation(count=2, born_ms=1_000)


def test_restart_discards_all_endpoint_state(simulation):
    old = simulation.book.get("e-0@1000")
    request_prompt = prompt("ab")
    old.remember(request_prompt, simulation.now_s)
    old.in_flight = 7
    for _ in range(3):
        old.availability.failed(simulation.now_s, certain=True)
    new = restart(simulation, "e-0", 2_000)
    assert new is not old
    assert (new.in_flight, new.availability.failures, new.availability.marked_down) == (0, 0, False)
    assert new.availability.suspected_for_s(simulation.now_s) == 0.0
    assert new.cached_tokens(request_prompt, simulation.now_s) == 0
    assert old.pool.closed
    assert simulation.choose(omit={"e-1@1000"}) is new


def test_restart_at_another_address_is_one_new_endpoint(simulation):
    new = restart(simulation, "e-0", 2_000, address="10.0.0.99:80")
    assert new.entry.address == "10.0.0.99:80"
    assert len(simulation.book.all()) == 2


def test_changed_entry_without_restart_keeps_endpoint_state(simulation):
    old = simulation.book.get("e-0@1000")
    assert restart(simulation, "e-0", 1_000, slots=9) is old


def test_peer_load_of_an_earlier_start_is_ignored(simulation):
    restart(simulation, "e-0", 2_000)
    simulation.loads = {"e-0@1000": EndpointLoad("e-0@1000", 30, 90_000)}
    chosen = {simulation.choose(prompt("ab"), ENGINE, {"e-1@1000"}).incarnation for _ in range(5)}
    assert chosen == {"e-0@2000"}
    assert not simulation.book.loads()


def test_late_end_of_a_request_at_an_earlier_start_changes_nothing(simulation):
    old = simulation.book.get("e-0@1000")
    old.in_flight = 1
    new = restart(simulation, "e-0", 2_000)
    old.in_flight -= 1
    old.availability.failed(simulation.now_s, certain=True)
    assert (new.in_flight, new.availability.failures) == (0, 0)


def test_restarted_endpoint_is_not_treated_as_an_expired_entry(simulation):
    simulation.entries = {
        endpoint_id: msgspec.structs.replace(entry, born_ms=2_000)
        for endpoint_id, entry in simulation.entries.items()
    }
    simulation.book.set_entries(simulation.entries, store_was_unavailable=True)
    assert {record.incarnation for record in simulation.book.all()} == {"e-0@2000", "e-1@2000"}


def test_late_row_of_an_earlier_start_is_ignored():
    state = FleetState(lambda: 0.0)
    simulation = ChoiceSimulation(count=1)
    entries = [
        msgspec.structs.replace(simulation.entries["e-0"], born_ms=born_ms)
        for born_ms in (2_000, 1_000)
    ]
    for version, entry in enumerate(entries, start=1):
        state.adopt_endpoints(EndpointsSnapshot(version, (entry,)), "store")
    assert state.endpoints["e-0"].born_ms == 2_000
    assert state.endpoints_version == 2


def test_entry_without_a_start_time_counts_as_a_restart(simulation):
    """Without a start time the writer can't tell whether it is the same process."""
    assert restart(simulation, "e-0", None) is not None
    assert simulation.book.get("e-0@1000") is None


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


def leave_and_answer(endpoint, request):
    request.answer(200, [*answer_head(request), (DIALECT.draining, b"1")], b"fine")


def test_feedback_outlasts_a_stale_entry_of_its_endpoint():
    # A router that started while the store was restored from an older copy read the entry of the
    # endpoint's earlier start. What the endpoint told it was noted for that start, and was lost
    # when the present entry was written again.
    harness = Harness()
    leaving, other = harness.endpoint(leave_and_answer), harness.endpoint(answer_ok)
    harness.announce(leaving, born_ms=1_000)
    harness.announce(other, born_ms=1_000)
    harness.ready()
    assert harness.network.advance_until(lambda: harness.ask().status == 200 and leaving.requests)
    told = len(leaving.requests)
    harness.announce(leaving, born_ms=2_000)
    harness.network.advance(0.5)
    assert harness.gateways[0].endpoints.get("e-1@2000") is not None
    for _ in range(8):
        assert harness.ask().status == 200
    assert len(leaving.requests) == told


def test_feedback_ends_with_the_process_that_gave_it():
    harness = Harness()
    leaving, other = harness.endpoint(leave_and_answer), harness.endpoint(answer_ok)
    harness.announce(leaving, born_ms=1_000)
    harness.announce(other, born_ms=1_000)
    harness.ready()
    assert harness.network.advance_until(lambda: harness.ask().status == 200 and leaving.requests)
    leaving.behave = answer_ok
    for connection in list(leaving.factory.connections):
        connection.transport.abortConnection()
    harness.network.advance(0.1)
    told = len(leaving.requests)
    harness.announce(leaving, born_ms=2_000)
    harness.network.advance(0.5)
    for _ in range(8):
        assert harness.ask().status == 200
    assert len(leaving.requests) > told


def test_log_lines_name_the_incarnation():
    harness = Harness(attempts=1)
    endpoint = harness.endpoint(answer_ok, announce=False)
    harness.announce(endpoint, born_ms=1_000)
    harness.ready()
    harness.ask()
    assert harness.logs[0].of("attempt.chosen")[0]["endpoint"] == "e-1@1000"


def test_engine_restarted_during_a_store_outage_is_spared_while_it_is_cold():
    # No router learns of the new start: entries can't be read, and peers know no more. All send the
    # cold engine as much as a warm one.
    traits = WarmUpTraits(cold_s=3.0, requests_per_s=4.0)
    harness = Harness(pools=[EndpointPool(name="pool", warm_up=traits)], attempts=2)
    restarted, other = harness.endpoint(answer_ok), harness.endpoint(answer_ok)
    harness.announce(restarted, born_ms=1_000)
    harness.announce(other, born_ms=1_000)
    harness.ready(gateways=4)
    for client in harness.clients:
        client.faults.unavailable = True
    # Long polls that began earlier end within this time.
    for number in range(60):
        harness.ask(gateway=number % 4)
        harness.network.advance(0.1)
    for connection in list(restarted.factory.connections):
        connection.transport.abortConnection()
    harness.announce(restarted, born_ms=2_000, cold_left_s=3.0)
    harness.network.advance(0.05)
    before = len(restarted.requests)
    statuses = [harness.ask(gateway=number % 4).status for number in range(60)]
    # Three seconds' worth, more than may arrive while 60 requests are served.
    assert len(restarted.requests) - before <= 3 * traits.requests_per_s
    assert statuses.count(200) >= 30


@pytest.mark.parametrize("pause_s", [0.8, 4.5])
def test_engine_restarted_while_a_router_was_paused_is_spared_while_it_is_cold(pause_s):
    # The router resumes with requests that arrived meanwhile, and sends them before a feed tells it
    # that the store has become unreachable. After the longer pause it also drops its idle
    # connections itself, before it can notice that the engine has closed them.
    traits = WarmUpTraits(cold_s=3.0, requests_per_s=4.0)
    harness = Harness(pools=[EndpointPool(name="pool", warm_up=traits)], attempts=1)
    restarted, other = harness.endpoint(answer_ok), harness.endpoint(answer_ok)
    harness.announce(restarted, born_ms=1_000)
    harness.announce(other, born_ms=1_000)
    harness.ready()
    for _ in range(8):
        harness.ask()
    assert restarted.requests
    machine = harness.machines[0]
    callers = [harness.connect() for _ in range(20)]
    machine.freeze()
    harness.clients[0].faults.unavailable = True
    for connection in list(restarted.factory.connections):
        connection.transport.abortConnection()
    harness.network.advance(pause_s)
    before = len(restarted.requests)
    for caller in callers:
        caller.transport.write(harness.request_bytes())
    harness.network.advance(0.1)
    machine.wake()
    assert harness.network.advance_until(lambda: all(map(answered, callers)))
    assert len(restarted.requests) - before <= traits.requests_per_s
    if pause_s < 1.0:
        # The connections to the other engine show that it has not restarted.
        assert {caller.status for caller in callers} == {200}
    harness.network.advance(1.0)
    assert harness.ask().status == 200
