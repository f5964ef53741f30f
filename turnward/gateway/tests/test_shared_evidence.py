# SPDX-License-Identifier: BSD-3-Clause
"""What one router learnt of an endpoint that failed spares the others the same."""

from turnward.gateway.mechanisms import Mechanisms
from turnward.gateway.tests.rig import Rig, well

GATEWAYS = 6


def fleet(heeds_others=True):
    rig = Rig(attempts=1)
    rig.mechanisms = Mechanisms(heeds_others=heeds_others)
    endpoints = [rig.endpoint(well) for _ in range(3)]
    rig.ready(gateways=GATEWAYS)
    rig.network.advance(1.0)
    return rig, endpoints


def failed_sends(rig):
    return sum(len(log.of("attempt.failed")) for log in rig.logs)


def play_crash(heeds_others):
    """Return sends that failed until all gateways had asked some times after a crash."""
    rig, endpoints = fleet(heeds_others)
    endpoints[0].machine.kill()
    rig.network.advance(2.0)
    for turn in range(8 * GATEWAYS):
        rig.ask(gateway=turn % GATEWAYS)
        rig.network.advance(0.2)
    return failed_sends(rig)


def test_crashed_endpoint_is_met_by_few_routers():
    """Six routers, 48 requests: 19 sends failed where each learnt alone, 6 with others' word."""
    alone = play_crash(heeds_others=False)
    shared = play_crash(heeds_others=True)
    assert shared <= alone // 2


def play_reused_address(heeds_others):
    """Return requests refused after another process took an endpoint's address."""
    rig, endpoints = fleet(heeds_others)
    endpoints[0].endpoint_id = "another"
    refused = 0
    for turn in range(8 * GATEWAYS):
        refused += rig.ask(gateway=turn % GATEWAYS).status != 200
        rig.network.advance(0.2)
    return refused


def test_endpoint_whose_address_has_another_process_is_met_once():
    """Six routers: 6 requests were refused where each learnt alone, 1 with others' word."""
    assert play_reused_address(heeds_others=True) <= 2
    assert play_reused_address(heeds_others=False) > 2


def test_endpoint_that_comes_back_is_used_again():
    rig, endpoints = fleet()
    for gateway in range(1, GATEWAYS):
        rig.network.cut(rig.machines[gateway].host, endpoints[0].machine.host)
    for turn in range(6 * GATEWAYS):
        rig.ask(gateway=turn % GATEWAYS)
    for gateway in range(1, GATEWAYS):
        rig.network.heal(rig.machines[gateway].host, endpoints[0].machine.host)
    rig.network.advance(6.0)
    before = len(endpoints[0].requests)
    for turn in range(6 * GATEWAYS):
        assert rig.ask(gateway=turn % GATEWAYS).status == 200
    assert len(endpoints[0].requests) - before > GATEWAYS
