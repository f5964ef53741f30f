# SPDX-License-Identifier: BSD-3-Clause
"""The store is rolled back again before what it lost has been written anew."""

import random

import msgspec
import pytest
from twisted.internet import task

from turnward.gateway import Configuration, EndpointEntry, EndpointsSnapshot
from turnward.gateway.feeds import TableFeed
from turnward.gateway.removed_endpoints import REWRITE_PERIOD_S
from turnward.gateway.state import FleetState
from turnward.gateway.table_listeners import ConfigurationListener
from turnward.gateway.tests.rollback_simulation import RollbackSimulation
from turnward.rows import RowVersion
from turnward.standins import MemoryRows, RowsClient

STEP_S = 0.05
HOLD_S = 1.0
ORDER = "drained/north"


class FollowedOrders:
    """A router's view of the zone orders in a store, on a fake clock."""

    def __init__(self):
        self.clock = task.Clock()
        self.rows = MemoryRows(self.clock)
        self.state = FleetState(self.clock.seconds)
        self.drained_s: list[tuple[float, bool]] = []
        decode = msgspec.json.Decoder(Configuration).decode
        self.feed = TableFeed(
            self.clock,
            RowsClient(self.rows, self.clock),
            "configuration",
            ConfigurationListener(self.state, "all", "drained/", decode),
            HOLD_S,
            random.Random(1),
            lambda *_: None,
        )
        self.rows.put("configuration", "other", b"")
        self.feed.start()
        self.run(1.0)

    def run(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)
            self.drained_s.append((self.clock.seconds(), "north" in self.state.zone_orders.drained))

    def undrained_since(self, since_s):
        return [at_s for at_s, drained in self.drained_s if at_s >= since_s and not drained]


@pytest.mark.parametrize("outage_begins_s", [0.5, 2.0, 4.0, REWRITE_PERIOD_S - STEP_S])
def test_order_stands_when_the_first_recovery_is_due_in_the_outage_of_the_next_rollback(
    outage_begins_s,
):
    """The read that is due after the first rollback is the first one after the second."""
    followed = FollowedOrders()
    copy = followed.rows.copy()
    followed.rows.roll_back(copy)
    followed.run(0.5)
    followed.rows.put("configuration", ORDER, b"{}")
    followed.run(outage_begins_s - 0.5 + STEP_S)
    issued_s = followed.clock.seconds()
    followed.rows.faults.unavailable = True
    followed.run(REWRITE_PERIOD_S)
    followed.rows.roll_back(copy)
    followed.rows.faults.unavailable = False
    followed.run(2.0)
    followed.rows.put("configuration", ORDER, b"{}")
    followed.run(2 * REWRITE_PERIOD_S)
    assert followed.undrained_since(issued_s) == []


def without_endpoints(copy):
    """Return a copy of the store from before any endpoint had registered."""
    rows = {key: row for key, row in copy.rows.items() if key.table != "endpoints"}
    return msgspec.structs.replace(copy, rows=rows, history=(), history_from=copy.version)


def requests_served(simulation, duration_s, gateway):
    """Send requests to one gateway; return how many are answered with 200, and how many not."""
    first = len(simulation.callers)
    simulation.reachable_gateways = lambda: [gateway]
    simulation.run_traffic(duration_s)
    simulation.run_traffic(0.5)
    statuses = simulation.statuses(first)[:-5]
    return statuses.count(200), len(statuses) - statuses.count(200)


@pytest.mark.parametrize("reads_store", [True, False])
def test_endpoints_missing_from_an_older_copy_stay_in_use(reads_store):
    """A second rollback brings their entries back; the router may hear of both from peers only."""
    simulation = RollbackSimulation(gateways=3)
    simulation.run_traffic(6.0)
    harness = simulation.harness
    copy = harness.rows.copy()
    harness.clients[0].faults.unavailable = not reads_store
    harness.rows.roll_back(without_endpoints(copy))
    assert requests_served(simulation, 0.6, gateway=0)[1] == 0
    harness.rows.roll_back(copy)
    assert requests_served(simulation, 6.0, gateway=0)[1] == 0
    assert not any(entry.leaving for entry in harness.gateways[0].state.endpoints.values())


def test_endpoints_missing_for_good_are_dropped_after_the_recovery():
    simulation = RollbackSimulation(gateways=3)
    simulation.run_traffic(6.0)
    simulation.harness.rows.roll_back(without_endpoints(simulation.harness.rows.copy()))
    simulation.run_traffic(REWRITE_PERIOD_S - 1.0)
    assert all(len(gateway.state.endpoints) == 4 for gateway in simulation.harness.gateways)
    simulation.run_traffic(3.0)
    assert not any(gateway.state.endpoints for gateway in simulation.harness.gateways)


@pytest.mark.parametrize("reads_store", [True, False])
@pytest.mark.parametrize("end", ["draining", "removed"])
def test_endpoint_that_ends_during_a_recovery_gets_no_requests_after_the_next_rollback(
    end, reads_store
):
    simulation = RollbackSimulation(gateways=3)
    simulation.run_traffic(6.0)
    harness, ended = simulation.harness, simulation.endpoints[0]
    copy = harness.rows.copy()
    harness.clients[0].faults.unavailable = not reads_store
    for first_copy in (without_endpoints(copy), copy):
        harness.rows.roll_back(first_copy)
        simulation.run_traffic(0.8)
        if end == "removed":
            harness.rows.remove("endpoints", ended.endpoint_id)
        else:
            harness.announce(ended, leaving=True)
        simulation.run_traffic(1.5)
        requests_before = len(ended.requests)
        harness.rows.roll_back(copy)
        simulation.run_traffic(REWRITE_PERIOD_S - 1.0)
        assert len(ended.requests) == requests_before
        harness.announce(ended)
        simulation.run_traffic(3.0)
        assert len(ended.requests) > requests_before


def test_router_started_during_a_recovery_spares_endpoints_that_began_to_drain():
    """The older copy has their previous entries; only peers know better."""
    simulation = RollbackSimulation(gateways=3)
    simulation.run_traffic(6.0)
    harness, draining = simulation.harness, simulation.endpoints[0]
    copy = harness.rows.copy()
    harness.announce(draining, leaving=True)
    simulation.run_traffic(1.0)
    harness.rows.roll_back(copy)
    simulation.run_traffic(0.5)
    requests_before = len(draining.requests)
    harness.gateway()
    simulation.run_traffic(REWRITE_PERIOD_S - 1.5)
    assert harness.gateways[3].ready
    assert len(draining.requests) == requests_before
    simulation.run_traffic(REWRITE_PERIOD_S)
    assert len(draining.requests) > requests_before
    states = [gateway.state for gateway in harness.gateways]
    assert not any(state.endpoints[draining.endpoint_id].leaving for state in states)


def test_entries_of_a_router_that_was_long_paused_are_not_kept():
    """Endpoints may have been removed in the meantime, before the copy was made."""
    clock = task.Clock()
    state = FleetState(clock.seconds)
    entry = EndpointEntry(endpoint_id="e", pool="p", address="10.0.0.1:80")
    state.adopt_endpoints(EndpointsSnapshot.at(RowVersion.of(1, 50), (entry,)), "store")
    clock.advance(30.0)
    state.adopt_endpoints(EndpointsSnapshot.at(RowVersion.of(2, 90), ()), "store")
    assert state.endpoints == {}


def test_order_stands_while_an_outage_keeps_its_writer_from_rewriting_it():
    """The store is away from soon after the rollback until the recovery would have ended."""
    followed = FollowedOrders()
    copy = followed.rows.copy()
    followed.rows.put("configuration", ORDER, b"{}")
    followed.run(0.5)
    issued_s = followed.clock.seconds()
    followed.rows.roll_back(copy)
    followed.run(0.5)
    followed.rows.faults.unavailable = True
    followed.run(2 * REWRITE_PERIOD_S)
    followed.rows.faults.unavailable = False
    followed.run(2.0)
    followed.rows.put("configuration", ORDER, b"{}")
    followed.run(2 * REWRITE_PERIOD_S)
    assert followed.undrained_since(issued_s) == []


def test_recovery_ends_although_every_other_call_to_the_store_fails():
    followed = FollowedOrders()
    copy = followed.rows.copy()
    followed.rows.put("configuration", ORDER, b"{}")
    followed.run(0.5)
    followed.rows.roll_back(copy)
    for _ in range(round(2 * REWRITE_PERIOD_S / HOLD_S)):
        followed.run(HOLD_S + 2 * STEP_S)
        followed.rows.faults.unavailable = True
        followed.run(2 * STEP_S)
        followed.rows.faults.unavailable = False
    assert "north" not in followed.state.zone_orders.drained
