# SPDX-License-Identifier: BSD-3-Clause
"""Holds back requests whose runs end endpoints, whichever id and router they come under.

A run is lost when its endpoint closes the connection before the answer is whole. That may be the
request's doing, another's that ran beside it, or a fault of the network. A content is held back
once its runs were lost at several incarnations of endpoints, at least one of them sent after
another had been lost, and none was answered since:

- several, because an engine takes up to 48 requests down with it, and each of these is lost once;
- sent again, because one reset of many connections loses many runs of a content that is much
  asked for at the same moment;
- none answered, because what ends each endpoint that runs it is never answered.

That is also seen of a harmless content that many ask for when another ends engines beside it, one
right after the other. So two kinds of evidence that it may be innocent are weighed:

- it was answered before. Its losses then count only where no suspicious content that was never
  answered was lost beside it, nor one that was at two engines, and it is held back on trial only;
- others that are as suspicious were lost wherever it was: not all of them need be guilty.

On trial means that all routers refuse it but one, which sends it once; the next in rank does so
a while later if nothing is heard. What was lost together has the same router, which tries one
content at a time, so that none is lost beside another again. An answer clears a content everywhere;
a further loss proves it, and clears those whose losses it explains.

A loss counts no longer once its endpoint is known to have outlived it: the same incarnation still
stands in the store when the entry of an ended process would be gone. Else a network that resets
all connections for some seconds would hold back, for minutes, what many ask for.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from collections.abc import Set as AbstractSet

import msgspec

from turnward.quarantine.messages import (
    EMPTY_QUARANTINE_UPDATE,
    AbortedRun,
    CompletedRun,
    QuarantineChange,
    QuarantineUpdate,
    Verdict,
)
from turnward.quarantine.suspects import Loss, Suspect, age_ms, explained_ends

__all__ = ["Quarantine", "QuarantineRule"]

#: Heartbeats that an ended process misses before its entry goes.
_HEARTBEATS_MISSED = 3
#: Common losses from which on a content that is not suspicious itself may be what ended engines.
_EXPLAINS_LEAST = 2
#: Seconds after the last loss at which a trial opens: all routers know of all losses then.
_TRIAL_OPENS_S = 0.6
#: Seconds by which each next router in rank begins later.
_TRIAL_STAGGER_S = 1.0
#: Longest that a trial keeps others from being begun by the same router.
_TRIAL_LASTS_S = 5.0
#: Contents remembered that were answered.
_ANSWERED_LIMIT = 4_096
#: Seconds, with a wide margin, in which routers learn that an entry has gone: feeds rest for 1 s,
#: and two levels of aggregators pass it on.
_NEWS_OF_ENDS_S = 6.4
#: Seconds for which a content is told after something was learnt of it: many rounds of messages,
#: most of which may be lost.
_NEWS_S = 5.0
#: Most contents told for that, which bounds a message: an engine that ends takes all its requests
#: with it.
_NEWS_LIMIT = 32


class QuarantineRule(msgspec.Struct, frozen=True, kw_only=True):
    """When and for how long a content is held back.

    Attributes
    ----------
    endpoints : int
        How many incarnations of endpoints its runs must have been lost at.
    hold_s : float
        Seconds since the last loss after which it may be tried again; a further loss then
        holds it back for as long again.
    memory_s : float
        Seconds after which a loss is forgotten.
    outlived_s : float
        Seconds after a loss, in unbroken contact with the store, after which an endpoint that
        still stands there did not end then.
    contents : int
        Most contents that are remembered; each takes under 1 KB.
    """

    endpoints: int = 3
    hold_s: float = 600.0
    memory_s: float = 3_600.0
    outlived_s: float = 10.0
    contents: int = 1_024

    @classmethod
    def from_heartbeat(cls, heartbeat_s: float) -> "QuarantineRule":
        """Return the rule for endpoints that write their entries that often."""
        return cls(outlived_s=_HEARTBEATS_MISSED * heartbeat_s + _NEWS_OF_ENDS_S)


class Quarantine:
    """The contents that one router suspects or holds back.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    rule : QuarantineRule
        When a content is held back.
    on_change : callable, optional
        Called with a ``QuarantineChange`` when a content is held back, proved or let go.
    rank_of : callable, optional
        Returns how many routers come before this one in trying what was lost at an endpoint.

    Examples
    --------
    >>> now_s = 0.0
    >>> quarantine = Quarantine(lambda: now_s)
    >>> for number in range(3):
    ...     now_s = float(number)
    ...     quarantine.record_abort("c", f"engine-{number}", sent_s=now_s)
    >>> quarantine.holds("c"), quarantine.holds("another")
    (True, False)
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rule: QuarantineRule | None = None,
        on_change: Callable[[QuarantineChange], None] | None = None,
        rank_of: Callable[[str], int] = lambda endpoint: 0,
    ):
        self._rank_of = rank_of
        self._clock = clock
        self._rule = rule or QuarantineRule()
        self._on_change = on_change
        #: In the order in which something was last learnt of them.
        self._suspects: OrderedDict[str, Suspect] = OrderedDict()
        #: Those with losses enough to be judged, and those of them that are held back.
        self._judged: set[str] = set()
        self._held: set[str] = set()
        #: When contents were answered here, in that order.
        self._answered: OrderedDict[str, float] = OrderedDict()
        #: The content that this router sends on trial, and until when it tries no other.
        self._tried = ""
        self._tries_until_s = float("-inf")
        self._turn = 0

    # What happens here.

    def record_abort(self, content: str, endpoint: str, sent_s: float) -> None:
        """Note that an endpoint closed the connection of a run before its answer was whole."""
        self.end_trial(content)
        self._take_loss(content, Loss(endpoint, sent_s, self._clock()), local=True)

    def record_response(self, content: str, success: bool = True) -> None:
        """Note a whole answer: what was lost until now was not the content's doing.

        A success is remembered for losses that come later; an error may not have run it.
        """
        self.end_trial(content)
        if success:
            self._remember_answer(content)
        if content in self._suspects:
            self._take_answer(content, self._clock(), local=True)

    def _remember_answer(self, content: str) -> None:
        self._answered[content] = self._clock()
        self._answered.move_to_end(content)
        if len(self._answered) > _ANSWERED_LIMIT:
            self._answered.popitem(last=False)

    def record_live_incarnations(self, standing: AbstractSet[str], contact_since_s: float) -> None:
        """Note which incarnations stand in the store, in contact with it since a moment."""
        before_s = self._clock() - self._rule.outlived_s
        if contact_since_s > before_s:
            return
        dropped = [suspect.drop_outlived(standing, before_s) for suspect in self._suspects.values()]
        if any(dropped):
            self._judge(local=True)

    def is_quarantined(self, content: str) -> bool:
        """Tell whether a content is to be sent to no endpoint now."""
        return self.quarantine_left_s(content) > 0

    def quarantine_left_s(self, content: str) -> float:
        """Return for how long a content is held back; 0 if it isn't.

        On trial, the time until that can have ended, over and over.
        """
        verdict = self.verdict(content)
        if verdict is Verdict.ALLOWED:
            return 0.0
        suspect, now_s = self._suspects[content], self._clock()
        if verdict is Verdict.ON_TRIAL:
            opens_in_s = max(0.0, suspect.last_lost_s + _TRIAL_OPENS_S - now_s)
            return opens_in_s + _TRIAL_STAGGER_S
        return max(0.0, suspect.last_lost_s + self._rule.hold_s - now_s)

    def verdict(self, content: str) -> Verdict:
        """Return what is done with a content now."""
        return self._suspects[content].verdict if content in self._held else Verdict.ALLOWED

    def begin_trial(self, content: str) -> bool:
        """Tell whether this router sends a content that is on trial now, and note that it does."""
        if self.verdict(content) is not Verdict.ON_TRIAL:
            return False
        suspect, now_s = self._suspects[content], self._clock()
        rank = self._rank_of(suspect.by_end()[0].endpoint)
        opens_s = suspect.last_lost_s + _TRIAL_OPENS_S + rank * _TRIAL_STAGGER_S
        if now_s < max(opens_s, self._tries_until_s):
            return False
        self._tried = content
        self._tries_until_s = now_s + _TRIAL_LASTS_S
        return True

    def end_trial(self, content: str) -> None:
        """Note that the trial of a content is over, whatever it showed."""
        if content == self._tried:
            self._tried = ""
            self._tries_until_s = float("-inf")

    @property
    def quarantined_count(self) -> int:
        """How many contents are held back."""
        return sum(1 for content in self._held if self.is_quarantined(content))

    def aborted_runs_of(self, content: str) -> tuple[AbortedRun, ...]:
        """Return the losses that make others hold a content back."""
        suspect = self._suspects.get(content)
        losses = suspect.by_end() if suspect is not None else ()
        return tuple(loss.told(content, self._clock()) for loss in losses)

    def within_retention(self, lost: Sequence[AbortedRun]) -> bool:
        """Tell whether losses are young enough to be taken in."""
        return min((run.lost_age_ms for run in lost), default=1e12) <= self._rule.memory_s * 1_000

    # What others tell.

    def make_update(self) -> QuarantineUpdate:
        """Return what others are told: what was learnt lately, and in turn what is held back.

        Told for as long as they are remembered, contents would fill each message for an hour. Who
        starts later reads from the store what is held back.
        """
        if not self._suspects:
            return EMPTY_QUARANTINE_UPDATE
        self._forget_old()
        now_s = self._clock()
        contents = self._news(now_s)
        held = self._next_held()
        if held is not None and held not in contents:
            contents.append(held)
        lost: list[AbortedRun] = []
        served: list[CompletedRun] = []
        for content in contents:
            suspect = self._suspects[content]
            lost.extend(loss.told(content, now_s) for loss in suspect.by_end())
            if suspect.served_s > float("-inf"):
                served.append(CompletedRun(content, age_ms(now_s, suspect.served_s)))
        return QuarantineUpdate(tuple(lost), tuple(served))

    def _news(self, now_s: float) -> list[str]:
        """Return the contents of which something was learnt lately, the newest first."""
        news = []
        for content, suspect in reversed(self._suspects.items()):
            if suspect.learnt_s < now_s - _NEWS_S or len(news) == _NEWS_LIMIT:
                break
            news.append(content)
        return news

    def _next_held(self) -> str | None:
        """Return the content whose turn it is among those held back."""
        held = sorted(self._held)
        if not held:
            return None
        self._turn += 1
        return held[self._turn % len(held)]

    def merge(self, make_update: QuarantineUpdate) -> None:
        """Take in what another router tells."""
        now_s = self._clock()
        for run in make_update.served:
            if run.content in self._suspects:
                self._take_answer(run.content, now_s - run.age_ms / 1_000, local=False)
        for run in make_update.lost:
            loss = Loss(
                run.endpoint, now_s - run.sent_age_ms / 1_000, now_s - run.lost_age_ms / 1_000
            )
            self._take_loss(run.content, loss, local=False)

    # Changes.

    def _take_loss(self, content: str, loss: Loss, local: bool) -> None:
        suspect = self._suspects.get(content)
        if suspect is None:
            suspect = self._suspects[content] = self._new_suspect(content)
        lapsed = content in self._held and not self.is_quarantined(content)
        if not suspect.add(loss):
            return
        suspect.learnt_s = self._clock()
        self._suspects.move_to_end(content)
        if lapsed:
            # Its hold was over, and it has ended another.
            self._held.discard(content)
            suspect.verdict = Verdict.ALLOWED
        if len(suspect.losses) >= self._rule.endpoints:
            self._judged.add(content)
        self._judge(local)
        self._make_room()

    def _new_suspect(self, content: str) -> Suspect:
        suspect = Suspect()
        if content in self._answered:
            # Others have to hear of that, also where it refutes what they tell.
            suspect.served_s = self._answered[content]
            suspect.learnt_s = self._clock()
        return suspect

    def _take_answer(self, content: str, served_s: float, local: bool) -> None:
        suspect = self._suspects[content]
        if not suspect.clear(served_s):
            return
        suspect.learnt_s = self._clock()
        self._suspects.move_to_end(content)
        self._judge(local)

    def _judge(self, local: bool) -> None:
        """Bring all verdicts up to date: what is learnt of one content may clear another."""
        for content in list(self._judged):
            suspect = self._suspects[content]
            verdict = self._weigh(content, suspect)
            if len(suspect.losses) < self._rule.endpoints:
                self._judged.discard(content)
            if verdict is not suspect.verdict:
                self._change(content, suspect, verdict, local)

    def _change(self, content: str, suspect: Suspect, verdict: Verdict, local: bool) -> None:
        suspect.verdict = verdict
        if verdict is Verdict.ALLOWED:
            self._held.discard(content)
        else:
            self._held.add(content)
        self._tell(QuarantineChange(content, verdict, tuple(sorted(suspect.losses)), local))

    def _weigh(self, content: str, suspect: Suspect) -> Verdict:
        """Return what the evidence of a content, and of those lost beside it, asks for."""
        if not self._is_suspicious(suspect):
            return Verdict.ALLOWED
        if suspect.was_tried:
            return Verdict.CONFIRMED
        others = [
            other
            for name, other in self._suspects.items()
            if name != content and not other.answered and other.losses
        ]
        if self._is_excused(suspect, others):
            return Verdict.ALLOWED
        explained = explained_ends(suspect, filter(self._is_suspicious, others))
        if suspect.answered or self._too_few(suspect, explained):
            return Verdict.ON_TRIAL
        return Verdict.CONFIRMED

    def _is_excused(self, suspect: Suspect, others: list[Suspect]) -> bool:
        """Tell whether others that were never answered explain what a content lost."""
        if not suspect.answered:
            return self._too_few(
                suspect, explained_ends(suspect, (other for other in others if other.was_tried))
            )
        explained = explained_ends(suspect, filter(self._is_suspicious, others))
        # One that is not suspicious yet counts if it was sent again to where this one was.
        single = max((suspect.common(other) for other in others), key=len, default=frozenset())
        if len(single) >= _EXPLAINS_LEAST:
            explained |= single
        return self._too_few(suspect, explained)

    def _too_few(self, suspect: Suspect, explained: AbstractSet[str]) -> bool:
        """Tell whether too few losses of a content are left without an explanation."""
        return len(suspect.losses) - len(explained) < self._rule.endpoints

    def _is_suspicious(self, suspect: Suspect) -> bool:
        return len(suspect.losses) >= self._rule.endpoints and suspect.sent_again

    def _tell(self, change: QuarantineChange) -> None:
        if self._on_change is not None:
            self._on_change(change)

    def _forget_old(self) -> None:
        since_s = self._clock() - self._rule.memory_s
        old = [
            content
            for content, suspect in self._suspects.items()
            if max(suspect.last_lost_s, suspect.served_s) < since_s
        ]
        for content in old:
            self._forget(content)

    def _make_room(self) -> None:
        """Forget the oldest that is not held back, or the oldest."""
        if len(self._suspects) <= self._rule.contents:
            return
        oldest = next((one for one in self._suspects if one not in self._held), None)
        self._forget(next(iter(self._suspects)) if oldest is None else oldest)

    def _forget(self, content: str) -> None:
        del self._suspects[content]
        self._held.discard(content)
        self._judged.discard(content)
