# SPDX-License-Identifier: BSD-3-Clause
"""The part of a forwarded request that lets a peer run it."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.outcomes import SHARED_OUT_REASONS, Outcome, Reason
from turnward.gateway.relay_attempt import RelayAttempt, RelayRefusal
from turnward.gateway.relay_note import RelayNote
from turnward.gateway.request_turns import AttemptBase, RequestTurns
from turnward.http1 import ExchangeFailure, HeaderList, end_to_end_headers

__all__ = ["RelayableRequest"]


class RelayableRequest(ABC):
    """A request that an endpoint or a peer runs.

    Parameters
    ----------
    forwarder : Forwarder
        The forwarder.
    request : InboundRequest
        The caller's request, or that of the router that relays it.
    note : RelayNote or None
        What came with a relayed request; None if a caller sent it here.

    Attributes
    ----------
    pool : str
        The pool that serves it; empty until it is chosen.
    attempts : int
        Attempts sent so far, those of the router that relayed it included.
    peers_tried : set of str
        Addresses of the peers that it was relayed to.
    first_attempt_s : float
        When the first attempt began.
    """

    def __init__(self, forwarder, request, note: RelayNote | None):
        self._forwarder = forwarder
        self._request = request
        self._note = note
        self._turns = RequestTurns(request)
        self._reservation = None
        #: Tokens that a peer reserves, and this router must before an endpoint gets the request.
        self._unreserved_tokens = 0
        self._may_have_run = False
        self._lost_here = False
        self._replayable = True
        self._tried: set[str] = set()
        self.pool = ""
        self.attempts = note.attempts if note is not None else 0
        self.peers_tried: set[str] = set()
        self.first_attempt_s = 0.0

    @property
    def _attempt(self) -> AttemptBase | None:
        """The attempt that acts for the request."""
        return self._turns.attempt

    @property
    def _ended(self) -> bool:
        """Whether the request has ended."""
        return self._turns.ended

    # What decides whether a peer may run it.

    @property
    def relayed_by(self) -> str:
        """Address of the router that relayed it; empty if a caller sent it here."""
        return self._note.origin if self._note is not None else ""

    @property
    def relayable(self) -> bool:
        """Whether a peer may run it: it came from a caller, and its whole body is kept."""
        kept = self._replayable and self._request.body_complete
        return self._note is None and kept and self.may_still_send

    @property
    def tokens_left_to_peer(self) -> bool:
        """Whether a peer that runs it reserves its tokens."""
        return self._unreserved_tokens > 0

    @property
    def lost_here(self) -> bool:
        """Whether an endpoint that this router sent it to was lost without a response."""
        return self._lost_here

    @property
    def pool_unresponsive(self) -> bool:
        """Whether no endpoint of its pool responds to this router."""
        shortage = self._forwarder.endpoints.shortage(self.pool)
        return shortage is not None and shortage.reason is Reason.ENDPOINTS_UNRESPONSIVE

    @property
    def pool_withheld(self) -> bool:
        """Whether the endpoints of its pool are brittle, and others may send them requests now."""
        return self._forwarder.endpoints.is_withheld(self.pool)

    @property
    def pool_share_used(self) -> bool:
        """Whether this router's share of the pool's limited or cold endpoints is used up."""
        shortage = self._forwarder.endpoints.shortage(self.pool)
        return shortage is not None and shortage.reason in SHARED_OUT_REASONS

    @property
    @abstractmethod
    def bound_version(self) -> str:
        """Software version at which its stream must go on; empty if any will do."""

    @property
    def endpoints_tried(self) -> int:
        """Number of endpoints that were chosen for it."""
        return len(self._tried)

    # What attempts read.

    @property
    def forwarder(self):
        """The forwarder."""
        return self._forwarder

    @property
    def method(self) -> bytes:
        """The HTTP method."""
        return self._request.method

    @property
    def body_complete(self) -> bool:
        """Whether the whole request body has been received."""
        return self._request.body_complete

    @property
    def head_sent(self) -> bool:
        """Whether the response head has been sent to the caller."""
        return self._request.head_sent

    # What a peer is sent.

    @property
    def target(self) -> bytes:
        """The request target."""
        return self._request.target

    def headers_for(self, removed: frozenset[bytes]) -> HeaderList:
        """Return the headers to forward, with the place at which to resume a stream."""
        last_id_name = self._forwarder.dialect.last_event_id
        headers = end_to_end_headers(self._request.headers, removed)
        last_id = self._last_event_id()
        if last_id is None:
            return headers
        headers = [item for item in headers if item[0] != last_id_name]
        return [*headers, (last_id_name, last_id)]

    # What the relay does with it.

    def begin_relay(self, attempt: RelayAttempt, start: Callable[[], None]) -> None:
        """Hand the request to a peer; the tokens reserved here are free again."""
        if self._reservation is not None and not self._may_have_run:
            self._unreserved_tokens = self._reservation.tokens
            self._settle(0)
        self._turns.begin(attempt, start)

    def end_relay(self, attempt: RelayAttempt, how: str, **fields) -> None:
        """Record that a peer does not run the request, so no attempt was spent on it."""
        if attempt.sent:
            self.attempts -= 1
        self._end_attempt(attempt, how, **fields)

    def relay_lost(self, attempt: RelayAttempt, failure: ExchangeFailure) -> None:
        """Handle the loss of a peer that may have run the request."""
        self._lost_after_send(attempt, failure)

    def answer_for_peer(
        self, attempt: RelayAttempt, refusal: RelayRefusal, outcome: Outcome
    ) -> None:
        """Pass on a response of the peer's own, unless an earlier attempt may have run."""
        self._end_attempt(attempt, "refused", status=refusal.status, reason=refusal.reason)
        if self._may_have_run:
            self._give_up(Reason.CONNECTION_LOST)
            return
        self._turns.answer(refusal.status, refusal.headers, refusal.body)
        self._end(
            outcome,
            refusal.status,
            reason=refusal.reason,
            used_tokens=0,
            endpoint=attempt.destination,
        )

    def give_up_unreached(self) -> None:
        """End a request whose pool neither this router nor a peer reaches."""
        self._give_up(Reason.ENDPOINTS_UNRESPONSIVE)

    def return_to_endpoints(self) -> None:
        """Have an endpoint run a request that no peer has taken."""
        self._dispatch()

    def withdraw_from_endpoint(self) -> None:
        """Start anew if the attempt waits for a connection and a peer may run the request.

        One that was relayed here is refused instead, so that its origin tries another peer.
        """
        attempt = self._attempt
        waits = attempt is not None and not attempt.sent and not attempt.is_relay
        if not waits or not (self.relayable or self.relayed_by):
            return
        self._end_attempt(self._turns.withdraw(), "withdrawn")
        self._dispatch()

    @property
    @abstractmethod
    def may_still_send(self) -> bool:
        """Whether enough time is left to send."""

    @abstractmethod
    def request_head(self, record: EndpointRecord) -> bytes:
        """Return the request head for an endpoint."""

    @abstractmethod
    def _last_event_id(self) -> bytes | None:
        """Return the id of the last event that the caller was sent."""

    @abstractmethod
    def _lost_after_send(self, attempt, failure: ExchangeFailure) -> None:
        """Handle an attempt that was sent and ended without a complete response."""

    @abstractmethod
    def _dispatch(self) -> None:
        """Start an attempt."""

    @abstractmethod
    def _give_up(self, reason: Reason) -> None:
        """End a request that the last endpoint did not run."""

    @abstractmethod
    def _end_attempt(self, attempt, how: str, **fields) -> None:
        """Record that an attempt has failed."""

    @abstractmethod
    def _end(self, outcome: Outcome, status: int | None, used_tokens=None, **fields) -> None:
        """End the request."""

    @abstractmethod
    def _settle(self, used_tokens: int | None) -> int:
        """Settle the reservations."""
