# SPDX-License-Identifier: BSD-3-Clause
"""Brings the endpoints' table up to what peers know before a stream goes on by it.

A router that was paused, or that the store does not answer, has a table of some age. Its peers may
know newer entries, so it asks a few of them for the version of theirs and fetches what is newer.
"""

from collections.abc import Callable
from enum import StrEnum
from heapq import nlargest

import msgspec
from twisted.internet import defer

from turnward.gateway.decoding import decode_message
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.peers import ENDPOINTS_PATH, ENDPOINTS_VERSION_PATH, PeerSynchronizer
from turnward.gateway.state import FleetState
from turnward.http1 import Http1Error, InboundRequest
from turnward.rows import RowVersion

__all__ = ["TableCatchUp", "TableStanding"]

#: Peers that are asked. One may have been paused as well, and one may have ended.
_PEERS_ASKED = 3
#: Timeout of a question and of the start of a copy.
_CALL_TIMEOUT_S = 0.25
#: Longest time for which streams wait for the table; a question and a copy usually take less.
_MAX_WAIT_S = 0.3
#: Time for which streams share what has been found out, so that many cost no more than one.
_SHARED_S = 0.1


class TableStanding(StrEnum):
    """How current the endpoints' table is."""

    #: Nothing is known that is newer.
    CURRENT = "current"
    #: A peer knows newer entries, and they did not arrive in time.
    BEHIND = "behind"
    #: The table may be out of date, and no peer answers.
    UNCONFIRMED = "unconfirmed"


class EndpointsVersion(msgspec.Struct, frozen=True, array_like=True):
    """The version as of which a router knows the endpoints; array on the wire."""

    era: int
    number: int


class TableCatchUp:
    """The endpoints' table of this router, compared with what its peers know.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    state : FleetState
        Holds the table.
    book : PeerBook
        The known peers.
    peers : PeerSynchronizer
        Calls them.
    log
        Where failed calls are recorded.
    is_doubtful : callable
        Returns whether the table may be out of date without a word of any peer.
    """

    def __init__(
        self,
        reactor,
        state: FleetState,
        book: PeerBook,
        peers: PeerSynchronizer,
        log,
        is_doubtful: Callable[[], bool],
    ):
        self._reactor = reactor
        self._state = state
        self._book = book
        self._peers = peers
        self._log = log
        self._is_doubtful = is_doubtful
        #: Newest version that a peer has named, and the address at which it is to be had.
        self._heard = RowVersion(0)
        self._heard_from = ""
        self._fetching = False
        self._check: _Check | None = None
        peers.on_endpoints_announced = self.note_heard
        peers.on_endpoints_question = self.serve

    def note_heard(self, version: RowVersion, address: str) -> None:
        """Record as of which version the endpoints are to be had at an address."""
        if version > self._heard:
            self._heard, self._heard_from = version, address

    def serve(self, request: InboundRequest) -> None:
        """Answer a peer's question with the version of the own table."""
        version = self._state.endpoints_version
        request.answer(
            200, [], msgspec.msgpack.encode(EndpointsVersion(version.era, version.number))
        )

    @property
    def _behind(self) -> bool:
        return self._heard > self._state.endpoints_version

    def catch_up(self) -> "defer.Deferred[TableStanding]":
        """Return how current the table is, once it is, or after a few tenths of a second."""
        doubtful = self._is_doubtful()
        if not doubtful and not self._behind:
            return defer.succeed(TableStanding.CURRENT)
        if self._check is None or not self._may_share(self._check, doubtful):
            self._check = _Check(self._reactor.seconds(), asks=doubtful)
            self._start(self._check)
        return self._check.result()

    def _may_share(self, check: "_Check", doubtful: bool) -> bool:
        """Return whether the result of a check counts for a stream that goes on now."""
        recent = self._reactor.seconds() - check.started_s < _SHARED_S
        return recent and (check.asks or not doubtful)

    def _start(self, check: "_Check") -> None:
        check.timer = self._reactor.callLater(_MAX_WAIT_S, self._end, check)
        asked = self._peers_to_ask() if check.asks else []
        check.answered = not asked
        check.pending = len(asked)
        for address in asked:
            defer.ensureDeferred(self._ask(check, address))
        if self._behind:
            self._fetch_newer()
        elif not asked:
            self._end(check)

    def _peers_to_ask(self) -> list[str]:
        """Return the addresses of the members heard last."""
        latest = nlargest(_PEERS_ASKED, self._book.members, key=lambda peer: peer.received_s or 0.0)
        return [peer.address for peer in latest]

    async def _ask(self, check: "_Check", address: str) -> None:
        version = await self._version_at(address)
        check.pending -= 1
        if version is not None:
            check.answered = True
            self.note_heard(version, address)
        self._proceed(check)

    def _proceed(self, check: "_Check") -> None:
        """Fetch what is known to be newer, or end a check."""
        if self._behind:
            self._fetch_newer()
        elif not check.pending:
            self._end(check)

    async def _version_at(self, address: str) -> RowVersion | None:
        """Return the version of a peer's table: 0 if its build tells none, None without answer."""
        try:
            body = await self._peers.call_or_raise(
                address, ENDPOINTS_VERSION_PATH, b"", _CALL_TIMEOUT_S
            )
            if body is None:
                return RowVersion(0)
            version = decode_message(body, EndpointsVersion)
        except (Http1Error, msgspec.DecodeError) as failure:
            what = ENDPOINTS_VERSION_PATH.decode()
            self._log.failure("peer.fetch_failed", peer=address, what=what, cause=failure)
            return None
        return RowVersion.of(version.era, version.number)

    def _fetch_newer(self) -> None:
        """Fetch a newer table; one call at a time."""
        if self._fetching:
            return
        self._fetching = True
        before = self._state.endpoints_version

        def fetched(_) -> None:
            self._fetching = False
            if self._state.endpoints_version > before:
                self._proceed(self._check)
            elif not self._check.pending:
                self._end(self._check)

        fetch = self._peers.fetch_endpoints(self._heard_from, _CALL_TIMEOUT_S)
        defer.ensureDeferred(fetch).addErrback(self._log_error).addCallback(fetched)

    def _log_error(self, failure) -> None:
        what = ENDPOINTS_PATH.decode()
        self._log.failure(
            "peer.fetch_failed", peer=self._heard_from, what=what, cause=failure.value
        )

    def _end(self, check: "_Check") -> None:
        """Tell the streams that wait for a check how current the table is."""
        if check.ended:
            return
        standing = self._standing(check)
        self._log.event(
            "endpoints.compared",
            standing=standing,
            version=self._state.endpoints_version,
            heard=self._heard,
            waited_ms=round((self._reactor.seconds() - check.started_s) * 1_000, 1),
        )
        if standing is TableStanding.BEHIND:
            # Whoever still has the newer one names it again.
            self._heard = self._state.endpoints_version
        check.end(standing)

    def _standing(self, check: "_Check") -> TableStanding:
        if not check.answered:
            return TableStanding.UNCONFIRMED
        return TableStanding.BEHIND if self._behind else TableStanding.CURRENT


class _Check:
    """What one comparison with the peers finds out.

    Attributes
    ----------
    started_s : float
        When it began.
    asks : bool
        Whether peers are asked for their versions.
    pending : int
        Questions without an answer.
    answered : bool
        Whether a peer has answered, or none had to be asked.
    """

    def __init__(self, started_s: float, asks: bool):
        self.started_s = started_s
        self.asks = asks
        self.pending = 0
        self.answered = False
        self.timer = None
        self._standing: TableStanding | None = None
        self._waiting: list[defer.Deferred] = []

    def result(self) -> "defer.Deferred[TableStanding]":
        """Return what it finds out, for one stream."""
        if self._standing is not None:
            return defer.succeed(self._standing)
        waiting: defer.Deferred = defer.Deferred()
        self._waiting.append(waiting)
        return waiting

    @property
    def ended(self) -> bool:
        """Whether it has a result."""
        return self._standing is not None

    def end(self, standing: TableStanding) -> None:
        """Set the result."""
        self._standing = standing
        if self.timer.active():
            self.timer.cancel()
        for waiting in self._waiting:
            waiting.callback(standing)
