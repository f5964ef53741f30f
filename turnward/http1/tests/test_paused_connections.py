# SPDX-License-Identifier: BSD-3-Clause
"""A connection that an exchange has paused is read again from its end on."""

from turnward.http1 import ExchangeBase, InboundFactory, InboundLimits, OutboundPool
from turnward.standins import MemoryNetwork

ADDRESS = ("10.0.0.1", 80)


class PausingExchange(ExchangeBase):
    """Pauses its connection when the response has ended, or one event of the reactor later."""

    def __init__(self, machine, pauses_late=False):
        self._machine = machine
        self._pauses_late = pauses_late
        self.ended = False

    def exchange_started(self, connection):
        self.connection = connection
        connection.send(b"GET / HTTP/1.1\r\n\r\n", last=True)

    def head_received(self, status, headers):
        """Do nothing."""

    def body_received(self, data):
        """Do nothing."""

    def response_ended(self):
        self.ended = True
        if self._pauses_late:
            self._machine.callLater(0, self._pause)
        else:
            self._pause()

    def _pause(self):
        self.connection.pause(self)

    def exchange_failed(self, failure):
        raise AssertionError(failure)


class Client:
    """A pool of connections to a server that answers at once."""

    def __init__(self):
        self.network = MemoryNetwork()
        server = self.network.machine(ADDRESS[0])
        self.factory = InboundFactory(
            server, lambda request: request.answer(200, [], b"x"), InboundLimits()
        )
        server.listenTCP(ADDRESS[1], self.factory)
        self.machine = self.network.machine("10.0.0.2")
        self.pool = OutboundPool(self.machine, ADDRESS)

    def ask(self, **fields):
        exchange = PausingExchange(self.machine, **fields)
        self.pool.start(exchange)
        self.network.advance(0.1)
        return exchange


def test_exchange_is_answered_after_one_that_paused_its_connection_at_its_end():
    client = Client()
    client.ask()
    assert client.ask().ended
    assert client.factory.accepted == 1


def test_exchange_that_has_ended_does_not_pause_the_next_one():
    client = Client()
    first = client.ask(pauses_late=True)
    second = client.ask()
    first.connection.pause(first)
    assert second.ended
    assert client.ask().ended
    assert client.factory.accepted == 1
