# SPDX-License-Identifier: BSD-3-Clause
"""Requests that share a prompt part which crashes endpoints are held back, and no others.

Guards against evidence by whole content: no two of these requests are alike.
"""

import itertools
import zlib

import pytest

from turnward.gateway.tests.crash_simulation import CrashSimulation
from turnward.gateway.tests.harness import DIALECT, ENDPOINT_PORT, answer_head
from turnward.http1 import header_value

#: Time within which all routers have to know of a crash.
ANNOUNCED_S = 1.0
#: Crashes after which the part is held back, and sends that are allowed after the fifth crash.
CRASHES_UNTIL_HELD = 3
MAX_LATE_SENDS = 3
FATAL_PART = b"dead"
#: Share of sound requests that are answered, against those without any crash.
MIN_SOUND_SHARE = 0.9


class PartSimulation(CrashSimulation):
    """A fleet whose endpoints crash on requests with certain prompt parts.

    Attributes
    ----------
    fatal_sends_s : list of float
        When requests with such parts reached endpoints.
    begins_response : bool
        Whether an endpoint sends the head of its response before it crashes.
    """

    begins_response = False

    def __init__(self, gateways, endpoints, fatal_parts=(FATAL_PART,), **fields):
        self.fatal_parts = fatal_parts
        self.fatal_sends_s = []
        self._numbers = itertools.count()
        super().__init__(gateways, endpoints, (), **fields)

    def is_fatal(self, request, body):
        parts = header_value(request.headers, DIALECT.prompt_parts) or b""
        names = [part.partition(b":")[0] for part in parts.split(b",")][:-1]
        fatal = any(name in self.fatal_parts for name in names)
        if fatal:
            self.fatal_sends_s.append(self.now_s)
        return fatal

    def begin_crash(self, endpoint, request, body):
        if self.begins_response:
            request.start(200, answer_head(request), None)
        super().begin_crash(endpoint, request, body)

    def send_prompt(self, *shared, gateway=0):
        """Send a request that differs from all others in its body and the last part."""
        number = next(self._numbers)
        parts = b",".join(b"%b:50" % name for name in (*shared, b"own%d" % number))
        headers = self.harness.prompt(50 * (len(shared) + 1), 10, parts)
        return self.harness.send(
            gateway % len(self.harness.gateways),
            method=b"POST",
            body=b"body %d" % number,
            headers=headers,
        )

    def send_fatal(self, turn, part=FATAL_PART):
        return self.send_prompt(b"first", b"thing%d" % (turn % 7), part, gateway=turn)

    def send_sound(self, turn, first=b"first"):
        return self.send_prompt(first, b"thing%d" % (turn % 7), gateway=turn)

    def play(self, turns, interval_s=0.5, sound_per_turn=4, fatal=True):
        """Send fatal and sound requests in turn; return the callers of the sound ones."""
        sound = []
        for turn in range(turns):
            if fatal:
                self.send_fatal(turn)
            for number in range(sound_per_turn):
                sound.append(self.send_sound(turn * sound_per_turn + number))
                self.harness.network.advance(interval_s / sound_per_turn)
        self.harness.network.advance(3.0)
        return sound

    def fatal_sends_after(self, after_s):
        return sum(sent_s > after_s for sent_s in self.fatal_sends_s)


def answered_share(callers):
    return sum(caller.status == 200 for caller in callers) / len(callers)


@pytest.mark.parametrize("begins_response", [True, False])
def test_requests_that_share_a_crashing_part_are_held_back_after_the_third_crash(begins_response):
    simulation = PartSimulation(gateways=4, endpoints=6)
    simulation.begins_response = begins_response
    simulation.play(40)
    third_s = simulation.crashes[CRASHES_UNTIL_HELD - 1].time_s
    assert simulation.fatal_sends_after(third_s + ANNOUNCED_S) == 0
    assert len(simulation.crashes) <= 5


def test_sound_requests_with_the_same_first_part_go_on_while_a_part_is_held_back():
    simulation = PartSimulation(gateways=4, endpoints=6)
    simulation.play(12)
    sound = simulation.play(20)
    assert answered_share(sound) >= MIN_SOUND_SHARE
    held = [log.of("content.held") for log in simulation.harness.logs]
    assert not any(held)


def hold(simulation, part=FATAL_PART, gateway=0):
    """Send requests with a part until it has crashed three endpoints and is held back."""
    before = len(simulation.crashes)
    for turn in range(12):
        if len(simulation.crashes) >= before + CRASHES_UNTIL_HELD:
            break
        simulation.send_fatal(gateway + turn, part)
        simulation.send_sound(gateway + turn)
        simulation.harness.network.advance(0.6)
    simulation.harness.network.advance(ANNOUNCED_S)


def test_request_with_a_held_part_is_refused_at_once_as_not_run():
    simulation = PartSimulation(gateways=3, endpoints=5)
    hold(simulation)
    sends = len(simulation.fatal_sends_s)
    for gateway in range(3):
        refused = simulation.send_fatal(gateway)
        simulation.harness.network.advance(0.05)
        assert refused.status == 503
        assert b"end_endpoints" in refused.body or b"ends_endpoints" in refused.body
    assert len(simulation.fatal_sends_s) == sends


def test_two_parts_that_crash_endpoints_at_the_same_time_are_both_held_back():
    simulation = PartSimulation(gateways=4, endpoints=8, fatal_parts=(b"dead", b"fatal"))
    for turn in range(20):
        simulation.send_fatal(turn)
        simulation.send_fatal(turn + 1, b"fatal")
        simulation.send_sound(turn)
        simulation.harness.network.advance(0.6)
    simulation.harness.network.advance(3.0)
    sends = len(simulation.fatal_sends_s)
    for turn in range(8):
        simulation.send_fatal(turn)
        simulation.send_fatal(turn, b"fatal")
        simulation.harness.network.advance(0.6)
    assert len(simulation.fatal_sends_s) - sends <= MAX_LATE_SENDS


def test_gateways_that_all_restart_still_hold_the_part_back():
    simulation = PartSimulation(gateways=2, endpoints=5)
    hold(simulation)
    harness = simulation.harness
    harness.network.advance(4.0)
    for machine in harness.machines[:2]:
        machine.kill()
    for number, machine in enumerate(harness.machines[:2]):
        machine.restart()
        harness.run_gateway(machine, f"node-{number + 1}")
    assert harness.network.advance_until(lambda: all(g.ready for g in harness.gateways[2:]))
    harness.network.advance(1.0)
    sends = len(simulation.fatal_sends_s)
    for turn in range(6):
        simulation.send_fatal(2 + turn % 2)
        harness.network.advance(0.3)
    assert len(simulation.fatal_sends_s) == sends


def test_gateway_that_starts_later_is_told_of_the_part():
    simulation = PartSimulation(gateways=3, endpoints=5)
    hold(simulation)
    simulation.harness.network.advance(20.0)
    simulation.harness.gateway()
    simulation.harness.network.advance(2.0)
    sends = len(simulation.fatal_sends_s)
    simulation.send_fatal(3)
    simulation.harness.network.advance(0.5)
    assert len(simulation.fatal_sends_s) == sends


def test_no_part_is_held_back_when_the_network_resets_all_connections():
    simulation = PartSimulation(gateways=3, endpoints=6)
    simulation.play(4, fatal=False)
    harness = simulation.harness
    pairs = [
        (machine.host, endpoint.machine.host)
        for machine in harness.machines
        for endpoint in harness.endpoints
    ]
    for turn in range(12):
        for number in range(6):
            simulation.send_sound(turn * 6 + number)
        harness.network.advance(0.25)
        for pair in pairs:
            harness.network.reset(*pair)
    assert not any(log.of("part.held") for log in harness.logs)


def test_endpoint_that_takes_over_the_address_of_a_crashed_one_does_not_answer_for_it():
    simulation = PartSimulation(gateways=1, endpoints=6)
    for turn in range(2):
        simulation.send_fatal(turn)
        simulation.harness.network.advance(0.6)
    crashed = {crash.endpoint_id for crash in simulation.crashes}
    for endpoint in simulation.endpoints:
        machine = endpoint.endpoint.machine
        if not machine.alive:
            machine.restart()
            machine.listenTCP(ENDPOINT_PORT, endpoint.endpoint.factory)
            endpoint.endpoint.endpoint_id = "another"
    for turn in range(12):
        simulation.send_sound(turn)
        simulation.harness.network.advance(0.2)
    parts = simulation.harness.gateways[0].forwarder.quarantines.parts
    part = f"{zlib.crc32(FATAL_PART):08x}"
    assert {run.endpoint for run in parts.lost.aborted_runs_of(part)} == crashed


def test_part_that_all_requests_share_is_never_held_back_for_another_that_crashes():
    simulation = PartSimulation(gateways=4, endpoints=4)
    for turn in range(24):
        simulation.send_fatal(turn)
        simulation.send_sound(turn)
        simulation.harness.network.advance(0.15)
    held = {line["part"] for log in simulation.harness.logs for line in log.of("part.held")}
    assert zlib.crc32(b"first").to_bytes(4, "big").hex() not in held


def test_part_that_always_comes_with_the_crashing_one_is_cleared_by_a_trial():
    simulation = PartSimulation(gateways=3, endpoints=6)
    for _ in range(5):
        simulation.send_prompt(b"first", b"beside", FATAL_PART)
        simulation.send_sound(0)
        simulation.harness.network.advance(0.6)
    crashes = len(simulation.crashes)
    assert crashes == CRASHES_UNTIL_HELD
    for turn in range(12):
        simulation.send_prompt(b"first", b"beside", gateway=turn)
        simulation.harness.network.advance(0.5)
    late = [simulation.send_prompt(b"first", b"beside", gateway=turn) for turn in range(6)]
    simulation.harness.network.advance(2.0)
    assert answered_share(late) == 1.0
    simulation.send_prompt(b"first", b"beside", FATAL_PART)
    simulation.harness.network.advance(1.0)
    assert len(simulation.crashes) == crashes


def test_run_that_waits_at_an_endpoint_is_given_up_when_its_part_is_held_back():
    simulation = PartSimulation(gateways=3, endpoints=6)
    simulation.begins_response = True
    simulation.crash_delay_s = 0.7
    waiting = []
    for turn in range(12):
        waiting.append(simulation.send_fatal(turn))
        simulation.send_sound(turn)
        simulation.harness.network.advance(0.4)
    simulation.harness.network.advance(2.0)
    assert len(simulation.crashes) <= CRASHES_UNTIL_HELD + 1
    assert all(caller.status in (502, 503) or caller.closed for caller in waiting)
