# SPDX-License-Identifier: BSD-3-Clause
"""Operators' orders to drain availability zones: their endpoints get no new requests.

An order stays in the store until it is withdrawn. Each is kept with the store version at which it
was issued or withdrawn, and the newest per zone wins, whatever the path and sequence of arrival.
Orders are small enough to be sent in full in the messages among routers. Withdrawn orders are kept
as tombstones, so that a stale message can't revive them.
"""

from collections.abc import Iterable

import msgspec

from turnward.rows import RowVersion

__all__ = ["ZoneOrder", "ZoneOrders"]

#: Bounds the size of messages: 64 orders take 0.9 KB of a datagram.
_MAX_ZONES = 64


class ZoneOrder(msgspec.Struct, frozen=True, array_like=True):
    """The latest order on an availability zone, or its withdrawal.

    Attributes
    ----------
    version, era : int
        Number and era of the store version at which it was issued or withdrawn.
    drained : bool
        Whether the zone's endpoints get no new requests.
    """

    zone: str
    version: int
    drained: bool
    era: int = 0

    @classmethod
    def at(cls, zone: str, version: int, drained: bool) -> "ZoneOrder":
        """Return the order that was issued or withdrawn at a version of the store."""
        version = RowVersion(version)
        return cls(zone, version.number, drained, version.era)

    @property
    def as_of(self) -> RowVersion:
        """The store version at which it was issued or withdrawn."""
        return RowVersion.of(self.era, self.version)


class ZoneOrders:
    """The latest orders on all zones.

    Examples
    --------
    >>> orders = ZoneOrders()
    >>> orders.merge([ZoneOrder("a", 5, True), ZoneOrder("b", 6, True)])
    True
    >>> orders.merge([ZoneOrder("a", 9, False), ZoneOrder("b", 4, False)])
    True
    >>> sorted(orders.drained)
    ['b']
    """

    __slots__ = ("_by_zone", "drained")

    def __init__(self):
        self._by_zone: dict[str, ZoneOrder] = {}
        self.drained: frozenset[str] = frozenset()

    def merge(self, orders: Iterable[ZoneOrder]) -> bool:
        """Merge newer orders; return True if the set of drained zones changed."""
        for order in orders:
            known = self._by_zone.get(order.zone)
            if known is None or order.as_of > known.as_of:
                self._by_zone[order.zone] = order
        self._evict_oldest_withdrawn()
        drained = frozenset(order.zone for order in self._by_zone.values() if order.drained)
        changed = drained != self.drained
        self.drained = drained
        return changed

    def merge_table(self, active: Iterable[ZoneOrder], version: int) -> bool:
        """Merge all orders in the store at a version; those not among them were withdrawn."""
        active = tuple(active)
        zones = {order.zone for order in active}
        withdrawn = [
            ZoneOrder.at(order.zone, version, drained=False)
            for order in self._by_zone.values()
            if order.drained and order.zone not in zones
        ]
        return self.merge([*active, *withdrawn])

    def has_orders_before(self, era: int) -> bool:
        """Return whether an active order was issued before an era of the store."""
        return any(order.drained and order.era < era for order in self._by_zone.values())

    def all(self) -> tuple[ZoneOrder, ...]:
        """Return the latest order on each zone, withdrawn ones included."""
        return tuple(self._by_zone.values())

    def _evict_oldest_withdrawn(self) -> None:
        """Keep active orders, and as many of the newest withdrawals as the limit allows."""
        excess = len(self._by_zone) - _MAX_ZONES
        if excess <= 0:
            return
        withdrawn = [order for order in self._by_zone.values() if not order.drained]
        for order in sorted(withdrawn, key=lambda order: order.as_of)[:excess]:
            del self._by_zone[order.zone]
