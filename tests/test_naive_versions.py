# SPDX-License-Identifier: BSD-3-Clause
"""Each promise's mechanism switched off: the checks must then find the fault.

This is the failing-first record that docs/promises.md names; the same scenario
passes with the mechanism in tests/test_fleet_faults.py.
"""

import pytest

from tests.fake_fleet import LIMIT_TOKENS, FakeFleet
from tests.helpers import run
from tests.naive import SWITCHES, without_order_of_configuration
from turnward.callers.request_coordinator import RequestCoordinator
from turnward.resources import Change, ConfigLog
from turnward.router.process import RouterProcess
from turnward.routing import EndpointView

CHAT_TOKENS = 25


@pytest.fixture
def fleet():
    fleet = FakeFleet()
    yield fleet
    fleet.close()


def serve(fleet):
    fleet.advance(0.5)
    fleet.finish_runs()
    fleet.advance(0.5)


def spend_past_the_limit(fleet):
    for number in range(LIMIT_TOKENS // CHAT_TOKENS + 30):
        fleet.submit(fleet.routers[number % 3], f"c{number}", repeatable=True)
    for _ in range(4):
        serve(fleet)
    fleet.heal()
    return fleet.settled_faults()


def test_without_grants_the_limit_is_passed(fleet, monkeypatch):
    SWITCHES["grants"](monkeypatch)
    assert any("overspent" in fault for fault in spend_past_the_limit(fleet))


def test_with_grants_the_limit_holds(fleet):
    assert spend_past_the_limit(fleet) == []


def run_same_chat_at_two_routers(fleet):
    for router in fleet.routers[:2]:
        fleet.submit(router, "c1", repeatable=True)
    serve(fleet)
    return fleet.faults()


def test_without_the_bill_key_a_request_is_charged_twice(fleet, monkeypatch):
    SWITCHES["bill key"](monkeypatch)
    assert run_same_chat_at_two_routers(fleet) == ["settled 50, billed 25"]


def test_with_the_bill_key_a_request_is_charged_once(fleet):
    assert run_same_chat_at_two_routers(fleet) == []


def run_same_booking_at_every_router(fleet):
    for router in fleet.routers:
        fleet.submit(router, "b1", repeatable=False)
    serve(fleet)
    return fleet.faults()


def test_without_claims_a_booking_runs_twice(fleet, monkeypatch):
    SWITCHES["claims"](monkeypatch)
    assert "ran twice: b1" in run_same_booking_at_every_router(fleet)


def test_with_claims_a_booking_runs_once(fleet):
    assert run_same_booking_at_every_router(fleet) == []


def kill_with_runs_open(fleet):
    fleet.submit(fleet.routers[0], "c1", repeatable=True)
    fleet.advance(0.5)
    fleet.kill(fleet.routers[0])
    fleet.heal()
    return fleet.settled_faults()


def test_without_records_at_buddies_a_killed_routers_run_is_not_billed(fleet, monkeypatch):
    SWITCHES["records at buddies"](monkeypatch)
    assert kill_with_runs_open(fleet) == ["ran, not billed: c1"]


def test_with_records_at_buddies_a_killed_routers_run_is_billed(fleet):
    assert kill_with_runs_open(fleet) == []


def lose_the_answer_then_every_endpoint(fleet):
    router = fleet.routers[0]
    fleet.submit(router, "c1", repeatable=True)
    fleet.advance(0.5)
    router.refusing_urls.update({"http://127.0.0.1:1", "http://127.0.0.1:2"})
    fleet.finish_runs(answered=False)
    fleet.advance(1.0)
    return fleet.faults()


def test_without_memory_of_attempts_a_run_is_told_not_run(fleet, monkeypatch):
    SWITCHES["memory of attempts"](monkeypatch)
    assert lose_the_answer_then_every_endpoint(fleet) == ["told not run, but it ran: c1"]


def test_with_memory_of_attempts_a_run_is_told_unknown(fleet):
    assert lose_the_answer_then_every_endpoint(fleet) == []


def ask_with_a_used_id(fleet):
    router = fleet.routers[0]
    fleet.submit(router, "b1", repeatable=False)
    serve(fleet)
    other = fleet.submit(fleet.routers[1], "b1", repeatable=False, body=b"another")
    serve(fleet)
    return other


def test_without_fingerprints_an_answer_goes_to_another_request(fleet, monkeypatch):
    import turnward.callers.services as services

    monkeypatch.setattr(services, "fingerprint", lambda *parts: "same")
    assert ask_with_a_used_id(fleet).outcome == "ran"


def test_with_fingerprints_a_used_id_is_refused(fleet):
    other = ask_with_a_used_id(fleet)
    assert (other.outcome, other.answer.status) == ("not_run", 422)


def drain_then_ask(fleet):
    spec = {"name": "e1", "pool": "engines", "url": "http://127.0.0.1:1", "zone": "a"}
    change = Change("endpoints", "e1", {**spec, "drained": True})
    run(ConfigLog(fleet.table).apply([change], 0.0))
    fleet.advance(2.0)
    for number in range(6):
        fleet.submit(fleet.routers[number % 3], f"c{number}", repeatable=True)
    serve(fleet)
    return {bill["endpoint"] for bill in fleet.bills()}


def test_without_the_chart_a_leaving_endpoint_gets_work(fleet, monkeypatch):
    monkeypatch.setattr(EndpointView, "takes_work", property(lambda view: True))
    assert "e1" in drain_then_ask(fleet)


def test_with_the_chart_a_leaving_endpoint_gets_none(fleet):
    assert drain_then_ask(fleet) == {"e2"}


def stop_with_a_run_open(fleet):
    sent = fleet.submit(fleet.routers[0], "c1", repeatable=True)
    fleet.advance(0.5)
    fleet.routers[0].process.leave()
    fleet.advance(3.0)
    stopped = fleet.routers[0].process.stopped.called
    fleet.finish_runs()
    fleet.advance(10.0)
    return stopped, sent.outcome


def test_without_the_wait_a_planned_stop_leaves_with_runs_open(fleet, monkeypatch):
    monkeypatch.setattr(RequestCoordinator, "open_count", property(lambda desk: 0))

    async def emptied(self):
        return True

    monkeypatch.setattr(RouterProcess, "_emptied", emptied)
    assert stop_with_a_run_open(fleet)[0] is True


def test_with_the_wait_a_planned_stop_lets_runs_end(fleet):
    assert stop_with_a_run_open(fleet) == (False, "ran")


def offer_an_old_revision(fleet):
    state = fleet.routers[0].context.config
    entries = run(ConfigLog(fleet.table).entries_after(0))
    state.take(entries[0])
    fleet.advance(0.1)
    return fleet.faults()


def test_without_the_order_check_configuration_goes_back(fleet, monkeypatch):
    without_order_of_configuration(monkeypatch)
    assert any("went back" in fault for fault in offer_an_old_revision(fleet))


def test_with_the_order_check_configuration_never_goes_back(fleet):
    assert offer_an_old_revision(fleet) == []
