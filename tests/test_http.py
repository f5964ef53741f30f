# SPDX-License-Identifier: BSD-3-Clause
"""The HTTP client tells unsent from unanswered, whichever limit passes first."""

from twisted.internet import address, defer, error
from twisted.internet.testing import MemoryReactorClock

from turnward.http import HttpClient, NotSentError


class NeverConnecting:
    """An agent whose connection never comes about; cancelled, it fails as Twisted's does."""

    def request(self, *_):
        peer = address.HostnameAddress(b"127.0.0.1", 1)
        return defer.Deferred(lambda sent: sent.errback(error.ConnectingCancelledError(peer)))


def test_connection_that_is_given_up_is_told_as_not_sent():
    """The error passed through as it was, and a router that started beside much load ended."""
    reactor = MemoryReactorClock()
    client = HttpClient(reactor)
    client._agent = NeverConnecting()
    sent = defer.ensureDeferred(client.request("GET", "http://127.0.0.1:1/x", timeout_s=1.0))
    failures = []
    sent.addErrback(lambda failure: failures.append(failure.value))
    reactor.advance(1.5)
    assert [type(failure) for failure in failures] == [NotSentError]
