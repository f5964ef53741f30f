# SPDX-License-Identifier: BSD-3-Clause
"""The client side: persistent connections to one address and the exchanges on them.

An exchange is one request and its response. A failed exchange reports whether
any byte of the request was sent and whether any byte of a response was received.
Responses repeat the request's id. A response with another id is a late response
to an earlier request and is skipped.
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
    BodyFraming,
    HeaderList,
    connection_tokens,
    has_known_transfer_encoding,
    header_value,
    is_valid_status_line,
    keep_alive_s,
    response_framing,
)
from turnward.http1.progress_bounds import ProgressBounds
from turnward.link_use import LinkUse

__all__ = [
    "ResponseMatch",
    "ExchangeBase",
    "ExchangeFailure",
    "FailureCause",
    "OutboundConnection",
    "OutboundPool",
]

#: TCP keepalive: idle time before the first probe, interval, and number of unanswered probes.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
#: Time within which sent bytes must be acknowledged.
_USER_TIMEOUT_MS = 2_500
#: Maximum idle time of a reusable connection if the peer does not announce one.
_DEFAULT_REUSE_LIMIT_S = 4.0
#: Age up to which a connection may have been opened after its peer's process restarted.
_RECENTLY_OPENED_S = 1.0
#: Time within which connections that a peer closes count as closed at once.
_AT_ONCE_S = 0.25
#: Most closed connections that are remembered.
_MAX_CLOSED = 8
#: An idle connection is closed this long before the idle timeout that the peer announced.
_REUSE_MARGIN_S = 0.6


class FailureCause(StrEnum):
    """Why an exchange ended without a complete response.

    ``FOREIGN`` is a response without the request's id.
    """

    CONNECT = "connect"
    CLOSED = "closed"
    RESET = "reset"
    MALFORMED = "malformed"
    FOREIGN = "foreign"


class ExchangeFailure(msgspec.Struct, frozen=True):
    """Why an exchange failed, and how far it got.

    Attributes
    ----------
    sent : bool
        Whether any byte of the request may have been sent.
    answered : bool
        Whether any byte was received on the connection during the exchange.
    reused : bool
        Whether the connection was used for an earlier exchange.
    connect_error : str
        Name of the error because of which no connection was opened; empty if one was.
    """

    cause: FailureCause
    sent: bool
    answered: bool
    reused: bool
    connect_error: str = ""


class ResponseMatch(StrEnum):
    """Which request a response belongs to; ``INVALID`` if it has no request id."""

    OWN = "own"
    EARLIER = "earlier"
    INVALID = "invalid"


class ExchangeBase(ABC):
    """One request and the receiver of its response.

    Attributes
    ----------
    response_id : tuple of bytes or None
        Header name and value that the response must have; None accepts any.
    method : bytes
        The request's method. A response to ``HEAD`` has no body.
    """

    response_id: tuple[bytes, bytes] | None = None
    method: bytes = b"GET"

    def match(self, status: int, headers: HeaderList) -> ResponseMatch:
        """Return which request a response belongs to; another id means an earlier request."""
        if self.response_id is None:
            return ResponseMatch.OWN
        found = header_value(headers, self.response_id[0])
        if found is None:
            return ResponseMatch.INVALID
        return ResponseMatch.OWN if found == self.response_id[1] else ResponseMatch.EARLIER

    @abstractmethod
    def exchange_started(self, connection: "OutboundConnection") -> None:
        """Send the request; the connection is ready."""

    @abstractmethod
    def head_received(self, status: int, headers: HeaderList) -> None:
        """Process the response's head."""

    @abstractmethod
    def body_received(self, data: bytes) -> None:
        """Process a part of the response's body."""

    @abstractmethod
    def response_ended(self) -> None:
        """Handle the end of a complete response."""

    def end_in_doubt(self, connection: "OutboundConnection") -> None:
        """Confirm, at once or later, the end of a response that only its connection's end tells."""
        connection.confirm_end(complete=True)

    @abstractmethod
    def exchange_failed(self, failure: ExchangeFailure) -> None:
        """Handle a failure; no complete response will follow."""

    def sending_paused(self) -> None:  # noqa: B027
        """Stop sending the body; the connection's send buffer is full."""

    def sending_resumed(self) -> None:  # noqa: B027
        """Continue to send the body."""


class OutboundConnection(Protocol):
    """A connection to an endpoint, used for one exchange at a time."""

    noisy = False

    def __init__(self, pool):
        self._pool = pool
        self._parser = None
        self._exchange: ExchangeBase | None = None
        self._headers: HeaderList = []
        self._skipping = False
        self._in_body = False
        self._body_until_close = False
        self._complete = False
        self._answered = False
        self._request_complete = False
        self._usable = True
        self._lost = False
        self._paused = False
        self._bounds = ProgressBounds()
        self.sent = False
        self.exchanges = 0
        self.opened_in_s = 0.0
        self.idle_since_s = 0.0
        self.reuse_limit_s = _DEFAULT_REUSE_LIMIT_S

    # twisted

    def connectionMade(self):
        """Configure the socket and start the exchange."""
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
        self.transport.registerProducer(self, True)
        self._pool.connected(self)

    def connectionLost(self, reason):
        """End the current exchange, if any."""
        self._lost = True
        self._usable = False
        self._pool.lost(self)
        if self._exchange is None:
            return
        clean = reason.check(error.ConnectionDone) is not None
        if clean and self._in_body and self._body_until_close and not self._skipping:
            self._exchange.end_in_doubt(self)
            return
        self._fail(FailureCause.CLOSED if clean else FailureCause.RESET)

    def dataReceived(self, data):
        """Parse received bytes."""
        self._pool.link_use.received += len(data)
        if self._exchange is None:
            # Bytes outside an exchange: the connection is in an unknown state.
            self.drop()
            return
        self._answered = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as failure:
            if isinstance(failure, httptools.HttpParserCallbackError):
                self._pool.report_error(failure.__context__ or failure)
            if self._exchange is not None:
                self._fail(FailureCause.MALFORMED)
            self.drop()
        if self._complete:
            self._release()
        elif self._exchange is None:
            self.drop()
        elif self._bounds.exceeded_after(len(data)):
            self._fail(FailureCause.MALFORMED)
            self.drop()

    # IPushProducer: flow control of request bodies.

    def pauseProducing(self):
        """Stop sending the body."""
        if self._exchange is not None:
            self._exchange.sending_paused()

    def resumeProducing(self):
        """Continue to send the body."""
        if self._exchange is not None:
            self._exchange.sending_resumed()

    def stopProducing(self):
        """Do nothing; ``connectionLost`` follows."""

    # Used by exchanges.

    def begin(self, exchange: ExchangeBase) -> None:
        """Start an exchange on this idle connection."""
        self._resume_reading()
        self._exchange = exchange
        self._parser = httptools.HttpResponseParser(self)
        self._skipping = False
        self._in_body = False
        self._complete = False
        self._answered = False
        self._request_complete = False
        self._bounds = ProgressBounds()
        self.sent = False
        self.exchanges += 1
        exchange.exchange_started(self)

    def send(self, data: bytes, last: bool) -> None:
        """Send bytes of the request."""
        if self._lost:
            return
        self.sent = True
        self._request_complete = last
        self._pool.link_use.sent += len(data)
        self.transport.write(data)

    def pause(self, exchange: ExchangeBase) -> None:
        """Stop reading from the endpoint until the exchange, if still in progress, resumes."""
        if exchange is self._exchange and not self._paused and not self._lost:
            self._paused = True
            self.transport.pauseProducing()

    def resume(self, exchange: ExchangeBase) -> None:
        """Continue to read from the endpoint."""
        if exchange is self._exchange:
            self._resume_reading()

    def confirm_end(self, complete: bool) -> None:
        """End the response whose connection has ended, unless the exchange was cancelled."""
        if self._exchange is None:
            return
        if complete:
            self._end()
        else:
            self._fail(FailureCause.CLOSED)

    def release_unused(self) -> None:
        """Return the connection of an exchange that has sent nothing to the pool."""
        if self._answered:
            self.drop()
            return
        self._exchange = None
        self._release()

    def drop(self) -> None:
        """Abandon the current exchange, if any, and reset the connection."""
        self._exchange = None
        self._usable = False
        if not self._lost:
            self.transport.abortConnection()

    # httptools

    def on_message_begin(self):
        """Prepare for a new response."""
        self._headers = []
        self._in_body = False
        if self._complete:
            self._usable = False

    def on_header(self, name, value):
        """Collect a header; trailers are ignored."""
        if not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Pass the head to the exchange, unless it belongs to an earlier one."""
        status = self._parser.get_status_code()
        is_valid = is_valid_status_line(status, self._parser.get_http_version())
        if not is_valid or not has_known_transfer_encoding(self._headers):
            self._reject_head()
            return
        self._pool.note_head(status, self._headers)
        if self._exchange is None or self._complete or 100 <= status < 200:
            return
        match = self._exchange.match(status, self._headers)
        if match is ResponseMatch.INVALID:
            self._fail(FailureCause.FOREIGN)
            return
        self._skipping = match is ResponseMatch.EARLIER
        self._in_body = True
        framing = response_framing(status, self._headers)
        self._body_until_close = framing is BodyFraming.CONNECTION
        if self._skipping:
            self._usable = False
            return
        if not self._parser.should_keep_alive() or self._body_until_close:
            self._usable = False
        if b"close" in connection_tokens(self._headers):
            self._usable = False
        announced_s = keep_alive_s(self._headers)
        self.reuse_limit_s = (
            _DEFAULT_REUSE_LIMIT_S
            if announced_s is None
            else max(0.0, announced_s - _REUSE_MARGIN_S)
        )
        exchange = self._exchange
        exchange.head_received(status, self._headers)
        if exchange.method == b"HEAD" and self._exchange is exchange:
            self._usable = False
            self._end()

    def _reject_head(self) -> None:
        """Fail the exchange, if any, because of a head that is none."""
        self._usable = False
        if self._exchange is not None:
            self._fail(FailureCause.MALFORMED)

    def on_body(self, body):
        """Pass a part of the body to the exchange."""
        if self._exchange is None or not self._in_body:
            return
        if self._skipping:
            self._bounds.note_skipped()
        else:
            self._bounds.note_body()
            self._exchange.body_received(body)

    def on_message_complete(self):
        """End the exchange, or the skipping of a late response."""
        if not self._in_body or self._exchange is None:
            return
        self._in_body = False
        if self._skipping:
            self._skipping = False
            return
        if not self._request_complete:
            # The response was complete before the request. The rest of the request's body
            # must not reach the endpoint as a new request.
            self._usable = False
        self._end()

    # Ends of exchanges.

    def _end(self) -> None:
        self._complete = True
        exchange, self._exchange = self._exchange, None
        self._resume_reading()
        exchange.response_ended()

    def _resume_reading(self) -> None:
        if self._paused and not self._lost:
            self._paused = False
            self.transport.resumeProducing()

    def _release(self) -> None:
        """Return the connection to the pool after parsing all bytes received with the response."""
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
    def busy(self) -> bool:
        """Whether an exchange is in progress."""
        return self._exchange is not None

    @property
    def connect_ms(self) -> float | None:
        """Time in which the connection opened; None from the second exchange on it on."""
        return round(self.opened_in_s * 1_000, 1) if self.exchanges == 1 else None

    @property
    def usable(self) -> bool:
        """Whether the connection may be used for another exchange."""
        return self._usable and not self._lost


class _ConnectionAttempt(ClientFactory):
    """Opens one connection for one exchange."""

    noisy = False

    def __init__(self, pool, exchange, started_s: float):
        self._pool = pool
        self.exchange = exchange
        self.started_s = started_s
        self.connector = None

    def buildProtocol(self, addr):
        """Return the protocol of a new connection."""
        protocol = OutboundConnection(self._pool)
        self._pool.pending[protocol] = self
        return protocol

    def clientConnectionFailed(self, connector, reason):
        self._pool.connect_failed(self, reason.type.__name__)


class OutboundPool:
    """Connections to one address.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    address : tuple of str and int
        IP address and port.
    connect_timeout_s : float
        Time limit for opening a connection.
    on_error : callable, optional
        Called with an exception raised by a method of an exchange.
    on_head : callable, optional
        Called with status and headers of each response head that is received, including interim
        (1xx) and late responses and those without the request's id.
    link_use : LinkUse, optional
        Told of the bytes and openings of all connections; may be shared with other pools.
    """

    def __init__(
        self,
        reactor,
        address: tuple[str, int],
        connect_timeout_s: float = 1.0,
        on_error=None,
        on_head: Callable[[int, HeaderList], None] | None = None,
        link_use: LinkUse | None = None,
    ):
        self._reactor = reactor
        self._address = address
        self._on_error = on_error
        self._on_head = on_head
        self.connect_timeout_s = connect_timeout_s
        self.link_use = link_use or LinkUse()
        self._idle: deque[OutboundConnection] = deque()
        self._closed = False
        #: Called when the peer has closed a connection, and all that remain were opened just now.
        self.on_all_closed: Callable[[], None] = _ignore
        self.pending: dict[OutboundConnection, _ConnectionAttempt] = {}
        #: When the peer has closed connections lately.
        self._closed_s: deque[float] = deque(maxlen=_MAX_CLOSED)
        #: When each open connection was opened.
        self._opened_s: dict[OutboundConnection, float] = {}

    @property
    def oldest_open_s(self) -> float | None:
        """When the oldest of the open connections was opened; None without any."""
        return min(self._opened_s.values(), default=None)

    def has_connection_since(self, time_s: float) -> bool:
        """Return whether a connection is open that was opened by a given time."""
        oldest_s = self.oldest_open_s
        return oldest_s is not None and oldest_s <= time_s

    @property
    def closed_at_once(self) -> int:
        """Number of connections that the peer has closed just now."""
        since_s = self._reactor.seconds() - _AT_ONCE_S
        return sum(closed_s >= since_s for closed_s in self._closed_s)

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    def has_idle(self, max_idle_s: float) -> bool:
        """Return whether an open connection has been idle for no longer than a given time."""
        since_s = self._reactor.seconds() - max_idle_s
        return bool(self._idle) and self._idle[-1].idle_since_s >= since_s

    def start(
        self,
        exchange: ExchangeBase,
        max_idle_s: float | None = None,
        connect_timeout_s: float | None = None,
    ) -> "ExchangeHandle":
        """Run an exchange on an idle connection, or open a new one.

        Parameters
        ----------
        max_idle_s : float, optional
            Maximum idle time of a connection that is reused, in addition to the peer's
            announced idle timeout.
        connect_timeout_s : float, optional
            Time limit for opening a connection, if not that of the pool.
        """
        connection = self._take_idle(max_idle_s)
        if connection is not None:
            connection.begin(exchange)
            return ExchangeHandle(connection, None)
        return self.open(exchange, connect_timeout_s)

    def open(
        self, exchange: ExchangeBase, connect_timeout_s: float | None = None
    ) -> "ExchangeHandle":
        """Run an exchange on a new connection."""
        connection_attempt = _ConnectionAttempt(self, exchange, self._reactor.seconds())
        host, port = self._address
        connection_attempt.connector = self._reactor.connectTCP(
            host,
            port,
            connection_attempt,
            timeout=self.connect_timeout_s if connect_timeout_s is None else connect_timeout_s,
        )
        return ExchangeHandle(None, connection_attempt)

    def call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Call a function after some time."""
        self._reactor.callLater(delay_s, function)

    def report_error(self, failure: Exception) -> None:
        """Report an exception raised by an exchange."""
        if self._on_error is not None:
            self._on_error(failure)

    def note_head(self, status: int, headers: HeaderList) -> None:
        """Report a received response head."""
        if self._on_head is not None:
            self._on_head(status, headers)

    def close(self) -> None:
        """Close idle connections; busy ones close after their exchange."""
        self._closed = True
        while self._idle:
            self._idle.popleft().drop()

    def trim(self, now_s: float) -> None:
        """Close connections that have been idle for too long."""
        kept = deque()
        for connection in self._idle:
            if now_s - connection.idle_since_s > connection.reuse_limit_s:
                connection.drop()
            else:
                kept.append(connection)
        self._idle = kept

    def _take_idle(self, max_idle_s: float | None) -> OutboundConnection | None:
        now_s = self._reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            if not connection.usable or idle_s > connection.reuse_limit_s:
                connection.drop()
                continue
            if max_idle_s is not None and idle_s > max_idle_s:
                self._idle.append(connection)
                return None
            return connection
        return None

    # Called by connections.

    def connected(self, connection: OutboundConnection) -> None:
        """Start the exchange that the connection was opened for."""
        now_s = self._reactor.seconds()
        self._opened_s[connection] = now_s
        connection_attempt = self.pending.pop(connection)
        connection.opened_in_s = now_s - connection_attempt.started_s
        self.link_use.on_opened(connection.opened_in_s)
        exchange, connection_attempt.exchange = connection_attempt.exchange, None
        if exchange is None:
            connection.drop()
        else:
            connection_attempt.connection = connection
            connection.begin(exchange)

    def connect_failed(self, connection_attempt: _ConnectionAttempt, error_name: str) -> None:
        """Fail the exchange; nothing was sent."""
        exchange, connection_attempt.exchange = connection_attempt.exchange, None
        if exchange is not None:
            failure = ExchangeFailure(FailureCause.CONNECT, False, False, False, error_name)
            exchange.exchange_failed(failure)

    def released(self, connection: OutboundConnection) -> None:
        """Add a connection to the idle ones."""
        if self._closed:
            connection.drop()
            return
        connection.idle_since_s = self._reactor.seconds()
        self._idle.append(connection)

    def lost(self, connection: OutboundConnection) -> None:
        """Remove a closed connection."""
        self._opened_s.pop(connection, None)
        closed_by_peer = connection.busy
        if connection in self._idle:
            self._idle.remove(connection)
            closed_by_peer = True
        if closed_by_peer:
            self._closed_s.append(self._reactor.seconds())
        if closed_by_peer and not self._has_connection_from_before():
            self.on_all_closed()

    def _has_connection_from_before(self) -> bool:
        """Return whether a connection is open that the peer's process has had for some time.

        Others may have been opened after it restarted, before the loss of the earlier ones was
        noticed.
        """
        return self.has_connection_since(self._reactor.seconds() - _RECENTLY_OPENED_S)


class ExchangeHandle:
    """Cancels an exchange in progress."""

    __slots__ = ("_connection_attempt", "_connection")

    def __init__(self, connection, connection_attempt):
        self._connection = connection
        self._connection_attempt = connection_attempt

    def cancel(self) -> None:
        """Reset the exchange's connection, without calling the exchange's methods."""
        connection_attempt = self._connection_attempt
        if connection_attempt is None:
            self._connection.drop()
            return
        if connection_attempt.exchange is not None:
            connection_attempt.exchange = None
            connection_attempt.connector.disconnect()
        elif getattr(connection_attempt, "connection", None) is not None:
            connection_attempt.connection.drop()


def _ignore() -> None:
    """Default for callbacks."""
