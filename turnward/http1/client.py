# SPDX-License-Identifier: BSD-3-Clause
"""HTTP calls over persistent connections, with limits on response time and size."""

from collections.abc import Callable

import msgspec
from twisted.internet import defer

from turnward.http1.errors import NotSentError, UnansweredError
from turnward.http1.framing import HeaderList, encode_request_head
from turnward.http1.outbound import ExchangeBase, OutboundPool
from turnward.link_use import LinkUse

__all__ = ["HttpCaller", "HttpReply"]

#: Maximum size of a response body.
_RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024
#: Maximum time after the call's timeout for which a response may continue to arrive. It ends one
#: that trickles in, and is far more than the largest table takes on a narrow link.
_RECEIVE_LIMIT_S = 30.0


class HttpReply(msgspec.Struct, frozen=True):
    """A complete response.

    Attributes
    ----------
    head_received_s : float
        Time by the reactor's clock when the head was received. A large body may be complete only
        seconds later.
    """

    status: int
    headers: HeaderList
    body: bytes
    head_received_s: float


class _Call(ExchangeBase):
    """An exchange that collects its response."""

    def __init__(self, method: bytes, request: bytes, clock: Callable[[], float]):
        self.method = method
        self._request = request
        self._clock = clock
        self._head_received_s = 0.0
        self._status = 0
        self._headers: HeaderList = []
        self._body = bytearray()
        self.attempt = None
        self.connection = None
        self.reply: defer.Deferred = defer.Deferred(lambda _: self.cancel())

    def cancel(self) -> None:
        """Abort the call."""
        if self.attempt is not None:
            self.attempt.cancel()

    @property
    def sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return self.connection is not None

    @property
    def received_bytes(self) -> int:
        """Size of the response body received so far."""
        return len(self._body)

    def exchange_started(self, connection):
        self.connection = connection
        connection.send(self._request, last=True)

    def head_received(self, status, headers):
        self._status = status
        self._headers = headers
        self._head_received_s = self._clock()

    def body_received(self, data):
        self._body += data
        if len(self._body) > _RESPONSE_LIMIT_BYTES:
            self.cancel()
            self._fail(UnansweredError("the response body is too large"))

    def response_ended(self):
        if not self.reply.called:
            body = bytes(self._body)
            self.reply.callback(HttpReply(self._status, self._headers, body, self._head_received_s))

    def exchange_failed(self, failure):
        if failure.sent:
            self._fail(UnansweredError(f"no complete response: {failure.cause}"))
        else:
            self._fail(NotSentError(f"could not connect: {failure.cause}"))

    def _fail(self, failure) -> None:
        if not self.reply.called:
            self.reply.errback(failure)


class _TimeLimit:
    """Aborts a call whose response does not begin in time or stalls.

    Progress is checked once per read timeout, so a stalled response is aborted within two of them.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    call : _Call
        The call to abort.
    timeout_s : float
        Time limit for the complete response, or for the first bytes of its body if there is a read
        timeout.
    read_timeout_s : float or None
        Time limit for each further part of the body. If None, ``timeout_s`` is the limit for the
        complete response.
    """

    def __init__(self, reactor, call: _Call, timeout_s: float, read_timeout_s: float | None):
        self._reactor = reactor
        self._call = call
        self._read_timeout_s = read_timeout_s
        self._checked_bytes = 0
        self._deadline_s = reactor.seconds() + timeout_s + _RECEIVE_LIMIT_S
        self._timer = reactor.callLater(timeout_s, self._check)

    def _check(self) -> None:
        """Continue to wait if bytes were received since the last check."""
        received = self._call.received_bytes
        receiving = self._read_timeout_s is not None and received > self._checked_bytes
        if receiving and self._reactor.seconds() < self._deadline_s:
            self._checked_bytes = received
            self._timer = self._reactor.callLater(self._read_timeout_s, self._check)
        else:
            self._call.reply.cancel()

    def stop(self) -> None:
        """Cancel the time limit."""
        if self._timer.active():
            self._timer.cancel()


class HttpCaller:
    """Sends requests to one address.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    address : tuple of str and int
        IP address and port.
    connect_timeout_s : float
        Time limit for opening a connection.
    link_use : LinkUse, optional
        Told of the bytes and openings of all connections; may be shared with other callers.
    """

    def __init__(
        self,
        reactor,
        address: tuple[str, int],
        connect_timeout_s: float = 1.0,
        link_use: LinkUse | None = None,
    ):
        self._reactor = reactor
        self._host = f"{address[0]}:{address[1]}".encode()
        self._pool = OutboundPool(reactor, address, connect_timeout_s, link_use=link_use)

    @property
    def link_use(self) -> LinkUse:
        """What all calls use of the link."""
        return self._pool.link_use

    async def call(
        self,
        method: bytes,
        target: bytes,
        body: bytes = b"",
        timeout_s: float = 2.0,
        read_timeout_s: float | None = None,
        connect_timeout_s: float | None = None,
    ) -> HttpReply:
        """Send a request and return the complete response.

        Parameters
        ----------
        timeout_s : float
            Time limit for the complete response.
        read_timeout_s : float, optional
            Use for large responses, which a fixed time limit would abort on a slow link.
            ``timeout_s`` then applies until the first bytes of the body, and afterwards more bytes
            have to arrive within each ``read_timeout_s``, for a limited total time.

        connect_timeout_s : float, optional
            Time limit for opening a connection, if not that of the caller.

        Raises
        ------
        NotSentError
            No byte of the request was sent.
        UnansweredError
            The request may have been sent, but no complete response was received in time.
        """
        headers = [(b"host", self._host)]
        if body or method in (b"POST", b"PUT"):
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        request = encode_request_head(method, target, headers) + body
        call = _Call(method, request, self._reactor.seconds)
        call.attempt = self._pool.start(call, connect_timeout_s=connect_timeout_s)
        self._pool.trim(self._reactor.seconds())
        limit = _TimeLimit(self._reactor, call, timeout_s, read_timeout_s)
        try:
            return await call.reply
        except defer.CancelledError as failure:
            error_type = UnansweredError if call.sent else NotSentError
            progress = f" ({call.received_bytes} bytes received)" if call.received_bytes else ""
            raise error_type(f"no complete response within {timeout_s} s{progress}") from failure
        finally:
            limit.stop()

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()
