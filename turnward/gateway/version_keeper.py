# SPDX-License-Identifier: BSD-3-Clause
"""Decides which endpoints may continue a stream, by the software version that began it."""

import math
from collections.abc import Callable, Collection, Iterable
from itertools import islice

import msgspec
from twisted.internet import defer

from turnward.gateway.choice import EndpointBook
from turnward.gateway.configuration import EndpointEntry, RouteTable
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.member_ring import MemberRing
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.peers import PeerSynchronizer
from turnward.gateway.restart_suspicions import RestartSuspicion, RestartSuspicions
from turnward.gateway.state import FleetState
from turnward.gateway.stream_version_exchange import StreamVersionExchange
from turnward.gateway.table_catch_up import TableCatchUp, TableStanding
from turnward.software_versions import (
    UNKNOWN_VERSION,
    OpenStreams,
    PoolVersions,
    StreamKey,
    StreamVersions,
    UntoldStreams,
)

__all__ = ["StreamOrigin", "VersionKeeper"]

#: Time after an endpoint has closed its connections in which its process may be another one, of
#: which the entry does not tell yet; and the same while entries can't be read.
_REGISTRATION_S = 5.0
_STALE_REGISTRATION_S = 60.0
#: Connections that are closed at once when a process ends.
_CLOSED_BY_END = 2
#: Bounds the size of a message.
_MAX_TOLD = 16
#: Endpoints of a version with which a stream can be resumed if one of them ends.
_MIN_ENDPOINTS = 2

#: Time in which other routers learn of a new version, by a digest if not by their own polls.
_ANNOUNCED_S = 1.0
#: Longest time for which streams rather begin elsewhere than at a version that is not recorded yet;
#: the store may refuse its row for longer.
_RECORDED_S = 5.0
#: Time after which a version that is not recorded yet is told in the routers' own rows.
_OVERDUE_S = 2.0


class StreamOrigin(msgspec.Struct, frozen=True):
    """What is known of a stream that is to go on.

    Attributes
    ----------
    version : str
        Software version that began it; empty if not known.
    may_go_on : bool
        Whether it may go on; False if other versions than its own may continue it.
    searched : bool
        Whether the version was looked for.
    may_turn_up : bool
        Whether the version may be found later, if it is not known.
    """

    version: str
    may_go_on: bool = True
    searched: bool = False
    may_turn_up: bool = False


class VersionKeeper:
    """The software versions of endpoints, pools and streams, as known to one router.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    stream_limit_s : callable
        Returns how long a stream of a pool may last, in seconds; 0 for pools without streams, None
        while there is no configuration.
    streams : StreamVersions
        Versions of streams that this router knows; also an attribute.
    exchange : StreamVersionExchange
        Shares them with other routers.
    entries_stale : callable
        Returns whether entries may be out of date because the store can't be read.
    table : TableCatchUp
        Compares the endpoints' table with what peers know.
    recovers : callable
        Returns whether entries that the store lost in a rollback may be missing.

    Attributes
    ----------
    pools : PoolVersions
        Versions of each pool.
    open_streams : OpenStreams
        Streams that may be resumed if this router is killed.
    on_suspected : callable
        Called when an endpoint may have restarted as another version.
    on_versions_changed : callable
        Called when a pool has a version that it did not have before.
    unrecorded : callable
        Returns the versions of a pool that this router has yet to record for those that start
        later.
    unconfirmed : callable
        Returns the versions of a pool that this router did not see recorded.
    wait_until_read : callable
        Returns whether the versions of streams that routers have stored were read, after a short
        time at the latest.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        stream_limit_s: Callable[[str], float | None],
        streams: StreamVersions,
        exchange: StreamVersionExchange,
        entries_stale: Callable[[], bool],
        table: TableCatchUp,
        recovers: Callable[[], bool],
    ):
        self._stream_limit_s = stream_limit_s
        self.streams = streams
        self._exchange = exchange
        self._entries_stale = entries_stale
        self._table = table
        self._recovers = recovers
        self._clock = clock
        self._untold = UntoldStreams(clock)
        self._suspicions = RestartSuspicions(clock)
        self._routes: RouteTable | None = None
        #: Incarnations of the endpoints, by pool and version.
        self._incarnations: dict[str, dict[str, set[str]]] = {}
        self._lonely: dict[str, frozenset[str]] = {}
        #: When each version came to a pool that had others before, by pool.
        self._came_s: dict[str, dict[str, float]] = {}
        #: The same of all versions, also of those that were there before this router.
        self._seen_s: dict[str, dict[str, float]] = {}
        self.pools = PoolVersions(clock, stream_limit_s)
        self.open_streams = OpenStreams(clock)
        self.on_suspected: Callable[[], None] = lambda: None
        self.on_versions_changed: Callable[[], None] = lambda: None
        self.unrecorded: Callable[[str], frozenset[str]] = lambda pool: frozenset()
        self.unconfirmed: Callable[[str], frozenset[str]] = lambda pool: frozenset()
        self.wait_until_read: Callable[[], defer.Deferred[bool]] = lambda: defer.succeed(True)

    @classmethod
    def from_fleet(
        cls,
        clock: Callable[[], float],
        state: FleetState,
        book: PeerBook,
        peers: PeerSynchronizer,
        endpoints: EndpointBook,
        table: TableCatchUp,
    ) -> "VersionKeeper":
        """Return the keeper of a router that shares what it knows with its peers."""
        streams = StreamVersions(clock)
        exchange = StreamVersionExchange(
            book.own_address, MemberRing(book), streams, peers.exchange.send, peers.call
        )
        peers.on_stream_versions = exchange.receive
        peers.on_stream_question = exchange.serve
        keeper = cls(
            clock,
            state.stream_limit_s,
            streams,
            exchange,
            endpoints.entries_stale,
            table,
            lambda: state.recovers_endpoints,
        )
        peers.on_suspected_restarts = keeper.merge_suspected
        peers.suspected_restarts = keeper.suspected
        keeper.on_suspected = peers.announce_soon
        endpoints.on_connections_closed = keeper.note_connections_closed
        return keeper

    def set_entries(self, entries: Iterable[EndpointEntry]) -> None:
        """Replace the known endpoints, and tell of streams once their pool has two versions.

        Endpoints that stay in use although their entries have lapsed are among them.
        """
        before, self._incarnations = self._incarnations, {}
        staying: dict[str, dict[str, set[str]]] = {}
        for entry in entries:
            _add(self._incarnations, entry)
            if not entry.leaving:
                _add(staying, entry)
        self._lonely = {pool: _lonely_in(by_version) for pool, by_version in staying.items()}
        new = self._note_new_versions(before)
        self.pools.set_present(self._incarnations)
        if new:
            self.on_versions_changed()
        self._tell_streams(pool for pool in self._incarnations if self.pools.is_mixed(pool))

    def set_routes(self, routes: RouteTable) -> None:
        """Replace the known routes; streams of a route that has moved go on at another pool."""
        earlier, self._routes = self._routes, routes
        if earlier is None:
            return
        for pool, sources in routes.moved_streams(earlier).items():
            self.pools.move_streams(pool, sources)
            if self.pools.is_mixed(pool):
                self._tell_streams((pool, *sources))
        self.on_versions_changed()

    def _tell_streams(self, pools: Iterable[str]) -> None:
        """Tell other routers of streams that began here and of which they were not told."""
        for pool in pools:
            self._exchange.tell(self._untold.take(pool))

    def _note_new_versions(self, before: dict[str, dict[str, set[str]]]) -> bool:
        """Record when versions came; return whether any did."""
        now_s = self._clock()
        came = False
        for pool, by_version in self._incarnations.items():
            new = dict.fromkeys(by_version.keys() - before.get(pool, {}).keys(), now_s)
            self._seen_s.setdefault(pool, {}).update(new)
            if pool in before:
                self._came_s.setdefault(pool, {}).update(new)
            came = came or bool(new)
        return came

    def note_connections_closed(self, record: EndpointRecord) -> None:
        """Record that an endpoint has closed all connections, and may have restarted.

        If entries are read, one connection that is closed is the end of a response rather than
        that of a process.
        """
        if self._entries_stale():
            duration_s = _STALE_REGISTRATION_S
        elif record.pool.closed_at_once >= _CLOSED_BY_END:
            duration_s = _REGISTRATION_S
        else:
            return
        pool = record.entry.pool
        if self._suspicions.note(pool, record.incarnation, duration_s) and self.is_mixed(pool):
            self.on_suspected()

    def suspected(self) -> tuple[RestartSuspicion, ...]:
        """Return the endpoints of mixed pools that may have restarted, to tell peers."""
        suspicions = (
            RestartSuspicion(pool, incarnation, self._suspicions.left_ms(pool, incarnation))
            for pool in self._incarnations
            if self.is_mixed(pool)
            for incarnation in self._restarted(pool)
        )
        return tuple(islice(suspicions, _MAX_TOLD))

    def merge_suspected(self, suspicions: Iterable[RestartSuspicion]) -> None:
        """Add what a peer suspects; it may have had connections to the endpoints."""
        for suspicion in suspicions:
            self._suspicions.merge(suspicion)

    def is_mixed(self, pool: str) -> bool:
        """Return whether streams of more than one version may be resumed in a pool."""
        return self.pools.is_mixed(pool)

    def knows_several(self) -> bool:
        """Return whether some pool is known to have, or to have had, several versions."""
        return any(len(self.pools.of(pool)) > 1 for pool in self._incarnations)

    def has(self, pool: str, version: str) -> bool:
        """Return whether a pool has endpoints of a version."""
        return version in self._incarnations.get(pool, ())

    def has_left(self, pool: str, version: str) -> bool:
        """Return whether a version that a pool had has no endpoints any more."""
        return not self.has(pool, version) and version in self.pools.of(pool)

    def binds(self, pool: str, version: str) -> bool:
        """Return whether a stream that a version began must not go on at any endpoint of a pool.

        Another router may know a version that this one does not know yet, and name it.
        """
        return self.pools.is_mixed(pool) or self._incarnations.get(pool, {}).keys() != {version}

    def unfit(self, pool: str, version: str) -> set[str]:
        """Return the endpoints that must not continue a stream that a version began."""
        if not self.binds(pool, version):
            return set()
        by_version = self._incarnations.get(pool, {})
        unfit = {name for other in by_version.keys() - {version} for name in by_version[other]}
        return unfit.union(self._restarted(pool))

    def unpreferred(self, pool: str) -> frozenset[str]:
        """Return the endpoints at which streams should not begin, as they could hardly go on.

        These are the last of their version, if others are not, those whose version is uncertain,
        and those whose version other routers may not know yet, or would not if they started now.
        """
        if not self.pools.is_mixed(pool):
            return frozenset()
        lonely = self._lonely.get(pool, frozenset())
        by_version = self._incarnations.get(pool, {})
        early = (by_version[version] for version in self._early_versions(pool))
        return lonely.union(self._restarted(pool), *early)

    def _early_versions(self, pool: str) -> set[str]:
        """Return the versions that were not announced to other routers yet, or not recorded."""
        now_s = self._clock()
        came_s, seen_s = self._came_s.get(pool, {}), self._seen_s.get(pool, {})
        present = self._incarnations.get(pool, {}).keys()
        unannounced = {
            version for version in present if came_s.get(version, -math.inf) > now_s - _ANNOUNCED_S
        }
        unrecorded = {
            version
            for version in present & self.unrecorded(pool)
            if seen_s.get(version, -math.inf) > now_s - _RECORDED_S
        }
        return unannounced | unrecorded

    def overdue_versions(self) -> dict[str, set[str]]:
        """Return the versions that this router should have recorded by now, by pool."""
        since_s = self._clock() - _OVERDUE_S
        return {
            pool: {
                version
                for version in versions & self.unrecorded(pool)
                if self._seen_s.get(pool, {}).get(version, -math.inf) < since_s
            }
            for pool, versions in self.pools.recordable().items()
            if len(versions) > 1
        }

    def unrecorded_ages_s(self) -> dict[str, dict[str, float]]:
        """Return how long ago versions left that this router did not see recorded, by pool."""
        unrecorded = {
            pool: {version: ages_s[version] for version in ages_s.keys() & self.unconfirmed(pool)}
            for pool, ages_s in self.pools.ages_s().items()
        }
        return {pool: ages_s for pool, ages_s in unrecorded.items() if ages_s}

    def _restarted(self, pool: str) -> Collection[str]:
        """Return the endpoints that may have restarted as another version."""
        endpoints = sum(map(len, self._incarnations.get(pool, {}).values()))
        return self._suspicions.suspected(pool, endpoints)

    def note_first_event(self, key: StreamKey, record: EndpointRecord) -> str:
        """Record which version began a stream; return it, or an empty text if it is uncertain."""
        pool, version = record.entry.pool, record.entry.version
        if version == UNKNOWN_VERSION or record.incarnation in self._restarted(pool):
            return ""
        self.streams.note(key, version)
        self._note_open(pool, key, version)
        if self.pools.is_mixed(pool):
            self._exchange.tell([(key, version)])
        else:
            self._untold.add(pool, key, version, self._stream_limit_s(pool))
        return version

    def note_resumed(self, key: StreamKey, record: EndpointRecord, version: str) -> None:
        """Record that a stream that a version began goes on here."""
        self._note_open(record.entry.pool, key, version)

    def note_whole(self, key: StreamKey) -> None:
        """Record that a stream has ended whole, so that it is not resumed any more."""
        self.open_streams.remove(key)

    def _note_open(self, pool: str, key: StreamKey, version: str) -> None:
        self.open_streams.add(pool, key, version, self._stream_limit_s(pool) or 0.0)

    def ready_to_continue(
        self, pool: str, key: StreamKey, version: str
    ) -> "defer.Deferred[StreamOrigin]":
        """Return which version began a stream, once the table is fit to decide where it goes on.

        Parameters
        ----------
        version : str
            The version if it is known; empty otherwise.
        """
        return self._table.catch_up().addCallback(
            lambda standing: self._origin(pool, key, version, standing)
        )

    def _origin(
        self, pool: str, key: StreamKey, version: str, standing: TableStanding
    ) -> "StreamOrigin | defer.Deferred[StreamOrigin]":
        if version:
            return StreamOrigin(version)
        complete = standing is TableStanding.CURRENT and not self._recovers()
        if complete and not self.is_mixed(pool):
            return StreamOrigin("")
        return self._find(key).addCallback(lambda found: self._found_origin(pool, found, standing))

    def _find(self, key: StreamKey) -> "defer.Deferred[str | None]":
        """Return the version of a stream, empty if neither a router nor a stored row tells it.

        None if one that could not be asked or read may tell it.
        """
        found = self._exchange.find(key)
        return found.addCallback(lambda version: version or self._find_stored(key, version))

    def _find_stored(self, key: StreamKey, answer: str | None) -> "defer.Deferred[str | None]":
        """Return the version that a stored row tells; if none does, what routers answered."""

        def find(is_read: bool) -> str | None:
            return self.streams.find(key) or (answer if is_read else None)

        return self.wait_until_read().addCallback(find)

    def _found_origin(
        self, pool: str, version: str | None, standing: TableStanding
    ) -> StreamOrigin:
        # A stream that no router was told of began while its pool had one version there.
        one_version = not self.is_mixed(pool) and standing is not TableStanding.UNCONFIRMED
        return StreamOrigin(
            version or "",
            may_go_on=bool(version) or one_version,
            searched=True,
            may_turn_up=version is None or standing is TableStanding.UNCONFIRMED,
        )


def _add(by_pool: dict[str, dict[str, set[str]]], entry: EndpointEntry) -> None:
    by_version = by_pool.setdefault(entry.pool, {})
    by_version.setdefault(entry.version, set()).add(entry.incarnation)


def _lonely_in(by_version: dict[str, set[str]]) -> frozenset[str]:
    """Return the endpoints of versions with too few of them, unless all versions have too few."""
    few = [names for names in by_version.values() if len(names) < _MIN_ENDPOINTS]
    return frozenset().union(*few) if len(few) < len(by_version) else frozenset()
