# SPDX-License-Identifier: BSD-3-Clause
"""Rows of pools' versions that are absent, unreadable or outdated leave the past unknown."""

from twisted.internet import task

from turnward.gateway.tests.test_software_versions import make_harness, resume
from turnward.rows import RowKey

ROW = RowKey("pool_versions", "", "pool")


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
    assert line["unknown"] == {"other": "unreadable"}


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
