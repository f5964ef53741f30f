# SPDX-License-Identifier: BSD-3-Clause
"""The client side: kept connections to one address and the exchanges on them.

An exchange is one request and its answer. What is known when it fails is told
apart: whether a byte was sent, and whether a byte of an answer came. Answers
carry back the request's id; one with another id is a late answer to an earlier
request and is skipped.
"""

import socket
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from enum import StrEnum

import httptools
import msgspec
from twisted.internet import error
from twisted.internet.protocol import ClientFactory, Protocol

from turnward.http1.framing import (
    HeaderList,
    connection_tokens,
    header_value,
    keep_alive_s,
)

__all__ = [
    "ResponseMatch",
    "ExchangeBase",
    "ExchangeFailure",
    "FailureCause",
    "OutboundConnection",
    "OutboundPool",
]

#: Seconds of silence after which the kernel asks whether the far machine lives, the pause
#: between two questions, and how many go unanswered.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_PAUSE_S = 1
_KEEPALIVE_PROBES = 2
#: Milliseconds in which sent bytes must be acknowledged.
_USER_TIMEOUT_MS = 2_500
#: Seconds an idle connection is used again when the far side does not say.
_DEFAULT_KEEP_S = 4.0
#: Seconds before the far side's own limit at which an idle connection is given up.
_KEEP_MARGIN_S = 0.6


class FailureCause(StrEnum):
    """What ended an exchange without a whole answer."""

    CONNECT = "connect"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    FOREIGN = "foreign"


class ExchangeFailure(msgspec.Struct, frozen=True):
    """Why an exchange failed, and what is proved.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have left this process.
    answered : bool
        Whether any byte came back on the connection during the exchange.
    reused : bool
        Whether the connection had carried an exchange before.
    """

    cause: FailureCause
    sent: bool
    answered: bool
    reused: bool


class ResponseMatch(StrEnum):
    """Whose answer a head begins."""

    OWN = "own"
    EARLIER = "earlier"
    INVALID = "invalid"


class ExchangeBase(ABC):
    """One request and whoever takes its answer.

    Attributes
    ----------
    response_id : tuple of bytes or None
        Header name and value that the answer must carry; None accepts any.
    method : bytes
        The request's method: an answer to ``HEAD`` has no body.
    """

    response_id: tuple[bytes, bytes] | None = None
    method: bytes = b"GET"

    def match(self, status: int, headers: HeaderList) -> ResponseMatch:
        """Tell whose answer a head begins; one with another id is an earlier request's."""
        if self.response_id is None:
            return ResponseMatch.OWN
        found = header_value(headers, self.response_id[0])
        if found is None:
            return ResponseMatch.INVALID
        return ResponseMatch.OWN if found == self.response_id[1] else ResponseMatch.EARLIER

    @abstractmethod
    def exchange_started(self, connection: "OutboundConnection") -> None:
        """Send the request: the connection is ready."""

    @abstractmethod
    def head_received(self, status: int, headers: HeaderList) -> None:
        """Take the answer's head."""

    @abstractmethod
    def body_received(self, data: bytes) -> None:
        """Take a part of the answer's body."""

    @abstractmethod
    def response_ended(self) -> None:
        """Note that the answer is whole."""

    @abstractmethod
    def exchange_failed(self, failure: ExchangeFailure) -> None:
        """Note that no whole answer will come."""

    def sending_paused(self) -> None:  # noqa: B027
        """Stop sending the body: the far side does not take it."""

    def sending_resumed(self) -> None:  # noqa: B027
        """Send the body on."""


class OutboundConnection(Protocol):
    """A connection to an endpoint; one exchange at a time."""

    noisy = False

    def __init__(self, pool):
        self._pool = pool
        self._parser = None
        self._exchange: ExchangeBase | None = None
        self._headers: HeaderList = []
        self._skipping = False
        self._in_body = False
        self._until_close = False
        self._complete = False
        self._answered = False
        self._request_complete = False
        self._usable = True
        self._lost = False
        self._paused = False
        self.sent = False
        self.exchanges = 0
        self.idle_since_s = 0.0
        self.keep_s = _DEFAULT_KEEP_S

    # twisted

    def connectionMade(self):
        """Start watching the far machine, and the exchange."""
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PAUSE_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        self.transport.registerProducer(self, True)
        self._pool.connected(self)

    def connectionLost(self, reason):
        """End the exchange, if any."""
        self._lost = True
        self._usable = False
        self._pool.lost(self)
        if self._exchange is None:
            return
        clean = reason.check(error.ConnectionDone) is not None
        if clean and self._in_body and self._until_close and not self._skipping:
            self._end()
            return
        self._fail(FailureCause.CLOSED if clean else FailureCause.RESET)

    def dataReceived(self, data):
        """Parse what came."""
        if self._exchange is None:
            # Bytes of no request: nothing on this connection can be trusted any more.
            self.drop()
            return
        self._answered = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as failure:
            if isinstance(failure, httptools.HttpParserCallbackError):
                self._pool.note_fault(failure.__context__ or failure)
            if self._exchange is not None:
                self._fail(FailureCause.MALFORMED)
            self.drop()
        if self._complete:
            self._release()
        elif self._exchange is None:
            self.drop()

    # IPushProducer: the endpoint's side of flow control for request bodies.

    def pauseProducing(self):
        """Stop sending the body."""
        if self._exchange is not None:
            self._exchange.sending_paused()

    def resumeProducing(self):
        """Send the body on."""
        if self._exchange is not None:
            self._exchange.sending_resumed()

    def stopProducing(self):
        """Nothing to do: ``connectionLost`` follows."""

    # Used by exchanges.

    def begin(self, exchange: ExchangeBase) -> None:
        """Start an exchange on this idle connection."""
        self._exchange = exchange
        self._parser = httptools.HttpResponseParser(self)
        self._skipping = False
        self._in_body = False
        self._complete = False
        self._answered = False
        self._request_complete = False
        self.sent = False
        self.exchanges += 1
        exchange.exchange_started(self)

    def send(self, data: bytes, last: bool) -> None:
        """Send bytes of the request."""
        if self._lost:
            return
        self.sent = True
        self._request_complete = last
        self.transport.write(data)

    def pause(self) -> None:
        """Hold the endpoint back."""
        if not self._paused and not self._lost:
            self._paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self._paused and not self._lost:
            self._paused = False
            self.transport.resumeProducing()

    def drop(self) -> None:
        """Give the exchange up, if any, and reset the connection."""
        self._exchange = None
        self._usable = False
        if not self._lost:
            self.transport.abortConnection()

    # httptools

    def on_message_begin(self):
        """Note that an answer begins."""
        self._headers = []
        self._in_body = False
        if self._complete:
            self._usable = False

    def on_header(self, name, value):
        """Gather a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Give the head to the exchange, unless it is an earlier one's."""
        status = self._parser.get_status_code()
        self._pool.note_head(status, self._headers)
        if self._exchange is None or self._complete or 100 <= status < 200:
            return
        match = self._exchange.match(status, self._headers)
        if match is ResponseMatch.INVALID:
            self._fail(FailureCause.FOREIGN)
            return
        self._skipping = match is ResponseMatch.EARLIER
        self._in_body = True
        self._until_close = (
            header_value(self._headers, b"content-length") is None
            and header_value(self._headers, b"transfer-encoding") is None
            and status not in (204, 304)
        )
        if self._skipping:
            self._usable = False
            return
        if not self._parser.should_keep_alive() or self._until_close:
            self._usable = False
        if b"close" in connection_tokens(self._headers):
            self._usable = False
        kept_s = keep_alive_s(self._headers)
        self.keep_s = _DEFAULT_KEEP_S if kept_s is None else max(0.0, kept_s - _KEEP_MARGIN_S)
        exchange = self._exchange
        exchange.head_received(status, self._headers)
        if exchange.method == b"HEAD" and self._exchange is exchange:
            self._usable = False
            self._end()

    def on_body(self, body):
        """Give a part of the body to the exchange."""
        if self._exchange is not None and self._in_body and not self._skipping:
            self._exchange.body_received(body)

    def on_message_complete(self):
        """Note that the answer is whole."""
        if not self._in_body or self._exchange is None:
            return
        self._in_body = False
        if self._skipping:
            self._skipping = False
            return
        if not self._request_complete:
            # The answer came before the whole request was sent: what remains of the
            # body must not reach the endpoint as another request.
            self._usable = False
        self._end()

    # Ends.

    def _end(self) -> None:
        self._complete = True
        exchange, self._exchange = self._exchange, None
        self.resume()
        exchange.response_ended()

    def _release(self) -> None:
        """Keep the connection once all bytes that came with the answer are looked at."""
        self._complete = False
        if self._usable and not self._lost:
            self._pool.released(self)
        elif not self._lost:
            self.transport.abortConnection()

    def _fail(self, cause: FailureCause) -> None:
        exchange, self._exchange = self._exchange, None
        self._usable = False
        failure = ExchangeFailure(cause, self.sent, self._answered, self.exchanges > 1)
        exchange.exchange_failed(failure)

    @property
    def usable(self) -> bool:
        """Whether another exchange may go on this connection."""
        return self._usable and not self._lost


class _Connecting(ClientFactory):
    """Opens one connection for one exchange."""

    noisy = False

    def __init__(self, pool, exchange):
        self._pool = pool
        self.exchange = exchange
        self.connector = None

    def buildProtocol(self, addr):
        """Return the protocol of a new connection."""
        protocol = OutboundConnection(self._pool)
        self._pool.pending[protocol] = self
        return protocol

    def clientConnectionFailed(self, connector, reason):
        self._pool.connect_failed(self)


class OutboundPool:
    """Connections to one address.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    address : tuple of str and int
        IP number and port.
    connect_timeout_s : float
        Limit for opening a connection.
    on_fault : callable, optional
        Told the exception of an exchange's method that failed.
    on_head : callable, optional
        Called with status and headers of each answer that the far side begins, whichever exchange
        it belongs to: late and foreign ones and those between (1xx) among them.
    """

    def __init__(
        self,
        reactor,
        address: tuple[str, int],
        connect_timeout_s: float = 1.0,
        on_fault=None,
        on_head: Callable[[int, HeaderList], None] | None = None,
    ):
        self._reactor = reactor
        self._address = address
        self._on_fault = on_fault
        self._on_head = on_head
        self._connect_timeout_s = connect_timeout_s
        self._idle: deque[OutboundConnection] = deque()
        self._closed = False
        self.pending: dict[OutboundConnection, _Connecting] = {}
        self.open_count = 0

    @property
    def idle_count(self) -> int:
        """Connections that wait for an exchange."""
        return len(self._idle)

    def start(self, exchange: ExchangeBase, max_idle_s: float | None = None) -> "Attempt":
        """Run an exchange on an idle connection, or open one.

        Parameters
        ----------
        max_idle_s : float, optional
            Longest rest after which a connection may be used again, besides
            what its far side says.
        """
        connection = self._take_idle(max_idle_s)
        if connection is not None:
            connection.begin(exchange)
            return Attempt(connection, None)
        connecting = _Connecting(self, exchange)
        host, port = self._address
        connecting.connector = self._reactor.connectTCP(
            host, port, connecting, timeout=self._connect_timeout_s
        )
        return Attempt(None, connecting)

    def note_fault(self, failure: Exception) -> None:
        """Report a fault of an exchange."""
        if self._on_fault is not None:
            self._on_fault(failure)

    def note_head(self, status: int, headers: HeaderList) -> None:
        """Report the head of an answer."""
        if self._on_head is not None:
            self._on_head(status, headers)

    def close(self) -> None:
        """Close idle connections; busy ones close after their exchange."""
        self._closed = True
        while self._idle:
            self._idle.popleft().drop()

    def trim(self, now_s: float) -> None:
        """Close connections that rested too long."""
        keep = deque()
        for connection in self._idle:
            if now_s - connection.idle_since_s > connection.keep_s:
                connection.drop()
            else:
                keep.append(connection)
        self._idle = keep

    def _take_idle(self, max_idle_s: float | None) -> OutboundConnection | None:
        now_s = self._reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            rest_s = now_s - connection.idle_since_s
            if not connection.usable or rest_s > connection.keep_s:
                connection.drop()
                continue
            if max_idle_s is not None and rest_s > max_idle_s:
                self._idle.append(connection)
                return None
            return connection
        return None

    # Called by connections.

    def connected(self, connection: OutboundConnection) -> None:
        """Begin the exchange that the connection was opened for."""
        self.open_count += 1
        connecting = self.pending.pop(connection)
        exchange, connecting.exchange = connecting.exchange, None
        if exchange is None:
            connection.drop()
        else:
            connecting.connection = connection
            connection.begin(exchange)

    def connect_failed(self, connecting: _Connecting) -> None:
        """Tell the exchange that nothing was sent."""
        exchange, connecting.exchange = connecting.exchange, None
        if exchange is not None:
            exchange.exchange_failed(ExchangeFailure(FailureCause.CONNECT, False, False, False))

    def released(self, connection: OutboundConnection) -> None:
        """Keep a connection for the next exchange."""
        if self._closed:
            connection.drop()
            return
        connection.idle_since_s = self._reactor.seconds()
        self._idle.append(connection)

    def lost(self, connection: OutboundConnection) -> None:
        """Forget a connection."""
        self.open_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)


class Attempt:
    """A handle on an exchange under way, to give it up."""

    __slots__ = ("_connecting", "_connection")

    def __init__(self, connection, connecting):
        self._connection = connection
        self._connecting = connecting

    def cancel(self) -> None:
        """End the exchange without a word to it; its connection is reset."""
        connecting = self._connecting
        if connecting is None:
            self._connection.drop()
            return
        if connecting.exchange is not None:
            connecting.exchange = None
            connecting.connector.disconnect()
        elif getattr(connecting, "connection", None) is not None:
            connecting.connection.drop()
