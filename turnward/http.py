# SPDX-License-Identifier: BSD-3-Clause
"""An asynchronous HTTP client based on ``twisted.web.client.Agent``."""

from io import BytesIO

import msgspec
from twisted.internet import defer, error
from twisted.internet.protocol import Protocol
from twisted.web.client import (
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    RequestTransmissionFailed,
    ResponseDone,
    ResponseFailed,
    ResponseNeverReceived,
)
from twisted.web.http_headers import Headers

from turnward.errors import TurnwardError
from turnward.http1 import is_valid_status_line

__all__ = [
    "HttpClient",
    "HttpResponse",
    "NotSentError",
    "SentUnansweredError",
    "abort_request",
]

#: Errors that are raised only if no byte of the request was sent.
_NOT_SENT_ERRORS = (
    error.ConnectError,
    # The request's timeout passed before the connection was open. Not reported as unsent, it would
    # end a router that is starting.
    error.ConnectingCancelledError,
    error.ConnectionRefusedError,
    error.TimeoutError,
    error.DNSLookupError,
)


#: Errors that are raised once a part of the request may have been sent.
_UNANSWERED_ERRORS = (
    defer.TimeoutError,
    # The server closed the connection while the request was written.
    RequestTransmissionFailed,
    ResponseNeverReceived,
    ResponseFailed,
)


class NotSentError(TurnwardError):
    """No connection could be opened, so no byte of the request was sent."""


class SentUnansweredError(TurnwardError):
    """The request may have been sent, in full or in part, but no complete response was received."""


class HttpResponse(msgspec.Struct):
    """A response's head, and its body unless that is streamed."""

    status: int
    headers: dict[str, str]
    body: bytes = b""


def abort_request(request) -> None:
    """Reset the connection of a ``twisted.web`` server request."""
    request.channel.transport.abortConnection()


class _Collector(Protocol):
    """Forwards body bytes and reports how the body ended."""

    def __init__(self, on_data, finished):
        self._on_data = on_data
        self._finished = finished

    def dataReceived(self, data):
        self._on_data(data)

    def connectionLost(self, reason):
        if self._finished.called:
            return
        if reason.check(ResponseDone):
            self._finished.callback(None)
        else:
            self._finished.errback(SentUnansweredError("the response is incomplete"))


def _has_valid_status_line(response) -> bool:
    """Return whether a response of Twisted's client has a valid status and version."""
    protocol, major, minor = response.version
    return protocol == b"HTTP" and is_valid_status_line(response.code, f"{major}.{minor}")


class HttpClient:
    """Sends requests with a time limit; its errors tell whether a request may have been sent.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    connect_timeout_s : float
        Time limit for opening a connection.
    persistent : bool
        Reuse connections for further requests. The server may close an idle
        connection at any time, so requests that must not be sent twice need a
        new one.
    """

    def __init__(self, reactor, connect_timeout_s=1.0, persistent=True):
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor, persistent=persistent)
        self._pool.maxPersistentPerHost = 16
        self._pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=connect_timeout_s, pool=self._pool)

    async def request(self, method, url, body=b"", headers=None, timeout_s=5.0) -> HttpResponse:
        """Send a request and read the complete response.

        Raises
        ------
        NotSentError
            No byte of the request was sent.
        SentUnansweredError
            No complete response was received within ``timeout_s``.
        """
        chunks: list[bytes] = []
        response = await self.stream(
            method, url, chunks.append, body=body, headers=headers, timeout_s=timeout_s
        )
        response.body = b"".join(chunks)
        return response

    async def stream(
        self, method, url, on_data, on_head=None, body=b"", headers=None, timeout_s=5.0
    ) -> HttpResponse:
        """Send a request and pass the response's body to ``on_data`` as it arrives.

        ``on_head`` is called with the ``HttpResponse`` before the first byte of the body.
        Cancelling the awaiting deferred closes the connection.
        """
        wire_headers = Headers({key: [value] for key, value in (headers or {}).items()})
        producer = FileBodyProducer(BytesIO(body)) if body else None
        sent = self._agent.request(method.encode(), url.encode(), wire_headers, producer)
        try:
            response = await sent.addTimeout(timeout_s, self._reactor)
        except _NOT_SENT_ERRORS as failure:
            raise NotSentError(f"no connection to {url}: {failure}") from failure
        except _UNANSWERED_ERRORS as failure:
            raise SentUnansweredError(f"no response from {url}") from failure
        except error.ConnectionLost as failure:
            raise SentUnansweredError(f"connection to {url} lost") from failure
        if not _has_valid_status_line(response):
            response._transport.loseConnection()
            raise SentUnansweredError(f"invalid response from {url}")
        head = HttpResponse(
            response.code,
            {
                name.decode().lower(): values[-1].decode("latin-1")
                for name, values in response.headers.getAllRawHeaders()
            },
        )
        if on_head is not None:
            on_head(head)
        finished = defer.Deferred(lambda _: response._transport.loseConnection())
        response.deliverBody(_Collector(on_data, finished))
        try:
            await finished.addTimeout(timeout_s, self._reactor)
        except (defer.TimeoutError, defer.CancelledError) as failure:
            raise SentUnansweredError(f"no complete response from {url}") from failure
        return head

    def close(self):
        """Close idle connections; return a deferred."""
        return self._pool.closeCachedConnections()
