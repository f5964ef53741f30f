# SPDX-License-Identifier: BSD-3-Clause
"""Answers whose head is none, or ends early, reach no caller, whoever sends them."""

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.tests.harness import (
    DIALECT,
    Harness,
    answer_ok,
    answered,
    encode_events,
    raw_answer,
    stream_events,
)
from turnward.gateway.tests.test_relay_reports import OddPeers, choose_first
from turnward.gateway.tests.test_relayed_requests import make_harness, received
from turnward.http1 import header_value

OWN = b"Request-Id: <id>\r\nAnswer-Seal: seal\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"Content-Length: 4\r\n\r\nbody"
ODD = {
    "status 000": b"HTTP/1.1 000 X\r\n" + OWN + BODY,
    "status 042": b"HTTP/1.1 042 X\r\n" + OWN + BODY,
    "status 600": b"HTTP/1.1 600 X\r\n" + OWN + BODY,
    "status 999": b"HTTP/1.1 999 X\r\n" + OWN + BODY,
    "version 0.9": b"HTTP/0.9 200 OK\r\n" + OWN + BODY,
    "blank in a name": OK + OWN + b"X Odd: 1\r\n" + BODY,
    "control byte in a name": OK + OWN + b"X\x01Odd: 1\r\n" + BODY,
    "blank after a name": OK + OWN + b"Content-Length : 4\r\n\r\nbody",
    "name in an interim head": b"HTTP/1.1 103 E\r\nX Odd: 1\r\n\r\n" + OK + OWN + BODY,
    "body in an encoding": OK + OWN + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
}
EARLY = {
    "end in a name": OK + OWN + b"Content-Len",
    "end in a value": OK + OWN + b"Content-Length: 4",
    "end after a field": OK + OWN + b"Content-Length: 4\r\n",
    "end before the last LF": OK + OWN + b"Content-Length: 4\r\n\r",
    "end after 100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "end after 103": b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK + OWN,
}
ANSWERS = {**ODD, **EARLY}
METHODS = (b"GET", b"HEAD", b"POST")


def answer_and_close(data, part_bytes=1_000_000):
    """Return a ``behave`` that sends given bytes in parts and closes its connection."""

    def behave(endpoint, request):
        transport = request._connection.transport
        request_id = header_value(request.headers, DIALECT.request_id)
        answer = data.replace(b"<id>", request_id)
        parts = [answer[n : n + part_bytes] for n in range(0, len(answer), part_bytes)]

        def send():
            if parts:
                transport.write(parts.pop(0))
                endpoint.machine.callLater(0.0005, send)
            else:
                transport.loseConnection()

        send()

    return behave


def is_clean(caller):
    """Return whether a caller got nothing of an endpoint's answer."""
    seal = caller.header(b"answer-seal")
    return seal is None and b"body" not in caller.received and b"X-Odd" not in caller.received


@pytest.mark.parametrize("part_bytes", [1, 1_000_000])
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("name", ANSWERS)
def test_request_that_must_not_run_twice_may_have_run_after_an_odd_answer(name, method, part_bytes):
    """Guards against a status or a name that is none and reaches the caller."""
    harness = Harness(repeat=RetryPolicy.ONCE, attempts=2)
    for _ in range(2):
        harness.endpoint(answer_and_close(ANSWERS[name], part_bytes))
    harness.ready()
    caller = harness.ask(method=method, limit_s=3.0)
    assert caller.status == 502
    assert is_clean(caller)
    assert len(received(harness)) == 1


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("name", ANSWERS)
def test_repeatable_request_is_served_elsewhere_after_an_odd_answer(name, method):
    harness = Harness(repeat=RetryPolicy.ANY, attempts=2)
    odd = harness.endpoint(answer_and_close(ANSWERS[name]))
    harness.endpoint(answer_ok)
    harness.ready()
    callers = [harness.ask(method=method, limit_s=3.0) for _ in range(4)]
    assert {caller.status for caller in callers} == {200}
    assert odd.requests
    failed = harness.logs[0].of("attempt.failed")
    assert {line["endpoint"] for line in failed} == {odd_incarnation(harness, odd)}


def odd_incarnation(harness, endpoint):
    return harness.gateways[0].state.endpoints[endpoint.endpoint_id].incarnation


@pytest.mark.parametrize("name", ANSWERS)
def test_odd_answers_tell_against_the_health_of_their_endpoint(name):
    harness = Harness(repeat=RetryPolicy.ANY, attempts=2)
    odd = harness.endpoint(answer_and_close(ANSWERS[name]))
    harness.endpoint(answer_ok)
    harness.ready()
    for _ in range(6):
        harness.ask(limit_s=3.0)
    assert odd_incarnation(harness, odd) in {
        line["endpoint"] for line in harness.logs[0].of("endpoint.lost")
    }


@pytest.mark.parametrize("name", ANSWERS)
def test_stream_does_not_begin_with_an_odd_answer(name):
    harness = Harness(repeat=RetryPolicy.STREAM, attempts=2)
    harness.endpoint(answer_and_close(ANSWERS[name]))
    harness.ready()
    caller = harness.ask(limit_s=3.0)
    assert caller.status == 502
    assert is_clean(caller)


@pytest.mark.parametrize("name", ANSWERS)
def test_stream_goes_on_elsewhere_after_an_odd_answer(name):
    harness = Harness(repeat=RetryPolicy.STREAM, attempts=3, resumable=True)
    harness.endpoint(answer_and_close(ANSWERS[name]))
    harness.endpoint(stream_events(4))
    harness.ready()
    callers = [harness.ask(limit_s=3.0) for _ in range(3)]
    for caller in callers:
        assert caller.status == 200
        assert encode_events(1, 1) in caller.received
        assert b"X-Odd" not in caller.received


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("name", ANSWERS)
def test_odd_answer_at_a_peer_is_no_answer_of_its_origin(name, method):
    harness = make_harness(
        answer_and_close(ANSWERS[name]), gateways=3, repeat=RetryPolicy.ONCE, attempts=2
    )
    caller = harness.ask(method=method, limit_s=4.0)
    assert caller.status == 502
    assert is_clean(caller)
    assert len(received(harness)) == 1


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("name", ANSWERS)
def test_odd_answer_of_a_peer_is_no_answer_to_a_request_that_must_not_run_twice(name, method):
    harness = make_harness(gateways=3, repeat=RetryPolicy.ONCE, attempts=2)
    peers = OddPeers(harness, ANSWERS[name], (1, 2), closes=True)
    caller = harness.ask(method=method, limit_s=4.0)
    assert caller.status == 502
    assert is_clean(caller)
    assert len(peers.requests) == 1
    assert not received(harness)


@pytest.mark.parametrize("name", ANSWERS)
def test_repeatable_request_goes_to_another_peer_after_an_odd_answer(name):
    harness = make_harness(gateways=3, repeat=RetryPolicy.ANY, attempts=2)
    choose_first(harness, 1)
    OddPeers(harness, ANSWERS[name], (1,), closes=True)
    caller = harness.ask(limit_s=4.0)
    assert (caller.status, len(received(harness))) == (200, 1)


def test_connection_of_an_odd_answer_is_not_used_again():
    harness = Harness(repeat=RetryPolicy.ONCE)
    endpoint = harness.endpoint(raw_answer(ODD["status 000"]))
    harness.ready()
    harness.ask(limit_s=3.0)
    harness.network.advance(0.1)
    assert not endpoint.factory.connections


def test_what_an_odd_answer_says_of_its_endpoint_does_not_count():
    draining = DIALECT.draining + b": 1\r\n"
    harness = Harness(repeat=RetryPolicy.ONCE)
    endpoint = harness.endpoint(raw_answer(b"HTTP/1.1 000 X\r\n" + OWN + draining + BODY))
    harness.ready()
    harness.ask(limit_s=3.0)
    endpoint.behave = answer_ok
    harness.network.advance(5.0)
    assert harness.ask(limit_s=3.0).status == 200


def test_caller_gets_no_trailers_as_fields():
    """Guards against trailers of a buffered answer that are passed on in its head."""
    answer = OK + OWN + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Late: 1\r\n\r\n"
    harness = Harness(repeat=RetryPolicy.ONCE)
    harness.endpoint(raw_answer(answer))
    harness.ready()
    caller = harness.ask(limit_s=3.0)
    assert answered(caller)
    assert (caller.status, caller.body) == (200, b"body")
    assert caller.header(b"x-late") is None
