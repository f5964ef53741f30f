# SPDX-License-Identifier: BSD-3-Clause
"""What a feed asks the store after an outage, and what it is spared by others' word."""

import random

import pytest
from twisted.internet import task

from turnward.gateway.feeds import FeedListenerBase, PeerConfirmedPollSchedule, TableFeed
from turnward.gateway.state import FleetState
from turnward.rows import RowsUnavailableError, TableChanges

STEP_S = 0.05
WAIT_S = 1.0


class Listener(FeedListenerBase):
    """Knows a version."""

    known = 0

    @property
    def version(self):
        return self.known

    def table_read(self, table):
        self.known = table.version

    rows_changed = table_read


class Store:
    """Notes what it is asked; answers after a moment, or fails while it is away."""

    def __init__(self, clock):
        self.clock = clock
        self.asked = []
        self.answered = []
        self.unavailable = False
        self.version = 5

    async def read_table(self, table):
        return await self._answer("table")

    async def changes(self, table, after_version, wait_s):
        return await self._answer(after_version)

    async def _answer(self, what):
        self.asked.append(what)
        await task.deferLater(self.clock, STEP_S)
        if self.unavailable:
            raise RowsUnavailableError("away")
        self.answered.append(what)
        return TableChanges((), self.version)


class Overlay:
    """One router's place in the exchange."""

    mesh = False
    tells_others = False
    receives_updates = True


class Harness:
    """A feed on a fake clock."""

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
            WAIT_S,
            random.Random(1),
            lambda *_: None,
            pace=PeerConfirmedPollSchedule(self.overlay, 0.0, self.state),
        )

    def start(self):
        self.feed.start()
        self.run(1.0)
        return self

    def confirmed_by_others(self):
        """Let others confirm what is known; the question under way comes to its end."""
        self.state.confirm()
        self.run(0.3)
        self.store.asked.clear()
        return self

    def run(self, for_s):
        for _ in range(round(for_s / STEP_S)):
            self.clock.advance(STEP_S)


@pytest.mark.parametrize(
    ("away_s", "tells_others", "question"),
    [(2.0, True, 5), (8.0, True, "table"), (8.0, False, 5)],
)
def test_publishing_routers_reread_the_table_after_a_long_outage(away_s, tells_others, question):
    """It is 0.6 MB even if nothing changed: 603 KB at each of 40 routers, now at six of them."""
    harness = Harness().start()
    harness.overlay.tells_others = tells_others
    harness.store.unavailable = True
    harness.run(away_s)
    harness.store.answered.clear()
    harness.store.unavailable = False
    harness.run(2.0)
    assert harness.store.answered[0] == question


def test_feed_resumes_from_the_version_of_its_peers_after_a_long_outage():
    harness = Harness().start()
    harness.overlay.tells_others = True
    harness.store.unavailable = True
    harness.run(8.0)
    harness.listener.known = 9
    harness.store.version = 9
    harness.run(2.0)
    harness.store.answered.clear()
    harness.store.unavailable = False
    harness.run(2.0)
    assert set(harness.store.answered) == {9}


def test_feed_does_not_poll_while_peers_confirm_its_version():
    harness = Harness().start().confirmed_by_others()
    for _ in range(20):
        harness.state.confirm()
        harness.run(0.5)
    assert not harness.store.asked
    harness.run(3.0)
    assert harness.store.asked


def test_feed_polls_when_its_router_becomes_a_publisher():
    harness = Harness().start().confirmed_by_others()
    harness.overlay.tells_others = True
    harness.run(0.5)
    assert harness.store.asked


def test_feed_polls_when_its_router_receives_no_updates():
    harness = Harness().start().confirmed_by_others()
    harness.overlay.receives_updates = False
    harness.run(0.5)
    assert harness.store.asked


def test_feed_can_be_stopped_while_it_does_not_poll():
    harness = Harness().start().confirmed_by_others()
    harness.feed.stop()
    harness.run(5.0)
    assert not harness.store.asked
