# SPDX-License-Identifier: BSD-3-Clause
"""The software versions that wrote the first events of recent streams."""

import hashlib
from collections import OrderedDict
from collections.abc import Callable

__all__ = ["StreamKey", "StreamVersions", "UntoldStreams", "key_draw", "stream_key"]

#: Identifies a stream by the workspace and the id of the request that brought its first event.
StreamKey = bytes

_KEY_BYTES = 8
#: Time for which a stream is remembered; longer than callers try.
_RETENTION_S = 120.0
_MAX_STREAMS = 20_000
#: Version of a stream that was reported with two different ones: its id was used twice.
_AMBIGUOUS = ""


def stream_key(workspace: str, request_id: bytes) -> StreamKey:
    """Return the key of a stream.

    Examples
    --------
    >>> stream_key("acme", b"1") == stream_key("other", b"1")
    False
    """
    text = b"%b\0%b" % (workspace.encode(), request_id)
    return hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()


def key_draw(key: StreamKey) -> float:
    """Return a number from 0 to below 1 that depends on the key alone.

    Examples
    --------
    >>> key_draw(bytes(8)), key_draw(bytes((128, 0, 0, 0, 0, 0, 0, 0)))
    (0.0, 0.5)
    """
    # A float can't hold all bits of a key: the largest keys would round up to 1.
    return int.from_bytes(key[:4], "big") / 2**32


class StreamVersions:
    """Bounded memory of versions by stream; the oldest entries are dropped first.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.

    Examples
    --------
    >>> streams = StreamVersions(lambda: 0.0)
    >>> streams.note(b"a", "v1")
    >>> streams.find(b"a"), streams.find(b"b")
    ('v1', '')
    >>> streams.note(b"a", "v2")
    >>> streams.find(b"a")
    ''
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._streams: OrderedDict[StreamKey, tuple[str, float]] = OrderedDict()

    def note(self, key: StreamKey, version: str) -> None:
        """Record the version of a stream."""
        known = self._streams.get(key)
        if known is not None:
            if known[0] != version:
                self._streams[key] = (_AMBIGUOUS, known[1])
            return
        now_s = self._clock()
        self._streams[key] = (version, now_s)
        self._drop_old(now_s)

    def find(self, key: StreamKey) -> str:
        """Return the version of a stream; empty if it is not known for certain."""
        known = self._streams.get(key)
        return known[0] if known is not None else ""

    def _drop_old(self, now_s: float) -> None:
        while self._streams:
            oldest = next(iter(self._streams))
            expired = self._streams[oldest][1] < now_s - _RETENTION_S
            if not expired and len(self._streams) <= _MAX_STREAMS:
                return
            del self._streams[oldest]


class UntoldStreams:
    """Streams that began here while their pool had one version, so that no router was told.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._by_pool: dict[str, OrderedDict[StreamKey, tuple[str, float]]] = {}

    def add(self, pool: str, key: StreamKey, version: str, limit_s: float) -> None:
        """Add a stream, and drop those that began longer ago than ``limit_s``."""
        streams = self._by_pool.setdefault(pool, OrderedDict())
        now_s = self._clock()
        streams[key] = (version, now_s)
        while len(streams) > _MAX_STREAMS or next(iter(streams.values()))[1] < now_s - limit_s:
            streams.popitem(last=False)

    def take(self, pool: str) -> list[tuple[StreamKey, str]]:
        """Return the streams of a pool, and forget that they are to be told."""
        streams = self._by_pool.pop(pool, {})
        return [(key, version) for key, (version, _) in streams.items()]
