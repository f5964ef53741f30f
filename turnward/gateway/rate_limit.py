# SPDX-License-Identifier: BSD-3-Clause
"""Rates that endpoints say they bear from all routers together, and this router's part of them.

No router sees alone how much an endpoint gets, so a rate is dealt out among the members of the
fleet: a few of them, chosen by rendezvous hashing, hold an equal part each and send one request in
each interval; all others send nothing. In any span that is what the rate allows and one request
more for each holder, however the routers hear each other, since silent members keep their part.

Routers without a part would not learn that the endpoint names another rate, or none any more. They
are told by those that hear it, with the age of what was heard; the newest counts. Each word names
its witness, so that none passes for a new one on its way round: ages leave out the time under way,
and a word that is passed on for long enough would never grow old.

Where nobody is heard, because the holders are gone or out of reach, a router sends one request
after a long silence, the longer the later it ranks, so that such requests stay rare beside those of
the holders.
"""

import msgspec

__all__ = ["RateLimit", "RateShare", "ToldLimit"]

#: Least rate that is dealt out, in requests a second. An endpoint that names less, or 0, would
#: else never be asked again, and nobody would learn that it bears more.
_LEAST_PER_S = 0.1
#: Holders of parts: at most as many as the rate allows requests in this span, in seconds, and at
#: most this many more than it allows a second. More holders use a rate better when requests are few
#: at each router, and may each send one request more at the same moment.
_HOLDERS_SPAN_S = 4.0
_HOLDERS_MORE = 3
#: Seconds of silence after which a router without a part may ask the endpoint itself, and by how
#: many intervals of the rate more for each member that comes before it.
_ASK_AFTER_S = 5.0
_ASK_INTERVALS = 4.0
#: Seconds for which answers without a limit are told as such after one was lifted.
_LIFTED_S = 3.0
#: Seconds by which another router's word that a limit is lifted must be later than the last that
#: named one: answers and messages pass each other on their way.
_CROSSED_S = 0.5


class RateShare(msgspec.Struct, frozen=True):
    """One router's part of a rate.

    Attributes
    ----------
    rank : int
        How many members come before it for this endpoint.
    holders : int
        How many members hold a part.
    interval_s : float
        Least time between two requests of one holder.
    ask_after_s : float
        For how long a router without a part hears nothing of the limit before it asks.
    ask_again_s : float
        Least time between two requests of a router without a part.
    """

    rank: int
    holders: int
    interval_s: float
    ask_after_s: float
    ask_again_s: float

    @classmethod
    def from_rate(cls, per_s: float, rank: int, members: int) -> "RateShare":
        """Return the part of the member of a rank.

        Examples
        --------
        >>> RateShare.from_rate(2.0, rank=0, members=300)
        RateShare(rank=0, holders=5, interval_s=2.5, ask_after_s=5.0, ask_again_s=605.0)
        """
        per_s = max(_LEAST_PER_S, per_s)
        most = min(int(per_s * _HOLDERS_SPAN_S), int(per_s) + _HOLDERS_MORE)
        holders = max(1, min(members, most))
        ask_after_s = _ASK_AFTER_S + _ASK_INTERVALS * rank / per_s
        ask_again_s = _ASK_AFTER_S + _ASK_INTERVALS * members / per_s
        return cls(rank, holders, holders / per_s, ask_after_s, ask_again_s)

    @property
    def holds(self) -> bool:
        """Whether this router holds a part."""
        return self.rank < self.holders


class RateLimit:
    """What one start of an endpoint last said that it bears, and what this router sent there.

    Attributes
    ----------
    per_s : float or None
        Requests a second from all routers together; None when it names no limit any more.
    heard_s : float
        When an answer last said so, by the own clock.
    learnt_s : float
        When this router learnt of it.
    witness, witness_ms : str, int
        The router's process that heard that answer, and when by its own clock.

    Examples
    --------
    >>> limit = RateLimit("me")
    >>> limit.hear(1.5, now_s=1.0), limit.hear(1.5, now_s=2.0)
    (True, False)
    >>> limit.hear_told(ToldLimit("e-1", None, 900, "other", 70), now_s=2.5)
    False
    """

    __slots__ = (
        "_lifted_s",
        "_own_name",
        "_seen_ms",
        "_sent_s",
        "heard_s",
        "learnt_s",
        "per_s",
        "witness",
        "witness_ms",
    )

    def __init__(self, own_name: str):
        self.per_s: float | None = None
        self.heard_s = -1e9
        self.learnt_s = -1e9
        self.witness = self._own_name = own_name
        self.witness_ms = 0
        self._lifted_s = -1e9
        self._sent_s = -1e9
        #: The last word of each witness.
        self._seen_ms: dict[str, int] = {}

    def hear(self, per_s: float | None, now_s: float) -> bool:
        """Take in what an answer says now; True when that changes the limit."""
        self.witness = self._own_name
        self.witness_ms = round(now_s * 1_000)
        return self._take(per_s, now_s, now_s)

    def hear_told(self, told: "ToldLimit", now_s: float) -> bool:
        """Take in what an answer said to another router; True when that changes the limit."""
        if told.witness_ms <= self._seen_ms.get(told.witness, -1) or told.witness == self._own_name:
            return False
        self._seen_ms[told.witness] = told.witness_ms
        at_s = now_s - told.age_ms / 1_000
        lifts = told.per_s is None and self.per_s is not None
        if at_s < self.heard_s + (_CROSSED_S if lifts else 0.0):
            return False
        self.witness = told.witness
        self.witness_ms = told.witness_ms
        return self._take(told.per_s, at_s, now_s)

    def _take(self, per_s: float | None, at_s: float, now_s: float) -> bool:
        self.learnt_s = now_s
        before, self.per_s = self.per_s, per_s
        self.heard_s = at_s
        if per_s is None and before is not None:
            self._lifted_s = at_s
        return before != per_s

    def hear_none(self, sent_s: float, now_s: float) -> bool:
        """Take in an answer that names no limit; True when that lifts one.

        Only the answer to a request that was sent after a limit was last named tells that it is
        lifted: others may have been begun before. For a while after, each is told to others, as
        one that came before the last word of a limit is passed over by them.
        """
        lately_lifted = self.per_s is None and now_s < self._lifted_s + _LIFTED_S
        lifts = self.per_s is not None and sent_s > self.heard_s
        return (lately_lifted or lifts) and self.hear(None, now_s)

    def note_sent(self, now_s: float) -> None:
        """Note that this router sends the endpoint a request."""
        self._sent_s = now_s

    def opens_in_s(self, share: RateShare, now_s: float) -> float:
        """Return after which time this router may send a request; 0 when it may now."""
        if self.per_s is None:
            return 0.0
        if share.holds:
            return max(0.0, self._sent_s + share.interval_s - now_s)
        asks_s = max(self.heard_s + share.ask_after_s, self._sent_s + share.ask_again_s)
        return max(0.0, asks_s - now_s)


class ToldLimit(msgspec.Struct, frozen=True, array_like=True):
    """What an endpoint said to some router of the rate that it bears.

    Attributes
    ----------
    endpoint : str
        The incarnation.
    per_s : float or None
        Requests a second from all routers together; None: it names no limit any more.
    age_ms : int
        How long ago it said so, as of when this is sent.
    witness : str
        The router's process that heard it.
    witness_ms : int
        When, by the steady clock of its machine.
    """

    endpoint: str
    per_s: float | None
    age_ms: int
    witness: str
    witness_ms: int
