# SPDX-License-Identifier: BSD-3-Clause
"""Who acts for a request: one wait or one attempt at a time, which alone may write its answer."""

from abc import abstractmethod
from collections.abc import Callable
from enum import StrEnum

from turnward.http1 import ExchangeBase, HeaderList, InboundRequest, end_to_end_headers

__all__ = ["AnswerLease", "AttemptBase", "RequestTurns", "Stage"]


class Stage(StrEnum):
    """How far a request has come.

    ``DISPATCHING`` lasts from the first choice of an endpoint or peer until an attempt begins, and
    again from the end of each attempt; it includes what is waited for.
    """

    RECEIVING = "receiving"
    DISPATCHING = "dispatching"
    ATTEMPTING = "attempting"
    ENDED = "ended"


class AnswerLease:
    """The right to act for a request and to write its answer.

    It ends when another one is given out or the request ends; its methods do nothing from then on.

    Attributes
    ----------
    held : bool
        Whether the right still exists.
    """

    __slots__ = ("_turns", "held")

    def __init__(self, turns: "RequestTurns | None" = None):
        self._turns = turns
        self.held = turns is not None

    def start(self, status: int, headers: HeaderList, length: int | None) -> None:
        """Forward a response head; without ``length`` the body is sent in chunks."""
        if self.held:
            self._turns.start(status, headers, length)

    def write(self, data: bytes) -> None:
        """Forward a part of a response body."""
        if self.held:
            self._turns.request.write(data)

    def finish(self) -> None:
        """End a complete response."""
        if self.held:
            self._turns.finish()


class AttemptBase(ExchangeBase):
    """One attempt to have a request run, here or by a peer.

    Attributes
    ----------
    is_relay : bool
        Whether a peer, rather than an endpoint, gets the request.
    lease : AnswerLease
        What it writes the response with; not held before the attempt begins and after its end.
    """

    is_relay = False
    lease = AnswerLease()

    @property
    def ended(self) -> bool:
        """Whether the attempt may not act for the request any more."""
        return not self.lease.held

    @abstractmethod
    def cancel(self) -> None:
        """Reset the connection; called once the lease has ended."""

    @abstractmethod
    def pause(self) -> None:
        """Stop reading the response."""

    @abstractmethod
    def resume(self) -> None:
        """Resume reading the response."""


class RequestTurns:
    """Gives out the lease of a request, one at a time.

    Parameters
    ----------
    request : InboundRequest
        The request; its answer is written here only.

    Attributes
    ----------
    request : InboundRequest
        The request.
    stage : Stage
        How far it has come.
    attempt : AttemptBase or None
        The attempt that holds the lease.
    """

    __slots__ = ("_lease", "attempt", "request", "stage")

    def __init__(self, request: InboundRequest):
        self._lease = AnswerLease()
        self.request = request
        self.stage = Stage.RECEIVING
        self.attempt: AttemptBase | None = None

    @property
    def ended(self) -> bool:
        """Whether the request has ended."""
        return self.stage is Stage.ENDED

    # Turns.

    def dispatch(self) -> bool:
        """Take the turn from whoever has it; return False if the request has ended."""
        self._revoke()
        if self.ended:
            return False
        self.stage = Stage.DISPATCHING
        return True

    def wait(self, then: Callable, otherwise: Callable) -> Callable:
        """Give the turn to a wait.

        Parameters
        ----------
        then : callable
            Called with the result if it arrives while the wait still has its turn.
        otherwise : callable
            Called with the result if it arrives later.

        Returns
        -------
        callable
            Takes the result.
        """
        self._revoke()
        lease = self._lease = AnswerLease(None if self.ended else self)

        def resolve(result) -> None:
            held, lease.held = lease.held, False
            (then if held else otherwise)(result)

        return resolve

    def begin(self, attempt: AttemptBase, start: Callable[[], None]) -> None:
        """Give the turn to an attempt and start it, unless the request has ended."""
        self._revoke()
        if self.ended:
            return
        self.stage = Stage.ATTEMPTING
        self.attempt = attempt
        attempt.lease = self._lease = AnswerLease(self)
        start()

    def release(self, attempt: AttemptBase) -> None:
        """Take the turn from an attempt that has ended by itself."""
        if attempt is self.attempt:
            self._forget_attempt()

    def withdraw(self) -> AttemptBase | None:
        """Take the turn from whoever has it; return the attempt that was cancelled, if any."""
        attempt = self.attempt
        self._revoke()
        return attempt

    def end(self) -> None:
        """End the request; nobody gets a turn any more."""
        self._revoke()
        self.stage = Stage.ENDED

    def _revoke(self) -> None:
        attempt = self.attempt
        self._lease.held = False
        if attempt is not None:
            self._forget_attempt()
            attempt.cancel()

    def _forget_attempt(self) -> None:
        self._lease.held = False
        self.attempt = None
        self.stage = Stage.DISPATCHING

    # The answer.

    def start(self, status: int, headers: HeaderList, length: int | None) -> None:
        """Forward a response head for the holder of the lease."""
        self.request.on_pause = self._pause
        self.request.on_resume = self._resume
        self.request.start(status, end_to_end_headers(headers), length)

    def finish(self) -> None:
        """End the response that the attempt has forwarded."""
        self._forget_attempt()
        self.request.finish()

    def answer(self, status: int, headers: HeaderList, body: bytes) -> bool:
        """Answer in place of whoever has the turn.

        An answer that has begun is broken off instead; then False is returned.
        """
        self._revoke()
        begun = self.request.head_sent
        self.request.answer(status, headers, body)
        return not begun

    def _pause(self) -> None:
        if self.attempt is not None:
            self.attempt.pause()

    def _resume(self) -> None:
        if self.attempt is not None:
            self.attempt.resume()
