# SPDX-License-Identifier: BSD-3-Clause
"""The part of a forwarded request that keeps what crashes endpoints away from them."""

from abc import abstractmethod

from turnward.gateway.outcomes import Reason
from turnward.gateway.resumable_request import ResumableRequest
from turnward.quarantine import LostRun, Verdict

__all__ = ["QuarantinedRequest"]


class QuarantinedRequest(ResumableRequest):
    """A request whose content, or a part of whose prompt, may crash endpoints."""

    def __init__(self, forwarder, request, note):
        super().__init__(forwarder, request, note)
        self._content = ""
        #: Quarantined parts of the prompt when the request was refused or tried.
        self._held_parts: tuple[str, ...] = ()
        self._on_trial = False

    @property
    def content(self) -> str:
        """Fingerprint of the request's content."""
        return self._content

    @property
    def _is_quarantined(self) -> bool:
        """Whether the content or a part of the prompt may not be sent to endpoints now."""
        forwarder = self._forwarder
        parts = self._prompt.shared_part_ids
        return forwarder.quarantine.is_quarantined(self._content) or bool(
            forwarder.quarantines.parts.held_in(parts)
        )

    def _refuse_if_quarantined(self) -> bool:
        """Refuse a request that crashes, or may crash, endpoints; tell whether it is."""
        quarantines = self._forwarder.quarantines
        self._held_parts = quarantines.parts.held_in(self._prompt.shared_part_ids)
        if self._held_parts:
            tried = quarantines.parts.begin_trial(self._held_parts)
            confirmed = quarantines.parts.is_confirmed(self._held_parts)
        elif quarantines.contents.is_quarantined(self._content):
            tried = quarantines.contents.begin_trial(self._content)
            confirmed = quarantines.contents.verdict(self._content) is Verdict.CONFIRMED
        else:
            return False
        if tried:
            self._on_trial = True
            self._log_trial()
            return False
        reason = Reason.CRASHES_ENDPOINTS if confirmed else Reason.MAY_CRASH_ENDPOINTS
        self._forwarder.metrics.requests_quarantined.labels(self.pool, reason).inc()
        self._refuse(503, reason)
        return True

    def _log_trial(self) -> None:
        log = self._forwarder.log
        request = self._request_id.decode("latin-1")
        if self._held_parts:
            log.belief("part.tried", request=request, part=self._held_parts[0], pool=self.pool)
        else:
            log.belief("content.tried", request=request, content=self._content, pool=self.pool)

    def _end_trial(self) -> None:
        """Let this router begin another trial."""
        if not self._on_trial:
            return
        quarantines = self._forwarder.quarantines
        quarantines.contents.end_trial(self._content)
        quarantines.parts.end_trial(self._held_parts)

    def _quarantine_left_s(self) -> float:
        """Return how long the request remains quarantined."""
        quarantines = self._forwarder.quarantines
        if self._held_parts:
            return quarantines.parts.left_s(self._held_parts)
        return quarantines.contents.quarantine_left_s(self._content)

    def _record_loss(self, attempt) -> None:
        """Record that an endpoint closed the connection of a run, perhaps in a crash."""
        quarantines = self._forwarder.quarantines
        record = attempt.record
        quarantines.contents.record_abort(self._content, record.incarnation, attempt.sent_s)
        run = LostRun(self._prompt.shared_part_ids, attempt.sent_s, attempt.began)
        quarantines.crashes.note_lost(record, [] if attempt.progressed else [run])

    def note_progress(self) -> None:
        """Record that a run has got past the first events of its response."""
        self._forwarder.quarantines.parts.record_progress(self._prompt.shared_part_ids)

    def withdraw_if_fatal(self) -> None:
        """Give up a run that is likely to crash its endpoint as its response begins."""
        attempt = self._attempt
        if attempt is None or attempt.is_relay or attempt.progressed or self._on_trial:
            return
        if not self._forwarder.quarantines.parts.is_fatal(self._prompt.shared_part_ids):
            return
        self._may_have_run = self._may_have_run or attempt.sent
        self._end_attempt(self._turns.withdraw(), "withdrawn")
        self._give_up(Reason.CRASHES_ENDPOINTS)

    @abstractmethod
    def _refuse(self, status: int, reason: Reason, **fields) -> None:
        """Refuse a request that has not run."""
