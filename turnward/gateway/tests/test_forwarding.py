# SPDX-License-Identifier: BSD-3-Clause
"""Requests forwarded by a gateway, as callers and endpoints see them."""

import msgspec
import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.tests.harness import (
    DIALECT,
    ENGINE_POOL,
    Harness,
    abort_connection,
    answer_head,
    answer_not_run,
    answer_ok,
    answered,
    decode_chunked,
    encode_events,
    never_answer,
    raw_answer,
    stream_events,
)
from turnward.http1 import header_value


def error_reason(caller):
    return msgspec.json.decode(caller.body)["error"]


def test_request_and_response_are_forwarded_unchanged():
    harness = Harness()
    endpoint = harness.endpoint(answer_ok)
    harness.ready()
    caller = harness.ask(
        method=b"POST",
        path=b"/a/b%20c?x=1&y=%2f",
        body=b"\x00\xffdata",
        headers=((b"X-Own", b"kept"), (b"Workspace", b"forged"), (b"Request-Priority", b"0")),
    )
    request = endpoint.requests[0]
    assert (caller.status, caller.body) == (200, b"fine")
    assert caller.header(b"answer-seal") == b"seal"
    assert (request.method, request.target) == (b"POST", b"/a/b%20c?x=1&y=%2f")
    assert endpoint.bodies == [b"\x00\xffdata"]
    assert header_value(request.headers, b"x-own") == b"kept"
    assert header_value(request.headers, b"authorization") is None
    assert [v for n, v in request.headers if n == b"workspace"] == [b"acme"]
    assert [v for n, v in request.headers if n == b"request-priority"] == [b"5"]
    assert header_value(request.headers, DIALECT.expected_endpoint) == b"e-1"


def test_endpoint_gets_remaining_time_of_shorter_limit():
    harness = Harness(time_limit_s=2.0)
    endpoint = harness.endpoint(answer_ok)
    harness.ready()
    harness.ask(headers=((b"Deadline-Ms", b"9000"),))
    harness.ask(headers=((b"Deadline-Ms", b"500"),))
    remaining_ms = [
        int(header_value(request.headers, DIALECT.deadline_ms)) for request in endpoint.requests
    ]
    assert 1_900 < remaining_ms[0] <= 2_000
    assert 400 < remaining_ms[1] <= 500


def test_unknown_route_and_key_are_refused_while_the_configuration_is_confirmed():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready()
    assert harness.ask(path=b"/other/").status == 404
    assert harness.ask(key=b"nobody").status == 401
    assert harness.ask(key=None).status == 401


def test_unknown_route_and_key_get_503_while_configuration_is_stale():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready()
    harness.clients[0].faults.unavailable = True
    harness.network.advance(8.0)
    for fields in ({"path": b"/other/"}, {"key": b"nobody"}):
        caller = harness.ask(**fields)
        assert (caller.status, error_reason(caller)) == (503, "configuration_not_confirmed")
        assert float(caller.header(b"retry-after")) > 0
    assert harness.ask().status == 200


def test_process_without_configuration_is_not_ready_and_refuses():
    harness = Harness()
    harness.gateway()
    harness.network.advance(1.0)
    caller = harness.ask()
    assert caller.status == 503
    assert not harness.gateways[0].ready


@pytest.mark.parametrize("repeat", [RetryPolicy.ANY, RetryPolicy.ONCE, RetryPolicy.STREAM])
def test_refusal_by_full_endpoint_is_reported_as_not_run(repeat):
    harness = Harness(repeat=repeat, attempts=1)
    harness.endpoint(answer_not_run)
    harness.ready()
    caller = harness.ask(method=b"POST", body=b"x")
    assert (caller.status, error_reason(caller)) == (503, "endpoints_full")
    assert float(caller.header(b"retry-after")) > 0
    assert caller.header(b"answer-seal") is None


def test_refused_request_goes_to_another_endpoint():
    harness = Harness(repeat=RetryPolicy.ONCE, attempts=2)
    for _ in range(2):
        harness.endpoint(answer_not_run)
    harness.endpoint(answer_ok)
    harness.ready()
    answers = [harness.ask(method=b"POST", body=b"x").status for _ in range(12)]
    assert set(answers) <= {200, 503}
    assert all(len(endpoint.ids()) == len(set(endpoint.ids())) for endpoint in harness.endpoints)


@pytest.mark.parametrize(
    "behave",
    [abort_connection, raw_answer(b"nonsense\r\n\r\n"), raw_answer(b"HTTP/1.1 200 OK\r\n")],
)
def test_request_that_must_not_run_twice_is_sent_once(behave):
    harness = Harness(repeat=RetryPolicy.ONCE, attempts=3, time_limit_s=1.0)
    for _ in range(3):
        harness.endpoint(behave)
    harness.ready()
    caller = harness.ask(method=b"POST", body=b"x")
    assert caller.status in (502, 504)
    assert sum(len(endpoint.requests) for endpoint in harness.endpoints) == 1


@pytest.mark.parametrize("behave", [abort_connection, raw_answer(b"nonsense\r\n\r\n")])
def test_repeatable_request_is_sent_to_another_endpoint(behave):
    harness = Harness(repeat=RetryPolicy.ANY, attempts=2)
    harness.endpoint(behave)
    harness.endpoint(answer_ok)
    harness.ready()
    assert [harness.ask().status for _ in range(6)] == [200] * 6


def test_retry_budget_is_not_charged_without_another_endpoint():
    harness = Harness(repeat=RetryPolicy.ANY, attempts=3)
    harness.endpoint(abort_connection)
    harness.ready()
    assert harness.ask().status == 502
    assert harness.logs[0].of("attempt.not_repeated")[0]["why"] == "no_other_endpoint"
    assert not harness.gateways[0].forwarder.retry_budget("pool")._retries


def test_error_of_only_endpoint_is_forwarded_unchanged():
    def answer_500(endpoint, request):
        request.answer(500, answer_head(request), b"own words")

    harness = Harness(repeat=RetryPolicy.ANY, attempts=3)
    harness.endpoint(answer_500)
    harness.ready()
    caller = harness.ask()
    assert (caller.status, caller.body) == (500, b"own words")


def test_attempts_setting_limits_endpoints_per_request():
    harness = Harness(repeat=RetryPolicy.ANY, attempts=2)
    for _ in range(4):
        harness.endpoint(abort_connection)
    harness.ready()
    assert harness.ask().status == 502
    assert sum(len(endpoint.requests) for endpoint in harness.endpoints) == 2


def test_unreachable_endpoints_are_skipped_without_sending():
    harness = Harness(repeat=RetryPolicy.ONCE, attempts=1)
    killed = [harness.endpoint(answer_ok) for _ in range(2)]
    harness.endpoint(answer_ok)
    harness.ready()
    for endpoint in killed:
        endpoint.machine.kill()
    assert [harness.ask(method=b"POST", body=b"x").status for _ in range(5)] == [200] * 5


def test_endpoint_error_is_retried_then_forwarded():
    def answer_500(endpoint, request):
        request.answer(500, answer_head(request, endpoint.endpoint_id.encode()), b"broken")

    harness = Harness(repeat=RetryPolicy.ANY, attempts=2)
    harness.endpoint(answer_500)
    harness.endpoint(answer_500)
    harness.ready()
    caller = harness.ask()
    assert (caller.status, caller.body) == (500, b"broken")
    assert sorted(len(endpoint.requests) for endpoint in harness.endpoints) == [1, 1]


def test_response_without_seal_is_not_forwarded():
    harness = Harness(repeat=RetryPolicy.ONCE)
    harness.endpoint(
        raw_answer(b"HTTP/1.1 200 OK\r\nRequest-Id: <id>\r\nContent-Length: 2\r\n\r\nno")
    )
    harness.ready()
    assert harness.ask(method=b"POST", body=b"").status == 502


def test_not_run_status_is_not_forwarded_for_request_that_may_have_run():
    def answer_503(endpoint, request):
        request.answer(503, answer_head(request), b"later")

    harness = Harness(repeat=RetryPolicy.ONCE)
    harness.endpoint(answer_503)
    harness.ready()
    caller = harness.ask(method=b"POST", body=b"")
    assert caller.status == 502
    assert caller.header(b"answer-seal") is None


def test_response_with_unrequested_encoding_is_not_forwarded():
    harness = Harness(repeat=RetryPolicy.ONCE)
    harness.endpoint(
        raw_answer(
            b"HTTP/1.1 200 OK\r\nRequest-Id: <id>\r\nAnswer-Seal: s\r\n"
            b"Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"
        )
    )
    harness.ready()
    assert harness.ask(method=b"POST", body=b"").status == 502


GOOD = b"HTTP/1.1 200 OK\r\nRequest-Id: <id>\r\nAnswer-Seal: s\r\nContent-Length: 4\r\n\r\ngood"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: else\r\nAnswer-Seal: s\r\nContent-Length: 3\r\n\r\nbad"


def test_late_response_to_earlier_request_is_skipped():
    harness = Harness(repeat=RetryPolicy.ONCE)
    harness.endpoint(raw_answer(OTHER + GOOD))
    harness.ready()
    caller = harness.ask(method=b"POST", body=b"")
    assert (caller.status, caller.body) == (200, b"good")


def test_extra_response_closes_its_connection():
    harness = Harness(repeat=RetryPolicy.ONCE)
    endpoint = harness.endpoint(raw_answer(GOOD + GOOD.replace(b"good", b"evil")))
    harness.ready()
    for _ in range(4):
        assert harness.ask(method=b"POST", body=b"").body == b"good"
    assert len({id(request._connection) for request in endpoint.requests}) == 4


def test_late_extra_response_closes_its_connection():
    def behave(endpoint, request):
        raw_answer(GOOD)(endpoint, request)
        endpoint.machine.callLater(0.1, raw_answer(OTHER), endpoint, request)

    harness = Harness(repeat=RetryPolicy.ONCE)
    harness.endpoint(behave)
    harness.ready()
    assert harness.ask(method=b"POST", body=b"").body == b"good"
    harness.network.advance(0.2)
    harness.endpoints[0].behave = raw_answer(GOOD)
    assert harness.ask(method=b"POST", body=b"").body == b"good"


def test_truncated_response_is_never_continued_from_another_endpoint():
    def abort_halfway(endpoint, request):
        request.start(200, answer_head(request, b"first"), None)
        request.write(b"half")
        endpoint.machine.callLater(0.05, request.abort)

    harness = Harness(repeat=RetryPolicy.ANY, attempts=2)
    harness.endpoint(abort_halfway)
    harness.endpoint(lambda endpoint, request: answer_ok(endpoint, request, b"whole"))
    harness.ready()
    for _ in range(6):
        caller = harness.ask()
        assert caller.status == 200
        assert caller.header(b"answer-seal") == b"seal"
        body = (
            decode_chunked(caller.body)[0] if caller.header(b"transfer-encoding") else caller.body
        )
        assert body == b"whole"


UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: <id>\r\nAnswer-Seal: s\r\n\r\nto the end"


@pytest.mark.parametrize("how", ["loseConnection", "abortConnection"])
def test_response_without_length_is_complete_only_after_clean_close(how):
    def behave(endpoint, request):
        raw_answer(UNFRAMED)(endpoint, request)
        endpoint.machine.callLater(0.05, getattr(request._connection.transport, how))

    harness = Harness(repeat=RetryPolicy.ONCE)
    harness.endpoint(behave)
    harness.ready()
    caller = harness.ask(method=b"POST", body=b"")
    if how == "loseConnection":
        assert (caller.status, caller.body) == (200, b"to the end")
    else:
        assert caller.status == 502


def test_caller_disconnect_cancels_request_at_endpoint():
    harness = Harness()
    endpoint = harness.endpoint(never_answer)
    harness.ready()
    caller = harness.send()
    harness.network.advance(0.1)
    caller.transport.loseConnection()
    harness.network.advance(0.05)
    assert len(endpoint.disconnected) == 1
    assert not harness.gateways[0].forwarder.open_requests


def test_time_limit_is_enforced():
    harness = Harness(time_limit_s=1.0)
    harness.endpoint(never_answer)
    harness.ready()
    caller = harness.send()
    harness.network.advance(0.95)
    assert caller.status is None
    harness.network.advance(0.15)
    assert (caller.status, error_reason(caller)) == (504, "time_limit")


def test_pipelined_requests_get_their_responses_in_order():
    def echo(endpoint, request):
        delay_s = 0.2 if request.target.endswith(b"slow") else 0.0
        endpoint.machine.callLater(delay_s, answer_ok, endpoint, request, request.target)

    harness = Harness()
    harness.endpoint(echo)
    harness.ready()
    caller = harness.connect()
    paths = [b"/a/slow", b"/a/quick", b"/a/last"]
    caller.transport.write(b"".join(harness.request_bytes(path=path) for path in paths))
    harness.network.advance(1.0)
    positions = [caller.received.index(path) for path in paths]
    assert positions == sorted(positions)
    assert caller.received.count(b"200 OK") == 3


@pytest.mark.parametrize(
    "bad",
    [
        b"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/smuggled HTTP/1.1\r\n\r\n",
        b"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5\r\n"
        b"Content-Length: 6\r\n\r\nhello!",
        b"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: xchunked\r\n\r\n",
        b"POST /a/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET /a/x HTTP/1.1\r\nHost: shop.example\r\nBad Header: x\r\n\r\n",
        b"\x00\x01\x02",
    ],
)
def test_malformed_requests_are_refused_and_reach_no_endpoint(bad):
    harness = Harness()
    endpoint = harness.endpoint(answer_ok)
    harness.ready()
    caller = harness.connect()
    caller.transport.write(bad)
    harness.network.advance(7.0)
    assert caller.status in (400, 408)
    assert caller.closed is not None
    assert endpoint.requests == []
    assert harness.ask().status == 200


@pytest.mark.parametrize("header", [b"Request-Id", b"Host"])
def test_duplicate_identity_headers_are_refused(header):
    harness = Harness()
    endpoint = harness.endpoint(answer_ok)
    harness.ready()
    assert harness.ask(headers=((header, b"second"),)).status == 400
    assert endpoint.requests == []


def test_chunked_body_arrives_complete():
    harness = Harness()
    endpoint = harness.endpoint(answer_ok)
    harness.ready()
    caller = harness.connect()
    head = harness.request_bytes(method=b"POST", headers=((b"Transfer-Encoding", b"chunked"),))
    caller.transport.write(head + b"3\r\nabc\r\n")
    harness.network.advance(0.1)
    caller.transport.write(b"2\r\nde\r\n0\r\n\r\n")
    harness.network.advance(0.1)
    assert caller.status == 200
    assert endpoint.bodies == [b"abcde"]


def test_large_body_is_streamed_and_slow_endpoint_pauses_caller():
    def read_nothing(endpoint, request):
        request.pause_body()

    harness = Harness(repeat=RetryPolicy.ONCE, time_limit_s=60.0)
    endpoint = harness.endpoint(read_nothing)
    endpoint.answers_early = True
    harness.ready()
    caller = harness.connect()
    size = 4_000_000
    head = harness.request_bytes(method=b"POST", headers=((b"Content-Length", b"%d" % size),))
    caller.transport.write(head)
    for _ in range(size // 10_000):
        if caller.transport._under_way < 300_000:
            caller.transport.write(b"b" * 10_000)
            harness.network.advance(0.005)
    unread = caller.transport._under_way
    assert unread > 100_000
    endpoint.requests[0].attach(lambda data: None, lambda: None)
    harness.network.advance(0.5)
    assert caller.transport._under_way < unread


def test_slow_caller_pauses_endpoint():
    harness = Harness(repeat=RetryPolicy.STREAM, time_limit_s=60.0)
    endpoint = harness.endpoint(never_answer)
    harness.ready()
    caller = harness.send()
    harness.network.advance(0.1)
    caller.transport.pauseProducing()
    request = endpoint.requests[0]
    request.start(200, answer_head(request), None)
    paused = []
    request.on_pause = lambda: paused.append(True)
    for turn in range(60):
        if not paused:
            request.write(encode_events(100 * turn + 1, 100 * turn + 100, 100))
            harness.network.advance(0.01)
    assert paused
    caller.transport.resumeProducing()
    request.on_resume = paused.clear
    harness.network.advance(0.2)
    assert not paused


# Event streams.


def streaming_harness(resumable, attempts=3):
    return Harness(
        pools=(ENGINE_POOL,), repeat=RetryPolicy.STREAM, resumable=resumable, attempts=attempts
    )


def test_events_are_forwarded_as_they_arrive():
    def stream_slowly(endpoint, request):
        request.start(200, answer_head(request), None)
        request.write(encode_events(1, 1))
        endpoint.machine.callLater(1.0, request.write, encode_events(2, 2))
        endpoint.machine.callLater(1.1, request.finish)

    harness = streaming_harness(resumable=True)
    harness.endpoint(stream_slowly)
    harness.ready()
    caller = harness.send(method=b"POST", body=b"p")
    harness.network.advance(0.5)
    assert decode_chunked(caller.body) == (encode_events(1, 1), False)
    harness.network.advance(1.0)
    assert decode_chunked(caller.body) == (encode_events(1, 2), True)


def test_resumable_stream_continues_at_another_endpoint():
    harness = streaming_harness(resumable=True)
    broken = harness.endpoint(
        stream_events(9, up_to=4, then=lambda e, r: e.machine.callLater(0.1, r.abort))
    )
    harness.endpoint(stream_events(9))
    harness.ready()
    for _ in range(4):
        caller = harness.ask(method=b"POST", body=b"p")
        assert decode_chunked(caller.body) == (encode_events(1, 9), True)
    assert broken.requests


def test_partial_event_is_not_joined_with_another_run():
    def abort_inside_event(endpoint, request):
        request.start(200, answer_head(request), None)
        request.write(encode_events(1, 3)[:-4])
        endpoint.machine.callLater(0.05, request.abort)

    harness = streaming_harness(resumable=True)
    harness.endpoint(abort_inside_event)
    harness.endpoint(stream_events(5))
    harness.ready()
    for _ in range(4):
        assert decode_chunked(harness.ask(method=b"POST", body=b"p").body) == (
            encode_events(1, 5),
            True,
        )


def test_non_resumable_stream_is_aborted_and_does_not_look_complete():
    harness = streaming_harness(resumable=False)
    for _ in range(2):
        harness.endpoint(
            stream_events(9, up_to=4, then=lambda e, r: e.machine.callLater(0.1, r.abort))
        )
    harness.ready()
    caller = harness.ask(method=b"POST", body=b"p")
    assert caller.closed is not None
    assert decode_chunked(caller.body) == (encode_events(1, 4), False)
    assert sum(len(endpoint.requests) for endpoint in harness.endpoints) == 1


def test_resumed_stream_that_restarts_is_rejected():
    def restart_stream(endpoint, request):
        request.start(200, answer_head(request), None)
        request.write(encode_events(1, 9))
        request.finish()

    harness = streaming_harness(resumable=True, attempts=2)
    first = harness.endpoint(
        stream_events(9, up_to=4, then=lambda e, r: e.machine.callLater(0.5, r.abort))
    )
    harness.ready()
    caller = harness.send(method=b"POST", body=b"p")
    harness.network.advance_until(lambda: first.requests)
    harness.endpoint(restart_stream)
    harness.network.advance_until(lambda: answered(caller))
    body, complete = decode_chunked(caller.body)
    assert body == encode_events(1, 4)
    assert not complete


def test_body_of_a_pipelined_request_is_not_changed():
    def answer_late(endpoint, request):
        endpoint.machine.callLater(0.5, answer_ok, endpoint, request)

    harness = Harness(attempts=1)
    endpoint = harness.endpoint(answer_late)
    harness.ready()
    caller = harness.connect()
    body = b"".join(b"%03d." % number for number in range(25))
    second = harness.request_bytes(request_id=b"b", method=b"POST", body=body)
    caller.transport.write(harness.request_bytes(request_id=b"a") + second[:-60])
    harness.network.advance(0.1)
    caller.transport.write(second[-60:-30])
    harness.network.advance(1.5)
    caller.transport.write(second[-30:] + harness.request_bytes(request_id=b"c"))
    harness.network.advance(3.0)
    assert endpoint.bodies == [b"", body, b""]


def test_stream_that_a_caller_resumes_does_not_start_over():
    def restart_stream(endpoint, request):
        request.start(200, answer_head(request), None)
        request.write(encode_events(1, 9))
        request.finish()

    harness = streaming_harness(resumable=True, attempts=2)
    harness.endpoint(restart_stream)
    harness.ready()
    harness.watch_pools()
    caller = harness.ask(method=b"POST", body=b"p", headers=((b"Last-Event-Id", b"4"),))
    assert decode_chunked(caller.body) == (b"", False)
    assert caller.closed is not None


def test_stream_that_ends_inside_an_event_does_not_look_complete():
    def end_inside_event(endpoint, request):
        request.start(200, answer_head(request), None)
        request.write(encode_events(1, 3)[:-4])
        request.finish()

    harness = streaming_harness(resumable=False)
    harness.endpoint(end_inside_event)
    harness.ready()
    caller = harness.ask(method=b"POST", body=b"p")
    assert caller.closed is not None
    assert not decode_chunked(caller.body)[1]


# Draining endpoints and reassigned addresses.


def test_draining_endpoint_gets_no_new_requests():
    harness = Harness()
    draining = harness.endpoint(answer_ok)
    harness.endpoint(answer_ok)
    harness.ready()
    harness.announce(draining, leaving=True)
    harness.network.advance(0.1)
    before = len(draining.requests)
    assert [harness.ask().status for _ in range(6)] == [200] * 6
    assert len(draining.requests) == before


def test_request_is_not_run_at_reassigned_address():
    harness = Harness(repeat=RetryPolicy.ONCE, attempts=1)
    endpoint = harness.endpoint(answer_ok)
    harness.ready()
    endpoint.endpoint_id = "e-new"
    caller = harness.ask(method=b"POST", body=b"")
    assert (caller.status, error_reason(caller)) == (503, "no_endpoint")


# Configuration.


def test_configuration_applies_at_once_and_never_reverts():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready()
    old = harness.configuration
    harness.configure(routes=(harness.route(path_prefix="/b/"),))
    harness.network.advance(0.1)
    assert (harness.ask(path=b"/a/x").status, harness.ask(path=b"/b/x").status) == (404, 200)
    harness.rows.put("configuration", "all", msgspec.json.encode(old))
    harness.network.advance(0.5)
    assert harness.ask(path=b"/b/x").status == 200


def test_removed_key_is_refused_by_gateway_without_store():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready(gateways=2)
    harness.network.advance(1.0)
    harness.clients[1].faults.unavailable = True
    harness.network.advance(1.0)
    workspace = msgspec.structs.replace(harness.configuration.workspaces[0], keys=("other",))
    harness.configure(workspaces=(workspace,))
    harness.network.advance(1.5)
    assert harness.ask(gateway=1).status == 401
    assert harness.ask(gateway=1, key=b"other").status == 200


def test_table_is_reread_after_history_loss():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready()
    harness.clients[0].faults.unavailable = True
    harness.network.advance(0.5)
    harness.configure(routes=(harness.route(path_prefix="/b/"),))
    harness.rows.forget_history()
    harness.clients[0].faults.unavailable = False
    harness.network.advance(3.0)
    assert harness.ask(path=b"/b/x").status == 200


# Planned stop.


def test_planned_stop_completes_open_requests():
    harness = Harness(repeat=RetryPolicy.ONCE, time_limit_s=20.0)
    harness.endpoint(lambda e, r: e.machine.callLater(2.0, answer_ok, e, r))
    harness.ready()
    idle = harness.connect()
    running = harness.send(method=b"POST", body=b"")
    harness.network.advance(0.2)
    stopped = []
    harness.gateways[0].stopped.addCallback(stopped.append)
    harness.gateways[0].stop()
    assert not harness.gateways[0].ready
    harness.network.advance(0.5)
    idle.transport.write(harness.request_bytes(method=b"POST", body=b""))
    harness.network.advance(2.6)
    assert (running.status, idle.status) == (200, 200)
    assert idle.header(b"connection") == b"close"
    harness.network.advance(1.0)
    assert stopped


def test_planned_stop_ends_by_its_limit():
    harness = Harness(time_limit_s=60.0)
    harness.endpoint(never_answer)
    harness.ready()
    caller = harness.send()
    harness.network.advance(0.2)
    stopped = []
    harness.gateways[0].stopped.addCallback(stopped.append)
    harness.gateways[0].stop()
    harness.network.advance(7.9)
    assert stopped
    assert caller.status == 502


def test_request_late_in_planned_stop_is_refused():
    harness = Harness(repeat=RetryPolicy.STREAM, time_limit_s=20.0)
    endpoint = harness.endpoint(never_answer)
    harness.ready()
    # One request delays the stop to its limit, another arrives in two parts.
    running = harness.send(method=b"POST", body=b"")
    late = harness.connect()
    late.transport.write(harness.request_bytes(method=b"POST", body=b"")[:40])
    harness.network.advance(0.2)
    harness.gateways[0].stop()
    harness.network.advance(4.0)
    late.transport.write(harness.request_bytes(method=b"POST", body=b"")[40:])
    harness.network.advance(0.2)
    assert (late.status, error_reason(late)) == (503, "stopping")
    assert len(endpoint.requests) == 1
    assert running.status is None


def test_idle_connections_are_closed_before_the_stop_ends():
    harness = Harness(time_limit_s=20.0)
    harness.endpoint(never_answer)
    harness.ready()
    idle = harness.connect()
    harness.send()
    harness.network.advance(0.2)
    harness.gateways[0].stop()
    harness.network.advance(2.0)
    assert idle.closed is None
    harness.network.advance(1.0)
    assert idle.closed is not None


def test_internal_error_is_logged_and_affects_no_other_request(monkeypatch):
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready()
    with monkeypatch.context() as patch:
        patch.setattr(harness.gateways[0].endpoints, "choose", lambda *_: 1 / 0)
        assert harness.ask().status == 500
    assert "ZeroDivisionError" in harness.logs[0].of("process.fault")[0]["cause"]
    assert harness.ask().status == 200


def test_process_frozen_before_sending_sends_nothing_late():
    harness = Harness(repeat=RetryPolicy.ONCE, time_limit_s=2.0)
    endpoint = harness.endpoint(answer_ok)
    harness.ready()
    caller = harness.connect()
    caller.transport.write(harness.request_bytes(method=b"POST", body=b""))
    # The request has been read and a connection to the endpoint is being opened.
    assert harness.network.advance_until(lambda: harness.gateways[0].forwarder.open_requests)
    harness.machines[0].freeze()
    harness.network.advance(3.0)
    harness.machines[0].wake()
    harness.network.advance(0.5)
    assert endpoint.requests == []
    assert (caller.status, error_reason(caller)) == (503, "time_limit")


def test_replaced_endpoint_is_tried_once():
    """One response from a replaced endpoint is enough for it to be avoided."""
    harness = Harness(attempts=1)
    endpoints = [harness.endpoint(answer_ok) for _ in range(2)]
    harness.ready()
    endpoints[0].endpoint_id = "another"
    refused = 0
    for _ in range(20):
        refused += harness.ask().status != 200
        harness.network.advance(0.5)
    assert refused == 1
