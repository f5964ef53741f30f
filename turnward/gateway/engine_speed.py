# SPDX-License-Identifier: BSD-3-Clause
"""How fast an endpoint's streams go on when nothing holds them up, learned from their events.

Servers of one pool differ in speed. On a slower one a long prompt that is read holds up every
stream for longer, often for more than callers find acceptable.
"""

from collections import deque
from enum import Enum

import msgspec

__all__ = ["EventGapTracker", "EventGaps", "SpeedClass", "next_speed_class", "usual_gaps"]

#: Times between events remembered, and those that are needed for a figure. A hundred events
#: come within two seconds at most from an engine with a few streams.
_MEMORY = 96
_LEAST = 16
#: Seconds after which a figure no longer counts: the endpoint may be faster or slower now. As
#: long as prompt parts are taken for kept, so that their agreed homes do not move meanwhile.
_LIFE_S = 30.0
#: Rank among the remembered times that is taken for the undisturbed one: long prompts that are
#: read beside a stream hold up some of its events, so a mean or median would show the load.
_QUIET_RANK = 0.25
#: An event is held up by a prompt that is read when it takes so many times the quiet time.
_HELD_UP_FACTOR = 3.0
#: Held-up events remembered, those needed for a figure, and the rank that stands for a long
#: pause among them: a stream meets several, so the longer ones count.
_HELD_UP_MEMORY = 64
_HELD_UP_LEAST = 12
_HELD_UP_RANK = 0.95
#: Ratio to the usual time between events from which an endpoint is slower, and below which it
#: no longer is. Equal servers differ by a tenth under load; each change moves agreed homes of
#: prompt parts, so it takes a clear difference.
_SLOWER_RATIO = 1.18
_NOT_SLOWER_RATIO = 1.08
#: The same for an endpoint that crawls: a server at half speed has a fault.
_CRAWLING_RATIO = 2.0
_NOT_CRAWLING_RATIO = 1.6
#: Part of the pause target below which held-up events no longer make an endpoint slower.
_STILL_LATE = 0.7


class SpeedClass(Enum):
    """An endpoint's speed beside that of the others in its pool."""

    USUAL = 1
    SLOWER = 2
    CRAWLING = 3


class EventGaps(msgspec.Struct, frozen=True):
    """Times between events of one endpoint's streams; 0 where not known.

    Attributes
    ----------
    quiet_gap_ms : float
        When nothing holds an event up.
    held_up_gap_ms : float
        When a prompt is read meanwhile; of several such, the longer ones.
    """

    quiet_gap_ms: float = 0.0
    held_up_gap_ms: float = 0.0


def usual_gaps(paces: list[EventGaps]) -> EventGaps:
    """Return the pace that at least half of the endpoints keep to.

    Held-up events are brought to the usual speed first: on an endpoint that is slower they
    wait longer by as much.

    Examples
    --------
    >>> usual_gaps([EventGaps(20.0, 250.0), EventGaps(), EventGaps(30.0, 390.0)])
    EventGaps(quiet_gap_ms=20.0, held_up_gap_ms=250.0)
    """
    usual_ms = _lower_median([pace.quiet_gap_ms for pace in paces])
    held_up_ms = [
        pace.held_up_gap_ms * usual_ms / pace.quiet_gap_ms for pace in paces if pace.quiet_gap_ms
    ]
    return EventGaps(usual_ms, _lower_median(held_up_ms))


def _lower_median(values: list[float]) -> float:
    """Return the lower median of the values above 0; 0 when there is none."""
    known = sorted(value for value in values if value)
    return known[(len(known) - 1) // 2] if known else 0.0


def next_speed_class(
    current: SpeedClass, pace: EventGaps, usual: EventGaps, pause_target_ms: float
) -> SpeedClass:
    """Return the class of an endpoint now; ``USUAL`` where its pace is not known.

    An endpoint counts as slower only if events that are held up there would wait for
    longer than the pause that streams should have at most.

    Examples
    --------
    >>> usual = EventGaps(20.0, 250.0)
    >>> next_speed_class(SpeedClass.USUAL, EventGaps(26.0), usual, pause_target_ms=300.0).name
    'SLOWER'
    >>> next_speed_class(SpeedClass.USUAL, EventGaps(26.0), usual, pause_target_ms=400.0).name
    'USUAL'
    """
    if not pace.quiet_gap_ms or not usual.quiet_gap_ms:
        return SpeedClass.USUAL
    ratio = pace.quiet_gap_ms / usual.quiet_gap_ms
    crawls = current is SpeedClass.CRAWLING
    if ratio >= (_NOT_CRAWLING_RATIO if crawls else _CRAWLING_RATIO):
        return SpeedClass.CRAWLING
    usually = current is SpeedClass.USUAL
    late = ratio * usual.held_up_gap_ms > pause_target_ms * (1.0 if usually else _STILL_LATE)
    if late and ratio >= (_SLOWER_RATIO if usually else _NOT_SLOWER_RATIO):
        return SpeedClass.SLOWER
    return SpeedClass.USUAL


class EventGapTracker:
    """Times between the events of one endpoint's streams.

    Examples
    --------
    >>> pace = EventGapTracker()
    >>> for gap_ms in [20.0, 20.0, 20.0, 300.0] * 16:
    ...     pace.note(gap_ms, now_s=7.0)
    ...     observed = pace.observed(now_s=7.0)
    >>> observed.quiet_gap_ms, observed.held_up_gap_ms
    (20.0, 300.0)
    >>> pace.observed(now_s=60.0).quiet_gap_ms
    0.0
    """

    __slots__ = ("_fresh", "_gaps_ms", "_held_up_ms", "_noted_s", "_quiet_gap_ms")

    def __init__(self):
        self._noted_s = -1e9
        self._gaps_ms: deque[float] = deque(maxlen=_MEMORY)
        self._held_up_ms: deque[float] = deque(maxlen=_HELD_UP_MEMORY)
        self._fresh = 0
        self._quiet_gap_ms = 0.0

    def note(self, gap_ms: float, now_s: float) -> None:
        """Count the time between two events of one stream."""
        self._noted_s = now_s
        self._gaps_ms.append(gap_ms)
        self._fresh += 1
        if self._quiet_gap_ms and gap_ms > _HELD_UP_FACTOR * self._quiet_gap_ms:
            self._held_up_ms.append(gap_ms)

    def observed(self, now_s: float) -> EventGaps:
        """Return the pace as of now; nothing is known of it until enough was seen."""
        if now_s - self._noted_s > _LIFE_S:
            return EventGaps()
        if self._fresh >= _LEAST:
            self._fresh = 0
            ranked = sorted(self._gaps_ms)
            self._quiet_gap_ms = ranked[int(_QUIET_RANK * len(ranked))]
        return EventGaps(self._quiet_gap_ms, self._long_held_up_ms())

    def _long_held_up_ms(self) -> float:
        if len(self._held_up_ms) < _HELD_UP_LEAST:
            return 0.0
        ranked = sorted(self._held_up_ms)
        return ranked[int(_HELD_UP_RANK * len(ranked))]
