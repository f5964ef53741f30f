# SPDX-License-Identifier: BSD-3-Clause
"""What a caller holds of a stream lacks no piece and holds none twice, whichever runs it is of."""

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.tests.harness import (
    DIALECT,
    ENGINE_POOL,
    Harness,
    answer_head,
    answered,
    decode_chunked,
)
from turnward.http1 import header_value


def encode(ids):
    return b"".join(b"id: %b\ndata: x\n\n" % str(each).encode() for each in ids)


def run(ids, then_ids=None):
    """Return a ``behave`` that breaks a stream off after some events, and goes on with others."""

    def behave(endpoint, request):
        request.start(200, answer_head(request), None)
        if then_ids is None or header_value(request.headers, DIALECT.last_event_id) is None:
            request.write(encode(ids))
            endpoint.machine.callLater(0.05, request.abort)
        else:
            request.write(encode(then_ids))
            request.finish()

    return behave


def read_stream(behave, endpoints=2):
    """Return the caller's bytes of a stream that such endpoints serve, and whether it is whole."""
    harness = Harness(
        pools=(ENGINE_POOL,), repeat=RetryPolicy.STREAM, resumable=True, attempts=endpoints
    )
    for _ in range(endpoints):
        harness.endpoint(behave)
    harness.ready()
    caller = harness.send(method=b"POST", body=b"p")
    harness.network.advance_until(lambda: answered(caller))
    return decode_chunked(caller.body)


def test_run_that_leaves_a_piece_out_does_not_continue_a_stream():
    assert read_stream(run([1, 2, 3, 4], [6, 7, 8])) == (encode([1, 2, 3, 4]), False)


def test_run_that_leaves_a_piece_out_after_a_comment_does_not_continue_a_stream():
    def behave(endpoint, request):
        if header_value(request.headers, DIALECT.last_event_id) is None:
            run([1, 2, 3, 4])(endpoint, request)
            return
        request.start(200, answer_head(request), None)
        request.write(b": ready\n\n")
        endpoint.machine.callLater(0.05, request.write, encode([6, 7, 8]))
        endpoint.machine.callLater(0.1, request.finish)

    body, complete = read_stream(behave)
    assert (body.startswith(encode([1, 2, 3, 4])), b"id: 6" in body, complete) == (
        True,
        False,
        False,
    )


def test_run_that_follows_at_once_continues_a_stream():
    assert read_stream(run([1, 2, 3, 4], [5, 6, 7])) == (encode(range(1, 8)), True)


def test_ids_that_never_rose_by_one_let_a_run_go_on_at_any_larger_id():
    ids, then_ids = [5, 10, 15], [25, 30]
    assert read_stream(run(ids, then_ids)) == (encode(ids + then_ids), True)


@pytest.mark.parametrize("then_ids", [[5, 6, 6], [5, 7, 6], [5, 4, 6]])
def test_ids_that_go_back_or_repeat_inside_one_read_are_not_forwarded(then_ids):
    assert read_stream(run([1, 2, 3, 4], then_ids)) == (encode([1, 2, 3, 4]), False)


def test_ids_too_long_for_numbers_are_forwarded():
    long_ids = ["9" * 5_000 + str(number) for number in range(3)]
    assert read_stream(run(long_ids, [1, 2])) == (encode([*long_ids, 1, 2]), True)


def test_stream_whose_first_run_declared_a_length_is_whole_after_a_run_of_another_length():
    def behave(endpoint, request):
        continues = header_value(request.headers, DIALECT.last_event_id) is not None
        if continues:
            events = encode([3]) + b": a longer rest\n" + encode([4, 5])
            request.start(200, answer_head(request), len(events))
            request.write(events)
            request.finish()
        else:
            request.start(200, answer_head(request), len(encode(range(1, 6))))
            request.write(encode([1, 2]))
            endpoint.machine.callLater(0.05, request.abort)

    expected = encode([1, 2, 3]) + b": a longer rest\n" + encode([4, 5])
    assert read_stream(behave) == (expected, True)


def test_head_of_a_stream_is_followed_by_no_bytes():
    harness = Harness(pools=(ENGINE_POOL,), repeat=RetryPolicy.STREAM, resumable=True)
    harness.endpoint(lambda endpoint, request: request.start(200, answer_head(request), None))
    harness.ready()
    caller = harness.send(method=b"HEAD")
    harness.network.advance(1.0)
    assert caller.status == 200
    assert caller.body == b""
