# SPDX-License-Identifier: BSD-3-Clause
"""Random schedules of faults over the real decision code (hypothesis state machine).

``TURNWARD_SCHEDULES`` raises the number of schedules for a longer run;
``TURNWARD_SHRINK`` looks for the shortest schedule of a failure.
"""

import os
from collections import Counter

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from tests.fake_fleet import LIMIT_TOKENS, FakeFleet
from tests.helpers import run
from tests.naive import SWITCHES
from turnward.resources import Change, ConfigLog

SCHEDULES = int(os.environ.get("TURNWARD_SCHEDULES", "20"))
STEPS = 40
SHRINK = bool(os.environ.get("TURNWARD_SHRINK"))
ROUTERS = st.integers(0, 3)
IDS = st.integers(0, 14)

ENGINES = ("http://127.0.0.1:1", "http://127.0.0.1:2")
SERVICES = ("http://127.0.0.1:3",)

counted: Counter = Counter()


class FaultMachine(RuleBasedStateMachine):
    """Callers, operators and faults in any order."""

    def __init__(self):
        super().__init__()
        counted["schedules"] += 1
        self.fleet = FakeFleet(4)
        self.kills = 0

    def router(self, number):
        return self.fleet.routers[number % len(self.fleet.routers)]

    @rule(number=ROUTERS, name=IDS)
    def chat(self, number, name):
        self.fleet.submit(self.router(number), f"c{name}", repeatable=True)

    @rule(number=ROUTERS, name=IDS)
    def book(self, number, name):
        self.fleet.submit(self.router(number), f"b{name}", repeatable=False)

    @rule(name=IDS)
    def serve_everywhere(self, name):
        for number in range(4):
            self.chat(number, 20 + 4 * name + number)
            self.book(number, 20 + name)
        self.fleet.advance(0.3)
        self.fleet.finish_runs()
        self.fleet.advance(0.2)

    @rule(answered=st.booleans())
    def finish(self, answered):
        self.fleet.finish_runs(answered)

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 3.0, 12.0]))
    def advance(self, seconds):
        self.fleet.advance(seconds)

    @rule(number=ROUTERS)
    def kill(self, number):
        if self.kills < 2 and not self.router(number).dead:
            self.kills += 1
            self.fleet.kill(self.router(number))

    @rule(number=ROUTERS)
    def freeze_or_thaw(self, number):
        router = self.router(number)
        if router.frozen:
            router.thaw()
        else:
            router.freeze()

    @rule(number=ROUTERS, down=st.booleans())
    def table(self, number, down):
        self.router(number).table.down = down

    @rule(number=ROUTERS, count=st.integers(1, 3))
    def lose_answers(self, number, count):
        self.router(number).table.lose_answers += count

    @rule(one=ROUTERS, other=ROUTERS)
    def cut_or_mend_link(self, one, other):
        link = frozenset((self.router(one).name, self.router(other).name))
        self.fleet.cut_links ^= {link} if len(link) > 1 else set()

    @rule(number=ROUTERS, urls=st.sampled_from([ENGINES, ENGINES[:1], SERVICES]))
    def endpoints_refuse(self, number, urls):
        self.router(number).refusing_urls ^= set(urls)

    @rule(number=ROUTERS, name=IDS)
    def lose_the_answer_with_no_endpoint_left(self, number, name):
        router = self.router(number)
        self.chat(number, 50 + name)
        self.fleet.advance(0.3)
        router.refusing_urls.update(ENGINES)
        self.fleet.finish_runs(answered=False)
        self.fleet.advance(0.5)
        router.refusing_urls.difference_update(ENGINES)

    @rule(limit=st.integers(1, 3))
    def change_limit(self, limit):
        spec = {"name": "b", "limit_tokens": limit * LIMIT_TOKENS // 2}
        run(ConfigLog(self.fleet.table).apply([Change("budgets", "b", spec)], 0.0))

    @rule(drained=st.booleans())
    def change_endpoint(self, drained):
        spec = {"name": "e1", "pool": "engines", "url": "http://127.0.0.1:1", "zone": "a"}
        spec["drained"] = drained
        run(ConfigLog(self.fleet.table).apply([Change("endpoints", "e1", spec)], 0.0))

    @invariant()
    def promises_hold(self):
        counted["steps"] += 1
        assert self.fleet.faults() == []

    def teardown(self):
        counted["requests"] += len(self.fleet.submissions)
        counted["runs"] += len(self.fleet.world.runs)
        try:
            self.fleet.heal()
            assert self.fleet.settled_faults() == []
        finally:
            self.fleet.close()


def run_schedules(schedules):
    counted.clear()
    run_state_machine_as_test(
        FaultMachine,
        settings=settings(
            max_examples=schedules,
            stateful_step_count=STEPS,
            deadline=None,
            derandomize=schedules <= 60,
            phases=(Phase.generate, Phase.shrink) if SHRINK else (Phase.generate,),
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_promises_hold_under_random_faults(capsys):
    run_schedules(SCHEDULES)
    with capsys.disabled():
        print("random faults:", dict(counted))


@pytest.mark.parametrize("mechanism", sorted(SWITCHES))
def test_random_faults_catch_the_naive_version(mechanism, monkeypatch):
    """Each mechanism switched off must break a promise in some schedule."""
    SWITCHES[mechanism](monkeypatch)
    with pytest.raises(AssertionError):
        run_schedules(60)
