# SPDX-License-Identifier: BSD-3-Clause
"""Endpoints that were removed or draining shortly before the store was rolled back.

The older copy still has their previous entries, which would attract requests until the entries are
written again some seconds later.
"""

from collections.abc import Iterable

import msgspec

from turnward.gateway.configuration import EndpointEntry

__all__ = ["REWRITE_PERIOD_S", "RemovedEndpoints"]

#: Time within which operators and endpoints write lost rows again after a rollback.
REWRITE_PERIOD_S = 5.0
#: Longer than the age of any copy to which the store is rolled back.
_RETENTION_S = 30.0


class RemovedEndpoints:
    """Remembers removed and draining endpoints across a rollback of the store.

    Examples
    --------
    >>> entry = EndpointEntry(endpoint_id="e", pool="p", address="10.0.0.1:80")
    >>> removed = RemovedEndpoints()
    >>> removed.record_view({"e": entry}, {}, now_s=10.0)
    >>> removed.begin_rollback_recovery(12.0)
    >>> removed.mark_draining({"e": entry}, now_s=13.0)["e"].leaving
    True
    >>> removed.mark_draining({"e": entry}, now_s=18.0)["e"].leaving
    False
    """

    __slots__ = ("_recovery_ends_s", "_removed_s")

    def __init__(self):
        #: By incarnation, when it was last draining or was removed.
        self._removed_s: dict[str, float] = {}
        self._recovery_ends_s = 0.0

    def record_view(
        self, before: dict[str, EndpointEntry], after: dict[str, EndpointEntry], now_s: float
    ) -> None:
        """Record which endpoints are draining or removed in a later view of the entries."""
        remaining = {entry.incarnation for entry in after.values()}
        for entry in before.values():
            if entry.incarnation not in remaining:
                self._removed_s[entry.incarnation] = now_s
        for entry in after.values():
            if entry.leaving:
                self._removed_s[entry.incarnation] = now_s
        self._removed_s = {
            incarnation: removed_s
            for incarnation, removed_s in self._removed_s.items()
            if now_s - removed_s < _RETENTION_S
        }

    def begin_rollback_recovery(self, now_s: float) -> None:
        """Record that the store was rolled back to an older copy."""
        self._recovery_ends_s = now_s + REWRITE_PERIOD_S

    def mark_rewritten(self, entries: Iterable[EndpointEntry]) -> None:
        """Record entries that were written after the rollback; they are used unchanged."""
        for entry in entries:
            self._removed_s.pop(entry.incarnation, None)

    def end_rollback_recovery(self) -> None:
        """Record that all lost rows have been written again."""
        self._recovery_ends_s = 0.0

    def mark_draining(
        self, entries: dict[str, EndpointEntry], now_s: float
    ) -> dict[str, EndpointEntry]:
        """Return entries, with those removed before a rollback marked as draining."""
        if now_s >= self._recovery_ends_s:
            return entries
        return {
            endpoint_id: msgspec.structs.replace(entry, leaving=True)
            if entry.incarnation in self._removed_s
            else entry
            for endpoint_id, entry in entries.items()
        }
