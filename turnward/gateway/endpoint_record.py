# SPDX-License-Identifier: BSD-3-Clause
"""A router's record of one endpoint: load, cached prompt parts, availability and speed."""

from collections import OrderedDict
from collections.abc import Callable
from functools import partial

import msgspec

from turnward.gateway.abandoned_runs import AbandonedRuns
from turnward.gateway.availability import Availability
from turnward.gateway.configuration import EndpointEntry
from turnward.gateway.engine_speed import EventGapTracker, SpeedClass
from turnward.gateway.prompts import Prompt
from turnward.gateway.warm_up import WarmUp
from turnward.http1 import HeaderList
from turnward.software_versions import may_be_same_version

__all__ = ["EndpointRecord", "RemovedRecord"]

#: Limit of prompt parts remembered per endpoint.
_MAX_PARTS = 1_500
#: Time after which a prompt part is no longer assumed to be cached.
_PART_LIFETIME_S = 25.0
#: Time for which an endpoint stays in use after its entry lapsed along with many others. Most
#: entries return within it, and an endpoint that has ended must get no requests after 2 s,
#: connecting included.
_LAPSE_GRACE_S = 1.4


class EndpointRecord:
    """One endpoint as this router sees it.

    Parameters
    ----------
    entry : EndpointEntry
        The endpoint's entry in the store.
    make_pool : callable
        Returns the connection pool of an address; takes the address and a callback for the heads
        of answers.
    warm_up : WarmUp
        Warm-up state of the endpoint.
    on_head : callable
        Called with the record, status and headers of each response of the endpoint.

    Attributes
    ----------
    in_flight : int
        This router's own requests to it.
    opening : int
        This router's own requests that wait for a connection to it.
    prefill_tokens : int
        Prompt tokens of own requests whose first event has not arrived.
    availability : Availability
        Whether it accepts requests.
    abandoned : AbandonedRuns
        Own runs that were abandoned recently.
    gap_tracker : EventGapTracker
        Gaps between the events of own streams.
    speed_class : SpeedClass
        Its speed relative to the others of its pool.
    incarnation : str
        Identifies one start of the endpoint; a restarted endpoint gets a new record.
    warm_up : WarmUp
        Whether it is cold.
    lapsed_s : float or None
        When its entry lapsed along with many others; None while it has an entry.
    """

    __slots__ = (
        "_parts",
        "abandoned",
        "availability",
        "entry",
        "gap_tracker",
        "in_flight",
        "incarnation",
        "lapsed_s",
        "opening",
        "pool",
        "prefill_tokens",
        "speed_class",
        "warm_up",
    )

    def __init__(
        self,
        entry: EndpointEntry,
        make_pool: Callable,
        warm_up: WarmUp,
        on_head: Callable[["EndpointRecord", int, HeaderList], None],
    ):
        self.entry = entry
        self.incarnation = entry.incarnation
        self.pool = make_pool(entry.address, partial(on_head, self))
        self.in_flight = 0
        self.opening = 0
        self.prefill_tokens = 0
        self.availability = Availability(entry.leaving)
        self.abandoned = AbandonedRuns()
        self.warm_up = warm_up
        self.lapsed_s: float | None = None
        self.gap_tracker = EventGapTracker()
        self.speed_class = SpeedClass.USUAL
        self._parts: OrderedDict[int, float] = OrderedDict()

    @property
    def endpoint_id(self) -> str:
        """Id of the endpoint, the same for all its starts."""
        return self.entry.endpoint_id

    def matches_entry(self, entry: EndpointEntry) -> bool:
        """Return whether an entry belongs to the same process as this record.

        A process keeps its software version, whatever name it goes by.
        """
        same_place = entry.incarnation == self.incarnation and entry.address == self.entry.address
        return same_place and may_be_same_version(entry.version, self.entry.version)

    def remember(self, prompt: Prompt, now_s: float) -> None:
        """Note that the endpoint processes a prompt, and so caches its parts."""
        for part in prompt.parts:
            self._parts[part.prefix_hash] = now_s
            self._parts.move_to_end(part.prefix_hash)
        while len(self._parts) > _MAX_PARTS:
            self._parts.popitem(last=False)

    def cached_tokens(self, prompt: Prompt, now_s: float) -> int:
        """Return how many leading tokens of a prompt own requests have put into the cache."""
        cached = 0
        for part in prompt.parts:
            cached_s = self._parts.get(part.prefix_hash)
            if cached_s is None or now_s - cached_s > _PART_LIFETIME_S:
                break
            cached += part.tokens
        return cached

    def mark_lapsed(self, now_s: float) -> None:
        """Note that its entry is missing; later calls change nothing."""
        if self.lapsed_s is None:
            self.lapsed_s = now_s

    def may_return(self, now_s: float) -> bool:
        """Return whether its lapsed entry may still return."""
        return self.lapsed_s is not None and now_s - self.lapsed_s < _LAPSE_GRACE_S


class RemovedRecord(msgspec.Struct, frozen=True):
    """State of a removed endpoint, kept in case its entry returns."""

    address: str
    version: str
    warm_up: WarmUp
    availability: Availability

    @classmethod
    def from_record(cls, record: EndpointRecord) -> "RemovedRecord":
        """Return the state to keep of a record."""
        entry = record.entry
        return cls(entry.address, entry.version, record.warm_up, record.availability)
