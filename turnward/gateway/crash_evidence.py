# SPDX-License-Identifier: BSD-3-Clause
"""Tells crashes of endpoints from other lost connections, as evidence on prompt parts.

A crash closes all connections of an endpoint at once. A connection that is lost alone is the fault
of one response.

Runs whose response had begun are reported at once. All lost runs are reported a little later, when
routers have told each other of the former.
"""

from collections import Counter
from collections.abc import Set as AbstractSet

from turnward.gateway.choice import EndpointBook
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.quarantine import LostRun, PartQuarantine

__all__ = ["CrashEvidence", "may_be_network"]

#: Time within which all connections of a crashed endpoint are lost.
_CRASH_S = 0.05
#: Time in which routers hear from each other of the runs that had begun at a crashed endpoint.
_TOLD_S = 0.4
#: Age up to which a connection may have been opened to the next process at the same address.
_RECENTLY_OPENED_S = 0.5
#: Least number of crashes at once that are put down to the network.
_MIN_NETWORK_LOSSES = 3


class CrashEvidence:
    """Collects the runs that are lost with an endpoint, and reports those of crashes.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    parts : PartQuarantine
        Gets the lost runs of each crash.
    """

    def __init__(self, reactor, parts: PartQuarantine):
        self._reactor = reactor
        self._parts = parts
        #: Runs lost just now, by incarnation.
        self._lost: dict[str, list[LostRun]] = {}
        #: Called when a crash has made prompt parts suspects.
        self.on_suspects = _ignore

    def note_lost(self, record: EndpointRecord, runs: list[LostRun]) -> None:
        """Record runs that had not got past their first events when their connection was lost."""
        known = self._lost.get(record.incarnation)
        if known is None:
            known = self._lost[record.incarnation] = []
            self._reactor.callLater(_CRASH_S, self._evaluate, record)
        known.extend(run for run in runs if run.parts)

    def _evaluate(self, record: EndpointRecord) -> None:
        runs = self._lost.pop(record.incarnation)
        now_s = self._reactor.seconds()
        if record.pool.has_connection_since(now_s - _RECENTLY_OPENED_S):
            return
        crashed_s = now_s - _CRASH_S
        if self._parts.record_begun(record.incarnation, runs, crashed_s):
            self.on_suspects()
        self._reactor.callLater(_TOLD_S, self._report_all, record.incarnation, runs, crashed_s)

    def _report_all(self, incarnation: str, runs: list[LostRun], crashed_s: float) -> None:
        if self._parts.record_lost(incarnation, runs, crashed_s):
            self.on_suspects()


def may_be_network(endpoints: EndpointBook, crashed: AbstractSet[str]) -> bool:
    """Return whether crashed incarnations include most endpoints of a pool."""
    records = filter(None, map(endpoints.get, crashed))
    by_pool = Counter(record.entry.pool for record in records)
    return any(
        count >= _MIN_NETWORK_LOSSES and count > endpoints.size(pool) / 2
        for pool, count in by_pool.items()
    )


def _ignore() -> None:
    """Default for the callback."""
