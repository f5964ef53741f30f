# SPDX-License-Identifier: BSD-3-Clause
"""A stream holds events of endpoints of one software version, however often it is resumed."""

from turnward.gateway import RetryPolicy
from turnward.gateway.tests.harness import Harness, stream_events

EVENTS = 6


def make_harness(versions, gateways=1, behave=None, **fields):
    """Return a fleet before one endpoint of each given version."""
    fields = {"repeat": RetryPolicy.STREAM, "resumable": True, "attempts": 3, **fields}
    harness = Harness(**fields)
    for version in versions:
        endpoint = harness.endpoint(behave or stream_events(EVENTS), announce=False)
        harness.announce(endpoint, version=version)
    harness.ready(gateways)
    harness.network.advance(1.0)
    return harness


def test_lines_name_the_version_of_a_stream_and_the_request_that_began_it():
    harness = make_harness(["v7"])
    headers = ((b"Resumes", b"first"), (b"Last-Event-Id", b"2"))
    harness.ask(request_id=b"second", headers=headers)
    (chosen,) = harness.logs[0].of("attempt.chosen")
    (ended,) = harness.logs[0].of("request.ended")
    for line in (chosen, ended):
        assert (line["resumes"], line["version"]) == ("first", "v7")
