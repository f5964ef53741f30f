# SPDX-License-Identifier: BSD-3-Clause
"""The last part of a limit goes to a few small requests, and never beyond the limit."""

import pytest

from turnward.gateway import Workspace
from turnward.gateway.accounts import AccountRow
from turnward.gateway.end_reserve import EndReserve, EndReserveRule
from turnward.gateway.tests.rig import ENGINE_POOL, KEY, Rig, stream
from turnward.gateway.tests.test_prepaid import World, random_schedule

RULE = EndReserveRule(share=0.1, one_in=6, smallness=4)
ROW = AccountRow(limit_tokens=10_000, ended_tokens=9_000)


def test_reserve_is_not_open_to_all():
    reserve = EndReserve(RULE, "x")
    assert reserve.open_tokens(ROW) == 0
    assert reserve.open_tokens(AccountRow(limit_tokens=10_000)) == 9_000


def test_recalled_limit_shows_as_such():
    assert EndReserve(RULE, "x").open_tokens(AccountRow(limit_tokens=10, ended_tokens=30)) == -20


def test_small_requests_get_through_one_in_so_many():
    reserve = EndReserve(RULE, "x")
    passed = [reserve.lets_through(ROW, 100) for _ in range(60)]
    assert sum(passed) == 10


def test_fewer_get_through_the_less_is_left():
    row = AccountRow(limit_tokens=10_000, ended_tokens=9_500)
    reserve = EndReserve(RULE, "x")
    assert sum(reserve.lets_through(row, 100) for _ in range(60)) == 5


@pytest.mark.parametrize("tokens", [251, 1_000, 5_000])
def test_large_requests_never_get_the_reserve(tokens):
    reserve = EndReserve(RULE, "x")
    assert not any(reserve.lets_through(ROW, tokens) for _ in range(60))


def test_reserve_of_a_small_limit_still_serves_a_usual_request():
    """With a fourth as bound, 1,800 tokens that are left served nobody."""
    reserve = EndReserve(EndReserveRule(share=0.012), "x")
    row = AccountRow(limit_tokens=150_000, ended_tokens=148_200)
    assert sum(reserve.lets_through(row, 900) for _ in range(60)) == 10


def test_nothing_is_kept_without_a_share():
    reserve = EndReserve(EndReserveRule(), "x")
    assert reserve.open_tokens(ROW) == 1_000
    assert not any(reserve.lets_through(ROW, 1) for _ in range(60))


@pytest.mark.parametrize("seed", range(120))
def test_random_schedules_with_a_reserve_keep_the_limit(seed):
    world = World(end_rule=EndReserveRule(share=0.3, one_in=2, smallness=2))
    for action in random_schedule(seed):
        # Each step checks what is spent against the limit.
        world.step(action)


def ask_until_dry(reserve_share, small=20, large=2_000):
    """Return how many small requests are served after large ones have used all up."""
    workspace = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=20_000)
    rig = Rig(pools=(ENGINE_POOL,), workspaces=(workspace,), priority=0)
    rig.budget_reserve_share = reserve_share
    rig.endpoint(stream(1))
    rig.ready()
    rig.network.advance(1.0)

    def ask(tokens):
        return rig.ask(method=b"POST", body=b"", headers=rig.prompt(tokens, 5)).status

    while ask(large) == 200:
        rig.network.advance(0.3)
    while ask(small) == 200 and reserve_share == 0:
        rig.network.advance(0.1)
    served = 0
    for _ in range(60):
        served += ask(small) == 200
        rig.network.advance(0.2)
    used = sum(len(endpoint.requests) for endpoint in rig.endpoints)
    assert used * small <= 20_000
    return served


def test_workspace_that_is_used_up_still_has_a_few_small_requests_served():
    assert ask_until_dry(0.0) == 0
    assert ask_until_dry(0.1) >= 3
