# SPDX-License-Identifier: BSD-3-Clause
"""A response whose head is none, or ends early, fails its exchange and brings no part of itself."""

import pytest
from twisted.internet import defer

from turnward.http1 import ExchangeBase, FailureCause, OutboundPool
from turnward.http1.client import HttpCaller
from turnward.http1.errors import UnansweredError
from turnward.http1.tests.test_bytes_without_end import ADDRESS, Script, Server
from turnward.standins import MemoryNetwork

OK = b"HTTP/1.1 200 OK\r\n"
ID = b"Request-Id: own\r\n"
BODY = b"Content-Length: 4\r\n\r\nbody"
SOUND = OK + ID + BODY
#: Bytes that a field's name can't hold, by RFC 9110, section 5.6.2.
NO_NAME_BYTES = [
    bytes([code])
    for code in range(256)
    if not (chr(code).isascii() and chr(code).isalnum()) and code not in b"!#$%&'*+-.^_`|~"
]
STATUSES = [b"000", b"001", b"042", b"099", b"600", b"601", b"700", b"999", b"20", b"2000", b"2x0"]
STATUSES += [b"-20", b"+200", b"0x1", b"", b" 200", b"2 00", "\u0662\u0660\u0660".encode()]
ODD_HEADS = {
    **{f"status {status!r}": b"HTTP/1.1 %b X\r\n" % status + ID + BODY for status in STATUSES},
    **{
        f"version {version!r}": b"%b 200 OK\r\n" % version + ID + BODY
        for version in (b"HTTP/0.9", b"HTTP/2.0", b"HTTP/1.2", b"HTTP/1", b"HTTPS/1.1", b"http/1.1")
    },
    **{
        f"name with {byte!r}": OK + ID + b"X" + byte + b"Odd: 1\r\n" + BODY
        for byte in NO_NAME_BYTES
        if byte != b":"
    },
    **{
        f"name that begins with {byte!r}": OK + ID + byte + b"Odd: 1\r\n" + BODY
        for byte in NO_NAME_BYTES
        if byte not in (b"\r", b"\n")
    },
    "blank before the colon": OK + ID + b"Content-Length : 4\r\n\r\nbody",
    "tab before the colon": OK + ID + b"Content-Length\t: 4\r\n\r\nbody",
    "line without a colon": OK + ID + b"Odd\r\n" + BODY,
    "continued line": OK + ID + b"X-Odd: a\r\n b\r\n" + BODY,
    "continued first line": OK + b" X-Odd: a\r\n" + ID + BODY,
    "NUL in a value": OK + ID + b"X-Odd: a\x00b\r\n" + BODY,
    "CR in a value": OK + ID + b"X-Odd: a\rb\r\n" + BODY,
    "lines without CR": SOUND.replace(b"\r\n", b"\n"),
    "name of an interim head": b"HTTP/1.1 103 Early\r\nX Odd: 1\r\n\r\n" + SOUND,
    "status after an interim head": b"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 000 X\r\n" + ID + BODY,
    "switched protocol": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n" + ID + BODY,
    "two lengths": OK + ID + b"Content-Length: 2\r\n" + BODY,
    "length beside chunks": OK + ID + b"Transfer-Encoding: chunked\r\n" + BODY,
    **{
        f"transfer encoding {encoding!r}": (
            OK + ID + b"Transfer-Encoding: " + encoding + b"\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
        )
        for encoding in (b"odd", b"", b"identity", b"gzip, chunked", b"chunked, odd", b"xchunked")
    },
    "transfer encoding in two lines": (
        OK + ID + b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    **{
        f"length {length!r}": OK + ID + b"Content-Length: " + length + b"\r\n\r\nbody"
        for length in (b"+4", b"-4", b"0x4", b"4, 4", b"4 4", b"four", b"4.0", b"9" * 30, b"")
    },
    "name of a trailer": (
        OK + ID + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Odd: 1\r\n\r\n"
    ),
}
EARLY_ENDS = {
    "in the version": b"HTTP/1.",
    "in the status": b"HTTP/1.1 20",
    "after the status": b"HTTP/1.1 200",
    "after the first line": OK,
    "inside a name": OK + ID + b"Content-Len",
    "after a name": OK + ID + b"Content-Length:",
    "inside a value": OK + ID + b"Content-Length: 4",
    "after a field": OK + ID + b"Content-Length: 4\r\n",
    "before the last LF": OK + ID + b"Content-Length: 4\r\n\r",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\n",
    "inside the head after 100": b"HTTP/1.1 100 Continue\r\n\r\n" + OK + ID,
    "inside the head after 103": b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + OK + ID,
    "inside the head after a late response": (
        OK + b"Request-Id: other\r\nContent-Length: 1\r\n\r\nx" + OK + ID
    ),
}
WHOLE_AT_ONCE = 1_000_000


class EndingScript(Script):
    """Sends given bytes and closes, or resets, the connection after the last one."""

    def __init__(self, data, part_bytes, clock, reset=False, before=b""):
        super().__init__(data, part_bytes, clock)
        self._reset = reset
        self._before = before

    def dataReceived(self, data):
        if self._before:
            before, self._before = self._before, b""
            self.transport.write(before)
        else:
            self.send()

    def send(self):
        if self._parts:
            super().send()
        elif self._reset:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()


class RecordingExchange(ExchangeBase):
    """Records what it gets."""

    response_id = (b"request-id", b"own")

    def __init__(self, method=b"GET"):
        self.method = method
        self.heads = []
        self.body = b""
        self.ended = False
        self.failure = None

    def exchange_started(self, connection):
        connection.send(self.method + b" / HTTP/1.1\r\n\r\n", last=True)

    def head_received(self, status, headers):
        self.heads.append((status, headers))

    def body_received(self, data):
        self.body += data

    def response_ended(self):
        self.ended = True

    def exchange_failed(self, failure):
        self.failure = failure


class Exchanges:
    """Exchanges with a server that sends given bytes."""

    def __init__(self, make_protocol):
        self.network = MemoryNetwork()
        self.server = self.network.machine(ADDRESS[0])
        self.protocols = []
        self.noted_heads = []

        def make():
            self.protocols.append(make_protocol(self.server))
            return self.protocols[-1]

        self.server.listenTCP(ADDRESS[1], Server(make))
        self.client = self.network.machine("10.0.0.2")
        self.pool = OutboundPool(
            self.client, ADDRESS, on_head=lambda status, headers: self.noted_heads.append(status)
        )

    def run(self, method=b"GET"):
        exchange = RecordingExchange(method)
        self.pool.start(exchange)
        self.network.advance_until(lambda: exchange.failure or exchange.ended, 2.0)
        self.network.advance(0.1)
        return exchange


#: A response to HEAD has no trailers.
ODD_CASES = [
    (name, method)
    for name in ODD_HEADS
    for method in (b"GET", b"HEAD", b"POST")
    if (name, method) != ("name of a trailer", b"HEAD")
]


@pytest.mark.parametrize("part_bytes", [1, WHOLE_AT_ONCE])
@pytest.mark.parametrize(("name", "method"), ODD_CASES)
def test_response_with_an_odd_head_fails_and_its_connection_is_closed(name, method, part_bytes):
    """Guards against statuses and names that are none and reach the caller."""
    data = ODD_HEADS[name]
    exchanges = Exchanges(lambda server: EndingScript(data, part_bytes, server))
    exchange = exchanges.run(method)
    assert not exchange.ended
    assert exchange.failure.cause is FailureCause.MALFORMED
    assert exchange.failure.sent and exchange.failure.answered
    assert exchanges.pool.idle_count == 0
    assert exchanges.pool.oldest_open_s is None
    if name != "name of a trailer":
        assert not exchange.heads and not exchange.body
        assert not [status for status in exchanges.noted_heads if status >= 200]


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("part_bytes", [1, WHOLE_AT_ONCE])
@pytest.mark.parametrize("method", [b"GET", b"HEAD", b"POST"])
@pytest.mark.parametrize("place", EARLY_ENDS)
def test_head_that_ends_early_is_no_response(place, method, part_bytes, reset):
    """Guards against a server that stops inside a head and is taken for an empty response."""
    data = EARLY_ENDS[place]
    exchange = Exchanges(lambda server: EndingScript(data, part_bytes, server, reset)).run(method)
    assert not exchange.heads and not exchange.ended
    assert exchange.failure.cause is (FailureCause.RESET if reset else FailureCause.CLOSED)
    assert exchange.failure.sent and exchange.failure.answered


@pytest.mark.parametrize("data", [*EARLY_ENDS.values(), ODD_HEADS["status b'000'"]])
def test_second_response_on_a_kept_connection_is_checked_like_the_first(data):
    exchanges = Exchanges(lambda server: EndingScript(data, WHOLE_AT_ONCE, server, before=SOUND))
    first, second = exchanges.run(), exchanges.run()
    assert (first.ended, first.body) == (True, b"body")
    assert len(exchanges.protocols) == 1
    assert not second.heads and not second.ended
    assert second.failure.reused


@pytest.mark.parametrize("status", [200, 204, 299, 304, 404, 599])
def test_statuses_in_range_are_passed_on(status):
    data = b"HTTP/1.1 %d X\r\n" % status + ID + b"Content-Length: 0\r\n\r\n"
    exchange = Exchanges(lambda server: EndingScript(data, 1, server)).run()
    assert exchange.ended
    assert exchange.heads[0][0] == status


def test_trailers_are_no_fields_of_the_head():
    """Guards against trailers that are passed on as fields of a buffered response's head."""
    data = (
        OK + ID + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
        b"Set-Cookie: a\r\nRequest-Id: other\r\n\r\n"
    )
    exchange = Exchanges(lambda server: EndingScript(data, 1, server)).run()
    assert exchange.ended
    names = [name for name, _ in exchange.heads[0][1]]
    assert names == [b"request-id", b"transfer-encoding"]


@pytest.mark.parametrize("data", [ODD_HEADS["status b'000'"], ODD_HEADS["status b'600'"]])
def test_call_with_an_odd_answer_is_unanswered(data):
    exchanges = Exchanges(lambda server: EndingScript(data, 1, server))
    caller = HttpCaller(exchanges.client, ADDRESS)
    outcome = []
    defer.ensureDeferred(caller.call(b"POST", b"/", b"x")).addBoth(outcome.append)
    exchanges.network.advance(1.0)
    assert outcome[0].check(UnansweredError)
