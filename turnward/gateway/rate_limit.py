# SPDX-License-Identifier: BSD-3-Clause
"""Rate limits that endpoints announce for all routers together, and this router's share of them.

No router sees an endpoint's whole load, so a rate is divided among the members of the fleet: a few
of them, chosen by rendezvous hashing, hold an equal share each and send one request per interval;
all others send nothing. In any window, the endpoint thus gets at most what the rate allows and one
request more per holder, even during a network partition, because silent members keep their share.

Routers without a share would not notice that the limit changed or was lifted. Those that receive it
from the endpoint announce it to them with its age; the newest wins. Each update names the router
process that observed it, so that no update is taken for a new one after it was forwarded: ages do
not include transit times, and an update that is forwarded often enough would never expire.

If the holders are down or unreachable, a router without a share sends a probe after a long silence.
The silence grows with the router's rank, which keeps probes rare.
"""

import msgspec

__all__ = ["RateLimit", "RateShare", "RateLimitUpdate"]

#: Lowest rate that is enforced, in requests per second. At 0 no router would ever send a request
#: and notice that the limit was raised.
_MIN_RATE_PER_S = 0.1
#: Number of holders: at most the requests that the rate allows in this time, and at most those that
#: it allows in a second plus some. More holders use the rate better when each router has few
#: requests, but each may send one request more at the same moment.
_HOLDERS_SPAN_S = 4.0
_MAX_EXTRA_HOLDERS = 3
#: Silence after which a router without a share may probe the endpoint, and the number of intervals
#: of the rate added for each member that ranks before it.
_PROBE_AFTER_S = 5.0
_PROBE_INTERVALS = 4.0
#: Time for which responses without a limit are announced after one was lifted.
_LIFT_ANNOUNCE_S = 3.0
#: Time by which another router's update that lifts a limit must be later than the last announcement
#: of the limit, as responses and messages may overtake each other.
_LIFT_MARGIN_S = 0.5


class RateShare(msgspec.Struct, frozen=True):
    """One router's share of a rate.

    Attributes
    ----------
    rank : int
        Number of members that rank before it for this endpoint.
    holders : int
        Number of members that hold a share.
    interval_s : float
        Minimum time between two requests of one holder.
    probe_after_s : float
        Silence about the limit after which a router without a share sends a probe.
    probe_interval_s : float
        Minimum time between two probes of a router without a share.
    """

    rank: int
    holders: int
    interval_s: float
    probe_after_s: float
    probe_interval_s: float

    @classmethod
    def from_rate(cls, per_s: float, rank: int, members: int) -> "RateShare":
        """Return the share of the member of a rank.

        Examples
        --------
        >>> RateShare.from_rate(2.0, rank=0, members=300)
        RateShare(rank=0, holders=5, interval_s=2.5, probe_after_s=5.0, probe_interval_s=605.0)
        """
        per_s = max(_MIN_RATE_PER_S, per_s)
        max_holders = min(int(per_s * _HOLDERS_SPAN_S), int(per_s) + _MAX_EXTRA_HOLDERS)
        holders = max(1, min(members, max_holders))
        probe_after_s = _PROBE_AFTER_S + _PROBE_INTERVALS * rank / per_s
        probe_interval_s = _PROBE_AFTER_S + _PROBE_INTERVALS * members / per_s
        return cls(rank, holders, holders / per_s, probe_after_s, probe_interval_s)

    @property
    def is_holder(self) -> bool:
        """Whether this router holds a share."""
        return self.rank < self.holders


class RateLimit:
    """The latest rate limit of one endpoint incarnation, and this router's last request to it.

    Attributes
    ----------
    per_s : float or None
        Requests per second from all routers together; None if the limit was lifted.
    announced_s : float
        When a response last announced it, on the local clock.
    received_s : float
        When this router received the announcement.
    observer, observed_ms : str, int
        The router process that received that response, and when, on its own clock.

    Examples
    --------
    >>> limit = RateLimit("me")
    >>> limit.observe(1.5, now_s=1.0), limit.observe(1.5, now_s=2.0)
    (True, False)
    >>> limit.merge(RateLimitUpdate("e-1", None, 900, "other", 70), now_s=2.5)
    False
    """

    __slots__ = (
        "_last_observed_ms",
        "_lifted_s",
        "_process_name",
        "_sent_s",
        "announced_s",
        "observed_ms",
        "observer",
        "per_s",
        "received_s",
    )

    def __init__(self, process_name: str):
        self.per_s: float | None = None
        self.announced_s = -1e9
        self.received_s = -1e9
        self.observer = self._process_name = process_name
        self.observed_ms = 0
        self._lifted_s = -1e9
        self._sent_s = -1e9
        #: Time of the last update by observer.
        self._last_observed_ms: dict[str, int] = {}

    def observe(self, per_s: float | None, now_s: float) -> bool:
        """Apply the limit in a response; return True if it changed."""
        self.observer = self._process_name
        self.observed_ms = round(now_s * 1_000)
        return self._set(per_s, now_s, now_s)

    def merge(self, update: "RateLimitUpdate", now_s: float) -> bool:
        """Merge an update of another router; return True if the limit changed."""
        if (
            update.observed_ms <= self._last_observed_ms.get(update.observer, -1)
            or update.observer == self._process_name
        ):
            return False
        self._last_observed_ms[update.observer] = update.observed_ms
        announced_s = now_s - update.age_ms / 1_000
        lifts = update.per_s is None and self.per_s is not None
        if announced_s < self.announced_s + (_LIFT_MARGIN_S if lifts else 0.0):
            return False
        self.observer = update.observer
        self.observed_ms = update.observed_ms
        return self._set(update.per_s, announced_s, now_s)

    def _set(self, per_s: float | None, announced_s: float, now_s: float) -> bool:
        self.received_s = now_s
        previous, self.per_s = self.per_s, per_s
        self.announced_s = announced_s
        if per_s is None and previous is not None:
            self._lifted_s = announced_s
        return previous != per_s

    def observe_unlimited(self, sent_s: float, now_s: float) -> bool:
        """Apply a response without a limit; return True if it lifts one.

        Only the response to a request that was sent after the limit was last announced lifts it, as
        others may have begun earlier. For some time after that, each response without a limit is
        announced, because routers ignore one that precedes the last announcement they received.
        """
        recently_lifted = self.per_s is None and now_s < self._lifted_s + _LIFT_ANNOUNCE_S
        lifts = self.per_s is not None and sent_s > self.announced_s
        return (recently_lifted or lifts) and self.observe(None, now_s)

    def note_sent(self, now_s: float) -> None:
        """Record that this router sends the endpoint a request."""
        self._sent_s = now_s

    def available_in_s(self, share: RateShare, now_s: float) -> float:
        """Return the time until this router may send a request; 0 if it may now."""
        if self.per_s is None:
            return 0.0
        if share.is_holder:
            return max(0.0, self._sent_s + share.interval_s - now_s)
        probe_s = max(self.announced_s + share.probe_after_s, self._sent_s + share.probe_interval_s)
        return max(0.0, probe_s - now_s)


class RateLimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit that an endpoint announced to some router; array on the wire.

    Attributes
    ----------
    endpoint : str
        Incarnation.
    per_s : float or None
        Requests per second from all routers together; None if the limit was lifted.
    age_ms : int
        Age of the announcement when the message is sent.
    observer : str
        Router process that received the announcement.
    observed_ms : int
        When, on the monotonic clock of its machine.
    """

    endpoint: str
    per_s: float | None
    age_ms: int
    observer: str
    observed_ms: int
