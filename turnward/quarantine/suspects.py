# SPDX-License-Identifier: BSD-3-Clause
"""What is known of one content whose runs were lost: where, when, and whether it was answered."""

import itertools
from collections.abc import Iterable
from collections.abc import Set as AbstractSet

import msgspec

from turnward.quarantine.messages import AbortedRun, Verdict

__all__ = ["Loss", "Suspect", "age_ms", "explained_ends"]

#: Seconds within which two words on a content and an endpoint are taken for the same loss: ages
#: leave out the time on the way.
_SAME_LOSS_S = 1.0
#: Seconds between the last loss and a send by which that is known to be a trial.
_TRIAL_GAP_S = 0.5
#: Losses after which a further one may be that of a trial.
_TRIED_AFTER = 3
#: Losses kept, and told, of one content; the first ones and the last tell most.
_LOSSES_LIMIT = 8


class Loss(msgspec.Struct, frozen=True):
    """One lost run, by the own clock."""

    endpoint: str
    sent_s: float
    lost_s: float

    def told(self, content: str, now_s: float) -> AbortedRun:
        """Return the loss as others are told of it."""
        sent_age_ms = age_ms(now_s, self.sent_s)
        return AbortedRun(content, self.endpoint, sent_age_ms, age_ms(now_s, self.lost_s))


class Suspect:
    """What is known of one content."""

    __slots__ = (
        "last_lost_s",
        "learnt_s",
        "losses",
        "outlived",
        "served_s",
        "verdict",
    )

    def __init__(self):
        self.verdict = Verdict.ALLOWED
        self.losses: dict[str, Loss] = {}
        #: Incarnations that outlived a loss, with when that was lost.
        self.outlived: dict[str, float] = {}
        self.last_lost_s = float("-inf")
        self.served_s = float("-inf")
        self.learnt_s = float("-inf")

    def add(self, loss: Loss) -> bool:
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
            del self.losses[self.by_end()[_LOSSES_LIMIT // 2].endpoint]

    def clear(self, served_s: float) -> bool:
        """Drop the losses up to an answer; False when that tells nothing new."""
        first_answer = not self.answered
        self.served_s = max(self.served_s, served_s)
        kept = {endpoint: loss for endpoint, loss in self.losses.items() if loss.lost_s > served_s}
        cleared = len(kept) < len(self.losses)
        self.losses = kept
        return cleared or first_answer

    @property
    def answered(self) -> bool:
        """Whether an answer to it is known."""
        return self.served_s > float("-inf")

    def common(self, other: "Suspect") -> set[str]:
        """Return the endpoints under whose ends both were lost."""
        return {
            endpoint
            for endpoint, loss in self.losses.items()
            if endpoint in other.losses
            and abs(other.losses[endpoint].lost_s - loss.lost_s) <= _SAME_LOSS_S
        }

    @property
    def was_tried(self) -> bool:
        """Whether it was lost once more when it was sent long after all other losses."""
        by_end = self.by_end()
        return any(
            later.sent_s >= before.lost_s + _TRIAL_GAP_S
            for before, later in itertools.pairwise(by_end[_TRIED_AFTER - 1 :])
        )

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

    def by_end(self) -> list[Loss]:
        """Return the losses in the order in which they happened."""
        return sorted(self.losses.values(), key=lambda loss: loss.lost_s)


def explained_ends(suspect: Suspect, others: Iterable[Suspect]) -> set[str]:
    """Return the endpoints under whose ends a content was lost beside one of the others."""
    return set().union(*(suspect.common(other) for other in others))


def age_ms(now_s: float, then_s: float) -> int:
    """Return an age; never below 0."""
    return max(0, round((now_s - then_s) * 1_000))
