# SPDX-License-Identifier: BSD-3-Clause
"""What gateways do with streams that broke when all of them were killed at once."""

from itertools import permutations

import msgspec
import pytest
from twisted.internet import defer

from turnward.gateway.tests.test_software_versions import make_harness, resume
from turnward.gateway.tests.test_stale_tables import (
    add_second_version,
    begin_at,
    make_long_running,
)
from turnward.rows import RowsUnavailableError

ORDERS = tuple(permutations(("configuration", "endpoints", "pool_versions")))
ORDERS_WITH_RECORDS = tuple(permutations((*ORDERS[0], "pool_version_records")))
#: Delays of the answers that arrive first, second and so on.
DELAYS_S = (0.1, 0.4, 0.8, 0.9)


def delay_reads(client, machine, delays_s):
    """Have the store answer the first read of each table after a delay."""
    delays_s = dict(delays_s)
    read_table = client.read_table

    async def read_late(table, part=""):
        answer = await read_table(table, part)
        arrived = defer.Deferred()
        machine.callLater(delays_s.pop(table, 0.0), arrived.callback, None)
        await arrived
        return answer

    client.read_table = read_late


def restart_all(harness, orders=((), ())):
    """Start a gateway again on each machine; each gets the tables in its own order."""
    machines = list(harness.machines)
    first = len(harness.gateways)
    for number, machine in enumerate(machines):
        machine.restart()
        harness.run_gateway(machine, f"node-{number + 1}", start=False)
        delay_reads(harness.clients[-1], machine, zip(orders[number], DELAYS_S, strict=False))
        harness.gateways[-1].start()
    started = range(first, len(harness.gateways))
    assert harness.network.advance_until(lambda: all(harness.gateways[n].ready for n in started))
    return started


def kill_all(harness):
    for machine in harness.machines:
        machine.kill()


@pytest.mark.parametrize("other", ORDERS, ids="-".join)
@pytest.mark.parametrize("order", ORDERS, ids="-".join)
def test_no_order_of_arrival_at_a_start_joins_streams_of_two_versions(order, other):
    check_start(order, other)


@pytest.mark.parametrize("order", ORDERS_WITH_RECORDS, ids="-".join)
def test_no_order_of_arrival_with_the_records_joins_streams_of_two_versions(order):
    check_start(order, order)


def check_start(order, other):
    """Check that two gateways that get the tables in these orders join no streams."""
    harness = make_harness(["v1", "v2", "v2"], gateways=2)
    # Only a row that was written by gateways that knew the past tells it.
    harness.watch_pools()
    harness.network.advance(3.0)
    kill_all(harness)
    harness.rows.remove("endpoints", harness.endpoints[0].endpoint_id)
    started = restart_all(harness, (order, other))
    for _ in range(3):
        for gateway in started:
            assert resume(harness, b"begun-at-v1", gateway).status == 503
        harness.network.advance(1.0)
    assert not any(endpoint.requests for endpoint in harness.endpoints)
    for gateway in started:
        assert not harness.logs[gateway].of("pool_versions.read")[-1]["unknown"]


def test_pool_without_a_row_is_not_taken_for_one_of_a_single_version():
    harness = make_harness(["v1", "v2", "v2"], gateways=2)
    kill_all(harness)
    harness.rows.remove("endpoints", harness.endpoints[0].endpoint_id)
    harness.rows.remove("pool_versions", "pool")
    (gateway, _) = restart_all(harness)
    assert resume(harness, b"begun-at-v1", gateway).status == 503


def test_streams_of_unknown_version_go_on_once_the_pool_was_watched_for_as_long_as_they_last():
    harness = make_harness(["v1", "v1"], gateways=2, time_limit_s=2.0)
    assert resume(harness, b"never-told").status == 503
    harness.network.advance(15.0)
    assert resume(harness, b"never-told").status == 200


def test_versions_are_kept_while_a_pool_is_missing_from_the_configuration():
    harness = make_harness(["v1", "v2", "v2"], gateways=2)
    harness.network.advance(2.0)
    routes = harness.configuration.routes
    harness.rows.remove("endpoints", harness.endpoints[0].endpoint_id)
    harness.network.advance(1.0)
    harness.configure(routes=())
    harness.network.advance(3.0)
    harness.configure(routes=routes)
    harness.network.advance(3.0)
    assert resume(harness, b"begun-at-v1").status == 503


def test_shorter_time_limit_does_not_forget_the_version_of_streams_that_began_before():
    harness = make_harness(["v1", "v2", "v2"], gateways=2, time_limit_s=60.0)
    harness.network.advance(2.0)
    harness.rows.remove("endpoints", harness.endpoints[0].endpoint_id)
    harness.network.advance(1.0)
    (route,) = harness.configuration.routes
    harness.configure(
        routes=(harness.route(repeat=route.repeat, resumable=True, attempts=3, time_limit_s=1.0),)
    )
    harness.network.advance(40.0)
    assert resume(harness, b"begun-at-v1").status == 503


@pytest.mark.parametrize("watched", [False, True])
def test_time_limit_that_was_shortened_before_a_mass_kill_forgets_no_version(watched):
    harness = make_harness(["v1", "v2", "v2"], gateways=2, time_limit_s=60.0)
    if watched:
        harness.network.advance(150.0)
        harness.watch_pools()
    harness.network.advance(2.0)
    harness.rows.remove("endpoints", harness.endpoints[0].endpoint_id)
    harness.network.advance(1.0)
    (route,) = harness.configuration.routes
    harness.configure(routes=(msgspec.structs.replace(route, time_limit_s=1.0),))
    harness.network.advance(2.0)
    kill_all(harness)
    (gateway, _) = restart_all(harness)
    harness.network.advance(20.0)
    assert resume(harness, b"begun-at-v1", gateway).status == 503


def test_version_whose_row_the_store_refuses_for_long_is_not_forgotten_by_a_mass_kill():
    harness = make_long_running(gateways=2)
    harness.network.advance(6.0)
    for client in harness.clients:
        refuse_version_rows(client)
    add_second_version(harness)
    harness.network.advance(6.0)
    begun = begin_at(harness, b"v2")
    kill_all(harness)
    for endpoint in harness.endpoints:
        if endpoint.behave.version == "v2":
            harness.rows.remove("endpoints", endpoint.endpoint_id)
    (gateway, _) = restart_all(harness)
    assert resume(harness, begun, gateway).status == 503


def refuse_version_rows(client):
    """Have the store refuse all writes of pools' versions."""
    transact = client.transact

    async def refuse(transaction):
        if any(change.key.table.startswith("pool_version") for change in transaction.changes):
            raise RowsUnavailableError("refused")
        return await transact(transaction)

    client.transact = refuse
