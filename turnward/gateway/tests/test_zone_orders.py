# SPDX-License-Identifier: BSD-3-Clause
"""Drained zones get no new requests, and orders are neither lost nor revived."""

import itertools
import random

import msgspec
import pytest

from turnward.gateway import Configuration, EndpointPool, FleetState, WarmUpTraits
from turnward.gateway.table_listeners import ConfigurationListener
from turnward.gateway.tests.harness import Harness, abort_connection, answer_ok, stream_events
from turnward.gateway.zone_orders import ZoneOrder, ZoneOrders
from turnward.rows import RowKey, StoredRow, TableChanges

TABLE = "configuration"


def set_order(harness, zone, drained=True):
    """Issue or withdraw an order."""
    if drained:
        harness.rows.put(TABLE, f"drained/{zone}", b"{}")
    else:
        harness.rows.remove(TABLE, f"drained/{zone}")


def endpoints_in_two_zones(harness, behave=answer_ok):
    """Return one endpoint in each of two zones."""
    pair = []
    for zone in ("north", "south"):
        endpoint = harness.endpoint(behave, announce=False)
        harness.announce(endpoint, zone=zone)
        pair.append(endpoint)
    return pair


def count_served(harness, endpoint, gateways=(0,), count=10):
    """Send requests and return how many of them an endpoint gets."""
    before = len(endpoint.requests)
    for number in range(count):
        assert harness.ask(gateways[number % len(gateways)]).status == 200
    return len(endpoint.requests) - before


def test_drained_zone_gets_nothing_until_the_order_is_withdrawn():
    harness = Harness()
    north, _ = endpoints_in_two_zones(harness)
    harness.ready()
    assert count_served(harness, north)
    set_order(harness, "north")
    harness.network.advance(0.5)
    assert not count_served(harness, north)
    set_order(harness, "north", drained=False)
    harness.network.advance(0.5)
    assert count_served(harness, north)


def test_request_is_refused_as_not_run_when_all_zones_are_drained():
    harness = Harness()
    endpoints_in_two_zones(harness)
    harness.ready()
    set_order(harness, "north")
    set_order(harness, "south")
    harness.network.advance(0.5)
    refused = harness.ask()
    assert refused.status == 503
    assert refused.header(b"retry-after")


def test_retries_and_resumed_streams_avoid_a_drained_zone():
    harness = Harness(repeat="stream", resumable=True)
    north, south = endpoints_in_two_zones(harness, stream_events(4, up_to=2, then=abort_connection))
    harness.ready()
    set_order(harness, "north")
    harness.network.advance(0.5)
    for _ in range(4):
        harness.ask()
    assert south.requests
    assert not north.requests


def test_endpoints_of_a_restored_zone_count_as_cold():
    harness = Harness(
        pools=[EndpointPool(name="pool", warm_up=WarmUpTraits(cold_s=2.0, requests_per_s=1.0))]
    )
    north, _ = endpoints_in_two_zones(harness)
    harness.ready()
    harness.network.advance(1.0)
    set_order(harness, "north")
    harness.network.advance(0.5)
    set_order(harness, "north", drained=False)
    harness.network.advance(0.1)
    assert count_served(harness, north) <= 1
    harness.network.advance(4.0)
    assert count_served(harness, north)


def test_order_survives_a_router_restart_and_a_store_outage():
    harness = Harness()
    north, _ = endpoints_in_two_zones(harness)
    harness.ready()
    set_order(harness, "north")
    harness.network.advance(0.5)
    harness.clients[0].faults.unavailable = True
    harness.network.advance(10.0)
    assert not count_served(harness, north)
    harness.clients[0].faults.unavailable = False
    harness.network.advance(3.0)
    harness.machines[0].kill()
    harness.machines[0].restart()
    harness.gateways[0] = harness.run_gateway(harness.machines[0], "node-1")
    assert harness.network.advance_until(lambda: harness.gateways[0].ready)
    assert not count_served(harness, north)


def test_router_disconnected_from_the_store_gets_orders_from_peers():
    harness = Harness()
    north, _ = endpoints_in_two_zones(harness)
    harness.ready(gateways=3)
    harness.network.advance(1.0)
    harness.clients[2].faults.unavailable = True
    set_order(harness, "north")
    harness.network.advance(1.0)
    assert not count_served(harness, north, gateways=(2,))
    set_order(harness, "north", drained=False)
    harness.network.advance(1.0)
    assert count_served(harness, north, gateways=(2,))


def test_starting_router_is_incomplete_until_orders_are_known():
    state = FleetState(lambda: 0.0)
    state.adopt_configuration(Configuration(version=1), "peer")
    state.endpoints_version = 3
    assert not state.complete
    state.adopt_announced_zone_orders(None, "peer")
    assert not state.complete
    state.adopt_announced_zone_orders((ZoneOrder("north", 5, True),), "peer")
    assert state.complete
    assert state.zone_orders.drained == {"north"}


def listener():
    state = FleetState(lambda: 0.0)
    refused_keys = []
    state.unreadable_rows.on_unreadable = lambda row: refused_keys.append(row.key.key)
    decode = msgspec.json.Decoder(Configuration).decode
    return state, refused_keys, ConfigurationListener(state, "all", "drained/", decode)


def row(zone, version, gone=False, value=b"{}"):
    return StoredRow(RowKey(TABLE, "", f"drained/{zone}"), value, version, gone)


def test_order_missing_from_a_full_read_has_ended():
    state, _, feed = listener()
    feed.table_read(TableChanges((row("north", 4), row("south", 5)), 6))
    feed.table_read(TableChanges((row("south", 5),), 9))
    assert state.zone_orders.drained == {"south"}
    state.adopt_announced_zone_orders((ZoneOrder("north", 4, True),), "peer")
    assert state.zone_orders.drained == {"south"}


@pytest.mark.parametrize("value", [b"", b"[", b"nonsense"])
def test_row_is_an_order_whatever_its_value(value):
    state, _, feed = listener()
    feed.table_read(TableChanges((row("north", 4, value=value),), 6))
    assert state.zone_orders.drained == {"north"}


def test_order_without_a_zone_is_reported_and_ignored():
    state, refused_keys, feed = listener()
    feed.table_read(TableChanges((row("", 4), row("north", 5)), 6))
    assert refused_keys == ["drained/"]
    assert state.zone_orders.drained == {"north"}


def test_order_reissued_in_the_same_response_is_active():
    state, _, feed = listener()
    feed.table_read(TableChanges((row("north", 4),), 6))
    feed.rows_changed(TableChanges((row("north", 0, gone=True), row("north", 9)), 9))
    assert state.zone_orders.drained == {"north"}


@pytest.mark.parametrize("seed", range(20))
def test_orders_merge_in_any_sequence_and_repeatedly(seed):
    rng = random.Random(seed)
    orders = [
        ZoneOrder(rng.choice("abc"), version, rng.random() < 0.5)
        for version in rng.sample(range(100), 6)
    ]
    latest = {}
    for order in sorted(orders, key=lambda order: order.version):
        latest[order.zone] = order.drained
    expected = {zone for zone, drained in latest.items() if drained}
    for sequence in itertools.islice(itertools.permutations(orders), 0, 720, 37):
        merged = ZoneOrders()
        for order in (*sequence, *rng.sample(orders, 3)):
            merged.merge([order])
        assert merged.drained == expected


def test_active_orders_are_never_evicted():
    orders = ZoneOrders()
    orders.merge(ZoneOrder(f"old-{number}", number, False) for number in range(200))
    orders.merge(ZoneOrder(f"zone-{number}", 300 + number, True) for number in range(40))
    assert len(orders.drained) == 40
    assert len(orders.all()) <= 64
