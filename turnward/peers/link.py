# SPDX-License-Identifier: BSD-3-Clause
"""Request-response connections between routers: length-prefixed frames over TCP.

Framing is that of Twisted's ``Int32StringReceiver``; the payload is Cap'n Proto.
"""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from twisted.internet import defer, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.protocols.basic import Int32StringReceiver

from turnward.events import HybridClock
from turnward.peers.codec import Envelope, WireError, decode, encode
from turnward.peers.errors import PeerUnreachableError
from turnward.peers.messages import Message
from turnward.settings import parse_address

__all__ = ["Handler", "PeerLinks", "PeersBase"]

FRAME_LIMIT_BYTES = 4_000_000

#: Called with the sender's incarnation and its message; returns the response.
Handler = Callable[[str, Message], Awaitable[Message]]


class PeersBase(ABC):
    """Sends requests to other routers and answers theirs.

    Attributes
    ----------
    handler : Handler or None
        Answers requests of peers; set by the router before it listens.
    incarnation : str
        Incarnation of this router; set at each registration.
    sent_bytes, received_bytes : int
        Total size of all frames, without length prefixes and TCP and IP headers.
    """

    handler: Handler | None = None
    incarnation: str = ""
    sent_bytes: int = 0
    received_bytes: int = 0

    @abstractmethod
    def listen(self, address: str):
        """Start to accept connections of peers."""

    @abstractmethod
    def close(self) -> None:
        """Stop listening and drop all connections."""

    @abstractmethod
    async def ask(self, address: str, incarnation: str, message: Message) -> Message:
        """Send a message to an incarnation and return its response.

        Raises
        ------
        PeerUnreachableError
            No response arrived in time, or another incarnation responded.
        """


class _Connection(Int32StringReceiver):
    MAX_LENGTH = FRAME_LIMIT_BYTES

    def __init__(self, links: "PeerLinks"):
        self._links = links
        self._next_number = 0
        self._waiting: dict[int, defer.Deferred] = {}

    def ask(self, message: Message) -> defer.Deferred:
        self._next_number += 1
        number = self._next_number
        answer = self._waiting[number] = defer.Deferred()
        self.sendString(self._links.encode_frame(number, message))
        return answer.addTimeout(self._links.timeout_s, self._links.reactor).addBoth(
            self._forget, number
        )

    def _forget(self, result, number):
        self._waiting.pop(number, None)
        return result

    def connectionLost(self, reason=protocol.connectionDone):
        waiting, self._waiting = self._waiting, {}
        for answer in waiting.values():
            if not answer.called:
                answer.errback(PeerUnreachableError("the connection to the peer was lost"))
        self._links.remove_connection(self)


class _OutgoingConnection(_Connection):
    """A connection that this router opened; it receives responses."""

    def stringReceived(self, string):
        try:
            envelope = self._links.decode_frame(string)
        except WireError:
            self.transport.abortConnection()
            return
        answer = self._waiting.get(envelope.number)
        if answer is not None and not answer.called:
            answer.callback(envelope)


class _IncomingConnection(_Connection):
    """A connection that a peer opened; it receives requests."""

    def stringReceived(self, string):
        try:
            envelope = self._links.decode_frame(string)
        except WireError:
            self.transport.abortConnection()
            return
        defer.ensureDeferred(self._answer(envelope))

    async def _answer(self, envelope: Envelope) -> None:
        answer = await self._links.handler(envelope.incarnation, envelope.message)
        if self.connected:
            self.sendString(self._links.encode_frame(envelope.number, answer))


class PeerLinks(PeersBase, protocol.Factory):
    """Owns the listening port and the connections to peers, which open on first use.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    clock : HybridClock
        Clock whose time is sent with each message.
    timeout_s : float
        Time limit for connecting and for a response, in seconds.
    """

    def __init__(self, reactor, clock: HybridClock, timeout_s: float):
        self.reactor = reactor
        self.timeout_s = timeout_s
        self._clock = clock
        self._outgoing: dict[str, defer.Deferred | _OutgoingConnection] = {}
        self._incoming: set[_Connection] = set()
        self._port = None

    def listen(self, address):
        """See ``PeersBase.listen``; returns the port."""
        host, port = parse_address(address)
        self._port = self.reactor.listenTCP(port, self, interface=host)
        return self._port

    def buildProtocol(self, addr):
        """Return the protocol of a new connection of a peer."""
        connection = _IncomingConnection(self)
        self._incoming.add(connection)
        return connection

    async def ask(self, address, incarnation, message):
        """See ``PeersBase.ask``."""
        connection = await self._connection_to(address)
        try:
            envelope = await connection.ask(message)
        except defer.TimeoutError as error:
            raise PeerUnreachableError(f"no response from {address} in time") from error
        if envelope.incarnation != incarnation:
            raise PeerUnreachableError(f"{incarnation} no longer runs at {address}")
        return envelope.message

    async def _connection_to(self, address: str) -> _OutgoingConnection:
        existing = self._outgoing.get(address)
        if isinstance(existing, _OutgoingConnection):
            return existing
        if existing is None:
            existing = self._outgoing[address] = defer.ensureDeferred(self._connect(address))
            existing.addErrback(lambda _: None)
        waiter: defer.Deferred = defer.Deferred()
        existing.addBoth(lambda result: (waiter.callback(result), result)[1])
        connection = await waiter
        if connection is None:
            raise PeerUnreachableError(f"no connection to {address}")
        return connection

    async def _connect(self, address: str) -> _OutgoingConnection | None:
        host, port = parse_address(address)
        target = TCP4ClientEndpoint(self.reactor, host, port, timeout=self.timeout_s)
        try:
            connection = await connectProtocol(target, _OutgoingConnection(self))
        except Exception:
            del self._outgoing[address]
            raise
        self._outgoing[address] = connection
        return connection

    def remove_connection(self, closed: _Connection) -> None:
        """Remove a closed connection."""
        self._incoming.discard(closed)
        self._outgoing = {
            address: connection
            for address, connection in self._outgoing.items()
            if connection is not closed
        }

    def encode_frame(self, number: int, message: Message) -> bytes:
        """Return the frame of a message from this router, and count its bytes."""
        frame = encode(Envelope(number, self.incarnation, self._clock.tick(), message))
        self.sent_bytes += len(frame)
        return frame

    def decode_frame(self, frame: bytes) -> Envelope:
        """Return the envelope of a received frame, and advance the clock to its time."""
        self.received_bytes += len(frame)
        envelope = decode(frame)
        self._clock.observe(envelope.stamp)
        return envelope

    def close(self):
        """See ``PeersBase.close``."""
        if self._port is not None:
            self._port.stopListening()
        for connection in [*self._outgoing.values(), *self._incoming]:
            if isinstance(connection, _Connection) and connection.transport is not None:
                connection.transport.abortConnection()
