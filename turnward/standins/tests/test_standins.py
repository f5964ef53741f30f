# SPDX-License-Identifier: BSD-3-Clause
"""The stand-ins keep the behaviour that the tests of the product rest on."""

import msgspec
import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from turnward.standins import (
    BatchSettings,
    EngineBatch,
    EngineFaults,
    EngineRun,
    EngineStandIn,
    MemoryNetwork,
    MemoryRows,
    RowsClient,
)


def finish(batch, runs):
    now_s, order = 0.0, []
    while not all(run.finished for run in runs):
        now_s += batch.step_time_s()
        order += [run.run_id for run in batch.step(now_s) if run.finished]
    return order


def test_batch_is_bounded_and_urgent_runs_enter_first():
    batch = EngineBatch(BatchSettings(slots=1))
    runs = [EngineRun(name, 1, 2, priority=rank) for name, rank in (("a", 5), ("b", 5), ("c", 0))]
    for run in runs:
        batch.add(run)
    assert finish(batch, runs) == ["c", "a", "b"]


def test_prefix_cache_is_limited_and_reports_what_it_drops():
    batch = EngineBatch(BatchSettings(cache_prefixes=2))
    for prefix in ("p1", "p2", "p1", "p3"):
        run = EngineRun(prefix, 10, 1, prefix)
        batch.add(run)
        finish(batch, [run])
    assert list(batch.cache) == ["p1", "p3"]
    assert (batch.cache_hits, batch.cache_misses) == (1, 3)
    events = [(event.kind, event.prefix) for event in batch.cache_events]
    assert events == [("stored", "p1"), ("stored", "p2"), ("stored", "p3"), ("evicted", "p2")]


@pytest.mark.parametrize(
    ("lag_s", "gap", "expected"), [(0, 0, [1, 2, 3]), (0, 2, [1, 3]), (9, 0, [])]
)
def test_cache_events_come_late_and_with_gaps(lag_s, gap, expected):
    engine = EngineStandIn(Clock(), BatchSettings())
    for number in range(3):
        engine.batch._note_cache("stored", f"p{number}", 0.0)
    engine.faults = EngineFaults(cache_lag_s=lag_s, cache_gap=gap)
    assert [event.number for event in engine._cache_events(0)] == expected


def test_cancel_of_a_run_never_seen_keeps_it_from_beginning():
    engine = EngineStandIn(Clock(), BatchSettings())
    answer = msgspec.json.decode(engine._cancel("run-1"))
    assert answer["state"] == "cancelled"
    assert answer["used_tokens"] == 0
    assert "run-1" in engine.runs


def test_reads_that_are_held_back_are_answered_once_they_are_released():
    network = MemoryNetwork()
    rows = MemoryRows(network.clock)
    client = RowsClient(rows, network.machine("10.1.0.1"))
    client.hold_reads("late")
    answers = []
    for table in ("late", "prompt"):
        read = defer.ensureDeferred(client.read_table(table))
        read.addCallback(lambda _, table=table: answers.append(table))
    network.advance(5.0)
    assert answers == ["prompt"]
    client.release_reads("late")
    defer.ensureDeferred(client.read_table("late")).addCallback(lambda _: answers.append("again"))
    network.advance(0.1)
    assert answers == ["prompt", "late", "again"]
