# SPDX-License-Identifier: BSD-3-Clause
"""Runs that a router abandoned shortly before their endpoint crashed.

When a caller disconnects or its deadline passes, the router closes the run's connection. If that
run then crashes the endpoint, the router learns of the crash from another connection only, so
recently abandoned runs are kept as possible causes.
"""

from collections import deque

import msgspec

__all__ = ["AbandonedRun", "AbandonedRuns"]

#: Endpoints stop a run when its connection closes, so an older run cannot be the cause of a crash.
#: The end of the endpoint and the closing of the connection may cross on a slow link.
_RETENTION_S = 1.0
#: Bound per endpoint; engines run up to 48 requests at a time.
_MAX_RUNS = 64


class AbandonedRun(msgspec.Struct, frozen=True):
    """A run whose connection the router closed before its response was complete.

    Attributes
    ----------
    content : str
        Fingerprint of the request's content.
    sent_s, abandoned_s : float
        When the request was sent and when its connection was closed.
    parts : tuple of str
        Shared parts of its prompt, unless its response had got past the first events.
    """

    content: str
    sent_s: float
    abandoned_s: float
    parts: tuple[str, ...] = ()


class AbandonedRuns:
    """The recently abandoned runs of one endpoint.

    Examples
    --------
    >>> runs = AbandonedRuns()
    >>> runs.note(AbandonedRun("c", sent_s=0.0, abandoned_s=5.0))
    >>> [run.content for run in runs.take(now_s=5.5)], runs.take(now_s=5.5)
    (['c'], [])
    """

    __slots__ = ("_runs",)

    def __init__(self):
        self._runs: deque[AbandonedRun] = deque(maxlen=_MAX_RUNS)

    def note(self, run: AbandonedRun) -> None:
        """Add an abandoned run."""
        self._runs.append(run)

    def take(self, now_s: float) -> list[AbandonedRun]:
        """Return the runs that may have crashed the endpoint, and clear the list."""
        taken = [run for run in self._runs if now_s - run.abandoned_s <= _RETENTION_S]
        self._runs.clear()
        return taken
