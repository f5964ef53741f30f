# SPDX-License-Identifier: BSD-3-Clause
"""Whether a relayed request has run is known by the peer's report alone, whatever its body."""

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.relay_note import RELAY_PREFIX
from turnward.gateway.relay_report import RelayReport
from turnward.gateway.tests.harness import (
    DIALECT,
    abort_connection,
    answer_ok,
    answered,
    never_answer,
)
from turnward.gateway.tests.test_relayed_requests import ORIGIN, make_harness, received
from turnward.http1 import header_value

HEAD = b"HEAD"
#: Refusals in the form of builds that write no report, and responses of none.
UNREPORTED = {
    "no body": b"HTTP/1.1 %d X\r\nRequest-Id: <id>\r\nContent-Length: 0\r\n\r\n",
    "reason in the body": (
        b'HTTP/1.1 %d X\r\nRequest-Id: <id>\r\nContent-Length: 24\r\n\r\n{"error":"endpoint_lost"'
    ),
    "known reason in the body": (
        b'HTTP/1.1 %d X\r\nRequest-Id: <id>\r\nContent-Length: 20\r\n\r\n{"error":"stopping"}'
    ),
    "body that breaks off": (
        b"HTTP/1.1 %d X\r\nRequest-Id: <id>\r\nConnection: close\r\nContent-Length: 40\r\n\r\n"
        b'{"error":"no_en'
    ),
    "body without length that ends early": (
        b'HTTP/1.1 %d X\r\nRequest-Id: <id>\r\nConnection: close\r\n\r\n{"error":"no_en'
    ),
    "without the id": b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n",
    "unknown report": (
        b"HTTP/1.1 %d X\r\nRequest-Id: <id>\r\nRelay-Report: perhaps no_endpoint\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
    "two reports": (
        b"HTTP/1.1 %d X\r\nRequest-Id: <id>\r\nRelay-Report: not-run no_endpoint\r\n"
        b"Relay-Report: may-have-run endpoint_lost\r\nContent-Length: 0\r\n\r\n"
    ),
}
#: Statuses that promise that a request has not run, with a report that it may have.
REPORTED = {
    "promise of a request that may have run": (
        b"HTTP/1.1 %d X\r\nRequest-Id: <id>\r\nRelay-Report: may-have-run endpoint_lost\r\n"
        b"Content-Length: 0\r\n\r\n"
    ),
}
STATUSES = (200, 204, 304, 400, 404, 408, 413, 421, 429, 500, 502, 503, 504)


class OddPeers:
    """Has peers of the first gateway answer relayed requests with given bytes."""

    def __init__(self, harness, answer, numbers, closes=False):
        self.requests = []
        self._answer = answer
        self._closes = closes or b"Connection: close" in answer
        for number in numbers:
            server = harness.gateways[number]._peer_server
            server.handler = self._handler(server.handler)

    def _handler(self, serve):
        def handle(request):
            if not request.target.startswith(RELAY_PREFIX):
                serve(request)
                return
            self.requests.append(request)
            request_id = header_value(request.headers, DIALECT.request_id)
            transport = request._connection.transport
            transport.write(self._answer.replace(b"<id>", request_id))
            if self._closes:
                transport.loseConnection()

        return handle


def choose_first(harness, number):
    """Have the first gateway relay each request to a given peer first."""
    address = harness.gateways[number].peers_address
    peers = harness.gateways[ORIGIN].forwarder.relay.peers
    choose = peers.choose
    peers.choose = lambda pool, excluded, *rest: (
        choose(pool, excluded, *rest) if address in excluded else address
    )


@pytest.mark.parametrize("gateways", [2, 4])
@pytest.mark.parametrize("method", [HEAD, b"GET", b"POST"])
def test_request_whose_answer_a_peer_has_lost_does_not_run_again(method, gateways):
    """Guards against a peer's 502 that is taken for "not run" as its body is missing."""
    harness = make_harness(abort_connection, gateways=gateways, repeat=RetryPolicy.ONCE, attempts=2)
    caller = harness.ask(method=method, limit_s=4.0)
    assert len(received(harness)) == 1
    assert caller.status == 502


@pytest.mark.parametrize("method", [HEAD, b"POST"])
def test_request_that_a_peer_may_have_run_at_its_deadline_is_not_told_not_run(method):
    harness = make_harness(never_answer, gateways=3, repeat=RetryPolicy.ONCE)
    caller = harness.ask(method=method, headers=((b"Deadline-Ms", b"700"),))
    assert len(received(harness)) == 1
    assert caller.status == 504


CASES = [(form, status) for form in UNREPORTED for status in STATUSES]
CASES += [("promise of a request that may have run", status) for status in (408, 421, 429, 503)]


@pytest.mark.parametrize(("form", "status"), CASES)
def test_request_may_have_run_if_the_peer_reports_nothing(form, status):
    """Guards against an answer without a body, or of an older build, taken for "not run"."""
    harness = make_harness(gateways=3, repeat=RetryPolicy.ONCE, attempts=2)
    peers = OddPeers(harness, {**UNREPORTED, **REPORTED}[form] % status, (1, 2))
    caller = harness.ask(method=b"POST", body=b"b")
    assert len(peers.requests) == 1
    assert not received(harness)
    assert caller.status == 502


@pytest.mark.parametrize("form", UNREPORTED)
def test_repeatable_request_goes_to_another_peer_if_one_reports_nothing(form):
    harness = make_harness(gateways=3, repeat=RetryPolicy.ANY, attempts=2)
    choose_first(harness, 1)
    peers = OddPeers(harness, UNREPORTED[form] % 503, (1,))
    caller = harness.ask()
    assert (caller.status, len(peers.requests), len(received(harness))) == (200, 1, 1)


@pytest.mark.parametrize("method", [HEAD, b"GET"])
def test_another_peer_serves_what_one_reports_as_not_run(method):
    harness = make_harness(gateways=3, repeat=RetryPolicy.ONCE)
    harness.gateways[1].forwarder.refuses_new_requests = True
    choose_first(harness, 1)
    caller = harness.ask(method=method, limit_s=1.0)
    assert (caller.status, len(received(harness))) == (200, 1)
    reasons = [line.get("reason") for line in harness.logs[ORIGIN].of("attempt.failed")]
    assert "stopping" in reasons


@pytest.mark.parametrize("method", [HEAD, b"GET"])
def test_refusal_that_is_passed_on_has_no_report(method):
    harness = make_harness(gateways=2)
    for endpoint in harness.endpoints:
        endpoint.behave = lambda endpoint, request: request.answer(503, [(DIALECT.not_run, b"1")])
    callers = [harness.ask(method=method, limit_s=1.0) for _ in range(3)]
    assert {caller.status for caller in callers} == {503}
    assert all(caller.header(b"relay-report") is None for caller in callers)
    assert all(float(caller.header(b"retry-after")) > 0 for caller in callers)


def test_caller_gets_no_report():
    harness = make_harness(answer_ok)
    harness.gateways[ORIGIN].forwarder.refuses_new_requests = True
    caller = harness.ask()
    assert answered(caller)
    assert caller.header(b"relay-report") is None


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [(b"relay-report", b"")],
        [(b"relay-report", b"not-run")],
        [(b"relay-report", b"NOT-RUN stopping")],
        [(b"relay-report", b"ran stopping")],
        [(b"relay-report", b"not-run a"), (b"relay-report", b"not-run a")],
    ],
)
def test_malformed_report_is_none(headers):
    assert RelayReport.from_headers(headers) is None


@pytest.mark.parametrize("not_run", [True, False])
def test_report_is_read_as_it_was_written(not_run):
    report = RelayReport(not_run, "no_endpoint")
    assert RelayReport.from_headers([(b"x", b"y"), report.header()]) == report
