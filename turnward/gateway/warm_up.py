# SPDX-License-Identifier: BSD-3-Clause
"""Which router may send to an endpoint that is cold, and how often.

A cold endpoint bears a given rate of requests, from all routers together, and falls over well above
that. The bound has to hold without a coordinator, and at routers that no longer hear each other.
So the rate is dealt out by rendezvous hashing over the members of the fleet: as many routers as
the endpoint bears requests a second may send it one a second each, all others nothing. A
cut changes nothing in this, as members that are silent are dealt their part all the same.

When the cold time is over, all routers would find the same empty endpoint at once. The number of
routers that may choose it therefore grows from those who warmed it up to all, doubling in each
step of the ramp.

Two routers with different views of the members may both take themselves for chosen. Views differ
while members are added, which are few beside those that are there; a router that has not read
the members' table sends nothing to a cold endpoint.
"""

from collections.abc import Callable

import msgspec

from turnward.gateway.member_ranks import MemberRanks

__all__ = ["Allowance", "WarmUp", "WarmUpShares"]

#: Seconds in which the number of routers that may choose a warm endpoint doubles: as old as word of
#: others' requests is in a fleet of two levels, so most of each step is seen before the next one.
_RAMP_STEP_S = 0.4


class Allowance(msgspec.Struct, frozen=True):
    """One router's part of what a cold endpoint bears.

    Attributes
    ----------
    interval_s : float
        Least time between two of its requests there; infinite when it may send none.
    rank : int
        How many members come before it for this endpoint.
    chosen : int
        How many members may send.
    """

    interval_s: float
    rank: int
    chosen: int


class WarmUpShares:
    """Deals out what cold endpoints bear.

    Parameters
    ----------
    ranks : MemberRanks
        The members of the fleet in the order in which they hold parts.
    """

    def __init__(self, ranks: MemberRanks):
        self._ranks = ranks

    @property
    def members(self) -> int:
        """How many routers may exist."""
        return self._ranks.members

    def allowance(self, endpoint_id: str, requests_per_s: float) -> Allowance:
        """Return this router's part of a rate."""
        chosen = max(1, min(self.members, int(requests_per_s)))
        rank = self._ranks.of(endpoint_id)
        if rank >= chosen or not self._ranks.known:
            return Allowance(float("inf"), rank, chosen)
        # Whole requests a second for each, so that no sliding second holds more than the rate.
        each_per_s = max(1, int(requests_per_s) // chosen)
        return Allowance(1.0 / min(each_per_s, requests_per_s), rank, chosen)


class WarmUp:
    """How far one endpoint has warmed up, as this router knows.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.

    Attributes
    ----------
    cold_until_s : float
        When it will be warm; a time long past when it always was.
    """

    __slots__ = ("_clock", "_sent_s", "cold_until_s")

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._sent_s = -1e9
        self.cold_until_s = -1e9

    def note_cold(self, for_s: float) -> None:
        """Note that the endpoint is cold for some time from now."""
        if for_s > 0:
            self.cold_until_s = max(self.cold_until_s, self._clock() + for_s)

    def note_sent(self) -> None:
        """Note that this router sends the endpoint a request."""
        self._sent_s = self._clock()

    @property
    def cold_for_s(self) -> float:
        """How long it stays cold."""
        return max(0.0, self.cold_until_s - self._clock())

    def ramp_finished(self, members: int) -> bool:
        """Tell whether the endpoint is warm, and its ramp over."""
        warm_for_s = self._clock() - self.cold_until_s
        return warm_for_s >= _RAMP_STEP_S * members.bit_length()

    def permits(self, allowance: Allowance) -> bool:
        """Tell whether this router may send it a request now."""
        now_s = self._clock()
        warm_for_s = now_s - self.cold_until_s
        if warm_for_s < 0:
            return now_s - self._sent_s >= allowance.interval_s
        doublings = int(warm_for_s / _RAMP_STEP_S)
        return allowance.rank < allowance.chosen << min(doublings, 20)
