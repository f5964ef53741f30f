# SPDX-License-Identifier: BSD-3-Clause
"""The resumable streams that one router passes on, or that broke off there lately."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import islice

import msgspec

from turnward.software_versions.stream_versions import StreamKey

__all__ = ["OpenStreams"]

_MAX_STREAMS = 20_000
#: Time for which streams of an earlier process are kept; longer than callers try.
_INHERITED_S = 120.0


class _OpenStream(msgspec.Struct, frozen=True):
    """What is known of a stream; ``pool`` is None if an earlier process passed it on."""

    pool: str | None
    version: str
    expires_s: float


class OpenStreams:
    """Versions of the streams that may be resumed if this router is killed.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.

    Examples
    --------
    >>> streams = OpenStreams(lambda: 0.0)
    >>> streams.add("pool", b"a", "v1", limit_s=40.0)
    >>> streams.add("other", b"b", "v1", limit_s=40.0)
    >>> streams.latest(10, lambda pool: pool == "pool")
    {b'a': 'v1'}
    >>> streams.remove(b"a")
    >>> streams.latest(10, lambda pool: pool == "pool")
    {}
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._streams: OrderedDict[StreamKey, _OpenStream] = OrderedDict()

    def add(self, pool: str, key: StreamKey, version: str, limit_s: float) -> None:
        """Add a stream of a pool, which may be resumed for ``limit_s`` unless it ends whole."""
        self._add(key, _OpenStream(pool, version, self._clock() + limit_s))

    def inherit(self, streams: Iterable[tuple[StreamKey, str]]) -> None:
        """Add streams of an earlier process on the same node."""
        expires_s = self._clock() + _INHERITED_S
        for key, version in streams:
            if key not in self._streams:
                self._add(key, _OpenStream(None, version, expires_s))

    def remove(self, key: StreamKey) -> None:
        """Remove a stream that has ended whole."""
        self._streams.pop(key, None)

    def latest(self, count: int, is_mixed: Callable[[str], bool]) -> dict[StreamKey, str]:
        """Return the versions of the streams added last, of mixed pools and inherited ones."""
        now_s = self._clock()
        selected = (
            (key, stream.version)
            for key, stream in reversed(self._streams.items())
            if stream.expires_s > now_s and (stream.pool is None or is_mixed(stream.pool))
        )
        return dict(islice(selected, count))

    def _add(self, key: StreamKey, stream: _OpenStream) -> None:
        self._streams[key] = stream
        self._streams.move_to_end(key)
        now_s = self._clock()
        while self._streams:
            oldest = next(iter(self._streams.values()))
            if oldest.expires_s > now_s and len(self._streams) <= _MAX_STREAMS:
                return
            self._streams.popitem(last=False)
