# SPDX-License-Identifier: BSD-3-Clause
"""Responses that end with their connection: a process that ends has not finished its response."""

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.tests.harness import (
    DIALECT,
    ENDPOINT_PORT,
    Harness,
    answer_head,
    answered,
    decode_chunked,
    encode_events,
)
from turnward.http1 import header_value

EVENTS = 6


def end_process(endpoint):
    """Close the port and all connections, as the kernel does for a process that is killed."""
    endpoint.machine.listeners.clear()
    for connection in list(endpoint.machine.connections):
        connection.loseConnection()


def respond(request, body):
    request.version, request.closes = "1.0", True
    request.start(200, answer_head(request), None)
    request.write(body)


def events_after(request, last=EVENTS):
    after = header_value(request.headers, DIALECT.last_event_id)
    return encode_events(int(after) + 1 if after else 1, last)


def complete(endpoint, request):
    respond(request, events_after(request))
    request.finish()


def cut_once(endpoint, request):
    """Respond in part and end the process; respond in full at other endpoints."""
    if endpoint.harness.cut:
        complete(endpoint, request)
        return
    endpoint.harness.cut = True
    respond(request, events_after(request, EVENTS // 2))
    endpoint.machine.callLater(0.02, end_process, endpoint)


def make_harness(behave, cut_off=False, endpoints=3, **fields):
    harness = Harness(**{"repeat": RetryPolicy.STREAM, "attempts": 3, **fields})
    harness.cut = False
    for _ in range(endpoints):
        harness.endpoint(behave).harness = harness
    harness.ready(2)
    harness.network.advance(1.0)
    if cut_off:
        for endpoint in harness.endpoints:
            harness.network.refuse(harness.machines[0].host, endpoint.machine.host)
        harness.cut = True
        harness.ask(path=b"/a/first")
        harness.cut = False
        harness.network.advance(1.0)
    return harness


@pytest.mark.parametrize("cut_off", [False, True], ids=["endpoint", "relay"])
def test_stream_that_the_end_of_its_process_cuts_after_an_event_does_not_look_complete(cut_off):
    harness = make_harness(cut_once, cut_off)
    caller = harness.ask()
    assert decode_chunked(caller.body) == (encode_events(1, EVENTS // 2), False)
    assert caller.closed is not None


@pytest.mark.parametrize("cut_off", [False, True], ids=["endpoint", "relay"])
def test_resumable_stream_that_the_end_of_its_process_cuts_goes_on_elsewhere(cut_off):
    harness = make_harness(cut_once, cut_off, resumable=True)
    caller = harness.ask()
    assert decode_chunked(caller.body) == (encode_events(1, EVENTS), True)


@pytest.mark.parametrize(
    ("repeat", "status"), [(RetryPolicy.ANY, 200), (RetryPolicy.ONCE, 502)], ids=["any", "once"]
)
def test_plain_response_that_the_end_of_its_process_cuts_is_not_passed_on(repeat, status):
    harness = make_harness(cut_once, repeat=repeat)
    caller = harness.ask()
    assert caller.status == status
    if status == 200:
        assert caller.body == encode_events(1, EVENTS)


def test_responses_that_end_at_the_same_time_are_complete():
    harness = make_harness(complete, endpoints=1)
    callers = [harness.send() for _ in range(5)]
    harness.network.advance_until(lambda: all(answered(caller) for caller in callers))
    assert all(decode_chunked(each.body) == (encode_events(1, EVENTS), True) for each in callers)


def test_responses_that_end_with_their_connections_open_one_more_at_most():
    harness = make_harness(complete, endpoints=1)
    for _ in range(5):
        assert decode_chunked(harness.ask().body)[1]
    assert harness.endpoints[0].factory.accepted <= 6


def test_last_response_of_an_endpoint_that_drains_and_has_closed_its_port_is_complete():
    def drain_first(endpoint, request):
        harness.announce(endpoint, leaving=True)
        endpoint.machine.listeners.clear()
        endpoint.machine.callLater(1.0, complete, endpoint, request)

    harness = make_harness(drain_first, endpoints=1)
    assert decode_chunked(harness.ask().body) == (encode_events(1, EVENTS), True)


def test_resumable_stream_that_a_planned_end_of_its_process_cuts_goes_on_elsewhere():
    """Guards against the end of a draining endpoint that is taken for the end of its streams."""

    def drain_and_cut(endpoint, request):
        if not endpoint.harness.cut:
            harness.announce(endpoint, leaving=True)
        endpoint.machine.callLater(1.0, cut_once, endpoint, request)

    harness = make_harness(drain_and_cut, resumable=True)
    assert decode_chunked(harness.ask().body) == (encode_events(1, EVENTS), True)
    assert len(harness.logs[0].of("attempt.chosen")) == 2


def test_whole_stream_of_a_draining_endpoint_runs_once():
    def drain_first(endpoint, request):
        harness.announce(endpoint, leaving=True)
        endpoint.machine.callLater(1.0, complete, endpoint, request)

    harness = make_harness(drain_first, resumable=True)
    assert decode_chunked(harness.ask().body) == (encode_events(1, EVENTS), True)
    assert len(harness.logs[0].of("attempt.chosen")) == 1


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("away_s", [0.8, 2.5])
def test_process_that_came_back_during_a_pause_has_not_finished_a_response(away_s, resumable):
    """Guards against another process at the address, which a router sees that was paused."""
    harness = make_harness(cut_once, endpoints=2, resumable=resumable)
    caller = harness.send()
    harness.network.advance_until(lambda: encode_events(1, 1) in caller.body)
    endpoint = next(each for each in harness.endpoints if each.requests)
    gateway = harness.machines[0]
    gateway.freeze()
    harness.network.advance(away_s)
    endpoint.machine.listenTCP(ENDPOINT_PORT, endpoint.factory)
    harness.network.advance(0.5)
    gateway.wake()
    harness.network.advance_until(lambda: answered(caller))
    last = EVENTS if resumable else EVENTS // 2
    assert decode_chunked(caller.body) == (encode_events(1, last), resumable)


def test_caller_that_disconnects_during_the_check_harms_nothing():
    harness = make_harness(complete, endpoints=1, time_limit_s=2.0)
    endpoint = harness.endpoints[0]
    caller = harness.send()
    harness.network.advance_until(lambda: encode_events(1, 1) in caller.body)
    caller.transport.abortConnection()
    harness.network.advance(1.0)
    assert decode_chunked(harness.ask().body) == (encode_events(1, EVENTS), True)
    assert len(endpoint.requests) == 2


def test_response_whose_endpoint_no_longer_takes_connections_in_time_is_broken_off():
    def cut_link(endpoint, request):
        respond(request, events_after(request))
        request.finish()
        endpoint.machine.callLater(0.002, harness.network.cut, *hosts)

    harness = make_harness(cut_link, endpoints=1, repeat=RetryPolicy.ONCE)
    hosts = (harness.machines[0].host, harness.endpoints[0].machine.host)
    caller = harness.ask()
    assert caller.status == 502


def end_before_events(endpoint, request):
    """End the first response before its first event; respond in full to others."""
    if endpoint.harness.cut:
        complete(endpoint, request)
        return
    endpoint.harness.cut = True
    respond(request, b"")
    request.finish()


def test_stream_that_ends_with_its_connection_before_its_first_event_does_not_look_complete():
    harness = make_harness(end_before_events)
    caller = harness.ask()
    assert decode_chunked(caller.body) == (b"", False)
    assert caller.closed is not None


def test_resumable_stream_that_ends_before_its_first_event_goes_on_elsewhere():
    harness = make_harness(end_before_events, resumable=True)
    caller = harness.ask()
    assert decode_chunked(caller.body) == (encode_events(1, EVENTS), True)


def test_resumption_of_a_stream_that_had_all_its_events_is_complete():
    harness = make_harness(complete, resumable=True)
    harness.watch_pools()
    caller = harness.ask(headers=((b"Last-Event-Id", b"%d" % EVENTS),))
    assert decode_chunked(caller.body) == (b"", True)


def test_end_of_a_killed_process_is_not_whole_beside_a_connection_that_is_not_read():
    harness = make_harness(cut_once, endpoints=1)
    endpoint = harness.endpoints[0]
    endpoint.behave = lambda endpoint, request: respond(request, encode_events(1, 40, 10_000))
    slow = harness.send()
    slow.transport.pauseProducing()
    harness.network.advance(0.5)
    endpoint.behave = cut_once
    assert not decode_chunked(harness.ask().body)[1]


def test_end_of_a_killed_process_is_not_whole_although_its_entry_has_gone_meanwhile():
    def kill_late(endpoint, request):
        if harness.cut:
            complete(endpoint, request)
            return
        harness.cut = True
        respond(request, encode_events(1, 40, 10_000))
        endpoint.machine.callLater(0.5, end_process, endpoint)

    harness = make_harness(kill_late, endpoints=2, resumable=True, time_limit_s=30.0)
    caller = harness.send()
    caller.transport.pauseProducing()
    harness.network.advance(1.0)
    first = next(endpoint for endpoint in harness.endpoints if endpoint.requests)
    harness.rows.remove("endpoints", first.endpoint_id)
    harness.network.advance(3.0)
    caller.transport.resumeProducing()
    harness.network.advance(3.0)
    assert len(harness.logs[0].of("attempt.chosen")) == 2


def test_head_of_a_stream_that_ends_with_its_connection_is_a_whole_answer():
    harness = make_harness(complete)
    caller = harness.send(method=b"HEAD")
    harness.network.advance(1.0)
    assert caller.status == 200
    assert not harness.logs[0].of("attempt.failed")
