# SPDX-License-Identifier: BSD-3-Clause
"""The tokens of a relayed request are reserved where it runs, and nowhere else."""

import pytest
from twisted.internet import defer

from turnward.gateway import Workspace
from turnward.gateway.prepaid import BudgetRefusal
from turnward.gateway.tests.harness import ENGINE_POOL, KEY, Harness, answer_ok, answered
from turnward.gateway.tests.test_relayed_requests import ORIGIN, cut_off, make_harness

TOKENS = 200
WORKSPACE = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=100_000)


def refuse_tokens(gateway):
    """Let a gateway reach no holder of tokens."""
    gateway.accounts.reserve = lambda *args: BudgetRefusal.UNREACHABLE
    gateway.accounts.reserve_now = lambda *args: None


def committed(gateway):
    return gateway.accounts.ledger.committed_tokens("acme")


def test_router_without_links_and_tokens_serves_by_a_peer_that_has_both():
    harness = make_harness(pools=(ENGINE_POOL,), workspaces=(WORKSPACE,))
    refuse_tokens(harness.gateways[ORIGIN])
    assert harness.ask(headers=harness.prompt(150, 50)).status == 200


def test_peer_without_tokens_is_not_the_last_one_tried():
    harness = make_harness(gateways=4, pools=(ENGINE_POOL,), workspaces=(WORKSPACE,))
    for gateway in harness.gateways[:2]:
        refuse_tokens(gateway)
    callers = [harness.ask(headers=harness.prompt(150, 50)) for _ in range(8)]
    assert {caller.status for caller in callers} == {200}


@pytest.fixture
def reached():
    """A router with links that left the tokens of its next request to a peer."""
    harness = Harness(pools=(ENGINE_POOL,), workspaces=(WORKSPACE,))
    harness.endpoint(answer_ok)
    harness.ready()
    harness.gateways[0].relay.has_path_around_all = lambda route: True
    return harness


def test_request_that_no_peer_runs_reserves_tokens_before_it_is_sent(reached):
    before = committed(reached.gateways[0])
    assert reached.ask(headers=reached.prompt(150, 50)).status == 200
    reached.network.advance(0.1)
    assert before < committed(reached.gateways[0]) <= before + TOKENS


def test_request_that_no_peer_runs_is_not_sent_without_tokens(reached):
    refuse_tokens(reached.gateways[0])
    assert reached.ask(headers=reached.prompt(150, 50)).status == 503
    assert not reached.endpoints[0].requests


def test_long_body_that_arrives_while_tokens_are_reserved_is_sent_once(reached):
    accounts = reached.gateways[0].accounts
    reserve = accounts.reserve
    waiting = defer.Deferred()

    def reserve_later(*args):
        waiting.addCallback(lambda _: reserve(*args))
        return waiting

    accounts.reserve = reserve_later
    body = b"x" * 600_000
    caller = reached.send(method=b"POST", body=body, headers=reached.prompt(150, 50))
    reached.network.advance(0.5)
    assert not reached.endpoints[0].requests
    waiting.callback(None)
    assert reached.network.advance_until(lambda: answered(caller))
    assert caller.status == 200
    assert reached.endpoints[0].bodies == [body]
    assert committed(reached.gateways[0]) > 0


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


def test_router_without_links_reserves_nothing_here():
    harness = make_harness(pools=(ENGINE_POOL,), workspaces=(WORKSPACE,), gateways=3)
    cut_off(harness, ORIGIN)
    before = committed(harness.gateways[ORIGIN])
    callers = [harness.ask(headers=harness.prompt(150, 50)) for _ in range(5)]
    assert {caller.status for caller in callers} == {200}
    harness.network.advance(0.1)
    assert committed(harness.gateways[ORIGIN]) == before
