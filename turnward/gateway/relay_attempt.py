# SPDX-License-Identifier: BSD-3-Clause
"""One attempt to have a request run by a peer, and the response that comes back through it."""

import msgspec

from turnward.gateway.relay_note import RELAY_PREFIX, RelayNote, without_relay_note
from turnward.gateway.relay_report import RelayReport, without_relay_report
from turnward.gateway.request_turns import AttemptBase
from turnward.gateway.streams import EventSplitter
from turnward.http1 import (
    BodyFraming,
    ExchangeFailure,
    FailureCause,
    HeaderList,
    OutboundPool,
    encode_request_head,
    end_to_end_headers,
    header_value,
    response_framing,
)

__all__ = ["MAX_IDLE_S", "RelayAttempt", "RelayRefusal"]

#: A response up to this size is buffered whole, so that a loss of the peer can still be reported.
_BUFFER_LIMIT_BYTES = 65_536
#: Longest idle time of a connection that carries a relayed request.
MAX_IDLE_S = 1.0


class RelayRefusal(msgspec.Struct, frozen=True):
    """A response of the peer itself, rather than of an endpoint.

    Attributes
    ----------
    status : int
        Its status.
    headers : HeaderList
        Its headers that concern the caller.
    body : bytes
        Its body.
    report : RelayReport or None
        What the peer tells of the request; None if nothing, and the request may have run.
    """

    status: int
    headers: HeaderList
    body: bytes
    report: RelayReport | None

    @classmethod
    def from_response(cls, status: int, headers: HeaderList, body: bytes) -> "RelayRefusal":
        """Return the refusal in a response."""
        report = RelayReport.from_headers(headers)
        return cls(status, without_relay_report(end_to_end_headers(headers)), body, report)

    @property
    def reason(self) -> str:
        """The reason that the peer tells; empty without a report."""
        return self.report.reason if self.report is not None else ""

    @property
    def not_run(self) -> bool:
        """Whether the peer tells that the request has not run."""
        return self.report is not None and self.report.not_run


class RelayAttempt(AttemptBase):
    """One attempt to have a request run by a peer.

    Parameters
    ----------
    owner : ForwardedRequest
        The request.
    relay : Relay
        Told how the attempt ends.
    address : str
        Address of the peer.
    note : RelayNote
        What the peer is told.

    Attributes
    ----------
    sent : bool
        Whether any byte may have been sent.
    reused : bool
        Whether the connection had carried an earlier exchange.
    connect_ms : float or None
        Time in which the connection opened; None if it was open before.
    started_s : float
        When the attempt began.
    """

    is_relay = True

    def __init__(self, owner, relay, address: str, note: RelayNote):
        self._owner = owner
        self._relay = relay
        self._note = note
        self._handle = None
        self._connection = None
        self._status = 0
        self._headers: HeaderList = []
        self._sealed = False
        self._buffered: list[bytes] | None = None
        self._buffered_bytes = 0
        self._splitter = EventSplitter() if owner.streams else None
        self._counted = False
        self.address = address
        self.method = owner.method
        self.response_id = (owner.forwarder.dialect.request_id, owner.request_id)
        self.sent = False
        self.reused = False
        self.connect_ms: float | None = None
        self.started_s = 0.0

    @property
    def destination(self) -> str:
        """Where the request is sent, for logs."""
        return f"peer {self.address}"

    def start(self, pool: OutboundPool, connect_timeout_s: float) -> None:
        """Request a connection to the peer."""
        self._counted = True
        self.started_s = self._owner.forwarder.reactor.seconds()
        self._relay.peers.note_started(self.address)
        handle = pool.start(self, MAX_IDLE_S, connect_timeout_s)
        if not self.ended:
            self._handle = handle

    def cancel(self) -> None:
        """Cancel the attempt and reset its connection, by which the peer learns of it."""
        self._uncount()
        if self._handle is not None:
            self._handle.cancel()

    @property
    def framing(self) -> BodyFraming:
        """What tells where the response ends."""
        return response_framing(self._status, self._headers)

    def pause(self) -> None:
        """Stop reading the response."""
        if self._connection is not None:
            self._connection.pause(self)

    def resume(self) -> None:
        """Resume reading the response."""
        if self._connection is not None:
            self._connection.resume(self)

    # Request.

    def exchange_started(self, connection):
        """Send the whole request."""
        if self.ended:
            connection.drop()
            return
        self._connection = connection
        owner = self._owner
        if not owner.may_still_send:
            connection.drop()
            owner.time_limit_reached()
            return
        if owner.response_paused:
            self.pause()
        self.sent = True
        self.reused = connection.exchanges > 1
        self.connect_ms = connection.connect_ms
        owner.count_attempt()
        connection.send(self._encode_request(), last=True)

    def _encode_request(self) -> bytes:
        owner = self._owner
        dialect = owner.forwarder.dialect
        headers = without_relay_note(owner.headers_for(frozenset((dialect.deadline_ms,))))
        headers.append((dialect.deadline_ms, b"%d" % owner.left_ms))
        headers.extend(self._note.headers())
        body = b"".join(owner.body)
        if body or self.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"content-length", b"%d" % len(body)))
        return encode_request_head(self.method, RELAY_PREFIX + owner.target, headers) + body

    # Response.

    def head_received(self, status, headers):
        """Decide what to do with the response."""
        if self.ended:
            return
        owner = self._owner
        self._status = status
        self._headers = headers
        self._sealed = header_value(headers, owner.forwarder.dialect.answer_seal) is not None
        if self._sealed:
            self._relay.served(owner, self)
        if not self._sealed:
            self._buffered = []
        elif owner.head_sent and status != 200:
            self._fail(FailureCause.MALFORMED)
        elif self._splitter is None or status != 200:
            self._buffered = []
        elif not owner.head_sent:
            self.lease.start(status, headers, self._stream_length())

    def _stream_length(self) -> int | None:
        """Return the length to announce; none if another run may go on with other bytes."""
        return None if self._owner.resumable else self._declared_length()

    def _declared_length(self) -> int | None:
        length = header_value(self._headers, b"content-length")
        return int(length) if length is not None else None

    def body_received(self, data):
        """Forward or buffer a part of the response body."""
        if self.ended:
            return
        if self._buffered is not None:
            self._buffer(data)
        elif self._splitter is None or self._status != 200:
            self.lease.write(data)
        else:
            self._forward_events(data)

    def _forward_events(self, data: bytes) -> None:
        owner = self._owner
        events = self._splitter.feed(data)
        if not events.count:
            if self._splitter.overlong:
                self._fail(FailureCause.MALFORMED)
            return
        if not owner.may_continue_with(events):
            self._fail(FailureCause.MALFORMED)
            return
        owner.note_events(events)
        self.lease.write(events.data)

    def _buffer(self, data: bytes) -> None:
        """Buffer a part of the body; beyond the limit, forward what is buffered."""
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes <= _BUFFER_LIMIT_BYTES:
            return
        if not self._sealed:
            self._fail(FailureCause.MALFORMED)
            return
        buffered, self._buffered = self._buffered, None
        self.lease.start(self._status, self._headers, self._declared_length())
        self.lease.write(b"".join(buffered))

    def response_ended(self):
        """Forward the buffered response."""
        if self.ended:
            return
        if self._sealed and self._splitter is not None and self._splitter.partial:
            self._fail(FailureCause.CLOSED)
            return
        self._uncount()
        owner = self._owner
        body = b"".join(self._buffered) if self._buffered is not None else None
        if not self._sealed:
            refusal = RelayRefusal.from_response(self._status, self._headers, body)
            self._relay.refused(owner, self, refusal)
            return
        if body is not None:
            self.lease.start(self._status, self._headers, len(body))
            self.lease.write(body)
        owner.finish_response(self, self._status)

    def exchange_failed(self, failure):
        """Report the loss of the peer."""
        if self.ended:
            return
        self._uncount()
        self._relay.lost(self._owner, self, failure)

    def _fail(self, cause: FailureCause) -> None:
        """Give up on a response that can't be forwarded."""
        self._uncount()
        self._connection.drop()
        failure = ExchangeFailure(cause, sent=True, answered=True, reused=self.reused)
        self._relay.lost(self._owner, self, failure)

    def _uncount(self) -> None:
        if self._counted:
            self._counted = False
            self._relay.peers.note_ended(self.address)
