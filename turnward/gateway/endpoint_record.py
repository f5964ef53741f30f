# SPDX-License-Identifier: BSD-3-Clause
"""One endpoint as a router sees it: its load, what it keeps, whether it takes work, its pace."""

from collections import OrderedDict
from collections.abc import Callable
from functools import partial

from turnward.gateway.abandoned_runs import AbandonedRuns
from turnward.gateway.availability import Availability
from turnward.gateway.configuration import EndpointEntry
from turnward.gateway.engine_speed import EventGapTracker, SpeedClass
from turnward.gateway.prompts import Prompt
from turnward.gateway.warm_up import WarmUp
from turnward.http1 import HeaderList

__all__ = ["EndpointRecord"]

#: Prompt parts remembered by endpoint.
_PARTS_LIMIT = 1_500
#: Seconds after which a prompt part is no longer taken for kept.
_PART_LIFE_S = 25.0
#: Seconds for which an endpoint without an entry keeps its work when many lost theirs with the
#: store: most are back by then, and one that had ended must get nothing after two, connecting
#: included.
_LAPSE_S = 1.4


class EndpointRecord:
    """One endpoint as this router sees it.

    Parameters
    ----------
    make_pool : callable
        Returns the connections to an address, given who is told the heads of answers.
    on_head : callable
        Told the record, status and headers of each answer that the endpoint begins.

    Attributes
    ----------
    in_flight : int
        This router's own requests there.
    opening : int
        Own requests there that wait for a connection.
    prefill_tokens : int
        Prompt tokens of own requests whose first event has not come.
    availability : Availability
        Whether it takes work.
    abandoned : AbandonedRuns
        Own runs there that were given up lately.
    pace : EventGapTracker
        How fast own streams go on there.
    speed_class : SpeedClass
        How fast it is beside the others of its pool.
    incarnation : str
        Names this start of the endpoint: what is known here ends with it.
    warm_up : WarmUp
        Whether it is cold.
    lapsed_s : float or None
        When its entry went with many others; None while it has one.
    """

    __slots__ = (
        "_parts",
        "abandoned",
        "availability",
        "entry",
        "in_flight",
        "incarnation",
        "lapsed_s",
        "opening",
        "gap_tracker",
        "speed_class",
        "pool",
        "prefill_tokens",
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
        """The endpoint's id."""
        return self.entry.endpoint_id

    def matches_entry(self, entry: EndpointEntry) -> bool:
        """Tell whether an entry is of the process that is known here."""
        return entry.incarnation == self.incarnation and entry.address == self.entry.address

    def remember(self, prompt: Prompt, now_s: float) -> None:
        """Note that the endpoint reads a prompt, and so keeps its parts."""
        for part in prompt.parts:
            self._parts[part.prefix_hash] = now_s
            self._parts.move_to_end(part.prefix_hash)
        while len(self._parts) > _PARTS_LIMIT:
            self._parts.popitem(last=False)

    def cached_tokens(self, prompt: Prompt, now_s: float) -> int:
        """Return how many of a prompt's tokens own requests have read there."""
        kept = 0
        for part in prompt.parts:
            seen_s = self._parts.get(part.prefix_hash)
            if seen_s is None or now_s - seen_s > _PART_LIFE_S:
                break
            kept += part.tokens
        return kept

    def mark_lapsed(self, now_s: float) -> None:
        """Note that its entry is gone; the first time counts."""
        if self.lapsed_s is None:
            self.lapsed_s = now_s

    def may_return(self, now_s: float) -> bool:
        """Tell whether its entry, gone with many others, may still come back."""
        return self.lapsed_s is not None and now_s - self.lapsed_s < _LAPSE_S
