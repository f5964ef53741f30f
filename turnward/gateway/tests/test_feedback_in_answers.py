# SPDX-License-Identifier: BSD-3-Clause
"""Feedback in an endpoint's responses binds the router that receives it.

Guards against routers that send requests to a draining endpoint because they rely on its entry in
the store, which may be out of reach, and against taking a rejection for a sign of health, so that
rejecting endpoints look least loaded and attract most requests.
"""

import random

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.availability import Availability, UnavailableReason
from turnward.gateway.endpoint_feedback import EndpointFeedback
from turnward.gateway.tests.feedback_simulation import FeedbackSimulation
from turnward.gateway.tests.harness import (
    DIALECT,
    ENGINE_POOL,
    Harness,
    answer_head,
    answer_ok,
    answered,
    decode_chunked,
    encode_events,
    raw_answer,
    stream_events,
)
from turnward.gateway.tests.test_crashing_requests import inject_fault
from turnward.gateway.tests.test_forwarding import error_reason
from turnward.http1 import OutboundPool


def test_draining_endpoint_gets_no_more_requests():
    simulation = FeedbackSimulation(gateways=3, endpoints=4)
    simulation.endpoints[0].draining = True
    simulation.send_requests(6.0)
    assert simulation.endpoints[0].draining_sent_s
    assert simulation.endpoints[0].sends_after_draining() == 0
    assert set(simulation.statuses()) == {200}


def test_endpoint_in_backoff_gets_no_requests():
    simulation = FeedbackSimulation(gateways=3, endpoints=6)
    for backing_off in simulation.endpoints[:2]:
        backing_off.backoff_s = 3.0
    simulation.send_requests(7.0, interval_s=0.05)
    assert all(backing_off.backoffs for backing_off in simulation.endpoints[:2])
    assert max(backing_off.max_sends_in_backoff() for backing_off in simulation.endpoints[:2]) <= 1


def draining_head(request):
    return [*answer_head(request), (DIALECT.draining, b"1")]


def draining_stream(endpoint, request):
    """Begin an endless stream whose head says that the endpoint is draining."""
    request.start(200, [*draining_head(request), (b"content-type", b"text/event-stream")], None)
    request.write(encode_events(1, 1))


def draining_truncated(endpoint, request):
    """Truncate a response whose head says that the endpoint is draining."""
    request.start(200, draining_head(request), 100)
    request.write(b"half")
    endpoint.machine.callLater(0.02, request.abort)


def draining_error(endpoint, request):
    request.answer(500, draining_head(request), b"broken")


def draining_rejection(endpoint, request):
    request.answer(503, [(DIALECT.not_run, b"1"), (DIALECT.draining, b"1")])


def draining_without_an_id(endpoint, request):
    request.answer(200, [(DIALECT.draining, b"1")], b"whose")


#: Interim response before the final one.
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nEndpoint-Leaving: 1\r\n\r\n"


@pytest.mark.parametrize(
    "behave",
    [
        draining_stream,
        draining_truncated,
        draining_error,
        draining_rejection,
        draining_without_an_id,
        raw_answer(INFORMATIONAL),
    ],
)
def test_feedback_in_any_kind_of_response_applies_at_once(behave):
    harness = Harness(time_limit_s=1.0)
    reporting = harness.endpoint(behave)
    harness.ready()
    harness.send()
    harness.network.advance(0.1)
    assert len(reporting.requests) == 1
    for _ in range(5):
        assert harness.ask().status == 503
    assert len(reporting.requests) == 1


def test_feedback_to_an_abandoned_request_applies():
    harness = Harness(attempts=1)
    answers = [draining_stream, answer_ok]
    reporting = harness.endpoint(lambda endpoint, request: answers.pop(0)(endpoint, request))
    harness.ready()
    caller = harness.send()
    harness.network.advance(0.1)
    caller.transport.abortConnection()
    harness.network.advance(0.1)
    assert harness.ask().status == 503
    assert len(reporting.requests) == 1


@pytest.mark.parametrize(
    "feedback", [EndpointFeedback(draining=True), EndpointFeedback(backoff_s=2.0)]
)
def test_request_waiting_for_a_connection_obeys_new_feedback(feedback):
    harness = Harness()
    reporting = harness.endpoint(answer_ok)
    harness.ready()
    record = harness.gateways[0].endpoints.get("e-1")
    caller = harness.connect()
    caller.transport.write(harness.request_bytes())
    harness.network.advance_until(lambda: record.in_flight == 1)
    assert not reporting.requests
    record.availability.apply_feedback(feedback, harness.network.clock.seconds())
    harness.network.advance_until(lambda: answered(caller))
    assert caller.status == 503
    assert not reporting.requests
    failed = harness.logs[0].of("attempt.failed")[0]
    assert (failed["how"], failed["sent"]) == ("held", False)
    assert record.in_flight == 0


@pytest.mark.parametrize(
    "feedback", [EndpointFeedback(draining=True), EndpointFeedback(backoff_s=2.0)]
)
def test_broken_stream_resumes_on_an_available_endpoint(feedback):
    harness = Harness(pools=(ENGINE_POOL,), repeat=RetryPolicy.STREAM, resumable=True, attempts=3)
    for _ in range(3):
        harness.endpoint(stream_events(6, up_to=2, then=lambda endpoint, request: None))
    harness.ready()
    caller = harness.send()
    harness.network.advance(0.2)
    (first,) = (endpoint for endpoint in harness.endpoints if endpoint.requests)
    reporting, free = (endpoint for endpoint in harness.endpoints if endpoint is not first)
    now_s = harness.network.clock.seconds()
    harness.gateways[0].endpoints.get(reporting.endpoint_id).availability.apply_feedback(
        feedback, now_s
    )
    free.behave = stream_events(6)
    first.requests[0].abort()
    harness.network.advance_until(lambda: answered(caller))
    assert decode_chunked(caller.body) == (encode_events(1, 6), True)
    assert not reporting.requests


def test_slow_upload_goes_to_an_available_endpoint():
    harness = Harness()
    reporting, other = harness.endpoint(draining_error), harness.endpoint(answer_ok)
    harness.ready()
    slow = harness.connect()
    whole = harness.request_bytes(method=b"POST", body=b"x" * 100)
    slow.transport.write(whole[:-50])
    while not reporting.requests:
        harness.ask()
    slow.transport.write(whole[-50:])
    harness.network.advance_until(lambda: answered(slow))
    assert slow.status == 200
    assert len(reporting.requests) == 1
    assert len(other.requests) >= 2


def test_callers_get_retry_after_when_the_whole_pool_is_in_backoff():
    simulation = FeedbackSimulation(gateways=1, endpoints=2)
    for endpoint in simulation.endpoints:
        endpoint.backoff_s = 3.0
    simulation.send_requests(0.5)
    sends = sum(len(endpoint.sends) for endpoint in simulation.endpoints)
    began_s = simulation.now_s
    refused = simulation.harness.ask()
    assert simulation.now_s - began_s < 0.05
    assert refused.status == 503
    assert error_reason(refused) == "endpoints_resting"
    # The backoffs began up to half a second ago, and jitter lengthens them by up to a quarter.
    assert 2.4 <= float(refused.header(b"retry-after")) <= 1.5 * 1.25 * 3.0
    assert sum(len(endpoint.sends) for endpoint in simulation.endpoints) == sends
    for endpoint in simulation.endpoints:
        endpoint.backoff_s = 0.0
    simulation.harness.network.advance(float(refused.header(b"retry-after")))
    assert simulation.harness.ask().status == 200


def test_log_lines_name_the_feedback_and_its_request():
    simulation = FeedbackSimulation(gateways=1, endpoints=3)
    simulation.endpoints[0].draining = True
    simulation.endpoints[1].backoff_s = 2.0
    simulation.send_requests(1.0)
    reported = {line["endpoint"]: line for line in simulation.harness.logs[0].of("endpoint.said")}
    assert reported["e-1"]["hold"] == "leaves"
    assert reported["e-1"]["request"].startswith("id-")
    assert reported["e-2"]["hold"] == "rests"
    assert 2.0 <= reported["e-2"]["rest_s"] <= 2.5


def test_log_lines_name_each_new_limit_once():
    simulation = FeedbackSimulation(gateways=1, endpoints=2)
    limited = simulation.endpoints[0]
    for per_s in (40.0, 20.0):
        limited.limit_per_s = per_s
        simulation.send_requests(2.0, interval_s=0.02)
    lines = simulation.harness.logs[0].of("endpoint.limited")
    assert [line["limit_per_s"] for line in lines] == [40.0, 20.0]
    assert {line["endpoint"] for line in lines} == {limited.endpoint.endpoint_id}
    assert lines[0]["request"].startswith("id-")


def test_rejecting_endpoint_without_retry_after_is_tried_rarely():
    simulation = FeedbackSimulation(gateways=2, endpoints=6)
    rejecting = simulation.endpoints[0]
    rejecting.rejects = True
    simulation.send_requests(6.0, interval_s=0.02)
    # A router retries after 0.25, 0.5, 1 and then every 2 s, by jitter up to a fifth sooner.
    assert len(rejecting.sends) <= 2 * 7
    rejecting.rejects = False
    simulation.harness.network.advance(2.5)
    before = len(rejecting.sends)
    simulation.send_requests(2.0, interval_s=0.02)
    assert len(rejecting.sends) - before >= 10
    assert set(simulation.statuses()) == {200}


def test_rejecting_pool_without_retry_after_is_still_tried():
    simulation = FeedbackSimulation(gateways=1, endpoints=2)
    for endpoint in simulation.endpoints:
        endpoint.rejects = True
    simulation.send_requests(0.5, interval_s=0.1)
    assert set(simulation.statuses()) == {503}
    for endpoint in simulation.endpoints:
        endpoint.rejects = False
    assert simulation.harness.ask().status == 200


class FaultSchedule:
    """Random changes of endpoints along with random faults of routers.

    Parameters
    ----------
    size : int
        Number of routers.
    seed : int
        Seed of the schedule.
    """

    def __init__(self, size, seed):
        self.rng = random.Random(seed)
        self.simulation = FeedbackSimulation(gateways=size, endpoints=8)
        self.end_fault = None

    def run(self, steps):
        for step in range(steps):
            if step % 10 == 2:
                self._inject_router_fault()
            self._change_endpoint(step)
            self.simulation.send_requests(0.2, interval_s=0.02)
            if step % 10 == 8:
                self.end_fault()
        return self.simulation.endpoints

    def _inject_router_fault(self):
        harness = self.simulation.harness
        kind = self.rng.choice(("frozen", "apart", "restarted", "store"))
        before = list(harness.gateways)
        self.end_fault = inject_fault(self.simulation, self.rng, kind)
        for machine, old, new in zip(harness.machines, before, harness.gateways, strict=True):
            if old is not new:
                self.simulation.note_restart(machine.host)

    def _change_endpoint(self, step):
        not_draining = [endpoint for endpoint in self.simulation.endpoints if not endpoint.draining]
        endpoint = self.rng.choice(not_draining)
        changes = (
            "drain",
            "drain",
            "backoff",
            "backoff",
            "reject",
            "change entry",
            "remove entry",
            "change all entries",
        )
        change = self.rng.choice(changes)
        rows = self.simulation.harness.rows
        if change == "drain" and len(not_draining) > 4:
            endpoint.draining = True
            self.simulation.add_endpoint()
        elif change == "backoff":
            endpoint.backoff_s = self.rng.choice((0.0, 0.7, 3.0))
        elif change == "reject":
            endpoint.rejects = not endpoint.rejects
        elif change == "remove entry":
            rows.remove("endpoints", endpoint.endpoint.endpoint_id)
        elif change in ("change entry", "change all entries"):
            for announced in (
                self.simulation.endpoints if change == "change all entries" else [endpoint]
            ):
                self.simulation.harness.announce(announced.endpoint, zone="z", slots=4 + step)


@pytest.mark.parametrize("size", [3, 7, 14])
@pytest.mark.parametrize("seed", range(3))
def test_feedback_is_obeyed_during_random_faults(size, seed):
    endpoints = FaultSchedule(size, seed).run(60)
    assert sum(bool(endpoint.draining_sent_s) for endpoint in endpoints) >= 2
    assert sum(endpoint.sends_after_draining() for endpoint in endpoints) == 0
    assert max(endpoint.max_sends_in_backoff() for endpoint in endpoints) <= 1


# Broken variants, each of which one of the simulations below detects.


def ignore_feedback(monkeypatch):
    monkeypatch.setattr(Availability, "apply_feedback", lambda *_, **__: None)


def forget_on_next_entry(monkeypatch):
    apply_entry = Availability.apply_entry

    def forget(self, draining):
        self._draining = False
        self._backoff_until_s = 0.0
        apply_entry(self, draining)

    monkeypatch.setattr(Availability, "apply_entry", forget)


def ignore_backoff(monkeypatch):
    unavailable_reason = Availability.unavailable_reason

    def without_backoff(self, now_s):
        reason_found = unavailable_reason(self, now_s)
        return None if reason_found is UnavailableReason.BACKOFF else reason_found

    monkeypatch.setattr(Availability, "unavailable_reason", without_backoff)


def ignore_response_heads(monkeypatch):
    """Read feedback only from responses that end a request."""
    monkeypatch.setattr(OutboundPool, "note_head", lambda *_: None)


@pytest.mark.parametrize(
    "break_feedback", [ignore_feedback, forget_on_next_entry, ignore_response_heads]
)
def test_draining_simulation_detects_broken_variants(monkeypatch, break_feedback):
    break_feedback(monkeypatch)
    assert simulate_draining_with_changing_entries().sends_after_draining() > 0


@pytest.mark.parametrize("break_feedback", [ignore_feedback, forget_on_next_entry, ignore_backoff])
def test_backoff_simulation_detects_broken_variants(monkeypatch, break_feedback):
    break_feedback(monkeypatch)
    assert simulate_backoff_with_changing_entries() > 1


def test_feedback_is_obeyed_while_entries_change():
    assert simulate_draining_with_changing_entries().sends_after_draining() == 0
    assert simulate_backoff_with_changing_entries() <= 1


def simulate_draining_with_changing_entries():
    """Simulate a draining endpoint whose entry changes every half second, and return it."""
    simulation = FeedbackSimulation(gateways=2, endpoints=3)
    reporting = simulation.endpoints[0]
    reporting.draining = True
    for change in range(8):
        simulation.harness.announce(reporting.endpoint, zone="z", slots=5 + change)
        simulation.send_requests(0.5, interval_s=0.05)
    return reporting


def simulate_backoff_with_changing_entries():
    """Return the most requests in a backoff of all endpoints while their entries change."""
    simulation = FeedbackSimulation(gateways=2, endpoints=2)
    for endpoint in simulation.endpoints:
        endpoint.backoff_s = 3.0
    for change in range(8):
        for endpoint in simulation.endpoints:
            simulation.harness.announce(endpoint.endpoint, zone="z", slots=5 + change)
        simulation.send_requests(0.5, interval_s=0.05)
    return max(endpoint.max_sends_in_backoff() for endpoint in simulation.endpoints)
