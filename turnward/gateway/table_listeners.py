# SPDX-License-Identifier: BSD-3-Clause
"""Listeners that apply the rows of the store's tables to the state of a process."""

from collections.abc import Callable, Collection

import msgspec

from turnward.bounds import MAX_NAME_CHARS
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
    """Applies the row with the configuration, and rows that order zones to be drained.

    Parameters
    ----------
    state : FleetState
        Adopts each version and order.
    key : str
        The configuration's key.
    zone_order_prefix : str
        Prefix of the key of an order; the zone's name follows. Rows with other keys are ignored.
    decode : callable
        Returns the configuration from a row's value; raises ``DecodeError`` or ``ValueError``.
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
        """See ``FeedListenerBase.version``; includes versions received from peers."""
        return max(self._version, self._state.row_version)

    def knows_earlier_era(self, version: int) -> bool:
        """See ``FeedListenerBase.knows_earlier_era``."""
        return self._state.zone_orders.has_orders_before(RowVersion(version).era)

    def table_read(self, table: TableChanges) -> None:
        """See ``FeedListenerBase.table_read``; orders without a row have ended."""
        # Orders first: the router starts serving once it has a configuration.
        orders = self._orders_in(table)
        self._state.adopt_zone_order_table(orders, table.version, "store", table.provisional)
        self._adopt_configuration(table)

    def rows_changed(self, changes: TableChanges) -> None:
        """See ``FeedListenerBase.rows_changed``."""
        self._state.adopt_zone_orders(self._orders_in(changes), "store")
        self._adopt_configuration(changes)

    def _orders_in(self, changes: TableChanges) -> list[ZoneOrder]:
        """Return the latest order for each zone; the value of a row does not matter."""
        orders: dict[str, ZoneOrder] = {}
        for row in changes.rows:
            prefix, zone = self._zone_order_prefix, row.key.key
            if not zone.startswith(prefix):
                continue
            zone = zone[len(prefix) :]
            try:
                zone = _zone_name(zone)
            except ValueError as failure:
                self._state.unreadable_rows.mark_unreadable(row, failure)
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


def _zone_name(text: str) -> str:
    """Return the zone that an order's key names.

    Raises
    ------
    ValueError
        There is none, or no zone can have the name.
    """
    if not text:
        raise ValueError("drain order without a zone name in its key")
    if len(text) > MAX_NAME_CHARS:
        raise ValueError(f"drain order for a zone of {len(text)} characters")
    return text


class EndpointsListener(FeedListenerBase):
    """Applies the endpoints' rows; a row that cannot be decoded counts as removed.

    Parameters
    ----------
    state : FleetState
        Adopts each change.
    decode : callable
        Returns the entry from a row; raises ``DecodeError`` or ``ValueError``.
    """

    def __init__(self, state: FleetState, decode: Callable[[StoredRow], EndpointEntry]):
        self._state = state
        self._decode = decode

    @property
    def version(self) -> int:
        """See ``FeedListenerBase.version``."""
        return self._state.endpoints_version

    def knows_earlier_era(self, version: int) -> bool:
        """See ``FeedListenerBase.knows_earlier_era``."""
        known = self._state.endpoints_version
        return self._state.recovers_endpoints or (known > 0 and known.era < RowVersion(version).era)

    def table_read(self, table: TableChanges) -> None:
        """See ``FeedListenerBase.table_read``."""
        self._adopt({}, table, authoritative=not table.provisional)

    def rows_changed(self, changes: TableChanges) -> None:
        """See ``FeedListenerBase.rows_changed``."""
        written = [row.key.key for row in changes.rows]
        self._adopt(dict(self._state.stored_endpoints), changes, written)

    def _adopt(
        self,
        entries: dict[str, EndpointEntry],
        changes: TableChanges,
        written: Collection[str] = (),
        authoritative: bool = False,
    ) -> None:
        removed = []
        for row in changes.rows:
            entries.pop(row.key.key, None)
            entry = self._read(row)
            if entry is not None:
                entries[row.key.key] = entry
            elif row.key.key in self._state.endpoints:
                removed.append(self._state.endpoints[row.key.key].incarnation)
        snapshot = EndpointsSnapshot.at(changes.version, tuple(entries.values()))
        snapshot = msgspec.structs.replace(
            snapshot, removed=tuple(removed), provisional=changes.provisional
        )
        self._state.adopt_endpoints(snapshot, "store", written, authoritative)

    def _read(self, row: StoredRow) -> EndpointEntry | None:
        """Return the entry in a row, None if it was removed or cannot be decoded.

        Another writer may have overwritten a valid entry; the endpoint's own process restores it
        with its next heartbeat.
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
    """Lists peers in the peer book from their rows.

    Parameters
    ----------
    book : PeerBook
        Gets each member listed.
    unreadable_rows : UnreadableRows
        Records rows that cannot be decoded.
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
            self._book.list_member(
                row.key.key,
                member.address,
                member.zone,
                member.link_mbit_per_s,
                member.takes_relays,
                member.keeps_versions,
                member.tells_paths,
            )
