# SPDX-License-Identifier: BSD-3-Clause
"""Most new connections at one router: it serves as the fleet did when they were spread."""

import pytest

from turnward.gateway import EndpointPool, RetryPolicy
from turnward.gateway.tests.harness import DIALECT, Harness, answer_head

#: Least share of what was served before, as the users' rules set it.
MIN_SHARE_OF_BEFORE = 3 / 4
RATE_PER_S = 2.0
INTERVAL_S = 0.15


def answer_with_limit(endpoint, request):
    """Answer, and announce the rate that the endpoint takes from all routers together."""
    request.answer(200, [*answer_head(request), (DIALECT.rate_limit, b"%g" % RATE_PER_S)], b"fine")


def make_harness(gateways):
    fields = {"repeat": RetryPolicy.ONCE, "attempts": 1}
    harness = Harness(pools=(EndpointPool(name="pool"),), **fields)
    for _ in range(4):
        harness.endpoint(answer_with_limit)
    harness.ready(gateways)
    harness.network.advance(1.5)
    return harness


def send_to(harness, choose_gateway, duration_s):
    """Send requests at an even rate; return the callers."""
    callers = []
    for turn in range(round(duration_s / INTERVAL_S)):
        callers.append(harness.send(choose_gateway(turn), headers=((b"Deadline-Ms", b"1500"),)))
        harness.network.advance(INTERVAL_S - 0.01)
    harness.network.advance(1.5)
    return callers


def served_share(callers):
    return sum(caller.status == 200 for caller in callers) / len(callers)


@pytest.mark.parametrize("gateways", [4, 8])
def test_one_router_with_all_callers_uses_the_shares_of_its_peers(gateways):
    harness = make_harness(gateways)
    send_to(harness, lambda turn: turn % gateways, 4.0)
    spread = send_to(harness, lambda turn: turn % gateways, 8.0)
    arrivals = sum(len(endpoint.requests) for endpoint in harness.endpoints)
    herded = send_to(harness, lambda turn: 0, 8.0)
    arrivals = sum(len(endpoint.requests) for endpoint in harness.endpoints) - arrivals
    assert served_share(herded) >= MIN_SHARE_OF_BEFORE * served_share(spread)
    assert arrivals <= 4 * (RATE_PER_S * 9.5 * 1.5 + 5)


def test_router_that_takes_over_the_callers_of_a_killed_one_serves_as_it_did():
    harness = make_harness(4)
    send_to(harness, lambda turn: turn % 4, 4.0)
    spread = send_to(harness, lambda turn: turn % 4, 8.0)
    send_to(harness, lambda turn: 0, 4.0)
    harness.machines[0].kill()
    harness.network.advance(3.0)
    herded = send_to(harness, lambda turn: 1, 8.0)
    assert served_share(herded) >= MIN_SHARE_OF_BEFORE * served_share(spread) * 3 / 4


def test_few_requests_are_relayed_for_shares_that_peers_do_not_have():
    harness = make_harness(4)
    send_to(harness, lambda turn: turn % 4, 3.0)
    for gateway in harness.gateways[1:]:
        gateway.forwarder.refuses_new_requests = True
    before = len(harness.logs[0].of("request.relayed"))
    send_to(harness, lambda turn: 0, 6.0)
    relayed = len(harness.logs[0].of("request.relayed")) - before
    # Four that are turned away in a second, and two more tries of the last one.
    assert relayed <= 7.5 * (4 + 2)
