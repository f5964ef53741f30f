# SPDX-License-Identifier: BSD-3-Clause
"""One send of a request to one endpoint, and what its answer is worth."""

from turnward.gateway.abandoned_runs import AbandonedRun
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.outcomes import NOT_RUN_STATUSES, Reason
from turnward.gateway.streams import EventSplitter
from turnward.http1 import (
    AnswerMatch,
    ExchangeBase,
    ExchangeFailure,
    FailureCause,
    HeaderList,
    header_value,
)

__all__ = ["EndpointAttempt"]

#: Bytes of a plain answer that are gathered before any is passed on.
_GATHER_LIMIT_BYTES = 65_536
#: Status by which another endpoint says that it is not the one meant.
_OTHER_ENDPOINT = 421
#: Seconds a kept connection may have rested for a request that must not run twice.
_FRESH_S = 1.0


class EndpointAttempt(ExchangeBase):
    """One send of a request to one endpoint.

    Parameters
    ----------
    owner : Forwarding
        The request under way; told how the send ends.
    record : EndpointRecord
        The endpoint.

    Attributes
    ----------
    sent, reused : bool
        Whether a byte may have left, and on a connection that was used before.
    """

    def __init__(self, owner, record: EndpointRecord):
        self._owner = owner
        self._handle = None
        self._connection = None
        self._status = 0
        self._headers: HeaderList = []
        self._retrying = False
        self._gathered: list[bytes] | None = None
        self._gathered_bytes = 0
        self._splitter = EventSplitter() if owner.streams else None
        self._prefill_tokens = 0
        self._counted = False
        self._opening = False
        self._event_s: float | None = None
        self.record = record
        self.method = owner.method
        self.answer_id = (owner.forwarder.dialect.request_id, owner.request_id)
        self.over = False
        self.sent = False
        self.sent_s = 0.0
        self.reused = False

    def start(self) -> None:
        """Send."""
        owner = self._owner
        now_s = owner.forwarder.reactor.seconds()
        record = self.record
        kept = record.cached_tokens(owner.prompt, now_s)
        self._prefill_tokens = max(0, owner.prompt.tokens - kept)
        record.in_flight += 1
        record.opening += 1
        self._opening = True
        record.prefill_tokens += self._prefill_tokens
        self._counted = True
        handle = record.pool.start(self, _FRESH_S if owner.must_run_once else None)
        if not self.over:
            self._handle = handle

    def cancel(self) -> None:
        """Give the attempt up; its connection is reset."""
        self.over = True
        self._uncount()
        if self.sent:
            now_s = self._owner.forwarder.reactor.seconds()
            self.record.abandoned.note(AbandonedRun(self._owner.content, self.sent_s, now_s))
        if self._handle is not None:
            self._handle.cancel()

    def pause(self) -> None:
        """Hold the endpoint back."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Let the endpoint send on."""
        if self._connection is not None:
            self._connection.resume()

    # The request.

    def exchange_began(self, connection):
        """Send the head and what there is of the body."""
        self._connection = connection
        owner = self._owner
        if not owner.may_still_send:
            connection.drop()
            owner.time_over()
            return
        self._opened()
        hold = owner.forwarder.endpoints.claim_send(self.record)
        if hold is not None:
            # Said while the connection was being opened: what was chosen before is not sent.
            self._uncount()
            connection.drop()
            owner.attempt_held(self, hold)
            return
        self.sent = True
        self.sent_s = owner.forwarder.reactor.seconds()
        self.reused = connection.exchanges > 1
        owner.note_sent()
        self.record.remember(owner.prompt, owner.forwarder.reactor.seconds())
        head = owner.request_head(self.record)
        if owner.body_in_chunks:
            body = b"".join(b"%x\r\n%b\r\n" % (len(data), data) for data in owner.body)
        else:
            body = b"".join(owner.body)
        connection.send(head + body, last=owner.body_complete)

    def send_body(self, data: bytes) -> None:
        """Send a further part of a large body."""
        if self._connection is None:
            self._owner.body.append(data)
            return
        if self._owner.body_in_chunks:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.send(data, last=False)

    def send_body_end(self) -> None:
        """End a large body."""
        if self._connection is not None:
            self._connection.send(b"0\r\n\r\n" if self._owner.body_in_chunks else b"", last=True)

    def sending_paused(self):
        """Hold the caller back: the endpoint does not take the body."""
        self._owner.pause_body()

    def sending_resumed(self):
        """Let the caller send on."""
        self._owner.resume_body()

    # The answer.

    def match(self, status, headers):
        """Take a refusal without an id for the own answer."""
        found = super().match(status, headers)
        if found is AnswerMatch.INVALID and self._says_not_run(status, headers):
            # Endpoints that refuse need not tell which request they refuse.
            return AnswerMatch.OWN
        return found

    def _says_not_run(self, status: int, headers: HeaderList) -> bool:
        not_run = self._owner.forwarder.dialect.not_run
        return status == _OTHER_ENDPOINT or header_value(headers, not_run) is not None

    def head_received(self, status, headers):
        """Decide whether the answer may be passed on."""
        if self.over:
            return
        self._status = status
        self._headers = headers
        owner = self._owner
        dialect = owner.forwarder.dialect
        if self._says_not_run(status, headers):
            self._not_run(status)
            return
        sealed = header_value(headers, dialect.answer_seal) is not None
        if not self._is_genuine(status, headers, sealed):
            self._finish(failed=True)
            self._drop()
            owner.attempt_bad(self, Reason.BAD_ANSWER)
            return
        self.record.availability.accepted(self.sent_s)
        if status < 300:
            owner.forwarder.endpoints.note_success(self.record, self.sent_s, headers)
        if owner.head_sent:
            return
        if self._splitter is None or status != 200:
            # A plain answer is passed on whole, so that a cut one can be had elsewhere.
            self._gathered = []
            self._retrying = status >= 500 and owner.may_retry_error()
            return
        owner.answer_head(status, headers, self._declared_length())

    def _is_genuine(self, status: int, headers: HeaderList, sealed: bool) -> bool:
        if not sealed:
            return False
        if status in NOT_RUN_STATUSES and self._owner.must_run_once:
            # Passed on, it would promise what the endpoint did not say.
            return False
        if self._owner.head_sent and status != 200:
            return False
        return header_value(headers, b"content-encoding") is None

    def _not_run(self, status: int) -> None:
        gone = status == _OTHER_ENDPOINT
        self._finish(failed=gone, gone=gone)
        if not gone:
            forwarder = self._owner.forwarder
            spread = forwarder.draw.uniform(0.8, 1.2)
            self.record.availability.rejected(forwarder.reactor.seconds(), spread)
        self._drop()
        reason = Reason.NO_ENDPOINT if gone else Reason.ENDPOINTS_FULL
        self._owner.attempt_not_run(self, status, reason)

    def body_received(self, data):
        """Pass on, or gather, a part of the answer."""
        if self.over:
            return
        owner = self._owner
        if self._gathered is not None:
            self._gather(data)
            return
        if self._splitter is None or self._status != 200:
            owner.answer_body(data)
            return
        events = self._splitter.feed(data)
        if not events.count:
            return
        if not owner.continues(events.first_id):
            self._finish(failed=True)
            self._drop()
            owner.attempt_bad(self, Reason.BAD_ANSWER)
            return
        self._note_pace(events.count)
        self._first_event()
        owner.note_events(events.count, events.last_id)
        owner.answer_body(events.data)

    def _note_pace(self, count: int) -> None:
        now_s = self._owner.forwarder.reactor.seconds()
        if self._event_s is not None:
            self.record.gap_tracker.note((now_s - self._event_s) * 1_000 / count, now_s)
        self._event_s = now_s

    def _declared_length(self) -> int | None:
        length = header_value(self._headers, b"content-length")
        return int(length) if length is not None else None

    def _gather(self, data: bytes) -> None:
        """Hold a plain answer's body, up to a limit."""
        self._gathered.append(data)
        self._gathered_bytes += len(data)
        if self._gathered_bytes > _GATHER_LIMIT_BYTES:
            gathered, self._gathered = self._gathered, None
            self._retrying = False
            self._owner.answer_head(self._status, self._headers, self._declared_length())
            self._owner.answer_body(b"".join(gathered))

    def answer_ended(self):
        """Pass on what was gathered, or try elsewhere."""
        if self.over:
            return
        owner = self._owner
        if self._splitter is not None and self._splitter.partial:
            self.exchange_failed(ExchangeFailure(FailureCause.CLOSED, True, True, self.reused))
            return
        self._finish(failed=self._status >= 500)
        if self._retrying and owner.retry_error(self, self._status):
            return
        if self._gathered is not None:
            body = b"".join(self._gathered)
            owner.answer_head(self._status, self._headers, len(body))
            owner.answer_body(body)
        owner.answer_ended(self, self._status)

    def exchange_failed(self, failure):
        """Tell what is proved of the send."""
        if self.over:
            return
        self._uncount()
        self._note_failure(certain=failure.cause is FailureCause.CONNECT)
        self._owner.attempt_failed(self, failure)

    # Accounts of the endpoint.

    def _first_event(self) -> None:
        self.record.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0

    def _finish(self, failed: bool, gone: bool = False) -> None:
        self._uncount()
        if failed:
            # Another process has the address: that is certain.
            if gone:
                self.record.availability.mark_replaced(self._owner.forwarder.reactor.seconds())
            self._note_failure(certain=gone)
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
        if availability.failed(now_s, certain, forwarder.draw.uniform(0.8, 1.2)):
            forwarder.log.belief(
                "endpoint.lost",
                request=self._owner.request_id.decode("latin-1"),
                endpoint=record.incarnation,
                failures=availability.failures,
                unreachable=certain,
                rest_s=round(availability.suspected_for_s(now_s), 3),
            )

    def _opened(self) -> None:
        if self._opening:
            self._opening = False
            self.record.opening -= 1

    def _uncount(self) -> None:
        self._opened()
        if self._counted:
            self._counted = False
            self.record.in_flight -= 1
            self._first_event()

    def _drop(self) -> None:
        """Give up reading an answer that is not passed on."""
        if self._connection is not None:
            self._connection.drop()
