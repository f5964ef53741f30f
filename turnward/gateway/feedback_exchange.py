# SPDX-License-Identifier: BSD-3-Clause
"""What endpoints said to some router, told to the others as news.

An endpoint tells each router by itself that it leaves or wants rest. In a fleet of 300 routers each
would send it one request in vain to hear so. Told by another router, the word is advice: the
endpoint is put last, and still chosen where nothing else is left. It never binds, since the rest
was asked of another router, and it never makes an endpoint gone.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

import msgspec

__all__ = ["FeedbackUpdate", "FeedbackExchange"]

#: Seconds for which a word is told after it was learnt: many rounds of messages, most of which may
#: be lost.
_NEWS_S = 5.0
#: Most words in one message, which bounds its size.
_TOLD_LIMIT = 32
#: Words remembered so that none is taken for news again when it comes back from others.
_KNOWN_LIMIT = 1_000
#: Seconds by which a rest must end later than known to be news; ages leave out the way.
_LATER_S = 0.5


class FeedbackUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint said to some router.

    Attributes
    ----------
    endpoint : str
        The incarnation.
    leaves : bool
        It said that it leaves.
    rest_left_ms : int
        For how long it still wants rest, as of when this is sent; 0: it does not.
    """

    endpoint: str
    draining: bool
    rest_left_ms: int


class _Known(msgspec.Struct):
    """A word, by the own clock."""

    draining: bool = False
    rest_until_s: float = 0.0
    learnt_s: float = 0.0


class FeedbackExchange:
    """The words that one router has heard, from endpoints and from other routers.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    on_told : callable
        Called with each ``FeedbackUpdate`` of another router that is news.

    Examples
    --------
    >>> news = FeedbackExchange(lambda: 0.0, print)
    >>> news.note("e-1", leaves=False, rest_s=2.0)
    >>> news.words()
    (FeedbackUpdate(endpoint='e-1', leaves=False, rest_left_ms=2000),)
    >>> news.take_in([FeedbackUpdate("e-1", False, 1_900), FeedbackUpdate("e-2", True, 0)])
    FeedbackUpdate(endpoint='e-2', leaves=True, rest_left_ms=0)
    """

    def __init__(self, clock: Callable[[], float], on_told: Callable[[FeedbackUpdate], None]):
        self._clock = clock
        self._on_told = on_told
        #: In the order in which something was last learnt.
        self._known: OrderedDict[str, _Known] = OrderedDict()

    def note(self, endpoint: str, draining: bool, rest_s: float) -> None:
        """Note what an endpoint said to this router."""
        self._learn(endpoint, draining, rest_s)

    def take_in(self, words: Iterable[FeedbackUpdate]) -> None:
        """Take in what another router tells."""
        for word in words:
            if self._learn(word.endpoint, word.draining, word.rest_left_ms / 1_000):
                self._on_told(word)

    def words(self) -> tuple[FeedbackUpdate, ...]:
        """Return what others are told: what was learnt lately, the newest first."""
        now_s = self._clock()
        told = []
        for endpoint, known in reversed(self._known.items()):
            if known.learnt_s < now_s - _NEWS_S or len(told) == _TOLD_LIMIT:
                break
            rest_left_ms = max(0, round((known.rest_until_s - now_s) * 1_000))
            if known.draining or rest_left_ms:
                told.append(FeedbackUpdate(endpoint, known.draining, rest_left_ms))
        return tuple(told)

    def _learn(self, endpoint: str, draining: bool, rest_s: float) -> bool:
        """Take in a word; False when it was known."""
        now_s = self._clock()
        known = self._known.setdefault(endpoint, _Known())
        until_s = now_s + rest_s
        longer = rest_s > 0 and until_s > known.rest_until_s + _LATER_S
        if not longer and (known.draining or not draining):
            return False
        known.draining = known.draining or draining
        known.rest_until_s = max(known.rest_until_s, until_s if rest_s else 0.0)
        known.learnt_s = now_s
        self._known.move_to_end(endpoint)
        while len(self._known) > _KNOWN_LIMIT:
            self._known.popitem(last=False)
        return True
