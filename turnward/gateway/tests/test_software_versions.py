# SPDX-License-Identifier: BSD-3-Clause
"""A stream holds events of endpoints of one software version, however often it is resumed."""

import re

from turnward.gateway import RetryPolicy
from turnward.gateway.tests.harness import (
    DIALECT,
    Harness,
    answer_head,
    answered,
    decode_chunked,
)
from turnward.http1 import header_value

EVENTS = 6
#: Events after which an engine breaks the streams that begin there.
BROKEN_AFTER = 3


class Engine:
    """Behaviour of an endpoint that writes its software version into each event.

    Attributes
    ----------
    breaks : bool
        Whether it resets the connection of a stream that began there, after a few events.
    """

    def __init__(self, version, breaks=False):
        self.version = version
        self.breaks = breaks

    def __call__(self, endpoint, request):
        after = header_value(request.headers, DIALECT.last_event_id)
        first = int(after) + 1 if after else 1
        broken = self.breaks and first == 1
        last = BROKEN_AFTER if broken else EVENTS
        events = b"".join(
            b"id: %d\ndata: %b\n\n" % (number, self.version.encode())
            for number in range(first, last + 1)
        )
        request.start(200, answer_head(request), None)
        request.write(events)
        if broken:
            endpoint.machine.callLater(0.05, request.abort)
        else:
            request.finish()


def make_harness(versions, gateways=1, breaks=False, **fields):
    """Return a fleet before one endpoint of each given version."""
    fields = {"repeat": RetryPolicy.STREAM, "resumable": True, "attempts": 3, **fields}
    harness = Harness(**fields)
    for version in versions:
        add_engine(harness, version, breaks)
    harness.ready(gateways)
    harness.network.advance(1.0)
    return harness


def add_engine(harness, version, breaks=False):
    endpoint = harness.endpoint(Engine(version, breaks), announce=False)
    harness.announce(endpoint, version=version)
    return endpoint


def versions_in(caller):
    """Return the versions that wrote a caller's events."""
    body, _ = decode_chunked(caller.body)
    return set(re.findall(rb"data: (\w+)", body))


def is_whole(caller):
    return answered(caller) and decode_chunked(caller.body)[1]


def resume(harness, first_id, gateway=0, after=BROKEN_AFTER, **fields):
    """Resume a stream as its caller does."""
    headers = ((b"Resumes", first_id), (b"Last-Event-Id", b"%d" % after))
    return harness.ask(gateway, headers=headers, **fields)


def test_lines_name_the_version_of_a_stream_and_the_request_that_began_it():
    harness = make_harness(["v7"])
    resume(harness, b"first", request_id=b"second")
    (chosen,) = harness.logs[0].of("attempt.chosen")
    (ended,) = harness.logs[0].of("request.ended")
    for line in (chosen, ended):
        assert (line["resumes"], line["version"]) == ("first", "v7")


def test_stream_goes_on_inside_one_answer_at_the_version_that_began_it():
    harness = make_harness(["v1", "v1", "v2", "v2", "v2"], breaks=True)
    for _ in range(20):
        caller = harness.ask()
        assert is_whole(caller)
        assert len(versions_in(caller)) == 1
        harness.network.advance(0.5)


def test_stream_is_broken_off_at_once_if_no_endpoint_of_its_version_is_left():
    harness = make_harness(["v1", "v2"], breaks=True)
    caller = harness.send()
    assert harness.network.advance_until(lambda: versions_in(caller))
    harness.network.advance(0.1)
    assert caller.closed is not None
    assert len(versions_in(caller)) == 1
    assert not is_whole(caller)


def test_caller_resumes_a_stream_at_its_version_when_the_gateway_that_began_it_was_killed():
    harness = make_harness(["v1", "v1", "v2", "v2"], gateways=4)
    callers = [harness.ask(request_id=b"begun-%d" % number) for number in range(12)]
    harness.machines[0].kill()
    for number, begun in enumerate(callers):
        resumed = resume(harness, b"begun-%d" % number, gateway=1 + number % 3)
        assert resumed.status == 200
        assert versions_in(resumed) == versions_in(begun)


def test_resumption_is_refused_as_not_run_if_nobody_knows_its_version():
    harness = make_harness(["v1", "v2"], gateways=3)
    refused = resume(harness, b"never-begun")
    assert refused.status == 503
    assert not any(endpoint.requests for endpoint in harness.endpoints)


def refuse_links(harness, gateway):
    """Have all endpoints refuse new connections of a gateway."""
    for endpoint in harness.endpoints:
        harness.network.refuse(harness.machines[gateway].host, endpoint.machine.host)


def test_stream_that_a_peer_takes_over_goes_on_at_the_version_that_began_it():
    whole = 0
    for attempt in range(6):
        harness = make_harness(["v1", "v1", "v2", "v2"], gateways=3, breaks=True)
        for number in range(attempt):
            harness.ask(request_id=b"earlier-%d" % number)
        caller = harness.send()
        assert harness.network.advance_until(lambda caller=caller: versions_in(caller))
        refuse_links(harness, 0)
        harness.network.advance_until(lambda caller=caller: answered(caller))
        assert len(versions_in(caller)) == 1
        whole += is_whole(caller)
    assert whole == 6
