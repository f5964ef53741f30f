# SPDX-License-Identifier: BSD-3-Clause
"""A stream that sends bytes without end, and no event, is broken off."""

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.streams import EventSplitter
from turnward.gateway.tests.harness import (
    Harness,
    answer_head,
    decode_chunked,
    encode_events,
    stream_events,
)

PART_BYTES = 65_536
#: Far above the size of an event.
FLOOD_BYTES = 8 * 1024 * 1024
#: As large as events may be at least.
LARGE_EVENT_BYTES = 600_000


def flood(unit):
    """Return a ``behave`` that sends one event and then a unit over and over."""

    def behave(endpoint, request):
        request.start(200, answer_head(request), None)
        request.write(encode_events(1, 1))
        endpoint.sent_bytes = 0

        def send():
            if request.gone or endpoint.sent_bytes > FLOOD_BYTES:
                return
            request.write(unit * (PART_BYTES // len(unit)))
            endpoint.sent_bytes += PART_BYTES
            endpoint.machine.callLater(0.001, send)

        send()

    return behave


def make_harness(behave, cut_off, **fields):
    harness = Harness(**{"repeat": RetryPolicy.STREAM, **fields})
    endpoint = harness.endpoint(behave)
    harness.ready(2)
    harness.network.advance(1.0)
    if cut_off:
        harness.network.refuse(harness.machines[0].host, endpoint.machine.host)
        harness.ask(path=b"/a/first")
        harness.network.advance(1.0)
    return harness, endpoint


@pytest.mark.parametrize("cut_off", [False, True], ids=["endpoint", "relay"])
@pytest.mark.parametrize("unit", [b"x", b"\n\n"], ids=["event", "blank lines"])
def test_stream_without_an_end_of_an_event_is_broken_off(unit, cut_off):
    harness, endpoint = make_harness(flood(unit), cut_off, attempts=1)
    caller = harness.ask(limit_s=3.0)
    assert caller.closed is not None
    assert decode_chunked(caller.body) == (encode_events(1, 1), False)
    assert endpoint.disconnected
    assert endpoint.sent_bytes < FLOOD_BYTES


@pytest.mark.parametrize("cut_off", [False, True], ids=["endpoint", "relay"])
def test_large_events_are_passed_on(cut_off):
    def behave(endpoint, request):
        request.start(200, answer_head(request), None)
        request.write(encode_events(1, 3, LARGE_EVENT_BYTES))
        request.finish()

    harness, _ = make_harness(behave, cut_off)
    caller = harness.ask()
    assert decode_chunked(caller.body) == (encode_events(1, 3, LARGE_EVENT_BYTES), True)


def test_stream_goes_on_elsewhere_after_an_event_without_end():
    harness, _ = make_harness(flood(b"x"), False, attempts=3, resumable=True)
    harness.endpoint(stream_events(4))
    harness.network.advance(1.0)
    bodies = [decode_chunked(harness.ask(limit_s=3.0).body) for _ in range(4)]
    assert (encode_events(1, 4), True) in bodies
    assert all(encode_events(1, 4).startswith(body) for body, _ in bodies)


@pytest.mark.parametrize("part_bytes", [1, 2, 3, 7, 1_000])
@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_events_are_found_wherever_they_are_split(part_bytes, line_end):
    stream = encode_events(1, 20).replace(b"\n", line_end)
    splitter = EventSplitter()
    fed = [
        splitter.feed(stream[place : place + part_bytes])
        for place in range(0, len(stream), part_bytes)
    ]
    assert b"".join(events.data for events in fed) == stream
    assert sum(events.count for events in fed) == 20
    assert not splitter.partial
