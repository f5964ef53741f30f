# SPDX-License-Identifier: BSD-3-Clause
"""Availability of one endpoint incarnation, from its own feedback and this router's health checks.

Feedback that the endpoint gave this router is binding: while it drains, backs off, or another
process answers at its address, it is sent nothing. Suspicion after failures, and feedback that the
endpoint gave other routers, only deprioritizes it. A weaker signal never ends a stronger one, in
whatever order they arrive:

- *draining* from a response lasts as long as the incarnation; an entry that says otherwise may be
  older, and the two clocks can't be compared. Draining from the entry alone ends with the entry's
  next version, because the store orders versions.
- *replaced* was reported by the process that has the address now. It ends with a changed entry;
  after some seconds it only deprioritizes the endpoint, as a stopped endpoint's entry is removed
  by then.
- *backoff* ends with its time; of several the latest end counts.
"""

from enum import StrEnum

from turnward.gateway.endpoint_feedback import EndpointFeedback

__all__ = ["Availability", "UnavailableReason"]

#: Time for which an endpoint is suspected after consecutive failures: doubles up to the maximum.
_SUSPECT_S = 0.5
_SUSPECT_MAX_S = 4.0
#: The same after it rejected requests: at first a round of messages among routers; the maximum is
#: how late an endpoint that has recovered is used again.
_REJECTED_S = 0.25
_REJECTED_MAX_S = 2.0
#: Single failures may be caused by the request.
_FAILURES_TO_SUSPECT = 2
#: Requests lost one after the other without a response, each sent after the loss of the one before,
#: from which an endpoint counts as unresponsive. Requests in flight are often lost together.
_LOSSES_TO_UNRESPONSIVE = 2
#: Time within which the entry of a stopped endpoint is removed everywhere.
_REPLACED_S = 10.0
#: Time for which an endpoint is deprioritized after another router announced that it is draining.
#: Planned shutdowns take some seconds; an endpoint that serves longer is then tried again.
_PEER_DRAINING_S = 60.0
#: A backoff is reported again only if it ends later than the current one by more than this:
#: requests in flight when it began are rejected at about the same time.
_BACKOFF_CHANGE_S = 0.5


class UnavailableReason(StrEnum):
    """Why an endpoint is sent nothing, strongest reason first."""

    REPLACED = "gone"
    DRAINING = "leaves"
    BACKOFF = "rests"
    RATE_LIMITED = "limited"
    COLD = "cold"
    BRITTLE = "brittle"


class Availability:
    """Whether one incarnation of an endpoint accepts requests.

    Attributes
    ----------
    entry_draining : bool
        Whether its current entry says that it is draining.
    failures : int
        Consecutive failures.
    marked_down : bool
        Whether it failed and has not responded since.
    lost_s : float
        When a request was last lost without a response.

    Examples
    --------
    >>> availability = Availability()
    >>> availability.apply_feedback(EndpointFeedback(backoff_s=2.0), now_s=10.0)
    <UnavailableReason.BACKOFF: 'rests'>
    >>> availability.unavailable_reason(11.0), availability.unavailable_reason(12.5)
    (<UnavailableReason.BACKOFF: 'rests'>, None)
    """

    __slots__ = (
        "_backoff_until_s",
        "_draining",
        "_feedback_s",
        "_losses",
        "_peer_suspected_until_s",
        "_probing",
        "_rejected_s",
        "_rejections",
        "_replaced_s",
        "_suspected_until_s",
        "entry_draining",
        "failures",
        "lost_s",
        "marked_down",
    )

    def __init__(self, entry_draining: bool = False):
        self.entry_draining = entry_draining
        self.failures = 0
        self.marked_down = False
        self.lost_s = -1e9
        self._losses = 0
        self._draining = False
        self._feedback_s = -1e9
        self._replaced_s: float | None = None
        self._backoff_until_s = 0.0
        self._peer_suspected_until_s = 0.0
        self._suspected_until_s = 0.0
        self._probing = False
        self._rejections = 0
        self._rejected_s = 0.0

    # Feedback of the endpoint to this router.

    @property
    def draining(self) -> bool:
        """Whether its entry or a response says that it is draining."""
        return self.entry_draining or self._draining

    def unavailable_reason(self, now_s: float) -> UnavailableReason | None:
        """Return why it is sent nothing now, None when it is available."""
        if self._replaced_s is not None and now_s - self._replaced_s < _REPLACED_S:
            return UnavailableReason.REPLACED
        if self.draining:
            return UnavailableReason.DRAINING
        return UnavailableReason.BACKOFF if now_s < self._backoff_until_s else None

    def backoff_left_s(self, now_s: float) -> float:
        """Return the remaining time of its backoff; 0 if there is none."""
        return max(0.0, self._backoff_until_s - now_s)

    def apply_feedback(
        self, feedback: EndpointFeedback, now_s: float, jitter: float = 1.0
    ) -> UnavailableReason | None:
        """Apply the feedback of a response; return the reason to report if it is new, else None.

        Parameters
        ----------
        jitter : float
            Factor of at least 1 for the backoff, so that routers do not all resume at once.
        """
        change = None
        if feedback.backoff_s or feedback.draining:
            self._feedback_s = now_s
        if feedback.backoff_s:
            until_s = now_s + feedback.backoff_s * jitter
            if (
                until_s > self._backoff_until_s + _BACKOFF_CHANGE_S
                or now_s >= self._backoff_until_s
            ):
                change = UnavailableReason.BACKOFF
            self._backoff_until_s = max(self._backoff_until_s, until_s)
        if feedback.draining:
            change = change if self._draining else UnavailableReason.DRAINING
            self._draining = True
        return change

    def inherit_feedback(self, other: "Availability", since_s: float) -> None:
        """Take over the binding feedback that the same process gave from ``since_s`` on."""
        if other._feedback_s < since_s:
            return
        self._feedback_s = max(self._feedback_s, other._feedback_s)
        self._draining = self._draining or other._draining
        self._backoff_until_s = max(self._backoff_until_s, other._backoff_until_s)

    def mark_replaced(self, now_s: float) -> None:
        """Record that another process answers at its address."""
        self._replaced_s = now_s

    def apply_entry(self, draining: bool) -> None:
        """Apply a later version of its entry."""
        self.entry_draining = draining
        self._replaced_s = None

    # Health as this router estimates it.

    def is_healthy(self, now_s: float, in_flight: int) -> bool:
        """Return whether neither failures here nor feedback to other routers deprioritize it."""
        if self._replaced_s is not None or now_s < max(
            self._suspected_until_s, self._peer_suspected_until_s
        ):
            return False
        # Once the suspicion ends, one request at a time probes whether the endpoint has recovered.
        return not (self._probing and in_flight)

    def rejected(self, now_s: float, jitter: float = 1.0) -> None:
        """Record that it rejected a request, and deprioritize it for a while.

        An endpoint that rejects everything has the most free slots and would attract most requests.
        """
        self._rejections += 1
        self._rejected_s = now_s
        suspect_s = min(_REJECTED_MAX_S, _REJECTED_S * 2 ** min(self._rejections - 1, 5))
        self._suspected_until_s = max(self._suspected_until_s, now_s + suspect_s * jitter)

    def accepted(self, sent_s: float) -> None:
        """Record that it runs a request; one sent before the last rejection is ignored."""
        if sent_s > self._rejected_s:
            self._rejections = 0

    def apply_peer_feedback(self, draining: bool, backoff_s: float, now_s: float) -> None:
        """Apply feedback that the endpoint gave another router."""
        duration_s = _PEER_DRAINING_S if draining else backoff_s
        self._peer_suspected_until_s = max(self._peer_suspected_until_s, now_s + duration_s)

    def suspected_for_s(self, now_s: float) -> float:
        """Return for how long it is still deprioritized after failures or rejections."""
        return max(0.0, self._suspected_until_s - now_s)

    @property
    def unresponsive(self) -> bool:
        """Whether requests are lost one after the other without any response."""
        return self._losses >= _LOSSES_TO_UNRESPONSIVE

    def note_lost(self, started_s: float, now_s: float) -> None:
        """Record a request that was lost without a response on a connection opened for it."""
        if started_s >= self.lost_s:
            self._losses += 1
            self.lost_s = now_s

    def note_response(self) -> None:
        """Record that the endpoint sent a response of any kind."""
        self._losses = 0

    def forgive_failures(self) -> None:
        """Forget the failures, which this router's own links have caused."""
        self._losses = 0
        self.failures = 0
        self._suspected_until_s = 0.0
        self._probing = False

    def succeeded(self) -> bool:
        """Record a response; return True if the endpoint was marked down until now."""
        recovered, self.marked_down = self.marked_down, False
        self.failures = 0
        self._probing = False
        return recovered

    def failed(self, now_s: float, certain: bool, jitter: float = 1.0) -> bool:
        """Record a failure; return True if this marks the endpoint down.

        Parameters
        ----------
        certain : bool
            Whether the endpoint is unreachable, which no single request can cause.
        jitter : float
            Factor for the time of suspicion, so that routers do not all retry at once.
        """
        self.failures += 1
        self._probing = False
        if not certain and self.failures < _FAILURES_TO_SUSPECT:
            return False
        suspect_s = min(_SUSPECT_MAX_S, _SUSPECT_S * 2 ** min(self.failures - 1, 5))
        self._suspected_until_s = now_s + suspect_s * jitter
        self._probing = True
        newly_down, self.marked_down = not self.marked_down, True
        return newly_down
