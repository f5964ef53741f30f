# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the time limits of calls.

A call fails if its response stalls, but not while a large response keeps arriving.
"""

import pytest
from twisted.internet import defer

from turnward.http1 import HttpCaller, InboundFactory, InboundLimits, UnansweredError
from turnward.standins import MemoryNetwork

NARROW_MBIT_PER_S = 5.0
#: Takes one second on the narrow link.
LARGE_BYTES = 625_000


class NarrowLinkSimulation:
    """A server, and a client behind a narrow link."""

    def __init__(self, serve):
        self.network = MemoryNetwork()
        server = self.network.machine("10.0.0.1")
        factory = InboundFactory(server, serve, InboundLimits())
        server.listenTCP(80, factory)
        self.machine = self.network.machine("10.0.0.2", NARROW_MBIT_PER_S)
        self.caller = HttpCaller(self.machine, ("10.0.0.1", 80))

    def call(self, duration_s, **limits):
        """Start a call and return its outcome after ``duration_s``; empty if it still runs."""
        outcome = []
        call_result = defer.ensureDeferred(self.caller.call(b"GET", b"/", **limits))
        call_result.addBoth(outcome.append)
        self.network.advance(duration_s)
        return outcome


def send_large(request):
    request.answer(200, [], b"x" * LARGE_BYTES)


def test_call_waits_for_large_response_that_keeps_arriving():
    outcome = NarrowLinkSimulation(send_large).call(1.5, timeout_s=0.3, read_timeout_s=0.3)
    assert len(outcome[0].body) == LARGE_BYTES


def test_without_read_timeout_the_limit_is_for_the_whole_response():
    outcome = NarrowLinkSimulation(send_large).call(0.5, timeout_s=0.3)
    with pytest.raises(UnansweredError, match=r"\([0-9]+ bytes received\)$"):
        outcome[0].raiseException()


def test_call_fails_when_no_response_begins():
    outcome = NarrowLinkSimulation(lambda request: None).call(
        0.5, timeout_s=0.3, read_timeout_s=0.3
    )
    with pytest.raises(UnansweredError, match="no complete response within 0.3 s$"):
        outcome[0].raiseException()


def test_call_fails_when_response_stalls():
    def send_partial(request):
        request.start(200, [], LARGE_BYTES)
        request.write(b"x" * 1_000)

    simulation = NarrowLinkSimulation(send_partial)
    assert not simulation.call(0.25, timeout_s=0.3, read_timeout_s=0.3)
    simulation.network.advance(0.4)
    assert not simulation.machine.connections


def test_call_fails_when_response_trickles_without_end():
    def send_slowly(request):
        request.start(200, [], LARGE_BYTES)
        send_byte(request)

    def send_byte(request):
        if not request.gone:
            request.write(b"x")
            simulation.network.clock.callLater(0.2, send_byte, request)

    simulation = NarrowLinkSimulation(send_slowly)
    outcome = simulation.call(35.0, timeout_s=0.3, read_timeout_s=0.3)
    with pytest.raises(UnansweredError):
        outcome[0].raiseException()
