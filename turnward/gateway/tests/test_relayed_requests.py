# SPDX-License-Identifier: BSD-3-Clause
"""A request that a peer runs is run once, charged once, and ends as at the peer."""

import msgspec
import pytest

from turnward.gateway import RetryPolicy, Workspace
from turnward.gateway.relay import RelayServer
from turnward.gateway.relay_note import RelayNote, RelayNoteError
from turnward.gateway.tests.harness import (
    DIALECT,
    ENGINE_POOL,
    KEY,
    PEERS_PORT,
    Harness,
    abort_connection,
    answer_head,
    answer_ok,
    answered,
    decode_chunked,
    encode_events,
    never_answer,
    stream_events,
)
from turnward.gateway.tests.test_forwarding import error_reason
from turnward.http1 import header_value

ORIGIN = 0


def make_harness(behave=answer_ok, gateways=2, pools=None, **fields):
    """Return a fleet whose first router has lost its links to all endpoints."""
    harness = Harness(pools=pools, **fields)
    for _ in range(3):
        harness.endpoint(behave)
    harness.ready(gateways)
    harness.network.advance(1.0)
    cut_off(harness, ORIGIN)
    return harness


def cut_off(harness, *gateways):
    for gateway in gateways:
        for endpoint in harness.endpoints:
            harness.network.cut(harness.machines[gateway].host, endpoint.machine.host)
        harness.send(gateway, path=b"/a/first", headers=((b"Deadline-Ms", b"900"),))
    network = harness.network
    lost = [harness.gateways[gateway].peers.unreached_pools for gateway in gateways]
    assert network.advance_until(lambda: all(pools() for pools in lost))
    network.advance(1.0)
    for endpoint in harness.endpoints:
        endpoint.requests.clear()
        endpoint.bodies.clear()


def received(harness):
    return [request for endpoint in harness.endpoints for request in endpoint.requests]


def test_endpoint_gets_the_request_as_the_caller_sent_it():
    harness = make_harness(repeat=RetryPolicy.ONCE, attempts=1)
    headers = ((b"X-Kept", b"1"), (b"Deadline-Ms", b"1500"), (b"Relayed-By", b"nobody 7"))
    caller = harness.ask(method=b"POST", path=b"/a/b?c=d", body=b"body", headers=headers)
    assert caller.status == 200
    assert caller.header(b"answer-seal") == b"seal"
    (request,) = received(harness)
    assert (request.method, request.target) == (b"POST", b"/a/b?c=d")
    assert [body for endpoint in harness.endpoints for body in endpoint.bodies] == [b"body"]
    assert header_value(request.headers, b"x-kept") == b"1"
    assert header_value(request.headers, DIALECT.workspace) == b"acme"
    assert header_value(request.headers, b"relayed-by") is None
    assert header_value(request.headers, b"authorization") is None
    assert 1_300 < int(header_value(request.headers, DIALECT.deadline_ms)) <= 1_500


def test_lines_of_both_routers_have_the_request_id():
    harness = make_harness()
    harness.ask(request_id=b"one")
    (relayed,) = [
        line for line in harness.logs[0].of("request.relayed") if line["request"] == "one"
    ]
    origin, peer = (
        [line for line in log.of("request.ended") if line["request"] == "one"][0]
        for log in harness.logs
    )
    assert relayed["peer"] in origin["endpoint"]
    assert origin["relayed_by"] == ""
    assert peer["relayed_by"] == harness.gateways[0].peers_address


def test_only_the_router_that_runs_a_request_charges_it():
    workspace = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=100_000)
    harness = make_harness(pools=(ENGINE_POOL,), workspaces=(workspace,))

    def committed(gateway):
        return harness.gateways[gateway].accounts.ledger.committed_tokens("acme")

    before = [committed(gateway) for gateway in (0, 1)]
    assert harness.ask(headers=harness.prompt(150, 50)).status == 200
    harness.network.advance(0.1)
    assert committed(0) == before[0]
    assert before[1] < committed(1) <= before[1] + 200


def test_relayed_request_is_not_relayed_again():
    harness = make_harness(gateways=3)
    # The peers' digests are as of before they lost their links too.
    for gateway in (1, 2):
        for endpoint in harness.endpoints:
            harness.network.cut(harness.machines[gateway].host, endpoint.machine.host)
    caller = harness.ask(headers=((b"Deadline-Ms", b"3000"),))
    assert caller.status in (503, 504)
    assert not received(harness)
    for log in harness.logs[1:]:
        assert not log.of("request.relayed")


def test_peer_that_has_lost_its_links_refuses_at_once_and_another_serves():
    harness = make_harness(gateways=3)
    cut_off(harness, 1)
    served = [harness.ask() for _ in range(6)]
    assert {caller.status for caller in served} == {200}
    assert not harness.logs[1].of("attempt.chosen") or len(received(harness)) == 6


@pytest.mark.parametrize("repeat, status", [(RetryPolicy.ONCE, 502), (RetryPolicy.ANY, 200)])
def test_loss_of_the_peer_is_the_loss_of_an_attempt(repeat, status):
    harness = make_harness(never_answer, gateways=3, repeat=repeat, attempts=2)
    caller = harness.send()
    harness.network.advance_until(lambda: received(harness))
    for endpoint in harness.endpoints:
        endpoint.behave = answer_ok
    peer = harness.logs[0].of("request.relayed")[-1]["peer"]
    next(each for each in harness.machines if peer.startswith(each.host + ":")).kill()
    harness.network.advance_until(lambda: answered(caller))
    assert caller.status == status
    assert len(received(harness)) == (1 if repeat is RetryPolicy.ONCE else 2)


def test_attempts_of_both_routers_count_together():
    harness = make_harness(abort_connection, gateways=2, repeat=RetryPolicy.ANY, attempts=2)
    caller = harness.ask()
    assert caller.status == 502
    assert len(received(harness)) == 2


def test_attempts_spent_by_the_origin_are_not_available_to_the_peer():
    harness = make_harness(abort_connection, repeat=RetryPolicy.ANY, attempts=2)
    peer = harness.connect(1, PEERS_PORT)
    note = b"%b %d" % (b"10.1.0.1:82", 1)
    request = harness.request_bytes(path=b"/a/x", headers=((b"Relayed-By", note),))
    peer.transport.write(request.replace(b"GET /a/x", b"GET /relay/a/x"))
    harness.network.advance_until(lambda: answered(peer))
    assert peer.status == 502
    assert len(received(harness)) == 1


def test_refusal_of_a_peer_spends_no_attempt():
    harness = make_harness(abort_connection, gateways=3, repeat=RetryPolicy.ANY, attempts=2)
    # The peers' digests are as of before the second router was stopped.
    refusing = harness.gateways[1]
    refusing.forwarder.refuses_new_requests = True
    peers = harness.gateways[ORIGIN].forwarder.relay.peers
    choose = peers.choose

    def choose_refusing_first(pool, excluded, *args):
        return choose(pool, excluded, *args) if excluded else refusing.peers_address

    peers.choose = choose_refusing_first
    for number in range(6):
        harness.ask(path=b"/a/%d" % number, headers=((b"Deadline-Ms", b"900"),))
    turned_away = {
        line["request"]
        for line in harness.logs[0].of("attempt.failed")
        if line.get("reason") == "stopping"
    }
    assert turned_away
    ids = [
        header_value(request.headers, DIALECT.request_id).decode() for request in received(harness)
    ]
    # Later ones may find the pool unresponsive, which loses every request.
    assert max(ids.count(request_id) for request_id in turned_away) == 2


def test_caller_that_leaves_ends_the_run_at_the_endpoint():
    harness = make_harness(never_answer)
    caller = harness.send()
    harness.network.advance_until(lambda: received(harness))
    caller.transport.abortConnection()
    harness.network.advance(0.1)
    assert [request for each in harness.endpoints for request in each.disconnected][-1:]
    assert not harness.gateways[1].forwarder.open_requests


def test_request_that_no_endpoint_answers_ends_at_its_deadline():
    harness = make_harness(never_answer)
    caller = harness.ask(headers=((b"Deadline-Ms", b"700"),))
    assert caller.status == 504


def test_error_of_an_endpoint_is_passed_on_with_its_seal():
    def fail(endpoint, request):
        request.answer(500, answer_head(request), b"broken")

    harness = make_harness(fail, attempts=1)
    caller = harness.ask()
    assert (caller.status, caller.body) == (500, b"broken")
    assert caller.header(b"answer-seal") == b"seal"


def test_refusal_of_the_peer_is_passed_on_with_its_retry_after():
    harness = make_harness()
    for endpoint in harness.endpoints:
        endpoint.behave = lambda endpoint, request: request.answer(
            503, [(DIALECT.not_run, b"1"), (b"retry-after", b"2")]
        )
    harness.ask()
    caller = harness.ask()
    assert caller.status == 503
    assert error_reason(caller) == "endpoints_resting"
    assert float(caller.header(b"retry-after")) > 1.0


def test_stream_passes_through_the_peer():
    harness = make_harness(stream_events(5), repeat=RetryPolicy.STREAM)
    caller = harness.ask()
    assert decode_chunked(caller.body) == (encode_events(1, 5), True)


def test_stream_is_resumed_at_another_peer():
    def stall(endpoint, request):
        """Leave the rest of the stream to come."""

    harness = make_harness(
        stream_events(6, up_to=2, then=stall),
        gateways=3,
        resumable=True,
        repeat=RetryPolicy.STREAM,
        attempts=2,
    )
    caller = harness.send()
    harness.network.advance_until(lambda: b"id: 2" in caller.received)
    for endpoint in harness.endpoints:
        endpoint.behave = stream_events(6)
    peer = harness.logs[0].of("request.relayed")[-1]["peer"]
    next(each for each in harness.machines if peer.startswith(each.host + ":")).kill()
    harness.network.advance_until(lambda: answered(caller))
    assert decode_chunked(caller.body) == (encode_events(1, 6), True)


def test_slow_caller_pauses_the_endpoint_through_the_peer():
    size = 4_000_000

    def send_much(endpoint, request):
        request.start(200, answer_head(request), size)
        for _ in range(size // 40_000):
            request.write(b"x" * 40_000)
        request.finish()

    harness = make_harness(send_much)
    caller = harness.send()
    caller.transport.pauseProducing()
    harness.network.advance(1.0)
    origin_to_peer = [
        connection
        for connection in harness.machines[1].connections
        if connection.getPeer().host == harness.machines[0].host
    ]
    assert sum(connection._under_way for connection in origin_to_peer) < size / 2
    caller.transport.resumeProducing()
    assert harness.network.advance_until(lambda: len(caller.body) == size)


def test_peer_of_a_version_without_relays_gets_none():
    harness = make_harness(gateways=2)
    older = harness.gateways[0].book.get(harness.gateways[1].peers_address)
    older.digest = msgspec.structs.replace(older.digest, unreached=None)
    older.takes_relays = False
    harness.gateways[1].peers.unreached_pools = lambda: None
    caller = harness.ask(headers=((b"Deadline-Ms", b"800"),))
    assert caller.status == 503
    assert not received(harness)


def test_router_runs_a_limited_number_of_relayed_requests(monkeypatch):
    monkeypatch.setattr(RelayServer, "is_full", staticmethod(lambda relayed: relayed >= 3))
    harness = make_harness(never_answer)
    callers = [harness.send() for _ in range(5)]
    harness.network.advance(0.3)
    assert len(received(harness)) == 3
    refused = [caller for caller in callers if answered(caller)]
    assert [caller.status for caller in refused] == [503, 503]


def test_relayed_request_with_an_unknown_key_is_refused():
    harness = make_harness()
    peer = harness.connect(1, PEERS_PORT)
    headers = ((b"Relayed-By", b"10.1.0.1:82 0"),)
    request = harness.request_bytes(path=b"/a/x", key=b"unknown", headers=headers)
    peer.transport.write(request.replace(b"GET /a/x", b"GET /relay/a/x"))
    harness.network.advance_until(lambda: answered(peer))
    assert peer.status == 401


@pytest.mark.parametrize("value", [None, b"", b"10.1.0.1:82", b"10.1.0.1:82 -1", b" 1"])
def test_relayed_request_without_a_valid_note_is_refused(value):
    harness = make_harness()
    peer = harness.connect(1, PEERS_PORT)
    headers = ((b"Relayed-By", value),) if value is not None else ()
    request = harness.request_bytes(path=b"/a/x", headers=headers)
    peer.transport.write(request.replace(b"GET /a/x", b"GET /relay/a/x"))
    harness.network.advance_until(lambda: answered(peer))
    assert peer.status == 400
    assert not received(harness)


def test_malformed_note_is_an_error_of_its_own():
    with pytest.raises(RelayNoteError, match="malformed"):
        RelayNote.decode(b"somewhere")


def test_router_serves_by_itself_once_its_links_work_again():
    harness = make_harness()
    assert harness.ask().status == 200
    for endpoint in harness.endpoints:
        harness.network.heal(harness.machines[ORIGIN].host, endpoint.machine.host)
    harness.network.advance(1.0)
    relayed = len(harness.logs[ORIGIN].of("request.relayed"))
    assert [harness.ask().status for _ in range(5)] == [200] * 5
    assert len(harness.logs[ORIGIN].of("request.relayed")) == relayed
    assert harness.logs[ORIGIN].of("pool.links_regained")


@pytest.mark.parametrize("peer_serves", [True, False])
def test_peer_that_refused_is_asked_again_once_its_digest_says_that_it_serves(peer_serves):
    harness = make_harness()
    if not peer_serves:
        harness.gateways[1].peers.unreached_pools = lambda: ("pool",)
        harness.network.advance(0.5)
    peers = harness.gateways[ORIGIN].forwarder.relay.peers
    assert peers.has_path("pool") == peer_serves
    peers.note_unreached(harness.gateways[1].peers_address, "pool")
    assert not peers.has_path("pool")
    harness.network.advance(0.5)
    assert peers.has_path("pool") == peer_serves
