# SPDX-License-Identifier: BSD-3-Clause
"""The delay of the own link is that of the fastest connection, whatever the others wait for."""

from turnward.gateway.own_link import BUSY_S, CHECK_INTERVAL_S, OwnLink
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.tests.harness import ListLog
from turnward.standins import MemoryNetwork

HOST = "10.1.0.1"
PEERS_PORT = 82


class World:
    """A router's link among peers that accept connections."""

    def __init__(self, link_mbit_per_s=2.0, peers=3):
        self.network = MemoryNetwork()
        self.machine = self.network.machine(HOST, link_mbit_per_s)
        book = PeerBook(f"{HOST}:{PEERS_PORT}", self.network.clock.seconds)
        for number in range(2, 2 + peers):
            host = f"10.1.0.{number}"
            self.network.machine(host)
            book.add_member(f"{host}:{PEERS_PORT}", "z")
        self.log = ListLog()
        self.link = OwnLink(self.machine, book, self.log)
        self.link.heard_s = self.network.clock.seconds

    def advance(self, duration_s):
        for _ in range(round(duration_s / CHECK_INTERVAL_S)):
            self.network.advance(CHECK_INTERVAL_S)
            self.link.check()


def test_one_fast_connection_shows_that_the_link_is_free():
    world = World()
    world.link.note_opened(0.9)
    assert world.link.delay_s == 0.9
    world.link.note_opened(0.004)
    assert world.link.delay_s == 0.004


def test_delay_is_forgotten_when_nothing_shows_it_any_more():
    world = World(peers=0)
    world.link.note_opened(0.9)
    world.advance(0.8)
    assert world.link.delay_s == 0.9
    world.advance(1.0)
    assert world.link.delay_s == 0.0
    assert world.link.peak_delay_s == 0.9
    world.advance(3.0)
    assert world.link.peak_delay_s == 0.0


def test_probes_that_wait_show_a_delay_before_one_opens():
    world = World()
    for machine in ("10.1.0.2", "10.1.0.3", "10.1.0.4"):
        world.network.cut(HOST, machine)
    world.advance(1.5)
    assert world.link.delay_s >= BUSY_S
    assert world.log.of("link.delayed")


def test_router_that_hears_no_peer_knows_no_delay():
    world = World()
    for machine in ("10.1.0.2", "10.1.0.3", "10.1.0.4"):
        world.network.cut(HOST, machine)
    world.link.heard_s = lambda: -10.0
    world.advance(1.5)
    assert world.link.delay_s == 0.0


def test_one_crashed_peer_shows_no_delay():
    world = World(peers=1)
    world.network.cut(HOST, "10.1.0.2")
    world.advance(0.3)
    assert world.link.delay_s == 0.0
