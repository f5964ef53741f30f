# SPDX-License-Identifier: BSD-3-Clause
"""While a workspace's tokens run short, its less urgent requests are told when to return."""

import msgspec
import pytest

from turnward.gateway import RetryPolicy, Workspace
from turnward.gateway.holders import HOLDERS_PER_WORKSPACE
from turnward.gateway.load_controls import LoadControls
from turnward.gateway.loans import Loan, LoanAsk
from turnward.gateway.tests.harness import ENGINE_POOL, KEY, Harness, stream_events
from turnward.gateway.tests.test_mixed_versions import OlderLoan, OlderLoanAsk

PREPAID_TOKENS = 400_000
URGENT_TOKENS = 4_000
DEAR_TOKENS = 30_000


def fleet(gateways, enabled=True, workspace_priority=None):
    """Start gateways with an urgent route at ``/a/`` and a less urgent one at ``/b/``."""
    workspace = Workspace(
        name="acme",
        keys=(KEY.decode(),),
        prepaid_tokens=PREPAID_TOKENS,
        priority=workspace_priority,
    )
    fields = {"repeat": RetryPolicy.STREAM, "time_limit_s": 9.0}
    routes = (
        Harness.route(name="urgent", path_prefix="/a/", priority=0, **fields),
        Harness.route(name="dear", path_prefix="/b/", priority=2, **fields),
    )
    harness = Harness(routes=routes, pools=(ENGINE_POOL,), workspaces=(workspace,))
    harness.load_controls = LoadControls(token_pacing=enabled)
    harness.endpoint(stream_events(4))
    harness.ready(gateways=gateways)
    harness.network.advance(3.0)
    return harness


def send(harness, path, tokens, gateway):
    headers = harness.prompt(tokens, 20)
    return harness.ask(gateway, method=b"POST", path=path, body=b"", headers=headers)


def urgent(harness, gateway=0):
    return send(harness, b"/a/x", URGENT_TOKENS, gateway)


def dear(harness, gateway=0):
    return send(harness, b"/b/x", DEAR_TOKENS, gateway)


def use_half(harness):
    """Use half of the limit, most of it by urgent requests."""
    gateways = len(harness.gateways)
    for number in range(40):
        assert urgent(harness, number % gateways).status == 200
    assert dear(harness).status == 200


def borrower(harness):
    holds = [gateway.holders.holds("acme") for gateway in harness.gateways]
    return holds.index(False) if False in holds else None


def dear_until_refused(harness, gateway):
    for _ in range(20):
        caller = dear(harness, gateway)
        if caller.status != 200:
            return caller
    raise AssertionError("no request was refused")


@pytest.mark.parametrize("workspace_priority", [None, 1])
@pytest.mark.parametrize("gateways", [1, HOLDERS_PER_WORKSPACE + 3])
def test_less_urgent_request_is_told_when_to_return(gateways, workspace_priority):
    harness = fleet(gateways, workspace_priority=workspace_priority)
    use_half(harness)
    gateway = borrower(harness) or 0
    refused = dear_until_refused(harness, gateway)
    assert refused.status == 503
    assert msgspec.json.decode(refused.body) == {"error": "budget_paced"}
    assert 0.25 <= float(refused.header(b"retry-after")) <= 22.0
    for number in range(gateways):
        assert urgent(harness, number).status == 200
    (line,) = [line for log in harness.logs for line in log.of("prepaid.paced")]
    assert line["priority"] == 2
    assert line["tokens"] <= line["remaining"] <= PREPAID_TOKENS
    assert line["protected"] > PREPAID_TOKENS / 5
    metrics = harness.gateways[gateway]._metrics.text().decode()
    assert 'turnward_requests_paced_total{priority="2"} 1.0' in metrics


@pytest.mark.parametrize("gateways", [1, HOLDERS_PER_WORKSPACE + 3])
def test_caller_that_waits_as_told_is_served(gateways):
    harness = fleet(gateways)
    use_half(harness)
    gateway = borrower(harness) or 0
    refused = dear_until_refused(harness, gateway)
    harness.network.advance(float(refused.header(b"retry-after")))
    assert dear(harness, gateway).status == 200


def test_without_the_switch_tokens_go_to_whoever_comes_first():
    harness = fleet(1, enabled=False)
    use_half(harness)
    refused = dear_until_refused(harness, 0)
    assert refused.status == 402
    assert not harness.logs[0].of("prepaid.paced")


def test_request_larger_than_what_is_left_gets_402():
    harness = fleet(1)
    use_half(harness)
    assert send(harness, b"/b/x", PREPAID_TOKENS, 0).status == 402


def lend_older(harness, accounts, ask):
    """Return a holder's answer as a borrower of a version without pacing reads it."""
    body = msgspec.msgpack.encode(ask)
    loans = []
    accounts.lend_for_request(msgspec.msgpack.decode(body, type=LoanAsk)).addCallback(loans.append)
    assert harness.network.advance_until(lambda: loans)
    return msgspec.msgpack.decode(msgspec.msgpack.encode(loans[0]), type=OlderLoan)


def test_older_borrower_is_refused_by_the_priority_that_it_names():
    harness = fleet(1)
    use_half(harness)
    accounts = harness.gateways[0].accounts
    dear_until_refused(harness, 0)
    ask = OlderLoanAsk("acme", DEAR_TOKENS, DEAR_TOKENS, priority=2, for_request=True)
    assert lend_older(harness, accounts, ask) == OlderLoan(0, exhausted=True)
    ask = OlderLoanAsk("acme", DEAR_TOKENS, DEAR_TOKENS, priority=0, for_request=True)
    assert lend_older(harness, accounts, ask).tokens >= DEAR_TOKENS


def test_loans_of_an_older_holder_are_used_as_before():
    harness = fleet(HOLDERS_PER_WORKSPACE + 3)
    older = msgspec.msgpack.encode(OlderLoan(DEAR_TOKENS + 20))
    client = harness.gateways[borrower(harness)].accounts.holder_client
    calls = []

    async def call(address, path, body, timeout_s):
        calls.append(msgspec.msgpack.decode(body, type=OlderLoanAsk))
        return older

    client._call = call
    assert dear(harness, borrower(harness)).status == 200
    assert calls[0].for_request
    assert msgspec.msgpack.decode(older, type=Loan).retry_after_s == 0.0


def test_urgent_requests_are_served_while_the_store_is_away():
    harness = fleet(1)
    use_half(harness)
    harness.clients[0].faults.unavailable = True
    harness.network.advance(1.0)
    statuses = [dear(harness).status for _ in range(6)]
    assert 503 in statuses
    # Few enough tokens for the spend bound in the last report.
    assert send(harness, b"/a/x", 500, 0).status == 200


def test_other_holder_goes_on_pacing_when_one_dies():
    harness = fleet(HOLDERS_PER_WORKSPACE + 3)
    use_half(harness)
    gateway = borrower(harness)
    dead = next(n for n, g in enumerate(harness.gateways) if g.holders.holds("acme"))
    harness.machines[dead].kill()
    harness.network.advance(1.0)
    refused = dear_until_refused(harness, gateway)
    assert (refused.status, b"budget_paced" in refused.body) == (503, True)
    assert urgent(harness, gateway).status == 200


def test_requests_are_served_from_the_store_unpaced_while_no_holder_answers():
    harness = fleet(HOLDERS_PER_WORKSPACE + 3)
    use_half(harness)
    gateway = borrower(harness)
    assert dear_until_refused(harness, gateway).status == 503
    for machine, other in zip(harness.machines, harness.gateways, strict=True):
        if other.holders.holds("acme"):
            machine.kill()
    assert send(harness, b"/b/x", 10_000, gateway).status == 200
    assert harness.logs[gateway].of("prepaid.taken")
    assert not harness.logs[gateway].of("prepaid.paced")
    used = sum(g.accounts._own_committed_tokens("acme") for g in harness.gateways)
    assert used <= PREPAID_TOKENS
