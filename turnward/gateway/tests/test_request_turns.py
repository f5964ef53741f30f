# SPDX-License-Identifier: BSD-3-Clause
"""One wait or attempt acts for a request at a time, and nobody else writes to its caller."""

import pytest
from twisted.internet import defer

from turnward.gateway.request_turns import AttemptBase, RequestTurns, Stage
from turnward.gateway.tests.harness import (
    Harness,
    answered,
    decode_chunked,
)
from turnward.gateway.tests.test_software_versions import is_whole, make_harness
from turnward.http1 import InboundFactory, InboundLimits, header_value

#: More than a gateway keeps for a repeat, and the size of the parts that follow.
FIRST_BYTES = 300_000
PART_BYTES = 16_384
PARTS = 5


class FakeAttempt(AttemptBase):
    """An attempt that records whether it was cancelled."""

    cancelled = False

    def cancel(self):
        self.cancelled = True

    def pause(self):
        """Do nothing; there is no connection."""

    resume = pause
    response_ended = pause

    def exchange_started(self, connection):
        """Do nothing; there is no connection."""

    head_received = body_received = exchange_failed = exchange_started


class FakeRequest:
    """A caller's request that records what is written."""

    def __init__(self):
        self.head_sent = False
        self.written = []

    def start(self, status, headers, length):
        self.head_sent = True
        self.written.append(status)

    def write(self, data):
        self.written.append(data)

    def finish(self):
        self.written.append("end")

    def answer(self, status, headers, body):
        self.written.append("reset" if self.head_sent else status)


def begin(turns):
    attempt = FakeAttempt()
    started = []
    turns.begin(attempt, lambda: started.append(True))
    return attempt, bool(started)


def test_earlier_attempt_is_cancelled_and_writes_nothing_once_another_begins():
    request = FakeRequest()
    turns = RequestTurns(request)
    first, _ = begin(turns)
    first.lease.start(200, [], None)
    second, _ = begin(turns)
    first.lease.start(503, [], 0)
    first.lease.write(b"late")
    first.lease.finish()
    second.lease.write(b"own")
    assert first.cancelled and first.ended
    assert request.written == [200, b"own"]
    assert turns.attempt is second


@pytest.mark.parametrize("take", ["dispatch", "withdraw", "end"])
def test_late_result_of_a_wait_that_lost_its_turn_has_no_effect(take):
    turns = RequestTurns(FakeRequest())
    in_time, late = [], []
    resolve = turns.wait(in_time.append, late.append)
    getattr(turns, take)()
    resolve("v1")
    assert (in_time, late) == ([], ["v1"])


def test_result_of_a_wait_takes_effect_once():
    turns = RequestTurns(FakeRequest())
    in_time, late = [], []
    resolve = turns.wait(in_time.append, late.append)
    resolve("v1")
    resolve("v2")
    assert (in_time, late) == (["v1"], ["v2"])


def test_no_attempt_begins_after_the_end_of_a_request():
    turns = RequestTurns(FakeRequest())
    turns.end()
    attempt, started = begin(turns)
    assert not started and attempt.ended
    assert not turns.dispatch()
    assert turns.stage is Stage.ENDED


def test_own_answer_ends_the_attempt_that_writes():
    request = FakeRequest()
    turns = RequestTurns(request)
    attempt, _ = begin(turns)
    attempt.lease.start(200, [], None)
    assert not turns.answer(503, [], b"")
    attempt.lease.write(b"late")
    assert attempt.cancelled
    assert request.written == [200, "reset"]


def test_second_head_resets_the_connection_instead_of_being_written():
    harness = Harness()
    requests = []
    machine = harness.network.machine("10.8.0.1")
    machine.listenTCP(80, InboundFactory(machine, requests.append, InboundLimits()))
    harness.machines.append(machine)
    caller = harness.send()
    harness.network.advance(0.1)
    (request,) = requests
    request.start(200, [], None)
    request.write(b"part")
    request.answer(503, [], b"refused")
    request.write(b"late")
    harness.network.advance(0.1)
    assert caller.closed is not None
    assert caller.received.count(b"HTTP/1.1") == 1
    assert decode_chunked(caller.body) == (b"part", False)


# Requests whose stream began at a version that is asked for.


def hold_versions(harness):
    """Have the question for a stream's version wait; return the list of the open ones."""
    asked = []

    def find(key):
        asked.append(defer.Deferred())
        return asked[-1]

    harness.gateways[0].forwarder.versions._exchange.find = find
    return asked


def begin_resumption(harness, length=None, **headers):
    """Send the head of a request that resumes a stream, and the first part of its body."""
    caller = harness.connect()
    framing = (b"Content-Length", b"%d" % length) if length else (b"Transfer-Encoding", b"chunked")
    fields = [(b"Resumes", b"begun"), (b"Last-Event-Id", b"2"), framing, *headers.items()]
    head = harness.request_bytes(method=b"POST", request_id=b"resumed", headers=fields)
    caller.transport.write(head)
    send_part(caller, FIRST_BYTES, length)
    harness.network.advance(0.01)
    return caller


def send_part(caller, size, length=None, byte=b"a"):
    data = byte * size
    caller.transport.write(data if length else b"%x\r\n%b\r\n" % (size, data))


def runs(harness):
    """Return the endpoints that got the resumed request."""
    return [
        endpoint
        for endpoint in harness.endpoints
        for request in endpoint.requests
        if header_value(request.headers, b"request-id") == b"resumed"
    ]


@pytest.mark.parametrize("length", [None, FIRST_BYTES + 2 * PARTS * PART_BYTES])
def test_parts_of_a_body_that_arrive_during_a_wait_begin_no_further_attempts(length):
    harness = make_harness(["v1", "v1", "v2", "v2"])
    asked = hold_versions(harness)
    caller = begin_resumption(harness, length)
    for number in range(PARTS):
        send_part(caller, PART_BYTES, length, b"%d" % number)
        harness.network.advance(0.01)
    for question in asked:
        question.callback("v1")
        harness.network.advance(0.01)
    for number in range(PARTS):
        send_part(caller, PART_BYTES, length, b"%d" % (5 + number))
        harness.network.advance(0.01)
    if not length:
        caller.transport.write(b"0\r\n\r\n")
    harness.network.advance_until(lambda: answered(caller))
    assert is_whole(caller)
    assert caller.received.count(b"HTTP/1.1") == 1
    (endpoint,) = runs(harness)
    parts = b"".join(b"%d" % number * PART_BYTES for number in range(2 * PARTS))
    assert endpoint.bodies == [b"a" * FIRST_BYTES + parts]
    assert len(asked) == 1


def test_body_that_ends_during_a_wait_is_sent_whole():
    harness = make_harness(["v1", "v1", "v2", "v2"])
    asked = hold_versions(harness)
    caller = begin_resumption(harness)
    send_part(caller, PART_BYTES)
    caller.transport.write(b"0\r\n\r\n")
    harness.network.advance(0.01)
    for question in asked:
        question.callback("v2")
    harness.network.advance_until(lambda: answered(caller))
    assert is_whole(caller)
    (endpoint,) = runs(harness)
    assert endpoint.bodies == [b"a" * (FIRST_BYTES + PART_BYTES)]


def leave(harness, caller):
    caller.transport.abortConnection()


def let_time_pass(harness, caller):
    harness.network.advance(6.0)


def stop(harness, caller):
    for request in list(harness.gateways[0].forwarder.open_requests):
        request.end_at_stop()


@pytest.mark.parametrize("end", [leave, let_time_pass, stop])
def test_version_found_after_the_end_of_its_request_runs_nothing(end):
    harness = make_harness(["v1", "v1", "v2", "v2"])
    asked = hold_versions(harness)
    caller = begin_resumption(harness)
    send_part(caller, PART_BYTES)
    harness.network.advance(0.01)
    end(harness, caller)
    harness.network.advance(0.01)
    for question in asked:
        question.callback("v1")
    harness.network.advance(1.0)
    assert not runs(harness)
    assert caller.received.count(b"HTTP/1.1") <= 1
    assert len(harness.logs[0].of("request.ended")) == 1
