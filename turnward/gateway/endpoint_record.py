# SPDX-License-Identifier: BSD-3-Clause
"""One endpoint as a router sees it: its load, what it keeps, its failures and its pace."""

from collections import OrderedDict

from turnward.gateway.configuration import EndpointEntry
from turnward.gateway.pace import EventPace, PaceClass
from turnward.gateway.prompts import Prompt
from turnward.gateway.warm_up import WarmUp

__all__ = ["EndpointRecord"]

#: Prompt parts remembered by endpoint.
_PARTS_LIMIT = 1_500
#: Seconds after which a prompt part is no longer taken for kept.
_PART_LIFE_S = 25.0
#: Seconds an endpoint rests after failures in a row: the first, and at most.
_REST_S = 0.5
_REST_LIMIT_S = 4.0
#: Seconds for which an endpoint without an entry keeps its work when many lost theirs with the
#: store: most are back by then, and one that had ended must get nothing after two, connecting
#: included.
_LAPSE_S = 1.4
#: Failures in a row that make an endpoint rest, where single ones may be the request's fault.
_FAILURES_TO_REST = 2


class EndpointRecord:
    """One endpoint as this router sees it.

    Attributes
    ----------
    in_flight : int
        This router's own requests there.
    prefill_tokens : int
        Prompt tokens of own requests whose first event has not come.
    failures : int
        In a row.
    rest_until_s : float
        It gets no new work before, while others can take it.
    pace : EventPace
        How fast own streams go on there.
    pace_class : PaceClass
        How fast it is beside the others of its pool.
    lost : bool
        It failed and has not answered since.
    gone : bool
        At its address it was said that it is not there any more.
    incarnation : str
        Names this start of the endpoint: what is known here ends with it.
    warm_up : WarmUp
        Whether it is cold.
    lapsed_s : float or None
        When its entry went with many others; None while it has one.
    """

    __slots__ = (
        "_parts",
        "entry",
        "failures",
        "gone",
        "in_flight",
        "incarnation",
        "lapsed_s",
        "lost",
        "pace",
        "pace_class",
        "pool",
        "prefill_tokens",
        "rest_until_s",
        "trial",
        "warm_up",
    )

    def __init__(self, entry: EndpointEntry, pool, warm_up: WarmUp):
        self.entry = entry
        self.incarnation = entry.incarnation
        self.pool = pool
        self.in_flight = 0
        self.prefill_tokens = 0
        self.failures = 0
        self.rest_until_s = 0.0
        self.lost = False
        self.gone = False
        self.trial = False
        self.warm_up = warm_up
        self.lapsed_s: float | None = None
        self.pace = EventPace()
        self.pace_class = PaceClass.USUAL
        self._parts: OrderedDict[int, float] = OrderedDict()

    @property
    def endpoint_id(self) -> str:
        """The endpoint's id."""
        return self.entry.endpoint_id

    def is_of(self, entry: EndpointEntry) -> bool:
        """Tell whether an entry is of the process that is known here."""
        return entry.incarnation == self.incarnation and entry.address == self.entry.address

    def remember(self, prompt: Prompt, now_s: float) -> None:
        """Note that the endpoint reads a prompt, and so keeps its parts."""
        for part in prompt.parts:
            self._parts[part.path] = now_s
            self._parts.move_to_end(part.path)
        while len(self._parts) > _PARTS_LIMIT:
            self._parts.popitem(last=False)

    def kept_tokens(self, prompt: Prompt, now_s: float) -> int:
        """Return how many of a prompt's tokens own requests have read there."""
        kept = 0
        for part in prompt.parts:
            seen_s = self._parts.get(part.path)
            if seen_s is None or now_s - seen_s > _PART_LIFE_S:
                break
            kept += part.tokens
        return kept

    def succeeded(self) -> bool:
        """Note an answer; True when the endpoint was taken for lost until now."""
        regained, self.lost = self.lost, False
        self.failures = 0
        self.trial = False
        return regained

    def lapse(self, now_s: float) -> None:
        """Note that its entry is gone; the first time counts."""
        if self.lapsed_s is None:
            self.lapsed_s = now_s

    def may_be_back(self, now_s: float) -> bool:
        """Tell whether its entry, gone with many others, may still come back."""
        return self.lapsed_s is not None and now_s - self.lapsed_s < _LAPSE_S

    def failed(self, now_s: float, certain: bool, spread: float = 1.0) -> bool:
        """Note a failure; True when the endpoint is taken for lost from now on.

        Parameters
        ----------
        certain : bool
            Whether the endpoint can't be reached at all.
        spread : float
            Scales the rest, so that routers do not all try again at once.
        """
        self.failures += 1
        self.trial = False
        if not certain and self.failures < _FAILURES_TO_REST:
            return False
        rest_s = min(_REST_LIMIT_S, _REST_S * 2 ** min(self.failures - 1, 5))
        self.rest_until_s = now_s + rest_s * spread
        self.trial = True
        newly_lost, self.lost = not self.lost, True
        return newly_lost
