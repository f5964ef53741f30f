# SPDX-License-Identifier: BSD-3-Clause
"""The end reserve serves a few small requests, and never exceeds the limit."""

import pytest

from turnward.gateway import Workspace
from turnward.gateway.accounts import AccountRow
from turnward.gateway.end_reserve import EndReserve, EndReserveRule
from turnward.gateway.tests.harness import ENGINE_POOL, KEY, Harness, stream_events
from turnward.gateway.tests.test_prepaid import PrepaidSimulation, random_schedule

RULE = EndReserveRule(share=0.1, release_s=40.0)
ROW = AccountRow(limit_tokens=10_000, ended_tokens=9_000)


def spend(reserve, tokens, seconds, used=9_000, from_s=100.0):
    """Request tokens twice a second; return the times at which requests were admitted."""
    admitted_s = []
    for step in range(int(seconds * 2)):
        now_s = from_s + step / 2
        row = AccountRow(limit_tokens=10_000, ended_tokens=used)
        if reserve.admit_request(row, tokens, now_s):
            used += tokens
            admitted_s.append(now_s - from_s)
    return admitted_s


def test_reserve_is_not_available_to_ordinary_requests():
    reserve = EndReserve(RULE, "x")
    assert reserve.available_tokens(ROW) == 0
    assert reserve.available_tokens(AccountRow(limit_tokens=10_000)) == 9_000


def test_available_tokens_are_negative_after_the_limit_was_lowered():
    assert (
        EndReserve(RULE, "x").available_tokens(AccountRow(limit_tokens=10, ended_tokens=30)) == -20
    )


def test_reserve_is_released_evenly_over_the_release_time():
    admitted_s = spend(EndReserve(RULE, "x"), 100, 60)
    assert len(admitted_s) == 10
    assert admitted_s[-1] >= 30
    gaps_s = [after - before for before, after in zip(admitted_s, admitted_s[1:], strict=False)]
    assert max(gaps_s) - min(gaps_s) <= 1.0


def test_reserve_of_a_small_limit_still_serves_a_usual_request():
    """A maximum request size relative to the reserve would leave its 1,800 tokens unused."""
    reserve = EndReserve(EndReserveRule(share=0.012), "x")
    row = AccountRow(limit_tokens=150_000, ended_tokens=148_200)
    assert not reserve.admit_request(row, 900, 0.0)
    assert reserve.admit_request(row, 900, 20.0)


def test_partly_used_reserve_lasts_the_full_release_time():
    admitted_s = spend(EndReserve(RULE, "x"), 100, 60, used=9_500)
    assert len(admitted_s) == 5
    assert admitted_s[-1] >= 28


def test_raised_limit_restarts_the_release():
    reserve = EndReserve(RULE, "x")
    assert len(spend(reserve, 100, 60)) == 10
    second_admitted_s = spend(reserve, 100, 60, used=9_000, from_s=260.0)
    assert len(second_admitted_s) == 10
    assert second_admitted_s[-1] >= 30


@pytest.mark.parametrize("name", ["a", "b", "c", "d"])
def test_first_requests_are_staggered(name):
    first_s = spend(EndReserve(RULE, name), 200, 60)[0]
    assert 0 <= first_s <= 8


@pytest.mark.parametrize("tokens", [1_001, 5_000])
def test_requests_larger_than_the_reserve_never_get_it(tokens):
    assert not spend(EndReserve(RULE, "x"), tokens, 120)


def test_nothing_is_reserved_without_a_share():
    reserve = EndReserve(EndReserveRule(), "x")
    assert reserve.available_tokens(ROW) == 1_000
    assert not spend(reserve, 1, 60)


@pytest.mark.parametrize("seed", range(120))
def test_random_schedules_with_a_reserve_keep_the_limit(seed):
    simulation = PrepaidSimulation(end_reserve_rule=EndReserveRule(share=0.3, release_s=3.0))
    for action in random_schedule(seed):
        # Each step checks the spending against the limit.
        simulation.step(action)


def small_requests_after_exhaustion(reserve_share, small=20, large=2_000):
    """Return how many small requests are served after large ones have exhausted the limit."""
    workspace = Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=20_000)
    harness = Harness(pools=(ENGINE_POOL,), workspaces=(workspace,), priority=0)
    harness.budget_reserve_share = reserve_share
    harness.endpoint(stream_events(1))
    harness.ready()
    harness.network.advance(1.0)

    def ask(tokens):
        return harness.ask(method=b"POST", body=b"", headers=harness.prompt(tokens, 5)).status

    while ask(large) == 200:
        harness.network.advance(0.3)
    while ask(small) == 200 and reserve_share == 0:
        harness.network.advance(0.1)
    served = 0
    for _ in range(60):
        served += ask(small) == 200
        harness.network.advance(0.2)
    used = sum(len(endpoint.requests) for endpoint in harness.endpoints)
    assert used * small <= 20_000
    return served


def test_exhausted_workspace_still_serves_a_few_small_requests():
    assert small_requests_after_exhaustion(0.0) == 0
    assert small_requests_after_exhaustion(0.1) >= 3
