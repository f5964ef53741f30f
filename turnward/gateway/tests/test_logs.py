# SPDX-License-Identifier: BSD-3-Clause
"""Lines are structured, bounded, and never hold the process up."""

import os

import msgspec
import pytest

from turnward.gateway.logs import BoundedLineWriter, GatewayLog, LineBudget


class Time:
    """A clock set by hand."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def lines_of(reader):
    return [msgspec.json.decode(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_lines_are_json_with_who_and_when(pipe):
    reader, writer = pipe
    log = GatewayLog(BoundedLineWriter(writer), Time(), "node@1")
    log.event("request.ended", request="r-1", status=200, reason=None)
    line = lines_of(reader)[0]
    assert line["event"] == "request.ended"
    assert (line["incarnation"], line["steady_s"], line["request"]) == ("node@1", 100.0, "r-1")


def test_pipe_that_nobody_reads_loses_lines_and_blocks_nothing(pipe):
    reader, writer = pipe
    out = BoundedLineWriter(writer, limit_bytes=50_000)
    clock = Time()
    log = GatewayLog(out, clock, "node@1", lines_per_s=1e9)
    for number in range(5_000):
        log.event("request.ended", request=f"r-{number}")
    assert out.waiting_bytes <= 50_000
    clock.now_s += 10.0
    received = b""
    while out.waiting_bytes:
        received += os.read(reader, 1 << 20)
        log.flush()
    log.flush()
    received += os.read(reader, 1 << 20)
    lines = [msgspec.json.decode(line) for line in received.splitlines()]
    left_out = [line for line in lines if line["event"] == "log.left_out"]
    assert left_out
    assert left_out[0]["lines"]["not_written"] > 0


def test_reader_that_goes_away_harms_nothing(pipe):
    _, writer = pipe
    reader, other = os.pipe()
    os.close(reader)
    log = GatewayLog(BoundedLineWriter(other), Time(), "node@1")
    log.event("process.started")
    log.event("process.stopped")
    os.close(other)


def test_flood_of_good_lines_leaves_room_for_failures(pipe):
    reader, writer = pipe
    clock = Time()
    log = GatewayLog(BoundedLineWriter(writer), clock, "node@1", lines_per_s=10)
    for number in range(200):
        log.event("request.ended", request=f"g-{number}")
    log.failure("request.ended", request="f-1")
    lines = lines_of(reader)
    assert len(lines) == 21
    assert lines[-1]["request"] == "f-1"
    clock.now_s += 6.0
    log.flush()
    assert lines_of(reader)[0]["lines"] == {"request.ended": 180}


def test_budget_refills_with_time():
    budget = LineBudget(2.0, 2.0)
    assert [budget.take(10.0) for _ in range(3)] == [True, True, False]
    assert [budget.take(10.6), budget.take(10.6)] == [True, False]


def test_wave_of_failures_leaves_out_no_line_on_what_is_believed(pipe):
    reader, writer = pipe
    log = GatewayLog(BoundedLineWriter(writer), Time(), "node@1")
    for number in range(1_000):
        log.failure("attempt.failed", request=f"r-{number}")
    log.belief("endpoint.said", endpoint="e-1")
    log.flush()
    events = [line["event"] for line in lines_of(reader)]
    assert events[-1] == "endpoint.said"
    assert events.count("attempt.failed") < 1_000


def test_lines_on_what_is_believed_are_bounded_too(pipe):
    reader, writer = pipe
    log = GatewayLog(BoundedLineWriter(writer), Time(), "node@1")
    for number in range(1_000):
        log.belief("peer.lost", peer=f"p-{number}")
    assert len(lines_of(reader)) == 200
