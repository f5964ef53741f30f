# SPDX-License-Identifier: BSD-3-Clause
"""No more tokens than prepaid are used when the store is rolled back to an older copy.

Guards against tokens that are granted twice: once by rows that the rollback lost, and again by the
older rows, which show these tokens as free.
"""

import random
from functools import partial

import pytest

from turnward.gateway import RetryPolicy, Workspace
from turnward.gateway.account_updates import AccountUpdates, TakenTokens
from turnward.gateway.accounts import (
    ROW_NAME,
    TABLE,
    AccountRow,
    decode_account,
    fold_predecessors,
    restore_account,
    taken_tokens,
)
from turnward.gateway.restoring import AccountRestorer
from turnward.gateway.tests.harness import ENGINE_POOL, KEY, stream_events
from turnward.gateway.tests.rollback_simulation import RollbackSimulation
from turnward.rows import RowKey, RowVersion

PROMPT_TOKENS = 2_000
#: The prompt and four events.
RUN_TOKENS = PROMPT_TOKENS + 4 * 5


class TokenSimulation(RollbackSimulation):
    """Gateways that share one workspace's tokens."""

    def __init__(self, gateways: int, prepaid: int):
        workspace = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=prepaid)
        super().__init__(
            gateways,
            behave=stream_events(4),
            pools=(ENGINE_POOL,),
            workspaces=(workspace,),
            repeat=RetryPolicy.STREAM,
            time_limit_s=5.0,
        )
        self.prepaid = prepaid
        self._down: list = []

    def run_traffic(self, seconds: float, pause_s: float = 0.1, **fields) -> None:
        """Send prompts for some seconds."""
        headers = self.harness.prompt(PROMPT_TOKENS, 20)
        super().run_traffic(seconds, pause_s, method=b"POST", body=b"", headers=headers, **fields)

    @property
    def used_tokens(self) -> int:
        """Tokens of all runs that endpoints have received."""
        return RUN_TOKENS * sum(len(endpoint.requests) for endpoint in self.endpoints)

    def reachable_gateways(self) -> list[int]:
        """See ``RollbackSimulation.reachable_gateways``; the last process of a machine runs."""
        last = {machine: number for number, machine in enumerate(self.harness.machines)}
        return [number for machine, number in last.items() if machine not in self._down]

    def restart(self, index: int, after_s: float) -> None:
        """Kill a gateway's process, and start another on its machine after ``after_s`` seconds."""
        machine = self.harness.machines[index]
        if machine in self._down or machine in self.harness.machines[index + 1 :]:
            return
        machine.kill()
        self._down.append(machine)
        self.harness.network.clock.callLater(after_s, self._start, machine, index)

    def _start(self, machine, index: int) -> None:
        machine.restart()
        self._down.remove(machine)
        self.harness.run_gateway(machine, self.harness.gateways[index]._settings.node)


@pytest.mark.parametrize("age_s", [1.0, 3.0, 5.0, 8.0])
@pytest.mark.parametrize("gateways", [2, 7])
def test_limit_holds_after_a_rollback(gateways, age_s):
    simulation = TokenSimulation(gateways, prepaid=250_000)
    simulation.harness.network.advance(1.0)
    simulation.run_traffic(9.0, 1 / 8)
    simulation.roll_back(age_s)
    simulation.run_traffic(12.0)
    assert simulation.used_tokens <= simulation.prepaid


def random_simulation(seed: int) -> TokenSimulation:
    """Simulate rollbacks, crashes and partitions, with demand above the limit."""
    rng = random.Random(seed)
    simulation = TokenSimulation(
        rng.choice((2, 4, 7)), prepaid=rng.choice((150_000, 250_000, 600_000))
    )
    simulation.harness.network.advance(rng.uniform(0.2, 2.0))
    for _ in range(rng.randint(2, 4)):
        simulation.run_traffic(rng.uniform(0.5, 6.0), 1 / rng.uniform(4.0, 25.0))
        fault = rng.random()
        if fault < 0.5:
            if rng.random() < 0.4:
                simulation.restart(
                    rng.randrange(len(simulation.harness.machines)), rng.uniform(0.3, 3.0)
                )
            simulation.roll_back(rng.uniform(0.5, 10.0), rng.choice((0.1, 0.6, 2.5)))
        elif fault < 0.8:
            simulation.restart(
                rng.randrange(len(simulation.harness.machines)), rng.uniform(0.3, 3.0)
            )
        else:
            client = rng.choice(simulation.harness.clients)
            client.faults.unavailable = True
            heal = partial(setattr, client.faults, "unavailable", False)
            simulation.harness.network.clock.callLater(rng.uniform(0.5, 5.0), heal)
        if rng.random() < 0.3:
            simulation.harness.rows.faults.late_share = 0.2
            simulation.harness.rows.faults.lost_share = 0.2
    simulation.harness.rows.faults.late_share = simulation.harness.rows.faults.lost_share = 0.0
    simulation.run_traffic(10.0, 0.05)
    return simulation


@pytest.mark.parametrize("seed", range(1, 9))
def test_limit_holds_after_rollbacks_crashes_and_partitions(seed):
    simulation = random_simulation(seed)
    assert simulation.used_tokens <= simulation.prepaid


@pytest.mark.parametrize("gateways", [2, 7])
def test_callers_are_served_during_a_rollback(gateways):
    simulation = TokenSimulation(gateways, prepaid=5_000_000)
    simulation.harness.network.advance(1.0)
    simulation.run_traffic(8.0)
    simulation.roll_back(6.0)
    simulation.run_traffic(6.0)
    assert set(simulation.statuses()) == {200}


def simulate_unclaimed_tokens() -> TokenSimulation:
    """Crash a router right after it took tokens that the store then loses."""
    simulation = TokenSimulation(2, prepaid=250_000)
    simulation.harness.network.advance(1.0)
    simulation.run_traffic(9.0, 1 / 8)
    taken = len(simulation.harness.logs[0].of("prepaid.taken"))
    while len(simulation.harness.logs[0].of("prepaid.taken")) == taken:
        simulation.run_traffic(0.05, 0.05)
    simulation.harness.network.advance(0.05)
    simulation.restart(0, after_s=60.0)
    simulation.roll_back(8.0)
    simulation.run_traffic(12.0)
    return simulation


def test_unclaimed_tokens_stay_counted():
    """A router that crashed before the rollback had announced its last row to the others."""
    simulation = simulate_unclaimed_tokens()
    assert simulation.used_tokens <= simulation.prepaid
    assert [
        line["unattributed"] > 0 for line in simulation.harness.logs[1].of("prepaid.restored")
    ] == [True]


def test_unclaimed_tokens_are_spent_twice_without_updates(monkeypatch):
    monkeypatch.setattr(AccountUpdates, "merge", lambda *_: None)
    # The other router must not know the row from its own reads and writes either.
    monkeypatch.setattr(AccountUpdates, "record_read", lambda *_: None)
    monkeypatch.setattr(AccountUpdates, "record_written", lambda *_: None)
    simulation = simulate_unclaimed_tokens()
    assert simulation.used_tokens > simulation.prepaid


def test_fold_that_the_store_lost_is_repeated_with_its_bound():
    """Guards against counting a predecessor's whole grant as spent after a rollback."""
    simulation = TokenSimulation(4, prepaid=2_000_000)
    simulation.harness.network.advance(1.0)
    simulation.run_traffic(4.0)
    logs = simulation.harness.logs
    holder = next(index for index, log in enumerate(logs) if log.of("prepaid.taken"))
    simulation.restart(holder, after_s=0.5)
    simulation.run_traffic(2.0)
    first, *others = logs[-1].of("prepaid.folded")
    assert first["returned"] > 100_000 and not others
    simulation.roll_back(3.0)
    simulation.run_traffic(4.0)
    _, repeated = logs[-1].of("prepaid.folded")
    assert (repeated["held"], repeated["spent"]) == (first["held"], first["spent"])
    account = decode_account(simulation.harness.rows.get(RowKey(TABLE, "acme", ROW_NAME)))
    held_by_others = sum(account.granted_tokens.values())
    assert taken_tokens(account) <= first["spent"] + held_by_others + first["returned"] // 10
    assert simulation.used_tokens <= simulation.prepaid


def test_tokens_that_a_lost_fold_returned_are_not_returned_again():
    """The lost fold left 10 tokens spent; a router that has ended since took 80 of the rest."""
    copy = AccountRow(100, granted_tokens={"node-1@a": 100}, era=1, prior_era=1, prior_number=3)
    known = TakenTokens(RowVersion.of(1, 9), 90)
    restored = restore_account(copy, 2, "node-2@a", 0, known)
    bounds = {"node-1@a": 10}
    folded = fold_predecessors(restored, "node-1", "node-1@b", bounds, may_be_returned=True)
    assert taken_tokens(folded) == 90
    assert folded.ended_tokens == 10
    # Without it, the 80 tokens could be taken twice.
    assert taken_tokens(fold_predecessors(restored, "node-1", "node-1@b", bounds)) == 10


@pytest.mark.parametrize("seed", [4, 5, 6, 7])
def test_router_that_takes_before_claiming_overspends(seed, monkeypatch):
    monkeypatch.setattr(AccountRestorer, "is_current", lambda *_: True)
    simulation = random_simulation(seed)
    assert simulation.used_tokens > simulation.prepaid
