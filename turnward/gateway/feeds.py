# SPDX-License-Identifier: BSD-3-Clause
"""Feeds that read a table of the store once and then poll it for changes."""

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
    "PollScheduleBase",
    "FleetPollSchedule",
    "ImmediatePollSchedule",
    "Reread",
    "TableFeed",
    "PeerConfirmedPollSchedule",
]

#: Delays before a retry, by the number of consecutive failures; the last one repeats.
_RETRY_DELAYS_S = (0.05, 0.1, 0.2, 0.4, 0.7)
#: Longest time that the store holds a poll of a router that publishes no updates. Changes are
#: still returned at once; only an outage is noticed later.
_LONG_POLL_S = 8.0
#: Time for which a router that publishes updates batches changes.
_PUBLISHER_DELAY_S = 0.1
#: Longest time that the store holds a poll of a publishing router: the response confirms to the
#: other routers that nothing has changed.
_PUBLISHER_POLL_S = 1.0
#: Age of the last confirmation above which a router polls the store itself. If this is too short,
#: all routers poll the store while a change is still on its way to them; if it is too long, a
#: router that receives no updates is late.
_CONFIRMATION_LIFETIME_S = 2.0
#: Interval between checks whether polling is still suspended.
_SUSPENSION_CHECK_S = 0.1
#: Outage after which aggregators read the table again instead of every version written meanwhile.
#: Other routers get copies from them, which spares the store many reads of the whole table.
_REREAD_AFTER_S = 5.0


class Reread(msgspec.Struct, frozen=True):
    """A table that was read again because the store could not list its changes.

    Attributes
    ----------
    cause : str
        The store's error response to the poll for changes.
    read_version : int
        Version of the store as of which the table was read.
    known_version : int
        Version known afterwards; it differs from ``read_version`` if the table was not adopted.
    """

    cause: str
    read_version: int
    known_version: int


class FeedListenerBase(ABC):
    """Receives the rows that a feed reads."""

    @property
    @abstractmethod
    def version(self) -> int:
        """Latest known version of the table; with 0 the feed reads the whole table."""

    def knows_earlier_era(self, version: int) -> bool:
        """Return whether state known here stems from an era before that of a version.

        The same if it was received from a peer that recovers from a rollback.
        """
        return False

    @abstractmethod
    def table_read(self, table: TableChanges) -> None:
        """Handle the whole table."""

    @abstractmethod
    def rows_changed(self, changes: TableChanges) -> None:
        """Handle changed rows; removed ones are marked ``gone``."""


class PollScheduleBase(ABC):
    """Decides how often a feed polls the store."""

    @abstractmethod
    def hold_s(self, default_s: float) -> float:
        """Return how long the store may hold a poll."""

    @abstractmethod
    def delay_s(self) -> float:
        """Return how long to wait after a response that contained changes."""

    @property
    def suspended(self) -> bool:
        """Whether polling is unnecessary at present."""
        return False

    @property
    def rereads_after_outage(self) -> bool:
        """Whether the whole table is read again after a long outage."""
        return False


class ImmediatePollSchedule(PollScheduleBase):
    """Polls again without delay."""

    def hold_s(self, default_s: float) -> float:
        """See ``PollScheduleBase.hold_s``."""
        return default_s

    def delay_s(self) -> float:
        """See ``PollScheduleBase.delay_s``."""
        return 0.0


class FleetPollSchedule(PollScheduleBase):
    """Polls less often on routers that publish no updates.

    Aggregators announce the newest versions and which router has them, so other routers learn of a
    change within a second. These still follow the table, since all aggregators may be
    disconnected, but at longer intervals.

    Parameters
    ----------
    overlay : Overlay
        Tells whether this router publishes updates to others.
    delay_s : float
        Time in seconds to wait after changes on a router that publishes no updates.
    """

    def __init__(self, overlay: Overlay, delay_s: float):
        self._overlay = overlay
        self._delay_s = delay_s

    def hold_s(self, default_s: float) -> float:
        """See ``PollScheduleBase.hold_s``."""
        return default_s if self._overlay.publishes_updates else max(default_s, _LONG_POLL_S)

    def delay_s(self) -> float:
        """See ``PollScheduleBase.delay_s``."""
        if self._overlay.mesh:
            return 0.0
        return _PUBLISHER_DELAY_S if self._overlay.publishes_updates else self._delay_s


class PeerConfirmedPollSchedule(FleetPollSchedule):
    """Polls only if no peer has confirmed lately that the known version is the newest.

    Meant for a table with large rows, such as the configuration: reading it from the store occupies
    a narrow link and delays requests, while the copies of aggregators are compressed.

    Parameters
    ----------
    overlay : Overlay
        Tells whether this router publishes updates to others.
    delay_s : float
        As for ``FleetPollSchedule``.
    state : FleetState
        Tells when the known version was last confirmed.
    """

    def __init__(self, overlay: Overlay, delay_s: float, state: FleetState):
        super().__init__(overlay, delay_s)
        self._state = state

    def hold_s(self, default_s: float) -> float:
        """See ``PollScheduleBase.hold_s``; shorter on aggregators: responses confirm the copy."""
        return min(default_s, _PUBLISHER_POLL_S) if self._is_aggregator else default_s

    @property
    def suspended(self) -> bool:
        """See ``PollScheduleBase.suspended``."""
        if self._overlay.publishes_updates or not self._overlay.receives_updates:
            return False
        return self._state.unconfirmed_for_s() < _CONFIRMATION_LIFETIME_S

    @property
    def rereads_after_outage(self) -> bool:
        """See ``PollScheduleBase.rereads_after_outage``; other routers fetch copies from peers."""
        return self._is_aggregator

    @property
    def _is_aggregator(self) -> bool:
        """Whether this router is an aggregator in a fleet that is no full mesh."""
        return self._overlay.publishes_updates and not self._overlay.mesh


class TableFeed:
    """Reads one table and follows its changes.

    Parameters
    ----------
    clock_reactor
        Twisted's reactor, or a fake clock.
    store : VersionedStoreBase
        The store.
    table : str
        Name of the table.
    listener : FeedListenerBase
        Receives the rows.
    hold_s : float
        Longest time in seconds that the store holds a poll for changes.
    rng : random.Random
        Source of the jitter of delays.
    on_health : callable
        Called with True after a successful poll, with False and the cause after a failed one.
    on_answer : callable, optional
        Called after each response with the time in seconds as of which it is valid.
    poll_schedule : PollScheduleBase, optional
        Decides how often the store is polled; consulted before each poll.
    on_reread : callable, optional
        Called with a ``Reread`` after the table was read again, once per known version.
    """

    def __init__(
        self,
        clock_reactor,
        store: VersionedStoreBase,
        table: str,
        listener: FeedListenerBase,
        hold_s: float,
        rng: random.Random,
        on_health: Callable[..., None],
        on_answer: Callable[[float], None] | None = None,
        poll_schedule: "PollScheduleBase | None" = None,
        on_reread: Callable[[Reread], None] | None = None,
    ):
        self._reactor = clock_reactor
        self._store = store
        self._table = table
        self._listener = listener
        self._hold_s = hold_s
        self._rng = rng
        self._on_health = on_health
        self._on_answer = on_answer
        self._poll_schedule = poll_schedule or ImmediatePollSchedule()
        self._on_reread = on_reread
        self._reread_cause = ""
        self._reported_reread: Reread | None = None
        self._failures = 0
        self._answered_s = clock_reactor.seconds()
        self._answered_version = 0
        self._needs_reread = True
        #: Era of the last response, and when all rows lost in a rollback will have been rewritten.
        self._era: int | None = None
        self._rollback_ends_s: float | None = None
        self._consecutive_history_errors = 0
        self._changed = False
        self._stopped = False
        self._running: defer.Deferred | None = None

    def start(self) -> None:
        """Start following the table."""
        self._running = defer.ensureDeferred(self._run())
        self._running.addErrback(lambda failure: failure.trap(defer.CancelledError))

    def stop(self) -> None:
        """Stop; the listener is not called afterwards."""
        self._stopped = True
        if self._running is not None:
            self._running.cancel()

    async def _run(self) -> None:
        while not self._stopped:
            try:
                await self._poll()
            except HistoryUnavailableError as failure:
                self._needs_reread = True
                self._reread_cause = str(failure)
                await self._pause_after_repeated_history_error()
            except RowStoreError as failure:
                await self._pause(failure)
            except Exception as failure:
                # An error in a listener must not stop the feed.
                if self._stopped:
                    return
                self._needs_reread = True
                await self._pause(failure)
            else:
                self._report_reachable()
                await self._wait_before_next_poll()

    async def _wait_before_next_poll(self) -> None:
        """Batch changes, and wait while the schedule suspends polling."""
        delay_s = self._poll_schedule.delay_s() if self._changed else 0.0
        if delay_s > 0:
            await task.deferLater(self._reactor, delay_s * self._rng.uniform(0.8, 1.2))
        while self._poll_schedule.suspended:
            await task.deferLater(self._reactor, _SUSPENSION_CHECK_S)

    async def _poll(self) -> None:
        as_of_s = self._reactor.seconds()
        if (
            self._needs_reread
            or self._listener.version == 0
            or self._needs_reread_after_outage()
            or self._rollback_ended(as_of_s)
        ):
            await self._read_table(as_of_s)
        else:
            hold_s = self._poll_schedule.hold_s(self._hold_s)
            if self._rollback_ends_s is not None:
                hold_s = min(hold_s, self._rollback_ends_s - as_of_s)
            changes = await self._store.changes(self._table, self._listener.version, hold_s)
            self._consecutive_history_errors = 0
            self._record_response(changes.version, as_of_s)
            self._changed = bool(changes.rows)
            self._listener.rows_changed(self._mark_provisional(changes))
            # The poll was sent after the rollback, as its version is of the same era.
            self._schedule_reread_if_earlier_era(changes.version, as_of_s)
            # The response is valid as of when it began to arrive. Counted from its end, a version
            # seconds old would pass for the newest, and newly added routes would get a 404.
            as_of_s = self._reactor.seconds() if changes.as_of_s is None else changes.as_of_s
        self._answered_s = self._reactor.seconds()
        self._answered_version = self._listener.version
        if self._on_answer is not None:
            self._on_answer(as_of_s)

    def _rollback_ended(self, as_of_s: float) -> bool:
        """Return whether a read sent at ``as_of_s`` returns all rows lost in the last rollback."""
        return self._rollback_ends_s is not None and as_of_s >= self._rollback_ends_s

    async def _read_table(self, as_of_s: float) -> None:
        table = await self._store.read_table(self._table)
        # The response itself may be the first sign of a further rollback.
        self._record_response(table.version, as_of_s)
        if self._rollback_ended(as_of_s):
            self._rollback_ends_s = None
        else:
            self._schedule_reread_if_earlier_era(table.version, self._reactor.seconds())
        self._needs_reread = False
        self._changed = True
        self._listener.table_read(self._mark_provisional(table))
        self._report_reread(table.version)

    def _mark_provisional(self, rows: TableChanges) -> TableChanges:
        return msgspec.structs.replace(rows, provisional=self._rollback_ends_s is not None)

    def _record_response(self, version: int, sent_s: float) -> None:
        """Extend the recovery from a rollback by an outage, or begin one."""
        if self._rollback_ends_s is not None and self._failures:
            # While the store is away, lost rows cannot be rewritten either.
            self._rollback_ends_s += sent_s - self._answered_s
        self._record_era(version)

    def _record_era(self, version: int) -> None:
        """Schedule a reread of the table some seconds after a rollback of the store."""
        era = RowVersion(version).era
        if self._era is not None and era > self._era:
            self._rollback_ends_s = self._reactor.seconds() + REWRITE_PERIOD_S
        self._era = era

    def _schedule_reread_if_earlier_era(self, version: int, since_s: float) -> None:
        """Schedule a reread of the table if peers told of a rollback, which was before ``since_s``.

        They know state of an earlier era, or have not recovered themselves.
        """
        if self._rollback_ends_s is None and self._listener.knows_earlier_era(version):
            self._rollback_ends_s = since_s + REWRITE_PERIOD_S

    async def _pause_after_repeated_history_error(self) -> None:
        """Back off if rereading the table did not help, so as not to overload the store."""
        self._consecutive_history_errors += 1
        if self._consecutive_history_errors > 1:
            pause_s = _RETRY_DELAYS_S[
                min(self._consecutive_history_errors - 2, len(_RETRY_DELAYS_S) - 1)
            ]
            await task.deferLater(self._reactor, pause_s * self._rng.uniform(0.7, 1.3))

    def _report_reread(self, read_version: int) -> None:
        """Report a reread table, once for as long as the known version stays the same."""
        cause, self._reread_cause = self._reread_cause, ""
        if not cause or self._on_reread is None:
            return
        reread = Reread(cause, read_version, self._listener.version)
        reported, self._reported_reread = self._reported_reread, reread
        if reported is None or reported.known_version != reread.known_version:
            self._on_reread(reread)

    def _needs_reread_after_outage(self) -> bool:
        """Return whether a long outage may have hidden changes that peers did not announce."""
        unreachable_s = self._reactor.seconds() - self._answered_s
        updated_by_peers = self._listener.version != self._answered_version
        return (
            self._poll_schedule.rereads_after_outage
            and self._failures > 0
            and unreachable_s > _REREAD_AFTER_S
            and not updated_by_peers
        )

    def _report_reachable(self) -> None:
        if self._failures:
            self._failures = 0
        self._on_health(True)

    async def _pause(self, failure: Exception) -> None:
        pause_s = _RETRY_DELAYS_S[min(self._failures, len(_RETRY_DELAYS_S) - 1)]
        self._failures += 1
        self._on_health(False, f"{type(failure).__name__}: {failure}")
        await task.deferLater(self._reactor, pause_s * self._rng.uniform(0.7, 1.3))
