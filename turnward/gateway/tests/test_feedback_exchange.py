# SPDX-License-Identifier: BSD-3-Clause
"""Endpoint feedback among routers: each update spreads, expires, and is advisory only."""

import msgspec
import pytest

from turnward.gateway.feedback_exchange import FeedbackExchange, FeedbackUpdate
from turnward.gateway.tests.feedback_simulation import FeedbackSimulation
from turnward.gateway.tests.harness import DIALECT, Harness, answer_head, answer_ok

#: Time within which an update reaches all routers.
PROPAGATION_S = 1.0


class Fleet:
    """Routers that send each other all updates four times a second."""

    def __init__(self, count):
        self.now_s = 0.0
        self.received = []
        self.routers = [
            FeedbackExchange(lambda: self.now_s, self.received.append) for _ in range(count)
        ]

    def run(self, seconds):
        for _ in range(round(seconds * 4)):
            self.now_s += 0.25
            messages = [router.updates() for router in self.routers]
            for router in self.routers:
                for updates in messages:
                    # Updates do not account for the transit time.
                    router.merge(updates)


@pytest.mark.parametrize("backoff_s", [0.0, 2.0])
def test_update_reaches_all_routers_once_and_expires(backoff_s):
    fleet = Fleet(5)
    fleet.routers[0].record("e", draining=not backoff_s, backoff_s=backoff_s)
    fleet.run(0.5)
    assert len(fleet.received) == 4
    fleet.run(30.0)
    assert len(fleet.received) == 4
    assert not any(router.updates() for router in fleet.routers)


def test_longer_backoff_and_draining_are_new_updates():
    fleet = Fleet(2)
    fleet.routers[0].record("e", draining=False, backoff_s=2.0)
    fleet.run(0.5)
    fleet.routers[0].record("e", draining=False, backoff_s=4.0)
    fleet.run(0.5)
    fleet.routers[0].record("e", draining=True, backoff_s=0.0)
    fleet.run(0.5)
    assert [(update.draining, update.backoff_left_ms > 0) for update in fleet.received] == [
        (False, True),
        (False, True),
        (True, True),
    ]


def test_message_is_bounded():
    fleet = Fleet(1)
    for number in range(2_000):
        fleet.routers[0].record(f"endpoint-{number}@1791507413292", draining=True, backoff_s=0.0)
    updates = fleet.routers[0].updates()
    assert len(updates) == 32
    assert len(msgspec.msgpack.encode(updates)) < 1_300
    assert len(fleet.routers[0]._known) == 1_000


@pytest.mark.parametrize("size", [3, 7, 24])
def test_other_routers_avoid_an_endpoint_in_backoff(size):
    simulation = FeedbackSimulation(gateways=size, endpoints=6)
    backing_off = simulation.endpoints[0]
    backing_off.backoff_s = 5.0
    while not backing_off.sends:
        simulation.send_requests(0.1, interval_s=0.02)
    simulation.harness.network.advance(PROPAGATION_S)
    sends = len(backing_off.sends)
    simulation.send_requests(2.0, interval_s=0.02)
    assert len(backing_off.sends) == sends
    assert set(simulation.statuses()) == {200}


def test_peer_feedback_never_excludes_an_endpoint():
    harness = Harness()

    def draining(endpoint, request):
        request.answer(200, [*answer_head(request), (DIALECT.draining, b"1")], b"fine")

    endpoint = harness.endpoint(draining)
    harness.ready(2)
    harness.network.advance(0.5)
    assert harness.ask(0).status == 200
    harness.network.advance(PROPAGATION_S)
    assert harness.logs[1].of("endpoint.told_of")[0]["leaves"]
    endpoint.behave = answer_ok
    assert harness.ask(0).status == 503
    assert harness.ask(1).status == 200


def test_feedback_on_an_unknown_endpoint_is_ignored():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready()
    harness.gateways[0]._feedback_exchange.merge([FeedbackUpdate("nobody@1", True, 5_000)])
    assert harness.ask().status == 200
