# SPDX-License-Identifier: BSD-3-Clause
"""Links that accept connections and lose requests are not probed with calls that run once."""

from turnward.gateway import RetryPolicy
from turnward.gateway.tests.harness import Harness, abort_connection, answer_ok, answered

#: Time between two requests.
INTERVAL_S = 0.05


def make_harness(repeat):
    """Return two routers of which the first loses what it sends, and callers of the first."""
    harness = Harness(repeat=repeat, attempts=1)
    for _ in range(2):
        harness.endpoint(_lose_requests_of_the_first)
    harness.ready(2)
    harness.network.advance(1.0)
    return harness


def _lose_requests_of_the_first(endpoint, request):
    peer = request._connection.transport.getPeer().host
    behave = abort_connection if peer == "10.1.0.1" else answer_ok
    behave(endpoint, request)


def send(harness, duration_s):
    callers = []
    for number in range(round(duration_s / INTERVAL_S)):
        path = b"/a/%d-%d" % (round(harness.network.clock.seconds() * 1_000), number)
        callers.append(harness.send(path=path))
        harness.network.advance(INTERVAL_S)
    harness.network.advance_until(lambda: all(map(answered, callers)))
    return [caller.status for caller in callers]


def test_calls_that_run_once_are_relayed_rather_than_lost_as_probes():
    harness = make_harness(RetryPolicy.ONCE)
    send(harness, 1.0)
    statuses = send(harness, 5.0)
    assert statuses.count(200) >= 0.9 * len(statuses)
    assert harness.gateways[0].peers.unreached_pools() == ("pool",)


def test_recovery_is_noticed_by_calls_that_run_once_alone():
    harness = make_harness(RetryPolicy.ONCE)
    send(harness, 3.0)
    for endpoint in harness.endpoints:
        endpoint.behave = answer_ok
    send(harness, 5.5)
    assert harness.gateways[0].peers.unreached_pools() == ()
    relayed = len(harness.logs[0].of("request.relayed"))
    assert set(send(harness, 1.0)) == {200}
    assert len(harness.logs[0].of("request.relayed")) == relayed
