# SPDX-License-Identifier: BSD-3-Clause
"""Reports of what a router has spent, so that a successor knows what it had left.

A router writes now and then what it has spent of each workspace, and promises
how it goes on without another report: a burst at once, and so much a second.
A router that is cut off from the store so spends what it holds bit by bit.
When the process has died, the next one on the same node reads the last report:
what the dead one spent is bounded by the promise, and the rest of its grant
goes back to all.

Time is the store's steady clock. The writer stamps a report with a time that
is not later than the store's own, and the reader takes a time that is not
earlier than its own start, and so than the death, so the bound errs on the safe side only.
"""

from collections.abc import Callable

import msgspec
from twisted.internet import defer

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

__all__ = ["SpendBoundRule", "SpendBound", "SpendReport", "SpendReports", "spend_bound_for"]

TABLE = "spending"
#: Seconds between two reports while tokens are held, at least and at most.
_PERIOD_S = 0.25
_PERIOD_LIMIT_S = 0.8
#: Reports a second that all routers together write, as long as the period stays in its bounds.
_FLEET_REPORTS_PER_S = 100.0
#: Least seconds between two reports that requests wait for.
_LEAST_PERIOD_S = 0.05


class SpendBoundRule(msgspec.Struct, frozen=True):
    """How tight a router's promises are.

    The burst lets single large requests through; the pace only has to keep up
    with the demand. A tight promise loses little when the process dies; a loose one needs fewer
    reports, and lets a router that is cut off serve more. A process that dies
    is mostly started again within seconds, while a cut may last long, so
    promises are tight at first and loose later.

    Attributes
    ----------
    burst_s, burst_tokens : float, int
        What may be spent at once after a report: so many seconds of demand,
        and at least so many tokens.
    burst_share, max_burst_tokens : float, int
        The bursts of all routers together are this part of a workspace's
        limit, if that is more for each, up to so many tokens for one router:
        a single request may be much larger than what is asked for in a second.
    pace : float
        How much faster than the demand may be spent from then on.
    relax_after_s : float
        Seconds after a report from which more is promised.
    spend_all_s : float
        Seconds from then on in which all that is held may be spent.
    scarce_share : float
        Part of a limit that is taken for little: tokens lost with a process
        are missed then, which they are not while more is left than is used.
    scarce_factor : float
        What a promise's early part is scaled by then.
    """

    burst_s: float = 1.0
    burst_tokens: int = 3_000
    burst_share: float = 0.2
    max_burst_tokens: int = 24_000
    rate_factor: float = 1.0
    relax_after_s: float = 4.0
    spend_all_s: float = 8.0
    scarce_share: float = 0.3
    scarce_factor: float = 0.4

    def for_limit(self, limit_tokens: int, routers: int) -> "SpendBoundRule":
        """Return the rule for a workspace with a limit that some routers share.

        Examples
        --------
        >>> SpendBoundRule().for_limit(600_000, 2).burst_tokens
        24000
        >>> SpendBoundRule().for_limit(600_000, 30).burst_tokens
        4000
        """
        shared = int(self.burst_share * limit_tokens / max(1, routers))
        burst = max(self.burst_tokens, min(self.max_burst_tokens, shared))
        return msgspec.structs.replace(self, burst_tokens=burst)

    def tightened(self) -> "SpendBoundRule":
        """Return the rule for a workspace that has little left."""
        return msgspec.structs.replace(
            self,
            burst_s=self.burst_s * self.scarce_factor,
            burst_tokens=int(self.burst_tokens * self.scarce_factor),
            rate_factor=self.rate_factor * self.scarce_factor,
        )


class SpendBound(msgspec.Struct, frozen=True, array_like=True):
    """How much of one workspace a router has spent, and how it may go on.

    Attributes
    ----------
    spent_tokens : int
        Settled or reserved of the own grant when the report was made. Tokens
        lent to peers count as spent, borrowed ones as not yet: below 0 when
        more was borrowed than spent.
    burst_tokens : int
        May be added at once.
    rate_tokens_per_s : float
        May be added besides, from the report on.
    relax_after_s, relaxed_rate_tokens_per_s : float
        So long after the report, so much a second may be added besides.

    Examples
    --------
    >>> promise = SpendBound(100, 20, 10.0, 4.0, 50.0)
    >>> promise.max_spent_tokens(0.0), promise.max_spent_tokens(2.55), promise.max_spent_tokens(5.0)
    (120, 145, 220)
    """

    spent_tokens: int
    burst_tokens: int
    rate_tokens_per_s: float
    relax_after_s: float
    relaxed_rate_tokens_per_s: float

    def max_spent_tokens(self, elapsed_s: float) -> int:
        """Return the most that is spent when some time has passed."""
        paced = self.rate_tokens_per_s * max(0.0, elapsed_s)
        paced += self.relaxed_rate_tokens_per_s * max(0.0, elapsed_s - self.relax_after_s)
        return self.spent_tokens + self.burst_tokens + int(paced)


class SpendReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """What one incarnation reports of all workspaces.

    Attributes
    ----------
    era : int or None
        Of the store, in which it was written, where the store names one. In a later one it binds
        nobody: a report that came after it may be lost.
    """

    number: int
    stamp_s: float
    promises: dict[str, SpendBound]
    era: int | None = None


def spend_bound_for(
    spent_tokens: int,
    free_tokens: int,
    waiting_tokens: int,
    demand_tokens_per_s: float,
    rule: SpendBoundRule,
) -> SpendBound:
    """Return the promise of a router that has spent, holds and is asked for some tokens.

    Examples
    --------
    >>> promise = spend_bound_for(100, 60_000, 0, 5_000.0, SpendBoundRule())
    >>> promise.burst_tokens, promise.rate_tokens_per_s, promise.relaxed_rate_tokens_per_s
    (5000, 5000.0, 7500.0)
    """
    free_tokens = max(0, free_tokens)
    demanded = int(rule.burst_s * demand_tokens_per_s)
    burst = min(free_tokens, max(rule.burst_tokens, demanded, waiting_tokens))
    rate_factor = rule.rate_factor * demand_tokens_per_s
    late_pace = free_tokens / rule.spend_all_s
    return SpendBound(
        spent_tokens, burst, round(rate_factor, 1), rule.relax_after_s, round(late_pace, 1)
    )


class _SentReport(msgspec.Struct):
    """A report that may stand in the store, and when it was sent on the own clock."""

    report: SpendReport
    sent_s: float


class SpendReports:
    """Writes this incarnation's reports and reads its predecessors'.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Holds the reports.
    node, incarnation : str
        This router.
    make_bounds : callable
        Returns the promises by workspace as of now.
    on_reported : callable
        Called after each report that is known to stand.
    log : GatewayLog
        Told of what predecessors left.
    enabled : bool, optional
        Whether reports are written and read at all; without them all that a dead process
        held counts as spent.
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
    ):
        self._enabled = enabled
        self._reactor = reactor
        self._store = store
        self._node = node
        self._key = RowKey(TABLE, node, incarnation)
        self._make_promises = make_bounds
        self._on_reported = on_reported
        self._log = log
        self._started_s = reactor.seconds()
        self._version = 0
        self._number = 0
        self._busy = False
        self._reading: defer.Deferred | None = None
        self._readers: list[defer.Deferred] = []
        self._sent: list[_SentReport] = []
        self._last_sent_s = -1e9
        #: By ended incarnation and workspace, the most that it spent; None until read.
        self.predecessor_bounds: dict[str, dict[str, int]] | None = None
        store.eras.listen(self._note_return)

    def _note_return(self, era: int) -> None:
        """Forget what ended processes reported: they may have reported more since.

        All that they held then counts as spent.
        """
        if self.predecessor_bounds is not None:
            self.predecessor_bounds = dict.fromkeys(self.predecessor_bounds, {})

    def allowance_tokens(self, workspace: str, committed_tokens: int) -> int | None:
        """Return how much more may be committed without another report; None: any.

        ``committed_tokens`` counts as ``SpendBound.spent_tokens`` does.
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
        """Learn what earlier incarnations of this node can have spent at most.

        Several callers at once share one read.
        """
        # Listed first: a read that ends at once wakes only those who wait already.
        waiting = defer.Deferred()
        self._readers.append(waiting)
        if self._reading is None:
            self._reading = defer.ensureDeferred(self._read_ended())
            self._reading.addBoth(self._read_over)
        await waiting

    def _read_over(self, result) -> None:
        self._reading = None
        readers, self._readers = self._readers, []
        for waiting in readers:
            waiting.callback(result)

    async def _read_ended(self) -> None:
        if not self._enabled:
            self.predecessor_bounds = {}
            return
        asked_s = self._reactor.seconds()
        table = await self._store.read_table(TABLE, self._node)
        # The store's clock was not past this when it was asked, so this is not earlier than
        # the start of this process, before which the others had ended.
        now_s = self._store.time_floor_s() - (asked_s - self._started_s)
        predecessor_bounds = {}
        for row in table.rows:
            if row.key.key != self._key.key and not row.gone:
                predecessor_bounds[row.key.key] = _bounds(row, now_s, self._store.eras.known)
        self.predecessor_bounds = predecessor_bounds
        if predecessor_bounds:
            self._log.event(
                "prepaid.predecessors",
                incarnations=list(predecessor_bounds),
                store_time_s=round(now_s, 3),
            )

    def remove_reports(self, incarnations: set[str]) -> None:
        """Remove the reports of incarnations whose grants are accounted for."""
        keys = tuple(RowKey(TABLE, self._node, name) for name in incarnations)
        for name in incarnations:
            self.predecessor_bounds.pop(name, None)
        removed = defer.ensureDeferred(
            self._store.transact(VersionedTransaction((), removals=keys))
        )
        removed.addErrback(lambda failure: failure.trap(RowStoreError))

    # Own reports.

    def report_if_due(self, routers: int) -> None:
        """Write a report when the last one is old, so that its promise stays tight.

        The more routers share the store, the less often each of them reports.
        """
        period_s = max(_PERIOD_S, min(_PERIOD_LIMIT_S, routers / _FLEET_REPORTS_PER_S))
        age_s = self._reactor.seconds() - self._last_sent_s
        if age_s >= period_s and self._make_promises():
            self.report()

    def report(self) -> bool:
        """Write a report now; False when one is under way or was just written."""
        now_s = self._reactor.seconds()
        if not self._enabled or self._busy or now_s - self._last_sent_s < _LEAST_PERIOD_S:
            return False
        if self._store.time_floor_s() is None:
            return False
        self._busy = True
        done = defer.ensureDeferred(self._write())
        done.addErrback(lambda failure: failure.trap(RowStoreError))
        done.addBoth(self._ended_write)
        return True

    def _ended_write(self, _) -> None:
        self._busy = False

    async def _write(self) -> None:
        if len(self._sent) > 1:
            # The last answer was lost: more of the same would only tighten the promise.
            await self._read_back()
        self._number += 1
        self._last_sent_s = self._reactor.seconds()
        promises, era = self._make_promises(), self._store.eras.known
        report = SpendReport(self._number, self._store.time_floor_s(), promises, era)
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
        self._stands(sent)

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
                self._stands(sent)
                return

    def _stands(self, sent: _SentReport) -> None:
        """Drop the reports that a newer one has replaced for good."""
        self._sent = [sent]
        self._on_reported()


def _bounds(row: StoredRow, now_s: float, era: int | None) -> dict[str, int]:
    """Return by workspace the most that a report's writer can have spent by now.

    Nothing where the report is of an earlier era than the store's; a build that knows no eras
    tells none.
    """
    report = msgspec.json.decode(row.value, type=SpendReport)
    if report.era not in (None, era):
        return {}
    elapsed_s = now_s - report.stamp_s
    return {
        workspace: promise.max_spent_tokens(elapsed_s)
        for workspace, promise in report.promises.items()
    }
