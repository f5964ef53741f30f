# SPDX-License-Identifier: BSD-3-Clause
"""No more than is prepaid is used, though the store comes back from an older copy.

The story. Workspaces used up to four fifths more tokens than they had paid for. The store had come
back from a copy some seconds old: grants that routers had taken since were gone from its rows, the
routers spent them all the same, and took the same tokens once more out of rows that showed them as
free.

The cause: a router's grant was a number in a row, and nobody but the row knew it. The evidence: in
the plays the row of a workspace shows the grants of the copy right after the return, while the
ledgers of the routers hold more; the difference is what is used beyond the limit. Routers now claim
in the row what they hold before anything is granted, and tell each other what the latest row said,
so that what dead ones had taken stays counted.
"""

import random
from functools import partial

import pytest

from turnward.gateway import Repeat, Workspace
from turnward.gateway.account_updates import AccountUpdates
from turnward.gateway.restoring import AccountRestorer
from turnward.gateway.tests.harness import ENGINE_POOL, KEY, stream_events
from turnward.gateway.tests.rollback_simulation import RollbackSimulation

PROMPT_TOKENS = 2_000
#: Tokens of a run: its prompt, and four events.
RUN_TOKENS = PROMPT_TOKENS + 4 * 5


class TokenPlay(RollbackSimulation):
    """Gateways that share one workspace's tokens."""

    def __init__(self, gateways: int, prepaid: int):
        workspace = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=prepaid)
        super().__init__(
            gateways,
            behave=stream_events(4),
            pools=(ENGINE_POOL,),
            workspaces=(workspace,),
            repeat=Repeat.STREAM,
            time_limit_s=5.0,
        )
        self.prepaid = prepaid
        self._down: list = []

    def run_traffic(self, seconds: float, pause_s: float = 0.1, **fields) -> None:
        """Ask for runs for a while."""
        headers = self.harness.prompt(PROMPT_TOKENS, 20)
        super().run_traffic(seconds, pause_s, method=b"POST", body=b"", headers=headers, **fields)

    @property
    def used_tokens(self) -> int:
        """What engines have run."""
        return RUN_TOKENS * sum(len(endpoint.requests) for endpoint in self.endpoints)

    def up(self) -> list[int]:
        """See ``RollbackSimulation.up``; of several processes of a machine the last one runs."""
        last = {machine: number for number, machine in enumerate(self.harness.machines)}
        return [number for machine, number in last.items() if machine not in self._down]

    def restart(self, index: int, after_s: float) -> None:
        """Kill a gateway's process; another starts on its machine after a while."""
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
    play = TokenPlay(gateways, prepaid=250_000)
    play.harness.network.advance(1.0)
    play.run_traffic(9.0, 1 / 8)
    play.go_back(age_s)
    play.run_traffic(12.0)
    assert play.used_tokens <= play.prepaid


def random_play(seed: int) -> TokenPlay:
    """Play returns, deaths and cuts, and ask for more than there is."""
    draw = random.Random(seed)
    play = TokenPlay(draw.choice((2, 4, 7)), prepaid=draw.choice((150_000, 250_000, 600_000)))
    play.harness.network.advance(draw.uniform(0.2, 2.0))
    for _ in range(draw.randint(2, 4)):
        play.run_traffic(draw.uniform(0.5, 6.0), 1 / draw.uniform(4.0, 25.0))
        drawn = draw.random()
        if drawn < 0.5:
            if draw.random() < 0.4:
                play.restart(draw.randrange(len(play.harness.machines)), draw.uniform(0.3, 3.0))
            play.go_back(draw.uniform(0.5, 10.0), draw.choice((0.1, 0.6, 2.5)))
        elif drawn < 0.8:
            play.restart(draw.randrange(len(play.harness.machines)), draw.uniform(0.3, 3.0))
        else:
            cut = draw.choice(play.harness.clients)
            cut.faults.away = True
            heal = partial(setattr, cut.faults, "away", False)
            play.harness.network.clock.callLater(draw.uniform(0.5, 5.0), heal)
        if draw.random() < 0.3:
            play.harness.rows.faults.late_share = 0.2
            play.harness.rows.faults.lost_share = 0.2
    play.harness.rows.faults.late_share = play.harness.rows.faults.lost_share = 0.0
    play.run_traffic(10.0, 0.05)
    return play


@pytest.mark.parametrize("seed", range(1, 9))
def test_limit_holds_after_rollbacks_crashes_and_partitions(seed):
    play = random_play(seed)
    assert play.used_tokens <= play.prepaid


@pytest.mark.parametrize("gateways", [2, 7])
def test_callers_are_served_during_a_rollback(gateways):
    play = TokenPlay(gateways, prepaid=5_000_000)
    play.harness.network.advance(1.0)
    play.run_traffic(8.0)
    play.go_back(6.0)
    play.run_traffic(6.0)
    assert set(play.statuses()) == {200}


def unclaimed_play() -> TokenPlay:
    """Let a router die right after it took tokens that the store then loses."""
    play = TokenPlay(2, prepaid=250_000)
    play.harness.network.advance(1.0)
    play.run_traffic(9.0, 1 / 8)
    taken = len(play.harness.logs[0].of("prepaid.taken"))
    while len(play.harness.logs[0].of("prepaid.taken")) == taken:
        play.run_traffic(0.05, 0.05)
    play.harness.network.advance(0.05)
    play.restart(0, after_s=60.0)
    play.go_back(8.0)
    play.run_traffic(12.0)
    return play


def test_unclaimed_tokens_stay_counted():
    """A router that died with the lost seconds had told the others what its row said."""
    play = unclaimed_play()
    assert play.used_tokens <= play.prepaid
    assert [line["unattributed"] > 0 for line in play.harness.logs[1].of("prepaid.restored")] == [
        True
    ]


def test_unclaimed_tokens_are_spent_twice_without_updates(monkeypatch):
    monkeypatch.setattr(AccountUpdates, "take_in", lambda *_: None)
    # Between two looks at the row the other router can't know it itself.
    monkeypatch.setattr(AccountUpdates, "note_seen", lambda *_: None)
    monkeypatch.setattr(AccountUpdates, "note_written", lambda *_: None)
    play = unclaimed_play()
    assert play.used_tokens > play.prepaid


@pytest.mark.parametrize("seed", [4, 5, 6, 7])
def test_router_that_takes_before_claiming_overspends(seed, monkeypatch):
    monkeypatch.setattr(AccountRestorer, "is_current", lambda *_: True)
    play = random_play(seed)
    assert play.used_tokens > play.prepaid
