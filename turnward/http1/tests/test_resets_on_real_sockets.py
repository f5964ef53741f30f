# SPDX-License-Identifier: BSD-3-Clause
"""A reset of a connection is never reported as its end, and what came before it is read."""

import select
import socket
import struct
import time

import pytest
from twisted.internet.protocol import ClientFactory, Protocol

from turnward.clocks import SystemClock
from turnward.steady_reactor import SteadyReactor

RESET = struct.pack("ii", 1, 0)
LIMIT_S = 5.0


class Connection(Protocol):
    """Records what arrives, and why the connection was lost; it is paused from the start."""

    def __init__(self):
        self.received = b""
        self.reason = None

    def connectionMade(self):
        self.transport.pauseProducing()

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason):
        self.reason = reason.type.__name__


class Pair:
    """A paused connection of a reactor, and the socket at its other end."""

    def __init__(self):
        self.reactor = SteadyReactor(SystemClock())
        self.connection = Connection()
        listener = socket.create_server(("127.0.0.1", 0))
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: self.connection
        self.reactor.connectTCP(*listener.getsockname(), factory)
        self.reactor.startRunning(installSignalHandlers=False)
        self.run_until(lambda: self.connection.connected)
        self.peer, _ = listener.accept()
        listener.close()

    def run_until(self, condition):
        limit_s = time.monotonic() + LIMIT_S
        while not condition() and time.monotonic() < limit_s:
            self.reactor.iterate(0.01)
        assert condition()

    def end(self, reset):
        """End the connection at the other end, and wait until the kernel knows here."""
        if reset:
            self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.peer.close()
        with select.epoll() as poll:
            poll.register(self.connection.transport.fileno(), select.EPOLLRDHUP)
            assert poll.poll(LIMIT_S)

    def events_while_writing(self):
        """Return the events that a reactor gets that only writes."""
        with select.epoll() as poll:
            poll.register(self.connection.transport.fileno(), select.EPOLLOUT)
            return poll.poll(LIMIT_S)[0][1]

    def process(self, events):
        """Process events that were got before reading was resumed."""
        transport = self.connection.transport
        transport.resumeProducing()
        self.reactor._doReadOrWrite(transport, transport.fileno(), events)
        self.run_until(lambda: self.connection.reason)


@pytest.mark.parametrize("sent", [b"", b"before"])
def test_reset_found_while_writing_is_no_end_when_reading_has_just_resumed(sent):
    pair = Pair()
    pair.peer.sendall(sent)
    pair.end(reset=True)
    pair.process(pair.events_while_writing())
    assert pair.connection.reason == "ConnectionLost"
    assert pair.connection.received == sent


@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("sent", [b"", b"before"])
def test_connection_that_ends_while_reading_is_paused_ends_as_it_did(sent, reset):
    pair = Pair()
    pair.peer.sendall(sent)
    pair.end(reset)
    for _ in range(3):
        pair.reactor.iterate(0.01)
    pair.connection.transport.resumeProducing()
    pair.run_until(lambda: pair.connection.reason)
    assert pair.connection.reason == ("ConnectionLost" if reset else "ConnectionDone")
    assert pair.connection.received == sent


@pytest.mark.parametrize("paused", [True, False])
def test_reset_found_by_a_write_is_no_end(paused):
    pair = Pair()
    if not paused:
        pair.connection.transport.resumeProducing()
    pair.end(reset=True)
    pair.connection.transport.write(b"x" * 1_000_000)
    pair.run_until(lambda: pair.connection.reason)
    assert pair.connection.reason == "ConnectionLost"


def test_close_with_unread_bytes_is_no_end():
    pair = Pair()
    pair.connection.transport.resumeProducing()
    pair.connection.transport.write(b"unread")
    pair.run_until(lambda: select.select([pair.peer], [], [], 0)[0])
    pair.peer.sendall(b"part")
    pair.end(reset=False)
    pair.run_until(lambda: pair.connection.reason)
    assert pair.connection.reason == "ConnectionLost"
