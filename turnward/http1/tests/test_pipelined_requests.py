# SPDX-License-Identifier: BSD-3-Clause
"""Requests sent without waiting are each answered once, in their order, however they arrive."""

import random
import re

import pytest
from twisted.internet.protocol import ClientFactory, Protocol

from turnward.http1 import InboundFactory, InboundLimits
from turnward.http1.tests.test_bytes_without_end import ADDRESS
from turnward.standins import MemoryNetwork

REQUESTS = 12
#: When requests are answered: as they begin, before their body is in, once it is, or later.
KINDS = ("at-once", "early", "whole", "late")
MALFORMED = b"no request\r\n\r\n"


class Caller(Protocol):
    """Sends parts of some bytes, each after a delay, and keeps what it receives."""

    def __init__(self, parts, clock):
        self._parts = list(parts)
        self._clock = clock
        self.received = b""
        self.closed = False

    def connectionMade(self):
        self._send()

    def _send(self):
        if self._parts and not self.closed:
            delay_s, part = self._parts.pop(0)
            self.transport.write(part)
            self._clock.callLater(delay_s, self._send)

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason):
        self.closed = True

    @property
    def answers(self):
        """The ids of the answers, in the order in which they came."""
        return [int(number) for number in re.findall(rb"(?m)^answer: (\d+)\r$", self.received)]


class PipelineSimulation:
    """A server that answers requests by their kind, and a caller."""

    def __init__(self, seed=0):
        self.rng = random.Random(seed)
        self.network = MemoryNetwork()
        self.server = self.network.machine(ADDRESS[0])
        self.begun = []
        self.factory = InboundFactory(self.server, self._handle, InboundLimits())
        self.server.listenTCP(ADDRESS[1], self.factory)

    def _handle(self, request):
        _, kind, number = request.target.split(b"/")
        self.begun.append(int(number))

        def answer():
            if not request.gone:
                request.answer(200, [(b"answer", number)], b"body")

        if kind in (b"at-once", b"early"):
            answer()
        elif kind == b"whole":
            request.attach(lambda data: None, answer)
        else:
            delay_s = self.rng.choice((0.001, 0.02, 0.1))
            request.attach(lambda data: None, lambda: self.server.callLater(delay_s, answer))

    def send(self, parts):
        """Send parts, each with the delay after it; return the caller."""
        client = self.network.machine("10.0.0.2")
        caller = Caller(parts, client)

        class Connect(ClientFactory):
            def buildProtocol(self, addr):
                return caller

        client.connectTCP(*ADDRESS, Connect())
        self.network.advance(4.0)
        return caller

    def cut(self, data):
        """Return bytes cut at random places, with delays."""
        parts = []
        while data:
            size = self.rng.choice((1, 7, 40, 200, 10_000))
            parts.append((self.rng.choice((0.0, 0.0005, 0.01, 0.05)), data[:size]))
            data = data[size:]
        return parts


def encode(number, kind, body=None):
    head = b"%b /%b/%d HTTP/1.1\r\nHost: a\r\n"
    head %= (b"GET" if body is None else b"POST", kind.encode(), number)
    if body is None:
        return head + b"\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize("kind", ["at-once", "whole"])
def test_request_does_not_begin_before_those_that_wait(kind):
    """Guards against the answer to a later request in the place of an earlier one's."""
    simulation = PipelineSimulation()
    first = encode(1, "late") + encode(2, kind) + encode(3, "late")
    caller = simulation.send([(0.0005, first), (0.0, encode(4, "late") + encode(5, "late"))])
    assert simulation.begun == [1, 2, 3, 4, 5]
    assert caller.answers == [1, 2, 3, 4, 5]


def test_requests_behind_an_early_answer_begin_one_after_the_other():
    simulation = PipelineSimulation()
    upload = encode(1, "early", b"x" * 2_000)
    rest = upload[-500:] + encode(2, "late") + encode(3, "late")
    caller = simulation.send([(0.05, upload[:-500]), (0.0, rest)])
    assert simulation.begun == [1, 2, 3]
    assert caller.answers == [1, 2, 3]


def test_malformed_request_is_refused_once_those_before_it_are_answered():
    simulation = PipelineSimulation()
    data = encode(1, "late") + encode(2, "at-once") + encode(3, "late") + MALFORMED
    caller = simulation.send([(0.0, data)])
    assert caller.answers == [1, 2, 3]
    assert b"HTTP/1.1 400" in caller.received.partition(b"answer: 3")[2]
    assert caller.closed


def test_connection_on_which_a_request_waits_is_not_idle():
    simulation = PipelineSimulation()
    idle = []
    handler = simulation.factory.handler

    def handle(request):
        idle.extend(connection.idle for connection in simulation.factory.connections)
        handler(request)

    simulation.factory.handler = handle
    simulation.send([(0.0, b"".join(encode(number, "at-once") for number in range(5)))])
    assert idle == [False] * 5


def test_connection_whose_request_has_just_been_answered_is_closed_with_the_idle_ones():
    simulation = PipelineSimulation()
    handler = simulation.factory.handler

    def handle(request):
        handler(request)
        simulation.factory.close_idle()

    simulation.factory.handler = handle
    caller = simulation.send([(0.0, encode(1, "at-once"))])
    assert caller.answers == [1]
    assert caller.closed


@pytest.mark.parametrize("together", [True, False])
@pytest.mark.parametrize("stage", ["draining", "closes_idle", "sheds_connections"])
def test_requests_that_were_read_are_answered_before_a_connection_closes(stage, together):
    """Guards against a stop that drops requests behind another one on their connection."""
    simulation = PipelineSimulation()
    simulation.server.callLater(0.0008, setattr, simulation.factory, stage, True)
    requests = [encode(number, "late") for number in range(4)]
    parts = [b"".join(requests)] if together else requests
    caller = simulation.send([(0.0, part) for part in parts])
    assert caller.answers == [0, 1, 2, 3]
    assert caller.closed
    *others, last = caller.received.split(b"HTTP/1.1 200")[1:]
    assert not any(b"connection: close" in answer.lower() for answer in others)
    assert (b"connection: close" in last.lower()) == (stage != "closes_idle")


@pytest.mark.parametrize("seed", range(150))
def test_random_requests_are_answered_in_their_order(seed):
    simulation = PipelineSimulation(seed)
    rng = simulation.rng
    data = b""
    for number in range(REQUESTS):
        body = b"x" * rng.choice((0, 1, 300, 9_000)) if rng.random() < 0.4 else None
        data += encode(number, rng.choice(KINDS), body)
    refused = rng.random() < 0.3
    caller = simulation.send(simulation.cut(data + (MALFORMED if refused else b"")))
    assert simulation.begun == list(range(REQUESTS))
    assert caller.answers == list(range(REQUESTS))
    assert caller.received.count(b"HTTP/1.1 400") == refused
