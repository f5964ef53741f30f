# SPDX-License-Identifier: BSD-3-Clause
"""Watches a table of the store: reads it once, then follows its changes."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

import msgspec
from twisted.internet import defer, task

from turnward.gateway.overlay import Overlay
from turnward.gateway.removed_endpoints import REWRITE_PERIOD_S
from turnward.gateway.state import FleetState
from turnward.rows import (
    HistoryUnavailableError,
    RowStoreError,
    RowVersion,
    TableChanges,
    VersionedStoreBase,
)

__all__ = [
    "FeedListenerBase",
    "FeedPaceBase",
    "FleetPollSchedule",
    "ImmediatePollSchedule",
    "Reread",
    "TableFeed",
    "PeerConfirmedPollSchedule",
]

#: Pauses after failures in a row, in seconds; the last one repeats.
_PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.7)
#: Longest that the store holds a question of a router that others need not learn from, in
#: seconds. The answer to a change comes at once all the same; only silence takes longer to see.
_LONG_WAIT_S = 8.0
#: Seconds for which changes gather at a router that others learn from.
_SHORT_REST_S = 0.1
#: Longest that the store holds a question of a router that others learn from, in seconds, where
#: its answer confirms to them that nothing has changed.
_TELLING_WAIT_S = 1.0
#: Age of others' word, in seconds, from which on a router asks the store itself. Less, and all ask
#: while a change is on its way to them (1.5: each of 86 routers read the 0.6 MB; 2.0: the
#: twelve aggregators); more, and a router that nobody tells is late.
_TOLD_LIFE_S = 2.0
#: Seconds between two looks whether a feed is still spared questions: its router may become one of
#: those that others learn from.
_SPARED_LOOK_S = 0.1
#: Seconds without an answer after which routers that others learn from read the table again instead
#: of all that changed in between, each version whole: eight of them after an outage of 6 s in
#: which operators wrote. All others get copies; if each read again, that would be 0.6 MB a
#: router after each outage, changed or not.
_REREAD_AFTER_S = 5.0


class Reread(msgspec.Struct, frozen=True):
    """A table that was read again, since the store could not tell what had changed in it.

    Attributes
    ----------
    cause : str
        What the store answered to the question for changes.
    read_version : int
        The store's version that the table was read as of.
    known_version : int
        The version known afterwards; another one where what was read is not taken in.
    """

    cause: str
    read_version: int
    known_version: int


class FeedListenerBase(ABC):
    """Takes in what a feed brings."""

    @property
    @abstractmethod
    def version(self) -> int:
        """The store's version known; 0 asks for the whole table."""

    def knows_before(self, version: int) -> bool:
        """Tell whether something is believed here that was said in an earlier era of the store."""
        return False

    @abstractmethod
    def table_read(self, table: TableChanges) -> None:
        """Take in the whole table."""

    @abstractmethod
    def rows_changed(self, changes: TableChanges) -> None:
        """Take in changed rows; removed ones are ``gone``."""


class FeedPaceBase(ABC):
    """Tells how often a feed asks the store."""

    @abstractmethod
    def wait_s(self, usual_s: float) -> float:
        """Return how long the store may hold a question."""

    @abstractmethod
    def rest_s(self) -> float:
        """Return how long to wait after an answer that brought changes."""

    @property
    def spared(self) -> bool:
        """Whether no question is needed now."""
        return False

    @property
    def reads_anew(self) -> bool:
        """Whether the table is read again after a long time without answers."""
        return False


class ImmediatePollSchedule(FeedPaceBase):
    """Asks again at once."""

    def wait_s(self, usual_s: float) -> float:
        """See ``FeedPaceBase.wait_s``."""
        return usual_s

    def rest_s(self) -> float:
        """See ``FeedPaceBase.rest_s``."""
        return 0.0


class FleetPollSchedule(FeedPaceBase):
    """Asks seldom where other routers tell of what is new.

    In a fleet whose aggregators pass on which versions are newest, and who has them, a
    router learns of a change from them within a second. It follows the table all the same,
    as they may all be cut off, but need not be the first to know.

    Parameters
    ----------
    overlay : Overlay
        Tells whether this router is one of those that others learn from.
    rest_s : float
        Seconds to wait after changes, for a router that others need not learn from.
    """

    def __init__(self, overlay: Overlay, rest_s: float):
        self._overlay = overlay
        self._rest_s = rest_s

    def wait_s(self, usual_s: float) -> float:
        """See ``FeedPaceBase.wait_s``."""
        return usual_s if self._overlay.publishes_updates else max(usual_s, _LONG_WAIT_S)

    def rest_s(self) -> float:
        """See ``FeedPaceBase.rest_s``."""
        if self._overlay.mesh:
            return 0.0
        return _SHORT_REST_S if self._overlay.publishes_updates else self._rest_s


class PeerConfirmedPollSchedule(FleetPollSchedule):
    """Asks only where others do not tell that what is known here is the newest.

    For a table whose rows are large: 0.6 MB of configuration take a second of a link of
    5 Mbit/s, and callers' requests wait behind them; an aggregator's copy is 33 KB.

    Parameters
    ----------
    overlay : Overlay
        Tells whether this router is one of those that others learn from.
    rest_s : float
        As for ``FleetPollSchedule``.
    state : FleetState
        Tells when what is known was last confirmed.
    """

    def __init__(self, overlay: Overlay, rest_s: float, state: FleetState):
        super().__init__(overlay, rest_s)
        self._state = state

    def wait_s(self, usual_s: float) -> float:
        """See ``FeedPaceBase.wait_s``; only an answer confirms what is known, also to others."""
        return min(usual_s, _TELLING_WAIT_S) if self._has_members else usual_s

    @property
    def spared(self) -> bool:
        """See ``FeedPaceBase.spared``."""
        if self._overlay.publishes_updates or not self._overlay.receives_updates:
            return False
        return self._state.unconfirmed_for_s() < _TOLD_LIFE_S

    @property
    def reads_anew(self) -> bool:
        """See ``FeedPaceBase.reads_anew``; the others get copies of what has changed."""
        return self._has_members

    @property
    def _has_members(self) -> bool:
        """Whether this router is an aggregator, and not one of a fleet where all tell all."""
        return self._overlay.publishes_updates and not self._overlay.mesh


class TableFeed:
    """Follows one table.

    Parameters
    ----------
    clock_reactor
        Twisted's reactor, or a fake clock.
    store : VersionedStoreBase
        The store.
    table : str
        Name of the table.
    listener : FeedListenerBase
        Told what comes.
    wait_s : float
        Longest that the store holds a question for changes.
    draw : random.Random
        Spreads pauses.
    on_health : callable
        Called with True when the store answers, with False and the cause when not.
    on_answer : callable, optional
        Called after each answer with the moment that it is known to be of.
    pace : FeedPace, optional
        How often the store is asked; looked at anew for each question.
    on_reread : callable, optional
        Called with a ``Reread`` after the table was read again, once for each version known.
    """

    def __init__(
        self,
        clock_reactor,
        store: VersionedStoreBase,
        table: str,
        listener: FeedListenerBase,
        wait_s: float,
        draw: random.Random,
        on_health: Callable[..., None],
        on_answer: Callable[[float], None] | None = None,
        pace: "FeedPaceBase | None" = None,
        on_reread: Callable[[Reread], None] | None = None,
    ):
        self._reactor = clock_reactor
        self._store = store
        self._table = table
        self._listener = listener
        self._wait_s = wait_s
        self._draw = draw
        self._on_health = on_health
        self._on_answer = on_answer
        self._pace = pace or ImmediatePollSchedule()
        self._on_reread = on_reread
        self._reread_cause = ""
        self._reread_told: Reread | None = None
        self._failures = 0
        self._answered_s = clock_reactor.seconds()
        self._answered_version = 0
        self._reread = True
        #: The era of the last answer, and when all that was lost before it is written anew.
        self._era: int | None = None
        self._settles_s: float | None = None
        self._gone_in_a_row = 0
        self._changed = False
        self._stopped = False
        self._running: defer.Deferred | None = None

    def start(self) -> None:
        """Begin to follow the table."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(lambda failure: failure.trap(defer.CancelledError))

    def stop(self) -> None:
        """Stop; nothing is told afterwards."""
        self._stopped = True
        if self._running is not None:
            self._running.cancel()

    async def _run(self) -> None:
        while not self._stopped:
            try:
                await self._step()
            except HistoryUnavailableError as failure:
                self._reread = True
                self._reread_cause = str(failure)
                await self._pause_where_gone_again()
            except RowStoreError as failure:
                await self._pause(failure)
            except Exception as failure:
                # A fault in a listener must not end the feed for good.
                if self._stopped:
                    return
                self._reread = True
                await self._pause(failure)
            else:
                self._note_health()
                await self._rest()

    async def _rest(self) -> None:
        """Let more changes gather, where others would tell of urgent ones."""
        rest_s = self._pace.rest_s() if self._changed else 0.0
        if rest_s > 0:
            await task.deferLater(self._reactor, rest_s * self._draw.uniform(0.8, 1.2))
        while self._pace.spared:
            await task.deferLater(self._reactor, _SPARED_LOOK_S)

    async def _step(self) -> None:
        newest_s = self._reactor.seconds()
        settles = self._settles_s is not None and newest_s >= self._settles_s
        if self._reread or self._listener.version == 0 or self._missed_much() or settles:
            await self._read_table(settles)
        else:
            wait_s = self._pace.wait_s(self._wait_s)
            if self._settles_s is not None:
                wait_s = min(wait_s, self._settles_s - newest_s)
            changes = await self._store.changes(self._table, self._listener.version, wait_s)
            self._gone_in_a_row = 0
            self._note_era(changes.version)
            self._changed = bool(changes.rows)
            self._listener.rows_changed(changes)
            self._note_older(changes.version)
            # The store held the question; its answer is of the moment at which it began to come.
            # A router that counted from the end took a version for the newest that was seconds
            # old, and answered 404 for routes which had been added since.
            newest_s = self._reactor.seconds() if changes.as_of_s is None else changes.as_of_s
        self._answered_s = self._reactor.seconds()
        self._answered_version = self._listener.version
        if self._on_answer is not None:
            self._on_answer(newest_s)

    async def _read_table(self, settles: bool) -> None:
        table = await self._store.read_table(self._table)
        self._note_era(table.version)
        if settles:
            self._settles_s = None
        else:
            self._note_older(table.version)
        provisional = self._settles_s is not None
        self._reread = False
        self._changed = True
        self._listener.table_read(msgspec.structs.replace(table, provisional=provisional))
        self._tell_reread(table.version)

    def _note_era(self, version: int) -> None:
        """Read the table once more some seconds after the store came back from an older copy."""
        era = RowVersion(version).era
        if self._era is not None and era > self._era:
            self._settles_s = self._reactor.seconds() + REWRITE_PERIOD_S
        self._era = era

    def _note_older(self, version: int) -> None:
        """Read the table once more later where peers told of what was said in an earlier era."""
        if self._settles_s is None and self._listener.knows_before(version):
            self._settles_s = self._reactor.seconds() + REWRITE_PERIOD_S

    async def _pause_where_gone_again(self) -> None:
        """Wait where reading the table did not help: asked at once, the store has no rest."""
        self._gone_in_a_row += 1
        if self._gone_in_a_row > 1:
            pause_s = _PAUSES_S[min(self._gone_in_a_row - 2, len(_PAUSES_S) - 1)]
            await task.deferLater(self._reactor, pause_s * self._draw.uniform(0.7, 1.3))

    def _tell_reread(self, read_version: int) -> None:
        """Tell of a table that was read again; once, where each reading leaves the same known."""
        cause, self._reread_cause = self._reread_cause, ""
        if not cause or self._on_reread is None:
            return
        reread = Reread(cause, read_version, self._listener.version)
        told, self._reread_told = self._reread_told, reread
        if told is None or told.known_version != reread.known_version:
            self._on_reread(reread)

    def _missed_much(self) -> bool:
        """Tell whether many changes may have passed that nobody else told of either."""
        blind_s = self._reactor.seconds() - self._answered_s
        told = self._listener.version != self._answered_version
        return (
            self._pace.reads_anew and self._failures > 0 and blind_s > _REREAD_AFTER_S and not told
        )

    def _note_health(self) -> None:
        if self._failures:
            self._failures = 0
        self._on_health(True)

    async def _pause(self, failure: Exception) -> None:
        pause_s = _PAUSES_S[min(self._failures, len(_PAUSES_S) - 1)]
        self._failures += 1
        self._on_health(False, f"{type(failure).__name__}: {failure}")
        await task.deferLater(self._reactor, pause_s * self._draw.uniform(0.7, 1.3))
