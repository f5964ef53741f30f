# SPDX-License-Identifier: BSD-3-Clause
"""Which routers hold a workspace's tokens.

A few routers hold grants of a workspace, chosen by rendezvous hashing over the members of the
fleet; all others ask one of them for each request. So the rows written and read for a
workspace, and what is lost with dead processes, do not grow with the fleet. A fleet of
up to ``HOLDERS`` routers has no others: each holds tokens of every workspace.
"""

import zlib
from abc import ABC, abstractmethod
from collections.abc import Callable

from turnward.gateway.peer_book import PeerBook
from turnward.hashing import rendezvous_weight

__all__ = ["HOLDERS_PER_WORKSPACE", "EveryRouterHolds", "HoldersBase", "RendezvousHolders"]

#: Routers that hold one workspace's tokens: each strands a burst with a loss of power, and
#: with two a workspace outlives one of them while the store is away; measured in decision 18.
HOLDERS_PER_WORKSPACE = 2
#: Seconds without a new member after which tokens are taken or handed over by the ranking.
_SETTLED_S = 0.3
#: Seconds for which a holder that did not answer is not asked again.
_REST_S = 1.0


class HoldersBase(ABC):
    """Tells which routers hold a workspace's tokens."""

    @property
    @abstractmethod
    def count(self) -> int:
        """How many routers hold one workspace's tokens."""

    @property
    @abstractmethod
    def all_routers_hold(self) -> bool:
        """Whether each router holds tokens of every workspace."""

    @property
    @abstractmethod
    def settled(self) -> bool:
        """Whether the members are known well enough to act on a change of who holds what."""

    @abstractmethod
    def holds(self, workspace: str) -> bool:
        """Tell whether this router holds tokens of a workspace, by what is known now."""

    @abstractmethod
    def other_holders(self, workspace: str) -> list[str]:
        """Return the addresses of the other holders that may answer, as they are to be asked."""

    @abstractmethod
    def mark_unresponsive(self, address: str) -> None:
        """Note that a holder did not answer."""


class EveryRouterHolds(HoldersBase):
    """A fleet in which each router holds tokens of every workspace.

    Parameters
    ----------
    routers : callable
        How many routers may live.
    """

    def __init__(self, routers: Callable[[], int]):
        self._routers = routers

    @property
    def count(self) -> int:
        """See ``HoldersBase.count``."""
        return max(1, self._routers())

    @property
    def all_routers_hold(self) -> bool:
        """See ``HoldersBase.everyone``."""
        return True

    @property
    def settled(self) -> bool:
        """See ``HoldersBase.settled``."""
        return True

    def holds(self, workspace: str) -> bool:
        """See ``HoldersBase.holds``."""
        return True

    def other_holders(self, workspace: str) -> list[str]:
        """See ``HoldersBase.others``."""
        return []

    def mark_unresponsive(self, address: str) -> None:
        """See ``HoldersBase.mark_unresponsive``."""


class RendezvousHolders(HoldersBase):
    """The holders by rendezvous hashing over the members.

    Members that died are still ranked: who holds what changes only when members are
    added, and a holder that comes back finds its place again.

    Parameters
    ----------
    book : PeerBook
        The members.
    clock : callable
        Steady clock in seconds.
    limit : int, optional
        How many routers hold one workspace's tokens.
    """

    def __init__(
        self, book: PeerBook, clock: Callable[[], float], limit: int = HOLDERS_PER_WORKSPACE
    ):
        self._limit = limit
        self._book = book
        self._clock = clock
        self._ranked_version = -1
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._turn = zlib.crc32(book.own_address.encode())
        self._resting: dict[str, float] = {}

    @property
    def count(self) -> int:
        """See ``HoldersBase.count``."""
        return min(self._limit, self._book.most_live)

    @property
    def all_routers_hold(self) -> bool:
        """See ``HoldersBase.everyone``."""
        return self._book.most_live <= self._limit

    @property
    def settled(self) -> bool:
        """See ``HoldersBase.settled``."""
        return self._book.members_read and self._clock() - self._book.grown_s >= _SETTLED_S

    def holds(self, workspace: str) -> bool:
        """See ``HoldersBase.holds``."""
        return self.all_routers_hold or self._book.own_address in self._ranking(workspace)

    def other_holders(self, workspace: str) -> list[str]:
        """See ``HoldersBase.others``; each is the first in turn, so that all know the demand."""
        now_s = self._clock()
        own = self._book.own_address
        known = [
            address
            for address in self._ranking(workspace)
            if address != own and self._resting.get(address, 0.0) <= now_s
        ]
        if not known:
            return []
        self._turn += 1
        first = self._turn % len(known)
        return known[first:] + known[:first]

    def mark_unresponsive(self, address: str) -> None:
        """See ``HoldersBase.mark_unresponsive``."""
        self._resting[address] = self._clock() + _REST_S

    def _forget_old_ranking(self) -> None:
        if self._ranked_version != self._book.membership_version:
            self._ranked_version = self._book.membership_version
            self._ranked = {}

    def _ranking(self, workspace: str) -> tuple[str, ...]:
        self._forget_old_ranking()
        ranking = self._ranked.get(workspace)
        if ranking is None:
            addresses = [peer.address for peer in self._book.members]
            addresses.append(self._book.own_address)
            addresses.sort(key=lambda address: rendezvous_weight(workspace, address), reverse=True)
            ranking = self._ranked[workspace] = tuple(addresses[: self._limit])
        return ranking
