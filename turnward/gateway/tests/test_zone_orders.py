# SPDX-License-Identifier: BSD-3-Clause
"""Zones that operators want drained get nothing new, and orders are never lost or revived."""

import itertools
import random

import msgspec
import pytest

from turnward.gateway import Configuration, EndpointPool, FleetState, WarmUpTraits
from turnward.gateway.sources import ConfigurationListener
from turnward.gateway.tests.rig import Rig, reset, stream, well
from turnward.gateway.zone_orders import ZoneOrder, ZoneOrders
from turnward.rows import RowKey, StoredRow, TableChanges

TABLE = "configuration"


def order(rig, zone, drained=True):
    """Give or take back an order."""
    if drained:
        rig.rows.put(TABLE, f"drained/{zone}", b"{}")
    else:
        rig.rows.remove(TABLE, f"drained/{zone}")


def two_zones(rig, behave=well):
    """Return an endpoint in each of two zones."""
    pair = []
    for zone in ("north", "south"):
        endpoint = rig.endpoint(behave, announce=False)
        rig.announce(endpoint, zone=zone)
        pair.append(endpoint)
    return pair


def served_by(rig, endpoint, gateways=(0,), count=10):
    """Return how many of some requests an endpoint gets."""
    before = len(endpoint.requests)
    for number in range(count):
        assert rig.ask(gateways[number % len(gateways)]).status == 200
    return len(endpoint.requests) - before


def test_drained_zone_gets_nothing_until_the_order_is_withdrawn():
    rig = Rig()
    north, _ = two_zones(rig)
    rig.ready()
    assert served_by(rig, north)
    order(rig, "north")
    rig.network.advance(0.5)
    assert not served_by(rig, north)
    order(rig, "north", drained=False)
    rig.network.advance(0.5)
    assert served_by(rig, north)


def test_request_is_refused_as_not_run_when_all_zones_are_drained():
    rig = Rig()
    two_zones(rig)
    rig.ready()
    order(rig, "north")
    order(rig, "south")
    rig.network.advance(0.5)
    refused = rig.ask()
    assert refused.status == 503
    assert refused.header(b"retry-after")


def test_retries_and_resumed_streams_avoid_a_drained_zone():
    rig = Rig(repeat="stream", resumable=True)
    north, south = two_zones(rig, stream(4, upto=2, then=reset))
    rig.ready()
    order(rig, "north")
    rig.network.advance(0.5)
    for _ in range(4):
        rig.ask()
    assert south.requests
    assert not north.requests


def test_endpoints_of_a_restored_zone_count_as_cold():
    rig = Rig(
        pools=[EndpointPool(name="pool", warm_up=WarmUpTraits(cold_s=2.0, requests_per_s=1.0))]
    )
    north, _ = two_zones(rig)
    rig.ready()
    rig.network.advance(1.0)
    order(rig, "north")
    rig.network.advance(0.5)
    order(rig, "north", drained=False)
    rig.network.advance(0.1)
    assert served_by(rig, north) <= 1
    rig.network.advance(4.0)
    assert served_by(rig, north)


def test_order_survives_a_router_restart_and_a_store_outage():
    rig = Rig()
    north, _ = two_zones(rig)
    rig.ready()
    order(rig, "north")
    rig.network.advance(0.5)
    rig.clients[0].faults.away = True
    rig.network.advance(10.0)
    assert not served_by(rig, north)
    rig.clients[0].faults.away = False
    rig.network.advance(3.0)
    rig.machines[0].kill()
    rig.machines[0].restart()
    rig.gateways[0] = rig.run_gateway(rig.machines[0], "node-1")
    assert rig.network.advance_until(lambda: rig.gateways[0].ready)
    assert not served_by(rig, north)


def test_router_cut_off_from_the_store_gets_orders_from_peers():
    rig = Rig()
    north, _ = two_zones(rig)
    rig.ready(gateways=3)
    rig.network.advance(1.0)
    rig.clients[2].faults.away = True
    order(rig, "north")
    rig.network.advance(1.0)
    assert not served_by(rig, north, gateways=(2,))
    order(rig, "north", drained=False)
    rig.network.advance(1.0)
    assert served_by(rig, north, gateways=(2,))


def test_starting_router_is_incomplete_until_orders_are_known():
    state = FleetState(lambda: 0.0)
    state.adopt_configuration(Configuration(version=1), "peer")
    state.endpoints_version = 3
    assert not state.complete
    state.adopt_told_orders(None, "peer")
    assert not state.complete
    state.adopt_told_orders((ZoneOrder("north", 5, True),), "peer")
    assert state.complete
    assert state.zone_orders.drained == {"north"}


def listener():
    state = FleetState(lambda: 0.0)
    told = []
    state.refused_rows.on_refused = lambda row: told.append(row.key.key)
    decode = msgspec.json.Decoder(Configuration).decode
    return state, told, ConfigurationListener(state, "all", "drained/", decode)


def row(zone, version, gone=False, value=b"{}"):
    return StoredRow(RowKey(TABLE, "", f"drained/{zone}"), value, version, gone)


def test_order_missing_from_a_full_read_has_ended():
    state, _, feed = listener()
    feed.table_read(TableChanges((row("north", 4), row("south", 5)), 6))
    feed.table_read(TableChanges((row("south", 5),), 9))
    assert state.zone_orders.drained == {"south"}
    state.adopt_told_orders((ZoneOrder("north", 4, True),), "peer")
    assert state.zone_orders.drained == {"south"}


@pytest.mark.parametrize("value", [b"", b"[", b"nonsense"])
def test_row_is_an_order_whatever_its_value(value):
    state, _, feed = listener()
    feed.table_read(TableChanges((row("north", 4, value=value),), 6))
    assert state.zone_orders.drained == {"north"}


def test_order_without_a_zone_is_reported_and_ignored():
    state, told, feed = listener()
    feed.table_read(TableChanges((row("", 4), row("north", 5)), 6))
    assert told == ["drained/"]
    assert state.zone_orders.drained == {"north"}


def test_order_reissued_in_the_same_answer_stands():
    state, _, feed = listener()
    feed.table_read(TableChanges((row("north", 4),), 6))
    feed.rows_changed(TableChanges((row("north", 0, gone=True), row("north", 9)), 9))
    assert state.zone_orders.drained == {"north"}


@pytest.mark.parametrize("seed", range(20))
def test_orders_merge_in_any_sequence_and_repeatedly(seed):
    draw = random.Random(seed)
    words = [
        ZoneOrder(draw.choice("abc"), version, draw.random() < 0.5)
        for version in draw.sample(range(100), 6)
    ]
    last = {}
    for word in sorted(words, key=lambda word: word.version):
        last[word.zone] = word.drained
    expected = {zone for zone, drained in last.items() if drained}
    for ordering in itertools.islice(itertools.permutations(words), 0, 720, 37):
        orders = ZoneOrders()
        for word in (*ordering, *draw.sample(words, 3)):
            orders.merge([word])
        assert orders.drained == expected


def test_standing_orders_are_never_evicted():
    orders = ZoneOrders()
    orders.merge(ZoneOrder(f"old-{number}", number, False) for number in range(200))
    orders.merge(ZoneOrder(f"zone-{number}", 300 + number, True) for number in range(40))
    assert len(orders.drained) == 40
    assert len(orders.all()) <= 64
