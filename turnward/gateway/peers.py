# SPDX-License-Identifier: BSD-3-Clause
"""Exchange of state among routers: digests by UDP, configuration and endpoints over TCP.

Routers send digests a few times a second. A router that receives a newer version than its own
fetches that state from a peer, so it stays current even if it cannot reach the store.
"""

import random
from collections.abc import Callable
from functools import partial

import msgspec
from twisted.internet import defer
from twisted.internet.protocol import DatagramProtocol

from turnward.gateway.configuration import ConfigurationCopy
from turnward.gateway.decoding import MESSAGE_DECODE_ERRORS, decode_message
from turnward.gateway.endpoints_copy import pack_endpoints, unpack_endpoints
from turnward.gateway.feedback_exchange import FeedbackExchange
from turnward.gateway.loans import (
    LOANS_PATH,
    RETURNS_PATH,
    Loan,
    LoanAsk,
    LoanReturn,
)
from turnward.gateway.overlay import FleetSummary, Overlay
from turnward.gateway.packing import PackedCache, pack, unpack
from turnward.gateway.peer_book import DIGEST_LAYOUT, OLDEST_DIGEST_LAYOUT, Digest, PeerBook
from turnward.gateway.quarantines import Quarantines
from turnward.gateway.rate_limits import RateLimits
from turnward.gateway.relay_note import RELAY_PREFIX
from turnward.gateway.relay_paths import PathAnswer, PathQuestion
from turnward.gateway.removed_endpoints import REWRITE_PERIOD_S
from turnward.gateway.restart_suspicions import RestartSuspicion
from turnward.gateway.state import FleetState
from turnward.gateway.stream_version_exchange import STREAM_VERSION_PATH, StreamVersionNotice
from turnward.http1 import Http1Error, HttpCaller, InboundRequest
from turnward.link_use import LinkUse
from turnward.rows import RowVersion

__all__ = ["PeerDatagramProtocol", "PeerSynchronizer"]

#: Interval between two digests.
_PERIOD_S = 0.25
#: Delay of an announcement that cannot wait for the next interval.
_PROMPT_DELAY_S = 0.02
#: Most endpoint loads in one digest, so that it fits a datagram.
_MAX_LOADS = 48
#: Most loan offers in one digest.
_MAX_LOAN_OFFERS = 24
#: Time for which peers keep announcing loan offers after a router was short of tokens.
_SHORTAGE_LIFETIME_S = 1.5

#: Timeout for the start of a peer's state, and for each pause during its transfer.
_STATE_TIMEOUT_S = 1.0

#: Timeout of connections to peers.
_CONNECT_TIMEOUT_S = 0.4

#: Most hosts remembered for sending messages that cannot be decoded.
_MAX_REJECTED_HOSTS = 1_000

CONFIGURATION_PATH = b"/state/configuration/packed"
ENDPOINTS_PATH = b"/state/endpoints/packed"
ENDPOINTS_VERSION_PATH = b"/state/endpoints/version"


#: What routers send each other as datagrams.
PeerMessage = Digest | FleetSummary | StreamVersionNotice | PathQuestion | PathAnswer


class PeerDatagramProtocol(DatagramProtocol):
    """Sends and receives messages as datagrams.

    Parameters
    ----------
    on_message : callable
        Called with each decoded message.
    on_rejected : callable
        Called with the sender's IP address and the layout of each message that is not supported;
        the layout is None for bytes that cannot be decoded.
    """

    noisy = False

    def __init__(
        self,
        on_message: Callable[[PeerMessage], None],
        on_rejected: Callable[[str, int | None], None],
    ):
        self._on_message = on_message
        self._on_rejected = on_rejected
        self.link_use = LinkUse()
        #: Supported layouts.
        self.layouts = range(OLDEST_DIGEST_LAYOUT, DIGEST_LAYOUT + 1)
        self._decoder = msgspec.msgpack.Decoder(PeerMessage)

    def send(self, data: bytes, address: str) -> None:
        """Send a datagram; on an error it is dropped."""
        if self.transport is None:
            return
        host, _, port = address.rpartition(":")
        try:
            self.transport.write(data, (host, int(port)))
        except OSError:
            return
        self.link_use.sent += len(data)

    def datagramReceived(self, datagram, addr):
        """Decode a message and pass it on."""
        self.link_use.received += len(datagram)
        try:
            message = self._decoder.decode(datagram)
        except MESSAGE_DECODE_ERRORS:
            self._on_rejected(addr[0], None)
            return
        if message.layout in self.layouts:
            self._on_message(message)
        else:
            self._on_rejected(addr[0], message.layout)


def _encode(message: Digest | FleetSummary, layout: int) -> bytes:
    """Return a message encoded in the layout of its recipient.

    Older versions of this software drop all messages of a layout that they do not know.
    """
    if message.layout != layout:
        message = msgspec.structs.replace(message, layout=layout)
    return msgspec.msgpack.encode(message)


class PeerSynchronizer:
    """Keeps the state of this router and its peers synchronized.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    identity : Digest
        This router's name and address; the other fields are filled in for each digest.
    state : FleetState
        State of the fleet as known to this router.
    book : PeerBook
        The known peers.
    loads : callable
        Returns this router's own ``EndpointLoad`` list.
    accounts : PrepaidAccounts
        Reports a shortage of tokens and loan offers, and grants loans.
    quarantines : Quarantines
        Their updates are announced, and those of peers are merged into them.
    feedback : FeedbackExchange
        Endpoints' feedback; announced and merged likewise.
    limits : RateLimits
        Endpoints' rate limits; announced and merged likewise.
    log : GatewayLog
        Receives log events.
    rng : random.Random
        Source of the jitter of the interval between digests.
    """

    def __init__(
        self,
        reactor,
        identity: Digest,
        state: FleetState,
        book: PeerBook,
        loads,
        accounts,
        quarantines: Quarantines,
        feedback: FeedbackExchange,
        limits: RateLimits,
        log,
        rng: random.Random,
    ):
        self._rng = rng
        self._accounts = accounts
        self._quarantines = quarantines
        self._quarantine = quarantines.contents
        self._parts = quarantines.parts
        self._feedback_exchange = feedback
        self._limits = limits
        self._reactor = reactor
        self._identity = identity
        self._state = state
        self._book = book
        self._loads = loads
        self._log = log
        self._fetching: set[bytes] = set()
        self._newest_announced: dict[bytes, int] = {}
        self._started_s = reactor.seconds()
        #: Whether a peer has told if the store was rolled back shortly before this start.
        self._told_of_recovery = False
        self._configuration = PackedCache()
        self._endpoints = PackedCache()
        self.overlay = Overlay(book, identity.zone, reactor.seconds, identity.link_mbit_per_s)
        self._previously_live: set[str] = set()
        self._callers: dict[str, HttpCaller] = {}
        #: What calls to peers use of the link.
        self.call_link_use = LinkUse()
        self.exchange = PeerDatagramProtocol(self.receive, self._record_rejected)
        #: Layout of the latest message from each peer; messages to it use the same.
        self._layouts: dict[str, int] = {}
        #: Layout of the latest rejected message from each host.
        self._rejected_layouts: dict[str, int | None] = {}
        self.refused_count = 0
        #: When the latest message of a peer came.
        self.received_s = 0.0
        #: Called before what a peer tells is used.
        self.on_heard: Callable[[], None] = lambda: None
        self._pending_announcement = None
        self.stopping = False
        #: Called with each request that a peer relays.
        self.on_relayed: Callable[[InboundRequest], None] = _answer_not_found
        #: Called with each question which software version began a stream.
        self.on_stream_question: Callable[[InboundRequest], None] = _answer_not_found
        #: Called with each question as of which version this router knows the endpoints.
        self.on_endpoints_question: Callable[[InboundRequest], None] = _answer_not_found
        #: Called with a version of the endpoints that a peer has, and the peer's address.
        self.on_endpoints_announced: Callable[[RowVersion, str], None] = lambda version, address: (
            None
        )
        #: Returns by how much the event loop is late, in milliseconds.
        self.delay_ms: Callable[[], int] = int
        #: Returns the endpoints that may have restarted as another software version.
        self.suspected_restarts: Callable[[], tuple[RestartSuspicion, ...]] = tuple
        #: Called with what a peer tells of the same.
        self.on_suspected_restarts: Callable[[tuple[RestartSuspicion, ...]], None] = (
            lambda suspicions: None
        )
        #: Called with what a peer tells of the versions that began streams.
        self.on_stream_versions: Callable[[StreamVersionNotice], None] = lambda notice: None
        #: Called with a peer's question which pools this router reaches, and with an answer.
        self.on_path_question: Callable[[PathQuestion], None] = lambda question: None
        self.on_path_answer: Callable[[PathAnswer], None] = lambda answer: None
        #: Returns the time that calls get in addition, as this router's own link is slow.
        self.added_timeout_s: Callable[[], float] = lambda: 0.0
        #: Returns the pools of which this router reaches no endpoint.
        self.unreached_pools: Callable[[], tuple[str, ...]] = tuple

    def start(self) -> None:
        """Start sending digests."""
        self._tick()

    def _tick(self) -> None:
        self._reactor.callLater(_PERIOD_S * self._rng.uniform(0.85, 1.15), self._tick)
        self._log_liveness_changes()
        self._announce()

    def announce_soon(self) -> None:
        """Send digests to the peers before the next interval ends."""
        if self._pending_announcement is None:
            self._pending_announcement = self._reactor.callLater(_PROMPT_DELAY_S, self._announce)

    def _announce(self) -> None:
        if self._pending_announcement is not None and self._pending_announcement.active():
            self._pending_announcement.cancel()
        self._pending_announcement = None
        encoded: dict[tuple[int, int], bytes] = {}
        for address, message in self.overlay.outgoing(self.digest()):
            layout = self._layouts.get(address, DIGEST_LAYOUT)
            key = (id(message), layout)
            if key not in encoded:
                encoded[key] = _encode(message, layout)
            self.exchange.send(encoded[key], address)

    def _record_rejected(self, host: str, layout: int | None) -> None:
        """Count a rejected message; log it if its host sent none of that layout before it."""
        self.refused_count += 1
        if self._rejected_layouts.get(host, 0) == layout:
            return
        if len(self._rejected_layouts) >= _MAX_REJECTED_HOSTS:
            self._rejected_layouts.clear()
        self._rejected_layouts[host] = layout
        self._log.belief("peer.unreadable", host=host, layout=layout)

    def _log_liveness_changes(self) -> None:
        """Log each peer that has become silent or live again."""
        watched = self.overlay.watched()
        live = {peer.address for peer in self._book.live()} & watched
        for address in sorted(live - self._previously_live):
            self._log.belief("peer.regained", peer=address, live=len(live))
        for address in sorted((self._previously_live & watched) - live):
            self._log.belief("peer.lost", peer=address, live=len(live))
        self._previously_live = live

    def digest(self) -> Digest:
        """Return the current digest of this router."""
        age_s = self._state.unconfirmed_for_s()
        return msgspec.structs.replace(
            self._identity,
            configuration_version=self._state.configuration_version,
            endpoints_version=self._state.endpoints_version.number,
            endpoints_era=self._state.endpoints_version.era,
            confirmed_age_s=round(age_s, 3) if age_s != float("inf") else -1.0,
            loads=tuple(self._loads()[:_MAX_LOADS]),
            stopping=self.stopping,
            short=self._accounts.short,
            spare=tuple(self._accounts.surplus()[:_MAX_LOAN_OFFERS])
            if self._any_peer_short()
            else (),
            zone_orders=self._state.announced_zone_orders(),
            quarantine=self._quarantine.make_update(),
            words=self._feedback_exchange.updates(),
            limits=self._limits.announced(),
            accounts=self._accounts.updates.announced(),
            unreached=self.unreached_pools(),
            keeps_versions=True,
            restarted=self.suspected_restarts(),
            begun_parts=self._parts.begun.make_update(),
            lost_parts=self._parts.lost.make_update(),
            delay_ms=self.delay_ms(),
            knows_quarantined=self._quarantines.known,
            knows_recovery=self._knows_recovery,
        )

    @property
    def _knows_recovery(self) -> bool:
        """Whether this router knows if the store was rolled back shortly before its start.

        A peer that knows tells it; without one, a recovery from before the start is over in time.
        """
        running_s = self._reactor.seconds() - self._started_s
        return self._told_of_recovery or running_s >= REWRITE_PERIOD_S

    def _any_peer_short(self) -> bool:
        since_s = self._reactor.seconds() - _SHORTAGE_LIFETIME_S
        return any(peer.digest.short and peer.received_s >= since_s for peer in self._book.live())

    def send(self, message: PeerMessage, address: str) -> None:
        """Send a message to a peer."""
        self.exchange.send(msgspec.msgpack.encode(message), address)

    def receive(self, message: PeerMessage) -> None:
        """Merge a message from a peer, and fetch state that is newer elsewhere."""
        self.on_heard()
        self.received_s = self._reactor.seconds()
        if isinstance(message, StreamVersionNotice):
            self.on_stream_versions(message)
        elif isinstance(message, PathQuestion):
            self.on_path_question(message)
        elif isinstance(message, PathAnswer):
            self.on_path_answer(message)
        else:
            self._merge(message)

    def _merge(self, message: Digest | FleetSummary) -> None:
        if message.address != self._book.own_address:
            self._layouts[message.address] = message.layout
            self._state.adopt_announced_zone_orders(message.zone_orders, f"peer {message.address}")
            self._quarantine.merge(message.quarantine)
            self._parts.merge(message.begun_parts, message.lost_parts)
            if message.knows_quarantined:
                self._quarantines.note_told()
            self._feedback_exchange.merge(message.words)
            self._limits.merge(message.limits)
            self.on_suspected_restarts(message.restarted)
        if isinstance(message, Digest):
            self._receive_digest(message)
        elif message.address != self._book.own_address:
            self._receive_summary(message)

    def _receive_summary(self, summary: FleetSummary) -> None:
        self.overlay.receive_summary(summary)
        self._fetch_if_newer(
            summary.configuration_version,
            summary.configuration_from,
            summary.confirmed_age_s,
            summary.endpoints_as_of,
            summary.endpoints_from,
            summary.knows_recovery,
        )

    def _receive_digest(self, digest: Digest) -> None:
        known = self._book.knows(digest.address)
        previous = self._book.get(digest.address)
        is_new = previous is None or previous.digest is None
        if is_new or previous.digest.incarnation != digest.incarnation:
            # A new process does not know rows that the store may have lost in a rollback.
            self._accounts.updates.announce_all()
        peer = self._book.receive(digest)
        if peer is None:
            return
        self.overlay.receive_digest(digest)
        self._accounts.updates.merge(digest.accounts)
        if not known:
            self.exchange.send(_encode(self.digest(), digest.layout), digest.address)
        self._fetch_if_newer(
            digest.configuration_version,
            digest.address,
            digest.confirmed_age_s,
            digest.endpoints_as_of,
            digest.address,
            digest.knows_recovery,
        )

    def _fetch_if_newer(
        self,
        configuration_version: int,
        configuration_from: str,
        confirmed_age_s: float,
        endpoints_version: RowVersion,
        endpoints_from: str,
        knows_recovery: bool,
    ) -> None:
        """Fetch newer state, or record the confirmation of the own configuration."""
        if configuration_version > self._state.configuration_version:
            self._newest_announced[CONFIGURATION_PATH] = configuration_version
            self._fetch(CONFIGURATION_PATH, configuration_from, self._adopt_configuration)
        elif configuration_version == self._state.configuration_version:
            self._confirm(configuration_version, confirmed_age_s)
        self.on_endpoints_announced(endpoints_version, endpoints_from)
        asks_for_recovery = knows_recovery and not self._knows_recovery
        if endpoints_version > self._state.endpoints_version or asks_for_recovery:
            self._newest_announced[ENDPOINTS_PATH] = endpoints_version
            self._fetch(
                ENDPOINTS_PATH,
                endpoints_from,
                self._adopt_endpoints,
                even_if_known=asks_for_recovery,
            )

    def _confirm(self, version: int, age_s: float) -> None:
        if age_s >= 0 and version:
            self._state.confirm(self._reactor.seconds() - age_s)

    def _fetch(self, path: bytes, address: str, apply, even_if_known: bool = False) -> None:
        if path in self._fetching:
            return
        self._fetching.add(path)
        fetched = defer.ensureDeferred(self._fetch_and_apply(path, address, apply, even_if_known))
        fetched.addBoth(lambda _: self._fetching.discard(path))

    async def _fetch_and_apply(self, path: bytes, address: str, apply, even_if_known: bool) -> None:
        # This router's own feed usually delivers the same state within this time.
        pause = defer.Deferred()
        self._reactor.callLater(0.12, pause.callback, None)
        await pause
        if even_if_known or self._is_behind(path):
            await self._fetch_now(path, address, apply, _STATE_TIMEOUT_S)

    async def fetch_endpoints(self, address: str, timeout_s: float) -> None:
        """Fetch a peer's endpoints at once; a failed call is logged."""
        await self._fetch_now(ENDPOINTS_PATH, address, self._adopt_endpoints, timeout_s)

    async def _fetch_now(self, path: bytes, address: str, apply, timeout_s: float) -> None:
        try:
            reply = await self._caller(address).call(
                b"GET",
                path,
                timeout_s=timeout_s + self.added_timeout_s(),
                read_timeout_s=_STATE_TIMEOUT_S,
                connect_timeout_s=self._connect_timeout_s,
            )
            if reply.status == 200:
                apply(reply.body, address)
        except (Http1Error, msgspec.DecodeError) as failure:
            self._log.failure("peer.fetch_failed", peer=address, what=path.decode(), cause=failure)

    def _is_behind(self, path: bytes) -> bool:
        if path == CONFIGURATION_PATH:
            return self._newest_announced[path] > self._state.configuration_version
        return self._newest_announced[path] > self._state.endpoints_version

    @property
    def _connect_timeout_s(self) -> float:
        return _CONNECT_TIMEOUT_S + self.added_timeout_s()

    def _caller(self, address: str) -> HttpCaller:
        caller = self._callers.get(address)
        if caller is None:
            host, _, port = address.rpartition(":")
            caller = HttpCaller(
                self._reactor, (host, int(port)), _CONNECT_TIMEOUT_S, self.call_link_use
            )
            self._callers[address] = caller
        return caller

    def _adopt_configuration(self, body: bytes, address: str) -> None:
        copy = unpack(body, ConfigurationCopy)
        # Orders first: the router starts serving once it has a configuration.
        self._state.adopt_announced_zone_orders(copy.zone_orders, f"peer {address}")
        self._state.adopt_configuration(copy.configuration, f"peer {address}", copy.row_as_of)

    def _adopt_endpoints(self, body: bytes, address: str) -> None:
        self.on_heard()
        snapshot, unreadable = unpack_endpoints(body)
        if unreadable:
            self._log.failure("peer.entries_unreadable", peer=address, entries=unreadable)
        self._told_of_recovery = self._told_of_recovery or snapshot.knows_recovery
        self._state.adopt_endpoints(snapshot, f"peer {address}")

    def serve(self, request: InboundRequest) -> None:
        """Answer a peer's request for state or tokens, or about a stream, or run a relayed one."""
        if request.target.startswith(RELAY_PREFIX):
            self.on_relayed(request)
            return
        state = self._state
        orders = state.announced_zone_orders()
        if request.target == CONFIGURATION_PATH and state.routes and orders is not None:
            row = state.row_version
            copy = ConfigurationCopy(state.routes.configuration, row.number, orders, row.era)
            packed = self._configuration.get(
                (state.configuration_version, orders), partial(pack, copy)
            )
            request.answer(200, [], packed)
        elif request.target == ENDPOINTS_PATH and state.endpoints_version:
            snapshot = msgspec.structs.replace(
                state.snapshot(), knows_recovery=self._knows_recovery
            )
            flags = (snapshot.provisional, snapshot.knows_recovery)
            key = (snapshot.as_of, snapshot.removed, flags)
            packed = self._endpoints.get(key, partial(pack_endpoints, snapshot))
            request.answer(200, [], packed)
        elif request.target == LOANS_PATH:
            _decode_body(request, LoanAsk, self._lend)
        elif request.target == RETURNS_PATH:
            _decode_body(request, LoanReturn, self._accept_return)
        elif request.target == STREAM_VERSION_PATH:
            self.on_stream_question(request)
        elif request.target == ENDPOINTS_VERSION_PATH:
            self.on_endpoints_question(request)
        else:
            request.answer(404, [])

    def _lend(self, request: InboundRequest, loan_request: LoanAsk) -> None:
        """Answer a peer's loan request."""
        if not loan_request.for_request:
            loan = Loan(self._accounts.lend(loan_request))
            request.answer(200, [], msgspec.msgpack.encode(loan))
            return
        pending_loan = self._accounts.lend_for_request(loan_request)
        request.on_disconnect = pending_loan.cancel

        def respond(loan: Loan) -> None:
            request.answer(200, [], msgspec.msgpack.encode(loan))

        pending_loan.addCallback(respond)
        pending_loan.addErrback(lambda failure: failure.trap(defer.CancelledError))

    def _accept_return(self, request: InboundRequest, returned: LoanReturn) -> None:
        """Accept tokens that a peer returns."""
        self._accounts.accept_return(returned)
        request.answer(200, [])

    async def call(self, address: str, path: bytes, body: bytes, timeout_s: float) -> bytes | None:
        """Return the body of a peer's response, None if the call failed."""
        try:
            return await self.call_or_raise(address, path, body, timeout_s)
        except Http1Error as failure:
            self._log.failure("peer.fetch_failed", peer=address, what=path.decode(), cause=failure)
            return None

    async def call_or_raise(
        self, address: str, path: bytes, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Return the body of a peer's response, None if its status is not 200.

        Raises
        ------
        NotSentError
            Nothing was sent.
        UnansweredError
            No response was received; the peer may have processed the call.
        """
        reply = await self._caller(address).call(
            b"POST",
            path,
            body,
            timeout_s + self.added_timeout_s(),
            connect_timeout_s=self._connect_timeout_s,
        )
        return reply.body if reply.status == 200 else None


def _answer_not_found(request: InboundRequest) -> None:
    request.answer(404, [])


def _decode_body(request: InboundRequest, layout: type, handle: Callable) -> None:
    """Receive the body of a request, decode and handle it; answer 400 if it is invalid."""
    chunks: list[bytes] = []

    def body_received() -> None:
        try:
            message = decode_message(b"".join(chunks), layout)
        except msgspec.DecodeError:
            request.answer(400, [])
            return
        handle(request, message)

    request.attach(chunks.append, body_received)
