# SPDX-License-Identifier: BSD-3-Clause
"""Whether one start of an endpoint takes work, by its own word and by what this router guesses.

Its own word to this router binds: an endpoint that leaves, that wants rest, or whose address
answers as another one, is sent nothing, whatever else is left. Guesses after failures, and what it
said to other routers, only put it last. No weaker word ends a stronger one, in whatever order they
come:

- *leaves*, by an answer, lasts as long as this start: an entry that says otherwise may have been
  written before, and two clocks can't tell. By the entry alone it ends with the entry's next
  version, since the store tells which of two versions is later.
- *gone* was said by the process that has the address now. It ends with a changed entry, and
  after a while becomes a guess: a real end takes the entry away by then.
- *rests* ends with its time; of two wishes the later end counts.
"""

from enum import StrEnum

from turnward.gateway.endpoint_feedback import EndpointFeedback

__all__ = ["Availability", "UnavailableReason"]

#: Seconds an endpoint is put last after failures in a row: the first, and at most.
_DOUBT_S = 0.5
_DOUBT_LIMIT_S = 4.0
#: Seconds an endpoint is put last after it turned requests away: the first, a round of messages
#: among routers, and at most, which is how late one that has recovered is used again.
_TURNED_AWAY_S = 0.25
_TURNED_AWAY_LIMIT_S = 2.0
#: Failures in a row that put an endpoint last, where single ones may be the request's fault.
_FAILURES_TO_DOUBT = 2
#: Seconds for which the word binds that another process has the address: an entry that is not
#: written any more is gone everywhere by then.
_GONE_S = 10.0
#: Seconds for which an endpoint is put last of which another router tells that it leaves: planned
#: ends take some seconds, and one that serves on for longer is asked itself.
_ADVICE_S = 60.0
#: Seconds by which a wish for rest must last longer than the one before to be told as news: those
#: that were under way when it came are turned away at about the same time.
_NEWS_S = 0.5


class UnavailableReason(StrEnum):
    """Why an endpoint is sent nothing; the strongest first."""

    REPLACED = "gone"
    DRAINING = "leaves"
    BACKOFF = "rests"
    RATE_LIMITED = "limited"


class Availability:
    """Whether one start of an endpoint takes work.

    Attributes
    ----------
    entry_draining : bool
        What its entry says now.
    failures : int
        In a row.
    lost : bool
        It failed and has not answered since.

    Examples
    --------
    >>> availability = Availability()
    >>> availability.heed(EndpointFeedback(rest_s=2.0), now_s=10.0)
    <Hold.RESTS: 'rests'>
    >>> availability.hold(11.0), availability.hold(12.5)
    (<Hold.RESTS: 'rests'>, None)
    """

    __slots__ = (
        "_advised_until_s",
        "_doubted_until_s",
        "_gone_s",
        "_leaves",
        "_rest_until_s",
        "_trial",
        "_turned_away",
        "_turned_away_s",
        "entry_draining",
        "failures",
        "lost",
    )

    def __init__(self, entry_draining: bool = False):
        self.entry_draining = entry_draining
        self.failures = 0
        self.lost = False
        self._leaves = False
        self._gone_s: float | None = None
        self._rest_until_s = 0.0
        self._advised_until_s = 0.0
        self._doubted_until_s = 0.0
        self._trial = False
        self._turned_away = 0
        self._turned_away_s = 0.0

    # Its own word.

    @property
    def draining(self) -> bool:
        """Whether its entry or an answer says that it leaves."""
        return self.entry_draining or self._leaves

    def unavailable_reason(self, now_s: float) -> UnavailableReason | None:
        """Return why it is sent nothing now, None when it takes work."""
        if self._gone_s is not None and now_s - self._gone_s < _GONE_S:
            return UnavailableReason.REPLACED
        if self.draining:
            return UnavailableReason.DRAINING
        return UnavailableReason.BACKOFF if now_s < self._rest_until_s else None

    def backoff_left_s(self, now_s: float) -> float:
        """Return for how long it still wants nothing; 0 if it has not asked for rest."""
        return max(0.0, self._rest_until_s - now_s)

    def apply_feedback(
        self, word: EndpointFeedback, now_s: float, spread: float = 1.0
    ) -> UnavailableReason | None:
        """Take in what an answer says; return the hold that is news, None if nothing is.

        Parameters
        ----------
        spread : float
            From 1 on; lengthens a rest, so that routers do not all come back at once.
        """
        news = None
        if word.rest_s:
            until_s = now_s + word.rest_s * spread
            if until_s > self._rest_until_s + _NEWS_S or now_s >= self._rest_until_s:
                news = UnavailableReason.BACKOFF
            self._rest_until_s = max(self._rest_until_s, until_s)
        if word.draining:
            news = news if self._leaves else UnavailableReason.DRAINING
            self._leaves = True
        return news

    def mark_replaced(self, now_s: float) -> None:
        """Note that another process answers at its address."""
        self._gone_s = now_s

    def apply_entry(self, draining: bool) -> None:
        """Take in a later version of its entry."""
        self.entry_draining = draining
        self._gone_s = None

    # What this router guesses.

    def is_healthy(self, now_s: float, in_flight: int) -> bool:
        """Tell whether it need not be put last: it has not just failed, and none advises so."""
        if self._gone_s is not None or now_s < max(self._doubted_until_s, self._advised_until_s):
            return False
        # After a while one request at a time tries whether the endpoint is back.
        return not (self._trial and in_flight)

    def rejected(self, now_s: float, spread: float = 1.0) -> None:
        """Note that it turned a request away: it may well do so with the next.

        What turns all away has the most free places, and would draw the most.
        """
        self._turned_away += 1
        self._turned_away_s = now_s
        doubt_s = min(_TURNED_AWAY_LIMIT_S, _TURNED_AWAY_S * 2 ** min(self._turned_away - 1, 5))
        self._doubted_until_s = max(self._doubted_until_s, now_s + doubt_s * spread)

    def accepted(self, sent_s: float) -> None:
        """Note that it runs a request; what was sent before it turned one away tells nothing."""
        if sent_s > self._turned_away_s:
            self._turned_away = 0

    def apply_peer_feedback(self, draining: bool, rest_s: float, now_s: float) -> None:
        """Take in what the endpoint said to another router."""
        lasts_s = _ADVICE_S if draining else rest_s
        self._advised_until_s = max(self._advised_until_s, now_s + lasts_s)

    def suspected_for_s(self, now_s: float) -> float:
        """Return for how long it is put last after failures."""
        return max(0.0, self._doubted_until_s - now_s)

    def succeeded(self) -> bool:
        """Note an answer; True when the endpoint was taken for lost until now."""
        regained, self.lost = self.lost, False
        self.failures = 0
        self._trial = False
        return regained

    def failed(self, now_s: float, certain: bool, spread: float = 1.0) -> bool:
        """Note a failure; True when the endpoint is taken for lost from now on.

        Parameters
        ----------
        certain : bool
            Whether the endpoint can't be reached at all.
        spread : float
            Scales the time for which it is put last, so that routers do not all try again at once.
        """
        self.failures += 1
        self._trial = False
        if not certain and self.failures < _FAILURES_TO_DOUBT:
            return False
        doubt_s = min(_DOUBT_LIMIT_S, _DOUBT_S * 2 ** min(self.failures - 1, 5))
        self._doubted_until_s = now_s + doubt_s * spread
        self._trial = True
        newly_lost, self.lost = not self.lost, True
        return newly_lost
