# SPDX-License-Identifier: BSD-3-Clause
"""Chooses the peer that a request is relayed to.

A peer is a path to a pool unless its digest says that it reaches no endpoint of the pool, or it
has refused lately. Nothing else has to be told: a peer that turns out to be no path refuses at
once. In a large fleet a router hears the digests of few others, and learns from refusals alone.
"""

import random
from collections import Counter
from collections.abc import Callable

from turnward.gateway.peer_book import Peer, PeerBook

__all__ = ["RelayPeers"]

#: Peers considered for one request, so that the choice costs the same in a large fleet.
_SAMPLE_SIZE = 16
#: Longest time for which a peer is avoided for a pool that it has refused a request of.
_REFUSED_S = 1.0
#: Time after a refusal from which digests that arrive were sent after it.
_DIGEST_DELAY_S = 0.1
#: Time for which a peer is avoided that could not be reached, or runs no relayed requests.
_UNREACHABLE_S = 3.0
#: Age of a digest up to which what it says counts.
_DIGEST_LIFETIME_S = 1.5
#: Requests that a peer of another zone must have less than one of the own zone to be preferred.
_ZONE_PREFERENCE = 1


class RelayPeers:
    """The peers, as paths to pools that this router can't reach.

    Parameters
    ----------
    book : PeerBook
        The known peers.
    zone : str
        This router's availability zone.
    clock : callable
        Monotonic clock in seconds.
    rng : random.Random
        Draws the peers to consider, and decides between equal ones.
    """

    def __init__(self, book: PeerBook, zone: str, clock: Callable[[], float], rng: random.Random):
        self._book = book
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._members: list[Peer] = []
        self._members_version = -1
        self._in_flight: Counter[str] = Counter()
        #: Until when each peer is avoided, by address and pool; the pool is "" for all of them.
        self._avoided_until_s: dict[tuple[str, str], float] = {}

    def choose(self, pool: str, excluded: set[str], version: str = "") -> str | None:
        """Return the address of the best path to a pool; None if no peer seems to be one.

        With ``version``, only peers count that would keep to it.
        """
        paths = [
            peer
            for peer in self._sample()
            if peer.address not in excluded
            and (peer.keeps_versions or not version)
            and self._is_path(peer, pool)
        ]
        chosen = min(paths, key=self._cost, default=None)
        return chosen.address if chosen is not None else None

    def has_path(self, pool: str) -> bool:
        """Return whether some peer seems to reach a pool."""
        return self.choose(pool, set()) is not None

    def note_started(self, address: str) -> None:
        """Count a request that is relayed to a peer."""
        self._in_flight[address] += 1

    def note_ended(self, address: str) -> None:
        """Count the end of a request that was relayed to a peer."""
        self._in_flight[address] -= 1
        if self._in_flight[address] <= 0:
            del self._in_flight[address]

    def note_refused(self, address: str, pool: str) -> None:
        """Avoid a peer that does not serve a pool now."""
        self._avoid(address, pool, _REFUSED_S)

    def note_unreachable(self, address: str) -> None:
        """Avoid a peer that can't be reached, or that runs no relayed requests."""
        self._avoid(address, "", _UNREACHABLE_S)

    def _avoid(self, address: str, pool: str, duration_s: float) -> None:
        now_s = self._clock()
        self._avoided_until_s = {
            key: until_s for key, until_s in self._avoided_until_s.items() if until_s > now_s
        }
        self._avoided_until_s[address, pool] = now_s + duration_s

    def _sample(self) -> list[Peer]:
        if self._members_version != self._book.membership_version:
            self._members = self._book.members
            self._members_version = self._book.membership_version
        if len(self._members) <= _SAMPLE_SIZE:
            return self._members
        return self._rng.sample(self._members, _SAMPLE_SIZE)

    def _is_path(self, peer: Peer, pool: str) -> bool:
        now_s = self._clock()
        if not peer.takes_relays or peer.is_replaced:
            return False
        if self._is_avoided(peer, pool, now_s):
            return False
        if peer.digest is None:
            return True
        if peer.received_s < now_s - _DIGEST_LIFETIME_S:
            return not self._book.live()
        return not peer.digest.stopping and pool not in (peer.digest.unreached or ())

    def _is_avoided(self, peer: Peer, pool: str, now_s: float) -> bool:
        """Return whether a peer was unreachable, or refused and has sent no digest since."""
        if self._avoided_until_s.get((peer.address, ""), 0.0) > now_s:
            return True
        until_s = self._avoided_until_s.get((peer.address, pool), 0.0)
        told_since_s = until_s - _REFUSED_S + _DIGEST_DELAY_S
        told = peer.digest is not None and peer.received_s > told_since_s
        return until_s > now_s and not told

    def _cost(self, peer: Peer) -> tuple[int, float]:
        other_zone = _ZONE_PREFERENCE if peer.zone != self._zone else 0
        return (self._in_flight[peer.address] + other_zone, self._rng.random())
