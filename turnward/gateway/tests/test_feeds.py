# SPDX-License-Identifier: BSD-3-Clause
"""Requests of a feed after an outage, and while peers confirm its version."""

import random

import pytest
from twisted.internet import task

from turnward.gateway.feeds import FeedListenerBase, PeerConfirmedPollSchedule, TableFeed
from turnward.gateway.state import FleetState
from turnward.rows import RowsUnavailableError, TableChanges

STEP_S = 0.05
HOLD_S = 1.0


class Listener(FeedListenerBase):
    """Listener that records the latest version."""

    known_version = 0

    @property
    def version(self):
        return self.known_version

    def table_read(self, table):
        self.known_version = table.version

    rows_changed = table_read


class Store:
    """Records requests; responds after a delay, or fails while it is unavailable."""

    def __init__(self, clock):
        self.clock = clock
        self.requests = []
        self.answered = []
        self.unavailable = False
        self.version = 5

    async def read_table(self, table):
        return await self._answer("table")

    async def changes(self, table, after_version, wait_s):
        return await self._answer(after_version)

    async def _answer(self, request):
        self.requests.append(request)
        await task.deferLater(self.clock, STEP_S)
        if self.unavailable:
            raise RowsUnavailableError("store unavailable")
        self.answered.append(request)
        return TableChanges((), self.version)


class Overlay:
    """Role of the router in the overlay."""

    mesh = False
    publishes_updates = False
    receives_updates = True


class Harness:
    """Runs a feed on a fake clock."""

    def __init__(self):
        self.clock = task.Clock()
        self.overlay = Overlay()
        self.state = FleetState(self.clock.seconds)
        self.store = Store(self.clock)
        self.listener = Listener()
        self.feed = TableFeed(
            self.clock,
            self.store,
            "table",
            self.listener,
            HOLD_S,
            random.Random(1),
            lambda *_: None,
            poll_schedule=PeerConfirmedPollSchedule(self.overlay, 0.0, self.state),
        )

    def start(self):
        self.feed.start()
        self.run(1.0)
        return self

    def after_confirmation(self):
        """Let peers confirm the known version, and let the current poll end."""
        self.state.confirm()
        self.run(0.3)
        self.store.requests.clear()
        return self

    def run(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.clock.advance(STEP_S)


@pytest.mark.parametrize(
    ("outage_s", "publishes_updates", "first_request"),
    [(2.0, True, 5), (8.0, True, "table"), (8.0, False, 5)],
)
def test_publishing_routers_reread_the_table_after_a_long_outage(
    outage_s, publishes_updates, first_request
):
    """The table is large; routers that publish no updates fetch copies from peers instead."""
    harness = Harness().start()
    harness.overlay.publishes_updates = publishes_updates
    harness.store.unavailable = True
    harness.run(outage_s)
    harness.store.answered.clear()
    harness.store.unavailable = False
    harness.run(2.0)
    assert harness.store.answered[0] == first_request


def test_feed_resumes_from_the_version_of_its_peers_after_a_long_outage():
    harness = Harness().start()
    harness.overlay.publishes_updates = True
    harness.store.unavailable = True
    harness.run(8.0)
    harness.listener.known_version = 9
    harness.store.version = 9
    harness.run(2.0)
    harness.store.answered.clear()
    harness.store.unavailable = False
    harness.run(2.0)
    assert set(harness.store.answered) == {9}


def test_feed_does_not_poll_while_peers_confirm_its_version():
    harness = Harness().start().after_confirmation()
    for _ in range(20):
        harness.state.confirm()
        harness.run(0.5)
    assert not harness.store.requests
    harness.run(3.0)
    assert harness.store.requests


def test_feed_polls_when_its_router_becomes_a_publisher():
    harness = Harness().start().after_confirmation()
    harness.overlay.publishes_updates = True
    harness.run(0.5)
    assert harness.store.requests


def test_feed_polls_when_its_router_receives_no_updates():
    harness = Harness().start().after_confirmation()
    harness.overlay.receives_updates = False
    harness.run(0.5)
    assert harness.store.requests


def test_feed_can_be_stopped_while_it_does_not_poll():
    harness = Harness().start().after_confirmation()
    harness.feed.stop()
    harness.run(5.0)
    assert not harness.store.requests
