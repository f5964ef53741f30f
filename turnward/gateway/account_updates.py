# SPDX-License-Identifier: BSD-3-Clause
"""Updates that routers send each other about the rows that hold workspaces' tokens.

A store that is restored from an older copy has lost the latest grants, and the routers that took
them may have crashed or be unreachable. So each router announces, as soon as it has written a row,
how many tokens the row records as taken. Any router that received the latest update can then
restore the row.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

from turnward.rows import RowVersion, StoreEras

__all__ = ["AccountUpdate", "AccountUpdates", "TakenTokens"]

#: Announces a write for several rounds of messages, since some may be lost.
_ANNOUNCE_S = 1.0
#: Announces all known rows for this long after a rollback of the store or a start of the router.
_ANNOUNCE_ALL_S = 2.0
#: Limit of rows in one message, which bounds its size.
_UPDATES_PER_MESSAGE_LIMIT = 32
_WORKSPACES_LIMIT = 4_096
_ERAS_LIMIT = 3


class AccountUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one version of a row recorded of a workspace's tokens.

    Attributes
    ----------
    era, number : int
        Era and number of the row's version.
    taken_tokens : int
        Tokens that routers held or had spent as of this version.
    """

    workspace: str
    era: int
    number: int
    taken_tokens: int


class TakenTokens(msgspec.Struct, frozen=True):
    """Tokens taken of a workspace's budget as of one version of its row."""

    version: RowVersion
    tokens: int


class _KnownAccount(msgspec.Struct):
    """Latest known row of one workspace by era, and when this router last wrote the row."""

    by_era: dict[int, TakenTokens] = {}
    written_s: float = float("-inf")

    @property
    def latest(self) -> TakenTokens:
        """Latest known row over all eras."""
        return self.by_era[max(self.by_era)]


class AccountUpdates:
    """Latest known rows of all workspaces, and the updates that are announced to other routers.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    eras : StoreEras
        Eras of the store. Nothing is announced before an era is known or an update received.

    Examples
    --------
    >>> eras = StoreEras()
    >>> eras.observe_era(1)
    >>> updates = AccountUpdates(lambda: 0.0, eras)
    >>> updates.record_written("acme", RowVersion.of(1, 7), 500)
    >>> updates.merge([AccountUpdate("acme", 1, 6, 900)])
    >>> updates.latest("acme").tokens, len(updates.announced())
    (500, 1)
    """

    def __init__(self, clock: Callable[[], float], eras: StoreEras):
        self._clock = clock
        self._eras = eras
        self._known: OrderedDict[str, _KnownAccount] = OrderedDict()
        self._announce_all_until_s = 0.0
        self._has_received = False

    def latest(self, workspace: str) -> TakenTokens | None:
        """Return the latest known taken tokens of a workspace, or None if none are known."""
        known = self._known.get(workspace)
        return known.latest if known is not None else None

    def latest_before(self, workspace: str, era: int) -> TakenTokens | None:
        """Return the latest known taken tokens of the eras before ``era``, or None."""
        known = self._known.get(workspace)
        eras = (
            [known_era for known_era in known.by_era if known_era < era]
            if known is not None
            else []
        )
        return known.by_era[max(eras)] if eras else None

    @property
    def workspaces(self) -> list[str]:
        """Workspaces with a known row."""
        return list(self._known)

    def record_read(self, workspace: str, version: int, tokens: int) -> None:
        """Record a row that this router has read."""
        self._record(workspace, TakenTokens(RowVersion(version), tokens))

    def record_written(self, workspace: str, version: int, tokens: int) -> None:
        """Record a row that this router has written, and announce it."""
        self.record_read(workspace, version, tokens)
        self._known[workspace].written_s = self._clock()

    def announce_all(self) -> None:
        """Announce all known rows for a while, after a rollback or a router's start."""
        self._announce_all_until_s = self._clock() + _ANNOUNCE_ALL_S

    def merge(self, updates: Iterable[AccountUpdate]) -> None:
        """Merge the updates that another router has announced."""
        for update in updates:
            self._has_received = True
            version = RowVersion.of(update.era, update.number)
            self._record(update.workspace, TakenTokens(version, update.taken_tokens))

    def announced(self) -> tuple[AccountUpdate, ...]:
        """Return the updates to announce now, the latest first."""
        if self._eras.known is None and not self._has_received:
            return ()
        now_s = self._clock()
        announces_all = now_s < self._announce_all_until_s
        updates = []
        for workspace, known in reversed(self._known.items()):
            if not announces_all and now_s - known.written_s >= _ANNOUNCE_S:
                continue
            # After a rollback, routers also need the row of the era before.
            for era in sorted(known.by_era)[-2:] if announces_all else (max(known.by_era),):
                taken = known.by_era[era]
                updates.append(AccountUpdate(workspace, era, taken.version.number, taken.tokens))
        return tuple(updates[:_UPDATES_PER_MESSAGE_LIMIT])

    def _record(self, workspace: str, taken: TakenTokens) -> None:
        known = self._known.setdefault(workspace, _KnownAccount())
        previous = known.by_era.get(taken.version.era)
        if previous is not None and taken.version <= previous.version:
            return
        known.by_era[taken.version.era] = taken
        while len(known.by_era) > _ERAS_LIMIT:
            del known.by_era[min(known.by_era)]
        self._known.move_to_end(workspace)
        while len(self._known) > _WORKSPACES_LIMIT:
            self._known.popitem(last=False)
