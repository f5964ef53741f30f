# SPDX-License-Identifier: BSD-3-Clause
"""Exchange of endpoint feedback among routers.

An endpoint announces draining and backoff to each router separately, so every router of a
fleet would send it one useless request to find out. Feedback received from another router is
advisory: the endpoint is deprioritized, but still chosen if no other is left, because the backoff
was requested of that other router only.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

__all__ = ["FeedbackExchange", "FeedbackUpdate"]

#: Time for which an update is announced: many rounds of messages, as most of them may be lost.
_ANNOUNCE_S = 5.0
#: Bounds the size of a message.
_MAX_UPDATES = 32
#: Endpoints remembered, so that an update received back from peers is not announced again.
_MAX_KNOWN = 1_000
#: A backoff is new only if it ends later than known by more than this, as messages take time.
_MIN_EXTENSION_S = 0.5


class FeedbackUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Feedback that an endpoint gave some router; array on the wire.

    Attributes
    ----------
    endpoint : str
        Incarnation.
    draining : bool
        Whether it is draining.
    backoff_left_ms : int
        Remaining backoff when the message is sent; 0 if there is none.
    """

    endpoint: str
    draining: bool
    backoff_left_ms: int


class _Known(msgspec.Struct):
    """Last known feedback of an endpoint, on the local clock."""

    draining: bool = False
    backoff_until_s: float = 0.0
    updated_s: float = 0.0


class FeedbackExchange:
    """The feedback that one router received, from endpoints and from other routers.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    on_update : callable
        Called with each ``FeedbackUpdate`` of another router that is new.

    Examples
    --------
    >>> exchange = FeedbackExchange(lambda: 0.0, print)
    >>> exchange.record("e-1", draining=False, backoff_s=2.0)
    >>> exchange.updates()
    (FeedbackUpdate(endpoint='e-1', draining=False, backoff_left_ms=2000),)
    >>> exchange.merge([FeedbackUpdate("e-1", False, 1_900), FeedbackUpdate("e-2", True, 0)])
    FeedbackUpdate(endpoint='e-2', draining=True, backoff_left_ms=0)
    """

    def __init__(self, clock: Callable[[], float], on_update: Callable[[FeedbackUpdate], None]):
        self._clock = clock
        self._on_update = on_update
        #: By incarnation, least recently updated first.
        self._known: OrderedDict[str, _Known] = OrderedDict()

    def record(self, endpoint: str, draining: bool, backoff_s: float) -> None:
        """Record feedback that an endpoint gave this router."""
        self._merge(endpoint, draining, backoff_s)

    def merge(self, updates: Iterable[FeedbackUpdate]) -> None:
        """Merge updates of another router."""
        for update in updates:
            if self._merge(update.endpoint, update.draining, update.backoff_left_ms / 1_000):
                self._on_update(update)

    def updates(self) -> tuple[FeedbackUpdate, ...]:
        """Return the recent updates to announce, newest first."""
        now_s = self._clock()
        updates = []
        for endpoint, known in reversed(self._known.items()):
            if known.updated_s < now_s - _ANNOUNCE_S or len(updates) == _MAX_UPDATES:
                break
            backoff_left_ms = max(0, round((known.backoff_until_s - now_s) * 1_000))
            if known.draining or backoff_left_ms:
                updates.append(FeedbackUpdate(endpoint, known.draining, backoff_left_ms))
        return tuple(updates)

    def _merge(self, endpoint: str, draining: bool, backoff_s: float) -> bool:
        """Merge feedback; return False if it was known."""
        now_s = self._clock()
        known = self._known.setdefault(endpoint, _Known())
        until_s = now_s + backoff_s
        longer = backoff_s > 0 and until_s > known.backoff_until_s + _MIN_EXTENSION_S
        if not longer and (known.draining or not draining):
            return False
        known.draining = known.draining or draining
        known.backoff_until_s = max(known.backoff_until_s, until_s if backoff_s else 0.0)
        known.updated_s = now_s
        self._known.move_to_end(endpoint)
        while len(self._known) > _MAX_KNOWN:
            self._known.popitem(last=False)
        return True
