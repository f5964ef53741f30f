# SPDX-License-Identifier: BSD-3-Clause
"""Compares HTTP parsers: CPU time per request and per event, and malformed input they reject."""

import statistics
import time

import h11
import httptools
from twisted.internet.testing import StringTransport
from twisted.web import http

__all__ = ["main"]

REPEATS = 7
ITERATIONS = 2_000
REQUEST = (
    b"POST /a/b HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: 9c41d07be2a35f68\r\n"
    b"X-Deadline-Ms: 15000\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"b\r\nhello world\r\n0\r\n\r\n"
)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_EVENT_DATA = b"id: 12\ndata: " + b"x" * 48 + b"\n\n"
EVENT = b"%x\r\n%b\r\n" % (len(_EVENT_DATA), _EVENT_DATA)
MALFORMED_REQUESTS = {
    "both lengths": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "doubled length": b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
    b"Content-Length: 2\r\n\r\nab",
    "bare LF": b"GET / HTTP/1.1\nHost: a\n\n",
}


class _IgnoreCallbacks:
    """Ignores the callbacks of an httptools parser."""

    def on_body(self, body):
        """Ignore a part of a body."""


def _httptools_request(data):
    httptools.HttpRequestParser(_IgnoreCallbacks()).feed_data(data)


def _h11_request(data):
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(data)
    while not isinstance(connection.next_event(), h11.EndOfMessage):
        pass


class _EmptyResponseRequest(http.Request):
    """A request that gets an empty response immediately."""

    def process(self):
        """Send the empty response."""
        self.write(b"")
        self.finish()


def _twisted_request(data):
    channel = http.HTTPChannel()
    channel.requestFactory = _EmptyResponseRequest
    sink = StringTransport()
    channel.makeConnection(sink)
    channel.dataReceived(data)
    if b"400 Bad Request" in sink.value():
        raise ValueError("request rejected with status 400")


def _httptools_events(count):
    parser = httptools.HttpResponseParser(_IgnoreCallbacks())
    parser.feed_data(RESPONSE_HEAD)
    for _ in range(count):
        parser.feed_data(EVENT)


def _h11_events(count):
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(RESPONSE_HEAD)
    connection.next_event()
    for _ in range(count):
        connection.receive_data(EVENT)
        while connection.next_event() is not h11.NEED_DATA:
            pass


def _twisted_events(count):
    decoder = http._ChunkedTransferDecoder(lambda data: None, lambda rest: None)
    for _ in range(count):
        decoder.dataReceived(EVENT)


def _microseconds(function) -> float:
    samples = []
    for _ in range(REPEATS):
        started = time.process_time()
        function()
        samples.append((time.process_time() - started) / ITERATIONS * 1e6)
    return statistics.median(samples)


def _verdict(parse, data) -> str:
    try:
        parse(data)
    except Exception:
        return "refused"
    return "taken"


def main() -> None:
    """Print a table row for each parser."""
    for name, parse, events in (
        ("httptools 0.9", _httptools_request, _httptools_events),
        ("h11 0.16", _h11_request, _h11_events),
        ("twisted.web 26.10", _twisted_request, _twisted_events),
    ):
        request_us = _microseconds(lambda parse=parse: [parse(REQUEST) for _ in range(ITERATIONS)])
        event_us = _microseconds(lambda events=events: events(ITERATIONS))
        verdicts = " | ".join(_verdict(parse, data) for data in MALFORMED_REQUESTS.values())
        print(f"| `{name}` | {request_us:.1f} | {event_us:.1f} | {verdicts} |")


if __name__ == "__main__":
    main()
