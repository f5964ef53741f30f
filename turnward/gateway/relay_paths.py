# SPDX-License-Identifier: BSD-3-Clause
"""Finds the peers that reach a pool which this router can't reach.

A router that loses its links to a pool asks some peers by datagram, and goes on asking while its
links are lost. The answers also name peers that the recipients themselves know as paths, so that
few questions find the few routers that reach a pool while most of a fleet does not. The number of
questions does not depend on the size of the fleet.
"""

import random
from collections.abc import Callable, Iterable

import msgspec

from turnward.gateway.peer_book import DIGEST_LAYOUT, Peer, PeerBook
from turnward.gateway.relay_peers import RelayPeers

__all__ = ["PathAnswer", "PathFinder", "PathQuestion", "PoolPaths"]

#: Peers asked at a time.
_ASKED_AT_A_TIME = 16
#: Peers drawn to choose those to ask from.
_SAMPLE_SIZE = 48
#: Known paths to a pool from which no further peers are asked.
_ENOUGH_PATHS = 8
#: Paths named in an answer for each pool.
_PATHS_TOLD = 3
#: Pools in one message, so that it fits a datagram.
_MAX_POOLS = 16
#: Interval between questions: at first, and at most. It doubles while few paths are known.
_FIRST_INTERVAL_S = 0.1
_MAX_INTERVAL_S = 0.5
#: Range of the random factor of the interval.
_JITTER = (0.8, 1.2)
#: Time for which a pool is asked about after the latest sign that it can't be reached.
_SUSPICION_S = 0.6
#: Rounds of questions remembered until they are answered.
_MAX_UNANSWERED = 16
#: Time without an answer, or without any message of a peer, from which no answer is expected. A
#: busy link delays messages and does not stop them.
_UNANSWERED_AFTER_S = 5.0
_SILENT_AFTER_S = 1.0


class PathQuestion(msgspec.Struct, frozen=True, array_like=True, tag="path_question"):
    """Message of a router that can't reach some pools: does the recipient reach them?

    Attributes
    ----------
    layout : int
        See ``peer_book.DIGEST_LAYOUT``.
    address : str
        Address of the sender.
    pools : tuple of str
        The pools.
    number : int
        Number of the round of questions, which answers repeat.
    """

    layout: int
    address: str
    pools: tuple[str, ...]
    number: int = 0


class PoolPaths(msgspec.Struct, frozen=True, array_like=True):
    """What a router knows of the paths to a pool.

    Attributes
    ----------
    pool : str
        The pool.
    reached : bool or None
        Whether the router itself reaches the pool; None if it has not tried lately.
    paths : tuple of str
        Addresses of peers that reach the pool as far as the router knows.
    """

    pool: str
    reached: bool | None
    paths: tuple[str, ...] = ()


class PathAnswer(msgspec.Struct, frozen=True, array_like=True, tag="path_answer"):
    """Answer to a ``PathQuestion``.

    Attributes
    ----------
    layout : int
        See ``peer_book.DIGEST_LAYOUT``.
    address : str
        Address of the sender.
    pools : tuple of PoolPaths
        What it knows of each pool.
    number : int
        Number that the question had.
    """

    layout: int
    address: str
    pools: tuple[PoolPaths, ...]
    number: int = 0


class PathFinder:
    """Asks peers for paths while some pool can't be reached, and answers their questions.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    book : PeerBook
        The known peers.
    peers : RelayPeers
        Keeps what is learnt.
    reaches : callable
        Returns whether this router reaches a pool; None if it has not tried lately, which starts
        a trial.
    unreached_pools : callable
        Returns the pools that this router can't reach.
    send : callable
        Sends a message to an address.
    rng : random.Random
        Chooses the peers to ask, and adds jitter.
    log
        Receiver of what is found.
    """

    def __init__(
        self,
        reactor,
        book: PeerBook,
        peers: RelayPeers,
        reaches: Callable[[str], bool | None],
        unreached_pools: Callable[[], Iterable[str]],
        send: Callable[[PathQuestion | PathAnswer, str], None],
        rng: random.Random,
        log,
    ):
        self._reactor = reactor
        self._book = book
        self._peers = peers
        self._reaches = reaches
        self._unreached_pools = unreached_pools
        self._send = send
        self._rng = rng
        self._log = log
        self._suspected_until_s: dict[str, float] = {}
        self._asking = False
        self._interval_s = _FIRST_INTERVAL_S
        #: Peers that others have named as paths and that are not asked yet, by pool.
        self._named: dict[str, set[str]] = {}
        #: How many paths were known at the latest questions, by pool.
        self._found: dict[str, int] = {}
        #: When the rounds of questions were sent that are not answered yet, by number.
        self._unanswered_s: dict[int, float] = {}
        self._round = 0
        self._answered_in_s = 0.0
        #: When this router began to ask, and when the latest answer came since.
        self._began_s = 0.0
        self._answered_s = 0.0
        #: Returns when the latest message of a peer came, in seconds.
        self.heard_s: Callable[[], float] = lambda: 0.0
        #: Called when the delay of the own link becomes known.
        self.on_link_delay_known: Callable[[], None] = lambda: None

    @property
    def knows_link_delay(self) -> bool:
        """Whether a question has been answered since this router began to ask, or none will be."""
        waits = self._asking and self._unanswered_s and not self._answered_in_s
        return not waits or not self._expects_answers()

    def _expects_answers(self) -> bool:
        now_s = self._reactor.seconds()
        heard_s = max(self._began_s, self.heard_s())
        answered_s = max(self._began_s, self._answered_s)
        return now_s - heard_s <= _SILENT_AFTER_S and now_s - answered_s <= _UNANSWERED_AFTER_S

    @property
    def link_delay_s(self) -> float:
        """Time that a question and its first answer take, which is the delay of the own link.

        It is 0 if it is not known: if no question was asked lately, or none is ever answered.
        """
        if not self._asking or not self._expects_answers():
            return 0.0
        now_s = self._reactor.seconds()
        oldest_s = min(self._unanswered_s.values(), default=now_s)
        return max(self._answered_in_s, now_s - oldest_s)

    def look_for(self, pool: str) -> None:
        """Begin to look for paths to a pool that this router may not reach."""
        self._suspected_until_s[pool] = self._reactor.seconds() + _SUSPICION_S
        if not self._asking:
            self._asking = True
            self._began_s = self._reactor.seconds()
            self._interval_s = _FIRST_INTERVAL_S
            self._ask()

    def _ask(self) -> None:
        pools = self._wanted_pools()
        self._report(pools)
        if not pools:
            self._asking = False
            self._named.clear()
            self._unanswered_s.clear()
            self._answered_in_s = 0.0
            return
        self._round += 1
        question = PathQuestion(DIGEST_LAYOUT, self._book.own_address, pools, self._round)
        asked = self._choose_asked(pools)
        if asked:
            self._unanswered_s[self._round] = self._reactor.seconds()
        if len(self._unanswered_s) > _MAX_UNANSWERED:
            del self._unanswered_s[min(self._unanswered_s)]
        for address in asked:
            self._send(question, address)
        self._reactor.callLater(self._interval_s * self._rng.uniform(*_JITTER), self._ask)
        self._interval_s = min(_MAX_INTERVAL_S, 2 * self._interval_s)

    def _wanted_pools(self) -> tuple[str, ...]:
        now_s = self._reactor.seconds()
        self._suspected_until_s = {
            pool: until_s for pool, until_s in self._suspected_until_s.items() if until_s > now_s
        }
        return tuple(sorted({*self._suspected_until_s, *self._unreached_pools()})[:_MAX_POOLS])

    def _report(self, pools: tuple[str, ...]) -> None:
        """Log the pools to which the first path was found, or the last one was lost."""
        found = {pool: len(self._peers.known_paths(pool)) for pool in pools}
        for pool, count in found.items():
            if bool(count) != bool(self._found.get(pool, 0)):
                self._log.belief("pool.paths", pool=pool, paths=count)
        self._found = found

    def _choose_asked(self, pools: tuple[str, ...]) -> list[str]:
        """Return the peers to ask: those known or named as paths, and others if they are few."""
        known = {path for pool in pools for path in self._peers.known_paths(pool)}
        paths = [*known, *(self._take_named(pools) - known)]
        asked = [path for path in paths if self._tells_paths(path)][:_ASKED_AT_A_TIME]
        if all(len(self._peers.known_paths(pool)) >= _ENOUGH_PATHS for pool in pools):
            return asked
        others = [
            peer.address
            for peer in self._peers.draw(_SAMPLE_SIZE)
            if peer.tells_paths and peer.address not in asked
        ]
        others.sort(key=lambda address: self._peers.said_unreached(address, pools))
        return asked + others[: _ASKED_AT_A_TIME - len(asked)]

    def _take_named(self, pools: tuple[str, ...]) -> set[str]:
        named: set[str] = set()
        for pool in pools:
            named |= self._named.pop(pool, set())
        return named

    def _tells_paths(self, address: str) -> bool:
        peer: Peer | None = self._book.get(address)
        return peer is not None and peer.tells_paths

    # Messages of peers.

    def receive_question(self, question: PathQuestion) -> None:
        """Answer a peer."""
        pools = tuple(
            PoolPaths(pool, self._reaches(pool), self._paths_to_tell(pool, question.address))
            for pool in question.pools[:_MAX_POOLS]
        )
        answer = PathAnswer(DIGEST_LAYOUT, self._book.own_address, pools, question.number)
        self._send(answer, question.address)

    def _paths_to_tell(self, pool: str, recipient: str) -> tuple[str, ...]:
        paths = [path for path in self._peers.known_paths(pool) if path != recipient]
        return tuple(self._rng.sample(paths, min(len(paths), _PATHS_TOLD)))

    def receive_answer(self, answer: PathAnswer) -> None:
        """Learn from a peer's answer."""
        self._note_answered(answer.number)
        for told in answer.pools:
            if told.pool not in self._found:
                continue
            if told.reached:
                self._peers.note_path(answer.address, told.pool)
            elif told.reached is not None:
                self._peers.note_unreached(answer.address, told.pool)
            own_address = self._book.own_address
            named = {path for path in told.paths[:_PATHS_TOLD] if path != own_address}
            self._named.setdefault(told.pool, set()).update(named)

    def _note_answered(self, number: int) -> None:
        """Measure the time to the first answer of a round; earlier rounds need none any more."""
        asked_s = self._unanswered_s.get(number)
        if asked_s is None:
            return
        is_first = not self._answered_in_s
        self._answered_s = self._reactor.seconds()
        self._answered_in_s = self._answered_s - asked_s
        for each in [each for each in self._unanswered_s if each <= number]:
            del self._unanswered_s[each]
        if is_first:
            self.on_link_delay_known()
