# SPDX-License-Identifier: BSD-3-Clause
"""Takes rows into what a process believes, in whatever form they are written."""

from collections.abc import Callable, Collection

from turnward.gateway.configuration import Configuration, EndpointEntry
from turnward.gateway.feeds import FeedListenerBase
from turnward.gateway.members import decode_member
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.state import EndpointsSnapshot, FleetState
from turnward.gateway.unreadable_rows import ROW_DECODE_ERRORS, UnreadableRows
from turnward.gateway.zone_orders import ZoneOrder
from turnward.rows import RowVersion, StoredRow, TableChanges

__all__ = ["ConfigurationListener", "EndpointsListener", "MembersListener"]


class ConfigurationListener(FeedListenerBase):
    """Follows the row that holds the configuration, and those that order zones to be drained.

    Parameters
    ----------
    state : FleetState
        Told of each version and order.
    key : str
        The configuration's key.
    zone_order_prefix : str
        Begins the key of an order; the zone's name follows. Rows of other keys are passed over.
    decode : callable
        Returns the configuration in a row's value; raises ``DecodeError`` or ``ValueError``.
    """

    def __init__(
        self,
        state: FleetState,
        key: str,
        zone_order_prefix: str,
        decode: Callable[[bytes], Configuration],
    ):
        self._state = state
        self._key = key
        self._zone_order_prefix = zone_order_prefix
        self._decode = decode
        self._version = 0

    @property
    def version(self) -> int:
        """See ``FeedListenerBase.version``; what others told need not be asked for again."""
        return max(self._version, self._state.row_version)

    def knows_before(self, version: int) -> bool:
        """See ``FeedListenerBase.knows_before``."""
        return self._state.zone_orders.has_orders_before(RowVersion(version).era)

    def table_read(self, table: TableChanges) -> None:
        """See ``FeedListenerBase.table_read``; orders that are not there have ended."""
        # Before the configuration, with which a router begins to serve.
        orders = self._orders_in(table)
        self._state.adopt_zone_order_table(orders, table.version, "store", table.provisional)
        self._adopt_configuration(table)

    def rows_changed(self, changes: TableChanges) -> None:
        """See ``FeedListenerBase.rows_changed``."""
        self._state.adopt_zone_orders(self._orders_in(changes), "store")
        self._adopt_configuration(changes)

    def _orders_in(self, changes: TableChanges) -> list[ZoneOrder]:
        """Return the last word on each zone; a row is an order whatever its value says."""
        orders: dict[str, ZoneOrder] = {}
        for row in changes.rows:
            prefix, zone = self._zone_order_prefix, row.key.key
            if not zone.startswith(prefix):
                continue
            zone = zone[len(prefix) :]
            if not zone:
                self._state.unreadable_rows.mark_unreadable(
                    row, ValueError("an order names no zone")
                )
                continue
            orders[zone] = ZoneOrder.at(zone, row.version or changes.version, not row.gone)
        return list(orders.values())

    def _adopt_configuration(self, changes: TableChanges) -> None:
        self._version = max(self._version, changes.version)
        for row in changes.rows:
            if row.key.key != self._key or row.gone:
                continue
            try:
                configuration = self._decode(row.value)
            except ROW_DECODE_ERRORS as failure:
                self._state.unreadable_rows.mark_unreadable(row, failure)
                continue
            self._state.unreadable_rows.mark_readable(row.key)
            self._state.adopt_configuration(configuration, "store", row.version)


class EndpointsListener(FeedListenerBase):
    """Follows the endpoints' rows; one that can't be read counts as gone.

    Parameters
    ----------
    state : FleetState
        Told of each change.
    decode : callable
        Returns the entry in a row; raises ``DecodeError`` or ``ValueError``.
    """

    def __init__(self, state: FleetState, decode: Callable[[StoredRow], EndpointEntry]):
        self._state = state
        self._decode = decode

    @property
    def version(self) -> int:
        """See ``FeedListenerBase.version``."""
        return self._state.endpoints_version

    def knows_before(self, version: int) -> bool:
        """See ``FeedListenerBase.knows_before``."""
        known = self._state.endpoints_version
        return known > 0 and known.era < RowVersion(version).era

    def table_read(self, table: TableChanges) -> None:
        """See ``FeedListenerBase.table_read``."""
        self._adopt({}, table, authoritative=not table.provisional)

    def rows_changed(self, changes: TableChanges) -> None:
        """See ``FeedListenerBase.rows_changed``."""
        written = [row.key.key for row in changes.rows]
        self._adopt(dict(self._state.endpoints), changes, written)

    def _adopt(
        self,
        entries: dict[str, EndpointEntry],
        changes: TableChanges,
        written: Collection[str] = (),
        authoritative: bool = False,
    ) -> None:
        for row in changes.rows:
            entries.pop(row.key.key, None)
            entry = self._read(row)
            if entry is not None:
                entries[row.key.key] = entry
        snapshot = EndpointsSnapshot.at(changes.version, tuple(entries.values()))
        self._state.adopt_endpoints(snapshot, "store", written, authoritative)

    def _read(self, row: StoredRow) -> EndpointEntry | None:
        """Return the entry in a row, None when it is gone or can't be read.

        Another writer may have put it there, over a good one too: it names no endpoint until its
        own process writes it anew, at the next heartbeat.
        """
        unreadable_rows = self._state.unreadable_rows
        if row.gone:
            unreadable_rows.mark_readable(row.key)
            return None
        try:
            entry = self._decode(row)
        except ROW_DECODE_ERRORS as failure:
            unreadable_rows.mark_unreadable(row, failure)
            return None
        unreadable_rows.mark_readable(row.key)
        return entry


class MembersListener(FeedListenerBase):
    """Learns peers' addresses from their rows.

    Parameters
    ----------
    book : PeerBook
        Told of each member.
    unreadable_rows : UnreadableRows
        Told of rows that can't be read.
    """

    def __init__(self, book: PeerBook, unreadable_rows: UnreadableRows):
        self._book = book
        self._unreadable_rows = unreadable_rows
        self._version = 0

    @property
    def version(self) -> int:
        """See ``FeedListenerBase.version``."""
        return self._version

    def table_read(self, table: TableChanges) -> None:
        """See ``FeedListenerBase.table_read``."""
        self.rows_changed(table)
        self._book.members_read = True

    def rows_changed(self, changes: TableChanges) -> None:
        """See ``FeedListenerBase.rows_changed``."""
        self._version = max(self._version, changes.version)
        for row in changes.rows:
            if row.gone:
                continue
            try:
                member = decode_member(row.value)
            except ROW_DECODE_ERRORS as failure:
                self._unreadable_rows.mark_unreadable(row, failure)
                continue
            self._unreadable_rows.mark_readable(row.key)
            self._book.add_member(member.address, member.zone, member.link_mbit_per_s)
