# SPDX-License-Identifier: BSD-3-Clause
"""What routers know stays true when the store comes back from an older copy.

The story. Callers of a deployment were served, for over three seconds, by an engine that had
written to the store that it leaves; it would have ended under them a moment later. Shortly before,
the store had been away for 2.5 s and had come back from a copy some seconds old, so its versions
had gone back and were given out again. Each of six routers chose by a view of the endpoints from
before.

The cause: a view of the endpoints was taken in only if its version was above that of the view
known, and the number of a version tells nothing by itself once the store has come back. The
evidence: the line ``store.read_again``, in which a table is read as of version 29 while 156 stays
known; and a feed that went on asking for changes after a version that the store did not have, up to
230 times a second. Versions are pairs of era and number now, and the first test passes.
"""

import pytest

from turnward.gateway.members import MEMBERS_TABLE, decode_member
from turnward.gateway.tests.rollback_simulation import RollbackSimulation

#: Seconds after which an endpoint that leaves must get nothing, as the users bound it.
LEAVES_BINDS_S = 2.0


def requests_after(play, endpoint, known_s):
    """Return how many requests reached an endpoint in the next seconds, from a moment on."""
    play.run_traffic(known_s)
    before = len(endpoint.requests)
    play.run_traffic(3.0)
    return len(endpoint.requests) - before


def test_endpoint_draining_after_rollback_gets_no_requests():
    play = RollbackSimulation(gateways=3)
    play.run_traffic(8.0)
    play.roll_back(7.0, away_s=2.5)
    play.run_traffic(0.5)
    leaving = play.endpoints[0]
    play.harness.announce(leaving, leaving=True)
    assert requests_after(play, leaving, LEAVES_BINDS_S) == 0
    assert set(play.statuses()) == {200}


@pytest.mark.parametrize("how", ["says it leaves", "is gone"])
def test_rollback_to_before_an_endpoint_drained_sends_it_no_requests(how):
    """Its row of before stands again, until the endpoint has written anew what was lost."""
    play = RollbackSimulation(gateways=3)
    play.run_traffic(6.0)
    leaving = play.endpoints[0]
    if how == "is gone":
        play.harness.rows.remove("endpoints", leaving.endpoint_id)
    else:
        play.harness.announce(leaving, leaving=True)
    play.run_traffic(2.0)
    before = len(leaving.requests)
    play.roll_back(5.0, written_again_s=2.0)
    play.run_traffic(4.0)
    assert len(leaving.requests) == before
    assert set(play.statuses()) == {200}


def test_live_endpoint_is_used_again_after_its_entry_was_removed():
    """What is known of before the return holds for some seconds only, where nothing confirms it."""
    play = RollbackSimulation(gateways=3)
    play.run_traffic(6.0)
    back = play.endpoints[0]
    play.harness.rows.remove("endpoints", back.endpoint_id)
    play.run_traffic(2.0)
    play.roll_back(5.0)
    play.run_traffic(0.2)
    play.harness.announce(back)
    before = len(back.requests)
    play.run_traffic(3.0)
    assert len(back.requests) > before


@pytest.mark.parametrize("written_again_s", [0.0, 2.0])
def test_drained_zone_stays_drained_across_rollback(written_again_s):
    play = RollbackSimulation(gateways=3)
    for endpoint, zone in zip(play.endpoints, ("north", "north", "south", "south"), strict=True):
        play.harness.announce(endpoint, zone=zone)
    play.run_traffic(6.0)
    play.harness.rows.put("configuration", "drained/north", b"{}")
    play.run_traffic(2.0)
    north = play.endpoints[:2]
    before = [len(endpoint.requests) for endpoint in north]
    play.roll_back(5.0, written_again_s=written_again_s)
    play.run_traffic(8.0)
    assert [len(endpoint.requests) for endpoint in north] == before
    play.harness.rows.remove("configuration", "drained/north")
    play.run_traffic(3.0)
    assert len(north[0].requests) > before[0]


def test_router_started_during_an_outage_keeps_zone_orders():
    """It knew the order by its peers, and took the first table that it read for all there is."""
    play = RollbackSimulation(gateways=3)
    play.harness.announce(play.endpoints[0], zone="north")
    play.run_traffic(6.0)
    play.harness.rows.put("configuration", "drained/north", b"{}")
    play.run_traffic(2.0)
    north = play.endpoints[0]
    before = len(north.requests)
    play.harness.network.clock.callLater(0.3, play.harness.gateway)
    play.roll_back(5.0, away_s=1.5, written_again_s=2.0)
    play.run_traffic(5.0)
    assert play.harness.gateways[3].ready
    assert len(north.requests) == before


def test_zone_order_lost_for_good_ends_seconds_after_rollback():
    play = RollbackSimulation(gateways=3)
    play.harness.announce(play.endpoints[0], zone="north")
    play.run_traffic(6.0)
    copy = play.harness.rows.copy()
    play.harness.rows.put("configuration", "drained/north", b"{}")
    play.run_traffic(1.0)
    before = len(play.endpoints[0].requests)
    play.harness.rows.roll_back(copy)
    play.run_traffic(12.0)
    assert len(play.endpoints[0].requests) > before


def test_router_started_in_lost_seconds_is_a_member_after_rollback():
    play = RollbackSimulation(gateways=2)
    play.run_traffic(6.0)
    play.harness.gateway()
    play.run_traffic(2.0)
    play.roll_back(5.0)
    play.run_traffic(3.0)
    rows = play.harness.rows.table(MEMBERS_TABLE, "")
    addresses = {decode_member(row.value).address for row in rows}
    assert addresses == {gateway.peers_address for gateway in play.harness.gateways}


def test_rollback_is_logged_once_by_each_router():
    play = RollbackSimulation(gateways=3)
    play.run_traffic(6.0)
    play.roll_back(5.0)
    play.run_traffic(3.0)
    for log in play.harness.logs:
        assert [line["era"] for line in log.of("store.returned")] == [1]


@pytest.mark.parametrize("age_s", [0.5, 2.0, 5.0, 10.0])
def test_store_calls_stay_few_across_rollback(age_s):
    """A feed was refused and asked again at once, hundreds of times a second."""
    play = RollbackSimulation(gateways=3)
    play.run_traffic(12.0)
    usual = play.harness.rows.calls
    play.run_traffic(5.0)
    usual = play.harness.rows.calls - usual
    play.roll_back(age_s)
    before = play.harness.rows.calls
    play.run_traffic(5.0)
    assert play.harness.rows.calls - before <= 2 * usual + 10 * len(play.harness.gateways)
