# SPDX-License-Identifier: BSD-3-Clause
"""Responses that end with their connection: one that ends inside an event is not complete."""

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.tests.harness import (
    DIALECT,
    Harness,
    answer_head,
    answered,
    decode_chunked,
    encode_events,
    stream_events,
)
from turnward.http1 import header_value

EVENTS = 4


def unframed(body_of, clean=True):
    """Return a ``behave`` that responds without length or chunks and ends the connection."""

    def behave(endpoint, request):
        request.version, request.closes = "1.0", True
        request.start(200, answer_head(request), None)
        request.write(body_of(request))
        if clean:
            request.finish()
        else:
            endpoint.machine.callLater(0.02, request.abort)

    return behave


def events_of(request, last=EVENTS):
    after = header_value(request.headers, DIALECT.last_event_id)
    return encode_events(int(after) + 1 if after else 1, last)


def answer_with_length(endpoint, request):
    request.answer(200, answer_head(request), encode_events(1, EVENTS))


def cut_inside_the_third(request):
    """Return the events up to the middle of the third; the rest where the stream is resumed."""
    if header_value(request.headers, DIALECT.last_event_id):
        return events_of(request)
    return encode_events(1, 3)[:-4]


def make_harness(behave, gateways=1, cut_off=False, **fields):
    fields = {"repeat": RetryPolicy.STREAM, "attempts": 3, **fields}
    harness = Harness(**fields)
    for _ in range(3):
        harness.endpoint(behave)
    harness.ready(gateways)
    harness.network.advance(1.0)
    if cut_off:
        for endpoint in harness.endpoints:
            harness.network.refuse(harness.machines[0].host, endpoint.machine.host)
        harness.ask(path=b"/a/first")
        harness.network.advance(1.0)
    return harness


@pytest.mark.parametrize("cut_off", [False, True])
@pytest.mark.parametrize("clean", [True, False])
def test_stream_that_ends_inside_an_event_does_not_look_complete(clean, cut_off):
    harness = make_harness(unframed(cut_inside_the_third, clean), 2, cut_off)
    caller = harness.ask()
    body, whole = decode_chunked(caller.body)
    assert caller.closed is not None
    assert not whole
    assert encode_events(1, 3).startswith(body)


@pytest.mark.parametrize("cut_off", [False, True])
@pytest.mark.parametrize("clean", [True, False])
def test_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere(clean, cut_off):
    def behave(endpoint, request):
        resumed = header_value(request.headers, DIALECT.last_event_id)
        unframed(cut_inside_the_third, clean or resumed is not None)(endpoint, request)

    harness = make_harness(behave, 2, cut_off, resumable=True)
    caller = harness.ask()
    assert decode_chunked(caller.body) == (encode_events(1, EVENTS), True)


@pytest.mark.parametrize("cut_off", [False, True])
def test_stream_whose_last_event_is_whole_is_complete(cut_off):
    harness = make_harness(unframed(events_of), 2, cut_off)
    caller = harness.ask()
    assert decode_chunked(caller.body) == (encode_events(1, EVENTS), True)


@pytest.mark.parametrize("cut_off", [False, True])
def test_plain_response_that_a_reset_ends_is_not_passed_on_as_complete(cut_off):
    harness = make_harness(
        unframed(lambda request: b"half", clean=False), 2, cut_off, repeat=RetryPolicy.ONCE
    )
    caller = harness.ask()
    assert answered(caller)
    assert caller.status == 502


@pytest.mark.parametrize("cut_off", [False, True])
def test_plain_response_that_ends_with_its_connection_is_complete(cut_off):
    harness = make_harness(unframed(lambda request: b"whole"), 2, cut_off, repeat=RetryPolicy.ONCE)
    caller = harness.ask()
    assert (caller.status, caller.body) == (200, b"whole")


@pytest.mark.parametrize(
    ("behave", "framing"),
    [
        (unframed(events_of), "connection"),
        (stream_events(EVENTS), "chunks"),
        (answer_with_length, "length"),
    ],
)
def test_line_of_an_answer_tells_what_marked_its_end(behave, framing):
    harness = make_harness(behave)
    harness.ask()
    assert [line["framing"] for line in harness.logs[0].of("request.ended")] == [framing]
