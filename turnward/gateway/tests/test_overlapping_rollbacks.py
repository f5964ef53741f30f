# SPDX-License-Identifier: BSD-3-Clause
"""The store is rolled back again before what it lost has been written anew."""

import random

import msgspec
import pytest
from twisted.internet import task

from turnward.gateway import Configuration
from turnward.gateway.feeds import TableFeed
from turnward.gateway.removed_endpoints import REWRITE_PERIOD_S
from turnward.gateway.state import FleetState
from turnward.gateway.table_listeners import ConfigurationListener
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
