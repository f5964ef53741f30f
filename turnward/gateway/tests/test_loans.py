# SPDX-License-Identifier: BSD-3-Clause
"""Routers without access to the store lend each other tokens."""

import msgspec
import pytest

from turnward.gateway import RetryPolicy, Workspace
from turnward.gateway.loans import LOANS_PATH, LoanAsk
from turnward.gateway.tests.harness import (
    ENGINE_POOL,
    KEY,
    PEERS_PORT,
    Harness,
    answered,
    stream_events,
)


def loan_harness(gateways=2, prepaid=400_000):
    workspace = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=prepaid)
    fields = {"repeat": RetryPolicy.STREAM, "time_limit_s": 9.0, "priority": 0}
    harness = Harness(pools=(ENGINE_POOL,), workspaces=(workspace,), **fields)
    harness.endpoint(stream_events(4))
    harness.ready(gateways=gateways)
    harness.network.advance(1.0)
    return harness


def count_served(harness, gateway, count, tokens=8_000, pause_s=0.4):
    """Send requests one after another; return how many were served."""
    served = 0
    for _ in range(count):
        headers = harness.prompt(tokens, 20)
        served += harness.ask(gateway, method=b"POST", body=b"", headers=headers).status == 200
        harness.network.advance(pause_s)
    return served


def test_gateway_disconnected_from_the_store_borrows_from_its_peer():
    harness = loan_harness()
    assert count_served(harness, 0, 4) == 4
    for client in harness.clients:
        client.faults.unavailable = True
    harness.network.advance(6.0)
    lender, borrower = (gateway.accounts.ledger for gateway in harness.gateways)
    own = borrower.free_tokens("acme") // 2_020
    assert lender.free_tokens("acme") >= 10 * 2_020
    assert count_served(harness, 1, own + 4, tokens=2_000) == own + 4
    assert harness.logs[0].of("prepaid.lent")
    assert harness.logs[1].of("prepaid.borrowed")
    assert harness.logs[1].of("prepaid.borrowed")[0]["tokens"] > 0


def test_gateway_without_lenders_rejects_at_once():
    harness = loan_harness(gateways=1)
    for client in harness.clients:
        client.faults.unavailable = True
    harness.network.advance(2.0)
    harness.ask(method=b"POST", body=b"", headers=harness.prompt(390_000, 20))
    caller = harness.send(method=b"POST", body=b"", headers=harness.prompt(390_000, 20))
    assert harness.network.advance_until(lambda: answered(caller), limit_s=0.05)
    assert caller.status == 503
    assert caller.header(b"retry-after")


@pytest.mark.parametrize("body", [b"", b"nonsense", msgspec.msgpack.encode([1, 2, 3])])
def test_malformed_loan_request_is_rejected_and_lends_nothing(body):
    harness = loan_harness()
    before = harness.gateways[0].accounts.ledger.committed_tokens("acme")
    caller = harness.connect(port=PEERS_PORT)
    head = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (LOANS_PATH, len(body))
    caller.transport.write(head + body)
    assert harness.network.advance_until(lambda: answered(caller))
    assert caller.status == 400
    assert harness.gateways[0].accounts.ledger.committed_tokens("acme") == before


@pytest.mark.parametrize("desired_tokens", [-5, 0, 10**12])
def test_loan_never_exceeds_the_lendable_tokens(desired_tokens):
    harness = loan_harness()
    accounts = harness.gateways[0].accounts
    free = accounts.ledger.free_tokens("acme")
    assert free > 0
    assert 0 <= accounts.lend(LoanAsk("acme", 1, desired_tokens)) <= free
    assert accounts.lend(LoanAsk("nobody", 1, desired_tokens)) == 0


def test_surplus_is_announced_only_while_a_router_is_short():
    harness = loan_harness()
    assert [gateway.peers.digest().spare for gateway in harness.gateways] == [(), ()]
    harness.clients[0].faults.unavailable = True
    harness.network.advance(3.0)
    assert harness.gateways[0].peers.digest().short
    assert harness.gateways[1].peers.digest().spare[0].workspace == "acme"
