# SPDX-License-Identifier: BSD-3-Clause
"""Grants under lost responses, store outages and fencing."""

import pytest

from tests.helpers import add_budget, add_router, run
from turnward.budgets import GrantRequest, GrantStore, budget_key, grant_key
from turnward.fleet import FencedError, RouterRegistry
from turnward.store import FaultyTable, MemoryTable, PlatformUnavailableError


@pytest.fixture
def table():
    table = MemoryTable()
    add_budget(table, "b", 1_000)
    add_router(table, "r1")
    add_router(table, "r2")
    return table


def acquire(store, tokens):
    views = run(store.read_views(["b"]))
    return run(store.apply(store.plan_acquire({"b": GrantRequest(tokens, tokens)}, views)))


def ungranted(table):
    return run(table.read([budget_key("b")]))[budget_key("b")].value["ungranted_tokens"]


def test_two_routers_never_acquire_more_than_the_limit(table):
    stores = [GrantStore(table, "r1"), GrantStore(table, "r2")]
    acquired = sum(acquire(store, 400).get("b", 0) for store in stores * 3)
    assert acquired == 800
    assert ungranted(table) == 200


def test_stale_view_cannot_acquire_tokens_of_another_router(table):
    first, second = GrantStore(table, "r1"), GrantStore(table, "r2")
    stale = run(second.read_views(["b"]))
    assert acquire(first, 900) == {"b": 900}
    assert run(second.apply(second.plan_acquire({"b": GrantRequest(900, 900)}, stale))) == {}


@pytest.mark.parametrize("lost", [1, 2])
def test_acquisition_with_a_lost_response_is_counted_once(table, lost):
    faulty = FaultyTable(table)
    store = GrantStore(faulty, "r1")
    acquire(store, 100)
    faulty.lose_answers = lost
    assert acquire(store, 200) == {}
    assert [change.delta_tokens for change in store.unresolved] == [200]
    assert run(store.resolve()) == {"b": 200}
    assert ungranted(table) == 700


def test_late_write_of_a_cancelled_change_has_no_effect(table):
    faulty = FaultyTable(table)
    store = GrantStore(faulty, "r1")
    acquire(store, 100)
    views = run(store.read_views(["b"]))
    changes = store.plan_acquire({"b": GrantRequest(200, 200)}, views)
    late_write = store._transaction(changes)
    store._unresolved["b"] = changes[0]
    assert run(store.resolve()) == {"b": 0}
    table.apply(late_write)
    assert ungranted(table) == 900


def test_nothing_is_acquired_during_a_store_outage(table):
    faulty = FaultyTable(table)
    store = GrantStore(faulty, "r1")
    faulty.down = True
    with pytest.raises(PlatformUnavailableError):
        acquire(store, 100)
    assert ungranted(table) == 1_000


def test_fenced_router_acquires_nothing(table):
    store = GrantStore(table, "r1")
    assert run(RouterRegistry(table).fence("r1", "r2"))
    with pytest.raises(FencedError):
        acquire(store, 100)
    assert ungranted(table) == 1_000


def test_returned_tokens_are_available_to_other_routers(table):
    store = GrantStore(table, "r1")
    acquire(store, 600)
    store.record_billed_tokens("b", 250)
    assert run(store.apply([store.plan_return("b", 350)])) == {"b": -350}
    rows = run(table.read([budget_key("b"), grant_key("r1", "b")]))
    assert rows[budget_key("b")].value["ungranted_tokens"] == 750
    assert rows[budget_key("b")].value["spent_tokens"] == 250
    assert rows[grant_key("r1", "b")].value["granted_tokens"] == 0
