# SPDX-License-Identifier: BSD-3-Clause
"""Calls are given up when nothing comes, not while a large answer is on its way."""

import pytest
from twisted.internet import defer

from turnward.http1 import HttpCaller, InboundFactory, InboundLimits, UnansweredError
from turnward.standins import MemoryNetwork

NARROW_MBIT_PER_S = 5.0
#: A second of a narrow link.
LARGE_BYTES = 625_000


class World:
    """A server, and a caller behind a narrow link."""

    def __init__(self, serve):
        self.network = MemoryNetwork()
        server = self.network.machine("10.0.0.1")
        factory = InboundFactory(server, serve, InboundLimits())
        server.listenTCP(80, factory)
        self.machine = self.network.machine("10.0.0.2", NARROW_MBIT_PER_S)
        self.caller = HttpCaller(self.machine, ("10.0.0.1", 80))

    def call(self, for_s, **limits):
        """Return the outcome of a call after a time; empty while it is under way."""
        outcome = []
        called = defer.ensureDeferred(self.caller.call(b"GET", b"/", **limits))
        called.addBoth(outcome.append)
        self.network.advance(for_s)
        return outcome


def large(request):
    request.answer(200, [], b"x" * LARGE_BYTES)


def test_call_waits_for_large_response_that_keeps_arriving():
    outcome = World(large).call(1.5, timeout_s=0.3, read_timeout_s=0.3)
    assert len(outcome[0].body) == LARGE_BYTES


def test_without_read_timeout_the_limit_is_for_the_whole_response():
    outcome = World(large).call(0.5, timeout_s=0.3)
    with pytest.raises(UnansweredError, match="bytes of it came"):
        outcome[0].raiseException()


def test_call_fails_when_no_response_begins():
    outcome = World(lambda request: None).call(0.5, timeout_s=0.3, read_timeout_s=0.3)
    with pytest.raises(UnansweredError, match="no answer within 0.3 s$"):
        outcome[0].raiseException()


def test_call_fails_when_response_stalls():
    def half(request):
        request.start(200, [], LARGE_BYTES)
        request.write(b"x" * 1_000)

    world = World(half)
    assert not world.call(0.25, timeout_s=0.3, read_timeout_s=0.3)
    world.network.advance(0.4)
    assert not world.machine.connections


def test_call_fails_when_response_trickles_without_end():
    def trickle(request):
        request.start(200, [], LARGE_BYTES)
        feed(request)

    def feed(request):
        if not request.gone:
            request.write(b"x")
            world.network.clock.callLater(0.2, feed, request)

    world = World(trickle)
    outcome = world.call(35.0, timeout_s=0.3, read_timeout_s=0.3)
    with pytest.raises(UnansweredError):
        outcome[0].raiseException()
