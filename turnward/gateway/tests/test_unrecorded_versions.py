# SPDX-License-Identifier: BSD-3-Clause
"""Versions that the store refuses to record in the row of their pool outlast a mass kill."""

import pytest
from twisted.internet import task

from turnward.gateway.member_ranks import MemberRanks
from turnward.gateway.tests.test_mass_restarts import kill_all, refuse_version_rows
from turnward.gateway.tests.test_software_versions import add_engine, resume
from turnward.gateway.tests.test_stale_tables import make_long_running
from turnward.gateway.tests.test_stream_version_rows import (
    SlowEngine,
    begin,
    let_end,
    names_of,
    rows_of,
    start_again,
)
from turnward.rows import RowKey

#: Routers that write the row of a pool.
WRITERS = 4


def make_fleet(gateways):
    """Return a fleet that has long known one version, whose streams stay open after an event."""
    harness = make_long_running(gateways)
    harness.network.advance(3.0)
    for endpoint in harness.endpoints:
        endpoint.behave = SlowEngine("v1")
    return harness


def add_slow_version(harness, version="v2"):
    """Add endpoints of a version, and wait until streams begin there."""
    for _ in range(3):
        add_engine(harness, version).behave = SlowEngine(version)
    harness.network.advance(6.0)


def remove_version(harness, version):
    for endpoint in harness.endpoints:
        if endpoint.behave.version == version:
            harness.rows.remove("endpoints", endpoint.endpoint_id)


def begin_beside_two(harness, gateways):
    """Begin streams at each gateway; return those of the second version."""
    begun = begin(harness, names_of(4 * gateways), gateways)
    harness.network.advance(1.0)
    second = [name for name, versions in begun.items() if versions == {b"v2"}]
    assert second
    return second


def restart_all(harness):
    """Kill and restart the gateways; the second version leaves meanwhile."""
    kill_all(harness)
    for client in harness.clients:
        # A poll of a killed process is answered once its machine runs again.
        client.faults.unavailable = True
    remove_version(harness, "v2")
    first = start_again(harness, harness.machines[: len(set(harness.machines))])
    let_end(harness)
    return first


def assert_not_joined(harness, begun, first):
    for number, name in enumerate(begun):
        assert resume(harness, name, first + number % 2, after=1).status == 503


def turn_away_writers(harness):
    """Have the store turn away the gateways that write the row of the pool."""
    for gateway, client in zip(harness.gateways, harness.clients, strict=True):
        if MemberRanks(gateway.book).rank_for("pool") < WRITERS:
            client.faults.unavailable = True


def test_version_whose_row_the_store_refuses_joins_no_open_streams_after_a_mass_kill():
    harness = make_fleet(gateways=2)
    for client in harness.clients:
        refuse_version_rows(client)
    add_slow_version(harness)
    begun = begin_beside_two(harness, gateways=2)
    assert_not_joined(harness, begun, restart_all(harness))


def test_version_that_turned_away_writers_did_not_record_joins_no_streams_after_a_mass_kill():
    harness = make_fleet(gateways=8)
    turn_away_writers(harness)
    add_slow_version(harness)
    begun = begin_beside_two(harness, gateways=8)
    assert harness.rows.get(RowKey("pool_versions", "", "pool")).value == b'["v1"]'
    assert_not_joined(harness, begun, restart_all(harness))


def test_unrecorded_version_outlasts_two_mass_kills():
    harness = make_fleet(gateways=2)
    for client in harness.clients:
        refuse_version_rows(client)
    add_slow_version(harness)
    begun = begin_beside_two(harness, gateways=2)
    first = restart_all(harness)
    for client in harness.clients[first:]:
        refuse_version_rows(client)
    harness.network.advance(3.0)
    assert_not_joined(harness, begun, restart_all(harness))


@pytest.mark.parametrize("late_s", [0.5, 2.0])
def test_past_is_not_known_before_the_rows_of_streams_are_read(late_s):
    harness = make_fleet(gateways=1)
    refuse_version_rows(harness.clients[0])
    add_slow_version(harness)
    begun = begin_beside_two(harness, gateways=1)
    kill_all(harness)
    remove_version(harness, "v2")
    (machine,) = harness.machines
    machine.restart()
    gateway = harness.run_gateway(machine, "node-1", start=False)
    delay_stream_rows(harness.clients[-1], machine, late_s)
    gateway.start()
    assert harness.network.advance_until(lambda: gateway.ready)
    let_end(harness)
    for _ in range(4):
        assert resume(harness, begun[0], 1, after=1).status == 503
        harness.network.advance(1.0)


def test_gateway_that_cannot_read_the_rows_of_streams_records_a_version_that_comes():
    harness = make_fleet(gateways=1)
    kill_all(harness)
    gateway = harness.gateway(start=False)
    delay_stream_rows(harness.clients[-1], harness.machines[-1], late_s=60.0)
    gateway.start()
    assert harness.network.advance_until(lambda: gateway.ready)
    add_slow_version(harness)
    assert harness.rows.get(RowKey("pool_versions", "", "pool")).value == b'["v1","v2"]'


def delay_stream_rows(client, machine, late_s):
    """Have the store answer the first reads of the rows of streams late."""
    read_table = client.read_table

    async def read_late(table, part=""):
        answer = await read_table(table, part)
        if table == "stream_versions":
            await task.deferLater(machine, late_s)
        return answer

    client.read_table = read_late


def test_recorded_versions_are_not_told_in_the_rows_of_streams():
    harness = make_fleet(gateways=2)
    add_slow_version(harness)
    begin_beside_two(harness, gateways=2)
    assert len(rows_of(harness)) == 2
    assert not any(row.unrecorded for row in rows_of(harness))


def test_version_that_left_long_before_a_mass_kill_is_not_kept_by_the_rows_of_streams():
    harness = make_fleet(gateways=8)
    turn_away_writers(harness)
    add_slow_version(harness)
    begin_beside_two(harness, gateways=8)
    remove_version(harness, "v2")
    for gateway in range(13):
        harness.send(gateway % 8, request_id=b"later-%d" % gateway)
        harness.network.advance(2.0)
    first = restart_all(harness)
    harness.network.advance(1.0)
    assert resume(harness, b"never-told", first).status == 200
