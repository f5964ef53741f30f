# SPDX-License-Identifier: BSD-3-Clause
"""Which endpoints remain in use while the store recovers from a rollback to an older copy.

Until endpoints have written their entries again, the copy misleads in two ways: it has entries of
endpoints that were removed or began to drain since, and it lacks those that registered since.
"""

from collections.abc import Iterable

import msgspec

from turnward.gateway.configuration import EndpointEntry

__all__ = ["REWRITE_PERIOD_S", "RemovedEndpoints"]

#: Time within which operators and endpoints write lost rows again after a rollback.
REWRITE_PERIOD_S = 5.0
#: Longer than the age of any copy to which the store is rolled back.
_RETENTION_S = 30.0
#: Longer than a poll and an outage together. What an older view holds beyond the copy may have been
#: removed before the copy was made.
_KEPT_VIEW_AGE_S = 10.0


class RemovedEndpoints:
    """Remembers removed and draining endpoints across a rollback of the store.

    Examples
    --------
    >>> entry = EndpointEntry(endpoint_id="e", pool="p", address="10.0.0.1:80")
    >>> removed = RemovedEndpoints()
    >>> removed.record_view({"e": entry}, {}, now_s=10.0)
    >>> removed.begin_recovery(era=2, view_age_s=0.5, now_s=12.0)
    >>> removed.correct({"e": entry}, {}, now_s=13.0)["e"].leaving
    True
    >>> removed.correct({"e": entry}, {}, now_s=18.0)["e"].leaving
    False
    """

    __slots__ = (
        "_keeps_view",
        "_provisional",
        "_recovered_era",
        "_recovery_ends_s",
        "_recovery_era",
        "_removed_s",
        "_rewritten",
    )

    def __init__(self):
        #: By incarnation, when it was last draining or was removed.
        self._removed_s: dict[str, float] = {}
        #: Incarnations whose entries have been written since the last rollback.
        self._rewritten: set[str] = set()
        self._recovery_ends_s = 0.0
        self._recovery_era = 0
        self._recovered_era = 0
        #: Whether the latest view was, according to the feed or the peer that it came from.
        self._provisional = False
        self._keeps_view = False

    def recovering(self, now_s: float) -> bool:
        """Return whether rows lost in a rollback may not have been written again yet."""
        return self._provisional or now_s < self._recovery_ends_s

    def is_new_recovery(self, era: int) -> bool:
        """Return whether no recovery has begun here in an era of the store."""
        return era > self._recovery_era

    def begin_recovery(self, era: int, view_age_s: float, now_s: float) -> None:
        """Record that the store was rolled back to an older copy.

        Parameters
        ----------
        era : int
            The store's era since then.
        view_age_s : float
            Time since the view of the entries was known to be current.
        """
        self._recovery_era = era
        self._recovered_era = era - 1
        self._recovery_ends_s = now_s + REWRITE_PERIOD_S
        self._keeps_view = view_age_s <= _KEPT_VIEW_AGE_S
        self._rewritten.clear()

    def end_recovery(self, era: int) -> None:
        """Record that all rows lost in a rollback have been written again."""
        self._recovery_ends_s = 0.0
        self._recovered_era = era

    def record_provisional(self, era: int, provisional: bool) -> None:
        """Record whether the latest view is provisional; peers may recover later than this router.

        An outage prolongs the recovery beyond the usual time.
        """
        self._provisional = provisional and era > self._recovered_era

    def mark_removed(self, incarnations: Iterable[str], now_s: float) -> None:
        """Record endpoints that have been removed or are draining, as a row or a peer tells."""
        for incarnation in incarnations:
            if incarnation not in self._rewritten:
                self._removed_s.setdefault(incarnation, now_s)

    def mark_rewritten(self, entries: Iterable[EndpointEntry]) -> None:
        """Record entries that were written after the rollback; they are used unchanged."""
        for entry in entries:
            self._rewritten.add(entry.incarnation)
            self._removed_s.pop(entry.incarnation, None)

    def known(self) -> tuple[str, ...]:
        """Return the incarnations that were removed or draining lately."""
        return tuple(self._removed_s)

    def correct(
        self, entries: dict[str, EndpointEntry], before: dict[str, EndpointEntry], now_s: float
    ) -> dict[str, EndpointEntry]:
        """Return the entries to use; they differ from those in the store during a recovery only.

        Parameters
        ----------
        entries : dict
            Entries in the store.
        before : dict
            Entries in use so far; those that the store lacks stay, unless they were removed.
        """
        if not self.recovering(now_s):
            return entries
        # What was written since the rollback and is missing now has been removed.
        ended = self._removed_s.keys() | self._rewritten
        corrected = {
            endpoint_id: msgspec.structs.replace(entry, leaving=True)
            if entry.incarnation in self._removed_s
            else entry
            for endpoint_id, entry in entries.items()
        }
        if self._keeps_view:
            for endpoint_id, entry in before.items():
                if entry.incarnation not in ended:
                    corrected.setdefault(endpoint_id, entry)
        return corrected

    def record_view(
        self, before: dict[str, EndpointEntry], after: dict[str, EndpointEntry], now_s: float
    ) -> None:
        """Record which endpoints are draining or removed in a later view of the entries."""
        remaining = {entry.incarnation for entry in after.values()}
        # What an old view holds beyond the copy is dropped without having been removed.
        known = self._keeps_view or not self.recovering(now_s)
        for entry in before.values():
            if entry.incarnation not in remaining and (
                known or entry.incarnation in self._rewritten
            ):
                self._removed_s[entry.incarnation] = now_s
        for entry in after.values():
            if entry.leaving:
                self._removed_s[entry.incarnation] = now_s
            elif not self.recovering(now_s):
                self._removed_s.pop(entry.incarnation, None)
        self._removed_s = {
            incarnation: removed_s
            for incarnation, removed_s in self._removed_s.items()
            if now_s - removed_s < _RETENTION_S
        }
