# SPDX-License-Identifier: BSD-3-Clause
"""Tells a few routers which software version began a stream, and asks them when it is resumed.

The routers are chosen by the stream's key, so that any router can ask them. What is lost with a
message or a router makes a version unknown, never wrong: each stream is told by the one router that
passed its first event on.
"""

from collections.abc import Awaitable, Callable, Iterable

import msgspec
from twisted.internet import defer

from turnward.gateway.member_ring import MemberRing
from turnward.gateway.peer_book import DIGEST_LAYOUT
from turnward.http1 import InboundRequest
from turnward.software_versions import StreamKey, StreamVersions

__all__ = ["STREAM_VERSION_PATH", "StreamVersionExchange", "StreamVersionNotice"]

STREAM_VERSION_PATH = b"/streams/version"
#: Routers that are told of a stream. Of eight routers, five of which crash at the same time, all
#: that know of a stream are lost with one in fourteen.
_HOLDERS_PER_STREAM = 4
#: Timeout of a question; a router that is cut off must not hold a resumption up.
_QUESTION_TIMEOUT_S = 0.25
#: Most streams in one message, so that it fits a datagram.
_MAX_STREAMS_PER_NOTICE = 40


class StreamVersionNotice(msgspec.Struct, frozen=True, array_like=True, tag="streams"):
    """Message that tells which versions began streams.

    Attributes
    ----------
    layout : int
        See ``peer_book.DIGEST_LAYOUT``.
    address : str
        Address of the sender.
    streams : tuple of tuple
        Key and version of each stream.
    """

    layout: int
    address: str
    streams: tuple[tuple[StreamKey, str], ...]


class StreamVersionExchange:
    """Versions of streams, shared with the routers that their keys select.

    Parameters
    ----------
    own_address : str
        Address of this router.
    ring : MemberRing
        Selects the routers that know a stream.
    streams : StreamVersions
        What this router knows itself.
    send : callable
        Sends a datagram to an address.
    call : callable
        ``await call(address, path, body, timeout_s)`` returns the response body, or None.
    """

    def __init__(
        self,
        own_address: str,
        ring: MemberRing,
        streams: StreamVersions,
        send: Callable[[bytes, str], None],
        call: Callable[[str, bytes, bytes, float], Awaitable[bytes | None]],
    ):
        self._own_address = own_address
        self._ring = ring
        self._streams = streams
        self._send = send
        self._call = call

    def tell(self, streams: Iterable[tuple[StreamKey, str]]) -> None:
        """Tell the routers that the streams select."""
        by_holder: dict[str, list[tuple[StreamKey, str]]] = {}
        for key, version in streams:
            for address in self._other_holders(key):
                by_holder.setdefault(address, []).append((key, version))
        for address, told in by_holder.items():
            for first in range(0, len(told), _MAX_STREAMS_PER_NOTICE):
                part = tuple(told[first : first + _MAX_STREAMS_PER_NOTICE])
                notice = StreamVersionNotice(DIGEST_LAYOUT, self._own_address, part)
                self._send(msgspec.msgpack.encode(notice), address)

    def receive(self, notice: StreamVersionNotice) -> None:
        """Remember what another router tells."""
        for key, version in notice.streams:
            self._streams.note(key, version)

    def find(self, key: StreamKey) -> "defer.Deferred[str | None]":
        """Return the version of a stream, empty if no router knows it.

        None if those that answered do not know it, and another may.
        """
        known = self._streams.find(key)
        if known:
            return defer.succeed(known)
        return _first_known([self._ask(address, key) for address in self._other_holders(key)])

    def _other_holders(self, key: StreamKey) -> list[str]:
        selected = self._ring.select(key, _HOLDERS_PER_STREAM)
        return [address for address in selected if address != self._own_address]

    async def _ask(self, address: str, key: StreamKey) -> str | None:
        answer = await self._call(address, STREAM_VERSION_PATH, key, _QUESTION_TIMEOUT_S)
        return answer.decode(errors="replace") if answer is not None else None

    def serve(self, request: InboundRequest) -> None:
        """Answer another router's question with a version, or with an empty body."""
        key: list[bytes] = []

        def respond() -> None:
            request.answer(200, [], self._streams.find(b"".join(key)).encode())

        request.attach(key.append, respond)


def _first_known(questions: list[Awaitable[str | None]]) -> "defer.Deferred[str | None]":
    """Return the first version, once all have answered an empty one, or None if some have not."""
    first: defer.Deferred[str | None] = defer.Deferred()
    pending = len(questions)
    unknown: str | None = ""
    if not pending:
        first.callback(unknown)

    def answered(version: str | None) -> None:
        nonlocal pending, unknown
        pending -= 1
        unknown = None if version is None else unknown
        if not first.called and (version or not pending):
            first.callback(version or unknown)

    for question in questions:
        defer.ensureDeferred(question).addCallback(answered)
    return first
