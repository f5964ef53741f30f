# SPDX-License-Identifier: BSD-3-Clause
"""Configuration and endpoints known to a process; older versions never replace newer ones."""

from collections.abc import Callable, Collection, Iterable

import msgspec

from turnward.gateway.configuration import Configuration, EndpointEntry, RouteTable
from turnward.gateway.removed_endpoints import RemovedEndpoints
from turnward.gateway.unreadable_rows import UnreadableRows
from turnward.gateway.zone_orders import ZoneOrder, ZoneOrders
from turnward.rows import RowVersion
from turnward.software_versions import UNKNOWN_VERSION

__all__ = ["EndpointsSnapshot", "FleetState"]


class EndpointsSnapshot(msgspec.Struct, frozen=True):
    """The entries of all endpoints at one version of the store.

    Attributes
    ----------
    version, era : int
        Number and era of the version.
    names_versions : bool
        Whether entries have their software versions; builds that do not know them send none.
    provisional : bool
        Whether rows that the store lost in a rollback may not have been written again yet.
    removed : tuple of str
        Incarnations known to have been removed, or to be draining; other routers tell them while
        the snapshot is ``provisional``.
    knows_recovery : bool
        Whether the router that tells it knows if the store was rolled back shortly before. One that
        has just started may not.
    """

    version: int
    entries: tuple[EndpointEntry, ...]
    era: int = 0
    names_versions: bool = False
    provisional: bool = False
    removed: tuple[str, ...] = ()
    knows_recovery: bool = False

    @classmethod
    def at(cls, version: int, entries: tuple[EndpointEntry, ...]) -> "EndpointsSnapshot":
        """Return a snapshot for a version of the store."""
        version = RowVersion(version)
        return cls(version.number, entries, version.era, names_versions=True)

    @property
    def as_of(self) -> RowVersion:
        """Version of the store at which the snapshot was taken."""
        return RowVersion.of(self.era, self.version)


class FleetState:
    """The newest configuration, endpoints and zone orders known to this process.

    Attributes
    ----------
    routes : RouteTable or None
        Routes of the configuration in use; None if there is none yet.
    endpoints : dict
        Entries in use by endpoint id.
    stored_endpoints : dict
        Entries in the store; during the recovery from a rollback they differ from those in use.
    endpoints_version : RowVersion
        Version of the store that ``endpoints`` was read at; 0 if not read yet.
    unreadable_rows : UnreadableRows
        Rows that could not be decoded.
    row_version : RowVersion
        Version of the store's row that held the configuration; 0 if there is none yet.
    confirmed_s : float or None
        When the configuration was last confirmed as the newest.
    zone_orders : ZoneOrders
        Operators' orders to drain zones.
    zone_orders_known : bool
        Whether the orders were read from the store or received from a router that knows them.
    complete_since_s : float or None
        When the last of configuration, endpoints and zone orders became known; None before.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._listeners: list[Callable[[str, str], None]] = []
        self.unreadable_rows = UnreadableRows()
        self.routes: RouteTable | None = None
        self.row_version = RowVersion(0)
        self.endpoints: dict[str, EndpointEntry] = {}
        self.stored_endpoints: dict[str, EndpointEntry] = {}
        self.endpoints_version = RowVersion(0)
        self._endpoints_confirmed_s = clock()
        self.confirmed_s: float | None = None
        self._removed_endpoints = RemovedEndpoints()
        self.zone_orders = ZoneOrders()
        self.zone_orders_known = False
        self.complete_since_s: float | None = None

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in use; 0 if there is none yet."""
        return self.routes.configuration.version if self.routes is not None else 0

    @property
    def complete(self) -> bool:
        """Whether the configuration, the endpoints and the zone orders are known."""
        return self.complete_since_s is not None

    def _note_known(self) -> None:
        """Record when the last of what makes the state complete became known."""
        known = self.routes is not None and self.endpoints_version > 0 and self.zone_orders_known
        if known and self.complete_since_s is None:
            self.complete_since_s = self._clock()

    def stream_limit_s(self, pool: str) -> float | None:
        """Return how long a stream of a pool may be resumed; 0 if it has none.

        None while there is no configuration.
        """
        return self.routes.stream_limits_s.get(pool, 0.0) if self.routes is not None else None

    def add_listener(self, listener: Callable[[str, str], None]) -> None:
        """Call ``listener(kind, source)`` after each change.

        ``kind`` is ``configuration``, ``endpoints`` or ``zone_orders``.
        """
        self._listeners.append(listener)

    def confirm(self, at_s: float | None = None) -> None:
        """Record that the configuration in use was the newest at ``at_s``, by default now."""
        at_s = self._clock() if at_s is None else at_s
        self.confirmed_s = max(at_s, self.confirmed_s or at_s)

    def unconfirmed_for_s(self) -> float:
        """Return the time since the configuration was last confirmed as the newest."""
        if self.confirmed_s is None:
            return float("inf")
        return self._clock() - self.confirmed_s

    def adopt_configuration(
        self, configuration: Configuration, source: str, row_version: int = 0
    ) -> bool:
        """Use a configuration if it is newer than the one in use."""
        if configuration.version <= self.configuration_version:
            return False
        self.routes = RouteTable(configuration)
        self.row_version = max(self.row_version, RowVersion(row_version))
        self._note_known()
        self._notify_listeners("configuration", source)
        return True

    def adopt_zone_orders(self, orders: Iterable[ZoneOrder], source: str) -> None:
        """Merge orders into the known ones."""
        if self.zone_orders.merge(orders):
            self._notify_listeners("zone_orders", source)

    def adopt_zone_order_table(
        self, orders: Iterable[ZoneOrder], version: int, source: str, provisional: bool = False
    ) -> None:
        """Merge the complete table of orders at a version of the store.

        Known orders that the table lacks have been withdrawn, unless ``provisional``: after a
        rollback of the store, some orders may not have been rewritten yet.
        """
        self.zone_orders_known = True
        self._note_known()
        if provisional:
            self.adopt_zone_orders(orders, source)
            return
        if self.zone_orders.merge_table(orders, version):
            self._notify_listeners("zone_orders", source)

    def adopt_announced_zone_orders(
        self, orders: tuple[ZoneOrder, ...] | None, source: str
    ) -> None:
        """Merge the orders announced by another router; None if it has none yet."""
        if orders is None:
            return
        self.zone_orders_known = True
        self._note_known()
        self.adopt_zone_orders(orders, source)

    def announced_zone_orders(self) -> tuple[ZoneOrder, ...] | None:
        """Return the orders to announce to other routers; None if not known yet."""
        return self.zone_orders.all() if self.zone_orders_known else None

    def endpoints_age_s(self) -> float:
        """Return the time since the store or a peer told the endpoints in use, or newer ones."""
        return self._clock() - self._endpoints_confirmed_s

    @property
    def recovers_endpoints(self) -> bool:
        """Whether entries that the store lost in a rollback may not have been written again yet."""
        return self._removed_endpoints.recovering(self._clock())

    def adopt_endpoints(
        self,
        snapshot: EndpointsSnapshot,
        source: str,
        written: Collection[str] = (),
        recovered: bool = False,
    ) -> bool:
        """Replace the known endpoints by a snapshot if it is newer; return whether it was.

        A provisional one that is not newer still tells a router that has started since that the
        store was rolled back, and which endpoints were removed before.

        Parameters
        ----------
        written : collection of str
            Ids of endpoints whose entries have been written since the previous snapshot.
        recovered : bool
            Whether the rows that the store lost in its last rollback have been rewritten; then a
            snapshot of the same version is accepted, too.
        """
        known = self.endpoints_version
        shows_rollback = self._shows_rollback(snapshot)
        newer = snapshot.as_of > known or (snapshot.as_of == known and recovered)
        if snapshot.as_of < known and not shows_rollback:
            return False
        now_s = self._clock()
        removed = self._removed_endpoints
        if shows_rollback:
            removed.begin_recovery(snapshot.era, now_s - self._endpoints_confirmed_s, now_s)
        self._endpoints_confirmed_s = now_s
        if not newer and not shows_rollback:
            return False
        if recovered:
            removed.end_recovery(snapshot.era)
        removed.record_provisional(snapshot.era, snapshot.provisional)
        removed.mark_removed(snapshot.removed, now_s)
        if newer:
            known_versions = self._software_versions(snapshot)
            stored = {entry.endpoint_id: self._latest_entry(entry) for entry in known_versions}
            removed.mark_rewritten(stored[name] for name in written if name in stored)
            self.stored_endpoints = stored
            self.endpoints_version = snapshot.as_of
            self._note_known()
        self._use_entries(removed.correct(self.stored_endpoints, self.endpoints, now_s), source)
        return newer

    def _use_entries(self, entries: dict[str, EndpointEntry], source: str) -> None:
        self._removed_endpoints.record_view(self.endpoints, entries, self._clock())
        changed = entries != self.endpoints
        self.endpoints = entries
        if changed:
            self._notify_listeners("endpoints", source)

    def _shows_rollback(self, snapshot: EndpointsSnapshot) -> bool:
        """Return whether a snapshot is the first sign here of a rollback of the store.

        A router that has started since knows only from peers that the store was rolled back.
        """
        known = self.endpoints_version
        if snapshot.era < known.era or not self._removed_endpoints.is_new_recovery(snapshot.era):
            return False
        return snapshot.provisional or (known > 0 and snapshot.era > known.era)

    def _software_versions(self, snapshot: EndpointsSnapshot) -> Iterable[EndpointEntry]:
        """Return entries with their software versions, from earlier ones if they lack them."""
        if snapshot.names_versions:
            return snapshot.entries
        versions = {entry.incarnation: entry.version for entry in self.endpoints.values()}
        return [
            msgspec.structs.replace(entry, version=versions.get(entry.incarnation, UNKNOWN_VERSION))
            for entry in snapshot.entries
        ]

    def _latest_entry(self, entry: EndpointEntry) -> EndpointEntry:
        """Return the known entry instead if the given one belongs to an earlier process.

        A delayed write of the earlier process can overwrite the entry of its successor.
        """
        known = self.endpoints.get(entry.endpoint_id)
        if known is None or known.born_ms is None or entry.born_ms is None:
            return entry
        return known if entry.born_ms < known.born_ms else entry

    def snapshot(self) -> EndpointsSnapshot:
        """Return a snapshot of the entries in the store, for other routers."""
        snapshot = EndpointsSnapshot.at(
            self.endpoints_version, tuple(self.stored_endpoints.values())
        )
        if not self.recovers_endpoints:
            return snapshot
        removed = self._removed_endpoints.known()
        return msgspec.structs.replace(snapshot, provisional=True, removed=removed)

    def _notify_listeners(self, kind: str, source: str) -> None:
        for listener in self._listeners:
            listener(kind, source)
