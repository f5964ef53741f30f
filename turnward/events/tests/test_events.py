# SPDX-License-Identifier: BSD-3-Clause
"""Tests of hybrid clocks, the merged timeline and metrics sent to statsd."""

import socket

from turnward.events import (
    Event,
    EventLog,
    HybridClock,
    HybridTimestamp,
    ManualClock,
    Metrics,
    merge_events,
)


def test_timestamps_keep_message_order_despite_clock_skew():
    ahead, behind = HybridClock(ManualClock(2_000.0)), HybridClock(ManualClock(1_000.0))
    sent = ahead.tick()
    behind.observe(sent)
    assert behind.tick() > sent


def test_merged_timeline_has_each_event_once_and_in_order():
    clock = ManualClock()
    logs = [EventLog(HybridClock(clock), name, "a", name) for name in ("r1", "r2")]
    for number in range(3):
        logs[number % 2].emit("request.sent", request_id=str(number))
        clock.advance(1.0)
    shipped = logs[0].take_unshipped()
    merged = merge_events([shipped, logs[1].recent(), logs[0].recent()])
    assert [event.request_id for event in merged] == ["0", "1", "2"]


def test_unshipped_events_are_put_back_in_order():
    log = EventLog(HybridClock(ManualClock()), "r1", "a")
    first, second = log.emit("a"), log.emit("b")
    log.put_back(log.take_unshipped())
    assert log.take_unshipped() == [first, second]
    assert isinstance(first, Event)
    assert first.stamp == HybridTimestamp(1_000_000, 0)


def test_metrics_are_sent_over_statsd():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5.0)
        metrics = Metrics.from_config(f"127.0.0.1:{server.getsockname()[1]}")
        metrics.count("bills.written", 2)
        assert server.recv(100) == b"turnward.bills.written:2|c"
