# SPDX-License-Identifier: BSD-3-Clause
"""The server side: connections of callers and the requests on them.

A connection serves one request at a time; requests that arrive early wait
unparsed. Bodies stream to whoever attaches; a caller that reads slowly pauses
the answer's source, and one that sends faster than its body is taken is paused
itself.
"""

from collections import deque
from collections.abc import Callable

import httptools
import msgspec
from twisted.internet.protocol import Factory, Protocol

from turnward.http1.framing import (
    HeaderList,
    encode_response_head,
    header_value,
)

__all__ = ["InboundFactory", "InboundLimits", "InboundRequest", "Refusal"]

#: Bytes of a body that wait for a taker before the caller is paused.
_BODY_BUFFER_BYTES = 65_536
#: What a header line takes besides its name and value.
_HEADER_OVERHEAD_BYTES = 4
#: Bytes of further requests that wait on a connection before the caller is paused.
_AHEAD_BUFFER_BYTES = 65_536
#: Seconds between two looks at the time limits of all connections.
_SWEEP_PERIOD_S = 0.5


class InboundLimits(msgspec.Struct):
    """What a caller may send, and how long it may take."""

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class Refusal(msgspec.Struct, frozen=True):
    """The answer to what is not a request that may be served."""

    status: int
    reason: str


class InboundRequest:
    """One request of a caller, and its answer.

    Attributes
    ----------
    method, target : bytes
        As received.
    headers : HeaderList
        As received, names in lower case.
    received_s : float
        When the head was whole, on the steady clock.
    body_complete : bool
        Whether the whole body is in.
    head_sent, finished, gone : bool
        How far the answer is; ``gone`` when the caller left before its end.
    on_disconnect : callable or None
        Called once when the caller leaves before the answer's end.
    on_pause, on_resume : callable or None
        Called when the caller's connection is full, or has room again.
    on_body : callable or None
        Takes body bytes; see ``attach``.
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
        """The body's length as declared; None when it comes in chunks; 0 without a body."""
        length = header_value(self.headers, b"content-length")
        if length is not None:
            return int(length)
        if header_value(self.headers, b"transfer-encoding") is not None:
            return None
        return 0

    def attach(self, on_body, on_body_end) -> None:
        """Give the body to ``on_body`` as it comes, what has come already first."""
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
        """Return the body received so far and not taken by ``attach``."""
        return b"".join(self._pending)

    def pause_body(self) -> None:
        """Hold the caller back until ``resume_body``."""
        if not self.body_complete:
            self._connection.pause_reading()

    def resume_body(self) -> None:
        """Let the caller send on."""
        self._connection.resume_reading()

    def start(self, status: int, headers: HeaderList, length: int | None) -> None:
        """Send the answer's head; without ``length`` the body goes out in chunks."""
        out = list(headers)
        self.closes = self.closes or self._connection.must_close(self)
        if length is not None:
            out.append((b"content-length", b"%d" % length))
        elif self.version == "1.1":
            out.append((b"transfer-encoding", b"chunked"))
            self._chunked = True
        else:
            self.closes = True
        if self.closes:
            out.append((b"connection", b"close"))
        self.head_sent = True
        self._connection.write(self, encode_response_head(status, out))

    def write(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(self, data)

    def finish(self) -> None:
        """End a complete answer."""
        if self.finished or self.gone:
            return
        if self._chunked:
            self._connection.write(self, b"0\r\n\r\n")
        self.finished = True
        self._drop_callbacks()
        self._connection.request_finished(self)

    def answer(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send a whole answer."""
        self.start(status, headers, len(body))
        if self.method != b"HEAD":
            self.write(body)
        self.finish()

    def abort(self) -> None:
        """Cut the connection, so that what was sent can't look complete."""
        if not self.finished:
            self.finished = True
            self._drop_callbacks()
            self._connection.cut()

    def _drop_callbacks(self) -> None:
        self.on_disconnect = self.on_pause = self.on_resume = None
        self.on_body = self.on_body_end = None

    # Called by the connection.

    def body_received(self, data: bytes, limit_bytes: int) -> bool:
        """Take body bytes in; False when the body grows over the limit."""
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
        """Note that the whole body is in."""
        self.body_complete = True
        if self.on_body_end is not None:
            self.on_body_end()

    def caller_disconnected(self) -> None:
        """Note that the caller's connection is closed."""
        self.gone = True
        callback = self.on_disconnect
        self._drop_callbacks()
        if callback is not None and not self.finished:
            callback()


class _InboundConnection(Protocol):
    """One caller's connection.

    ``_current`` is being served. Requests that came in the same packet behind
    it wait in ``_queued``, parsed; later bytes wait in ``_ahead``, unparsed.
    """

    noisy = False

    def __init__(self, factory):
        self._factory = factory
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._headers: HeaderList = []
        self._head_bytes = 0
        self._parsing: InboundRequest | None = None
        self._current: InboundRequest | None = None
        self._queued: deque[InboundRequest] = deque()
        self._ahead: list[bytes] = []
        self._ahead_bytes = 0
        self._switching = False
        self._reading_paused = False
        self._closing = False
        self._broken: Refusal | None = None
        self.idle_since_s = factory.clock()
        self.head_since_s: float | None = None

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
        if self._closing or self._broken is not None:
            return
        if self._switching or (self._current is not None and self._current.body_complete):
            self._hold_back(data)
            return
        self._feed(data)

    # IPushProducer: the caller's side of flow control.

    def pauseProducing(self):
        if self._current is not None and self._current.on_pause is not None:
            self._current.on_pause()

    def resumeProducing(self):
        if self._current is not None and self._current.on_resume is not None:
            self._current.on_resume()

    def stopProducing(self):
        """Nothing to do: ``connectionLost`` follows."""

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
        self._headers.append((name.lower(), value))
        self._head_bytes += len(name) + len(value) + _HEADER_OVERHEAD_BYTES

    def on_headers_complete(self):
        self.head_since_s = None
        request = InboundRequest(
            self,
            self._parser.get_method(),
            self._target,
            self._headers,
            self._parser.get_http_version(),
            self._factory.clock(),
        )
        request.closes = not self._parser.should_keep_alive()
        request.refusal = self._fault_of(request)
        self._parsing = request
        if self._current is None:
            self._begin(request)
        else:
            self._queued.append(request)

    def on_body(self, body):
        request = self._parsing
        if not request.body_received(body, self._factory.limits.body_bytes):
            request.refusal = request.refusal or Refusal(413, "body_too_large")
            if request is self._current and not request.finished:
                self._broken = request.refusal

    def on_message_complete(self):
        request = self._parsing
        request.body_ended()
        if request is self._current and request.finished:
            self._next_request()

    # Called by requests.

    def must_close(self, request) -> bool:
        """Tell whether the answer is the connection's last."""
        return self._factory.draining

    def write(self, request, data) -> None:
        """Send bytes of the current request's answer."""
        if request is self._current and not self._closing:
            self.transport.write(data)

    def request_finished(self, request) -> None:
        """Close, or wait for the next request."""
        if request is not self._current:
            return
        if request.closes:
            self.close()
        elif request.body_complete:
            self._next_request()
        else:
            self.resume_reading()

    def pause_reading(self) -> None:
        """Hold the caller back."""
        if not self._reading_paused and not self._closing:
            self._reading_paused = True
            self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Read on."""
        if self._reading_paused and not self._closing:
            self._reading_paused = False
            self.transport.resumeProducing()

    def close(self) -> None:
        """Close once all that was written is out."""
        if not self._closing:
            self._closing = True
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def cut(self) -> None:
        """Reset the connection."""
        self._closing = True
        self.transport.abortConnection()

    # Called by the factory.

    @property
    def idle(self) -> bool:
        """Whether no request is under way or has begun to arrive."""
        return self._current is None and self.head_since_s is None and not self._ahead

    def enforce_time_limits(self, now_s: float) -> None:
        """Close the connection when its caller takes too long."""
        limits = self._factory.limits
        if self.head_since_s is not None:
            if now_s - self.head_since_s > limits.head_timeout_s:
                self._refuse(Refusal(408, "head_timeout"))
        elif self._current is None and now_s - self.idle_since_s > limits.idle_timeout_s:
            self.close()

    # Parsing.

    def _fault_of(self, request: InboundRequest) -> "Refusal | None":
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
            self._broken = request.refusal
            return
        if (header_value(request.headers, b"expect") or b"").lower() == b"100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        try:
            self._factory.handler(request)
        except Exception as failure:
            # The parser would take a fault of ours for one of the caller's.
            self._factory.note_fault(failure)
            if not request.head_sent:
                request.answer(500, [], b"")
            else:
                request.abort()

    def _feed(self, data: bytes) -> None:
        if self._current is None and self.head_since_s is None:
            self.head_since_s = self._factory.clock()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._broken = Refusal(501, "upgrade_not_supported")
        except httptools.HttpParserCallbackError as failure:
            self._factory.note_fault(failure.__context__ or failure)
            self._broken = Refusal(500, "internal_fault")
            if self._current is not None:
                self._current.refusal = self._broken
        except httptools.HttpParserError:
            self._broken = Refusal(400, "malformed_request")
        if self.head_since_s is not None and self._head_bytes > self._factory.limits.head_bytes:
            self._broken = Refusal(431, "head_too_large")
        if self._broken is not None and self._may_refuse_now():
            self._refuse(self._broken)

    def _may_refuse_now(self) -> bool:
        """Tell whether the fault is in the request being served, or none is served."""
        current = self._current
        return current is None or not current.body_complete or current.refusal is not None

    def _hold_back(self, data: bytes) -> None:
        self._ahead.append(data)
        self._ahead_bytes += len(data)
        if self._ahead_bytes > _AHEAD_BUFFER_BYTES:
            self.pause_reading()

    def _next_request(self) -> None:
        self._current = None
        self.idle_since_s = self._factory.clock()
        if not self._switching:
            self._switching = True
            self._factory.call_soon(self._switch)

    def _switch(self) -> None:
        self._switching = False
        if self._closing:
            return
        if self._queued:
            self._begin(self._queued.popleft())
        elif self._broken is None:
            self.resume_reading()
            ahead, self._ahead = b"".join(self._ahead), []
            self._ahead_bytes = 0
            if ahead:
                self._feed(ahead)
            return
        if self._broken is not None and self._may_refuse_now():
            self._refuse(self._broken)

    def _refuse(self, refusal: "Refusal") -> None:
        """Answer what can't be parsed, where no answer has begun, and close."""
        self.head_since_s = None
        current, self._current = self._current, None
        if current is not None and (current.head_sent or current.finished):
            self.cut()
            return
        if current is not None:
            current.caller_disconnected()
        self._factory.note_refused(refusal)
        body = b'{"error":"%s"}' % refusal.reason.encode()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(body)),
            (b"connection", b"close"),
        ]
        self.transport.write(encode_response_head(refusal.status, headers) + body)
        self.close()


class InboundFactory(Factory):
    """Accepts callers' connections.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    handler : callable
        Called with each ``InboundRequest`` once its head is whole.
    limits : InboundLimits
        May be replaced at any time.
    on_fault : callable, optional
        Told the exception of a handler that failed.
    on_refused : callable, optional
        Told the ``Refusal`` of what was refused before it was a request.
    """

    noisy = False

    def __init__(self, reactor, handler, limits: InboundLimits, on_refused=None, on_fault=None):
        self._reactor = reactor
        self._on_fault = on_fault
        self._on_refused = on_refused
        self.handler = handler
        self.limits = limits
        self.connections: set[_InboundConnection] = set()
        self.draining = False
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
        """Return the protocol of a new connection."""
        return _InboundConnection(self)

    def call_soon(self, function) -> None:
        """Call a function after the current event is dealt with."""
        self._reactor.callLater(0, function)

    def note_refused(self, refusal: Refusal) -> None:
        """Report what was refused before it was a request."""
        if self._on_refused is not None:
            self._on_refused(refusal)

    def note_fault(self, failure: Exception) -> None:
        """Report a fault of the handler."""
        if self._on_fault is not None:
            self._on_fault(failure)

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def cut_all(self) -> None:
        """Reset every connection."""
        for connection in list(self.connections):
            connection.cut()

    def _enforce_time_limits(self) -> None:
        now_s = self._reactor.seconds()
        for connection in list(self.connections):
            connection.enforce_time_limits(now_s)
        self._sweep = self._reactor.callLater(_SWEEP_PERIOD_S, self._enforce_time_limits)
