# SPDX-License-Identifier: BSD-3-Clause
"""Which availability zones operators want drained: their endpoints get nothing new.

An order stands in the store until it is taken back. Each is known with the store's version at
which it was given or taken back, and the newer of two words on a zone wins, whatever the way and
the order in which they come. So orders need no fetch and no agreement: they are a few bytes, and
travel whole in what routers tell each other. A zone on which an order was taken back stays
known as such, so that no old word brings the order back.
"""

from collections.abc import Iterable

import msgspec

from turnward.rows import RowVersion

__all__ = ["ZoneOrder", "ZoneOrders"]

#: Most zones of which orders are kept and passed on: more than the three regions with eight zones
#: of the size to design for; 64 orders are 0.9 KB of a datagram.
_ZONES_LIMIT = 64


class ZoneOrder(msgspec.Struct, frozen=True, array_like=True):
    """The last word known on an availability zone.

    Attributes
    ----------
    version, era : int
        Number and era of the store's version at which it was given or taken back.
    drained : bool
        Whether the zone's endpoints are to get nothing new.
    """

    zone: str
    version: int
    drained: bool
    era: int = 0

    @classmethod
    def at(cls, zone: str, version: int, drained: bool) -> "ZoneOrder":
        """Return the word that was given at a version of the store."""
        version = RowVersion(version)
        return cls(zone, version.number, drained, version.era)

    @property
    def as_of(self) -> RowVersion:
        """The store's version at which it was given or taken back."""
        return RowVersion.of(self.era, self.version)


class ZoneOrders:
    """The last words known on all zones.

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
        """Take in what is newer than known; True when other zones are drained than before."""
        for order in orders:
            known = self._by_zone.get(order.zone)
            if known is None or order.as_of > known.as_of:
                self._by_zone[order.zone] = order
        self._forget_oldest_ends()
        drained = frozenset(order.zone for order in self._by_zone.values() if order.drained)
        changed = drained != self.drained
        self.drained = drained
        return changed

    def merge_table(self, standing: Iterable[ZoneOrder], version: int) -> bool:
        """Take in all orders that stood at a version; those that did not stand had ended."""
        standing = tuple(standing)
        zones = {order.zone for order in standing}
        ended = [
            ZoneOrder.at(order.zone, version, drained=False)
            for order in self._by_zone.values()
            if order.drained and order.zone not in zones
        ]
        return self.merge([*standing, *ended])

    def has_orders_before(self, era: int) -> bool:
        """Tell whether an order stands that was given before an era of the store."""
        return any(order.drained and order.era < era for order in self._by_zone.values())

    def all(self) -> tuple[ZoneOrder, ...]:
        """Return the last word on each zone."""
        return tuple(self._by_zone.values())

    def _forget_oldest_ends(self) -> None:
        """Keep orders that stand, and as many of the newest ends as the limit leaves room for."""
        excess = len(self._by_zone) - _ZONES_LIMIT
        if excess <= 0:
            return
        ended = [order for order in self._by_zone.values() if not order.drained]
        for order in sorted(ended, key=lambda order: order.as_of)[:excess]:
            del self._by_zone[order.zone]
