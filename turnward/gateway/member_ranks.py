# SPDX-License-Identifier: BSD-3-Clause
"""Ranking of the members of the fleet for a key, the same on all routers."""

from turnward.gateway.peer_book import PeerBook
from turnward.hashing import rendezvous_weight

__all__ = ["MemberRanks"]


class MemberRanks:
    """This router's rank among the members for each key, by rendezvous hashing.

    Routers that know the same members agree without communication. A silent member keeps its rank,
    so that a network partition improves nobody's rank.

    Parameters
    ----------
    book : PeerBook
        The members of the fleet.
    """

    def __init__(self, book: PeerBook):
        self._book = book
        self._ranked_version = -1
        self._ranks: dict[str, int] = {}

    @property
    def members(self) -> int:
        """Upper bound of the number of routers."""
        return self._book.max_router_count

    @property
    def known(self) -> bool:
        """Whether the members' table has been read, without which ranks are not valid."""
        return self._book.members_read

    def rank_for(self, key: str) -> int:
        """Return how many members rank before this router for a key."""
        if self._ranked_version != self._book.membership_version:
            self._ranked_version = self._book.membership_version
            self._ranks = {}
        rank = self._ranks.get(key)
        if rank is None:
            own = rendezvous_weight(key, self._book.own_address)
            rank = sum(rendezvous_weight(key, peer.address) > own for peer in self._book.members)
            self._ranks[key] = rank
        return rank
