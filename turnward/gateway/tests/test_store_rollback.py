# SPDX-License-Identifier: BSD-3-Clause
"""Routers keep a correct view of the fleet when the store is restored from an older copy.

Guards against views of the endpoints that are compared by version number alone: after a rollback
numbers are issued again, and routers kept sending requests to an endpoint that was draining.
"""

import pytest

from turnward.gateway.members import MEMBERS_TABLE, decode_member
from turnward.gateway.tests.rollback_simulation import RollbackSimulation

#: Time after which a draining endpoint must receive no more requests.
DRAINING_EFFECTIVE_S = 2.0


def requests_after(simulation, endpoint, delay_s):
    """Return the number of requests that reach an endpoint within 3 s after a delay."""
    simulation.run_traffic(delay_s)
    requests_before = len(endpoint.requests)
    simulation.run_traffic(3.0)
    return len(endpoint.requests) - requests_before


def test_endpoint_draining_after_rollback_gets_no_requests():
    simulation = RollbackSimulation(gateways=3)
    simulation.run_traffic(8.0)
    simulation.roll_back(7.0, outage_s=2.5)
    simulation.run_traffic(0.5)
    draining = simulation.endpoints[0]
    simulation.harness.announce(draining, leaving=True)
    assert requests_after(simulation, draining, DRAINING_EFFECTIVE_S) == 0
    assert set(simulation.statuses()) == {200}


@pytest.mark.parametrize("removal", ["draining", "removed"])
def test_rollback_to_before_an_endpoint_drained_sends_it_no_requests(removal):
    """The rollback restores its earlier row until the endpoint has rewritten it."""
    simulation = RollbackSimulation(gateways=3)
    simulation.run_traffic(6.0)
    draining = simulation.endpoints[0]
    if removal == "removed":
        simulation.harness.rows.remove("endpoints", draining.endpoint_id)
    else:
        simulation.harness.announce(draining, leaving=True)
    simulation.run_traffic(2.0)
    requests_before = len(draining.requests)
    simulation.roll_back(5.0, rewrite_delay_s=2.0)
    simulation.run_traffic(4.0)
    assert len(draining.requests) == requests_before
    assert set(simulation.statuses()) == {200}


def test_live_endpoint_is_used_again_after_its_entry_was_removed():
    """State from before the rollback expires within seconds unless it is confirmed."""
    simulation = RollbackSimulation(gateways=3)
    simulation.run_traffic(6.0)
    restored = simulation.endpoints[0]
    simulation.harness.rows.remove("endpoints", restored.endpoint_id)
    simulation.run_traffic(2.0)
    simulation.roll_back(5.0)
    simulation.run_traffic(0.2)
    simulation.harness.announce(restored)
    requests_before = len(restored.requests)
    simulation.run_traffic(3.0)
    assert len(restored.requests) > requests_before


@pytest.mark.parametrize("rewrite_delay_s", [0.0, 2.0])
def test_drained_zone_stays_drained_across_rollback(rewrite_delay_s):
    simulation = RollbackSimulation(gateways=3)
    for endpoint, zone in zip(
        simulation.endpoints, ("north", "north", "south", "south"), strict=True
    ):
        simulation.harness.announce(endpoint, zone=zone)
    simulation.run_traffic(6.0)
    simulation.harness.rows.put("configuration", "drained/north", b"{}")
    simulation.run_traffic(2.0)
    north = simulation.endpoints[:2]
    requests_before = [len(endpoint.requests) for endpoint in north]
    simulation.roll_back(5.0, rewrite_delay_s=rewrite_delay_s)
    simulation.run_traffic(8.0)
    assert [len(endpoint.requests) for endpoint in north] == requests_before
    simulation.harness.rows.remove("configuration", "drained/north")
    simulation.run_traffic(3.0)
    assert len(north[0].requests) > requests_before[0]


def test_router_started_during_an_outage_keeps_zone_orders():
    """The first table that it reads lacks orders that it has received from its peers."""
    simulation = RollbackSimulation(gateways=3)
    simulation.harness.announce(simulation.endpoints[0], zone="north")
    simulation.run_traffic(6.0)
    simulation.harness.rows.put("configuration", "drained/north", b"{}")
    simulation.run_traffic(2.0)
    north = simulation.endpoints[0]
    requests_before = len(north.requests)
    simulation.harness.network.clock.callLater(0.3, simulation.harness.gateway)
    simulation.roll_back(5.0, outage_s=1.5, rewrite_delay_s=2.0)
    simulation.run_traffic(5.0)
    assert simulation.harness.gateways[3].ready
    assert len(north.requests) == requests_before


def test_zone_order_lost_permanently_ends_seconds_after_rollback():
    simulation = RollbackSimulation(gateways=3)
    simulation.harness.announce(simulation.endpoints[0], zone="north")
    simulation.run_traffic(6.0)
    copy = simulation.harness.rows.copy()
    simulation.harness.rows.put("configuration", "drained/north", b"{}")
    simulation.run_traffic(1.0)
    requests_before = len(simulation.endpoints[0].requests)
    simulation.harness.rows.roll_back(copy)
    simulation.run_traffic(12.0)
    assert len(simulation.endpoints[0].requests) > requests_before


def test_router_started_in_lost_seconds_is_a_member_after_rollback():
    simulation = RollbackSimulation(gateways=2)
    simulation.run_traffic(6.0)
    simulation.harness.gateway()
    simulation.run_traffic(2.0)
    simulation.roll_back(5.0)
    simulation.run_traffic(3.0)
    rows = simulation.harness.rows.table(MEMBERS_TABLE, "")
    addresses = {decode_member(row.value).address for row in rows}
    assert addresses == {gateway.peers_address for gateway in simulation.harness.gateways}


def test_rollback_is_logged_once_by_each_router():
    simulation = RollbackSimulation(gateways=3)
    simulation.run_traffic(6.0)
    simulation.roll_back(5.0)
    simulation.run_traffic(3.0)
    for log in simulation.harness.logs:
        assert [line["era"] for line in log.of("store.returned")] == [1]


@pytest.mark.parametrize("age_s", [0.5, 2.0, 5.0, 10.0])
def test_store_calls_stay_few_across_rollback(age_s):
    """Guards against a feed that repeats rejected polls without delay."""
    simulation = RollbackSimulation(gateways=3)
    simulation.run_traffic(12.0)
    usual_calls = simulation.harness.rows.calls
    simulation.run_traffic(5.0)
    usual_calls = simulation.harness.rows.calls - usual_calls
    simulation.roll_back(age_s)
    calls_before = simulation.harness.rows.calls
    simulation.run_traffic(5.0)
    assert simulation.harness.rows.calls - calls_before <= 2 * usual_calls + 10 * len(
        simulation.harness.gateways
    )
