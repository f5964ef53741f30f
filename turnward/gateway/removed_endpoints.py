# SPDX-License-Identifier: BSD-3-Clause
"""Endpoints that left shortly before the store came back from an older copy.

In the copy their entries stand as they were before. They write anew what was lost, but only after
some seconds, in which their old entries would bring them requests again.
"""

from collections.abc import Iterable

import msgspec

from turnward.gateway.configuration import EndpointEntry

__all__ = ["REWRITE_PERIOD_S", "RemovedEndpoints"]

#: Seconds after a return within which operators and endpoints have written anew what was lost.
REWRITE_PERIOD_S = 5.0
#: Seconds for which it is remembered that an endpoint left: older than any copy of the store.
_REMEMBERED_S = 30.0


class RemovedEndpoints:
    """Remembers which endpoints left, and holds on to that over a return of the store.

    Examples
    --------
    >>> entry = EndpointEntry(endpoint_id="e", pool="p", address="10.0.0.1:80")
    >>> departures = Departures()
    >>> departures.note({"e": entry}, {}, now_s=10.0)
    >>> departures.begin_rollback_recovery(12.0)
    >>> departures.mark_draining({"e": entry}, now_s=13.0)["e"].leaving
    True
    >>> departures.mark_draining({"e": entry}, now_s=18.0)["e"].leaving
    False
    """

    __slots__ = ("_held_until_s", "_left_s")

    def __init__(self):
        #: By incarnation, when it was last known to leave, or went.
        self._left_s: dict[str, float] = {}
        self._held_until_s = 0.0

    def record_view(
        self, before: dict[str, EndpointEntry], after: dict[str, EndpointEntry], now_s: float
    ) -> None:
        """Take in a view of the endpoints that follows another."""
        stay = {entry.incarnation for entry in after.values()}
        for entry in before.values():
            if entry.incarnation not in stay:
                self._left_s[entry.incarnation] = now_s
        for entry in after.values():
            if entry.leaving:
                self._left_s[entry.incarnation] = now_s
        self._left_s = {
            name: left_s for name, left_s in self._left_s.items() if now_s - left_s < _REMEMBERED_S
        }

    def begin_rollback_recovery(self, now_s: float) -> None:
        """Note that the store came back from a copy."""
        self._held_until_s = now_s + REWRITE_PERIOD_S

    def mark_rewritten(self, entries: Iterable[EndpointEntry]) -> None:
        """Take in entries that were written after the return: they hold as they are."""
        for entry in entries:
            self._left_s.pop(entry.incarnation, None)

    def end_rollback_recovery(self) -> None:
        """Note that all has been written anew."""
        self._held_until_s = 0.0

    def mark_draining(
        self, entries: dict[str, EndpointEntry], now_s: float
    ) -> dict[str, EndpointEntry]:
        """Return entries with those marked as leaving that left before the return."""
        if now_s >= self._held_until_s:
            return entries
        return {
            name: msgspec.structs.replace(entry, leaving=True)
            if entry.incarnation in self._left_s
            else entry
            for name, entry in entries.items()
        }
