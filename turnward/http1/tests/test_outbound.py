# SPDX-License-Identifier: BSD-3-Clause
"""A pool of connections tells when the process at its address may have restarted."""

from turnward.http1 import ExchangeBase, InboundFactory, InboundLimits, OutboundPool
from turnward.standins import MemoryNetwork

ADDRESS = ("10.0.0.1", 80)


class UnansweredExchange(ExchangeBase):
    """Sends a request, and expects no response."""

    def exchange_started(self, connection):
        connection.send(b"GET / HTTP/1.1\r\n\r\n", last=True)

    def head_received(self, status, headers):
        raise AssertionError("no response was sent")

    def body_received(self, data):
        raise AssertionError("no response was sent")

    def response_ended(self):
        raise AssertionError("no response was sent")

    def exchange_failed(self, failure):
        self.failure = failure


class RestartSimulation:
    """A pool of connections to a server that leaves requests unanswered."""

    def __init__(self):
        self.network = MemoryNetwork()
        server = self.network.machine(ADDRESS[0])
        self.factory = InboundFactory(server, lambda request: None, InboundLimits())
        server.listenTCP(ADDRESS[1], self.factory)
        self.pool = OutboundPool(self.network.machine("10.0.0.2"), ADDRESS)
        self.suspected = 0
        self.pool.on_all_closed = self._suspect

    def _suspect(self):
        self.suspected += 1

    def open(self, count):
        """Open connections, and return their ends at the server."""
        before = set(self.factory.connections)
        for _ in range(count):
            self.pool.start(UnansweredExchange())
        self.network.advance(0.1)
        return set(self.factory.connections) - before

    def close(self, connections):
        for connection in connections:
            connection.transport.abortConnection()
        self.network.advance(0.1)


def test_restart_is_suspected_when_all_connections_are_closed():
    simulation = RestartSimulation()
    connections = simulation.open(3)
    simulation.network.advance(2.0)
    simulation.close(connections)
    assert simulation.suspected


def test_connection_that_stays_open_shows_that_nothing_restarted():
    simulation = RestartSimulation()
    first, *others = simulation.open(3)
    simulation.network.advance(2.0)
    simulation.close(others)
    assert not simulation.suspected


def test_connection_opened_during_a_restart_does_not_hide_it():
    """Guards against a new connection that is counted before the loss of the earlier ones."""
    simulation = RestartSimulation()
    connections = simulation.open(3)
    simulation.network.advance(2.0)
    simulation.open(1)
    simulation.close(connections)
    assert simulation.suspected
