# SPDX-License-Identifier: BSD-3-Clause
"""The tokens of a relayed request are reserved where it runs, and nowhere else."""

from turnward.gateway import Workspace
from turnward.gateway.tests.harness import ENGINE_POOL, KEY
from turnward.gateway.tests.test_relayed_requests import ORIGIN, make_harness

TOKENS = 200
WORKSPACE = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=100_000)


def committed(gateway):
    return gateway.accounts.ledger.committed_tokens("acme")


def test_request_that_a_lost_peer_may_have_run_reserves_tokens_for_its_repeat():
    harness = make_harness(pools=(ENGINE_POOL,), workspaces=(WORKSPACE,))
    peer, machine = harness.gateways[1], harness.machines[1]
    peer.peers.on_relayed = lambda request: machine.callLater(1.0, machine.kill)
    origin = harness.gateways[ORIGIN]
    for endpoint in harness.endpoints:
        harness.network.heal(harness.machines[ORIGIN].host, endpoint.machine.host)
    before = committed(origin)
    caller = harness.ask(headers=harness.prompt(150, 50))
    harness.network.advance(0.1)
    assert harness.logs[ORIGIN].of("request.relayed")
    assert caller.status == 200
    assert before < committed(origin) <= before + TOKENS
