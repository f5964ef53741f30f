# SPDX-License-Identifier: BSD-3-Clause
"""Requests that share a prompt part which crashes endpoints are held back, and no others.

Guards against evidence by whole content: no two of these requests are alike.
"""

import itertools

from turnward.gateway.tests.crash_simulation import CrashSimulation
from turnward.gateway.tests.harness import DIALECT
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
    """

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


def test_requests_that_share_a_crashing_part_are_held_back_after_the_third_crash():
    simulation = PartSimulation(gateways=4, endpoints=6)
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
