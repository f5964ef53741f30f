# SPDX-License-Identifier: BSD-3-Clause
"""One attempt to run a request at one endpoint, and the checks of its response."""

from turnward.gateway.abandoned_runs import AbandonedRun
from turnward.gateway.end_check import check_process
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.outcomes import NOT_RUN_STATUSES, Reason
from turnward.gateway.request_turns import AttemptBase
from turnward.gateway.streams import EventSplitter
from turnward.http1 import (
    BodyFraming,
    ExchangeFailure,
    FailureCause,
    HeaderList,
    ResponseMatch,
    header_value,
    response_framing,
)

__all__ = ["EndpointAttempt"]

#: A non-streaming response up to this size is buffered whole, so that it can still be retried.
_BUFFER_LIMIT_BYTES = 65_536
#: 421 Misdirected Request: another endpoint now has the address.
_MISDIRECTED_STATUS = 421
#: Events of a response after which its beginning can't crash the endpoint any more.
_FIRST_EVENTS = 3
#: Longest idle time of a pooled connection that carries a request which must not run twice.
_RUN_ONCE_MAX_IDLE_S = 1.0


class EndpointAttempt(AttemptBase):
    """One attempt to run a request at one endpoint.

    Parameters
    ----------
    owner : ForwardedRequest
        The request; its methods are called with the outcome of the attempt.
    record : EndpointRecord
        The endpoint.
    chosen_cold : bool, optional
        Whether the endpoint was cold when it was chosen.

    Attributes
    ----------
    sent : bool
        Whether any byte may have been sent.
    reused : bool
        Whether the connection had carried an earlier exchange.
    began : bool
        Whether any byte of the response has arrived.
    connect_ms : float or None
        Time in which the connection opened; None if it was open before.
    """

    def __init__(self, owner, record: EndpointRecord, chosen_cold: bool = False):
        self._owner = owner
        self._chosen_cold = chosen_cold
        self._handle = None
        self._connection = None
        self._status = 0
        self._headers: HeaderList = []
        self._may_retry = False
        self._buffered: list[bytes] | None = None
        self._buffered_bytes = 0
        self._splitter = EventSplitter() if owner.streams else None
        self._prefill_tokens = 0
        self._certain_prefill_tokens = 0
        self._in_load = False
        self._opening = False
        self._event_s: float | None = None
        self._events = 0
        self._paused_since_event = False
        self.record = record
        self.method = owner.method
        self.response_id = (owner.forwarder.dialect.request_id, owner.request_id)
        self.began = False
        self.sent = False
        self.sent_s = 0.0
        self.reused = False
        self.connect_ms: float | None = None
        self._started_s = 0.0

    @property
    def destination(self) -> str:
        """Where the request is sent, for logs."""
        return self.record.incarnation

    @property
    def progressed(self) -> bool:
        """Whether the run has got past the first events of its response."""
        return self._events >= _FIRST_EVENTS

    def start(self) -> None:
        """Request a connection and add the attempt to the endpoint's load."""
        owner = self._owner
        now_s = owner.forwarder.reactor.seconds()
        self._started_s = now_s
        record = self.record
        cached_tokens = record.cached_tokens(owner.prompt, now_s)
        self._prefill_tokens = max(0, owner.prompt.tokens - cached_tokens)
        endpoints = owner.forwarder.endpoints
        self._certain_prefill_tokens = endpoints.certain_prefill_tokens(record, owner.prompt)
        record.in_flight += 1
        record.opening += 1
        self._opening = True
        record.prefill_tokens += self._prefill_tokens
        self._in_load = True
        max_idle_s = _RUN_ONCE_MAX_IDLE_S if owner.must_run_once else None
        handle = record.pool.start(self, max_idle_s, self._connect_timeout_s)
        if not self.ended:
            self._handle = handle

    @property
    def _connect_timeout_s(self) -> float:
        return self.record.pool.connect_timeout_s + self._owner.forwarder.links.added_timeout_s

    def cancel(self) -> None:
        """Cancel the attempt and reset its connection."""
        self._remove_from_load()
        if self.sent:
            now_s = self._owner.forwarder.reactor.seconds()
            self.record.abandoned.note(self._abandoned_run(now_s))
        if self._handle is not None:
            self._handle.cancel()

    def _abandoned_run(self, now_s: float) -> AbandonedRun:
        parts = () if self.progressed else self._owner.prompt.shared_part_ids
        return AbandonedRun(self._owner.content, self.sent_s, now_s, parts)

    @property
    def framing(self) -> BodyFraming:
        """What tells where the response ends."""
        return response_framing(self._status, self._headers)

    def pause(self) -> None:
        """Stop reading the response."""
        self._paused_since_event = True
        if self._connection is not None:
            self._connection.pause(self)

    def resume(self) -> None:
        """Resume reading the response."""
        if self._connection is not None:
            self._connection.resume(self)

    # Request.

    def exchange_started(self, connection):
        """Send the request head and the part of the body received so far."""
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
        self._connection_opened()
        if connection.exchanges == 1:
            owner.forwarder.links.opened(self.record)
        unavailable_reason = owner.forwarder.endpoints.claim_send(self.record, self._chosen_cold)
        if unavailable_reason is not None:
            # The endpoint became unavailable while the connection was being opened.
            self._remove_from_load()
            connection.drop()
            owner.attempt_unavailable(self, unavailable_reason)
            return
        self.sent = True
        self.sent_s = owner.forwarder.reactor.seconds()
        owner.forwarder.endpoints.brittle.note_sent(self.record, self.sent_s)
        self.reused = connection.exchanges > 1
        self.connect_ms = connection.connect_ms
        owner.count_attempt()
        self.record.remember(owner.prompt, owner.forwarder.reactor.seconds())
        head = owner.request_head(self.record)
        if owner.body_chunked:
            body = b"".join(b"%x\r\n%b\r\n" % (len(data), data) for data in owner.body)
        else:
            body = b"".join(owner.body)
        connection.send(head + body, last=owner.body_complete)

    def send_body(self, data: bytes) -> None:
        """Send the next part of a body that is too large to buffer."""
        if self._connection is None:
            self._owner.body.append(data)
            return
        if self._owner.body_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.send(data, last=False)

    def send_body_end(self) -> None:
        """End a body that is too large to buffer."""
        if self._connection is not None:
            self._connection.send(b"0\r\n\r\n" if self._owner.body_chunked else b"", last=True)

    def sending_paused(self):
        """Pause the caller while the endpoint does not read the body."""
        self._owner.pause_body()

    def sending_resumed(self):
        """Resume the caller."""
        self._owner.resume_body()

    # Response.

    def match(self, status, headers):
        """Match the response to the request; a refusal may lack the request id."""
        match = super().match(status, headers)
        if match is ResponseMatch.INVALID and self._indicates_not_run(status, headers):
            return ResponseMatch.OWN
        return match

    def _indicates_not_run(self, status: int, headers: HeaderList) -> bool:
        not_run = self._owner.forwarder.dialect.not_run
        return status == _MISDIRECTED_STATUS or header_value(headers, not_run) is not None

    def head_received(self, status, headers):
        """Decide whether the response may be forwarded."""
        if self.ended:
            return
        self._status = status
        self._headers = headers
        owner = self._owner
        owner.forwarder.links.responded(self.record)
        dialect = owner.forwarder.dialect
        not_run = self._indicates_not_run(status, headers)
        rejected = not_run and status != _MISDIRECTED_STATUS
        if rejected or not not_run:
            owner.forwarder.quarantines.parts.note_response(self.record.incarnation, self.sent_s)
        brittle = owner.forwarder.endpoints.brittle
        brittle.note_response(self.record, headers, self.sent_s, rejected)
        if not_run:
            self._handle_not_run(status)
            return
        sealed = header_value(headers, dialect.answer_seal) is not None
        if not self._is_valid(status, headers, sealed):
            self._reject()
            return
        self.record.availability.accepted(self.sent_s)
        if status < 300:
            owner.forwarder.endpoints.note_success(self.record, self.sent_s, headers)
        if owner.head_sent:
            return
        if self._splitter is None or status != 200:
            # Buffered, so that the request can be retried if the response is truncated.
            self._buffered = []
            self._may_retry = status >= 500 and owner.may_retry_error()
            return
        self.lease.start(status, headers, self._stream_length())

    def _is_valid(self, status: int, headers: HeaderList, sealed: bool) -> bool:
        if not sealed:
            return False
        if status in NOT_RUN_STATUSES and self._owner.must_run_once:
            # Callers would conclude that the request has not run, which the endpoint did not say.
            return False
        if self._owner.head_sent and status != 200:
            return False
        return header_value(headers, b"content-encoding") is None

    def _reject(self) -> None:
        """Close the connection of a response that must not be forwarded."""
        self._finish(failed=True)
        self._drop()
        self._owner.attempt_invalid(self, Reason.INVALID_RESPONSE)

    def _handle_not_run(self, status: int) -> None:
        replaced = status == _MISDIRECTED_STATUS
        self._finish(failed=replaced, replaced=replaced)
        if not replaced:
            forwarder = self._owner.forwarder
            jitter = forwarder.rng.uniform(0.8, 1.2)
            self.record.availability.rejected(forwarder.reactor.seconds(), jitter)
        self._drop()
        reason = Reason.NO_ENDPOINT if replaced else Reason.ENDPOINTS_FULL
        self._owner.attempt_not_run(self, status, reason)

    def body_received(self, data):
        """Forward or buffer a part of the response body."""
        if self.ended:
            return
        owner = self._owner
        owner.forwarder.endpoints.brittle.note_heard(self.record)
        if self._buffered is not None:
            self._buffer(data)
            return
        if self._splitter is None or self._status != 200:
            self.lease.write(data)
            return
        events = self._splitter.feed(data)
        if not events.count:
            if self._splitter.overlong:
                self._reject()
            return
        if not owner.may_continue_with(events):
            self._reject()
            return
        self._record_event_gap(events.count)
        self._prefill_ended()
        self._note_progress(events.count)
        owner.note_events(events)
        self.lease.write(events.data)

    def _record_event_gap(self, count: int) -> None:
        forwarder = self._owner.forwarder
        now_s = forwarder.reactor.seconds()
        rates = forwarder.endpoints.costs.rates
        if self._event_s is None:
            elapsed_ms = (now_s - self.sent_s) * 1_000
            rates.note_first_event(self.record, self._certain_prefill_tokens, elapsed_ms, now_s)
        else:
            gap_ms = (now_s - self._event_s) * 1_000 / count
            self.record.gap_tracker.note(gap_ms, now_s)
            if not self._paused_since_event:
                rates.note_gap(self.record, gap_ms, now_s)
        self._event_s = now_s
        self._paused_since_event = False

    def _note_progress(self, count: int) -> None:
        progressed = self.progressed
        self._events += count
        if self.progressed and not progressed:
            self._owner.note_progress()

    def _stream_length(self) -> int | None:
        """Return the length to announce; none if another run may go on with other bytes."""
        return None if self._owner.resumable else self._declared_length()

    def _declared_length(self) -> int | None:
        length = header_value(self._headers, b"content-length")
        return int(length) if length is not None else None

    def _buffer(self, data: bytes) -> None:
        """Buffer a part of the body; beyond the limit, forward what is buffered."""
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > _BUFFER_LIMIT_BYTES:
            buffered, self._buffered = self._buffered, None
            self._may_retry = False
            self.lease.start(self._status, self._headers, self._declared_length())
            self.lease.write(b"".join(buffered))

    def response_ended(self):
        """Forward the buffered response, or retry at another endpoint."""
        if self.ended:
            return
        owner = self._owner
        if self._splitter is not None and self._is_broken_off():
            self.exchange_failed(ExchangeFailure(FailureCause.CLOSED, True, True, self.reused))
            return
        self._finish(failed=self._status >= 500)
        if self._status < 300 and not self.progressed:
            owner.note_progress()
        if self._may_retry and owner.retry_after_error(self, self._status):
            return
        if self._buffered is not None:
            body = b"".join(self._buffered)
            self.lease.start(self._status, self._headers, len(body))
            self.lease.write(body)
        owner.finish_response(self, self._status)

    def _is_broken_off(self) -> bool:
        """Return whether a stream has ended inside an event, or before its first one."""
        if self._splitter.partial:
            return True
        if self.method == b"HEAD":
            return False
        unframed = self.framing is BodyFraming.CONNECTION
        return unframed and self._status == 200 and not self._events and not self._owner.continues

    def end_in_doubt(self, connection):
        """Check that the endpoint's process has outlived the end of its response.

        One that drains may have closed its port before. A resumable stream is checked nevertheless:
        if it is whole, an endpoint where it goes on adds nothing.
        """
        owner = self._owner
        draining = self.record.availability.draining
        if self.ended or (draining and not owner.resumable):
            connection.confirm_end(complete=True)
        elif self._was_paused():
            # Another process may have got the address meanwhile.
            connection.confirm_end(complete=False)
        else:
            check_process(self.record.pool, self._connect_timeout_s, connection.confirm_end)

    def _was_paused(self) -> bool:
        """Return whether this router was paused lately, while the response was under way."""
        pause = self._owner.forwarder.endpoints.resumed_lately()
        return pause is not None and self.sent_s < pause.resumed_s

    def exchange_failed(self, failure):
        """Record the failure and report it to the forwarded request."""
        if self.ended:
            return
        self._remove_from_load()
        self.began = failure.answered
        if not failure.answered and not failure.reused:
            now_s = self._owner.forwarder.reactor.seconds()
            self.record.availability.note_lost(self._started_s, now_s)
        self._note_links(failure)
        self._note_failure(certain=failure.cause is FailureCause.CONNECT)
        self._owner.attempt_failed(self, failure)

    def _note_links(self, failure: ExchangeFailure) -> None:
        links = self._owner.forwarder.links
        if failure.cause is FailureCause.CONNECT:
            waited_s = self._owner.forwarder.reactor.seconds() - self._started_s
            links.failed(self.record, waited_s)
        elif not failure.answered:
            links.suspect(self.record)

    # Load and health of the endpoint.

    def _prefill_ended(self) -> None:
        self.record.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0

    def _finish(self, failed: bool, replaced: bool = False) -> None:
        self._remove_from_load()
        if failed:
            # Another process has the address, so no further failure is needed to be certain.
            if replaced:
                self.record.availability.mark_replaced(self._owner.forwarder.reactor.seconds())
            self._note_failure(certain=replaced)
        elif self.record.availability.succeeded():
            self._owner.forwarder.log.belief(
                "endpoint.regained",
                request=self._owner.request_id.decode("latin-1"),
                endpoint=self.record.incarnation,
            )

    def _note_failure(self, certain: bool) -> None:
        forwarder = self._owner.forwarder
        now_s = forwarder.reactor.seconds()
        record = self.record
        availability = record.availability
        if availability.failed(now_s, certain, forwarder.rng.uniform(0.8, 1.2)):
            forwarder.log.belief(
                "endpoint.lost",
                request=self._owner.request_id.decode("latin-1"),
                endpoint=record.incarnation,
                failures=availability.failures,
                unreachable=certain,
                rest_s=round(availability.suspected_for_s(now_s), 3),
            )

    def _connection_opened(self) -> None:
        if self._opening:
            self._opening = False
            self.record.opening -= 1

    def _remove_from_load(self) -> None:
        self._connection_opened()
        if self._in_load:
            self._in_load = False
            self.record.in_flight -= 1
            self._prefill_ended()

    def _drop(self) -> None:
        """Close the connection of a response that is not forwarded."""
        if self._connection is not None:
            self._connection.drop()
