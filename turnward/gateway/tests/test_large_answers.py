# SPDX-License-Identifier: BSD-3-Clause
"""Answers that fill the caller's send buffer pause their own connection, and no other."""

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.tests.harness import (
    DIALECT,
    Harness,
    answer_head,
    answer_ok,
    decode_chunked,
    encode_events,
)
from turnward.http1 import header_value

#: The largest answer that is buffered whole.
LARGE_BYTES = 65_536


def answer_large_first(endpoint, request):
    large = header_value(request.headers, b"x-large") is not None
    answer_ok(endpoint, request, b"s" * LARGE_BYTES if large else b"fine")


@pytest.mark.parametrize("cut_off", [False, True], ids=["endpoint", "relay"])
def test_request_after_a_large_answer_is_answered(cut_off):
    harness = Harness(attempts=1, time_limit_s=2.0)
    endpoint = harness.endpoint(answer_large_first)
    harness.ready(2)
    harness.network.advance(1.0)
    if cut_off:
        harness.network.refuse(harness.machines[0].host, endpoint.machine.host)
        harness.ask(path=b"/a/first")
    harness.network.advance(1.0)
    for _ in range(3):
        large = harness.ask(headers=((b"X-Large", b"1"),))
        assert (large.status, len(large.body)) == (200, LARGE_BYTES)
        assert harness.ask(method=b"POST", body=b"x").status == 200


#: Sizes of the part of a stream before its break, and of all of it; both fill send buffers.
FIRST_EVENTS, ALL_EVENTS, EVENT_BYTES = 10, 400, 10_000


def break_off_while_the_caller_is_paused(endpoint, request):
    """Send a stream whose next event goes back; send the rest where it is resumed."""
    after = header_value(request.headers, DIALECT.last_event_id)
    request.start(200, answer_head(request), None)
    if after is not None:
        request.write(encode_events(int(after) + 1, ALL_EVENTS, EVENT_BYTES))
        request.finish()
        return
    chunks = [encode_events(1, FIRST_EVENTS, EVENT_BYTES), encode_events(1, 1, EVENT_BYTES)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    request._connection.transport.write(framed)


def test_attempt_that_begins_while_the_caller_is_paused_is_paused():
    harness = Harness(repeat=RetryPolicy.STREAM, attempts=3, resumable=True)
    for _ in range(2):
        harness.endpoint(break_off_while_the_caller_is_paused)
    harness.ready()
    caller = harness.send()
    caller.transport.pauseProducing()
    harness.network.advance(1.0)
    assert sum(len(endpoint.requests) for endpoint in harness.endpoints) == 2
    assert caller.transport.peer._under_way < 300_000
    caller.transport.resumeProducing()
    assert harness.network.advance_until(lambda: decode_chunked(caller.body)[1])
    assert decode_chunked(caller.body)[0] == encode_events(1, ALL_EVENTS, EVENT_BYTES)
