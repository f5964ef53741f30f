# SPDX-License-Identifier: BSD-3-Clause
"""Routers in fleets of 7 to 300 know the loads of all others at a bounded message rate."""

import random
from collections import Counter

import msgspec
import pytest
from twisted.internet import task

from turnward.gateway.overlay import MESH_LIMIT, FleetSummary, Overlay
from turnward.gateway.peer_book import DIGEST_LAYOUT, Digest, EndpointLoad, PeerBook

PERIOD_S = 0.25
DELAY_S = 0.005
ZONES = 5


class Router:
    """A router's peer book and overlay, with counts of its messages."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.address = f"10.{number % ZONES}.{number // 250}.{number % 250}:80"
        self.zone = f"z{number % ZONES}"
        self.endpoint = f"e-{number % 40}"
        self.is_alive = True
        self.sent = 0
        self.received = 0
        self.max_message_bytes = 0
        self.book = PeerBook(self.address, fleet.clock.seconds)
        self.overlay = Overlay(self.book, self.zone, fleet.clock.seconds)

    def digest(self):
        loads = (EndpointLoad(self.endpoint, 1, 10),)
        return Digest(DIGEST_LAYOUT, self.address, "i", self.address, self.zone, 4, 9, 0.5, loads)

    def tick(self):
        if not self.is_alive:
            return
        for address, message in self.overlay.outgoing(self.digest()):
            self.sent += 1
            self.max_message_bytes = max(
                self.max_message_bytes, len(msgspec.msgpack.encode(message))
            )
            self.fleet.deliver(self, address, message)

    def receive(self, message):
        if not self.is_alive:
            return
        self.received += 1
        if isinstance(message, FleetSummary):
            self.overlay.receive_summary(message)
        else:
            self.book.receive(message)
            self.overlay.receive_digest(message)

    def others_loads(self):
        return sum(load.requests for load in self.overlay.loads().values())


class Fleet:
    """Routers that know each other from the members' table, on a network that loses datagrams."""

    def __init__(self, size, loss_rate=0.0):
        self.clock = task.Clock()
        self.rng = random.Random(size)
        self.loss_rate = loss_rate
        self.is_partitioned = lambda sender, receiver: False
        self.routers = [Router(self, number) for number in range(size)]
        self.by_address = {router.address: router for router in self.routers}
        for router in self.routers:
            for other in self.routers:
                router.book.add_member(other.address, other.zone)
            self.clock.callLater(self.rng.random() * PERIOD_S, self.tick, router)

    def tick(self, router):
        self.clock.callLater(PERIOD_S * self.rng.uniform(0.85, 1.15), self.tick, router)
        router.tick()

    def deliver(self, sender, address, message):
        receiver = self.by_address[address]
        if self.rng.random() >= self.loss_rate and not self.is_partitioned(sender, receiver):
            self.clock.callLater(DELAY_S, receiver.receive, message)

    def run(self, seconds):
        for _ in range(int(seconds / 0.05)):
            self.clock.advance(0.05)

    def alive_routers(self):
        return [router for router in self.routers if router.is_alive]


@pytest.mark.parametrize("size", [7, 19, 86, 300])
def test_every_router_sees_all_others_at_bounded_cost(size):
    fleet = Fleet(size)
    fleet.run(2.0)
    visible_loads = [router.others_loads() for router in fleet.routers]
    live = [router.overlay.live_routers for router in fleet.routers]
    assert min(live) >= 0.98 * size
    assert min(visible_loads) >= 0.95 * (size - 1)
    assert max(visible_loads) <= size
    for router in fleet.routers:
        router.sent = router.received = 0
    fleet.run(2.0)
    mean = sum(router.sent for router in fleet.routers) / size / 2.0
    most = max(router.sent + router.received for router in fleet.routers) / 2.0
    assert mean <= 45
    assert most <= 350
    assert max(router.max_message_bytes for router in fleet.routers) < 4_000


def test_few_loads_are_missed_when_datagrams_are_lost():
    fleet = Fleet(86, loss_rate=0.03)
    fleet.run(6.0)
    visible_loads = [router.others_loads() for router in fleet.routers]
    assert sum(visible_loads) / len(visible_loads) >= 0.93 * 85
    assert min(visible_loads) >= 0.5 * 85


def test_crashed_routers_are_excluded_and_their_members_switch_aggregators():
    fleet = Fleet(86)
    fleet.run(2.0)
    for router in fleet.rng.sample(fleet.routers, 30):
        router.is_alive = False
    fleet.run(4.5)
    alive = fleet.alive_routers()
    live = [router.overlay.live_routers for router in alive]
    assert max(live) <= len(alive)
    assert sum(live) / len(live) >= 0.9 * len(alive)


def test_each_side_of_a_partition_counts_only_its_own_routers():
    fleet = Fleet(86)
    fleet.run(2.0)
    partition = {router.address for router in fleet.rng.sample(fleet.routers, 26)}
    fleet.is_partitioned = lambda sender, receiver: (
        (sender.address in partition) != (receiver.address in partition)
    )
    fleet.run(6.0)
    for router in fleet.routers:
        size = len(partition) if router.address in partition else 86 - len(partition)
        assert router.overlay.live_routers <= size
    means = Counter()
    for router in fleet.routers:
        means[router.address in partition] += router.overlay.live_routers
    assert means[True] / len(partition) >= 0.75 * len(partition)
    assert means[False] / (86 - len(partition)) >= 0.85 * (86 - len(partition))


def test_routers_still_receiving_in_a_one_way_partition_see_most_others():
    fleet = Fleet(86)
    fleet.run(2.0)
    unreachable = {router.address for router in fleet.rng.sample(fleet.routers, 10)}
    fleet.is_partitioned = lambda sender, receiver: (
        receiver.address in unreachable and sender.address not in unreachable
    )
    fleet.run(6.0)
    reachable = [router for router in fleet.routers if router.address not in unreachable]
    live = [router.overlay.live_routers for router in reachable]
    assert sum(live) / len(live) >= 0.75 * 86


def test_newer_configuration_reaches_every_router_without_overloading_one():
    """Each router fetches a newer version from the router announced as having it."""
    fleet = Fleet(86)
    fleet.run(2.0)
    versions = dict.fromkeys(fleet.by_address, 4)
    fetched = Counter()

    def digest(router):
        own = Router.digest(router)
        return msgspec.structs.replace(own, configuration_version=versions[router.address])

    def receive(router, message):
        Router.receive(router, message)
        summary = isinstance(message, FleetSummary)
        source = message.configuration_from if summary else message.address
        if message.configuration_version > versions[router.address]:
            assert versions[source] >= message.configuration_version
            fetched[source] += 1
            versions[router.address] = message.configuration_version

    for router in fleet.routers:
        router.digest = lambda router=router: digest(router)
        router.receive = lambda message, router=router: receive(router, message)
    versions[fleet.routers[17].address] = 7
    fleet.run(2.0)
    assert set(versions.values()) == {7}
    # An aggregator's members, and one aggregator of each other group.
    assert max(fetched.values()) <= 16 + len(fleet.routers[0].overlay._groups.groups)
    for router in fleet.routers:
        # The announced age plus the time in transit; the next test has a tighter lower bound.
        assert 0.5 <= router.overlay._largest_total().confirmed_age_s <= 1.5


@pytest.mark.parametrize("size", [7, 86])
def test_confirmation_age_is_never_understated(size):
    """A confirmation never looks more recent than it is, at any level of the overlay."""
    fleet = Fleet(size)
    confirmed_s = fleet.clock.seconds()
    confirmations_s = []

    def digest(router):
        age_s = fleet.clock.seconds() - confirmed_s if router is fleet.routers[0] else -1.0
        own = Router.digest(router)
        return msgspec.structs.replace(own, confirmed_age_s=age_s)

    def receive(router, message):
        if message.confirmed_age_s >= 0:
            confirmations_s.append(fleet.clock.seconds() - message.confirmed_age_s)
        Router.receive(router, message)

    for router in fleet.routers:
        router.digest = lambda router=router: digest(router)
        router.receive = lambda message, router=router: receive(router, message)
    fleet.run(4.0)
    assert len(confirmations_s) > size
    assert max(confirmations_s) <= confirmed_s + 3 * (DELAY_S + 0.05)


def test_small_fleets_form_a_full_mesh():
    fleet = Fleet(MESH_LIMIT)
    assert fleet.routers[0].overlay.mesh
    assert len(fleet.routers[0].overlay.outgoing(fleet.routers[0].digest())) == MESH_LIMIT - 1
    assert not Fleet(MESH_LIMIT + 1).routers[0].overlay.mesh


@pytest.mark.parametrize("size", [19, 195])
def test_max_router_count_includes_every_member(size):
    fleet = Fleet(size, loss_rate=0.2)
    fleet.run(1.0)
    assert {router.book.max_router_count for router in fleet.routers} == {size}


def test_router_that_just_started_or_was_paused_knows_no_loads():
    fleet = Fleet(19)
    for router in fleet.routers:
        assert router.overlay.loads() == {}
        assert router.overlay.live_routers == 1
    fleet.run(2.0)
    # A paused process neither receives nor sends messages.
    fleet.clock.rightNow += 5.0
    for router in fleet.routers:
        assert router.overlay.loads() == {}
        assert router.overlay.live_routers == 1
