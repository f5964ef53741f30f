# SPDX-License-Identifier: BSD-3-Clause
"""Log lines are structured, limited in rate, and never block the process."""

import os

import msgspec
import pytest

from turnward.gateway.logs import BoundedLineWriter, GatewayLog, LineBudget


class FakeClock:
    """A clock that tests set."""

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


def read_lines(reader):
    return [msgspec.json.decode(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_lines_are_json_with_incarnation_and_time(pipe):
    reader, writer = pipe
    log = GatewayLog(BoundedLineWriter(writer), FakeClock(), "node@1")
    log.event("request.ended", request="r-1", status=200, reason=None)
    line = read_lines(reader)[0]
    assert line["event"] == "request.ended"
    assert (line["incarnation"], line["steady_s"], line["request"]) == ("node@1", 100.0, "r-1")


def test_unread_pipe_drops_lines_without_blocking(pipe):
    reader, writer = pipe
    line_writer = BoundedLineWriter(writer, limit_bytes=50_000)
    clock = FakeClock()
    log = GatewayLog(line_writer, clock, "node@1", lines_per_s=1e9)
    for number in range(5_000):
        log.event("request.ended", request=f"r-{number}")
    assert line_writer.waiting_bytes <= 50_000
    clock.now_s += 10.0
    received = b""
    while line_writer.waiting_bytes:
        received += os.read(reader, 1 << 20)
        log.flush()
    log.flush()
    received += os.read(reader, 1 << 20)
    lines = [msgspec.json.decode(line) for line in received.splitlines()]
    dropped = [line for line in lines if line["event"] == "log.left_out"]
    assert dropped
    assert dropped[0]["lines"]["not_written"] > 0


def test_closed_reader_raises_no_error(pipe):
    _, writer = pipe
    reader, unread_writer = os.pipe()
    os.close(reader)
    log = GatewayLog(BoundedLineWriter(unread_writer), FakeClock(), "node@1")
    log.event("process.started")
    log.event("process.stopped")
    os.close(unread_writer)


def test_flood_of_normal_lines_does_not_drop_failures(pipe):
    reader, writer = pipe
    clock = FakeClock()
    log = GatewayLog(BoundedLineWriter(writer), clock, "node@1", lines_per_s=10)
    for number in range(200):
        log.event("request.ended", request=f"g-{number}")
    log.failure("request.ended", request="f-1")
    lines = read_lines(reader)
    assert len(lines) == 21
    assert lines[-1]["request"] == "f-1"
    clock.now_s += 6.0
    log.flush()
    assert read_lines(reader)[0]["lines"] == {"request.ended": 180}


def test_line_budget_refills_over_time():
    budget = LineBudget(2.0, 2.0)
    assert [budget.take(10.0) for _ in range(3)] == [True, True, False]
    assert [budget.take(10.6), budget.take(10.6)] == [True, False]


def test_burst_of_failures_does_not_drop_state_changes(pipe):
    reader, writer = pipe
    log = GatewayLog(BoundedLineWriter(writer), FakeClock(), "node@1")
    for number in range(1_000):
        log.failure("attempt.failed", request=f"r-{number}")
    log.belief("endpoint.said", endpoint="e-1")
    log.flush()
    events = [line["event"] for line in read_lines(reader)]
    assert events[-1] == "endpoint.said"
    assert events.count("attempt.failed") < 1_000


def test_state_change_lines_are_limited(pipe):
    reader, writer = pipe
    log = GatewayLog(BoundedLineWriter(writer), FakeClock(), "node@1")
    for number in range(1_000):
        log.belief("peer.lost", peer=f"p-{number}")
    assert len(read_lines(reader)) == 200


def test_ends_of_requests_are_logged_while_normal_lines_are_left_out(pipe):
    reader, writer = pipe
    log = GatewayLog(BoundedLineWriter(writer), FakeClock(), "node@1", lines_per_s=10.0)
    for number in range(100):
        log.event("attempt.chosen", request=f"r-{number}")
        log.ending("request.ended", request=f"r-{number}", outcome="served")
    lines = read_lines(reader)
    assert sum(line["event"] == "request.ended" for line in lines) == 100
    assert sum(line["event"] == "attempt.chosen" for line in lines) == 20
