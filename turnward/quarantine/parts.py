# SPDX-License-Identifier: BSD-3-Clause
"""Quarantine of prompt parts that crash the endpoints that answer them.

A request may crash its endpoint by one part of its prompt, whatever else it holds, so that no two
contents that do so are alike. The evidence is that of contents, with parts in their place:

- At a crash, the parts of the runs that had not got past their first events are suspects. Runs that
  got further are not, since the endpoint crashes as an answer begins.
- Runs whose response had begun are the likelier cause. Those that had not are kept as evidence of
  their own, as the beginning of a response may be lost with its endpoint. A crash that a part
  explains, which is sure by the first evidence, does not count for the second.
- A run that gets past its first events clears all its parts, at all routers. So a part that many
  requests share is cleared at once by those that do not crash. While no run gets that far, a part
  is on trial at most.
- An endpoint that responds to a later request has not crashed, and is no evidence. Nor is one whose
  pool has lost most endpoints at once, at whatever routers: the network is the likelier cause.
- The last part of a prompt belongs to its request alone, and is left out.
"""

from collections.abc import Callable, Iterable
from collections.abc import Set as AbstractSet

import msgspec

from turnward.quarantine.crash_log import CrashLog
from turnward.quarantine.messages import AbortedRun, QuarantineChange, QuarantineUpdate, Verdict
from turnward.quarantine.quarantine import Quarantine
from turnward.quarantine.rule import QuarantineRule
from turnward.quarantine.suspects import Suspect

__all__ = ["LostRun", "PartQuarantine"]

#: Parts that were cleared this recently are no suspects: the next run clears them again.
_JUST_CLEARED_S = 1.0
#: Most parts that one crash makes suspects at one router.
_MAX_SUSPECTS_PER_CRASH = 24
#: Time for which a part is held back that only runs accuse which had not begun.
_LOST_QUARANTINE_S = 60.0
#: Most parts that are announced with each message.
_MAX_ANNOUNCED = 24


class LostRun(msgspec.Struct, frozen=True):
    """A run that was lost with its endpoint before it had got past its first events.

    Attributes
    ----------
    parts : tuple of str
        Parts of its prompt that other prompts may share.
    sent_s : float
        When it was sent.
    began : bool
        Whether any byte of its response had arrived.
    """

    parts: tuple[str, ...]
    sent_s: float
    began: bool


class PartQuarantine:
    """The prompt parts that one router suspects or quarantines.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    rule : QuarantineRule
        When and for how long a part is quarantined.
    on_change : callable
        Called with a ``QuarantineChange`` when the verdict on a part changes.
    rank_of : callable, optional
        See ``Quarantine``.
    may_be_network : callable, optional
        See ``CrashLog``.

    Attributes
    ----------
    begun : Quarantine
        Evidence from the runs whose response had begun, with parts in place of contents.
    lost : Quarantine
        Evidence from all lost runs that had not got past their first events.

    Examples
    --------
    >>> now_s = 0.0
    >>> parts = PartQuarantine(lambda: now_s, QuarantineRule(), lambda change: None)
    >>> for number in range(3):
    ...     now_s += 1.0
    ...     run = LostRun(("shared", "dead"), sent_s=now_s, began=True)
    ...     _ = parts.record_begun(f"engine-{number}", [run], now_s)
    ...     parts.record_progress(("shared",))
    >>> parts.held_in(("shared", "other")), parts.held_in(("shared", "dead"))
    ((), ('dead',))
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rule: QuarantineRule,
        on_change: Callable[[QuarantineChange], None],
        rank_of: Callable[[str], int] = lambda endpoint: 0,
        may_be_network: Callable[[AbstractSet[str]], bool] = lambda endpoints: False,
    ):
        self._clock = clock
        rule = msgspec.structs.replace(rule, one_cause=True, max_announced=_MAX_ANNOUNCED)
        lost_rule = msgspec.structs.replace(rule, quarantine_s=_LOST_QUARANTINE_S)
        self.begun = Quarantine(clock, rule, self._explain_lost, rank_of, self._others_progress)
        self.lost = Quarantine(clock, lost_rule, on_change, rank_of, self._others_progress)
        self._started_s = clock()
        #: When a run last got past its first events here.
        self._progressed_s = float("-inf")
        self._on_change = on_change
        self._crashes = CrashLog(may_be_network)

    def _explain_lost(self, change: QuarantineChange) -> None:
        self.drop_explained()
        self._on_change(change)

    def _others_progress(self, suspect: Suspect) -> bool:
        """Return whether runs without a part have got further since its first loss.

        Otherwise it may be what all runs share, and something else the cause. Of losses before this
        router started others have judged.
        """
        first_s = suspect.in_order()[0].aborted_s
        return first_s < self._started_s or first_s < self._progressed_s

    def drop_explained(self) -> None:
        """Drop the evidence of all lost runs at endpoints that a part is sure to have crashed."""
        crashed = self.begun.confirmed_endpoints()
        if crashed:
            self.lost.drop_aborts_at(crashed, self._clock())

    def note_response(self, endpoint: str, sent_s: float) -> None:
        """Record that an endpoint responds to a request; it has not crashed before that."""
        if self._crashes.has_survived(endpoint, sent_s):
            self._drop_aborts_at({endpoint}, sent_s)

    def _drop_aborts_at(self, endpoints: AbstractSet[str], before_s: float) -> None:
        for evidence in (self.begun, self.lost):
            evidence.drop_aborts_at(endpoints, before_s)

    def merge(self, begun: QuarantineUpdate, lost: QuarantineUpdate) -> None:
        """Merge the updates of another router."""
        for run in (*begun.aborted, *lost.aborted):
            self._note_crash(run.endpoint, self._crashed_s(run))
        self.begun.merge(self._without_network(begun))
        self.lost.merge(self._without_network(lost))

    def _crashed_s(self, run: AbortedRun) -> float:
        return self._clock() - run.aborted_age_ms / 1_000

    def _without_network(self, update: QuarantineUpdate) -> QuarantineUpdate:
        aborted = tuple(
            run
            for run in update.aborted
            if not self._crashes.is_network(run.endpoint, self._crashed_s(run))
        )
        return QuarantineUpdate(aborted, update.completed)

    def _note_crash(self, endpoint: str, crashed_s: float) -> None:
        network = self._crashes.note(endpoint, crashed_s)
        if network:
            self._drop_aborts_at(network, self._clock())

    @property
    def confirmed_endpoints(self) -> set[str]:
        """The incarnations that parts are sure to have crashed."""
        return self.begun.confirmed_endpoints() | self.lost.confirmed_endpoints()

    @property
    def held_count(self) -> int:
        """Number of quarantined parts."""
        return self.begun.quarantined_count + self.lost.quarantined_count

    def record_begun(self, endpoint: str, runs: Iterable[LostRun], crashed_s: float) -> bool:
        """Record a crash at once; return whether a run that had begun has a suspected part."""
        begun = [run for run in runs if run.began]
        return self._record(self.begun, endpoint, begun, crashed_s)

    def record_lost(self, endpoint: str, runs: Iterable[LostRun], crashed_s: float) -> bool:
        """Record all lost runs, once other routers may have told what had begun."""
        if endpoint in self.begun.confirmed_endpoints():
            return False
        return self._record(self.lost, endpoint, runs, crashed_s)

    def _record(
        self, evidence: Quarantine, endpoint: str, runs: Iterable[LostRun], crashed_s: float
    ) -> bool:
        self._note_crash(endpoint, crashed_s)
        if self._crashes.is_network(endpoint, crashed_s):
            return False
        sent_s: dict[str, float] = {}
        for run in sorted(runs, key=lambda run: not run.began):
            for part in filter(self._is_suspect, run.parts):
                sent_s[part] = max(run.sent_s, sent_s.get(part, run.sent_s))
        suspects = list(sent_s)[:_MAX_SUSPECTS_PER_CRASH]
        # The most recently recorded are announced first.
        for part in reversed(suspects):
            evidence.record_abort(part, endpoint, sent_s[part], crashed_s)
        return bool(suspects)

    def _is_suspect(self, part: str) -> bool:
        return self._clock() - self.begun.answered_s(part) > _JUST_CLEARED_S

    def record_progress(self, parts: Iterable[str]) -> None:
        """Record that a run has got past its first events."""
        self._progressed_s = self._clock()
        for part in parts:
            self.begun.record_response(part)
            self.lost.record_response(part)

    def held_in(self, parts: Iterable[str]) -> tuple[str, ...]:
        """Return which of a prompt's parts are quarantined."""
        if not self.held_count:
            return ()
        return tuple(part for part in parts if self._left_s(part) > 0)

    def is_fatal(self, parts: Iterable[str]) -> bool:
        """Return whether runs with one of some parts that have not begun are better given up."""
        return any(self.begun.is_quarantined(part) for part in parts)

    def is_confirmed(self, parts: Iterable[str]) -> bool:
        """Return whether one of some parts is sure to crash endpoints."""
        return any(
            evidence.verdict(part) is Verdict.CONFIRMED
            for part in parts
            for evidence in (self.begun, self.lost)
        )

    def begin_trial(self, held: tuple[str, ...]) -> bool:
        """Return whether a request with quarantined parts is to be tried now.

        The result of a run with several of them would not tell which one it is about.
        """
        if len(held) != 1 or self.is_confirmed(held):
            return False
        return self.begun.begin_trial(held[0]) or self.lost.begin_trial(held[0])

    def end_trial(self, held: Iterable[str]) -> None:
        """Record that the trial of some part has ended, with any result."""
        for part in held:
            self.begun.end_trial(part)
            self.lost.end_trial(part)

    def left_s(self, held: Iterable[str]) -> float:
        """Return the remaining seconds of the longest quarantine of some parts."""
        return max(map(self._left_s, held), default=0.0)

    def _left_s(self, part: str) -> float:
        return max(self.begun.quarantine_left_s(part), self.lost.quarantine_left_s(part))
