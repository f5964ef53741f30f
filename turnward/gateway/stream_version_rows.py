# SPDX-License-Identifier: BSD-3-Clause
"""Stores which versions began the open streams, so that they survive the end of all routers.

Each router keeps one row, and reads those of all when it starts. A row that is old or partial is
never wrong, only short: the version that began a stream does not change. Nothing is written while
pools have one version each.
"""

import math
import random
from collections.abc import Callable

import msgspec
from twisted.internet import defer, task

from turnward.bounds import Number
from turnward.gateway.unreadable_rows import ROW_DECODE_ERRORS, UnreadableRows
from turnward.gateway.version_keeper import VersionKeeper
from turnward.rows import (
    RowChange,
    RowKey,
    RowStoreError,
    StoredRow,
    VersionedStoreBase,
    VersionedTransaction,
)
from turnward.software_versions import StreamKey

__all__ = ["STREAM_VERSIONS_TABLE", "StreamVersionRows", "StreamVersionsRow"]

STREAM_VERSIONS_TABLE = "stream_versions"
#: A part of its own, as the writes of a part are done one after the other.
_PART = "streams"
#: Least interval of a router's writes; streams that are younger at its end are not recorded.
_INTERVAL_S = 0.5
#: The same while no pool has several versions, as far as known; a kill beside a release is rarer
#: then.
_INTERVAL_OF_ONE_VERSION_S = 2.0
#: Most writes of all routers together.
_WRITES_PER_S = 40.0
#: Most streams in a row, and in those of all routers, which each reads when it starts.
_MAX_ROW_STREAMS = 1_000
_MAX_STREAMS = 16_000
#: Age of a row whose streams have all ended.
_RETENTION_S = 120.0
#: Longest time for which a resumption waits for the rows to be read.
_MAX_WAIT_S = 0.3
#: Range of the random delay before a failed read is retried.
_RETRY_DELAY_S = (0.3, 0.9)
_KEY_BYTES = 8

#: How long ago each version left, by pool.
VersionAges = dict[str, dict[str, Number]]


class StreamVersionsRow(msgspec.Struct, frozen=True):
    """The stored streams of one router.

    Attributes
    ----------
    store_time_s : float
        When the row was written, by the store's clock.
    keys : dict
        Keys of the streams that each version began, one after the other.
    unrecorded : dict
        How long before each version that the router did not see recorded in the row of its pool
        had left, in seconds, 0 if it was present; by pool.
    """

    store_time_s: Number
    keys: dict[str, bytes]
    unrecorded: VersionAges = {}

    @classmethod
    def from_streams(
        cls,
        streams: dict[StreamKey, str],
        store_time_s: float,
        unrecorded: VersionAges | None = None,
    ) -> "StreamVersionsRow":
        """Return the row of some streams, and of versions that may not be recorded."""
        keys: dict[str, list[StreamKey]] = {}
        for key, version in streams.items():
            keys.setdefault(version, []).append(key)
        joined = {version: b"".join(each) for version, each in keys.items()}
        return cls(store_time_s, joined, unrecorded or {})

    def streams(self) -> dict[StreamKey, str]:
        """Return the versions by stream.

        Raises
        ------
        ValueError
            A key is incomplete.
        """
        if any(len(keys) % _KEY_BYTES for keys in self.keys.values()):
            raise ValueError("incomplete key")
        return {
            keys[first : first + _KEY_BYTES]: version
            for version, keys in self.keys.items()
            for first in range(0, len(keys), _KEY_BYTES)
        }


_EMPTY_ROW = StreamVersionsRow(0.0, {})


class StreamVersionRows:
    """Reads the rows of all routers at the start, and keeps that of this one up to date.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Holds the rows.
    node : str
        Key of this router's row, which an earlier process of the node may have written.
    keeper : VersionKeeper
        Gets what the rows tell, and knows what this router's row is to tell.
    router_count : callable
        Returns the number of routers that write rows; None while it is not known.
    unreadable_rows : UnreadableRows
        Records rows that can't be decoded.
    rng : random.Random
        Draws the delays of retries.
    """

    def __init__(
        self,
        reactor,
        store: VersionedStoreBase,
        node: str,
        keeper: VersionKeeper,
        router_count: Callable[[], int | None],
        unreadable_rows: UnreadableRows,
        rng: random.Random,
    ):
        self._reactor = reactor
        self._store = store
        self._key = RowKey(STREAM_VERSIONS_TABLE, _PART, node)
        self._keeper = keeper
        self._router_count = router_count
        self._unreadable_rows = unreadable_rows
        self._rng = rng
        self._is_read = False
        self._waiting: list[defer.Deferred] = []
        #: When each version was last seen, by pool, as the rows tell.
        self._seen_s: dict[str, dict[str, Number]] = {}
        #: Version of the own row, 0 if there is none; None if it has to be read.
        self._row_version: int | None = None
        self._recorded: dict[StreamKey, str] = {}
        self._recorded_versions: VersionAges = {}
        self._written_s = -math.inf

    def start(self) -> None:
        """Read the rows, and record the open streams from then on."""
        defer.ensureDeferred(self._run())

    def handle_rollback(self) -> None:
        """Write the row again, as the rollback of the store may have lost it."""
        self._row_version = None
        self._recorded = {}
        self._recorded_versions = {}

    def wait_until_read(self) -> "defer.Deferred[bool]":
        """Return whether the rows have been read; wait for that a few tenths of a second."""
        if self._is_read:
            return defer.succeed(True)
        waiting: defer.Deferred[bool] = defer.Deferred()
        self._waiting.append(waiting)
        self._reactor.callLater(_MAX_WAIT_S, self._end_wait, waiting)
        return waiting

    async def versions_seen(self) -> dict[str, dict[str, Number]]:
        """Return when each version was last seen, by pool, once the rows have been read."""
        if not self._is_read:
            waiting: defer.Deferred[bool] = defer.Deferred()
            self._waiting.append(waiting)
            await waiting
        return self._seen_s

    def _end_wait(self, waiting: defer.Deferred) -> None:
        if not waiting.called:
            self._waiting.remove(waiting)
            waiting.callback(False)

    async def _run(self) -> None:
        await self._read()
        while True:
            await task.deferLater(self._reactor, self._interval_s())
            try:
                await self._write_new()
            except RowStoreError:
                self._row_version = None

    def _interval_s(self) -> float:
        return max(_INTERVAL_S, (self._router_count() or 0) / _WRITES_PER_S)

    # Reading.

    async def _read(self) -> None:
        while True:
            try:
                table = await self._store.read_table(STREAM_VERSIONS_TABLE, _PART)
                break
            except RowStoreError:
                await task.deferLater(self._reactor, self._rng.uniform(*_RETRY_DELAY_S))
        for row in table.rows:
            self._note_seen(self._note(row))
        self._is_read = True
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            each.callback(True)

    def _note(self, row: StoredRow) -> StreamVersionsRow:
        """Note which streams a row tells, and return it; those of the own row are recorded on."""
        stored = self._decode(row)
        streams = stored.streams()
        for key, version in streams.items():
            self._keeper.streams.note(key, version)
        if row.key == self._key:
            self._keeper.open_streams.inherit(streams.items())
            self._recorded = streams
            self._recorded_versions = stored.unrecorded
            self._row_version = 0 if row.gone else row.version
        return stored

    def _note_seen(self, stored: StreamVersionsRow) -> None:
        """Note which versions a row tells; those that were present may have left just now."""
        for pool, ages_s in stored.unrecorded.items():
            seen_s = self._seen_s.setdefault(pool, {})
            for version, age_s in ages_s.items():
                age_s += self._age_s(stored) if age_s else 0.0
                at_s = self._reactor.seconds() - age_s
                seen_s[version] = max(at_s, seen_s.get(version, at_s))

    def _decode(self, row: StoredRow) -> StreamVersionsRow:
        """Return what a row tells; nothing if its streams have ended."""
        if row.gone or not row.value:
            return _EMPTY_ROW
        try:
            stored = msgspec.msgpack.decode(row.value, type=StreamVersionsRow)
            stored.streams()
        except ROW_DECODE_ERRORS as error:
            self._unreadable_rows.mark_unreadable(row, error)
            return _EMPTY_ROW
        return stored if self._age_s(stored) < _RETENTION_S else _EMPTY_ROW

    def _age_s(self, stored: StreamVersionsRow) -> float:
        """Return how old a row is; infinity if the store's clock is not known."""
        now_s = self._store.time_floor_s()
        # After a rollback the store's clock may have jumped, in either direction.
        return abs(now_s - stored.store_time_s) if now_s is not None else math.inf

    # Writing.

    async def _write_new(self) -> None:
        """Write the row if it lacks a stream or a version, or has another version of a stream."""
        streams = self._recordable()
        if not self._is_due() or not (self._lacks(streams) or self._lacks_version()):
            return
        if self._row_version is None:
            self._note(await self._store.read_row(self._key))
            streams = self._recordable()
        store_time_s = self._store.time_floor_s()
        if store_time_s is None:
            return
        versions = self._keeper.unrecorded_ages_s()
        row = StreamVersionsRow.from_streams(streams, store_time_s, versions)
        change = RowChange(self._key, msgspec.msgpack.encode(row), self._row_version)
        self._row_version = await self._store.transact(VersionedTransaction((change,)))
        self._recorded, self._recorded_versions = streams, versions
        self._written_s = self._reactor.seconds()

    def _lacks(self, streams: dict[StreamKey, str]) -> bool:
        return not streams.items() <= self._recorded.items()

    def _lacks_version(self) -> bool:
        """Return whether a version that the row of its pool should tell is recorded nowhere."""
        return any(
            not versions <= self._recorded_versions.get(pool, {}).keys()
            for pool, versions in self._keeper.overdue_versions().items()
        )

    def _is_due(self) -> bool:
        waited_s = self._reactor.seconds() - self._written_s
        return self._keeper.knows_several() or waited_s >= _INTERVAL_OF_ONE_VERSION_S

    def _recordable(self) -> dict[StreamKey, str]:
        """Return the versions of the open streams, empty where an id was used for two."""
        routers = self._router_count()
        if routers is None:
            return {}
        most = min(_MAX_ROW_STREAMS, _MAX_STREAMS // routers)
        keys = self._keeper.open_streams.latest(most, self._keeper.is_mixed)
        return {key: self._keeper.streams.find(key) for key in keys}
