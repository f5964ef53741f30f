# SPDX-License-Identifier: BSD-3-Clause
"""A store that goes back to an older copy, under gateways on the network in memory."""

import msgspec

from turnward.gateway.tests.harness import Harness, answer_ok, answered
from turnward.standins import RowsCopy

__all__ = ["RollbackSimulation"]

#: Seconds between two writes of others, which let the store's numbers rise.
_BEAT_S = 0.05
#: Seconds between two copies of the store, and how many are kept.
_COPY_S = 0.5
_COPIES = 40
#: Tables whose writers write again what the store has lost.
WRITTEN_AGAIN = ("configuration", "endpoints")


class _Moment(msgspec.Struct, frozen=True):
    """A copy and when it was made."""

    time_s: float
    copy: RowsCopy


class RollbackSimulation:
    """Gateways before a store that can be away and come back from a copy.

    Parameters
    ----------
    gateways, endpoints : int
        How many.
    fields
        Of the rig.
    """

    def __init__(self, gateways: int, endpoints: int = 4, behave=answer_ok, **fields):
        self.harness = Harness(**fields)
        self.endpoints = [self.harness.endpoint(behave) for _ in range(endpoints)]
        self.callers: list = []
        self._moments: list[_Moment] = []
        self._beat()
        self._copy()
        self.harness.ready(gateways)

    @property
    def now_s(self) -> float:
        """The network's time."""
        return self.harness.network.clock.seconds()

    def _beat(self) -> None:
        """Write a row that nobody follows, while the store is there."""
        self.harness.network.clock.callLater(_BEAT_S, self._beat)
        if not self.harness.rows.faults.away:
            self.harness.rows.put("beats", "one", b"")

    def _copy(self) -> None:
        self.harness.network.clock.callLater(_COPY_S, self._copy)
        if not self.harness.rows.faults.away:
            self._moments.append(_Moment(self.now_s, self.harness.rows.copy()))
            del self._moments[:-_COPIES]

    def go_back(self, age_s: float, away_s: float = 0.6, written_again_s: float = 0.0) -> None:
        """Let the store be away and come back from a copy of some age.

        Parameters
        ----------
        written_again_s : float
            Seconds after the return at which operators and endpoints write again what was lost.
        """
        rows = self.harness.rows
        copies = [one for one in self._moments if one.time_s <= self.now_s - age_s]
        copy = (copies or self._moments[:1])[-1].copy
        lost = {key: row for key, row in rows.copy().rows.items() if key.table in WRITTEN_AGAIN}
        rows.faults.away = True
        self.run_traffic(away_s)
        rows.go_back(copy)
        self._moments.clear()
        rows.faults.away = False
        self.harness.network.clock.callLater(written_again_s, self._write_again, lost)

    def _write_again(self, lost: dict) -> None:
        for key, row in lost.items():
            now = self.harness.rows.get(key)
            if now.version > self.harness.rows.returned_at:
                continue
            if row.gone and now.version and not now.gone:
                self.harness.rows.remove(key.table, key.key)
            elif not row.gone and now.value != row.value:
                self.harness.rows.put(key.table, key.key, row.value)

    def up(self) -> list[int]:
        """Return the numbers of the gateways that callers can reach."""
        return list(range(len(self.harness.gateways)))

    def run_traffic(self, seconds: float, pause_s: float = 0.1, **fields) -> None:
        """Send a request to each gateway in turn, and go on for a while."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            up = self.up()
            if up:
                gateway = up[len(self.callers) % len(up)]
                self.callers.append(self.harness.send(gateway, **fields))
            self.harness.network.advance(pause_s)

    def statuses(self, since: int = 0) -> list[int]:
        """Return the statuses of the callers from a number on; 0 where there is no answer."""
        return [(caller.status or 0) if answered(caller) else 0 for caller in self.callers[since:]]
