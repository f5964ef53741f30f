# SPDX-License-Identifier: BSD-3-Clause
"""Stores which software versions each pool has had lately, for routers that start later.

A router that has just started sees in the table of endpoints which versions are present, but not
which ones left it shortly before and still own streams. The rows change only when a version
appears, or can have no streams any more.
"""

import math
import random
from collections.abc import Awaitable, Callable

from twisted.internet import defer, task

from turnward.gateway.recorded_versions import (
    POOL_VERSION_RECORDS_TABLE,
    POOL_VERSIONS_TABLE,
    RecordedVersions,
    RowStanding,
    StoredVersions,
)
from turnward.gateway.removed_endpoints import REWRITE_PERIOD_S
from turnward.gateway.unreadable_rows import UnreadableRows
from turnward.gateway.watch_gaps import MIN_GAP_S
from turnward.rows import (
    RowKey,
    RowStoreError,
    VersionConflictError,
    VersionedStoreBase,
    VersionedTransaction,
)
from turnward.software_versions import PoolVersions

__all__ = ["PoolVersionRows"]

_CHECK_INTERVAL_S = 1.0
#: Routers that write a row, one after the other while it differs; the first may have crashed.
_WRITERS = 4
_DELAY_PER_RANK_S = 0.5
#: Range of the random delay before a failed read is retried.
_RETRY_DELAY_S = (0.3, 0.9)
_NOTHING_RECORDED = RecordedVersions()


class PoolVersionRows:
    """Reads the stored versions at startup, and keeps the rows up to date.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Holds a row for each pool with streams.
    versions : PoolVersions
        What this router knows.
    rank_for : callable
        Returns how many members rank before this router for a key.
    unreadable_rows : UnreadableRows
        Records rows that can't be decoded.
    rng : random.Random
        Draws the delays of retries.
    log
        Where reads are recorded.

    Attributes
    ----------
    store_is_away : callable
        Returns whether calls to the store are known to fail; then rows are not read again yet.
    versions_seen : callable
        Returns when each version was last seen that may not be recorded, by pool, once the rows of
        streams have been read. Until then the rows of pools' versions do not tell the whole past.
    """

    def __init__(
        self,
        reactor,
        store: VersionedStoreBase,
        versions: PoolVersions,
        rank_for: Callable[[str], int],
        unreadable_rows: UnreadableRows,
        rng: random.Random,
        log,
    ):
        self._reactor = reactor
        self._store = store
        self._versions = versions
        self._rank_for = rank_for
        self._unreadable_rows = unreadable_rows
        self._rng = rng
        self._log = log
        self._recorded: dict[str, RecordedVersions] = {}
        self._writing: set[str] = set()
        self._has_read = False
        self._reading = False
        self._has_seen = False
        #: When the last read that was answered was sent.
        self._read_s = 0.0
        #: Number of gaps so far; what was asked for before the latest one is out of date.
        self._gaps = 0
        self.store_is_away: Callable[[], bool] = lambda: False
        self.versions_seen: Callable[[], Awaitable[dict[str, dict[str, float]]]] = _nothing_seen

    def start(self) -> None:
        """Read the rows, and check from then on whether they are up to date."""
        defer.ensureDeferred(self._read())

    def handle_rollback(self) -> None:
        """Write rows again that the rollback of the store may have lost."""
        self._recorded.clear()

    def handle_gap(self) -> None:
        """Read the rows again, as versions may have come and gone unseen until now."""
        self._versions.forget_past()
        self._recorded.clear()
        self._gaps += 1
        if self._has_read:
            defer.ensureDeferred(self._read_until_answered())

    async def _read(self) -> None:
        await self._read_until_answered()
        self._has_read = True
        checks = task.LoopingCall(self.check)
        checks.clock = self._reactor
        checks.start(_CHECK_INTERVAL_S)
        self._add_seen(await self.versions_seen())
        if self._may_be_recorded_again():
            await task.deferLater(self._reactor, REWRITE_PERIOD_S)
            await self._read_until_answered()

    def _add_seen(self, seen: dict[str, dict[str, float]]) -> None:
        """Add the versions that other rows tell; then those recorded are the whole past."""
        self._has_seen = True
        for pool, recorded in self._recorded.items():
            self._add(pool, recorded, recorded.versions)
        self._versions.add_seen(seen)
        if seen:
            names = {pool: sorted(versions) for pool, versions in seen.items()}
            self._log.event("pool_versions.unrecorded", versions=names)

    def _may_be_recorded_again(self) -> bool:
        """Return whether a rollback of the store may have lost what others write again."""
        known = all(recorded.complete for recorded in self._recorded_pools().values())
        return self._store.eras.current > 0 and not known

    async def _read_until_answered(self) -> None:
        """Read the rows, again if there was a gap meanwhile; does nothing while it does so."""
        if self._reading:
            return
        self._reading = True
        while not await self._try_to_read():
            await task.deferLater(self._reactor, self._rng.uniform(*_RETRY_DELAY_S))
        self._reading = False

    async def _try_to_read(self) -> bool:
        """Read the rows unless the store is away; return whether they tell the past until now."""
        if self._has_read and self.store_is_away():
            return False
        gaps, sent_s = self._gaps, self._reactor.seconds()
        try:
            records = await self._store.read_table(POOL_VERSION_RECORDS_TABLE)
            listed = await self._store.read_table(POOL_VERSIONS_TABLE)
        except RowStoreError:
            return False
        if gaps != self._gaps:
            return False
        self._read_s = sent_s
        for pool, stored in StoredVersions.by_pool(listed.rows, records.rows).items():
            self._learn(pool, self._decode(stored))
        self._log_read(listed.version)
        return True

    def _decode(self, stored: StoredVersions) -> RecordedVersions:
        return stored.decode(self._store.eras.current, self._unreadable_rows)

    def _learn(self, pool: str, recorded: RecordedVersions) -> None:
        """Add what rows tell to what is known.

        Versions that they told before and that were seen absent since are left out, unless others
        may have seen them again; and so is a limit that has ended since.
        """
        versions, told = recorded.versions, self._recorded_of(pool)
        if recorded.stream_limit_s > told.stream_limit_s:
            self._versions.add_stream_limit(pool, recorded.stream_limit_s)
        if self._versions.knows_past(pool):
            versions -= told.versions
        self._add(pool, recorded, versions)
        self._recorded[pool] = recorded

    def _add(self, pool: str, recorded: RecordedVersions, versions: frozenset[str]) -> None:
        if recorded.complete and self._has_seen:
            self._versions.add_recorded({pool: versions})
        else:
            self._versions.add_versions({pool: versions})

    def _log_read(self, version: int) -> None:
        recorded = self._recorded_pools()
        self._log.event(
            "pool_versions.read",
            version=version,
            versions={name: sorted(one.versions) for name, one in recorded.items() if one.versions},
            unknown={name: one.standing for name, one in recorded.items() if not one.complete},
        )

    def _recorded_pools(self) -> dict[str, RecordedVersions]:
        """Return what is recorded of each pool that has rows, or streams here."""
        pools = self._recorded.keys() | self._versions.recordable().keys()
        return {pool: self._recorded_of(pool) for pool in sorted(pools)}

    def _recorded_of(self, pool: str) -> RecordedVersions:
        return self._recorded.get(pool, _NOTHING_RECORDED)

    def unrecorded(self, pool: str) -> frozenset[str]:
        """Return the versions of a pool that this router has yet to record, or to see recorded."""
        if self._rank_for(pool) >= _WRITERS:
            return frozenset()
        return self.unconfirmed(pool)

    def unconfirmed(self, pool: str) -> frozenset[str]:
        """Return the versions of a pool that this router did not see recorded."""
        return self._versions.of(pool) - self._recorded_of(pool).versions

    def check(self) -> None:
        """Write the rows that differ from what is known."""
        if self._reading or not self._has_read:
            return
        if self._was_read_too_early():
            self.handle_gap()
            return
        for pool, versions in self._versions.recordable().items():
            rank = self._rank_for(pool)
            due = self._is_due(pool, versions) and rank < _WRITERS
            if due and pool not in self._writing:
                self._writing.add(pool)
                writing = task.deferLater(self._reactor, rank * _DELAY_PER_RANK_S)
                writing.addCallback(lambda _, pool=pool: defer.ensureDeferred(self._write(pool)))
                writing.addErrback(lambda failure: failure.trap(RowStoreError))
                writing.addBoth(lambda _, pool=pool: self._writing.discard(pool))

    def _was_read_too_early(self) -> bool:
        """Return whether versions may have come and gone between the read and the first table."""
        watched_since_s = self._versions.watched_since_s
        return math.isfinite(watched_since_s) and watched_since_s - self._read_s >= MIN_GAP_S

    def _is_due(self, pool: str, versions: frozenset[str]) -> bool:
        recorded = self._recorded_of(pool)
        return self._to_record(pool, versions, recorded) != recorded

    def _to_record(
        self, pool: str, versions: frozenset[str], recorded: RecordedVersions
    ) -> RecordedVersions:
        """Return what the rows of a pool should tell, by what they tell now.

        Only who knows the past may take a version out, or replace rows of unknown content.
        """
        knows_past = self._versions.knows_past(pool)
        limit_s = self._versions.stream_limit_s(pool)
        if not knows_past:
            return recorded.extended(versions, limit_s)
        return RecordedVersions(versions, RowStanding.COMPLETE, self._store.eras.current, limit_s)

    async def _write(self, pool: str) -> None:
        """Write a pool's rows unless another router has done so; a failure is tried again later."""
        gaps = self._gaps
        stored = await self._read_pool(pool)
        if gaps != self._gaps:
            return
        recorded = self._decode(stored)
        self._learn(pool, recorded)
        versions = self._versions.recordable().get(pool)
        if versions is None or not self._is_due(pool, versions):
            return
        changed = self._to_record(pool, versions, recorded)
        try:
            await self._store.transact(VersionedTransaction(stored.changes(changed)))
        except VersionConflictError:
            # Another router has just written the rows; the next check compares again.
            return
        self._recorded[pool] = changed

    async def _read_pool(self, pool: str) -> StoredVersions:
        record = await self._store.read_row(RowKey(POOL_VERSION_RECORDS_TABLE, "", pool))
        listed = await self._store.read_row(RowKey(POOL_VERSIONS_TABLE, "", pool))
        return StoredVersions(listed, record)


async def _nothing_seen() -> dict[str, dict[str, float]]:
    return {}
