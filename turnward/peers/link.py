# SPDX-License-Identifier: BSD-3-Clause
"""Connections between routers: length-prefixed frames over TCP, asked and answered.

The frames are ``twisted``'s ``Int32StringReceiver``; the bytes inside are
Cap'n Proto.
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

#: Largest frame accepted, in bytes.
FRAME_LIMIT_BYTES = 4_000_000

#: Answers a message of the incarnation named first.
Handler = Callable[[str, Message], Awaitable[Message]]


class PeersBase(ABC):
    """Asks other routers and answers them.

    Attributes
    ----------
    handler : Handler or None
        Answers questions of peers; set by the router before it listens.
    incarnation : str
        Who asks; set at each registration.
    sent_bytes, received_bytes : int
        Frames so far, without their TCP and IP headers.
    """

    handler: Handler | None = None
    incarnation: str = ""
    sent_bytes: int = 0
    received_bytes: int = 0

    @abstractmethod
    def listen(self, address: str):
        """Begin to answer peers."""

    @abstractmethod
    def close(self) -> None:
        """Stop listening and drop all connections."""

    @abstractmethod
    async def ask(self, address: str, incarnation: str, message: Message) -> Message:
        """Send a message to an incarnation and return its answer.

        Raises
        ------
        PeerUnreachableError
            No answer came in time, or another incarnation answered.
        """


class _Frames(Int32StringReceiver):
    MAX_LENGTH = FRAME_LIMIT_BYTES

    def __init__(self, links: "PeerLinks"):
        self._links = links
        self._next_number = 0
        self._waiting: dict[int, defer.Deferred] = {}

    def ask(self, message: Message) -> defer.Deferred:
        self._next_number += 1
        number = self._next_number
        answer = self._waiting[number] = defer.Deferred()
        self.sendString(self._links.seal(number, message))
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
        self._links.dropped(self)


class _AskingFrames(_Frames):
    """The side that opened the connection; it receives answers."""

    def stringReceived(self, string):
        try:
            envelope = self._links.open(string)
        except WireError:
            self.transport.abortConnection()
            return
        answer = self._waiting.get(envelope.number)
        if answer is not None and not answer.called:
            answer.callback(envelope)


class _AnsweringFrames(_Frames):
    """The side that was connected to; it receives questions."""

    def stringReceived(self, string):
        try:
            envelope = self._links.open(string)
        except WireError:
            self.transport.abortConnection()
            return
        defer.ensureDeferred(self._answer(envelope))

    async def _answer(self, envelope: Envelope) -> None:
        answer = await self._links.handler(envelope.incarnation, envelope.message)
        if self.connected:
            self.sendString(self._links.seal(envelope.number, answer))


class PeerLinks(PeersBase, protocol.Factory):
    """Owns the listening port and the connections to peers; opened when first used.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    clock : HybridClock
        Stamps travel with each message.
    timeout_s : float
        Limit for an answer, in seconds.
    """

    def __init__(self, reactor, clock: HybridClock, timeout_s: float):
        self.reactor = reactor
        self.timeout_s = timeout_s
        self._clock = clock
        self._links: dict[str, defer.Deferred | _AskingFrames] = {}
        self._answering: set[_Frames] = set()
        self._port = None

    def listen(self, address):
        """See ``PeersBase.listen``; returns the port."""
        host, port = parse_address(address)
        self._port = self.reactor.listenTCP(port, self, interface=host)
        return self._port

    def buildProtocol(self, addr):
        """Return the protocol of a connection that a peer opened."""
        frames = _AnsweringFrames(self)
        self._answering.add(frames)
        return frames

    async def ask(self, address, incarnation, message):
        """See ``PeersBase.ask``."""
        link = await self._link(address)
        try:
            envelope = await link.ask(message)
        except defer.TimeoutError as failure:
            raise PeerUnreachableError(f"no answer from {address} in time") from failure
        if envelope.incarnation != incarnation:
            raise PeerUnreachableError(f"{incarnation} is not at {address} any more")
        return envelope.message

    async def _link(self, address: str) -> _AskingFrames:
        known = self._links.get(address)
        if isinstance(known, _AskingFrames):
            return known
        if known is None:
            known = self._links[address] = defer.ensureDeferred(self._connect(address))
            known.addErrback(lambda _: None)
        waiter: defer.Deferred = defer.Deferred()
        known.addBoth(lambda result: (waiter.callback(result), result)[1])
        link = await waiter
        if link is None:
            raise PeerUnreachableError(f"no connection to {address}")
        return link

    async def _connect(self, address: str) -> _AskingFrames | None:
        host, port = parse_address(address)
        target = TCP4ClientEndpoint(self.reactor, host, port, timeout=self.timeout_s)
        try:
            link = await connectProtocol(target, _AskingFrames(self))
        except Exception:
            del self._links[address]
            raise
        self._links[address] = link
        return link

    def dropped(self, frames: _Frames) -> None:
        """Forget a lost connection."""
        self._answering.discard(frames)
        self._links = {address: link for address, link in self._links.items() if link is not frames}

    def seal(self, number: int, message: Message) -> bytes:
        """Return the frame of a message of this router."""
        frame = encode(Envelope(number, self.incarnation, self._clock.tick(), message))
        self.sent_bytes += len(frame)
        return frame

    def open(self, frame: bytes) -> Envelope:
        """Return the envelope of a received frame and take in its stamp."""
        self.received_bytes += len(frame)
        envelope = decode(frame)
        self._clock.observe(envelope.stamp)
        return envelope

    def close(self):
        """See ``PeersBase.close``."""
        if self._port is not None:
            self._port.stopListening()
        for link in [*self._links.values(), *self._answering]:
            if isinstance(link, _Frames) and link.transport is not None:
                link.transport.abortConnection()
