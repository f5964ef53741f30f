# SPDX-License-Identifier: BSD-3-Clause
"""Whole calls over kept connections: a request, a bounded answer, a time limit."""

from collections.abc import Callable

import msgspec
from twisted.internet import defer

from turnward.http1.errors import NotSentError, UnansweredError
from turnward.http1.framing import HeaderList, encode_request_head
from turnward.http1.outbound import ExchangeBase, OutboundPool

__all__ = ["HttpCaller", "HttpReply"]

#: Largest answer that is read, in bytes.
_REPLY_LIMIT_BYTES = 64 * 1024 * 1024
#: Seconds after which an answer is given up that still trickles in: 0.6 MB, the largest table
#: read so far, in so long a time is a thirtieth of a narrow link (5 Mbit/s).
_LONGEST_ANSWER_S = 30.0


class HttpReply(msgspec.Struct, frozen=True):
    """A whole answer.

    Attributes
    ----------
    head_received_s : float
        When its head came, by the reactor's clock; a large body comes seconds later.
    """

    status: int
    headers: HeaderList
    body: bytes
    head_received_s: float


class _Call(ExchangeBase):
    """One call whose answer is gathered."""

    def __init__(self, method: bytes, request: bytes, clock: Callable[[], float]):
        self.method = method
        self._request = request
        self._clock = clock
        self._began_s = 0.0
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

    def exchange_started(self, connection):
        self.connection = connection
        connection.send(self._request, last=True)

    def head_received(self, status, headers):
        self._status = status
        self._headers = headers
        self._began_s = self._clock()

    def body_received(self, data):
        self._bytes += len(data)
        self._chunks.append(data)
        if self._bytes > _REPLY_LIMIT_BYTES:
            self.cancel()
            self._fail(UnansweredError("the answer is too large"))

    def response_ended(self):
        if not self.reply.called:
            body = b"".join(self._chunks)
            self.reply.callback(HttpReply(self._status, self._headers, body, self._began_s))

    def exchange_failed(self, failure):
        if failure.sent:
            self._fail(UnansweredError(f"the connection ended: {failure.cause}"))
        else:
            self._fail(NotSentError(f"no connection: {failure.cause}"))

    def _fail(self, failure) -> None:
        if not self.reply.called:
            self.reply.errback(failure)


class _TimeLimit:
    """Gives a call up when its answer does not begin in time, or stops coming.

    It looks once a limit is over whether bytes came in that time, so what stops is given up after
    two of them at the latest.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    call : _Call
        The call.
    timeout_s : float
        Longest until the answer, or its first byte where a pause is allowed.
    read_timeout_s : float or None
        Longest pause within an answer; None allows none beyond ``timeout_s``.
    """

    def __init__(self, reactor, call: _Call, timeout_s: float, read_timeout_s: float | None):
        self._reactor = reactor
        self._call = call
        self._pause_s = read_timeout_s
        self._seen_bytes = 0
        self._ends_s = reactor.seconds() + timeout_s + _LONGEST_ANSWER_S
        self._timer = reactor.callLater(timeout_s, self._look)

    def _look(self) -> None:
        """Wait on where bytes have come since the last look."""
        received = self._call.received_bytes
        comes = self._pause_s is not None and received > self._seen_bytes
        if comes and self._reactor.seconds() < self._ends_s:
            self._seen_bytes = received
            self._timer = self._reactor.callLater(self._pause_s, self._look)
        else:
            self._call.reply.cancel()

    def stop(self) -> None:
        """Watch no more."""
        if self._timer.active():
            self._timer.cancel()


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
        self,
        method: bytes,
        target: bytes,
        body: bytes = b"",
        timeout_s: float = 2.0,
        read_timeout_s: float | None = None,
    ) -> HttpReply:
        """Send a request and return the whole answer.

        Parameters
        ----------
        timeout_s : float
            Longest until the whole answer.
        read_timeout_s : float, optional
            For answers whose size nothing bounds: ``timeout_s`` then counts until the first bytes,
            and the answer goes on as long as more come in each such time. Given up by the
            clock alone, 0.6 MB never arrive over a link of 5 Mbit/s in 1.2 s, however often they
            are asked for; each try takes its share of the link all the same.

        Raises
        ------
        NotSentError
            Nothing was sent.
        UnansweredError
            No whole answer came in time; it may have been sent.
        """
        headers = [(b"host", self._host)]
        if body or method in (b"POST", b"PUT"):
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        request = encode_request_head(method, target, headers) + body
        call = _Call(method, request, self._reactor.seconds)
        call.attempt = self._pool.start(call)
        self._pool.trim(self._reactor.seconds())
        limit = _TimeLimit(self._reactor, call, timeout_s, read_timeout_s)
        try:
            return await call.reply
        except defer.CancelledError as failure:
            kind = UnansweredError if call.sent else NotSentError
            so_far = f", {call.received_bytes} bytes of it came" if call.received_bytes else ""
            raise kind(f"no answer within {timeout_s} s{so_far}") from failure
        finally:
            limit.stop()

    def close(self) -> None:
        """Close kept connections."""
        self._pool.close()
