# SPDX-License-Identifier: BSD-3-Clause
"""Evidence on one content with aborted runs."""

import itertools
from collections.abc import Iterable
from collections.abc import Set as AbstractSet

import msgspec

from turnward.quarantine.messages import AbortedRun, Verdict

__all__ = ["Abort", "Suspect", "age_ms", "explained_endpoints"]

#: Reports on a content and an endpoint whose abort times differ by less are taken for the same
#: abort, since ages leave out network delays.
_SAME_ABORT_TOLERANCE_S = 1.0
#: Aborts of several endpoints that are no further apart may have one cause.
_AT_ONCE_S = 0.1
#: A request sent this much later than the last abort is known to be a trial.
_MIN_TRIAL_GAP_S = 0.5
#: Number of aborts after which a further one may belong to a trial.
_MIN_ABORTS_BEFORE_TRIAL = 3
#: Aborts that are kept and announced per content. The first and the last are kept,
#: as they tell most.
_MAX_ABORTS = 8


class Abort(msgspec.Struct, frozen=True):
    """One aborted run, with times of this process's clock."""

    endpoint: str
    sent_s: float
    aborted_s: float

    def to_message(self, content: str, now_s: float) -> AbortedRun:
        """Return the message that announces the abort."""
        sent_age_ms = age_ms(now_s, self.sent_s)
        return AbortedRun(content, self.endpoint, sent_age_ms, age_ms(now_s, self.aborted_s))


class Suspect:
    """Evidence on one content.

    Attributes
    ----------
    verdict : Verdict
        How requests with the content are handled.
    aborts : dict of str to Abort
        The aborts by incarnation, one each.
    survived : dict of str to float
        Incarnations that are known to have survived an abort, with its time.
    last_abort_s : float
        When the latest run was aborted.
    response_s : float
        When the latest response arrived; minus infinity before any.
    updated_s : float
        When the evidence last changed.
    """

    __slots__ = (
        "aborts",
        "last_abort_s",
        "response_s",
        "survived",
        "updated_s",
        "verdict",
    )

    def __init__(self):
        self.verdict = Verdict.ALLOWED
        self.aborts: dict[str, Abort] = {}
        self.survived: dict[str, float] = {}
        self.last_abort_s = float("-inf")
        self.response_s = float("-inf")
        self.updated_s = float("-inf")

    def add(self, abort: Abort) -> bool:
        """Add an abort; return whether it is new."""
        known = self.aborts.get(abort.endpoint)
        survived_s = self.survived.get(abort.endpoint, float("-inf")) + _SAME_ABORT_TOLERANCE_S
        if abort.aborted_s <= max(self.response_s, survived_s):
            return False
        if known is not None and abort.aborted_s < known.aborted_s + _SAME_ABORT_TOLERANCE_S:
            if abort.aborted_s < known.aborted_s:
                self.aborts[abort.endpoint] = abort
            return False
        self.last_abort_s = max(self.last_abort_s, abort.aborted_s)
        if known is None:
            self.aborts[abort.endpoint] = abort
            self._evict()
        return True

    def _evict(self) -> None:
        if len(self.aborts) > _MAX_ABORTS:
            del self.aborts[self.in_order()[_MAX_ABORTS // 2].endpoint]

    def clear(self, response_s: float) -> bool:
        """Drop the aborts before a response; return whether that changed the evidence."""
        first_response = not self.answered
        self.response_s = max(self.response_s, response_s)
        kept = {
            endpoint: abort
            for endpoint, abort in self.aborts.items()
            if abort.aborted_s > response_s
        }
        dropped = len(kept) < len(self.aborts)
        self.aborts = kept
        return dropped or first_response

    @property
    def answered(self) -> bool:
        """Whether any response is known."""
        return self.response_s > float("-inf")

    def endpoints_explained_by(self, other: "Suspect", listed_s: float) -> set[str]:
        """Return the endpoints whose aborts of this content another content explains.

        These are the endpoints that aborted a run of the other at the same time or earlier. One
        that crashed loses the requests sent to it until its entry expires.

        Parameters
        ----------
        listed_s : float
            Longest time for which a crashed endpoint remains listed.
        """
        return {
            endpoint
            for endpoint, abort in self.aborts.items()
            if endpoint in other.aborts
            and -_SAME_ABORT_TOLERANCE_S
            <= abort.aborted_s - other.aborts[endpoint].aborted_s
            <= listed_s
        }

    def failed_trials(self) -> list[Abort]:
        """Return the aborts of trials: of runs sent long after the previous abort."""
        last_aborts = self.in_order()[_MIN_ABORTS_BEFORE_TRIAL - 1 :]
        return [
            later
            for earlier, later in itertools.pairwise(last_aborts)
            if later.sent_s >= earlier.aborted_s + _MIN_TRIAL_GAP_S
        ]

    def aborted_before(self, trial: Abort, listed_s: float) -> bool:
        """Return whether the endpoint of another content's trial aborted this one before it.

        Parameters
        ----------
        listed_s : float
            Longest time for which a crashed endpoint remains listed.
        """
        abort = self.aborts.get(trial.endpoint)
        return abort is not None and 0.0 <= trial.sent_s - abort.aborted_s <= listed_s

    def drop_survived(self, live: AbstractSet[str], before_s: float) -> bool:
        """Drop earlier aborts at endpoints that are still live; return whether there were any."""
        survived = [
            abort
            for abort in self.aborts.values()
            if abort.aborted_s <= before_s and abort.endpoint in live
        ]
        for abort in survived:
            del self.aborts[abort.endpoint]
            self.survived[abort.endpoint] = abort.aborted_s
        while len(self.survived) > _MAX_ABORTS:
            del self.survived[next(iter(self.survived))]
        return bool(survived)

    @property
    def instants(self) -> int:
        """Number of times at which runs were aborted; those at once have one cause."""
        times_s = [abort.aborted_s for abort in self.in_order()]
        gaps = itertools.pairwise(times_s)
        return bool(times_s) + sum(later - earlier > _AT_ONCE_S for earlier, later in gaps)

    @property
    def was_resent(self) -> bool:
        """Whether an aborted run had been sent after another one was aborted."""
        first_abort_s = min(abort.aborted_s for abort in self.aborts.values())
        return max(abort.sent_s for abort in self.aborts.values()) >= first_abort_s

    def in_order(self) -> list[Abort]:
        """Return the aborts in order of time."""
        return sorted(self.aborts.values(), key=lambda abort: abort.aborted_s)


def explained_endpoints(suspect: Suspect, others: Iterable[Suspect], listed_s: float) -> set[str]:
    """Return the endpoints whose aborts of a content at least one of the others explains."""
    return set().union(*(suspect.endpoints_explained_by(other, listed_s) for other in others))


def age_ms(now_s: float, then_s: float) -> int:
    """Return an age in milliseconds; at least 0."""
    return max(0, round((now_s - then_s) * 1_000))
