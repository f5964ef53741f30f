# SPDX-License-Identifier: BSD-3-Clause
"""Streams go on at their version after all gateways were killed, by the rows in the store."""

import msgspec
import pytest
from twisted.internet import defer

from turnward.gateway.stream_version_rows import StreamVersionsRow
from turnward.gateway.tests.harness import DIALECT, answer_head
from turnward.gateway.tests.test_software_versions import (
    Engine,
    add_engine,
    make_harness,
    resume,
    versions_in,
)
from turnward.http1 import header_value
from turnward.software_versions import stream_key

TABLE = "stream_versions"
PART = "streams"


class SlowEngine(Engine):
    """Behaviour of an endpoint whose streams stay open after an event, unless they are to end."""

    ends = False

    def __call__(self, endpoint, request):
        if self.ends:
            super().__call__(endpoint, request)
            return
        after = int(header_value(request.headers, DIALECT.last_event_id) or b"0")
        request.start(200, answer_head(request), None)
        request.write(b"id: %d\ndata: %b\n\n" % (after + 1, self.version.encode()))


def make_slow_harness(versions, gateways=1, **fields):
    """Return a fleet whose streams stay open after an event."""
    harness = make_harness(versions, gateways, **fields)
    for endpoint in harness.endpoints:
        endpoint.behave = SlowEngine(endpoint.behave.version)
    return harness


def begin(harness, names, gateways=1):
    """Begin streams that stay open; return the version of each by name."""
    callers = [
        harness.send(number % gateways, request_id=name) for number, name in enumerate(names)
    ]
    harness.network.advance(0.1)
    versions = [versions_in(caller) for caller in callers]
    assert all(len(each) == 1 for each in versions)
    return dict(zip(names, versions, strict=True))


def kill_all(harness):
    """Kill all gateways that run; return their machines."""
    machines = list(dict.fromkeys(harness.machines))
    for machine in machines:
        machine.kill()
    return machines


def restart_all(harness):
    """Kill and restart all gateways; return the number of the first new one."""
    machines = kill_all(harness)
    return start_again(harness, machines)


def start_again(harness, machines):
    """Start a gateway on each machine; return the number of the first one."""
    first = len(harness.gateways)
    for number, machine in enumerate(machines):
        machine.restart()
        harness.run_gateway(machine, f"node-{number + 1}")
    assert harness.network.advance_until(lambda: all(g.ready for g in harness.gateways[first:]))
    return first


def names_of(count):
    return [b"begun-%d" % number for number in range(count)]


def rows_of(harness):
    return [
        msgspec.msgpack.decode(row.value, type=StreamVersionsRow)
        for row in harness.rows.table(TABLE, PART)
    ]


def resumed_at(harness, name, gateway):
    """Resume a stream, which ends whole; return the versions that wrote the rest."""
    let_end(harness)
    return versions_in(resume(harness, name, gateway, after=1))


def let_end(harness):
    for endpoint in harness.endpoints:
        if isinstance(endpoint.behave, SlowEngine):
            endpoint.behave.ends = True


def test_streams_go_on_at_their_version_after_all_gateways_were_killed():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"], gateways=3)
    begun = begin(harness, names_of(12), gateways=3)
    harness.network.advance(1.0)
    first = restart_all(harness)
    for number, (name, version) in enumerate(begun.items()):
        assert resumed_at(harness, name, first + number % 3) == version


def test_streams_go_on_after_all_gateways_were_killed_twice():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"], gateways=2)
    begun = begin(harness, names_of(6), gateways=2)
    harness.network.advance(1.0)
    first = restart_all(harness)
    for number in range(4):
        harness.send(first + number % 2)
    harness.network.advance(1.0)
    for machine in harness.machines[first:]:
        machine.kill()
    first = start_again(harness, harness.machines[:2])
    for name, version in begun.items():
        assert resumed_at(harness, name, first) == version


def test_stream_that_was_resumed_goes_on_after_all_gateways_were_killed():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"], gateways=2)
    ((name, version),) = begin(harness, [b"begun"]).items()
    harness.machines[0].kill()
    headers = ((b"Resumes", name), (b"Last-Event-Id", b"1"))
    resumed = harness.send(1, request_id=b"resumed", headers=headers)
    harness.network.advance(1.5)
    assert versions_in(resumed) == version
    first = restart_all(harness)
    assert resumed_at(harness, name, first) == version


def test_streams_that_began_before_the_second_version_came_go_on_after_all_were_killed():
    harness = make_slow_harness(["v1", "v1"], gateways=2)
    harness.watch_pools()
    begin(harness, names_of(4), gateways=2)
    assert not harness.rows.table(TABLE, PART)
    for _ in range(2):
        add_engine(harness, "v2")
    harness.network.advance(2.0)
    first = restart_all(harness)
    for name in names_of(4):
        assert resumed_at(harness, name, first) == {b"v1"}


def test_stream_of_a_version_that_has_left_is_refused_after_all_gateways_were_killed():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"], gateways=2)
    begun = begin(harness, names_of(8), gateways=2)
    assert {b"v1"} in begun.values()
    harness.network.advance(1.0)
    machines = kill_all(harness)
    for endpoint in harness.endpoints[:2]:
        harness.rows.remove("endpoints", endpoint.endpoint_id)
    first = start_again(harness, machines)
    for name, version in begun.items():
        assert resumed_at(harness, name, first) == (version & {b"v2"})


def test_id_that_a_row_tells_of_another_version_is_ambiguous():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"], gateways=2)
    ((name, version),) = begin(harness, [b"begun"]).items()
    harness.network.advance(1.0)
    (other,) = {b"v1", b"v2"} - version
    row = StreamVersionsRow.from_streams({stream_key("acme", name): other.decode()}, 0.0)
    harness.rows.put(TABLE, "node-9", msgspec.msgpack.encode(row), PART)
    first = restart_all(harness)
    assert resume(harness, name, first).status == 503


def test_row_whose_streams_have_ended_long_ago_is_not_read():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"])
    begin(harness, [b"begun"])
    harness.network.advance(1.0)
    machines = kill_all(harness)
    harness.network.advance(150.0)
    first = start_again(harness, machines)
    assert resume(harness, b"begun", first).status == 503


@pytest.mark.parametrize(
    "value",
    [
        b"\xc1",
        b"",
        msgspec.msgpack.encode({"store_time_s": 0.0}),
        msgspec.msgpack.encode({"store_time_s": 0.0, "keys": {"v1": b"seven.."}}),
    ],
)
def test_row_that_cannot_be_read_does_not_keep_others_from_being_read(value):
    harness = make_slow_harness(["v1", "v1", "v2", "v2"], gateways=3)
    begun = begin(harness, names_of(6), gateways=3)
    harness.network.advance(1.0)
    harness.rows.put(TABLE, "node-1", value, PART)
    first = restart_all(harness)
    unreadable = [line["key"] for line in harness.logs[first].of("row.unreadable")]
    assert unreadable == (["node-1"] if value else [])
    for number, (name, version) in enumerate(begun.items()):
        assert resumed_at(harness, name, first) == (version if number % 3 else set())
    for endpoint in harness.endpoints:
        endpoint.behave.ends = False
    for number in range(3):
        harness.send(first + number)
    harness.network.advance(1.5)
    for machine in harness.machines[first:]:
        machine.kill()
    first = start_again(harness, harness.machines[:3])
    assert not harness.logs[first].of("row.unreadable")


def test_resumption_waits_shortly_for_rows_that_are_read_late():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"])
    ((name, version),) = begin(harness, [b"begun"]).items()
    harness.network.advance(1.0)
    (machine,) = kill_all(harness)
    machine.restart()
    gateway = harness.run_gateway(machine, "node-1", start=False)
    release = hold_table(harness.clients[-1])
    let_end(harness)
    gateway.start()
    assert harness.network.advance_until(lambda: gateway.ready)
    caller = harness.send(
        1, request_id=b"resumed", headers=((b"Resumes", name), (b"Last-Event-Id", b"3"))
    )
    harness.network.advance(0.1)
    assert not caller.received
    release()
    harness.network.advance(0.1)
    assert versions_in(caller) == version


def test_resumption_is_refused_soon_if_the_rows_are_not_read():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"])
    begin(harness, [b"begun"])
    harness.network.advance(1.0)
    (machine,) = kill_all(harness)
    machine.restart()
    gateway = harness.run_gateway(machine, "node-1", start=False)
    hold_table(harness.clients[-1])
    gateway.start()
    assert harness.network.advance_until(lambda: gateway.ready)
    assert resume(harness, b"begun", 1, limit_s=1.0).status == 503


def hold_table(client):
    """Have the rows of streams arrive late; return what lets them arrive."""
    read_table = client.read_table
    held = defer.Deferred()

    async def read_late(table, part=""):
        if table == TABLE:
            await held
        return await read_table(table, part)

    client.read_table = read_late
    return lambda: held.callback(None)


def test_nothing_is_written_while_a_pool_has_one_version():
    harness = make_slow_harness(["v1", "v1"], gateways=2)
    harness.watch_pools()
    begin(harness, names_of(6), gateways=2)
    harness.network.advance(5.0)
    assert not harness.rows.table(TABLE, PART)


def test_nothing_is_written_for_streams_that_have_ended_whole():
    harness = make_harness(["v1", "v1", "v2", "v2"], gateways=2)
    harness.network.advance(2.0)
    for number in range(6):
        assert harness.ask(number % 2).status == 200
    harness.network.advance(2.0)
    assert not harness.rows.table(TABLE, PART)


def test_row_is_written_at_most_twice_a_second_and_only_while_streams_begin():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"])
    harness.network.advance(2.0)
    before = harness.rows.writes
    for number in range(40):
        harness.send(request_id=b"begun-%d" % number)
        harness.network.advance(0.1)
    written = harness.rows.writes - before
    assert 4 <= written <= 9
    harness.network.advance(1.0)
    before = harness.rows.writes
    harness.network.advance(5.0)
    assert harness.rows.writes == before


def test_row_is_written_more_rarely_while_a_pool_of_unknown_past_has_one_version():
    harness = make_slow_harness(["v1", "v1"])
    begun = begin(harness, names_of(1))
    harness.network.advance(2.0)
    before = harness.rows.writes
    for number in range(40):
        harness.send(request_id=b"later-%d" % number)
        harness.network.advance(0.1)
    assert 1 <= harness.rows.writes - before <= 3
    first = restart_all(harness)
    assert resumed_at(harness, *begun, first) == {b"v1"}


def test_row_of_many_streams_has_at_most_some_kilobytes():
    streams = {stream_key("acme", b"%d" % number): f"v{number % 2}" for number in range(1_000)}
    encoded = msgspec.msgpack.encode(StreamVersionsRow.from_streams(streams, 1e6))
    assert len(encoded) < 8_100
    assert msgspec.msgpack.decode(encoded, type=StreamVersionsRow).streams() == streams


def test_row_is_written_again_after_a_rollback_of_the_store():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"])
    copy = harness.rows.copy()
    begun = begin(harness, names_of(4))
    harness.network.advance(1.0)
    harness.rows.roll_back(copy)
    harness.network.advance(10.0)
    first = restart_all(harness)
    for name, version in begun.items():
        assert resumed_at(harness, name, first) == version


def test_row_is_written_although_answers_of_the_store_are_lost():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"])
    harness.rows.faults.lost_share = 0.5
    begun = begin(harness, names_of(4))
    harness.network.advance(5.0)
    harness.rows.faults.lost_share = 0.0
    first = restart_all(harness)
    for name, version in begun.items():
        assert resumed_at(harness, name, first) == version


def reason_told(caller):
    """Return why a caller was refused as not run."""
    assert caller.status == 503
    return msgspec.json.decode(caller.body)["error"]


def test_caller_is_told_that_trying_again_does_not_help_if_nobody_knows_the_version():
    harness = make_harness(["v1", "v1", "v2", "v2"], gateways=3)
    refused = resume(harness, b"never-begun")
    assert reason_told(refused) == "version_lost"


def test_caller_is_told_that_trying_again_does_not_help_if_the_version_has_left():
    harness = make_slow_harness(["v1", "v2", "v2"], gateways=3)
    ((name, version),) = begin(harness, [b"begun"]).items()
    assert version == {b"v2"}
    for endpoint in harness.endpoints[1:]:
        harness.rows.remove("endpoints", endpoint.endpoint_id)
    harness.network.advance(3.0)
    refused = resume(harness, name, gateway=1)
    assert reason_told(refused) == "version_gone"


def test_caller_is_told_to_try_again_if_the_gateway_does_not_know_the_version_of_its_stream_yet():
    harness = make_harness(["v1", "v1", "v2", "v2"])
    row = StreamVersionsRow.from_streams({stream_key("acme", b"begun"): "v3"}, 0.0)
    harness.rows.put(TABLE, "node-9", msgspec.msgpack.encode(row), PART)
    first = restart_all(harness)
    refused = resume(harness, b"begun", first)
    assert reason_told(refused) == "no_endpoint_of_version"


def test_caller_is_told_to_try_again_while_the_rows_are_unread():
    harness = make_slow_harness(["v1", "v1", "v2", "v2"])
    ((name, version),) = begin(harness, [b"begun"]).items()
    harness.network.advance(1.0)
    (machine,) = kill_all(harness)
    machine.restart()
    gateway = harness.run_gateway(machine, "node-1", start=False)
    release = hold_table(harness.clients[-1])
    gateway.start()
    assert harness.network.advance_until(lambda: gateway.ready)
    refused = resume(harness, name, 1)
    assert reason_told(refused) == "version_unknown"
    release()
    harness.network.advance(0.1)
    assert resumed_at(harness, name, 1) == version


def test_caller_is_told_to_try_again_while_a_gateway_that_may_know_does_not_answer():
    harness = make_harness(["v1", "v1", "v2", "v2"], gateways=3)
    harness.machines[2].kill()
    refused = resume(harness, b"never-begun")
    assert reason_told(refused) == "version_unknown"


@pytest.mark.parametrize("gateways", [1, 2])
def test_id_that_began_streams_of_two_versions_is_ambiguous_after_all_were_killed(gateways):
    harness = make_slow_harness(["v1", "v1", "v2", "v2"], gateways=gateways)
    request_id = begin_twice(harness, gateways - 1)
    harness.network.advance(3.0)
    for endpoint in harness.endpoints:
        endpoint.behave.ends = True
    assert resume(harness, request_id, restart_all(harness)).status == 503


def begin_twice(harness, gateway):
    """Begin streams under one id at two versions, the first at gateway 0; return the id."""
    for number in range(60):
        name = b"again-%d" % number
        first = begin(harness, [name])[name]
        harness.network.advance(1.0)
        other = harness.send(gateway, request_id=name)
        harness.network.advance(0.1)
        if versions_in(other) != first:
            return name
    raise AssertionError("no stream of another version")
