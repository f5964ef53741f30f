# SPDX-License-Identifier: BSD-3-Clause
"""Rows of pools' versions that are absent, unreadable or outdated leave the past unknown."""

import random

import msgspec
import pytest
from twisted.internet import task

from turnward.gateway import EndpointPool, RetryPolicy, WeightedPool
from turnward.gateway.pool_version_rows import PoolVersionRows
from turnward.gateway.recorded_versions import PoolVersionRecord
from turnward.gateway.tests.harness import Harness, ListLog
from turnward.gateway.tests.test_software_versions import (
    Engine,
    add_engine,
    make_divided_harness,
    make_harness,
    resume,
    versions_in,
)
from turnward.gateway.tests.test_stale_tables import (
    add_second_version,
    begin_at,
    cut_off,
    make_long_running,
)
from turnward.gateway.unreadable_rows import UnreadableRows
from turnward.rows import RowKey, RowsUnavailableError
from turnward.software_versions import PoolVersions
from turnward.standins import MemoryNetwork, MemoryRows, RowsClient

ROW = RowKey("pool_versions", "", "pool")
RECORD = RowKey("pool_version_records", "", "pool")


def kill_all(harness):
    for machine in harness.machines:
        machine.kill()


def restart_all(harness, rows_late_s=0.0):
    """Restart all machines, each with a new gateway; return the number of the first one.

    Their reads of the pools' versions are answered some time late.
    """
    first = len(harness.gateways)
    for number, machine in enumerate(list(harness.machines)):
        machine.restart()
        gateway = harness.run_gateway(machine, f"node-{number + 1}", start=False)
        delay_reads(harness.clients[-1], machine, rows_late_s)
        gateway.start()
    started = harness.gateways[first:]
    assert harness.network.advance_until(lambda: all(each.ready for each in started))
    harness.network.advance(rows_late_s)
    return first


def delay_reads(client, reactor, late_s):
    """Let a client read the pools' versions late."""
    read = client.read_table

    async def read_table(table, part=""):
        if table == "pool_versions":
            await task.deferLater(reactor, late_s)
        return await read(table, part)

    client.read_table = read_table


def test_line_tells_which_versions_were_read_and_which_row_is_unreadable():
    harness = make_harness(["v1", "v2"])
    kill_all(harness)
    harness.rows.put("pool_versions", "other", b"{")
    first = restart_all(harness)
    (line,) = harness.logs[first].of("pool_versions.read")
    assert line["versions"] == {"pool": ["v1", "v2"]}
    assert line["unknown"] == {"other": "unreadable", "pool": "partial"}


def test_line_tells_that_a_pool_with_endpoints_has_no_row():
    harness = make_harness(["v1", "v2"])
    kill_all(harness)
    harness.rows.remove("pool_versions", "pool")
    first = restart_all(harness, rows_late_s=0.5)
    (line,) = harness.logs[first].of("pool_versions.read")
    assert (line["versions"], line["unknown"]) == ({}, {"pool": "absent"})


def make_killed_fleet(gateways=2, **fields):
    """Return a fleet that was killed at once, whose version v1 has left meanwhile."""
    harness = make_harness(["v1", "v2", "v2"], gateways=gateways, **fields)
    harness.network.advance(2.0)
    kill_all(harness)
    harness.rows.remove("endpoints", harness.endpoints[0].endpoint_id)
    return harness


def test_unreadable_row_is_not_taken_for_one_without_other_versions():
    harness = make_killed_fleet()
    harness.rows.put("pool_versions", "pool", b'["v1", "v')
    gateway = restart_all(harness)
    harness.network.advance(2.0)
    assert resume(harness, b"begun-at-v1", gateway).status == 503
    assert [line["key"] for line in harness.logs[gateway].of("row.unreadable")] == ["pool"]


def test_unreadable_row_is_written_anew_only_by_a_gateway_that_knows_the_past():
    harness = make_killed_fleet(time_limit_s=5.0)
    harness.rows.put("pool_versions", "pool", b"[1]")
    restart_all(harness)
    harness.network.advance(15.0)
    assert harness.rows.get(ROW).value == b"[1]"
    harness.network.advance(8.0)
    assert harness.rows.get(ROW).value == b'["v2"]'


def test_row_of_gateways_that_did_not_know_the_past_is_no_record_of_it():
    harness = make_killed_fleet()
    harness.rows.remove("pool_versions", "pool")
    restart_all(harness)
    harness.network.advance(3.0)
    assert harness.rows.get(ROW).value == b'["v2"]'
    kill_all(harness)
    gateway = restart_all(harness)
    harness.network.advance(1.0)
    assert resume(harness, b"begun-at-v1", gateway).status == 503
    (line,) = harness.logs[gateway].of("pool_versions.read")
    assert (line["versions"], line["unknown"]) == ({"pool": ["v2"]}, {"pool": "partial"})


def test_version_that_an_older_build_takes_out_of_its_list_stays_recorded():
    harness = make_killed_fleet(time_limit_s=2.0)
    harness.rows.put("pool_versions", "pool", b'["v2"]')
    gateway = restart_all(harness)
    assert resume(harness, b"begun-at-v1", gateway).status == 503


def test_list_of_an_older_build_is_the_recorded_past():
    harness = make_killed_fleet()
    harness.rows.remove("pool_version_records", "pool")
    harness.rows.put("pool_versions", "pool", b'["v2"]')
    gateway = restart_all(harness)
    harness.network.advance(1.0)
    assert resume(harness, b"begun-lately", gateway).status == 200


def test_older_build_reads_all_versions_that_are_recorded():
    harness = make_harness(["v1", "v2"], time_limit_s=2.0)
    harness.network.advance(2.0)
    assert msgspec.json.decode(harness.rows.get(ROW).value, type=list[str]) == ["v1", "v2"]
    harness.network.advance(15.0)
    assert msgspec.json.decode(harness.rows.get(ROW).value, type=list[str]) == ["v1", "v2"]


class Writer:
    """The rows' part of a gateway of its own, and what it knows of one pool."""

    def __init__(self, rows, network, host="10.1.0.1", limit_s=20.0):
        machine = network.machine(host)
        self.client = RowsClient(rows, machine)
        self.log = ListLog()
        self.limit_s = limit_s
        self.versions = PoolVersions(machine.seconds, lambda pool: self.limit_s)
        self.rows = PoolVersionRows(
            machine,
            self.client,
            self.versions,
            lambda pool: 0,
            UnreadableRows(),
            random.Random(1),
            self.log,
        )
        self.client.eras.listen(lambda era: self.rows.handle_rollback())

    def observe_era(self):
        """Learn the era of the store, as from the answer to another call."""
        self.client.eras.observe_era(self.client._rows.era)

    def watch(self, *versions):
        self.versions.set_present({"pool": versions})


def put_record(rows, versions, era=0):
    """Write the rows of a pool as a gateway that knows the past in some era does."""
    record = PoolVersionRecord(tuple(versions), era)
    rows.put(ROW.table, ROW.key, msgspec.json.encode(versions))
    rows.put(RECORD.table, RECORD.key, msgspec.json.encode(record))


def recorded(rows):
    """Return the versions in a pool's list and in its record, and the record's era."""
    record = msgspec.json.decode(rows.get(RECORD).value, type=PoolVersionRecord)
    return msgspec.json.decode(rows.get(ROW).value), list(record.versions), record.era


def make_writer(versions, limit_s=20.0):
    """Return a writer that has read a complete record, with the rows and the network."""
    network = MemoryNetwork()
    rows = MemoryRows(network.clock)
    put_record(rows, versions)
    writer = Writer(rows, network, limit_s=limit_s)
    writer.watch(*versions)
    writer.rows.start()
    network.advance(1.0)
    return writer, rows, network


def test_version_is_taken_out_only_once_it_was_seen_absent_for_as_long_as_a_stream_lasts():
    writer, rows, network = make_writer(["v1", "v2"])
    writer.watch("v2")
    network.advance(18.0)
    assert recorded(rows) == (["v1", "v2"], ["v1", "v2"], 0)
    network.advance(4.0)
    assert recorded(rows) == (["v2"], ["v2"], 0)


def test_gateway_that_does_not_know_the_past_takes_no_version_out():
    writer, rows, network = make_writer(["v1", "v2"])
    writer.watch("v2")
    network.advance(15.0)
    writer.versions.forget_past()
    network.advance(10.0)
    assert recorded(rows) == (["v1", "v2"], ["v1", "v2"], 0)
    writer.watch("v2", "v3")
    network.advance(2.0)
    assert recorded(rows) == (["v1", "v2", "v3"], ["v1", "v2", "v3"], 0)


def recorded_limit_s(rows):
    return msgspec.json.decode(rows.get(RECORD).value, type=PoolVersionRecord).stream_limit_s


def test_row_tells_a_longer_limit_until_the_streams_that_began_under_it_have_ended():
    writer, rows, network = make_writer(["v1"], limit_s=60.0)
    network.advance(2.0)
    writer.limit_s = 20.0
    network.advance(55.0)
    assert recorded_limit_s(rows) == 60.0
    network.advance(8.0)
    assert recorded_limit_s(rows) == 20.0


def test_gateway_that_starts_keeps_versions_for_a_longer_limit_that_the_row_tells():
    writer, rows, network = make_writer(["v1"], limit_s=60.0)
    network.advance(2.0)
    started = Writer(rows, network, host="10.1.0.2", limit_s=20.0)
    started.watch("v2")
    started.rows.start()
    network.advance(58.0)
    assert started.versions.of("pool") == {"v1", "v2"}
    network.advance(6.0)
    assert started.versions.of("pool") == {"v2"}
    assert recorded_limit_s(rows) == 20.0


def test_gateway_with_an_older_configuration_does_not_shorten_the_limit_that_others_recorded():
    writer, rows, network = make_writer(["v1"], limit_s=20.0)
    network.advance(2.0)
    other = Writer(rows, network, host="10.1.0.2", limit_s=60.0)
    other.watch("v1")
    other.rows.start()
    network.advance(3.0)
    writer.watch("v1", "v2")
    network.advance(3.0)
    assert recorded(rows) == (["v1", "v2"], ["v1", "v2"], 0)
    assert recorded_limit_s(rows) == 60.0


def test_version_that_others_recorded_meanwhile_is_kept_by_the_next_writer():
    writer, rows, network = make_writer(["v1"])
    put_record(rows, ["v1", "v2"])
    writer.watch("v1", "v3")
    network.advance(3.0)
    assert recorded(rows) == (["v1", "v2", "v3"], ["v1", "v2", "v3"], 0)


def test_rows_of_an_older_copy_of_the_store_are_not_the_whole_past():
    harness = make_harness(["v2", "v2"], gateways=2, time_limit_s=1.0)
    harness.network.advance(15.0)
    copy = harness.rows.copy()
    other = add_engine(harness, "v1")
    harness.network.advance(2.0)
    kill_all(harness)
    harness.rows.remove("endpoints", other.endpoint_id)
    harness.rows.roll_back(copy, rewritten_tables=("endpoints",))
    gateway = restart_all(harness)
    assert resume(harness, b"begun-at-v1", gateway).status == 503
    harness.network.advance(15.0)
    assert resume(harness, b"begun-lately", gateway).status == 200
    (line, *_) = harness.logs[gateway].of("pool_versions.read")
    assert line["unknown"] == {"pool": "outdated"}


def test_gateways_that_live_on_record_the_past_again_in_the_new_era():
    writer, rows, network = make_writer(["v1"])
    rows.roll_back(rows.copy())
    network.advance(0.1)
    writer.observe_era()
    network.advance(3.0)
    assert recorded(rows) == (["v1"], ["v1"], 1)


def test_gateway_that_starts_just_after_a_rollback_reads_what_others_recorded_again():
    harness = make_harness(["v1", "v1"], gateways=2, time_limit_s=2.0)
    harness.network.advance(15.0)
    harness.rows.roll_back(harness.rows.copy())
    harness.machines[0].kill()
    harness.machines[0].restart()
    harness.run_gateway(harness.machines[0], "node-1")
    harness.network.advance(7.0)
    assert resume(harness, b"begun-lately", 2).status == 200
    assert len(harness.logs[2].of("pool_versions.read")) == 2


def test_gateway_of_unknown_past_leaves_the_era_of_a_record_as_it_is():
    network = MemoryNetwork()
    rows = MemoryRows(network.clock)
    put_record(rows, ["v1"])
    rows.roll_back(rows.copy())
    writer = Writer(rows, network)
    writer.watch("v2")
    writer.rows.start()
    network.advance(10.0)
    assert recorded(rows) == (["v1", "v2"], ["v1", "v2"], 0)
    network.advance(15.0)
    assert recorded(rows) == (["v2"], ["v2"], 1)


def test_version_is_recorded_as_soon_as_it_comes():
    for step in range(5):
        harness = make_harness(["v1", "v1"], gateways=3)
        harness.network.advance(2.0 + 0.2 * step)
        add_engine(harness, "v2")
        harness.network.advance(0.1)
        assert harness.rows.get(ROW).value == b'["v1","v2"]'


def begin_streams(harness, gateways, count=8):
    """Begin streams at each gateway; return the versions that wrote each."""
    return [versions_in(harness.ask(gateway)) for gateway in range(gateways) for _ in range(count)]


def test_streams_do_not_begin_at_a_version_before_it_is_recorded():
    harness = make_harness(["v1", "v1"], gateways=2)
    harness.network.advance(2.0)
    for client in harness.clients:
        refuse_writes(client)
    add_engine(harness, "v2")
    add_engine(harness, "v2")
    harness.network.advance(2.0)
    assert all(versions == {b"v1"} for versions in begin_streams(harness, 2))


def test_streams_begin_at_a_version_that_is_not_recorded_if_no_other_endpoint_accepts():
    harness = make_harness(["v1", "v1"], gateways=2)
    harness.network.advance(2.0)
    for client in harness.clients:
        refuse_writes(client)
    add_engine(harness, "v2")
    for endpoint in harness.endpoints[:2]:
        harness.announce(endpoint, version="v1", leaving=True)
    harness.network.advance(0.3)
    assert all(versions == {b"v2"} for versions in begin_streams(harness, 2))


def test_streams_begin_at_a_new_version_after_a_while_though_the_store_refuses_its_row():
    harness = make_harness(["v1", "v1"], gateways=1)
    harness.network.advance(2.0)
    refuse_writes(harness.clients[0])
    add_engine(harness, "v2")
    add_engine(harness, "v2")
    harness.network.advance(8.0)
    assert {b"v2"} in begin_streams(harness, 1, count=24)


def refuse_writes(client):
    """Have the store refuse all writes of a client."""

    async def transact(transaction):
        raise RowsUnavailableError("refused")

    client.transact = transact


def make_watched_fleet(gateways=2, **fields):
    """Return a fleet before a pool of one version, as which it has counted for a while."""
    harness = make_harness(["v1", "v1"], gateways=gateways, **fields)
    harness.watch_pools()
    harness.network.advance(2.0)
    return harness


def roll_over(harness):
    """Let a second version come, and leave again some seconds later.

    Another change comes first, which is all that a poll for changes that waits before it tells.
    """
    harness.announce(harness.endpoints[0], version="v1", slots=5)
    harness.network.advance(0.5)
    others = [add_engine(harness, "v2") for _ in range(2)]
    harness.network.advance(7.0)
    for endpoint in others:
        harness.rows.remove("endpoints", endpoint.endpoint_id)
    harness.network.advance(3.0)


def test_gateway_that_was_frozen_takes_no_pool_for_one_that_had_a_single_version_meanwhile():
    harness = make_watched_fleet()
    harness.machines[0].freeze()
    roll_over(harness)
    harness.machines[0].wake()
    for _ in range(3):
        assert resume(harness, b"begun-at-v2").status == 503
        harness.network.advance(1.0)


def test_gateway_that_was_cut_off_takes_no_pool_for_one_that_had_a_single_version_meanwhile():
    harness = make_watched_fleet()
    harness.clients[0].faults.unavailable = True
    harness.network.cut(*(machine.host for machine in harness.machines))
    harness.network.advance(10.0)
    roll_over(harness)
    harness.clients[0].faults.unavailable = False
    harness.network.heal(*(machine.host for machine in harness.machines))
    harness.network.advance(2.0)
    assert resume(harness, b"begun-at-v2").status == 503


def test_streams_of_unknown_version_go_on_soon_after_a_gap_without_another_version():
    harness = make_watched_fleet()
    harness.machines[0].freeze()
    harness.network.advance(10.0)
    harness.machines[0].wake()
    harness.network.advance(1.0)
    assert resume(harness, b"begun-lately").status == 200


def test_rows_are_read_once_after_a_gap():
    harness = make_watched_fleet()
    (started,) = harness.logs[0].of("pool_versions.read")
    harness.clients[0].faults.unavailable = True
    harness.network.advance(12.0)
    harness.clients[0].faults.unavailable = False
    harness.network.advance(5.0)
    assert len(harness.logs[0].of("pool_versions.read")) == 2
    harness.network.advance(30.0)
    assert len(harness.logs[0].of("pool_versions.read")) == 2


def test_answer_that_was_asked_for_before_a_gap_is_not_the_past_after_it():
    network = MemoryNetwork()
    rows = MemoryRows(network.clock)
    put_record(rows, ["v1"])
    writer = Writer(rows, network)
    writer.watch("v1")
    writer.client.faults.delay_s = 1.0
    writer.rows.start()
    network.advance(1.5)
    put_record(rows, ["v1", "v2"])
    writer.rows.handle_gap()
    network.advance(0.6)
    assert not writer.versions.knows_past("pool")
    network.advance(3.0)
    assert writer.versions.knows_past("pool")
    assert writer.versions.of("pool") == {"v1", "v2"}


def test_streams_of_a_pool_of_one_version_go_on_elsewhere_while_the_store_is_away():
    harness = make_harness(["v1", "v1"], gateways=4)
    harness.watch_pools()
    callers = [b"begun-%d" % number for number in range(12)]
    for request_id in callers:
        harness.ask(request_id=request_id)
    for client in harness.clients:
        client.faults.unavailable = True
    harness.network.advance(9.0)
    harness.machines[0].kill()
    for number, request_id in enumerate(callers):
        assert resume(harness, request_id, gateway=1 + number % 3).status == 200


def make_moving_fleet(gateways=2):
    """Return a fleet whose route leads to one of two pools, each of one version."""
    pools = tuple(EndpointPool(name=name) for name in ("one", "two"))
    harness = Harness(routes=(stream_route("one"), stream_route("two", "/b/")), pools=pools)
    for name in ("one", "one", "two", "two"):
        endpoint = harness.endpoint(Engine(f"v_{name}"), pool=name, announce=False)
        harness.announce(endpoint, version=f"v_{name}")
    harness.ready(gateways)
    harness.watch_pools()
    harness.network.advance(2.0)
    return harness


def stream_route(pool, path_prefix="/a/"):
    return Harness.route(
        name=path_prefix,
        path_prefix=path_prefix,
        pools=(WeightedPool(pool),),
        repeat=RetryPolicy.STREAM,
        resumable=True,
    )


def test_stream_that_began_before_its_route_moved_does_not_go_on_at_the_other_pools_version():
    harness = make_moving_fleet()
    assert versions_in(harness.ask(gateway=1, request_id=b"begun")) == {b"v_one"}
    harness.configure(routes=(stream_route("two"), stream_route("two", "/b/")))
    harness.network.advance(3.0)
    assert resume(harness, b"begun", 0).status == 503
    assert resume(harness, b"begun", 1).status == 503
    kill_all(harness)
    gateway = restart_all(harness)
    harness.network.advance(1.0)
    assert resume(harness, b"begun", gateway).status == 503


def test_stream_that_falls_to_a_wider_route_does_not_go_on_at_the_other_pools_version():
    harness = make_moving_fleet()
    harness.configure(routes=(stream_route("one", "/a/x/"), stream_route("two", "/a/")))
    harness.network.advance(30.0)
    harness.configure(routes=(stream_route("two", "/a/"),))
    harness.network.advance(3.0)
    assert resume(harness, b"begun", path=b"/a/x/1").status == 503


def test_streams_go_on_after_their_route_moved_to_a_pool_of_the_same_version():
    harness = make_moving_fleet()
    for endpoint in harness.endpoints:
        endpoint.behave.version = "v_one"
        harness.announce(endpoint, version="v_one")
    harness.network.advance(25.0)
    harness.configure(routes=(stream_route("two"), stream_route("two", "/b/")))
    harness.network.advance(3.0)
    assert resume(harness, b"begun-lately").status == 200


def test_stream_does_not_go_on_at_another_pools_version_after_weights_have_changed():
    harness = make_divided_harness(gateways=2)
    for endpoint in harness.endpoints:
        harness.announce(endpoint, version=endpoint.behave.version)
    harness.network.advance(25.0)
    begun = [versions_in(harness.ask(request_id=b"begun-%d" % number)) for number in range(12)]
    (route,) = harness.configuration.routes
    pools = (WeightedPool("one", 1), WeightedPool("two", 9))
    harness.configure(routes=(msgspec.structs.replace(route, pools=pools),))
    harness.network.advance(3.0)
    for number, versions in enumerate(begun):
        resumed = versions_in(resume(harness, b"begun-%d" % number, gateway=number % 2))
        assert resumed in (set(), versions)


@pytest.mark.parametrize("after_s", [0.3, 1.0, 1.5, 2.0, 3.0, 5.0])
def test_version_that_came_and_went_while_a_gateway_was_cut_off_is_not_forgotten(after_s):
    harness = make_long_running(gateways=4)
    harness.network.advance(6.0)
    cut_off(harness, 3)
    begun = begin_and_withdraw_second_version(harness)
    harness.clients[3].faults.unavailable = False
    heal_links(harness, 3)
    harness.network.advance(after_s)
    resumed = resume(harness, begun, gateway=3)
    assert resumed.status == 503 or versions_in(resumed) == {b"v2"}


def begin_and_withdraw_second_version(harness):
    """Have a second version come, begin a stream and leave; return the stream's request id."""
    add_second_version(harness)
    begun = begin_at(harness, b"v2")
    for endpoint in harness.endpoints:
        if endpoint.behave.version == "v2":
            harness.rows.remove("endpoints", endpoint.endpoint_id)
    harness.network.advance(1.0)
    return begun


def heal_links(harness, gateway):
    """Restore the links of a gateway to the others."""
    machine = harness.machines[gateway]
    for other in harness.machines:
        harness.network.heal(machine.host, other.host)


def test_row_that_was_read_long_before_the_endpoints_is_read_again():
    harness = make_long_running(gateways=2)
    machine = harness.machines[1]
    machine.kill()
    harness.network.advance(1.0)
    machine.restart()
    harness.network.cut(harness.machines[0].host, machine.host)
    started = harness.run_gateway(machine, "node-2", start=False)
    harness.clients[-1].hold_reads("endpoints")
    started.start()
    harness.network.advance(1.0)
    begun = begin_and_withdraw_second_version(harness)
    harness.network.heal(harness.machines[0].host, machine.host)
    harness.clients[-1].release_reads("endpoints")
    assert harness.network.advance_until(lambda: started.ready)
    resumed = resume(harness, begun, gateway=2)
    assert resumed.status == 503 or versions_in(resumed) == {b"v2"}
