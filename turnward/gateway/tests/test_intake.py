# SPDX-License-Identifier: BSD-3-Clause
"""A router that most new connections come to closes those that its peers can take."""

import resource

import msgspec

from turnward.gateway.intake import CHECK_INTERVAL_S, Intake
from turnward.gateway.peer_book import DIGEST_LAYOUT, Digest, PeerBook


class Clock:
    def __init__(self):
        self.now_s = 10.0

    def __call__(self):
        return self.now_s


def make_intake(peer_delays_ms):
    clock = Clock()
    book = PeerBook("10.0.0.1:9", clock)
    for number, delay_ms in enumerate(peer_delays_ms, 2):
        address = f"10.0.0.{number}:9"
        digest = Digest(DIGEST_LAYOUT, f"n{number}", "i", address, "z", 1, 1, 0.0)
        book.receive(msgspec.structs.replace(digest, delay_ms=delay_ms))
    return clock, Intake(clock, book)


def delay(clock, intake, late_s, checks):
    for _ in range(checks):
        clock.now_s += CHECK_INTERVAL_S + late_s
        intake.check()


def test_overloaded_router_closes_most_new_connections_if_its_peers_are_not():
    clock, intake = make_intake([0, 10, 400])
    assert all(intake.takes(1) for _ in range(8))
    delay(clock, intake, 0.4, checks=4)
    taken = [intake.takes(1) for _ in range(8)]
    assert 1 <= sum(taken) <= 2


def test_overloaded_router_takes_all_if_its_peers_are_overloaded_too():
    clock, intake = make_intake([300, 400, 20])
    delay(clock, intake, 0.2, checks=9)
    assert all(intake.takes(1) for _ in range(8))


def test_router_that_was_paused_once_takes_new_connections():
    clock, intake = make_intake([0, 0])
    delay(clock, intake, 1.9, checks=1)
    assert intake.takes(1)


def test_router_keeps_descriptors_for_endpoints():
    _, intake = make_intake([])
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    assert intake.takes(10)
    assert not intake.takes(descriptors // 2)


class DelayedLink:
    """The delay of an own link that a test sets."""

    def __init__(self, intake, clock):
        self.delay_s = 0.0
        self._clock = clock
        self._intake = intake
        intake._link_delay_s = lambda: self.delay_s

    def last(self, delay_s, duration_s):
        self.delay_s = delay_s
        for _ in range(round(duration_s / CHECK_INTERVAL_S)):
            self._clock.now_s += CHECK_INTERVAL_S
            for peer in self._intake._book._peers.values():
                peer.received_s = self._clock.now_s
            self._intake.check()


def test_router_whose_link_stays_busy_is_spared_until_some_time_after():
    clock, intake = make_intake([0, 10, 20])
    link = DelayedLink(intake, clock)
    link.last(0.3, 0.3)
    assert not intake.spared
    assert intake.delay_ms == 300
    link.last(0.3, 0.4)
    assert intake.spared
    link.last(0.0, 3.5)
    assert intake.spared
    link.last(0.0, 1.0)
    assert not intake.spared


def test_router_whose_link_is_busy_soon_again_is_spared_for_longer():
    clock, intake = make_intake([0, 10, 20])
    link = DelayedLink(intake, clock)
    link.last(0.3, 1.0)
    link.last(0.0, 5.0)
    link.last(0.3, 1.0)
    link.last(0.0, 6.0)
    assert intake.spared
    link.last(0.0, 3.0)
    assert not intake.spared


def test_router_whose_link_is_busy_is_not_spared_if_its_peers_are_busy_too():
    clock, intake = make_intake([300, 400, 20])
    DelayedLink(intake, clock).last(0.3, 2.0)
    assert not intake.spared
