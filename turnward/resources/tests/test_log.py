# SPDX-License-Identifier: BSD-3-Clause
"""Tests of the configuration log with lost responses, conflicting and invalid changes."""

import pytest

from tests.helpers import run
from turnward.budgets import budget_key
from turnward.resources import Change, ConfigLog, VersionConflictError
from turnward.settings import SettingsError
from turnward.store import FaultyTable, MemoryTable


def budget_change(limit_tokens, expected_version=None):
    spec = {"name": "b", "limit_tokens": limit_tokens}
    return Change("budgets", "b", spec, expected_version)


@pytest.mark.parametrize("lost", [0, 1])
def test_change_with_lost_response_is_accepted_once(lost):
    table = FaultyTable(MemoryTable())
    log = ConfigLog(table)
    table.lose_answers = lost
    assert run(log.apply([budget_change(100)], 0.0)) == 1
    table.lose_answers = lost
    assert run(log.apply([budget_change(300)], 0.0)) == 2
    row = run(table.read([budget_key("b")]))[budget_key("b")].value
    assert (row["limit_tokens"], row["ungranted_tokens"]) == (300, 300)
    assert len(run(log.entries_after(0))) == 2


def test_second_of_two_conflicting_changes_is_rejected():
    table = MemoryTable()
    run(ConfigLog(table).apply([budget_change(100)], 0.0))
    run(ConfigLog(table).apply([budget_change(200, expected_version=1)], 0.0))
    with pytest.raises(VersionConflictError):
        run(ConfigLog(table).apply([budget_change(300, expected_version=1)], 0.0))


def test_invalid_change_rejects_the_whole_batch():
    log = ConfigLog(MemoryTable())
    workspace = {"name": "w", "key_sha256": "a" * 64, "budget": "none", "priority_class": "p"}
    with pytest.raises(SettingsError) as caught:
        run(log.apply([budget_change(100), Change("workspaces", "w", workspace)], 0.0))
    assert len(caught.value.faults) == 2
    assert run(log.head()) == 0


def test_loaded_state_equals_the_replayed_log():
    log = ConfigLog(MemoryTable())
    model = {"name": "m", "default_output_tokens": 5}
    run(log.apply([Change("models", "m", model), budget_change(10)], 0.0))
    run(log.apply([Change("models", "m", {**model, "default_output_tokens": 6})], 0.0))
    loaded = run(log.load())
    replayed = type(loaded)()
    for entry in run(log.entries_after(0)):
        assert replayed.take(entry)
    assert replayed.revision == loaded.revision == 3
    assert replayed.resources.by_kind == loaded.resources.by_kind
