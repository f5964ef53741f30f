# SPDX-License-Identifier: BSD-3-Clause
"""Reports that bound a router's spending, so that a successor can return its unspent tokens.

A router periodically writes how much it has spent of each workspace, together with a bound on its
further spending until the next report: a burst and a rate. A router that is disconnected from the
store therefore spends the tokens it holds only gradually. After a crash, the next process on the
same node reads the last report: the spending of its predecessor is at most the bound, and the rest
of the predecessor's grant is returned to the workspace.

Times are readings of the store's monotonic clock. The writer's timestamp is never later than the
store's clock, and the reader's time is never earlier than its own start, and hence than the
crash. An error of either therefore only raises the bound.
"""

from collections.abc import Callable

import msgspec
from twisted.internet import defer

from turnward.bounds import Integer, Number
from turnward.gateway.unreadable_rows import ROW_DECODE_ERRORS
from turnward.rows import (
    RowChange,
    RowKey,
    RowOutcomeUnknownError,
    RowStoreError,
    StoredRow,
    VersionConflictError,
    VersionedStoreBase,
    VersionedTransaction,
)

__all__ = ["SpendBound", "SpendReport", "SpendReports"]

TABLE = "spending"
#: Limits of the interval between regular reports while tokens are held.
_MIN_INTERVAL_S = 0.25
_MAX_INTERVAL_S = 0.8
#: Target rate of the regular reports of all routers together.
_FLEET_REPORTS_PER_S = 100.0
#: Shortest interval between any two reports, including those that requests wait for.
_MIN_URGENT_INTERVAL_S = 0.05


class SpendBound(msgspec.Struct, frozen=True, array_like=True):
    """A router's spending of one workspace's tokens, and the bound on its further spending.

    Attributes
    ----------
    spent_tokens : int
        Settled or reserved under the router's own grant at the time of the report. Tokens lent
        to peers count as spent; borrowed tokens are subtracted, so the value is negative when
        more was borrowed than spent.
    burst_tokens : int
        May be spent at any time after the report.
    rate_tokens_per_s : float
        May be spent in addition, from the report on.
    relax_after_s, relaxed_rate_tokens_per_s : float
        May be spent in addition at this rate, starting this many seconds after the report.

    Examples
    --------
    >>> bound = SpendBound(100, 20, 10.0, 4.0, 50.0)
    >>> bound.max_spent_tokens(0.0), bound.max_spent_tokens(2.55), bound.max_spent_tokens(5.0)
    (120, 145, 220)
    """

    spent_tokens: Integer
    burst_tokens: Integer
    rate_tokens_per_s: Number
    relax_after_s: Number
    relaxed_rate_tokens_per_s: Number

    def max_spent_tokens(self, elapsed_s: float) -> int:
        """Return the most that may have been spent a given time after the report."""
        growth = self.rate_tokens_per_s * max(0.0, elapsed_s)
        growth += self.relaxed_rate_tokens_per_s * max(0.0, elapsed_s - self.relax_after_s)
        return self.spent_tokens + self.burst_tokens + int(growth)


class SpendReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report of one incarnation on all workspaces.

    Attributes
    ----------
    number : int
        Counts the incarnation's reports.
    stamp_s : float
        Reading of the store's clock, never later than the time of the report.
    promises : dict
        Spend bounds by workspace.
    era : int or None
        Era of the store in which the report was written; None if the store reports no era. In a
        later era the report is void: a newer one may have been lost with the earlier era.
    """

    number: Integer
    stamp_s: Number
    promises: dict[str, SpendBound]
    era: int | None = None


class _SentReport(msgspec.Struct):
    """A report that may be in the store, and the local time at which it was sent."""

    report: SpendReport
    sent_s: float


class SpendReports:
    """Writes this incarnation's reports and reads those of its predecessors on the same node.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Stores the reports.
    node, incarnation : str
        This router.
    make_bounds : callable
        Returns the present spend bounds by workspace.
    on_reported : callable
        Called after each report that is confirmed to be stored.
    log : GatewayLog
        Receives an event when reports of predecessors were read.
    enabled : bool, optional
        Whether reports are written and read. Without them, all tokens held by a crashed process
        count as spent.
    started_s : float, optional
        When this process started, by the reactor's clock; the present time by default. Its
        predecessors had ended by then, so what they may have spent is bounded at this time.

    Attributes
    ----------
    predecessor_bounds : dict or None
        By predecessor (earlier incarnation of the node) and by workspace, the most that it can
        have spent; None until read.
    bounds_precede_rollback : bool
        Whether the store was restored from an older copy after the bounds were read. The tokens
        that they leave unspent may then have been returned before, and granted to others.
    """

    def __init__(
        self,
        reactor,
        store: VersionedStoreBase,
        node: str,
        incarnation: str,
        make_bounds: Callable[[], dict[str, SpendBound]],
        on_reported: Callable[[], None],
        log,
        enabled: bool = True,
        started_s: float | None = None,
    ):
        self._enabled = enabled
        self._reactor = reactor
        self._store = store
        self._node = node
        self._key = RowKey(TABLE, node, incarnation)
        self._make_bounds = make_bounds
        self._on_reported = on_reported
        self._log = log
        self._started_s = reactor.seconds() if started_s is None else started_s
        self._version = 0
        self._number = 0
        self._writing = False
        self._reading: defer.Deferred | None = None
        self._read_waiters: list[defer.Deferred] = []
        self._sent: list[_SentReport] = []
        self._last_sent_s = -1e9
        self.predecessor_bounds: dict[str, dict[str, int]] | None = None
        self.bounds_precede_rollback = False
        store.eras.listen(self._note_rollback)

    def _note_rollback(self, era: int) -> None:
        """Note that bounds read until now stem from an earlier era of the store.

        They stay true: the predecessors had ended before their reports were read.
        """
        self.bounds_precede_rollback = self.predecessor_bounds is not None

    def allowance_tokens(self, workspace: str, committed_tokens: int) -> int | None:
        """Return how much more may be committed without another report; None if unbounded.

        ``committed_tokens`` is counted like ``SpendBound.spent_tokens``.
        """
        now_s = self._reactor.seconds()
        bounds = [
            sent.report.promises[workspace].max_spent_tokens(now_s - sent.sent_s)
            for sent in self._sent
            if workspace in sent.report.promises
        ]
        return min(bounds) - committed_tokens if bounds else None

    # Predecessors.

    async def read_predecessors(self) -> None:
        """Read upper bounds on the spending of earlier incarnations of this node.

        Concurrent callers share one read.
        """
        # Registered before the read begins, as the read may complete synchronously.
        waiter = defer.Deferred()
        self._read_waiters.append(waiter)
        if self._reading is None:
            self._reading = defer.ensureDeferred(self._read_reports())
            self._reading.addBoth(self._read_done)
        await waiter

    def _read_done(self, result) -> None:
        self._reading = None
        waiters, self._read_waiters = self._read_waiters, []
        for waiter in waiters:
            waiter.callback(result)

    async def _read_reports(self) -> None:
        if not self._enabled:
            self.predecessor_bounds = {}
            return
        read_s = self._reactor.seconds()
        table = await self._store.read_table(TABLE, self._node)
        # When the read was sent, the store's clock had not passed this floor. The difference is
        # therefore not earlier than the start of this process, when its predecessors had ended.
        now_s = self._store.time_floor_s() - (read_s - self._started_s)
        predecessor_bounds = {}
        for row in table.rows:
            if row.key.key != self._key.key and not row.gone:
                predecessor_bounds[row.key.key] = self._readable_bounds(row, now_s)
        self.predecessor_bounds = predecessor_bounds
        self._log.belief(
            "prepaid.predecessors",
            incarnations=list(predecessor_bounds),
            void=[name for name, bounds in predecessor_bounds.items() if not bounds],
            store_time_s=round(now_s, 3),
        )

    def _readable_bounds(self, row: StoredRow, now_s: float) -> dict[str, int]:
        """Return the bounds in a report; none if it can't be read, so that all counts as spent."""
        try:
            return _bounds(row, now_s, self._store.eras.known)
        except ROW_DECODE_ERRORS as error:
            self._log.failure("prepaid.report_unreadable", report=row.key.key, cause=str(error))
            return {}

    # Own reports.

    def report_if_due(self, routers: int) -> None:
        """Write a report if the last one is old, so that its spend bound stays tight.

        The interval grows with the number of routers that share the store.
        """
        interval_s = max(_MIN_INTERVAL_S, min(_MAX_INTERVAL_S, routers / _FLEET_REPORTS_PER_S))
        age_s = self._reactor.seconds() - self._last_sent_s
        if age_s >= interval_s and self._make_bounds():
            self.report()

    def report(self) -> bool:
        """Start writing a report; return False if it can't be written now.

        One may be in progress or just written, or the store's time may be unknown.
        """
        now_s = self._reactor.seconds()
        if not self._enabled or self._writing or now_s - self._last_sent_s < _MIN_URGENT_INTERVAL_S:
            return False
        if self._store.time_floor_s() is None:
            return False
        self._writing = True
        done = defer.ensureDeferred(self._write())
        done.addErrback(lambda failure: failure.trap(RowStoreError))
        done.addBoth(self._write_done)
        return True

    def _write_done(self, _) -> None:
        self._writing = False

    async def _write(self) -> None:
        if len(self._sent) > 1:
            # An earlier response was lost. Another unconfirmed report would only tighten the bound.
            await self._read_back()
        self._number += 1
        self._last_sent_s = self._reactor.seconds()
        spend_bounds, era = self._make_bounds(), self._store.eras.known
        report = SpendReport(self._number, self._store.time_floor_s(), spend_bounds, era)
        sent = _SentReport(report, self._last_sent_s)
        self._sent.append(sent)
        change = RowChange(self._key, msgspec.json.encode(report), self._version)
        try:
            self._version = await self._store.transact(VersionedTransaction((change,)))
        except VersionConflictError:
            self._sent.remove(sent)
            await self._read_back()
            return
        except RowOutcomeUnknownError:
            raise
        except RowStoreError:
            self._sent.remove(sent)
            raise
        self._confirm(sent)

    async def _read_back(self) -> None:
        row = await self._store.read_row(self._key)
        if row.version == self._version:
            return
        self._version = 0 if row.gone else row.version
        if not self._version:
            return
        report = msgspec.json.decode(row.value, type=SpendReport)
        for sent in self._sent:
            if sent.report.number == report.number:
                self._confirm(sent)
                return

    def _confirm(self, sent: _SentReport) -> None:
        """Drop the reports that a stored one has replaced."""
        self._sent = [sent]
        self._on_reported()


def _bounds(row: StoredRow, now_s: float, era: int | None) -> dict[str, int]:
    """Return by workspace the upper bound on the spending of a report's writer at ``now_s``.

    Returns no bounds if the report is of another era than the store's. A report without an era
    is accepted: versions without support for eras write none.
    """
    report = msgspec.json.decode(row.value, type=SpendReport)
    if report.era not in (None, era):
        return {}
    elapsed_s = now_s - report.stamp_s
    return {
        workspace: bound.max_spent_tokens(elapsed_s) for workspace, bound in report.promises.items()
    }
