# SPDX-License-Identifier: BSD-3-Clause
"""Measures how fast engines generate, from the times between the events of their streams.

Engines of one pool differ in speed. While an engine processes a long prompt, all its streams are
held up; on a slower engine they are held up for longer, often beyond the pause target.
"""

import math
from collections import deque
from enum import Enum

import msgspec

__all__ = [
    "EventGapTracker",
    "EventGaps",
    "GapSums",
    "QuietGapSums",
    "SpeedClass",
    "next_speed_class",
    "usual_gaps",
]

_GAP_WINDOW = 96
#: Gaps that must have been noted since the last estimate before a new one is made. An engine with a
#: few streams produces a hundred within two seconds.
_MIN_NEW_GAPS = 16
#: Time without events after which an estimate expires. Longer than prompt parts are assumed to be
#: cached, so that preferred endpoints do not move in the meantime.
_ESTIMATE_LIFETIME_S = 30.0
#: Quantile of the gaps that counts as undisturbed. It is low because long prompts hold up some of
#: the events, so a mean or median would measure the load.
_QUIET_QUANTILE = 0.25
#: A gap longer than this many times the undisturbed one counts as held up.
_HELD_UP_FACTOR = 3.0
_HELD_UP_WINDOW = 64
_MIN_HELD_UP_GAPS = 12
#: Quantile of the held-up gaps to report. It is high because a stream meets several of them.
_HELD_UP_QUANTILE = 0.95
#: Ratios to the usual gap at which an endpoint becomes slower and stops being slower. Equal engines
#: differ by a tenth under load, and each change of class moves preferred endpoints.
_SLOWER_RATIO = 1.18
_NOT_SLOWER_RATIO = 1.08
#: The same for a very slow endpoint, which is probably faulty.
_VERY_SLOW_RATIO = 2.0
_NOT_VERY_SLOW_RATIO = 1.6
#: Share of the pause target that held-up gaps must exceed for an endpoint to stay slower.
_STAY_SLOWER_SHARE = 0.7

#: Number of successive gaps of which one counts as undisturbed.
_BLOCK_GAPS = 8
#: Time in which sums of gaps fade by a factor of e. It covers several spells in which an engine is
#: slow for less than a second.
_SUMS_FADING_S = 3.0
#: Shortest gap taken as such; shorter ones come from buffers.
_MIN_GAP_MS = 0.1


class SpeedClass(Enum):
    """An endpoint's speed relative to the others of its pool; the names appear in log lines."""

    USUAL = 1
    SLOWER = 2
    CRAWLING = 3


class EventGaps(msgspec.Struct, frozen=True):
    """Estimated times between events of one endpoint's streams; 0 where unknown.

    Attributes
    ----------
    quiet_gap_ms : float
        Typical gap while nothing holds the stream up.
    held_up_gap_ms : float
        Long gap while the engine processes another prompt.
    """

    quiet_gap_ms: float = 0.0
    held_up_gap_ms: float = 0.0


def usual_gaps(gaps: list[EventGaps]) -> EventGaps:
    """Return the lower median of the endpoints' gaps.

    Held-up gaps are scaled to the usual speed first, as they grow with the slowness of an endpoint.

    Examples
    --------
    >>> usual_gaps([EventGaps(20.0, 250.0), EventGaps(), EventGaps(30.0, 390.0)])
    EventGaps(quiet_gap_ms=20.0, held_up_gap_ms=250.0)
    """
    usual_ms = _lower_median([each.quiet_gap_ms for each in gaps])
    held_up_ms = [
        each.held_up_gap_ms * usual_ms / each.quiet_gap_ms for each in gaps if each.quiet_gap_ms
    ]
    return EventGaps(usual_ms, _lower_median(held_up_ms))


def _lower_median(values: list[float]) -> float:
    """Return the lower median of the values above 0; 0 when there is none."""
    known = sorted(value for value in values if value)
    return known[(len(known) - 1) // 2] if known else 0.0


def next_speed_class(
    current: SpeedClass, gaps: EventGaps, usual: EventGaps, pause_target_ms: float
) -> SpeedClass:
    """Return the new class of an endpoint; ``USUAL`` where its speed is unknown.

    An endpoint counts as slower only if held-up events would wait there for longer than the pause
    target.

    Examples
    --------
    >>> usual = EventGaps(20.0, 250.0)
    >>> next_speed_class(SpeedClass.USUAL, EventGaps(26.0), usual, pause_target_ms=300.0).name
    'SLOWER'
    >>> next_speed_class(SpeedClass.USUAL, EventGaps(26.0), usual, pause_target_ms=400.0).name
    'USUAL'
    """
    if not gaps.quiet_gap_ms or not usual.quiet_gap_ms:
        return SpeedClass.USUAL
    ratio = gaps.quiet_gap_ms / usual.quiet_gap_ms
    was_very_slow = current is SpeedClass.CRAWLING
    if ratio >= (_NOT_VERY_SLOW_RATIO if was_very_slow else _VERY_SLOW_RATIO):
        return SpeedClass.CRAWLING
    was_usual = current is SpeedClass.USUAL
    late = ratio * usual.held_up_gap_ms > pause_target_ms * (
        1.0 if was_usual else _STAY_SLOWER_SHARE
    )
    if late and ratio >= (_SLOWER_RATIO if was_usual else _NOT_SLOWER_RATIO):
        return SpeedClass.SLOWER
    return SpeedClass.USUAL


class EventGapTracker:
    """Estimates the times between the events of one endpoint's streams.

    Examples
    --------
    >>> tracker = EventGapTracker()
    >>> for gap_ms in [20.0, 20.0, 20.0, 300.0] * 16:
    ...     tracker.note(gap_ms, now_s=7.0)
    ...     observed = tracker.observed(now_s=7.0)
    >>> observed.quiet_gap_ms, observed.held_up_gap_ms
    (20.0, 300.0)
    >>> tracker.observed(now_s=60.0).quiet_gap_ms
    0.0
    """

    __slots__ = ("_gaps_ms", "_held_up_ms", "_last_noted_s", "_new_gaps", "_quiet_gap_ms")

    def __init__(self):
        self._last_noted_s = -1e9
        self._gaps_ms: deque[float] = deque(maxlen=_GAP_WINDOW)
        self._held_up_ms: deque[float] = deque(maxlen=_HELD_UP_WINDOW)
        self._new_gaps = 0
        self._quiet_gap_ms = 0.0

    def note(self, gap_ms: float, now_s: float) -> None:
        """Record the time between two events of one stream."""
        self._last_noted_s = now_s
        self._gaps_ms.append(gap_ms)
        self._new_gaps += 1
        if self._quiet_gap_ms and gap_ms > _HELD_UP_FACTOR * self._quiet_gap_ms:
            self._held_up_ms.append(gap_ms)

    def observed(self, now_s: float) -> EventGaps:
        """Return the current estimate; gaps are 0 until enough of them were noted."""
        if now_s - self._last_noted_s > _ESTIMATE_LIFETIME_S:
            return EventGaps()
        if self._new_gaps >= _MIN_NEW_GAPS:
            self._new_gaps = 0
            ranked = sorted(self._gaps_ms)
            self._quiet_gap_ms = ranked[int(_QUIET_QUANTILE * len(ranked))]
        return EventGaps(self._quiet_gap_ms, self._long_held_up_ms())

    def _long_held_up_ms(self) -> float:
        if len(self._held_up_ms) < _MIN_HELD_UP_GAPS:
            return 0.0
        ranked = sorted(self._held_up_ms)
        return ranked[int(_HELD_UP_QUANTILE * len(ranked))]


class GapSums(msgspec.Struct, frozen=True):
    """Sums over undisturbed event gaps of one engine, which add up over routers.

    Attributes
    ----------
    weight : float
        Number of undisturbed gaps, faded by age.
    log_sum : float
        Sum of their logarithms in milliseconds, faded alike.
    """

    weight: float = 0.0
    log_sum: float = 0.0

    def add(self, other: "GapSums") -> "GapSums":
        """Return the sums over the gaps of both."""
        return GapSums(self.weight + other.weight, self.log_sum + other.log_sum)

    def scaled(self, factor: float) -> "GapSums":
        """Return the sums with all weights multiplied by a factor."""
        return GapSums(self.weight * factor, self.log_sum * factor)


class QuietGapSums:
    """Fading sums over the undisturbed event gaps of one engine's streams at this router.

    Of each block of successive gaps, a low quantile counts, so that gaps during the prompts of
    others, and after a pause of this router, do not.

    Examples
    --------
    >>> sums = QuietGapSums()
    >>> for gap_ms in [20.0, 300.0, 20.0, 20.0, 20.0, 300.0, 20.0, 20.0]:
    ...     sums.note(gap_ms, now_s=7.0)
    >>> round(math.exp(sums.at(7.0).log_sum), 1)
    20.0
    >>> sums.at(10.0).weight < 0.5
    True
    """

    __slots__ = ("_block_ms", "_faded_s", "_last_noted_s", "_sums")

    def __init__(self):
        self._block_ms: list[float] = []
        self._sums = GapSums()
        self._faded_s = 0.0
        self._last_noted_s = -1e9

    def note(self, gap_ms: float, now_s: float) -> None:
        """Record the time between two events of one stream."""
        if now_s - self._last_noted_s > _SUMS_FADING_S:
            self._block_ms.clear()
        self._last_noted_s = now_s
        self._block_ms.append(max(gap_ms, _MIN_GAP_MS))
        if len(self._block_ms) < _BLOCK_GAPS:
            return
        quiet_ms = sorted(self._block_ms)[int(_QUIET_QUANTILE * _BLOCK_GAPS)]
        self._block_ms.clear()
        self._sums = self.at(now_s).add(GapSums(1.0, math.log(quiet_ms)))
        self._faded_s = now_s

    def at(self, now_s: float) -> GapSums:
        """Return the sums as faded by now."""
        if not self._sums.weight:
            return self._sums
        return self._sums.scaled(math.exp((self._faded_s - now_s) / _SUMS_FADING_S))
