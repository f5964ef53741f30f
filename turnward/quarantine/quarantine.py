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

A loss counts no longer once its endpoint is known to have outlived it: the same incarnation still
stands in the store when the entry of an ended process would be gone. Else a network that resets
all connections for some seconds would hold back, for minutes, what many ask for.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from collections.abc import Set as AbstractSet

import msgspec

from turnward.quarantine.messages import (
    NO_WORD,
    LostRun,
    QuarantineChange,
    QuarantineWord,
    ServedRun,
)

__all__ = ["Quarantine", "QuarantineRule"]

#: Seconds within which two words on a content and an endpoint are taken for the same loss: ages
#: leave out the time on the way, and all routers heard of a loss within 0.5 s at 86 routers.
_SAME_LOSS_S = 1.0
#: Heartbeats that an ended process misses before its entry goes.
_HEARTBEATS_MISSED = 3
#: Seconds, with a wide margin, in which routers learn that an entry has gone: feeds rest for 1 s,
#: and two levels of aggregators pass it on.
_NEWS_OF_ENDS_S = 6.4
#: Losses kept of one content; the first ones and the last tell most.
_LOSSES_LIMIT = 8
#: Losses told of one content: three make others hold it back.
_TOLD_LOSSES = 3
#: Seconds for which a content is told after something was learnt of it: word was everywhere after
#: 0.5 s at 86 routers, so that most of it may be lost on the way.
_NEWS_S = 5.0
#: Most contents told for that: an engine that ends takes up to 48 requests with it. 1.6 KB where
#: each was lost once, 4.9 KB where three times.
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


class _Loss(msgspec.Struct, frozen=True):
    """One lost run, by the own clock."""

    endpoint: str
    sent_s: float
    lost_s: float

    def told(self, content: str, now_s: float) -> LostRun:
        """Return the loss as others are told of it."""
        sent_age_ms = _age_ms(now_s, self.sent_s)
        return LostRun(content, self.endpoint, sent_age_ms, _age_ms(now_s, self.lost_s))


class _Suspect:
    """What is known of one content."""

    __slots__ = ("last_lost_s", "learnt_s", "losses", "outlived", "served_s")

    def __init__(self):
        self.losses: dict[str, _Loss] = {}
        #: Incarnations that outlived a loss, with when that was lost.
        self.outlived: dict[str, float] = {}
        self.last_lost_s = float("-inf")
        self.served_s = float("-inf")
        self.learnt_s = float("-inf")

    def add(self, loss: _Loss) -> bool:
        """Take in a loss; True when it was not known."""
        known = self.losses.get(loss.endpoint)
        outlived_s = self.outlived.get(loss.endpoint, float("-inf")) + _SAME_LOSS_S
        if loss.lost_s <= max(self.served_s, outlived_s):
            return False
        if known is not None and loss.lost_s < known.lost_s + _SAME_LOSS_S:
            if loss.lost_s < known.lost_s:
                self.losses[loss.endpoint] = loss
            return False
        self.last_lost_s = max(self.last_lost_s, loss.lost_s)
        if known is None:
            self.losses[loss.endpoint] = loss
            self._make_room()
        return True

    def _make_room(self) -> None:
        if len(self.losses) > _LOSSES_LIMIT:
            by_end = sorted(self.losses.values(), key=lambda loss: loss.lost_s)
            del self.losses[by_end[_LOSSES_LIMIT // 2].endpoint]

    def clear(self, served_s: float) -> bool:
        """Drop the losses up to an answer; False when there is none."""
        if all(loss.lost_s > served_s for loss in self.losses.values()):
            return False
        self.served_s = served_s
        self.losses = {
            endpoint: loss for endpoint, loss in self.losses.items() if loss.lost_s > served_s
        }
        return True

    def drop_outlived(self, standing: AbstractSet[str], before_s: float) -> bool:
        """Drop the losses before a moment at endpoints that still stand; False if there is none."""
        outlived = [
            loss
            for loss in self.losses.values()
            if loss.lost_s <= before_s and loss.endpoint in standing
        ]
        for loss in outlived:
            del self.losses[loss.endpoint]
            self.outlived[loss.endpoint] = loss.lost_s
        while len(self.outlived) > _LOSSES_LIMIT:
            del self.outlived[next(iter(self.outlived))]
        return bool(outlived)

    @property
    def sent_again(self) -> bool:
        """Whether a run that was lost had been sent after another was lost."""
        first_lost_s = min(loss.lost_s for loss in self.losses.values())
        return max(loss.sent_s for loss in self.losses.values()) >= first_lost_s

    def evidence(self) -> list[_Loss]:
        """Return the losses that tell most: the first, and those that were sent last."""
        by_end = sorted(self.losses.values(), key=lambda loss: loss.lost_s)
        last_sent = sorted(by_end[1:], key=lambda loss: loss.sent_s, reverse=True)
        return [*by_end[:1], *last_sent[: _TOLD_LOSSES - 1]]


class Quarantine:
    """The contents that one router suspects or holds back.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    rule : QuarantineRule
        When a content is held back.
    on_change : callable, optional
        Called with a ``QuarantineChange`` when a content is held back or no longer.

    Examples
    --------
    >>> now_s = 0.0
    >>> quarantine = Quarantine(lambda: now_s)
    >>> for number in range(3):
    ...     now_s = float(number)
    ...     quarantine.note_lost("c", f"engine-{number}", sent_s=now_s)
    >>> quarantine.holds("c"), quarantine.holds("another")
    (True, False)
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rule: QuarantineRule | None = None,
        on_change: Callable[[QuarantineChange], None] | None = None,
    ):
        self._clock = clock
        self._rule = rule or QuarantineRule()
        self._on_change = on_change
        #: In the order in which something was last learnt of them.
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._held: set[str] = set()
        self._turn = 0

    # What happens here.

    def note_lost(self, content: str, endpoint: str, sent_s: float) -> None:
        """Note that an endpoint closed the connection of a run before its answer was whole."""
        self._take_loss(content, _Loss(endpoint, sent_s, self._clock()), own=True)

    def note_served(self, content: str) -> None:
        """Note a whole answer: what was lost until now was not the content's doing."""
        if content in self._suspects:
            self._take_answer(content, self._clock(), own=True)

    def note_standing(self, standing: AbstractSet[str], contact_since_s: float) -> None:
        """Note which incarnations stand in the store, in contact with it since a moment."""
        before_s = self._clock() - self._rule.outlived_s
        if contact_since_s > before_s:
            return
        for content, suspect in self._suspects.items():
            if suspect.drop_outlived(standing, before_s):
                self._free(content, suspect, own=True)

    def holds(self, content: str) -> bool:
        """Tell whether a content is to be sent to no endpoint now."""
        return self.held_for_s(content) > 0

    def held_for_s(self, content: str) -> float:
        """Return for how long a content is held back; 0 if it isn't."""
        if content not in self._held:
            return 0.0
        until_s = self._suspects[content].last_lost_s + self._rule.hold_s
        return max(0.0, until_s - self._clock())

    @property
    def held_count(self) -> int:
        """How many contents are held back."""
        return sum(1 for content in self._held if self.holds(content))

    def losses_of(self, content: str) -> tuple[LostRun, ...]:
        """Return the losses that make others hold a content back."""
        suspect = self._suspects.get(content)
        losses = suspect.evidence() if suspect is not None else ()
        return tuple(loss.told(content, self._clock()) for loss in losses)

    def remembers(self, lost: Sequence[LostRun]) -> bool:
        """Tell whether losses are young enough to be taken in."""
        return min((run.lost_age_ms for run in lost), default=1e12) <= self._rule.memory_s * 1_000

    # What others tell.

    def word(self) -> QuarantineWord:
        """Return what others are told: what was learnt lately, and in turn what is held back.

        Told for as long as they are remembered, twelve contents of three losses would add 1.8 KB
        to each message for an hour; one adds 156 bytes. Who starts later reads from the store what
        is held back.
        """
        if not self._suspects:
            return NO_WORD
        self._forget_old()
        now_s = self._clock()
        contents = self._news(now_s)
        held = self._next_held()
        if held is not None and held not in contents:
            contents.append(held)
        lost: list[LostRun] = []
        served: list[ServedRun] = []
        for content in contents:
            suspect = self._suspects[content]
            lost.extend(loss.told(content, now_s) for loss in suspect.evidence())
            if suspect.served_s > float("-inf"):
                served.append(ServedRun(content, _age_ms(now_s, suspect.served_s)))
        return QuarantineWord(tuple(lost), tuple(served))

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

    def take_in(self, word: QuarantineWord) -> None:
        """Take in what another router tells."""
        now_s = self._clock()
        for run in word.served:
            if run.content in self._suspects:
                self._take_answer(run.content, now_s - run.age_ms / 1_000, own=False)
        for run in word.lost:
            loss = _Loss(
                run.endpoint, now_s - run.sent_age_ms / 1_000, now_s - run.lost_age_ms / 1_000
            )
            self._take_loss(run.content, loss, own=False)

    # Changes.

    def _take_loss(self, content: str, loss: _Loss, own: bool) -> None:
        suspect = self._suspects.get(content)
        if suspect is None:
            suspect = self._suspects[content] = _Suspect()
        held = self.holds(content)
        if not suspect.add(loss):
            return
        suspect.learnt_s = self._clock()
        self._suspects.move_to_end(content)
        if not held and len(suspect.losses) >= self._rule.endpoints and suspect.sent_again:
            self._held.add(content)
            self._tell(QuarantineChange(content, True, tuple(sorted(suspect.losses)), own))
        self._make_room()

    def _take_answer(self, content: str, served_s: float, own: bool) -> None:
        suspect = self._suspects[content]
        if not suspect.clear(served_s):
            return
        suspect.learnt_s = self._clock()
        self._suspects.move_to_end(content)
        self._free(content, suspect, own)

    def _free(self, content: str, suspect: _Suspect, own: bool) -> None:
        """Hold a content back no longer where too little is left against it."""
        if content in self._held and len(suspect.losses) < self._rule.endpoints:
            self._held.discard(content)
            self._tell(QuarantineChange(content, False, tuple(sorted(suspect.losses)), own))

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


def _age_ms(now_s: float, then_s: float) -> int:
    """Return an age; never below 0."""
    return max(0, round((now_s - then_s) * 1_000))
