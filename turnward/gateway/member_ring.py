# SPDX-License-Identifier: BSD-3-Clause
"""Selects a few members of the fleet for a key by consistent hashing, at logarithmic cost.

References
----------
Karger et al., "Consistent hashing and random trees", STOC 1997.
"""

from bisect import bisect_left

from turnward.gateway.peer_book import PeerBook
from turnward.hashing import rendezvous_weight

__all__ = ["MemberRing"]

#: Points of each member on the ring, so that the shares of the members are similar.
_POINTS_PER_MEMBER = 8


class MemberRing:
    """The members of the fleet on a ring of hashes, the same on all routers that know the same.

    Crashed members keep their place, as in ``RendezvousHolders``.

    Parameters
    ----------
    book : PeerBook
        Members of the fleet.
    """

    def __init__(self, book: PeerBook):
        self._book = book
        self._version = -1
        self._points: list[tuple[int, str]] = []

    def select(self, key: bytes, count: int) -> list[str]:
        """Return the addresses of the first members from a key's place on."""
        self._update()
        first = bisect_left(self._points, (int.from_bytes(key, "big"), ""))
        selected: dict[str, None] = {}
        for offset in range(len(self._points)):
            selected[self._points[(first + offset) % len(self._points)][1]] = None
            if len(selected) == count:
                break
        return list(selected)

    def _update(self) -> None:
        if self._version == self._book.membership_version:
            return
        self._version = self._book.membership_version
        addresses = [self._book.own_address, *(peer.address for peer in self._book.members)]
        self._points = sorted(
            (rendezvous_weight(str(point), address), address)
            for address in addresses
            for point in range(_POINTS_PER_MEMBER)
        )
