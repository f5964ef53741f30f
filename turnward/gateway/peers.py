# SPDX-License-Identifier: BSD-3-Clause
"""What routers tell each other: versions known, and requests in flight.

A digest goes out by datagram a few times a second. Who hears of a newer
version than its own fetches the state itself over TCP. So a router that the
store turns away learns what the others know.
"""

import random
from collections.abc import Callable

import msgspec
from twisted.internet import defer
from twisted.internet.protocol import DatagramProtocol

from turnward.gateway.configuration import ConfigurationCopy
from turnward.gateway.feedback_exchange import FeedbackExchange
from turnward.gateway.loans import (
    LOANS_PATH,
    RETURNS_PATH,
    Loan,
    LoanAsk,
    LoanReturn,
)
from turnward.gateway.overlay import FleetSummary, Overlay
from turnward.gateway.packing import PackedOnce, unpack
from turnward.gateway.peer_book import DIGEST_LAYOUT, OLDEST_DIGEST_LAYOUT, Digest, PeerBook
from turnward.gateway.rate_limits import RateLimits
from turnward.gateway.state import EndpointsSnapshot, FleetState
from turnward.http1 import Http1Error, HttpCaller, InboundRequest
from turnward.quarantine import Quarantine
from turnward.rows import RowVersion

__all__ = ["PeerDatagramProtocol", "PeerSynchronizer"]

#: Seconds between two digests.
_PERIOD_S = 0.25
#: Seconds after which something is told that can't wait for the next round.
_SOON_S = 0.02
#: Most endpoints whose load one digest tells, so that it fits a datagram.
_LOADS_LIMIT = 48
#: Most workspaces whose spare tokens one digest tells.
_SPARE_LIMIT = 24
#: Seconds for which a router that was short keeps its peers telling what they can spare.
_SHORT_LIFE_S = 1.5

#: Seconds until a peer's state begins to come, and the longest pause in it.
_STATE_TIMEOUT_S = 1.0

#: Machines remembered that send what can't be read.
_REFUSED_LIMIT = 1_000

CONFIGURATION_PATH = b"/state/configuration/packed"
ENDPOINTS_PATH = b"/state/endpoints/packed"


class PeerDatagramProtocol(DatagramProtocol):
    """Sends and receives digests.

    Parameters
    ----------
    on_message : callable
        Told each message that can be read.
    on_refused : callable
        Told the sender's IP number, and the layout, of each message that can't; None for bytes
        that are no message.
    """

    noisy = False

    def __init__(
        self,
        on_message: Callable[[Digest | FleetSummary], None],
        on_refused: Callable[[str, int | None], None],
    ):
        self._on_message = on_message
        self._on_refused = on_refused
        #: Layouts that are read.
        self.layouts = range(OLDEST_DIGEST_LAYOUT, DIGEST_LAYOUT + 1)
        self._decoder = msgspec.msgpack.Decoder(Digest | FleetSummary)

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram; one that can't be sent is lost."""
        if self.transport is None:
            return
        host, _, port = address.rpartition(":")
        try:
            self.transport.write(data, (host, int(port)))
        except OSError:
            return

    def datagramReceived(self, datagram, addr):
        """Take in a message."""
        try:
            message = self._decoder.decode(datagram)
        except (msgspec.DecodeError, ValueError):
            self._on_refused(addr[0], None)
            return
        if message.layout in self.layouts:
            self._on_message(message)
        else:
            self._on_refused(addr[0], message.layout)


def _encode(message: Digest | FleetSummary, layout: int) -> bytes:
    """Return a message for a peer that speaks a layout.

    Routers of an older build pass over all messages of a layout that they don't know.
    """
    if message.layout != layout:
        message = msgspec.structs.replace(message, layout=layout)
    return msgspec.msgpack.encode(message)


class PeerSynchronizer:
    """Keeps this router and its peers in step.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    identity : Digest
        This router's name and address; its other fields are filled in.
    state : FleetState
        What is known here.
    book : PeerBook
        The peers.
    loads : callable
        Returns this router's own ``EndpointLoad`` list.
    accounts : PrepaidAccounts
        Tells whether tokens are short here and what can be spared, and lends.
    quarantine : Quarantine
        What it suspects is told, and it takes in what others suspect.
    word_news : FeedbackExchange
        What endpoints said here is told, and it takes in what they said to others.
    limits : RateLimits
        The rates that endpoints named here are told, and it takes in what they named to others.
    log : GatewayLog
        Told of what is fetched.
    draw : random.Random
        Spreads digests over time and peers.
    """

    def __init__(
        self,
        reactor,
        identity: Digest,
        state: FleetState,
        book: PeerBook,
        loads,
        accounts,
        quarantine: Quarantine,
        word_news: FeedbackExchange,
        limits: RateLimits,
        log,
        draw: random.Random,
    ):
        self._draw = draw
        self._accounts = accounts
        self._quarantine = quarantine
        self._feedback_exchange = word_news
        self._limits = limits
        self._reactor = reactor
        self._identity = identity
        self._state = state
        self._book = book
        self._loads = loads
        self._log = log
        self._fetching: set[bytes] = set()
        self._wanted: dict[bytes, int] = {}
        self._configuration = PackedOnce()
        self._endpoints = PackedOnce()
        self.overlay = Overlay(book, identity.zone, reactor.seconds, identity.link_mbit_per_s)
        self._seen_live: set[str] = set()
        self._callers: dict[str, HttpCaller] = {}
        self.exchange = PeerDatagramProtocol(self.hear, self._note_refused)
        #: The layout that each peer told of itself last; it is told in the same.
        self._layouts: dict[str, int] = {}
        #: The layout in which each machine last sent what can't be read.
        self._refused: dict[str, int | None] = {}
        self.refused_count = 0
        self._telling_soon = None
        self.stopping = False

    def start(self) -> None:
        """Begin to send digests."""
        self._tick()

    def _tick(self) -> None:
        self._reactor.callLater(_PERIOD_S * self._draw.uniform(0.85, 1.15), self._tick)
        self._note_changes()
        self._tell()

    def announce_soon(self) -> None:
        """Tell the others before the next round is due."""
        if self._telling_soon is None:
            self._telling_soon = self._reactor.callLater(_SOON_S, self._tell)

    def _tell(self) -> None:
        if self._telling_soon is not None and self._telling_soon.active():
            self._telling_soon.cancel()
        self._telling_soon = None
        encoded: dict[tuple[int, int], bytes] = {}
        for address, message in self.overlay.outgoing(self.digest()):
            layout = self._layouts.get(address, DIGEST_LAYOUT)
            key = (id(message), layout)
            if key not in encoded:
                encoded[key] = _encode(message, layout)
            self.exchange.send(encoded[key], address)

    def _note_refused(self, host: str, layout: int | None) -> None:
        """Count a message that can't be read; write a line when a machine begins to send such."""
        self.refused_count += 1
        if self._refused.get(host, 0) == layout:
            return
        if len(self._refused) >= _REFUSED_LIMIT:
            self._refused.clear()
        self._refused[host] = layout
        self._log.belief("peer.unreadable", host=host, layout=layout)

    def _note_changes(self) -> None:
        """Write a line on each peer that fell silent, or is heard again."""
        watched = self.overlay.watched()
        live = {peer.address for peer in self._book.live()} & watched
        for address in sorted(live - self._seen_live):
            self._log.belief("peer.regained", peer=address, live=len(live))
        for address in sorted((self._seen_live & watched) - live):
            self._log.belief("peer.lost", peer=address, live=len(live))
        self._seen_live = live

    def digest(self) -> Digest:
        """Return this router's digest as of now."""
        age_s = self._state.unconfirmed_for_s()
        return msgspec.structs.replace(
            self._identity,
            configuration_version=self._state.configuration_version,
            endpoints_version=self._state.endpoints_version.number,
            endpoints_era=self._state.endpoints_version.era,
            confirmed_age_s=round(age_s, 3) if age_s != float("inf") else -1.0,
            loads=tuple(self._loads()[:_LOADS_LIMIT]),
            stopping=self.stopping,
            short=self._accounts.short,
            spare=tuple(self._accounts.spare()[:_SPARE_LIMIT]) if self._some_short() else (),
            zone_orders=self._state.announced_zone_orders(),
            quarantine=self._quarantine.make_update(),
            words=self._feedback_exchange.words(),
            limits=self._limits.announced(),
            accounts=self._accounts.updates.announced(),
        )

    def _some_short(self) -> bool:
        since_s = self._reactor.seconds() - _SHORT_LIFE_S
        return any(peer.digest.short and peer.received_s >= since_s for peer in self._book.live())

    def hear(self, message: Digest | FleetSummary) -> None:
        """Take in what a peer tells, and fetch what it, or another, knows better."""
        if message.address != self._book.own_address:
            self._layouts[message.address] = message.layout
            self._state.adopt_announced_zone_orders(message.zone_orders, f"peer {message.address}")
            self._quarantine.merge(message.quarantine)
            self._feedback_exchange.merge(message.words)
            self._limits.merge(message.limits)
        if isinstance(message, Digest):
            self._hear_digest(message)
        elif message.address != self._book.own_address:
            self._hear_summary(message)

    def _hear_summary(self, summary: FleetSummary) -> None:
        self.overlay.hear_summary(summary)
        self._compare(
            summary.configuration_version,
            summary.configuration_from,
            summary.confirmed_age_s,
            summary.endpoints_as_of,
            summary.endpoints_from,
        )

    def _hear_digest(self, digest: Digest) -> None:
        known = self._book.knows(digest.address)
        before = self._book.get(digest.address)
        starts = before is None or before.digest is None
        if starts or before.digest.incarnation != digest.incarnation:
            # It can't know what rows said that the store may have lost.
            self._accounts.updates.announce_all()
        peer = self._book.hear(digest)
        if peer is None:
            return
        self.overlay.hear_digest(digest)
        self._accounts.updates.merge(digest.accounts)
        if not known:
            self.exchange.send(_encode(self.digest(), digest.layout), digest.address)
        self._compare(
            digest.configuration_version,
            digest.address,
            digest.confirmed_age_s,
            digest.endpoints_as_of,
            digest.address,
        )

    def _compare(
        self,
        configuration_version: int,
        configuration_from: str,
        confirmed_age_s: float,
        endpoints_version: RowVersion,
        endpoints_from: str,
    ) -> None:
        """Fetch what is newer elsewhere; note when the own configuration is the newest."""
        if configuration_version > self._state.configuration_version:
            self._wanted[CONFIGURATION_PATH] = configuration_version
            self._fetch(CONFIGURATION_PATH, configuration_from, self._adopt_configuration)
        elif configuration_version == self._state.configuration_version:
            self._confirm(configuration_version, confirmed_age_s)
        if endpoints_version > self._state.endpoints_version:
            self._wanted[ENDPOINTS_PATH] = endpoints_version
            self._fetch(ENDPOINTS_PATH, endpoints_from, self._adopt_endpoints)

    def _confirm(self, version: int, age_s: float) -> None:
        if age_s >= 0 and version:
            self._state.confirm(self._reactor.seconds() - age_s)

    def _fetch(self, path: bytes, address: str, adopt) -> None:
        if path in self._fetching:
            return
        self._fetching.add(path)
        fetched = defer.ensureDeferred(self._fetch_and_adopt(path, address, adopt))
        fetched.addBoth(lambda _: self._fetching.discard(path))

    async def _fetch_and_adopt(self, path: bytes, address: str, adopt) -> None:
        # The own feed usually brings the same within milliseconds.
        pause = defer.Deferred()
        self._reactor.callLater(0.12, pause.callback, None)
        await pause
        if not self._is_behind(path):
            return
        try:
            reply = await self._caller(address).call(
                b"GET", path, timeout_s=_STATE_TIMEOUT_S, pause_s=_STATE_TIMEOUT_S
            )
            if reply.status == 200:
                adopt(reply.body, address)
        except (Http1Error, msgspec.DecodeError) as failure:
            self._log.failure("peer.fetch_failed", peer=address, what=path.decode(), cause=failure)

    def _is_behind(self, path: bytes) -> bool:
        own = self._state.endpoints_version
        if path == CONFIGURATION_PATH:
            own = self._state.configuration_version
        return self._wanted[path] > own

    def _caller(self, address: str) -> HttpCaller:
        caller = self._callers.get(address)
        if caller is None:
            host, _, port = address.rpartition(":")
            caller = HttpCaller(self._reactor, (host, int(port)), connect_timeout_s=0.4)
            self._callers[address] = caller
        return caller

    def _adopt_configuration(self, body: bytes, address: str) -> None:
        copy = unpack(body, ConfigurationCopy)
        # Orders first: with the configuration a router begins to serve.
        self._state.adopt_announced_zone_orders(copy.zone_orders, f"peer {address}")
        self._state.adopt_configuration(copy.configuration, f"peer {address}", copy.row_as_of)

    def _adopt_endpoints(self, body: bytes, address: str) -> None:
        snapshot = unpack(body, EndpointsSnapshot)
        self._state.adopt_endpoints(snapshot, f"peer {address}")

    def serve(self, request: InboundRequest) -> None:
        """Answer a peer's question for state."""
        state = self._state
        orders = state.announced_zone_orders()
        if request.target == CONFIGURATION_PATH and state.routes and orders is not None:
            row = state.row_version
            copy = ConfigurationCopy(state.routes.configuration, row.number, orders, row.era)
            packed = self._configuration.get((state.configuration_version, orders), copy)
            request.answer(200, [], packed)
        elif request.target == ENDPOINTS_PATH and state.endpoints_version:
            snapshot = state.snapshot()
            request.answer(200, [], self._endpoints.get(snapshot.as_of, snapshot))
        elif request.target == LOANS_PATH:
            _take_body(request, LoanAsk, self._lend)
        elif request.target == RETURNS_PATH:
            _take_body(request, LoanReturn, self._take_back)
        else:
            request.answer(404, [])

    def _lend(self, request: InboundRequest, ask: LoanAsk) -> None:
        """Answer a peer that asks for tokens."""
        if not ask.for_request:
            loan = Loan(self._accounts.lend(ask))
            request.answer(200, [], msgspec.msgpack.encode(loan))
            return
        lending = self._accounts.lend_for_request(ask)
        request.on_gone = lending.cancel

        def answer(loan: Loan) -> None:
            request.answer(200, [], msgspec.msgpack.encode(loan))

        lending.addCallback(answer)
        lending.addErrback(lambda failure: failure.trap(defer.CancelledError))

    def _take_back(self, request: InboundRequest, returned: LoanReturn) -> None:
        """Take in tokens that a peer has no use for."""
        self._accounts.accept_return(returned)
        request.answer(200, [])

    async def call(self, address: str, path: bytes, body: bytes, timeout_s: float) -> bytes | None:
        """Return the body of a peer's answer, None when there was no good one."""
        try:
            return await self.call_or_raise(address, path, body, timeout_s)
        except Http1Error as failure:
            self._log.failure("peer.fetch_failed", peer=address, what=path.decode(), cause=failure)
            return None

    async def call_or_raise(
        self, address: str, path: bytes, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Return the body of a peer's answer, None when it was no success.

        Raises
        ------
        NotSentError
            Nothing was sent.
        UnansweredError
            No answer came; the peer may have read the call.
        """
        reply = await self._caller(address).call(b"POST", path, body, timeout_s)
        return reply.body if reply.status == 200 else None


def _take_body(request: InboundRequest, layout: type, act: Callable) -> None:
    """Gather a peer's message and act on it; bytes that are none are told so."""
    parts: list[bytes] = []

    def ended() -> None:
        try:
            message = msgspec.msgpack.decode(b"".join(parts), type=layout)
        except (msgspec.DecodeError, ValueError):
            request.answer(400, [])
            return
        act(request, message)

    request.attach(parts.append, ended)
