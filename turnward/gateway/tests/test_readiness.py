# SPDX-License-Identifier: BSD-3-Clause
"""A gateway is ready once it could borrow tokens, or soon if it can't.

Guards against gateways that take callers, are cut off from the store right after their start, and
refuse all prompts because they know nobody to borrow from.
"""

from turnward.gateway import Workspace
from turnward.gateway.tests.harness import (
    ENGINE_POOL,
    KEY,
    Harness,
    answered,
    stream_events,
)

#: Longest time from a start until readiness, whoever is silent.
MAX_WAIT_S = 1.2


def start_fleet(gateways):
    workspace = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=1_000_000)
    harness = Harness(pools=(ENGINE_POOL,), workspaces=(workspace,), attempts=1)
    # They learn of each other from the members' table alone.
    harness.seeds = ()
    harness.endpoint(stream_events(4))
    return harness.ready(gateways)


def test_gateway_cut_off_from_the_store_as_soon_as_all_are_ready_serves_prompts():
    harness = start_fleet(3)
    harness.clients[0].faults.unavailable = True
    headers = harness.prompt(150, 20)
    callers = []
    for _ in range(30):
        callers.append(harness.send(gateway=0, headers=headers))
        harness.network.advance(0.03)
    harness.network.advance_until(lambda: all(map(answered, callers)))
    assert [caller.status for caller in callers].count(200) >= 27


def test_single_gateway_waits_for_nobody():
    harness = start_fleet(1)
    assert harness.network.clock.seconds() < MAX_WAIT_S / 2


def test_silent_members_delay_readiness_only_shortly():
    harness = start_fleet(3)
    for machine in harness.machines:
        machine.kill()
    harness.machines[0].restart()
    restarted = harness.run_gateway(harness.machines[0], "node-1")
    assert harness.network.advance_until(lambda: restarted.ready, MAX_WAIT_S)
