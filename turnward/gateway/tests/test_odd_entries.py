# SPDX-License-Identifier: BSD-3-Clause
"""Odd rows of other writers, and odd messages, spoil nothing but themselves."""

import random
import zlib

import msgspec
import pytest

from turnward.gateway import EndpointEntry
from turnward.gateway.accounts import TABLE as ACCOUNTS_TABLE
from turnward.gateway.decoding import decode_message
from turnward.gateway.endpoints_copy import pack_endpoints, unpack_endpoints
from turnward.gateway.loans import LOANS_PATH
from turnward.gateway.members import MEMBERS_TABLE
from turnward.gateway.packing import pack
from turnward.gateway.peers import ENDPOINTS_PATH, PeerDatagramProtocol
from turnward.gateway.quarantine_rows import QUARANTINE_TABLE
from turnward.gateway.spending import TABLE as REPORTS_TABLE
from turnward.gateway.state import EndpointsSnapshot
from turnward.gateway.tests.harness import KEY, PEERS_PORT, Harness, answer_ok, answered
from turnward.gateway.unreadable_rows import UnreadableRows
from turnward.rows import RowKey, StoredRow

HUGE = 10**30
LONG = "z" * 70_000
NESTED_JSON = b"[" * 200_000 + b"]" * 200_000
NESTED_MSGPACK = b"\x91" * 60_000 + b"\xc0"
SOUND_ENTRY = {"endpoint_id": "odd", "pool": "pool", "address": "10.9.0.77:8000", "slots": 4}
SOUND_MEMBER = {"address": "10.1.0.77:82", "zone": "z", "takes_relays": True}
ODD_FIELDS = {
    "slots": (HUGE, 2**64 - 1),
    "born_ms": (HUGE,),
    "cold_left_s": (1e300,),
    "zone": (LONG,),
    "version": (LONG,),
    "pool": (LONG,),
    "endpoint_id": (LONG, "odd\r\nx-injected: 1"),
    "address": (
        "10.9.0.77:70000",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "10.9.0.77:0",
        "10.9.0.77:\u0668\u0660",
        "10.9.0.77:" + "8" * 5_000,
        "somewhere",
    ),
}
ODD_ENTRIES = {
    f"{field}: {value!s:.20}": msgspec.json.encode({**SOUND_ENTRY, field: value})
    for field, values in ODD_FIELDS.items()
    for value in values
}
ODD_ENTRIES["nested"] = msgspec.json.encode(SOUND_ENTRY)[:-1] + b',"more":' + NESTED_JSON + b"}"
ODD_ENTRIES["digits"] = msgspec.json.encode(SOUND_ENTRY).replace(b":4}", b":" + b"4" * 9_000 + b"}")
ODD_CONFIGURATIONS = {
    "version": HUGE,
    "pools": [{"name": "pool", "connection_limit": HUGE}],
    "workspaces": [{"name": "acme", "keys": [KEY.decode()], "prepaid_tokens": HUGE}],
    "limits": {"head_bytes": HUGE},
    "limits of time": {"idle_timeout_s": 1e300},
}
ODD_ROWS = {
    "member far away": (MEMBERS_TABLE, {**SOUND_MEMBER, "link_mbit_per_s": 1e300}),
    "member in a long zone": (MEMBERS_TABLE, {**SOUND_MEMBER, "zone": LONG}),
    "member at no address": (MEMBERS_TABLE, {**SOUND_MEMBER, "address": "0.0.0.0:82"}),
    "member at a large port": (MEMBERS_TABLE, {**SOUND_MEMBER, "address": "10.1.0.77:70000"}),
    "quarantine of an odd age": (
        QUARANTINE_TABLE,
        {"store_time_s": 0.0, "lost": [["c", "e-1", HUGE, HUGE]]},
    ),
    "quarantine of an odd time": (
        QUARANTINE_TABLE,
        {"store_time_s": -1e300, "lost": [["c", "e-1", 1, 1]]},
    ),
    "nested quarantine": (QUARANTINE_TABLE, NESTED_JSON),
    "nested member": (MEMBERS_TABLE, NESTED_JSON),
    "order for a long zone": ("configuration", "zones/" + LONG),
}


def start_without_store(harness):
    """Start another gateway while the store is away, and return whether it gets ready."""
    harness.rows.faults.unavailable = True
    harness.gateway()
    return harness.network.advance_until(lambda: harness.gateways[-1].ready, 8.0)


def faults_in(harness):
    return [line for log in harness.logs for line in log.of("process.fault")]


def make_fleet():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready(2)
    harness.network.advance(1.0)
    return harness


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_gateway_starts_without_the_store_beside_an_odd_entry(name):
    """Guards against one entry that spoils the copies of the table for all peers."""
    harness = make_fleet()
    harness.rows.put("endpoints", "odd", ODD_ENTRIES[name])
    harness.network.advance(3.0)
    assert all(set(gateway.state.endpoints) == {"e-1"} for gateway in harness.gateways)
    assert start_without_store(harness)
    assert [harness.ask(gateway).status for gateway in range(3)] == [200] * 3
    assert not faults_in(harness)
    assert [line["key"] for line in harness.logs[0].of("row.unreadable")] == ["odd"]


@pytest.mark.parametrize("field", ODD_CONFIGURATIONS)
def test_gateway_starts_without_the_store_beside_an_odd_configuration(field):
    harness = make_fleet()
    odd = msgspec.to_builtins(harness.configuration) | {"version": 9}
    odd[field.split(" ")[0]] = ODD_CONFIGURATIONS[field]
    harness.rows.put("configuration", "all", msgspec.json.encode(odd))
    harness.network.advance(3.0)
    assert {gateway.state.configuration_version for gateway in harness.gateways} == {1}
    assert start_without_store(harness)
    assert [harness.ask(gateway).status for gateway in range(3)] == [200] * 3
    assert not faults_in(harness)
    assert harness.logs[0].of("row.unreadable")


@pytest.mark.parametrize("name", ODD_ROWS)
def test_gateways_go_on_beside_an_odd_row_of_another_gateway(name):
    table, value = ODD_ROWS[name]
    key = "odd"
    if isinstance(value, str):
        key, value = value, b""
    value = value if isinstance(value, bytes) else msgspec.json.encode(value)
    harness = make_fleet()
    harness.rows.put(table, key, value)
    harness.network.advance(3.0)
    harness.gateway()
    assert harness.network.advance_until(lambda: harness.gateways[-1].ready, 8.0)
    heard_s = [gateway.peers.received_s for gateway in harness.gateways]
    assert [harness.ask(gateway).status for gateway in range(3)] == [200] * 3
    harness.network.advance(2.0)
    for gateway, before_s in zip(harness.gateways, heard_s, strict=True):
        assert gateway.peers.received_s > before_s
    assert start_without_store(harness)
    assert not faults_in(harness)


def test_odd_row_of_a_workspace_costs_no_other_workspace():
    harness = make_fleet()
    harness.rows.put(ACCOUNTS_TABLE, "account", b'{"limit_tokens":1' + b"0" * 30 + b"}", "acme")
    harness.network.advance(3.0)
    assert harness.ask().status == 200
    assert not faults_in(harness)


def entry(number, **fields):
    return EndpointEntry(
        endpoint_id=f"e-{number}", pool="p", address=f"10.9.0.{number}:80", **fields
    )


def test_entry_that_can_not_be_encoded_is_left_out_of_a_copy():
    snapshot = EndpointsSnapshot.at(7, (entry(1), entry(2, slots=HUGE), entry(3)))
    received, invalid = unpack_endpoints(pack_endpoints(snapshot))
    assert [each.endpoint_id for each in received.entries] == ["e-1", "e-3"]
    assert (received.as_of, received.names_versions, invalid) == (snapshot.as_of, True, 0)


@pytest.mark.parametrize("fields", [{"slots": 2**60}, {"zone": LONG}, {"cold_left_s": 1e300}])
def test_invalid_entry_in_a_copy_of_an_older_build_spoils_no_other(fields):
    snapshot = EndpointsSnapshot.at(7, (entry(1), entry(2, **fields), entry(3)))
    received, invalid = unpack_endpoints(pack(snapshot))
    assert [each.endpoint_id for each in received.entries] == ["e-1", "e-3"]
    assert invalid == 1


def test_entry_without_a_valid_address_in_a_copy_spoils_no_other():
    odd = EndpointEntry(endpoint_id="odd", pool="p", address="0.0.0.0:80")
    received, invalid = unpack_endpoints(pack(EndpointsSnapshot.at(7, (entry(1), odd))))
    assert [each.endpoint_id for each in received.entries] == ["e-1"]
    assert invalid == 1


@pytest.mark.parametrize("seed", range(30))
def test_copies_of_random_entries_are_received_as_they_were(seed):
    rng = random.Random(seed)
    entries = tuple(
        entry(number, slots=rng.randint(1, 99), leaving=rng.random() < 0.5, zone=rng.choice("ab"))
        for number in range(rng.randint(0, 50))
    )
    snapshot = EndpointsSnapshot.at(rng.randint(0, 2**40), entries)
    assert unpack_endpoints(pack_endpoints(snapshot)) == (snapshot, 0)


@pytest.mark.parametrize("data", [b"", b"x", NESTED_MSGPACK, b"\xc1", b"\xdd\xff\xff\xff\xff"])
def test_odd_message_is_a_decode_error(data):
    with pytest.raises(msgspec.DecodeError):
        decode_message(data, EndpointsSnapshot)
    with pytest.raises(msgspec.DecodeError):
        unpack_endpoints(zlib.compress(data))


@pytest.mark.parametrize("data", [b"", b"x", NESTED_MSGPACK, b"\x93\xa6digest" + NESTED_MSGPACK])
def test_odd_datagram_is_rejected(data):
    """Guards against deep nesting that raises in the reactor."""
    messages, rejected = [], []
    protocol = PeerDatagramProtocol(messages.append, lambda host, layout: rejected.append(host))
    protocol.datagramReceived(data, ("10.1.0.9", 82))
    assert (messages, rejected) == ([], ["10.1.0.9"])


def test_odd_body_of_a_peers_call_is_rejected():
    harness = make_fleet()
    peer = harness.connect(0, PEERS_PORT)
    head = b"POST %b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    peer.transport.write(head % (LOANS_PATH, len(NESTED_MSGPACK)) + NESTED_MSGPACK)
    harness.network.advance_until(lambda: answered(peer))
    assert peer.status == 400
    assert not faults_in(harness)


def test_odd_copy_of_a_peer_is_dropped():
    harness = make_fleet()
    server = harness.gateways[1]._peer_server
    serve = server.handler

    def handle(request):
        if request.target == ENDPOINTS_PATH:
            request.answer(200, [], zlib.compress(NESTED_MSGPACK))
        else:
            serve(request)

    server.handler = handle
    harness.clients[0].faults.unavailable = True
    # The long poll under way ends first.
    harness.network.advance(6.0)
    harness.endpoint(answer_ok)
    harness.network.advance(3.0)
    assert harness.logs[0].of("peer.fetch_failed")
    assert not faults_in(harness)
    assert harness.ask().status == 200


@pytest.mark.parametrize("value", [b"{", msgspec.json.encode({**SOUND_ENTRY, "address": LONG})])
def test_line_of_an_unreadable_row_is_short(value):
    harness = make_fleet()
    harness.rows.put("endpoints", LONG, value)
    harness.network.advance(3.0)
    (line,) = harness.logs[0].of("row.unreadable")
    assert all(len(str(field)) < 300 for field in line.values())


def test_cause_of_an_unreadable_row_is_short():
    reported = []
    rows = UnreadableRows()
    rows.on_unreadable = reported.append
    row = StoredRow(RowKey("endpoints", "", "odd"), b"", 1)
    rows.mark_unreadable(row, ValueError("address " + LONG))
    assert len(reported[0].cause) < 300


@pytest.mark.parametrize(
    "value", [b"{", NESTED_JSON, b'{"number":1,"stamp_s":1e300,"promises":{}}']
)
def test_odd_report_of_an_earlier_process_hides_no_other(value):
    """Guards against one report that keeps a node from reading all others, again and again."""
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.rows.put(REPORTS_TABLE, "node-1@odd", value, "node-1")
    harness.ready()
    harness.network.advance(3.0)
    assert not harness.logs[0].of("prepaid.look_back_failed")
    (line,) = harness.logs[0].of("prepaid.predecessors")
    assert (line["incarnations"], line["void"]) == (["node-1@odd"], ["node-1@odd"])
    assert harness.logs[0].of("prepaid.report_unreadable")
