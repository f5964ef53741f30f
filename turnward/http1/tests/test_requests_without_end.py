# SPDX-License-Identifier: BSD-3-Clause
"""Bytes of a caller that bring no part of a request are bounded: the request is refused."""

import pytest
from twisted.internet.protocol import ClientFactory

from turnward.http1 import InboundFactory, InboundLimits
from turnward.http1.tests.test_bytes_without_end import ADDRESS, CHUNKED, Flood
from turnward.standins import MemoryNetwork


class FloodingCaller(Flood):
    """A caller that sends without end from the start."""

    def __init__(self, *args):
        super().__init__(*args)
        self.received = b""

    def connectionMade(self):
        self.transport.write(self._beginning)
        self.send()

    def dataReceived(self, data):
        self.received += data


REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\n"
REQUEST_FLOODS = {
    "header line": (REQUEST + b"X-Long: ", b"a", 431),
    "target": (b"GET /", b"a", 431),
    "header lines": (REQUEST, b"X-More: a\r\n", 431),
    "chunk extension": (REQUEST + CHUNKED + b"5;ext=", b"a", 400),
    "trailer line": (REQUEST + CHUNKED + b"5\r\nhello\r\n0\r\nX-Long: ", b"a", 400),
    "trailers": (REQUEST + CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-More: a\r\n", 400),
}


@pytest.mark.parametrize("name", REQUEST_FLOODS)
def test_request_that_makes_no_progress_is_refused(name):
    beginning, unit, status = REQUEST_FLOODS[name]
    network = MemoryNetwork()
    server = network.machine(ADDRESS[0])
    requests = []

    def handle(request):
        requests.append(request)
        request.attach(lambda data: None, lambda: None)

    server.listenTCP(ADDRESS[1], InboundFactory(server, handle, InboundLimits()))
    client = network.machine("10.0.0.2")
    caller = FloodingCaller(beginning, unit, client)

    class Connect(ClientFactory):
        def buildProtocol(self, addr):
            return caller

    client.connectTCP(*ADDRESS, Connect())
    network.advance(0.5)
    assert caller.received.startswith(b"HTTP/1.1 %d " % status)
    assert caller.closed
    assert caller.sent_bytes < 1_000_000
    assert all(len(request.headers) < 10 for request in requests)
