# SPDX-License-Identifier: BSD-3-Clause
"""The server side: connections of callers and the requests on them.

A connection serves one request at a time, and later requests wait. The handler
attaches to a request to receive its body as a stream. A caller that reads slowly
pauses the source of the response, and a caller that sends faster than the body
is processed is paused.
"""

from collections import deque
from collections.abc import Callable

import httptools
import msgspec
from twisted.internet.protocol import Factory, Protocol

from turnward.bounds import Integer, Number
from turnward.http1.framing import (
    HeaderList,
    encode_response_head,
    header_value,
)
from turnward.link_use import LinkUse

__all__ = ["InboundFactory", "InboundLimits", "InboundRequest", "Refusal"]

#: Size of body data awaiting ``attach`` at which reading from the caller is paused.
_BODY_BUFFER_BYTES = 65_536
#: Length of ``": "`` and the line break of a header line.
_HEADER_OVERHEAD_BYTES = 4
#: Bytes of a head that its size leaves out: method, version, spaces and empty lines.
_HEAD_SYNTAX_BYTES = 4_096
#: Most bytes in a row that bring no part of a request's body: chunk extensions and trailers.
_MAX_FRAMING_BYTES = 65_536
#: Size of unparsed later requests at which reading from the caller is paused.
_UNPARSED_BUFFER_BYTES = 65_536
#: Interval of checking the time limits of all connections.
_SWEEP_PERIOD_S = 0.5


class InboundLimits(msgspec.Struct):
    """Limits on the size of requests and on the time that a caller may take."""

    head_bytes: Integer = 16_384
    body_bytes: Integer = 4_194_304
    head_timeout_s: Number = 5.0
    idle_timeout_s: Number = 30.0


class Refusal(msgspec.Struct, frozen=True):
    """The response to a malformed request or one above the limits."""

    status: int
    reason: str


class InboundRequest:
    """One request of a caller and its response.

    Attributes
    ----------
    method, target : bytes
        As received.
    headers : HeaderList
        As received, names in lower case.
    received_s : float
        When the head was complete, by the monotonic clock.
    body_complete : bool
        Whether the complete body was received.
    head_sent, finished, gone : bool
        State of the response; ``gone`` if the caller disconnected before its end.
    closes : bool
        Whether the connection is closed after the response.
    on_disconnect : callable or None
        Called once if the caller disconnects before the end of the response.
    on_pause, on_resume : callable or None
        Called when the connection's send buffer is full, or has room again.
    on_body : callable or None
        Receives parts of the body; see ``attach``.
    """

    __slots__ = (
        "_body_bytes",
        "_chunked",
        "_connection",
        "_pending",
        "_pending_bytes",
        "body_complete",
        "closes",
        "finished",
        "gone",
        "head_sent",
        "headers",
        "method",
        "on_body",
        "on_body_end",
        "on_disconnect",
        "on_pause",
        "on_resume",
        "received_s",
        "refusal",
        "target",
        "version",
    )

    def __init__(self, connection, method, target, headers, version, received_s):
        self._connection = connection
        self._chunked = False
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._body_bytes = 0
        self.method = method
        self.target = target
        self.headers: HeaderList = headers
        self.version = version
        self.received_s = received_s
        self.body_complete = False
        self.head_sent = False
        self.finished = False
        self.gone = False
        self.closes = False
        self.refusal: Refusal | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.on_pause: Callable[[], None] | None = None
        self.on_resume: Callable[[], None] | None = None
        self.on_body: Callable[[bytes], None] | None = None
        self.on_body_end: Callable[[], None] | None = None

    def __repr__(self):
        return f"<InboundRequest {self.method!r} {self.target!r}>"

    @property
    def declared_length(self) -> int | None:
        """The declared length of the body; None if it is chunked, 0 if there is no body."""
        length = header_value(self.headers, b"content-length")
        if length is not None:
            return int(length)
        if header_value(self.headers, b"transfer-encoding") is not None:
            return None
        return 0

    @property
    def sending_paused(self) -> bool:
        """Whether the connection's send buffer is full."""
        return self._connection.sending_paused

    def attach(self, on_body, on_body_end) -> None:
        """Pass the body to ``on_body`` as it arrives, beginning with what was received before."""
        self.on_body = on_body
        self.on_body_end = on_body_end
        pending, self._pending = self._pending, []
        self._pending_bytes = 0
        for data in pending:
            on_body(data)
        if self.body_complete:
            on_body_end()
        else:
            self._connection.resume_reading()

    def pending_body(self) -> bytes:
        """Return the body received so far, if nothing is attached."""
        return b"".join(self._pending)

    def pause_body(self) -> None:
        """Stop reading the body until ``resume_body``."""
        if not self.body_complete:
            self._connection.pause_reading()

    def resume_body(self) -> None:
        """Continue to read the body."""
        self._connection.resume_reading()

    def start(self, status: int, headers: HeaderList, length: int | None) -> None:
        """Send the response's head; without ``length`` the body is sent in chunks.

        If one was sent before, the connection is reset instead.
        """
        if self.head_sent or self.finished:
            self.abort()
            return
        response_headers = list(headers)
        self.closes = self.closes or self._connection.must_close(self)
        if length is not None:
            response_headers.append((b"content-length", b"%d" % length))
        elif self.version == "1.1":
            response_headers.append((b"transfer-encoding", b"chunked"))
            self._chunked = True
        else:
            self.closes = True
        if self.closes:
            response_headers.append((b"connection", b"close"))
        self.head_sent = True
        self._connection.write(self, encode_response_head(status, response_headers))

    def write(self, data: bytes) -> None:
        """Send a part of the response's body."""
        if not data or self.finished:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(self, data)

    def finish(self) -> None:
        """End a complete response."""
        if self.finished or self.gone:
            return
        if self._chunked and self.method != b"HEAD":
            self._connection.write(self, b"0\r\n\r\n")
        self.finished = True
        self._clear_callbacks()
        self._connection.request_finished(self)

    def answer(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send a complete response; reset the connection instead if one has begun."""
        self.start(status, headers, len(body))
        if self.method != b"HEAD":
            self.write(body)
        self.finish()

    def abort(self) -> None:
        """Reset the connection, so that a partial response can't look complete."""
        if not self.finished:
            self.finished = True
            self._clear_callbacks()
            self._connection.reset()

    def _clear_callbacks(self) -> None:
        self.on_disconnect = self.on_pause = self.on_resume = None
        self.on_body = self.on_body_end = None

    # Called by the connection.

    def body_received(self, data: bytes, limit_bytes: int) -> bool:
        """Process a part of the body; return False if the body exceeds the limit."""
        self._body_bytes += len(data)
        if self._body_bytes > limit_bytes:
            return False
        if self.finished or self.refusal is not None:
            return True
        if self.on_body is not None:
            self.on_body(data)
            return True
        self._pending.append(data)
        self._pending_bytes += len(data)
        if self._pending_bytes > _BODY_BUFFER_BYTES:
            self._connection.pause_reading()
        return True

    def body_ended(self) -> None:
        """Handle the end of the body."""
        self.body_complete = True
        if self.on_body_end is not None:
            self.on_body_end()

    def caller_disconnected(self) -> None:
        """Handle the loss of the caller's connection."""
        self.gone = True
        callback = self.on_disconnect
        self._clear_callbacks()
        if callback is not None and not self.finished:
            callback()


class _InboundConnection(Protocol):
    """One caller's connection.

    ``_current`` is being served. Later requests that were received together with
    it are parsed and wait in ``_queued``; bytes received afterwards wait in
    ``_unparsed``. Requests begin in the order in which they arrived.
    """

    noisy = False

    def __init__(self, factory):
        self._factory = factory
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: HeaderList = []
        self._head_bytes = 0
        self._partial_head_bytes = 0
        self._framing_bytes = 0
        self._parsing: InboundRequest | None = None
        self._current: InboundRequest | None = None
        self._queued: deque[InboundRequest] = deque()
        self._unparsed: list[bytes] = []
        self._unparsed_bytes = 0
        self._next_request_scheduled = False
        self._reading_paused = False
        self.sending_paused = False
        self._closing = False
        self._pending_refusal: Refusal | None = None
        self.idle_since_s = factory.clock()
        self.head_started_s: float | None = None

    # twisted

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._factory.connections.add(self)

    def connectionLost(self, reason=None):
        self._factory.connections.discard(self)
        self._closing = True
        current, self._current = self._current, None
        self._queued.clear()
        if current is not None and not current.finished:
            current.caller_disconnected()

    def dataReceived(self, data):
        self._factory.link_use.received += len(data)
        if self._closing or self._pending_refusal is not None:
            return
        if self._next_request_scheduled or (
            self._current is not None and self._current.body_complete
        ):
            self._buffer_unparsed(data)
            return
        self._parse(data)

    # IPushProducer: flow control of responses.

    def pauseProducing(self):
        self.sending_paused = True
        if self._current is not None and self._current.on_pause is not None:
            self._current.on_pause()

    def resumeProducing(self):
        self.sending_paused = False
        if self._current is not None and self._current.on_resume is not None:
            self._current.on_resume()

    def stopProducing(self):
        """Do nothing; ``connectionLost`` follows."""

    # httptools

    def on_message_begin(self):
        self._target = b""
        self._headers = []
        self._head_bytes = 0
        self._parsing = None

    def on_url(self, url):
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name, value):
        if self._parsing is not None:
            # A trailer, of which nothing is used.
            return
        self._headers.append((name.lower(), value))
        self._head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES

    def on_headers_complete(self):
        self.head_started_s = None
        self._framing_bytes = 0
        request = InboundRequest(
            self,
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.get_http_version(),
            self._factory.clock(),
        )
        request.closes = not self._parser.should_keep_alive()
        request.refusal = self._limit_refusal(request)
        self._parsing = request
        if self._is_next:
            self._begin(request)
        else:
            self._queued.append(request)

    def on_body(self, body):
        self._framing_bytes = 0
        request = self._parsing
        if not request.body_received(body, self._factory.limits.body_bytes):
            request.refusal = request.refusal or Refusal(413, "body_too_large")
            if request is self._current and not request.finished:
                self._pending_refusal = request.refusal

    def on_message_complete(self):
        request = self._parsing
        request.body_ended()
        if request is self._current and request.finished:
            self._schedule_next_request()

    # Called by requests.

    def must_close(self, request) -> bool:
        """Return whether the connection has to be closed after the response.

        Requests that were read behind this one are answered first.
        """
        closes = self._factory.draining or self._factory.sheds_connections
        return closes and not self._has_waiting

    def write(self, request, data) -> None:
        """Send bytes of the current request's response."""
        if request is self._current and not self._closing:
            self._write(data)

    def request_finished(self, request) -> None:
        """Close the connection or proceed to the next request."""
        if request is not self._current:
            return
        if request.closes or (self._factory.closes_idle and not self._has_waiting):
            self.close()
        elif request.body_complete:
            self._schedule_next_request()
        else:
            self.resume_reading()

    def pause_reading(self) -> None:
        """Stop reading from the caller."""
        if not self._reading_paused and not self._closing:
            self._reading_paused = True
            self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Continue to read from the caller."""
        if self._reading_paused and not self._closing:
            self._reading_paused = False
            self.transport.resumeProducing()

    def close(self) -> None:
        """Close the connection after sending everything written so far."""
        if not self._closing:
            self._closing = True
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def reset(self) -> None:
        """Reset the connection."""
        self._closing = True
        self.transport.abortConnection()

    # Called by the factory.

    @property
    def idle(self) -> bool:
        """Whether no request is in progress, waits or is partly received."""
        return self._is_next and self.head_started_s is None and not self._unparsed

    @property
    def closing(self) -> bool:
        """Whether the connection is closed once everything written so far has been sent."""
        return self._closing

    def enforce_time_limits(self, now_s: float) -> None:
        """Close the connection if it is idle or its request's head incomplete for too long."""
        limits = self._factory.limits
        if self.head_started_s is not None:
            if now_s - self.head_started_s > limits.head_timeout_s:
                self._refuse(Refusal(408, "head_timeout"))
        elif self._current is None and now_s - self.idle_since_s > limits.idle_timeout_s:
            self.close()

    # Parsing.

    def _limit_refusal(self, request: InboundRequest) -> "Refusal | None":
        limits = self._factory.limits
        if self._head_bytes > limits.head_bytes:
            return Refusal(431, "head_too_large")
        length = header_value(request.headers, b"content-length")
        if length is not None and int(length) > limits.body_bytes:
            return Refusal(413, "body_too_large")
        return None

    def _begin(self, request: InboundRequest) -> None:
        self._current = request
        if request.refusal is not None:
            self._pending_refusal = request.refusal
            return
        if (header_value(request.headers, b"expect") or b"").lower() == b"100-continue":
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            self._factory.handler(request)
        except Exception as failure:
            # Within the parser, this exception would look like a malformed request.
            self._factory.report_error(failure)
            if not request.head_sent:
                request.answer(500, [], b"")
            else:
                request.abort()

    def _parse(self, data: bytes) -> None:
        if self._current is None and self.head_started_s is None:
            self.head_started_s = self._factory.clock()
            self._partial_head_bytes = 0
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._pending_refusal = Refusal(501, "upgrade_not_supported")
        except httptools.HttpParserCallbackError as failure:
            self._factory.report_error(failure.__context__ or failure)
            self._pending_refusal = Refusal(500, "internal_fault")
            if self._current is not None:
                self._current.refusal = self._pending_refusal
        except httptools.HttpParserError:
            self._pending_refusal = Refusal(400, "malformed_request")
        if self.head_started_s is not None:
            self._partial_head_bytes += len(data)
            if self._partial_head_too_large():
                self._pending_refusal = Refusal(431, "head_too_large")
        elif self._framing_bytes > _MAX_FRAMING_BYTES:
            self._pending_refusal = Refusal(400, "malformed_request")
        if self._pending_refusal is not None and self._may_refuse_now():
            self._refuse(self._pending_refusal)

    def _partial_head_too_large(self) -> bool:
        limit_bytes = self._factory.limits.head_bytes
        received_bytes = self._partial_head_bytes - _HEAD_SYNTAX_BYTES
        return self._head_bytes > limit_bytes or received_bytes > limit_bytes

    @property
    def _has_waiting(self) -> bool:
        """Whether anything was read behind the request that is being served."""
        return bool(self._queued or self._unparsed)

    @property
    def _is_next(self) -> bool:
        """Whether the request that arrives next is the next one to be served."""
        waits = self._queued or self._next_request_scheduled
        return self._current is None and not waits

    def _may_refuse_now(self) -> bool:
        """Return whether no request, or the refused request itself, is being served."""
        current = self._current
        if current is None:
            return not self._queued
        return not current.body_complete or current.refusal is not None

    def _buffer_unparsed(self, data: bytes) -> None:
        self._unparsed.append(data)
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > _UNPARSED_BUFFER_BYTES:
            self.pause_reading()

    def _schedule_next_request(self) -> None:
        self._current = None
        self.idle_since_s = self._factory.clock()
        if not self._next_request_scheduled:
            self._next_request_scheduled = True
            self._factory.call_soon(self._start_next_request)

    def _parse_unparsed(self) -> None:
        """Parse what came while another request was served, and read on."""
        if self._pending_refusal is not None:
            return
        self.resume_reading()
        unparsed, self._unparsed = b"".join(self._unparsed), []
        self._unparsed_bytes = 0
        if unparsed:
            self._parse(unparsed)

    def _start_next_request(self) -> None:
        self._next_request_scheduled = False
        if self._closing:
            return
        if self._queued:
            self._begin(self._queued.popleft())
            # One that is answered as it begins leaves the rest to the next call.
            if self._current is not None and not self._current.body_complete:
                self._parse_unparsed()
        elif self._pending_refusal is None:
            self._parse_unparsed()
            if self.idle and self._factory.closes_idle:
                self.close()
            return
        if self._pending_refusal is not None and self._may_refuse_now():
            self._refuse(self._pending_refusal)

    def _refuse(self, refusal: "Refusal") -> None:
        """Send a refusal, unless a response has begun, and close the connection."""
        self.head_started_s = None
        current, self._current = self._current, None
        if current is not None and (current.head_sent or current.finished):
            self.reset()
            return
        if current is not None:
            current.caller_disconnected()
        self._factory.report_refusal(refusal)
        body = b'{"error":"%s"}' % refusal.reason.encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        self._write(encode_response_head(refusal.status, headers) + body)
        self.close()

    def _write(self, data: bytes) -> None:
        self._factory.link_use.sent += len(data)
        self.transport.write(data)


class InboundFactory(Factory):
    """Accepts callers' connections.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    handler : callable
        Called with each ``InboundRequest`` once its head is complete.
    limits : InboundLimits
        May be replaced at any time.
    on_error : callable, optional
        Called with an exception raised by the handler.
    on_refusal : callable, optional
        Called with each ``Refusal`` that is sent.
    """

    noisy = False

    def __init__(self, reactor, handler, limits: InboundLimits, on_refusal=None, on_error=None):
        self._reactor = reactor
        self._on_error = on_error
        self._on_refusal = on_refusal
        self.handler = handler
        self.limits = limits
        self.connections: set[_InboundConnection] = set()
        #: Number of connections that were accepted so far.
        self.accepted = 0
        self.draining = False
        #: Whether connections are closed after the response in progress.
        self.sheds_connections = False
        #: Whether connections are closed once no request is in progress.
        self.closes_idle = False
        self.link_use = LinkUse()
        #: Returns whether a new connection is served; takes the number of those that are open.
        self.takes: Callable[[int], bool] = lambda open_connections: True
        self.clock = reactor.seconds
        self._sweep = None

    def doStart(self):
        """Start enforcing time limits."""
        self._sweep = self._reactor.callLater(_SWEEP_PERIOD_S, self._enforce_time_limits)

    def doStop(self):
        """Stop enforcing time limits."""
        if self._sweep is not None and self._sweep.active():
            self._sweep.cancel()

    def buildProtocol(self, addr):
        """Return the protocol of a new connection; without one it is closed unread."""
        if not self.takes(len(self.connections)):
            return None
        self.accepted += 1
        return _InboundConnection(self)

    def call_soon(self, function) -> None:
        """Call a function after the current event has been processed."""
        self._reactor.callLater(0, function)

    def report_refusal(self, refusal: Refusal) -> None:
        """Report a refused request."""
        if self._on_refusal is not None:
            self._on_refusal(refusal)

    def report_error(self, failure: Exception) -> None:
        """Report an exception raised by the handler."""
        if self._on_error is not None:
            self._on_error(failure)

    def close_idle(self) -> None:
        """Close connections without a request in progress, and others once theirs has ended."""
        self.closes_idle = True
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    @property
    def busy(self) -> bool:
        """Whether a request is in progress, or a response not yet written, on any connection."""
        return any(not connection.idle or connection.closing for connection in self.connections)

    @property
    def closing(self) -> bool:
        """Whether any connection is being closed and not everything has been sent on it."""
        return any(connection.closing for connection in self.connections)

    def reset_all(self) -> None:
        """Reset every connection."""
        for connection in list(self.connections):
            connection.reset()

    def _enforce_time_limits(self) -> None:
        now_s = self._reactor.seconds()
        for connection in list(self.connections):
            connection.enforce_time_limits(now_s)
        self._sweep = self._reactor.callLater(_SWEEP_PERIOD_S, self._enforce_time_limits)
