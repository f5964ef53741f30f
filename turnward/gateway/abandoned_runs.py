# SPDX-License-Identifier: BSD-3-Clause
"""Runs that a router gave up shortly before their endpoint ended.

A caller that leaves, or whose time is up, takes its run's connection with it: the router then
sees no loss there, though the run may be what ends the endpoint a moment later. Other connections
to the endpoint tell that it has ended.
"""

from collections import deque

import msgspec

__all__ = ["AbandonedRun", "AbandonedRuns"]

#: Seconds after which an endpoint that ends does not do so because of a run that was given up:
#: endpoints drop a run when its connection closes, and news of both may cross on a slow way.
_LIFE_S = 1.0
#: Most runs that are remembered of one endpoint; engines run up to 48 at a time.
_LIMIT = 64


class AbandonedRun(msgspec.Struct, frozen=True):
    """A run that was given up: of which content, when it was sent and when given up."""

    content: str
    sent_s: float
    abandoned_s: float


class AbandonedRuns:
    """The runs of one endpoint that were given up lately.

    Examples
    --------
    >>> runs = AbandonedRuns()
    >>> runs.note(AbandonedRun("c", sent_s=0.0, abandoned_s=5.0))
    >>> [run.content for run in runs.take(now_s=5.5)], runs.take(now_s=5.5)
    (['c'], [])
    """

    __slots__ = ("_runs",)

    def __init__(self):
        self._runs: deque[AbandonedRun] = deque(maxlen=_LIMIT)

    def note(self, run: AbandonedRun) -> None:
        """Remember a run for a while."""
        self._runs.append(run)

    def take(self, now_s: float) -> list[AbandonedRun]:
        """Return the runs that may have ended the endpoint, and forget all."""
        taken = [run for run in self._runs if now_s - run.abandoned_s <= _LIFE_S]
        self._runs.clear()
        return taken
