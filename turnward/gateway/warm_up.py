# SPDX-License-Identifier: BSD-3-Clause
"""Limits which routers may send requests to a cold endpoint, and how often.

A cold endpoint sustains a limited rate of requests from all routers together and fails well above
it. The limit must hold without a coordinator, and also while routers cannot reach each other. The
rate is therefore divided by rendezvous hashing over the members of the fleet: as many routers as
the endpoint sustains requests per second may send one per second each, all others none. Members
that cannot be reached keep their share, so a network partition does not change the division.

When the cold time is over, all routers would choose the same empty endpoint at once. The number of
routers that may choose it therefore ramps up from those that warmed it up to all, doubling in each
step.

Two routers with different views of the membership may both consider themselves selected. Views
differ only while members are added, and those are few compared with the fleet. A router that has
not read the members' table sends nothing to a cold endpoint.
"""

from collections.abc import Callable

import msgspec

from turnward.gateway.member_ranks import MemberRanks

__all__ = ["Allowance", "WarmUp", "WarmUpShares"]

#: Time in which the number of routers that may choose a warm endpoint doubles. Updates about other
#: routers' requests are at most this old, so most of each step is visible before the next one.
_RAMP_STEP_S = 0.4


class Allowance(msgspec.Struct, frozen=True):
    """One router's share of the request rate of a cold endpoint.

    Attributes
    ----------
    interval_s : float
        Minimum time between two of its requests; infinite when it may send none.
    rank : int
        Number of members that rank before it for this endpoint.
    senders : int
        Number of members that may send.
    """

    interval_s: float
    rank: int
    senders: int


class WarmUpShares:
    """Divides the request rates of cold endpoints among the routers.

    Parameters
    ----------
    ranks : MemberRanks
        The ranks of the fleet's members.
    """

    def __init__(self, ranks: MemberRanks):
        self._ranks = ranks

    @property
    def members(self) -> int:
        """Upper bound of the number of routers."""
        return self._ranks.members

    def allowance(self, endpoint_id: str, requests_per_s: float) -> Allowance:
        """Return this router's share of an endpoint's rate."""
        senders = max(1, min(self.members, int(requests_per_s)))
        rank = self._ranks.rank_for(endpoint_id)
        if rank >= senders or not self._ranks.known:
            return Allowance(float("inf"), rank, senders)
        # Whole requests per second each, so that no sliding second exceeds the rate.
        each_per_s = max(1, int(requests_per_s) // senders)
        return Allowance(1.0 / min(each_per_s, requests_per_s), rank, senders)


class WarmUp:
    """Warm-up state of one endpoint, as known to this router.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    cold_s : callable, optional
        Returns how long the endpoint is cold after a start; it may get to know that later than
        the start.

    Examples
    --------
    >>> cold_s = 0.0
    >>> warm_up = WarmUp(lambda: 10.0, lambda: cold_s)
    >>> warm_up.note_start()
    >>> cold_s = 3.0
    >>> warm_up.cold_for_s
    3.0
    """

    __slots__ = ("_clock", "_cold_s", "_cold_until_s", "_last_sent_s", "_started_s")

    def __init__(self, clock: Callable[[], float], cold_s: Callable[[], float] = lambda: 0.0):
        self._clock = clock
        self._cold_s = cold_s
        self._cold_until_s = -1e9
        self._last_sent_s = -1e9
        self._started_s = -1e9

    @property
    def cold_until_s(self) -> float:
        """When it will be warm; a time long past if it was never cold."""
        cold_s = self._cold_s()
        if cold_s <= 0:
            return self._cold_until_s
        return max(self._cold_until_s, self._started_s + cold_s)

    def note_start(self) -> None:
        """Note that the endpoint is as cold as after a start now."""
        self._started_s = self._clock()

    def note_cold(self, duration_s: float) -> None:
        """Note that the endpoint is cold for this time from now."""
        if duration_s > 0:
            self._cold_until_s = max(self._cold_until_s, self._clock() + duration_s)

    def note_sent(self) -> None:
        """Note that this router sends a request now."""
        self._last_sent_s = self._clock()

    @property
    def cold_for_s(self) -> float:
        """Remaining cold time."""
        return max(0.0, self.cold_until_s - self._clock())

    def ramp_finished(self, members: int) -> bool:
        """Return whether the endpoint is warm and all routers may choose it."""
        warm_for_s = self._clock() - self.cold_until_s
        return warm_for_s >= _RAMP_STEP_S * members.bit_length()

    def permits(self, allowance: Allowance, may_be_cold: bool = False) -> bool:
        """Return whether this router may send a request now."""
        now_s = self._clock()
        warm_for_s = now_s - self.cold_until_s
        if warm_for_s < 0 or may_be_cold:
            return now_s - self._last_sent_s >= allowance.interval_s
        doublings = int(warm_for_s / _RAMP_STEP_S)
        return allowance.rank < allowance.senders << min(doublings, 20)
