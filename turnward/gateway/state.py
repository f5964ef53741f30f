# SPDX-License-Identifier: BSD-3-Clause
"""What a process believes of configuration and endpoints; neither ever goes back."""

from collections.abc import Callable, Collection, Iterable

import msgspec

from turnward.gateway.configuration import Configuration, EndpointEntry, RouteTable
from turnward.gateway.removed_endpoints import RemovedEndpoints
from turnward.gateway.unreadable_rows import UnreadableRows
from turnward.gateway.zone_orders import ZoneOrder, ZoneOrders
from turnward.rows import RowVersion

__all__ = ["EndpointsSnapshot", "FleetState"]


class EndpointsSnapshot(msgspec.Struct, frozen=True):
    """All endpoints as of one version of the store.

    Attributes
    ----------
    version, era : int
        Number and era of that version.
    """

    version: int
    entries: tuple[EndpointEntry, ...]
    era: int = 0

    @classmethod
    def at(cls, version: int, entries: tuple[EndpointEntry, ...]) -> "EndpointsSnapshot":
        """Return the endpoints as of a version of the store."""
        version = RowVersion(version)
        return cls(version.number, entries, version.era)

    @property
    def as_of(self) -> RowVersion:
        """The store's version that they are as of."""
        return RowVersion.of(self.era, self.version)


class FleetState:
    """The newest configuration and endpoints this process has learnt.

    Attributes
    ----------
    routes : RouteTable or None
        The configuration in force; None until one is known.
    endpoints : dict
        Entries by endpoint id.
    endpoints_version : RowVersion
        The store's version that ``endpoints`` is as of; 0 until known.
    unreadable_rows : UnreadableRows
        Rows that could not be read.
    row_version : RowVersion
        The store's version of the row that the configuration came in; 0 until known.
    confirmed_s : float or None
        When the configuration was last known to be the newest.
    zone_orders : ZoneOrders
        Which zones operators want drained.
    zone_orders_known : bool
        Whether these were read, or told by a router that knows them.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._listeners: list[Callable[[str, str], None]] = []
        self.unreadable_rows = UnreadableRows()
        self.routes: RouteTable | None = None
        self.row_version = RowVersion(0)
        self.endpoints: dict[str, EndpointEntry] = {}
        self.endpoints_version = RowVersion(0)
        self.confirmed_s: float | None = None
        self._departures = RemovedEndpoints()
        self.zone_orders = ZoneOrders()
        self.zone_orders_known = False

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 while none is known."""
        return self.routes.configuration.version if self.routes is not None else 0

    @property
    def complete(self) -> bool:
        """Whether enough is known to serve."""
        return self.routes is not None and self.endpoints_version > 0 and self.zone_orders_known

    def listen(self, listener: Callable[[str, str], None]) -> None:
        """Call ``listener(what, source)`` after each change."""
        self._listeners.append(listener)

    def confirm(self, at_s: float | None = None) -> None:
        """Note that the configuration in force was the newest at a moment."""
        at_s = self._clock() if at_s is None else at_s
        self.confirmed_s = max(at_s, self.confirmed_s or at_s)

    def unconfirmed_for_s(self) -> float:
        """Return how long it is since the configuration was known to be the newest."""
        if self.confirmed_s is None:
            return float("inf")
        return self._clock() - self.confirmed_s

    def adopt_configuration(
        self, configuration: Configuration, source: str, row_version: int = 0
    ) -> bool:
        """Put a configuration in force unless it is older than the one in force."""
        if configuration.version <= self.configuration_version:
            return False
        self.routes = RouteTable(configuration)
        self.row_version = max(self.row_version, RowVersion(row_version))
        self._tell("configuration", source)
        return True

    def adopt_zone_orders(self, orders: Iterable[ZoneOrder], source: str) -> None:
        """Take in orders that are newer than known ones."""
        if self.zone_orders.merge(orders):
            self._tell("zone_orders", source)

    def adopt_zone_order_table(
        self, orders: Iterable[ZoneOrder], version: int, source: str, provisional: bool = False
    ) -> None:
        """Take in all orders that stood at a version of the store.

        Those that do not stand had ended, unless the store has just come back from an older copy.
        """
        self.zone_orders_known = True
        if provisional:
            self.adopt_zone_orders(orders, source)
            return
        if self.zone_orders.merge_table(orders, version):
            self._tell("zone_orders", source)

    def adopt_announced_zone_orders(
        self, orders: tuple[ZoneOrder, ...] | None, source: str
    ) -> None:
        """Take in all orders that another router knows; None when it knows of none yet."""
        if orders is None:
            return
        self.zone_orders_known = True
        self.adopt_zone_orders(orders, source)

    def announced_zone_orders(self) -> tuple[ZoneOrder, ...] | None:
        """Return all orders as others are told of them; None while they are not known."""
        return self.zone_orders.all() if self.zone_orders_known else None

    def adopt_endpoints(
        self,
        snapshot: EndpointsSnapshot,
        source: str,
        written: Collection[str] = (),
        authoritative: bool = False,
    ) -> bool:
        """Take in all endpoints unless what is known is as new.

        Parameters
        ----------
        written : collection of str
            Endpoints whose entries have just been written.
        settled : bool
            Whether all that the store lost with its last return has been written anew.
        """
        known = self.endpoints_version
        if snapshot.as_of < known or (snapshot.as_of == known and not authoritative):
            return False
        now_s = self._clock()
        if known and snapshot.era > known.era:
            self._departures.begin_rollback_recovery(now_s)
        if authoritative:
            self._departures.end_rollback_recovery()
        entries = {entry.endpoint_id: self._newer(entry) for entry in snapshot.entries}
        self._departures.mark_rewritten(entries[name] for name in written if name in entries)
        entries = self._departures.mark_draining(entries, now_s)
        self._departures.record_view(self.endpoints, entries, now_s)
        changed = entries != self.endpoints
        self.endpoints = entries
        self.endpoints_version = snapshot.as_of
        if changed:
            self._tell("endpoints", source)
        return True

    def _newer(self, entry: EndpointEntry) -> EndpointEntry:
        """Return what is known of an endpoint, where an entry tells of an earlier start.

        A write that the store took late puts an ended process's entry over that of the next.
        """
        known = self.endpoints.get(entry.endpoint_id)
        if known is None or known.born_ms is None or entry.born_ms is None:
            return entry
        return known if entry.born_ms < known.born_ms else entry

    def snapshot(self) -> EndpointsSnapshot:
        """Return all endpoints as known."""
        return EndpointsSnapshot.at(self.endpoints_version, tuple(self.endpoints.values()))

    def _tell(self, what: str, source: str) -> None:
        for listener in self._listeners:
            listener(what, source)
