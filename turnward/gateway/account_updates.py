# SPDX-License-Identifier: BSD-3-Clause
"""What routers tell each other of the rows that hold workspaces' tokens.

A store that comes back from an older copy has lost the last grants, and a router that took one may
be dead or cut off by then. So each router tells the others, as soon as it has written a row, how
many tokens the row says are taken. Whoever heard of it last knows what the row has to say again.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from turnward.rows import RowVersion, StoreEras

__all__ = ["AccountUpdates", "TakenTokens", "AccountUpdate"]

#: Seconds for which a write is told: several rounds of messages, some of which may be lost.
_NEWS_S = 1.0
#: Seconds for which all that is known is told, after a return of the store or a router's start.
_RETOLD_S = 2.0
#: Most rows in one message, which bounds its size.
_TOLD_LIMIT = 32
#: Most workspaces of which something is remembered, and most eras.
_KNOWN_LIMIT = 4_096
_ERAS_LIMIT = 3


class AccountUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a row said of a workspace's tokens.

    Attributes
    ----------
    era, number : int
        Of the row's version.
    taken_tokens : int
        What routers held or had spent by then.
    """

    workspace: str
    era: int
    number: int
    taken_tokens: int


class TakenTokens(msgspec.Struct, frozen=True):
    """What is known to have been taken of a workspace's tokens as of a version of its row."""

    version: RowVersion
    tokens: int


class _Known(msgspec.Struct):
    """The latest word on one workspace by era, and when this router last wrote its row."""

    by_era: dict[int, TakenTokens] = {}
    written_s: float = float("-inf")

    @property
    def latest(self) -> TakenTokens:
        """The latest word of all."""
        return self.by_era[max(self.by_era)]


class AccountUpdates:
    """The latest known rows of all workspaces, and what others are told of them.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    eras : StoreEras
        Of the store; of one that names none nothing is told.

    Examples
    --------
    >>> eras = StoreEras()
    >>> eras.note_answer(1)
    >>> news = AccountUpdates(lambda: 0.0, eras)
    >>> news.record_written("acme", RowVersion.of(1, 7), 500)
    >>> news.take_in([AccountUpdate("acme", 1, 6, 900)])
    >>> news.latest("acme").tokens, len(news.told())
    (500, 1)
    """

    def __init__(self, clock: Callable[[], float], eras: StoreEras):
        self._clock = clock
        self._eras = eras
        self._known: OrderedDict[str, _Known] = OrderedDict()
        self._retold_until_s = 0.0
        self._heard = False

    def latest(self, workspace: str) -> TakenTokens | None:
        """Return what the latest known row of a workspace says; None when none is known."""
        known = self._known.get(workspace)
        return known.latest if known is not None else None

    def latest_before(self, workspace: str, era: int) -> TakenTokens | None:
        """Return what the latest known row of eras before one says; None when none is known."""
        known = self._known.get(workspace)
        eras = [one for one in known.by_era if one < era] if known is not None else []
        return known.by_era[max(eras)] if eras else None

    @property
    def workspaces(self) -> list[str]:
        """The workspaces of which something is known."""
        return list(self._known)

    def record_read(self, workspace: str, version: int, tokens: int) -> None:
        """Take in a row as it was read."""
        self._learn(workspace, TakenTokens(RowVersion(version), tokens))

    def record_written(self, workspace: str, version: int, tokens: int) -> None:
        """Take in a row that this router has written."""
        self.record_read(workspace, version, tokens)
        self._known[workspace].written_s = self._clock()

    def announce_all(self) -> None:
        """Tell all that is known for a while: the store came back, or a router has started."""
        self._retold_until_s = self._clock() + _RETOLD_S

    def take_in(self, told: Iterable[AccountUpdate]) -> None:
        """Take in what another router tells."""
        for one in told:
            self._heard = True
            version = RowVersion.of(one.era, one.number)
            self._learn(one.workspace, TakenTokens(version, one.taken_tokens))

    def told(self) -> tuple[AccountUpdate, ...]:
        """Return what others are told, the latest first."""
        if self._eras.known is None and not self._heard:
            return ()
        now_s = self._clock()
        retold = now_s < self._retold_until_s
        told = []
        for workspace, known in reversed(self._known.items()):
            if not retold and now_s - known.written_s >= _NEWS_S:
                continue
            # After a return the era before counts as well.
            for era in sorted(known.by_era)[-2:] if retold else (max(known.by_era),):
                taken = known.by_era[era]
                told.append(AccountUpdate(workspace, era, taken.version.number, taken.tokens))
        return tuple(told[:_TOLD_LIMIT])

    def _learn(self, workspace: str, taken: TakenTokens) -> None:
        known = self._known.setdefault(workspace, _Known())
        of_era = known.by_era.get(taken.version.era)
        if of_era is not None and taken.version <= of_era.version:
            return
        known.by_era[taken.version.era] = taken
        while len(known.by_era) > _ERAS_LIMIT:
            del known.by_era[min(known.by_era)]
        self._known.move_to_end(workspace)
        while len(self._known) > _KNOWN_LIMIT:
            self._known.popitem(last=False)
