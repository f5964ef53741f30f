# SPDX-License-Identifier: BSD-3-Clause
"""Bytes that bring no part of a response are bounded: the connection is closed."""

import pytest
from twisted.internet.protocol import Factory, Protocol

from turnward.http1 import (
    ExchangeBase,
    FailureCause,
    OutboundPool,
    header_value,
)
from turnward.standins import MemoryNetwork

ADDRESS = ("10.0.0.1", 80)
#: Far above each bound.
FLOOD_BYTES = 32 * 1024 * 1024
PART_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: own\r\n"
LATE = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

FLOODS = {
    "header line": (HEAD + b"X-Long: ", b"a"),
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "header lines": (HEAD, b"X-More: a\r\n"),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk extension": (HEAD + CHUNKED + b"5;ext=", b"a"),
    "trailer line": (HEAD + CHUNKED + b"5\r\nhello\r\n0\r\nX-Long: ", b"a"),
    "trailers": (HEAD + CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-More: a\r\n"),
    "late response": (LATE + b"\r\n", b"a"),
    "late responses": (b"", LATE + b"Content-Length: 1\r\n\r\nx"),
    "late heads": (b"", LATE + b"Content-Length: 0\r\n\r\n"),
}


class Flood(Protocol):
    """Sends a beginning and then a unit over and over, as fast as it is read."""

    def __init__(self, beginning, unit, clock):
        self._beginning = beginning
        self._part = unit * (PART_BYTES // len(unit))
        self._clock = clock
        self.sent_bytes = 0
        self.closed = False

    def dataReceived(self, data):
        self.transport.write(self._beginning)
        self.send()

    def send(self):
        if self.closed or self.sent_bytes > FLOOD_BYTES:
            return
        self.transport.write(self._part)
        self.sent_bytes += len(self._part)
        self._clock.callLater(0.001, self.send)

    def connectionLost(self, reason):
        self.closed = True


class CollectingExchange(ExchangeBase):
    """Collects the response."""

    response_id = (b"request-id", b"own")

    def __init__(self):
        self.body = b""
        self.ended = False
        self.failure = None

    def exchange_started(self, connection):
        connection.send(b"GET / HTTP/1.1\r\n\r\n", last=True)

    def head_received(self, status, headers):
        assert header_value(headers, b"request-id") == b"own"

    def body_received(self, data):
        self.body += data

    def response_ended(self):
        self.ended = True

    def exchange_failed(self, failure):
        self.failure = failure


class Server(Factory):
    """Serves each connection by a new protocol."""

    def __init__(self, make):
        self._make = make

    def buildProtocol(self, addr):
        return self._make()


def exchange_with(make_server, limit_s=2.0):
    network = MemoryNetwork()
    server = network.machine(ADDRESS[0])
    protocols = []

    def make():
        protocols.append(make_server(server))
        return protocols[-1]

    server.listenTCP(ADDRESS[1], Server(make))
    pool = OutboundPool(network.machine("10.0.0.2"), ADDRESS)
    exchange = CollectingExchange()
    pool.start(exchange)
    network.advance_until(lambda: exchange.failure or exchange.ended, limit_s)
    network.advance(0.1)
    return exchange, protocols[0]


@pytest.mark.parametrize("name", FLOODS)
def test_response_that_makes_no_progress_fails_and_its_connection_is_closed(name):
    beginning, unit = FLOODS[name]
    exchange, flood = exchange_with(lambda server: Flood(beginning, unit, server))
    assert exchange.failure.cause is FailureCause.MALFORMED
    assert flood.closed
    assert flood.sent_bytes < FLOOD_BYTES


class Script(Protocol):
    """Sends given bytes in parts of a given size."""

    def __init__(self, data, part_bytes, clock):
        self._parts = [data[n : n + part_bytes] for n in range(0, len(data), part_bytes)]
        self._clock = clock

    def dataReceived(self, data):
        self.send()

    def send(self):
        if self._parts:
            self.transport.write(self._parts.pop(0))
            self._clock.callLater(0.0005, self.send)


@pytest.mark.parametrize("part_bytes", [700, 16_384, 10_000_000])
def test_long_response_in_small_chunks_with_extensions_is_complete(part_bytes):
    chunk = b"4;signature=" + b"s" * 64 + b"\r\nabcd\r\n"
    data = HEAD + b"X-Large: " + b"a" * 16_000 + b"\r\n" + CHUNKED + chunk * 5_000 + b"0\r\n\r\n"
    exchange, _ = exchange_with(lambda server: Script(data, part_bytes, server), limit_s=10.0)
    assert exchange.ended
    assert exchange.body == b"abcd" * 5_000


def test_large_late_response_is_skipped():
    late = LATE + b"Content-Length: 3000000\r\n\r\n" + b"x" * 3_000_000
    data = late + HEAD + b"Content-Length: 4\r\n\r\nmine"
    exchange, _ = exchange_with(lambda server: Script(data, 50_000, server))
    assert exchange.body == b"mine"
