# SPDX-License-Identifier: BSD-3-Clause
"""Simulates gateways on an in-memory network whose store is rolled back to an older copy."""

import msgspec

from turnward.gateway.tests.harness import Harness, answer_ok, answered
from turnward.standins import RowsCopy

__all__ = ["RollbackSimulation"]

#: Interval of unrelated writes, which increment the store's version.
_UNRELATED_WRITE_INTERVAL_S = 0.05
_COPY_INTERVAL_S = 0.5
_MAX_COPIES = 40
#: Tables whose writers write lost rows again after a rollback.
REWRITTEN_TABLES = ("configuration", "endpoints")


class _TimedCopy(msgspec.Struct, frozen=True):
    """A copy of the store and the time when it was made."""

    time_s: float
    copy: RowsCopy


class RollbackSimulation:
    """Gateways whose store can be unavailable and be restored from a copy.

    Parameters
    ----------
    gateways, endpoints : int
        Number of gateways and of endpoints.
    behave : callable
        Behaviour of the endpoints.
    fields
        Passed to ``Harness``.
    """

    def __init__(self, gateways: int, endpoints: int = 4, behave=answer_ok, **fields):
        self.harness = Harness(**fields)
        self.endpoints = [self.harness.endpoint(behave) for _ in range(endpoints)]
        self.callers: list = []
        self._copies: list[_TimedCopy] = []
        self._write_unrelated()
        self._copy()
        self.harness.ready(gateways)

    @property
    def now_s(self) -> float:
        """Current time of the simulated network."""
        return self.harness.network.clock.seconds()

    def _write_unrelated(self) -> None:
        """Write a row that nobody reads, while the store is available."""
        self.harness.network.clock.callLater(_UNRELATED_WRITE_INTERVAL_S, self._write_unrelated)
        if not self.harness.rows.faults.unavailable:
            self.harness.rows.put("beats", "one", b"")

    def _copy(self) -> None:
        self.harness.network.clock.callLater(_COPY_INTERVAL_S, self._copy)
        if not self.harness.rows.faults.unavailable:
            self._copies.append(_TimedCopy(self.now_s, self.harness.rows.copy()))
            del self._copies[:-_MAX_COPIES]

    def roll_back(self, age_s: float, outage_s: float = 0.6, rewrite_delay_s: float = 0.0) -> None:
        """Make the store unavailable for a while and restore it from an older copy.

        Parameters
        ----------
        age_s : float
            Age of the copy.
        outage_s : float
            Duration of the outage.
        rewrite_delay_s : float
            Time from the rollback until operators and endpoints write the lost rows again.
        """
        rows = self.harness.rows
        copies = [timed for timed in self._copies if timed.time_s <= self.now_s - age_s]
        copy = (copies or self._copies[:1])[-1].copy
        lost = {key: row for key, row in rows.copy().rows.items() if key.table in REWRITTEN_TABLES}
        rows.faults.unavailable = True
        self.run_traffic(outage_s)
        rows.roll_back(copy)
        self._copies.clear()
        rows.faults.unavailable = False
        self.harness.network.clock.callLater(rewrite_delay_s, self._rewrite_lost_rows, lost)

    def _rewrite_lost_rows(self, lost: dict) -> None:
        for key, row in lost.items():
            current = self.harness.rows.get(key)
            if current.version > self.harness.rows.rollback_version:
                continue
            if row.gone and current.version and not current.gone:
                self.harness.rows.remove(key.table, key.key)
            elif not row.gone and current.value != row.value:
                self.harness.rows.put(key.table, key.key, row.value)

    def reachable_gateways(self) -> list[int]:
        """Return the indices of the gateways that callers can reach."""
        return list(range(len(self.harness.gateways)))

    def run_traffic(self, seconds: float, pause_s: float = 0.1, **fields) -> None:
        """Send requests to the gateways round-robin for some seconds."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            reachable = self.reachable_gateways()
            if reachable:
                gateway = reachable[len(self.callers) % len(reachable)]
                self.callers.append(self.harness.send(gateway, **fields))
            self.harness.network.advance(pause_s)

    def statuses(self, since: int = 0) -> list[int]:
        """Return the response statuses of the callers from an index on; 0 without a response."""
        return [(caller.status or 0) if answered(caller) else 0 for caller in self.callers[since:]]
