# SPDX-License-Identifier: BSD-3-Clause
"""Whole calls over kept connections: a request, a bounded answer, a time limit."""

import msgspec
from twisted.internet import defer

from turnward.http1.errors import NotSentError, UnansweredError
from turnward.http1.framing import HeaderList, encode_request_head
from turnward.http1.outbound import ExchangeBase, OutboundPool

__all__ = ["HttpCaller", "HttpReply"]

#: Largest answer that is read, in bytes.
_REPLY_LIMIT_BYTES = 64 * 1024 * 1024


class HttpReply(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    headers: HeaderList
    body: bytes


class _Call(ExchangeBase):
    """One call whose answer is gathered."""

    def __init__(self, method: bytes, request: bytes):
        self.method = method
        self._request = request
        self._status = 0
        self._headers: HeaderList = []
        self._chunks: list[bytes] = []
        self._bytes = 0
        self.attempt = None
        self.connection = None
        self.reply: defer.Deferred = defer.Deferred(lambda _: self.cancel())

    def cancel(self) -> None:
        """Give the call up."""
        if self.attempt is not None:
            self.attempt.cancel()

    @property
    def sent(self) -> bool:
        """Whether a byte may have left."""
        return self.connection is not None

    @property
    def received_bytes(self) -> int:
        """How much of the answer's body has come."""
        return self._bytes

    def exchange_began(self, connection):
        self.connection = connection
        connection.send(self._request, last=True)

    def head_received(self, status, headers):
        self._status = status
        self._headers = headers

    def body_received(self, data):
        self._bytes += len(data)
        self._chunks.append(data)
        if self._bytes > _REPLY_LIMIT_BYTES:
            self.cancel()
            self._fail(UnansweredError("the answer is too large"))

    def answer_ended(self):
        if not self.reply.called:
            self.reply.callback(HttpReply(self._status, self._headers, b"".join(self._chunks)))

    def exchange_failed(self, failure):
        if failure.sent:
            self._fail(UnansweredError(f"the connection ended: {failure.cause}"))
        else:
            self._fail(NotSentError(f"no connection: {failure.cause}"))

    def _fail(self, failure) -> None:
        if not self.reply.called:
            self.reply.errback(failure)


class HttpCaller:
    """Calls one address.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    address : tuple of str and int
        IP number and port.
    connect_timeout_s : float
        Limit for opening a connection.
    """

    def __init__(self, reactor, address: tuple[str, int], connect_timeout_s: float = 1.0):
        self._reactor = reactor
        self._host = f"{address[0]}:{address[1]}".encode()
        self._pool = OutboundPool(reactor, address, connect_timeout_s)

    async def call(
        self, method: bytes, target: bytes, body: bytes = b"", timeout_s: float = 2.0
    ) -> HttpReply:
        """Send a request and return the whole answer.

        Raises
        ------
        NotSentError
            Nothing was sent.
        UnansweredError
            No whole answer came within ``timeout_s``; it may have been sent.
        """
        headers = [(b"host", self._host)]
        if body or method in (b"POST", b"PUT"):
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        call = _Call(method, encode_request_head(method, target, headers) + body)
        call.attempt = self._pool.start(call)
        self._pool.trim(self._reactor.seconds())
        try:
            return await call.reply.addTimeout(timeout_s, self._reactor)
        except (defer.TimeoutError, defer.CancelledError) as failure:
            kind = UnansweredError if call.sent else NotSentError
            so_far = f", {call.received_bytes} bytes of it came" if call.received_bytes else ""
            raise kind(f"no answer within {timeout_s} s{so_far}") from failure

    def close(self) -> None:
        """Close kept connections."""
        self._pool.close()
