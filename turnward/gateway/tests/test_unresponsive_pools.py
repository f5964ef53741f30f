# SPDX-License-Identifier: BSD-3-Clause
"""A pool that loses every request is only probed, and is used again once it responds.

Guards against hundreds of requests a second that end with an unknown result, each of them charged
in full, while the links to all endpoints of a pool are broken.
"""

from turnward.gateway import Workspace
from turnward.gateway.availability import Availability
from turnward.gateway.tests.harness import (
    DIALECT,
    ENGINE_POOL,
    KEY,
    Harness,
    abort_connection,
    answer_head,
    answer_ok,
    answered,
    never_answer,
)
from turnward.gateway.tests.test_forwarding import error_reason

#: Time between two requests of the callers.
INTERVAL_S = 0.02
#: Requests that may be lost at each endpoint before its pool counts as unresponsive, retries
#: included.
MAX_LOST_EACH = 4
#: The most probes in a second, which the product's documents state as one each 0.5 s, less jitter.
MAX_PROBES_PER_S = 3


def answer_with_limit(endpoint, request):
    """Answer, and name a rate limit."""
    request.answer(200, [*answer_head(request), (DIALECT.rate_limit, b"4")], b"fine")


def make_harness(*behaviours, **fields):
    harness = Harness(pools=(ENGINE_POOL,), **fields)
    endpoints = [harness.endpoint(behave) for behave in behaviours]
    harness.ready()
    harness.network.advance(1.0)
    return harness, endpoints


def send_requests(harness, duration_s, **fields):
    """Send requests of different contents, as equal ones would be quarantined."""
    callers = []
    for number in range(round(duration_s / INTERVAL_S)):
        path = b"/a/%d-%d" % (round(harness.network.clock.seconds() * 1_000), number)
        callers.append(harness.send(path=path, **fields))
        harness.network.advance(INTERVAL_S)
    harness.network.advance_until(lambda: all(map(answered, callers)), 6.0)
    return callers


def count(endpoints):
    return sum(len(endpoint.requests) for endpoint in endpoints)


def test_pool_that_loses_every_request_is_only_probed():
    harness, endpoints = make_harness(abort_connection, abort_connection, abort_connection)
    callers = send_requests(harness, 4.0)
    assert count(endpoints) <= MAX_LOST_EACH * len(endpoints) + 4 * MAX_PROBES_PER_S
    refused = [caller for caller in callers if caller.status == 503]
    assert len(refused) > 150
    assert {error_reason(caller) for caller in refused} == {"endpoints_unresponsive"}
    assert all(float(caller.header(b"retry-after")) > 0 for caller in refused)
    assert len(harness.logs[0].of("pool.unresponsive")) == 1


def test_lost_requests_of_an_unresponsive_pool_are_all_that_is_charged():
    workspace = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=100_000)
    harness, endpoints = make_harness(abort_connection, abort_connection, workspaces=(workspace,))
    send_requests(harness, 3.0, headers=harness.prompt(150, 50))
    sent = count(endpoints)
    committed = harness.gateways[0].accounts.ledger.committed_tokens("acme")
    assert 0 < committed <= 200 * sent
    assert sent < 25


def test_pool_is_used_at_the_full_rate_once_an_endpoint_responds():
    harness, endpoints = make_harness(abort_connection, abort_connection)
    send_requests(harness, 2.0)
    for endpoint in endpoints:
        endpoint.behave = answer_ok
    # Longer than the time between two probes.
    send_requests(harness, 0.8)
    callers = send_requests(harness, 1.0)
    assert {caller.status for caller in callers} == {200}
    recovered = harness.logs[0].of("pool.responsive")
    assert len(recovered) == 1
    assert recovered[0]["lasted_s"] > 1.5


def test_probes_take_turns_among_the_endpoints():
    harness, endpoints = make_harness(abort_connection, abort_connection, abort_connection)
    send_requests(harness, 1.0)
    endpoints[2].behave = answer_ok
    send_requests(harness, 2.0)
    assert {caller.status for caller in send_requests(harness, 0.5)} == {200}


def test_connections_reset_at_the_same_time_do_not_make_a_pool_unresponsive():
    harness, endpoints = make_harness(never_answer, never_answer)
    callers = [harness.send() for _ in range(12)]
    harness.network.advance(0.2)
    for endpoint in endpoints:
        endpoint.behave = answer_ok
    for endpoint in endpoints:
        for request in list(endpoint.requests):
            request.abort()
    harness.network.advance_until(lambda: all(map(answered, callers)), 6.0)
    assert {caller.status for caller in send_requests(harness, 0.5)} == {200}
    assert not harness.logs[0].of("pool.unresponsive")


def test_unreachable_endpoints_are_not_tried_by_each_request():
    harness, endpoints = make_harness(answer_ok, answer_ok)
    for endpoint in endpoints:
        endpoint.machine.kill()
    send_requests(harness, 1.0)
    callers = send_requests(harness, 1.0)
    refused = [caller for caller in callers if error_reason(caller) == "endpoints_unresponsive"]
    assert len(refused) >= len(callers) - 2 * MAX_PROBES_PER_S


def test_pool_with_one_limited_endpoint_that_responds_is_reported_once():
    """Guards against two lines for each response of an endpoint that takes few requests."""
    harness, endpoints = make_harness(answer_with_limit, abort_connection, abort_connection)
    send_requests(harness, 6.0)
    assert len(endpoints[0].requests) > 5
    assert len(harness.logs[0].of("pool.unresponsive")) <= 2
    assert not harness.logs[0].of("pool.responsive")


def test_losses_of_requests_sent_together_count_once():
    availability = Availability()
    for _ in range(5):
        availability.note_lost(started_s=1.0, now_s=2.0)
    assert not availability.unresponsive
    availability.note_lost(started_s=2.1, now_s=2.2)
    assert availability.unresponsive
    availability.note_response()
    assert not availability.unresponsive
