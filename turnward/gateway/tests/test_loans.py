# SPDX-License-Identifier: BSD-3-Clause
"""Routers without access to the store lend each other tokens."""

import msgspec
import pytest

from turnward.gateway import Repeat, Workspace
from turnward.gateway.loans import LOANS_PATH, LoanAsk
from turnward.gateway.tests.rig import (
    ENGINE_POOL,
    KEY,
    PEERS_PORT,
    Rig,
    answered,
    stream,
)


def loan_rig(gateways=2, prepaid=400_000):
    workspace = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=prepaid)
    fields = {"repeat": Repeat.STREAM, "time_limit_s": 9.0, "priority": 0}
    rig = Rig(pools=(ENGINE_POOL,), workspaces=(workspace,), **fields)
    rig.endpoint(stream(4))
    rig.ready(gateways=gateways)
    rig.network.advance(1.0)
    return rig


def count_served(rig, gateway, count, tokens=8_000, pause_s=0.4):
    """Send requests one after another; return how many were served."""
    served = 0
    for _ in range(count):
        headers = rig.prompt(tokens, 20)
        served += rig.ask(gateway, method=b"POST", body=b"", headers=headers).status == 200
        rig.network.advance(pause_s)
    return served


def test_gateway_cut_off_from_the_store_borrows_from_its_peer():
    rig = loan_rig()
    assert count_served(rig, 0, 4) == 4
    for client in rig.clients:
        client.faults.away = True
    rig.network.advance(6.0)
    lender, borrower = (gateway.accounts.ledger for gateway in rig.gateways)
    own = borrower.free_tokens("acme") // 2_020
    assert lender.free_tokens("acme") >= 10 * 2_020
    assert count_served(rig, 1, own + 4, tokens=2_000) == own + 4
    assert rig.logs[0].of("prepaid.lent")
    assert rig.logs[1].of("prepaid.borrowed")
    assert rig.logs[1].of("prepaid.borrowed")[0]["tokens"] > 0


def test_gateway_without_lenders_rejects_at_once():
    rig = loan_rig(gateways=1)
    for client in rig.clients:
        client.faults.away = True
    rig.network.advance(2.0)
    rig.ask(method=b"POST", body=b"", headers=rig.prompt(390_000, 20))
    caller = rig.send(method=b"POST", body=b"", headers=rig.prompt(390_000, 20))
    assert rig.network.advance_until(lambda: answered(caller), limit_s=0.05)
    assert caller.status == 503
    assert caller.header(b"retry-after")


@pytest.mark.parametrize("body", [b"", b"nonsense", msgspec.msgpack.encode([1, 2, 3])])
def test_malformed_loan_request_is_rejected_and_lends_nothing(body):
    rig = loan_rig()
    before = rig.gateways[0].accounts.ledger.committed_tokens("acme")
    caller = rig.connect(port=PEERS_PORT)
    head = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (LOANS_PATH, len(body))
    caller.transport.write(head + body)
    assert rig.network.advance_until(lambda: answered(caller))
    assert caller.status == 400
    assert rig.gateways[0].accounts.ledger.committed_tokens("acme") == before


@pytest.mark.parametrize("most", [-5, 0, 10**12])
def test_loan_never_exceeds_the_lendable_tokens(most):
    rig = loan_rig()
    accounts = rig.gateways[0].accounts
    free = accounts.ledger.free_tokens("acme")
    assert free > 0
    assert 0 <= accounts.lend(LoanAsk("acme", 1, most)) <= free
    assert accounts.lend(LoanAsk("nobody", 1, most)) == 0


def test_surplus_is_announced_only_while_a_router_is_short():
    rig = loan_rig()
    assert [gateway.peers.digest().spare for gateway in rig.gateways] == [(), ()]
    rig.clients[0].faults.away = True
    rig.network.advance(3.0)
    assert rig.gateways[0].peers.digest().short
    assert rig.gateways[1].peers.digest().spare[0].workspace == "acme"
