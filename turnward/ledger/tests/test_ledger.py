# SPDX-License-Identifier: BSD-3-Clause
"""Compares the ledger with a reference model, and the budget schemes with each other."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turnward.budgets import BudgetView, GrantLedger, RefusalReason, SizingRule
from turnward.replay import BudgetScenario, replay_budget

STEPS = st.lists(
    st.tuples(st.sampled_from(["add", "reserve", "settle", "withdraw"]), st.integers(1, 50)),
    max_size=60,
)


@settings(max_examples=100, derandomize=True, database=None, deadline=None)
@given(steps=STEPS)
def test_ledger_matches_a_reference_model(steps):
    ledger, granted, settled, open_reservations = GrantLedger(SizingRule()), 0, 0, []
    for action, tokens in steps:
        held = sum(reservation.tokens for reservation in open_reservations)
        if action == "add":
            ledger.add("b", tokens)
            granted += tokens
        elif action == "reserve":
            result = ledger.reserve("b", tokens, 1.0)
            assert result.is_ok() == (tokens <= granted - settled - held)
            if result.is_ok():
                open_reservations.append(result.ok)
        elif action == "settle" and open_reservations:
            reservation = open_reservations.pop()
            billed = ledger.settle(reservation, tokens)
            assert billed == min(tokens, reservation.tokens)
            settled += billed
        elif action == "withdraw":
            granted -= ledger.withdraw("b", tokens)
        held = sum(reservation.tokens for reservation in open_reservations)
        assert ledger.free_tokens("b") == granted - settled - held >= 0


def test_reservation_is_settled_once():
    ledger = GrantLedger(SizingRule())
    ledger.add("b", 10)
    reservation = ledger.reserve("b", 5, 1.0).ok
    ledger.settle(reservation, 5)
    with pytest.raises(ValueError, match="settled already"):
        ledger.settle(reservation, 5)


@pytest.mark.parametrize(
    ("view", "reason"),
    [
        (BudgetView(100, 0, 95), RefusalReason.EXHAUSTED),
        (BudgetView(100, 0, 10), RefusalReason.UNREACHABLE),
        (None, RefusalReason.UNREACHABLE),
    ],
)
def test_refusal_distinguishes_exhausted_from_unreachable(view, reason):
    ledger = GrantLedger(SizingRule())
    if view is not None:
        ledger.observe("b", view, 1.0)
    assert ledger.reserve("b", 10, 1.0).error is reason


def test_lowered_limit_returns_free_tokens():
    ledger = GrantLedger(SizingRule())
    ledger.add("b", 1_000)
    ledger.reserve("b", 300, 1.0)
    ledger.observe("b", BudgetView(500, -500, 0), 1.0)
    assert ledger.plan_returns(1.0) == {"b": 700}


@pytest.mark.parametrize("outage_s", [0, 30, 60])
@pytest.mark.parametrize(("skew", "shift"), [(0.7, False), (0.7, True)])
def test_grants_cause_fewer_false_refusals_than_even_split_near_the_limit(outage_s, skew, shift):
    scenario = BudgetScenario(limit_ratio=0.9, skew=skew, shift=shift, outage_s=outage_s)
    grants, even_split = replay_budget(scenario, "grants"), replay_budget(scenario, "even_split")
    assert grants.overspent_tokens == even_split.overspent_tokens == 0
    assert grants.false_refusals < even_split.false_refusals / 3


def test_idle_budget_is_evicted_and_a_held_one_is_not():
    ledger = GrantLedger(SizingRule())
    ledger.reserve("idle", 5, 1.0)
    ledger.reserve("held", 5, 1.0)
    ledger.add("held", 5)
    ledger.plan_grants(2.0)
    ledger.evict_idle(100.0)
    assert ledger.budgets() == ["held"]
