# SPDX-License-Identifier: BSD-3-Clause
"""The HTTP client of the own home takes no response whose head is none, or ends early."""

import time

import pytest
from twisted.internet import defer
from twisted.internet.protocol import Factory, Protocol

from turnward.clocks import SystemClock
from turnward.http import HttpClient, SentUnansweredError
from turnward.http1.tests.test_odd_heads import BODY, EARLY_ENDS, ODD_HEADS, OK, SOUND
from turnward.steady_reactor import SteadyReactor

LIMIT_S = 5.0
STATUSES = ("000", "001", "042", "099", "600", "601", "700", "999", "20", "2000", "-20", "")
VERSIONS = ("HTTP/0.9", "HTTP/2.0", "HTTPS/1.1", "http/1.1")
NAMES = [name for name in ODD_HEADS if name.startswith("name with")]
ODD = [f"status {status.encode()!r}" for status in STATUSES]
ODD += [f"version {version.encode()!r}" for version in VERSIONS]
ODD += [*NAMES, "blank before the colon", "tab before the colon", "two lengths"]
#: This client takes the first response on a connection of its own for that of its request.
ENDS = [place for place in EARLY_ENDS if place != "inside the head after a late response"]


class AnsweringServer(Protocol):
    """Answers each request with given bytes, and closes the connection."""

    def dataReceived(self, data):
        self.transport.write(self.factory.answer)
        self.transport.loseConnection()


class StallingServer(Protocol):
    """Answers each request with given bytes, and leaves the connection open."""

    def dataReceived(self, data):
        self.transport.write(self.factory.answer)


def response_to(answer, server=AnsweringServer, method="GET", **fields):
    """Return the client's response to given bytes, or the error that it raises."""
    reactor = SteadyReactor(SystemClock())
    factory = Factory.forProtocol(server)
    factory.answer = answer
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    outcome = []
    client = HttpClient(reactor, persistent=False)
    url = f"http://127.0.0.1:{port.getHost().port}/"
    reactor.startRunning(installSignalHandlers=False)
    defer.ensureDeferred(client.request(method, url, **fields)).addBoth(outcome.append)
    limit_s = time.monotonic() + LIMIT_S
    while not outcome and time.monotonic() < limit_s:
        reactor.iterate(0.01)
    port.stopListening()
    reactor.iterate(0.0)
    return getattr(outcome[0], "value", outcome[0])


@pytest.mark.parametrize("name", ODD)
def test_response_with_an_odd_head_is_no_response(name):
    """Guards against statuses and names that are none and are read as a response."""
    assert isinstance(response_to(ODD_HEADS[name]), SentUnansweredError)


@pytest.mark.parametrize("place", ENDS)
def test_response_whose_head_ends_early_is_no_response(place):
    assert isinstance(response_to(EARLY_ENDS[place]), SentUnansweredError)


@pytest.mark.parametrize("status", [200, 404, 503, 599])
def test_sound_response_is_returned(status):
    response = response_to(SOUND.replace(OK, b"HTTP/1.1 %d X\r\n" % status))
    assert (response.status, response.body) == (status, BODY[-4:])


def test_response_whose_body_stalls_is_given_up():
    """Guards against a time limit that fails to close the connection, and a call without end."""
    answer = OK + b"Content-Length: 9\r\n\r\nbody"
    assert isinstance(response_to(answer, StallingServer, timeout_s=0.3), SentUnansweredError)


def test_request_whose_server_closes_while_it_is_written_is_unanswered():
    """Guards against an error that no caller of the client expects, such as a service's client."""
    answer = EARLY_ENDS["inside a name"]
    response = response_to(answer, method="POST", body=b"x" * 8_000_000)
    assert isinstance(response, SentUnansweredError)
