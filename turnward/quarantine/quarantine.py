# SPDX-License-Identifier: BSD-3-Clause
"""Quarantines requests that crash endpoints, whatever their ids and the routers they arrive at.

Requests with the same method, path, workspace and body have the same content. A run is aborted
when its endpoint closes the connection before the response is complete. The cause may be the
request itself, another one that ran at the same time, or the network. A content is quarantined
when several incarnations of endpoints have aborted its runs, at least one of these runs was sent
after another had been aborted, and there has been no response since:

- several incarnations, because a crash aborts all runs of an endpoint, once each;
- sent again, because a reset of many connections aborts many runs of a popular content at once;
- no response, because a content that crashes every endpoint never gets one.

A harmless popular content meets these conditions too, when another content crashes endpoints in
quick succession. So two kinds of evidence are taken into account in its favor:

- It was answered before. Then its aborts are ignored at endpoints that also aborted a suspicious
  content without any response, or another unanswered content that shares at least two aborts with
  it: at the same time, or shortly before, since a crashed endpoint is listed until its entry
  expires. If enough aborts remain, it is quarantined on trial only.
- Equally suspicious contents were aborted at the same endpoints, so that any of them may be the
  cause.

A content on trial is refused by all routers but one, which sends it once. If no result is
announced, the router of the next rank sends it some time later. Contents that were aborted together
have the same router, which tries one at a time, so that they do not run together again. A response
clears a content at all routers. Another abort confirms it, and clears the contents whose aborts it
explains. An abort at an endpoint that another content had crashed before decides nothing.

An abort is dropped when its endpoint is known to have survived it: the same incarnation still has
an entry in the store when that of a crashed process would have expired. Otherwise, some seconds of
connection resets would quarantine popular contents for minutes.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Sequence
from collections.abc import Set as AbstractSet

from turnward.quarantine.messages import (
    EMPTY_QUARANTINE_UPDATE,
    AbortedRun,
    CompletedRun,
    QuarantineChange,
    QuarantineUpdate,
    Verdict,
)
from turnward.quarantine.rule import QuarantineRule
from turnward.quarantine.suspects import Abort, Suspect, age_ms, explained_endpoints

__all__ = ["Quarantine"]

#: Common aborts from which on a content that is not suspicious itself explains those of another.
_MIN_COMMON_ABORTS = 2
#: Time between the last abort and a trial, in which all routers receive all aborts.
_TRIAL_DELAY_S = 0.6
#: Additional delay of a trial per rank of the router.
_TRIAL_DELAY_PER_RANK_S = 1.0
#: Longest time for which a trial keeps the same router from beginning another.
_TRIAL_TIMEOUT_S = 5.0
#: Number of contents remembered as answered.
_MAX_ANSWERED = 4_096
#: Time for which a content is announced after its evidence changed. It spans many messages, since
#: most of them may be lost.
_ANNOUNCE_S = 5.0


class Quarantine:
    """The contents that one router suspects or quarantines.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    rule : QuarantineRule
        When and for how long a content is quarantined.
    on_change : callable, optional
        Called with a ``QuarantineChange`` when the verdict on a content changes.
    rank_of : callable, optional
        Returns this router's rank, from 0, in the order in which routers begin trials of the
        contents that a given endpoint was the first to abort.
    may_confirm : callable, optional
        Returns whether a suspect may be confirmed without a failed trial.

    Examples
    --------
    >>> now_s = 0.0
    >>> quarantine = Quarantine(lambda: now_s)
    >>> for number in range(3):
    ...     now_s = float(number)
    ...     quarantine.record_abort("c", f"engine-{number}", sent_s=now_s)
    >>> quarantine.is_quarantined("c"), quarantine.is_quarantined("another")
    (True, False)
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rule: QuarantineRule | None = None,
        on_change: Callable[[QuarantineChange], None] | None = None,
        rank_of: Callable[[str], int] = lambda endpoint: 0,
        may_confirm: Callable[[Suspect], bool] = lambda suspect: True,
    ):
        self._rank_of = rank_of
        self._may_confirm = may_confirm
        self._clock = clock
        self._rule = rule or QuarantineRule()
        self._on_change = on_change
        #: Suspects by content, the most recently changed last.
        self._suspects: OrderedDict[str, Suspect] = OrderedDict()
        #: Contents with enough aborts to be assessed, and the quarantined ones among them.
        self._candidates: set[str] = set()
        self._quarantined: set[str] = set()
        #: Contents that this router got a response to, with its time, in order of time.
        self._answered: OrderedDict[str, float] = OrderedDict()
        #: The content of this router's current trial, and when the trial times out.
        self._trial_content = ""
        self._trial_until_s = float("-inf")
        self._rotation = 0

    # Events at this router.

    def record_abort(
        self, content: str, endpoint: str, sent_s: float, aborted_s: float | None = None
    ) -> None:
        """Record that an endpoint closed a connection early, by default just now."""
        self.end_trial(content)
        aborted_s = self._clock() if aborted_s is None else aborted_s
        self._add_abort(content, Abort(endpoint, sent_s, aborted_s), local=True)

    def record_response(self, content: str, success: bool = True) -> None:
        """Record a complete response, which drops the content's aborts so far.

        A success is also remembered for the assessment of later aborts. An error is not, since the
        endpoint may not have run the request.
        """
        self.end_trial(content)
        if success:
            self._remember_response(content)
        if content in self._suspects:
            self._add_response(content, self._clock(), local=True)

    def _remember_response(self, content: str) -> None:
        self._answered[content] = self._clock()
        self._answered.move_to_end(content)
        if len(self._answered) > _MAX_ANSWERED:
            self._answered.popitem(last=False)

    def record_live_incarnations(self, live: AbstractSet[str], reachable_since_s: float) -> None:
        """Record which incarnations have entries, and since when the store has been reachable."""
        before_s = self._clock() - self._rule.survival_s
        if reachable_since_s <= before_s:
            self.drop_aborts_at(live, before_s)

    def drop_aborts_at(self, endpoints: AbstractSet[str], before_s: float) -> None:
        """Drop earlier aborts at endpoints that survived them, or that something else crashed."""
        dropped = [
            suspect.drop_survived(endpoints, before_s) for suspect in self._suspects.values()
        ]
        if any(dropped):
            self._update_verdicts(local=True)

    def answered_s(self, content: str) -> float:
        """Return when this router last got a response to a content; minus infinity if never."""
        return self._answered.get(content, float("-inf"))

    def confirmed_endpoints(self) -> set[str]:
        """Return the incarnations that contents which are sure to crash endpoints have crashed."""
        confirmed = (
            self._suspects[content]
            for content in self._quarantined
            if self.verdict(content) is Verdict.CONFIRMED
        )
        return {endpoint for suspect in confirmed for endpoint in suspect.aborts}

    def is_quarantined(self, content: str) -> bool:
        """Return whether a content may not be sent to endpoints now."""
        return self.quarantine_left_s(content) > 0

    def quarantine_left_s(self, content: str) -> float:
        """Return the remaining seconds of a content's quarantine; 0 if it is not quarantined.

        For a content on trial, this is the time until the trial may have ended.
        """
        verdict = self.verdict(content)
        if verdict is Verdict.ALLOWED:
            return 0.0
        suspect, now_s = self._suspects[content], self._clock()
        if verdict is Verdict.ON_TRIAL:
            delay_s = max(0.0, suspect.last_abort_s + _TRIAL_DELAY_S - now_s)
            return delay_s + _TRIAL_DELAY_PER_RANK_S
        return max(0.0, suspect.last_abort_s + self._rule.quarantine_s - now_s)

    def verdict(self, content: str) -> Verdict:
        """Return the current verdict on a content."""
        return self._suspects[content].verdict if content in self._quarantined else Verdict.ALLOWED

    def begin_trial(self, content: str) -> bool:
        """Return whether this router is to try a content now; if so, its trial has begun."""
        if self.verdict(content) is not Verdict.ON_TRIAL:
            return False
        suspect, now_s = self._suspects[content], self._clock()
        rank = self._rank_of(suspect.in_order()[0].endpoint)
        begins_s = suspect.last_abort_s + _TRIAL_DELAY_S + rank * _TRIAL_DELAY_PER_RANK_S
        if now_s < max(begins_s, self._trial_until_s):
            return False
        self._trial_content = content
        self._trial_until_s = now_s + _TRIAL_TIMEOUT_S
        return True

    def end_trial(self, content: str) -> None:
        """Record that the trial of a content has ended, with any result."""
        if content == self._trial_content:
            self._trial_content = ""
            self._trial_until_s = float("-inf")

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined contents."""
        return sum(1 for content in self._quarantined if self.is_quarantined(content))

    def aborted_runs_of(self, content: str) -> tuple[AbortedRun, ...]:
        """Return the aborts from which other routers reach the same verdict on a content."""
        suspect = self._suspects.get(content)
        aborts = suspect.in_order() if suspect is not None else ()
        return tuple(abort.to_message(content, self._clock()) for abort in aborts)

    def within_retention(self, runs: Sequence[AbortedRun]) -> bool:
        """Return whether the latest of some aborts is recent enough to be remembered."""
        return (
            min((run.aborted_age_ms for run in runs), default=1e12)
            <= self._rule.retention_s * 1_000
        )

    # Updates between routers.

    def make_update(self) -> QuarantineUpdate:
        """Return an update with the recently changed contents, and one of the quarantined in turn.

        Announcing all remembered contents would make messages too large. Routers that start later
        read the quarantined ones from the store.
        """
        if not self._suspects:
            return EMPTY_QUARANTINE_UPDATE
        self._forget_expired()
        now_s = self._clock()
        contents = self._recently_changed(now_s)
        # Each router that passes a response on adds a delay to its time. If that went on for the
        # whole quarantine, an old response would seem later than the aborts and end it.
        completed = [
            CompletedRun(content, age_ms(now_s, self._suspects[content].response_s))
            for content in contents
            if self._suspects[content].answered
        ]
        quarantined = self._next_quarantined()
        if quarantined is not None and quarantined not in contents:
            contents.append(quarantined)
        aborted: list[AbortedRun] = []
        for content in contents:
            suspect = self._suspects[content]
            aborted.extend(abort.to_message(content, now_s) for abort in suspect.in_order())
        return QuarantineUpdate(tuple(aborted), tuple(completed))

    def _recently_changed(self, now_s: float) -> list[str]:
        """Return the contents whose evidence changed recently, the newest first."""
        changed = []
        for content, suspect in reversed(self._suspects.items()):
            if suspect.updated_s < now_s - _ANNOUNCE_S or len(changed) == self._rule.max_announced:
                break
            changed.append(content)
        return changed

    def _next_quarantined(self) -> str | None:
        """Return the next quarantined content in a fixed rotation."""
        quarantined = sorted(self._quarantined)
        if not quarantined:
            return None
        self._rotation += 1
        return quarantined[self._rotation % len(quarantined)]

    def merge(self, update: QuarantineUpdate) -> None:
        """Merge the update of another router."""
        now_s = self._clock()
        for run in update.completed:
            if run.content in self._suspects:
                self._add_response(run.content, now_s - run.age_ms / 1_000, local=False)
        for run in update.aborted:
            abort = Abort(
                run.endpoint, now_s - run.sent_age_ms / 1_000, now_s - run.aborted_age_ms / 1_000
            )
            self._add_abort(run.content, abort, local=False)

    # Evidence and verdicts.

    def _add_abort(self, content: str, abort: Abort, local: bool) -> None:
        suspect = self._suspects.get(content)
        if suspect is None:
            suspect = self._suspects[content] = self._new_suspect(content)
        expired = content in self._quarantined and not self.is_quarantined(content)
        if not suspect.add(abort):
            return
        suspect.updated_s = self._clock()
        self._suspects.move_to_end(content)
        if expired:
            # The quarantine had expired, and the content has aborted another run.
            self._quarantined.discard(content)
            suspect.verdict = Verdict.ALLOWED
        if len(suspect.aborts) >= self._rule.min_endpoints:
            self._candidates.add(content)
        self._update_verdicts(local)
        self._evict()

    def _new_suspect(self, content: str) -> Suspect:
        suspect = Suspect()
        if content in self._answered:
            # Others need this response too, as it may refute their aborts.
            suspect.response_s = self._answered[content]
            suspect.updated_s = self._clock()
        return suspect

    def _add_response(self, content: str, response_s: float, local: bool) -> None:
        suspect = self._suspects[content]
        if not suspect.clear(response_s):
            return
        suspect.updated_s = self._clock()
        self._suspects.move_to_end(content)
        self._update_verdicts(local)

    def _update_verdicts(self, local: bool) -> None:
        """Update all verdicts, since evidence on one content may clear another."""
        candidates = list(self._candidates)
        confirmed = self._with_failed_trials([self._suspects[content] for content in candidates])
        for content in candidates:
            suspect = self._suspects[content]
            verdict = self._assess(content, suspect, confirmed)
            if len(suspect.aborts) < self._rule.min_endpoints:
                self._candidates.discard(content)
            if verdict is not suspect.verdict:
                self._set_verdict(content, suspect, verdict, local)

    def _set_verdict(self, content: str, suspect: Suspect, verdict: Verdict, local: bool) -> None:
        suspect.verdict = verdict
        if verdict is Verdict.ALLOWED:
            self._quarantined.discard(content)
        else:
            self._quarantined.add(content)
        self._notify(QuarantineChange(content, verdict, tuple(sorted(suspect.aborts)), local))

    def _assess(self, content: str, suspect: Suspect, confirmed: list[Suspect]) -> Verdict:
        """Return the verdict from the evidence on a content and on those aborted with it.

        ``confirmed`` holds the suspects with failed trials.
        """
        if not self._is_suspicious(suspect):
            return Verdict.ALLOWED
        if suspect in confirmed and not suspect.answered:
            return Verdict.CONFIRMED
        others = [
            other
            for other_content, other in self._suspects.items()
            if other_content != content and not other.answered and other.aborts
        ]
        # An answered content whose aborts are explained has not been on trial.
        if self._is_explained(suspect, others, confirmed):
            return Verdict.ALLOWED
        if suspect in confirmed:
            return Verdict.CONFIRMED
        explained = self._explained_endpoints(
            suspect, (other for other in others if self._may_explain(suspect, other))
        )
        tried = suspect.answered or not self._may_confirm(suspect)
        if tried or self._has_too_few_unexplained(suspect, explained):
            return Verdict.ON_TRIAL
        return Verdict.CONFIRMED

    def _may_explain(self, suspect: Suspect, other: Suspect) -> bool:
        """Return whether another content is suspicious, or shares several aborts with this one."""
        suspicious = self._is_suspicious(other)
        if suspicious or self._rule.one_cause:
            return suspicious
        common = self._explained_endpoints(suspect, (other,))
        return len(common) >= _MIN_COMMON_ABORTS and other.was_resent

    def _is_explained(
        self, suspect: Suspect, others: list[Suspect], confirmed: list[Suspect]
    ) -> bool:
        """Return whether unanswered contents explain too many aborts of a content to suspect it."""
        if not suspect.answered:
            unanswered = (other for other in confirmed if not other.answered)
            return self._has_too_few_unexplained(
                suspect, self._explained_endpoints(suspect, unanswered)
            )
        explained = self._explained_endpoints(suspect, filter(self._is_suspicious, others))
        # A content that is not suspicious itself counts if it shares several aborts with this one.
        most_common = max(
            (self._explained_endpoints(suspect, (other,)) for other in others),
            key=len,
            default=frozenset(),
        )
        if len(most_common) >= _MIN_COMMON_ABORTS:
            explained |= most_common
        return self._has_too_few_unexplained(suspect, explained)

    def _with_failed_trials(self, candidates: list[Suspect]) -> list[Suspect]:
        """Return the candidates of which a trial was aborted that decides.

        The abort decides nothing if another content had crashed the endpoint before.
        """
        by_endpoint: defaultdict[str, list[Suspect]] = defaultdict(list)
        for suspect in candidates:
            if not suspect.answered and self._is_suspicious(suspect):
                for endpoint in suspect.aborts:
                    by_endpoint[endpoint].append(suspect)

        def had_crashed(trial: Abort, suspect: Suspect) -> bool:
            return any(
                other is not suspect and other.aborted_before(trial, self._rule.survival_s)
                for other in by_endpoint[trial.endpoint]
            )

        return [
            suspect
            for suspect in candidates
            if any(not had_crashed(trial, suspect) for trial in suspect.failed_trials())
        ]

    def _explained_endpoints(self, suspect: Suspect, others: Iterable[Suspect]) -> set[str]:
        return explained_endpoints(suspect, others, self._rule.survival_s)

    def _has_too_few_unexplained(self, suspect: Suspect, explained: AbstractSet[str]) -> bool:
        """Return whether too few unexplained aborts remain for a quarantine."""
        return len(suspect.aborts) - len(explained) < self._rule.min_endpoints

    def _is_suspicious(self, suspect: Suspect) -> bool:
        losses = suspect.instants if self._rule.one_cause else len(suspect.aborts)
        return losses >= self._rule.min_endpoints and suspect.was_resent

    def _notify(self, change: QuarantineChange) -> None:
        if self._on_change is not None:
            self._on_change(change)

    def _forget_expired(self) -> None:
        since_s = self._clock() - self._rule.retention_s
        expired = [
            content
            for content, suspect in self._suspects.items()
            if max(suspect.last_abort_s, suspect.response_s) < since_s
        ]
        for content in expired:
            self._forget(content)

    def _evict(self) -> None:
        """Forget the oldest content that is not quarantined, or else the oldest."""
        if len(self._suspects) <= self._rule.max_contents:
            return
        oldest = next(
            (content for content in self._suspects if content not in self._quarantined), None
        )
        self._forget(next(iter(self._suspects)) if oldest is None else oldest)

    def _forget(self, content: str) -> None:
        del self._suspects[content]
        self._quarantined.discard(content)
        self._candidates.discard(content)
