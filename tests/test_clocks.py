# SPDX-License-Identifier: BSD-3-Clause
"""One steady clock counts ages, leases and limits; the time of day counts nothing."""

import re
import time
from pathlib import Path

import pytest

from turnward.clocks import ManualClock, SystemClock
from turnward.steady_reactor import SteadyReactor

#: The only places that may read the time of day, or a clock that stands still in a pause.
CLOCK_PLACES = {Path("turnward/clocks.py"), Path("turnward/gateway/logs.py")}
OTHER_CLOCKS = re.compile(r"\btime\.(time|monotonic|perf_counter)\(|datetime\.(now|utcnow)\(")
DEFAULT_REACTOR = re.compile(r"from twisted\.internet import reactor\b")


def sources(*folders):
    for folder in folders:
        for path in Path(folder).rglob("*.py"):
            if "tests" not in path.parts and "standins" not in path.parts:
                yield path


def test_steady_clock_counts_what_a_suspended_machine_missed(monkeypatch):
    read = []
    monkeypatch.setattr(time, "clock_gettime", lambda which: read.append(which) or 5.0)
    assert SystemClock().now_s() == 5.0
    assert read == [time.CLOCK_BOOTTIME]


def test_nothing_else_reads_a_clock():
    reading = {
        path for path in sources("turnward", "platform") if OTHER_CLOCKS.search(path.read_text())
    }
    assert reading <= CLOCK_PLACES


def test_programs_that_serve_run_on_the_steady_reactor():
    for path in sources("turnward/gateway", "turnward/router"):
        assert not DEFAULT_REACTOR.search(path.read_text()), path


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def reactor(clock):
    reactor = SteadyReactor(clock)
    yield reactor
    reactor.removeAll()


def test_timers_run_by_the_steady_clock(reactor, clock):
    ran = []
    reactor.callLater(2.0, ran.append, "two")
    reactor.callLater(5.0, ran.append, "five")
    clock.advance(1.9)
    reactor.runUntilCurrent()
    assert not ran
    clock.advance(0.2)
    reactor.runUntilCurrent()
    assert ran == ["two"]
    assert reactor.timeout() == pytest.approx(2.9)


@pytest.mark.parametrize("step_s", [20.0, -20.0])
def test_step_of_the_time_of_day_moves_no_timer(reactor, clock, monkeypatch, step_s):
    ran = []
    reactor.callLater(1.0, ran.append, "one")
    stepped_s = time.time() + step_s
    monkeypatch.setattr(time, "time", lambda: stepped_s)
    reactor.runUntilCurrent()
    assert not ran
    assert reactor.timeout() == pytest.approx(1.0)
    clock.advance(1.0)
    reactor.runUntilCurrent()
    assert ran == ["one"]
