# SPDX-License-Identifier: BSD-3-Clause
"""What endpoints said to one router, told to others: news that dies out, and advice only."""

import msgspec
import pytest

from turnward.gateway.feedback_exchange import FeedbackExchange, FeedbackUpdate
from turnward.gateway.tests.feedback_simulation import WordPlay
from turnward.gateway.tests.harness import DIALECT, Harness, answer_head, answer_ok

#: Seconds in which word is with all routers.
KNOWN_S = 1.0


class Fleet:
    """Routers that tell each other all they may, four times a second."""

    def __init__(self, count):
        self.now_s = 0.0
        self.told = []
        self.routers = [
            FeedbackExchange(lambda: self.now_s, self.told.append) for _ in range(count)
        ]

    def run(self, seconds):
        for _ in range(round(seconds * 4)):
            self.now_s += 0.25
            messages = [router.words() for router in self.routers]
            for router in self.routers:
                for words in messages:
                    # On their way messages grow older than they tell.
                    router.take_in(words)


@pytest.mark.parametrize("rest_s", [0.0, 2.0])
def test_update_reaches_all_routers_once_and_expires(rest_s):
    fleet = Fleet(5)
    fleet.routers[0].note("e", draining=not rest_s, rest_s=rest_s)
    fleet.run(0.5)
    assert len(fleet.told) == 4
    fleet.run(30.0)
    assert len(fleet.told) == 4
    assert not any(router.words() for router in fleet.routers)


def test_longer_backoff_and_draining_are_new_updates():
    fleet = Fleet(2)
    fleet.routers[0].note("e", draining=False, rest_s=2.0)
    fleet.run(0.5)
    fleet.routers[0].note("e", draining=False, rest_s=4.0)
    fleet.run(0.5)
    fleet.routers[0].note("e", draining=True, rest_s=0.0)
    fleet.run(0.5)
    assert [(word.draining, word.rest_left_ms > 0) for word in fleet.told] == [
        (False, True),
        (False, True),
        (True, True),
    ]


def test_message_is_bounded():
    fleet = Fleet(1)
    for number in range(2_000):
        fleet.routers[0].note(f"endpoint-{number}@1791507413292", draining=True, rest_s=0.0)
    words = fleet.routers[0].words()
    assert len(words) == 32
    assert len(msgspec.msgpack.encode(words)) < 1_300
    assert len(fleet.routers[0]._known) == 1_000


@pytest.mark.parametrize("size", [3, 7, 24])
def test_other_routers_avoid_an_endpoint_in_backoff(size):
    play = WordPlay(gateways=size, endpoints=6)
    resting = play.endpoints[0]
    resting.rest_s = 5.0
    while not resting.sends:
        play.ask_for(0.1, pause_s=0.02)
    play.harness.network.advance(KNOWN_S)
    sends = len(resting.sends)
    play.ask_for(2.0, pause_s=0.02)
    assert len(resting.sends) == sends
    assert set(play.statuses()) == {200}


def test_peer_feedback_never_excludes_an_endpoint():
    harness = Harness()

    def draining(endpoint, request):
        request.answer(200, [*answer_head(request), (DIALECT.draining, b"1")], b"fine")

    endpoint = harness.endpoint(draining)
    harness.ready(2)
    harness.network.advance(0.5)
    assert harness.ask(0).status == 200
    harness.network.advance(KNOWN_S)
    assert harness.logs[1].of("endpoint.told_of")[0]["leaves"]
    endpoint.behave = answer_ok
    assert harness.ask(0).status == 503
    assert harness.ask(1).status == 200


def test_feedback_on_an_unknown_endpoint_is_ignored():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready()
    harness.gateways[0]._feedback_exchange.take_in([FeedbackUpdate("nobody@1", True, 5_000)])
    assert harness.ask().status == 200
