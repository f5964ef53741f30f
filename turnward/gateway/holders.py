# SPDX-License-Identifier: BSD-3-Clause
"""Selects the routers that hold a workspace's tokens.

A few routers hold grants of a workspace, chosen by rendezvous hashing over the members of the
fleet; all other routers borrow from one of them for each request. So the number of rows read and
written for a workspace, and the tokens lost with crashed processes, do not grow with the fleet. In
a fleet of up to ``HOLDERS_PER_WORKSPACE`` routers, each router holds tokens of every workspace.
"""

import zlib
from abc import ABC, abstractmethod
from collections.abc import Callable

from turnward.gateway.peer_book import PeerBook
from turnward.hashing import rendezvous_weight

__all__ = ["HOLDERS_PER_WORKSPACE", "EveryRouterHolds", "HoldersBase", "RendezvousHolders"]

#: Each holder can lose a burst of tokens in a crash. With two, a workspace is served when one of
#: them crashes while the store is unavailable.
HOLDERS_PER_WORKSPACE = 2
#: Time without a change of members after which the membership counts as settled.
_SETTLED_S = 0.3
#: Time for which an unresponsive holder is not asked again.
_UNRESPONSIVE_BACKOFF_S = 1.0


class HoldersBase(ABC):
    """Routers that hold a workspace's tokens."""

    @property
    @abstractmethod
    def count(self) -> int:
        """Number of routers that hold one workspace's tokens."""

    @property
    @abstractmethod
    def all_routers_hold(self) -> bool:
        """Whether each router holds tokens of every workspace."""

    @property
    @abstractmethod
    def settled(self) -> bool:
        """Whether the membership is stable enough to take or return tokens by it."""

    @abstractmethod
    def holds(self, workspace: str) -> bool:
        """Return whether this router is a holder of a workspace's tokens."""

    @abstractmethod
    def other_holders(self, workspace: str) -> list[str]:
        """Return the addresses of the other responsive holders, in the order to ask them."""

    @abstractmethod
    def mark_unresponsive(self, address: str) -> None:
        """Record that a holder did not respond."""


class EveryRouterHolds(HoldersBase):
    """Small fleet in which each router holds tokens of every workspace.

    Parameters
    ----------
    routers : callable
        Returns the number of routers that may be alive.
    """

    def __init__(self, routers: Callable[[], int]):
        self._routers = routers

    @property
    def count(self) -> int:
        """See ``HoldersBase.count``."""
        return max(1, self._routers())

    @property
    def all_routers_hold(self) -> bool:
        """See ``HoldersBase.all_routers_hold``."""
        return True

    @property
    def settled(self) -> bool:
        """See ``HoldersBase.settled``."""
        return True

    def holds(self, workspace: str) -> bool:
        """See ``HoldersBase.holds``."""
        return True

    def other_holders(self, workspace: str) -> list[str]:
        """See ``HoldersBase.other_holders``."""
        return []

    def mark_unresponsive(self, address: str) -> None:
        """See ``HoldersBase.mark_unresponsive``."""


class RendezvousHolders(HoldersBase):
    """Holders chosen by rendezvous hashing over the members.

    Crashed members are still ranked: the holders change only when members are added, and a holder
    that restarts holds the same workspaces as before.

    Parameters
    ----------
    book : PeerBook
        Members of the fleet.
    clock : callable
        Monotonic clock in seconds.
    limit : int, optional
        Number of routers that hold one workspace's tokens.
    """

    def __init__(
        self, book: PeerBook, clock: Callable[[], float], limit: int = HOLDERS_PER_WORKSPACE
    ):
        self._limit = limit
        self._book = book
        self._clock = clock
        self._rankings_version = -1
        self._rankings: dict[str, tuple[str, ...]] = {}
        self._rotation = zlib.crc32(book.own_address.encode())
        self._unresponsive_until_s: dict[str, float] = {}

    @property
    def count(self) -> int:
        """See ``HoldersBase.count``."""
        return min(self._limit, self._book.max_router_count)

    @property
    def all_routers_hold(self) -> bool:
        """See ``HoldersBase.all_routers_hold``."""
        return self._book.max_router_count <= self._limit

    @property
    def settled(self) -> bool:
        """See ``HoldersBase.settled``."""
        return (
            self._book.members_read
            and self._clock() - self._book.last_member_change_s >= _SETTLED_S
        )

    def holds(self, workspace: str) -> bool:
        """See ``HoldersBase.holds``."""
        return self.all_routers_hold or self._book.own_address in self._ranking(workspace)

    def other_holders(self, workspace: str) -> list[str]:
        """See ``HoldersBase.other_holders``; rotates the order, so that each holder sees demand."""
        now_s = self._clock()
        own = self._book.own_address
        responsive = [
            address
            for address in self._ranking(workspace)
            if address != own and self._unresponsive_until_s.get(address, 0.0) <= now_s
        ]
        if not responsive:
            return []
        self._rotation += 1
        first = self._rotation % len(responsive)
        return responsive[first:] + responsive[:first]

    def mark_unresponsive(self, address: str) -> None:
        """See ``HoldersBase.mark_unresponsive``."""
        self._unresponsive_until_s[address] = self._clock() + _UNRESPONSIVE_BACKOFF_S

    def _drop_stale_rankings(self) -> None:
        if self._rankings_version != self._book.membership_version:
            self._rankings_version = self._book.membership_version
            self._rankings = {}

    def _ranking(self, workspace: str) -> tuple[str, ...]:
        self._drop_stale_rankings()
        ranking = self._rankings.get(workspace)
        if ranking is None:
            addresses = [peer.address for peer in self._book.members]
            addresses.append(self._book.own_address)
            addresses.sort(key=lambda address: rendezvous_weight(workspace, address), reverse=True)
            ranking = self._rankings[workspace] = tuple(addresses[: self._limit])
        return ranking
