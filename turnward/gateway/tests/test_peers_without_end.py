# SPDX-License-Identifier: BSD-3-Clause
"""A peer that sends bytes without end, and no answer, is cut off like an endpoint."""

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.relay_note import RELAY_PREFIX
from turnward.gateway.tests.harness import DIALECT, Harness, answer_ok, answered, encode_events
from turnward.http1 import header_value

PART_BYTES = 65_536
FLOOD_BYTES = 8 * 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: <id>\r\n"
SEALED = HEAD + DIALECT.answer_seal + b": seal\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
EVENT = encode_events(1, 1)
FLOODS = {
    "header line": (HEAD + b"X-Long: ", b"a"),
    "interim heads": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunk extension": (SEALED + CHUNKED + b"5;ext=", b"a"),
    "unsealed body": (HEAD + b"\r\n", b"a"),
    "event": (SEALED + CHUNKED + b"10000000\r\n" + EVENT + b"data: ", b"a"),
}


class FloodingPeer:
    """Has a gateway answer relayed requests with a beginning and a unit over and over."""

    def __init__(self, harness, number, beginning, unit):
        self._machine = harness.machines[number]
        self._server = harness.gateways[number]._peer_server
        self._serve, self._server.handler = self._server.handler, self._handle
        self._beginning = beginning
        self._part = unit * (PART_BYTES // len(unit))
        self.sent_bytes = 0
        self.transports = []

    def _handle(self, request):
        if not request.target.startswith(RELAY_PREFIX):
            self._serve(request)
            return
        request_id = header_value(request.headers, DIALECT.request_id)
        transport = request._connection.transport
        self.transports.append(transport)
        transport.write(self._beginning.replace(b"<id>", request_id))
        self._flood(transport)

    def _flood(self, transport):
        if transport.disconnected or self.sent_bytes > FLOOD_BYTES:
            return
        transport.write(self._part)
        self.sent_bytes += PART_BYTES
        self._machine.callLater(0.001, self._flood, transport)


@pytest.mark.parametrize("name", FLOODS)
def test_relayed_request_whose_peer_sends_without_end_is_ended_soon(name):
    harness = Harness(repeat=RetryPolicy.STREAM, attempts=2, time_limit_s=8.0)
    endpoint = harness.endpoint(answer_ok)
    harness.ready(2)
    harness.network.advance(1.0)
    harness.network.refuse(harness.machines[0].host, endpoint.machine.host)
    harness.ask(path=b"/a/first")
    harness.network.advance(1.0)
    peer = FloodingPeer(harness, 1, *FLOODS[name])
    caller = harness.ask(limit_s=2.0)
    assert answered(caller)
    assert caller.closed is not None or caller.status >= 500
    harness.network.advance(0.1)
    assert peer.transports
    assert all(transport.disconnected for transport in peer.transports)
    assert peer.sent_bytes < FLOOD_BYTES
