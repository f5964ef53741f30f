# SPDX-License-Identifier: BSD-3-Clause
"""Watches a table of the store: reads it once, then follows its changes."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from twisted.internet import defer, task

from turnward.rows import (
    HistoryGoneError,
    RowStoreError,
    TableChanges,
    VersionedStoreBase,
)

__all__ = ["FeedListenerBase", "TableFeed"]

#: Pauses after failures in a row, in seconds; the last one repeats.
_PAUSES_S = (0.05, 0.1, 0.2, 0.4, 0.7)


class FeedListenerBase(ABC):
    """Takes in what a feed brings."""

    @property
    @abstractmethod
    def version(self) -> int:
        """The store's version known; 0 asks for the whole table."""

    @abstractmethod
    def table_read(self, table: TableChanges) -> None:
        """Take in the whole table."""

    @abstractmethod
    def rows_changed(self, changes: TableChanges) -> None:
        """Take in changed rows; removed ones are ``gone``."""


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
    ):
        self._reactor = clock_reactor
        self._store = store
        self._table = table
        self._listener = listener
        self._wait_s = wait_s
        self._draw = draw
        self._on_health = on_health
        self._on_answer = on_answer
        self._failures = 0
        self._reread = True
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
            except HistoryGoneError:
                self._reread = True
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

    async def _step(self) -> None:
        newest_s = self._reactor.seconds()
        if self._reread or self._listener.version == 0:
            table = await self._store.read_table(self._table)
            self._reread = False
            self._listener.table_read(table)
        else:
            changes = await self._store.changes(self._table, self._listener.version, self._wait_s)
            self._listener.rows_changed(changes)
            # The store held the question; its answer is of just now.
            newest_s = self._reactor.seconds()
        if self._on_answer is not None:
            self._on_answer(newest_s)

    def _note_health(self) -> None:
        if self._failures:
            self._failures = 0
        self._on_health(True)

    async def _pause(self, failure: Exception) -> None:
        pause_s = _PAUSES_S[min(self._failures, len(_PAUSES_S) - 1)]
        self._failures += 1
        self._on_health(False, f"{type(failure).__name__}: {failure}")
        await task.deferLater(self._reactor, pause_s * self._draw.uniform(0.7, 1.3))
