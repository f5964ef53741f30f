# SPDX-License-Identifier: BSD-3-Clause
"""Chooses the peer that a request is relayed to.

A peer is known as a path to a pool once it has said so, or has served a request of this router.
While none is, any peer counts as one unless it, or its digest, has said that it reaches no endpoint
of the pool: a peer that turns out to be no path refuses at once.
"""

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from turnward.gateway.peer_book import Peer, PeerBook

__all__ = ["RelayPeers"]

#: Peers considered for one request, so that the choice costs the same in a large fleet.
_SAMPLE_SIZE = 16
#: Time for which a peer counts as a path after it said so or served a request.
_PATH_LIFETIME_S = 2.0
#: Longest time for which a peer counts as none after it said so or refused a request.
_REFUSED_S = 1.0
#: Time after a peer's word from which digests that arrive were sent after it.
_DIGEST_DELAY_S = 0.1
#: Longest time for which a peer is avoided that could not be reached, and time for which one is
#: whose refusals do not tell whether the request has run.
_UNREACHABLE_S = 3.0
#: Age of a digest up to which what it says counts.
_DIGEST_LIFETIME_S = 1.5
#: Requests that a peer of another zone must have less than one of the own zone to be preferred.
_ZONE_PREFERENCE = 1
#: Requests that a peer must have less to be preferred to one with an open connection.
_OPENING_COST = 2


class _Verdict(msgspec.Struct, frozen=True):
    """Whether a peer reaches a pool, by its own word.

    Attributes
    ----------
    reaches : bool
        Whether it does.
    noted_s : float
        When it said so.
    """

    reaches: bool
    noted_s: float

    def counts(self, now_s: float) -> bool:
        """Return whether it is recent enough."""
        return now_s - self.noted_s < (_PATH_LIFETIME_S if self.reaches else _REFUSED_S)


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
        #: Until when each peer whose refusals tell nothing is avoided.
        self._avoided_until_s: dict[str, float] = {}
        #: Since when each peer has not been reached.
        self._unreachable_since_s: dict[str, float] = {}
        #: What each peer has said of itself, by pool and address.
        self._verdicts: dict[str, dict[str, _Verdict]] = {}
        #: Returns whether an idle connection to a peer is open.
        self.has_open_connection: Callable[[str], bool] = lambda address: False

    def choose(
        self, pool: str, excluded: set[str], version: str = "", known_first: bool = True
    ) -> str | None:
        """Return the address of the best path to a pool; None if no peer seems to be one.

        With ``version``, only peers count that would keep to it. With ``known_first``, peers that
        are known as paths come before all others.
        """
        known = [self._book.get(address) for address in self.known_paths(pool)]
        for candidates in (known if known_first else [], self.draw(_SAMPLE_SIZE)):
            paths = [
                peer
                for peer in candidates
                if peer.address not in excluded
                and (peer.keeps_versions or not version)
                and self._is_path(peer, pool)
            ]
            if paths:
                return min(paths, key=self._cost_known if known_first else self._cost).address
        return None

    def has_path(self, pool: str) -> bool:
        """Return whether some peer seems to reach a pool."""
        return self.choose(pool, set()) is not None

    def is_known(self, address: str, pool: str) -> bool:
        """Return whether a peer is known as a path to a pool."""
        verdict = self._recent_verdicts(pool).get(address)
        return verdict is not None and verdict.reaches

    def known_paths(self, pool: str) -> list[str]:
        """Return the addresses of the peers known as paths to a pool."""
        return [
            address
            for address, verdict in self._recent_verdicts(pool).items()
            if verdict.reaches and self._book.get(address) is not None
        ]

    def draw(self, count: int) -> list[Peer]:
        """Return some members at random; all if there are no more."""
        if self._members_version != self._book.membership_version:
            self._members = self._book.members
            self._members_version = self._book.membership_version
        if len(self._members) <= count:
            return self._members
        return self._rng.sample(self._members, count)

    # What is learnt of peers.

    def note_started(self, address: str) -> None:
        """Count a request that is relayed to a peer."""
        self._in_flight[address] += 1

    def note_ended(self, address: str) -> None:
        """Count the end of a request that was relayed to a peer."""
        self._in_flight[address] -= 1
        if self._in_flight[address] <= 0:
            del self._in_flight[address]

    def note_path(self, address: str, pool: str) -> None:
        """Record that a peer reaches a pool."""
        self._note(address, pool, reaches=True)

    def note_unreached(self, address: str, pool: str) -> None:
        """Record that a peer does not reach a pool."""
        self._note(address, pool, reaches=False)

    def note_tells_nothing(self, address: str) -> None:
        """Avoid a peer whose refusals do not tell whether the request has run."""
        now_s = self._clock()
        self._avoided_until_s = {
            each: until_s for each, until_s in self._avoided_until_s.items() if until_s > now_s
        }
        self._avoided_until_s[address] = now_s + _UNREACHABLE_S

    def note_unreachable(self, address: str, since_s: float) -> None:
        """Avoid a peer that could not be reached, until it is heard.

        ``since_s`` is when the attempt to reach it began: if it has been heard since, this router's
        own link is the cause.
        """
        from_s = self._clock() - _UNREACHABLE_S
        self._unreachable_since_s = {
            each: each_s for each, each_s in self._unreachable_since_s.items() if each_s > from_s
        }
        self._unreachable_since_s[address] = since_s

    def said_unreached(self, address: str, pools: Iterable[str]) -> bool:
        """Return whether a peer has said lately that it reaches none of some pools."""
        verdicts = (self._recent_verdicts(pool).get(address) for pool in pools)
        return all(verdict is not None and not verdict.reaches for verdict in verdicts)

    def _note(self, address: str, pool: str, reaches: bool) -> None:
        verdicts = self._verdicts.setdefault(pool, {})
        verdicts[address] = _Verdict(reaches, self._clock())

    def _recent_verdicts(self, pool: str) -> dict[str, _Verdict]:
        """Return the verdicts that still count, and delete the others."""
        now_s = self._clock()
        verdicts = self._verdicts.get(pool, {})
        for address in [each for each, verdict in verdicts.items() if not verdict.counts(now_s)]:
            del verdicts[address]
        return verdicts

    # Choice.

    def _is_path(self, peer: Peer, pool: str) -> bool:
        now_s = self._clock()
        if not peer.takes_relays or peer.is_replaced:
            return False
        if self._avoided_until_s.get(peer.address, 0.0) > now_s or self._is_unreachable(peer):
            return False
        verdict = self._recent_verdicts(pool).get(peer.address)
        if verdict is not None and not self._has_told_since(peer, verdict.noted_s):
            return verdict.reaches
        if peer.digest is None:
            return True
        if peer.received_s < now_s - _DIGEST_LIFETIME_S:
            return not self._book.live()
        return not peer.digest.stopping and pool not in (peer.digest.unreached or ())

    def _is_unreachable(self, peer: Peer) -> bool:
        since_s = self._unreachable_since_s.get(peer.address, -math.inf)
        if since_s <= self._clock() - _UNREACHABLE_S:
            return False
        heard_s = peer.received_s if peer.received_s is not None else -math.inf
        for verdicts in self._verdicts.values():
            verdict = verdicts.get(peer.address)
            heard_s = max(heard_s, verdict.noted_s if verdict is not None else -math.inf)
        return heard_s <= since_s

    @staticmethod
    def _has_told_since(peer: Peer, time_s: float) -> bool:
        """Return whether a digest was sent by a peer after a given time."""
        return peer.digest is not None and peer.received_s > time_s + _DIGEST_DELAY_S

    def _cost(self, peer: Peer) -> tuple[int, float]:
        other_zone = _ZONE_PREFERENCE if peer.zone != self._zone else 0
        return (self._in_flight[peer.address] + other_zone, self._rng.random())

    def _cost_known(self, peer: Peer) -> tuple[int, float]:
        """Return the cost of a path that many requests may take."""
        cost, tie_break = self._cost(peer)
        opening = 0 if self.has_open_connection(peer.address) else _OPENING_COST
        return (cost + opening, tie_break)
