# SPDX-License-Identifier: BSD-3-Clause
"""Beyond capacity: what callers get from engines that read prompts one after the other.

The load: a wave of several times what the engines can read, for three seconds, with the usual
traffic before and after. Without admission the queue grows until all that is in it is late, and
what is late still takes its turn: of 225 requests of a wave of five times capacity 14 began within
the target, and 46 do with it; 45 can be read in that time.
"""

import pytest

from turnward.gateway import EndpointPool, EngineTraits, Repeat
from turnward.gateway.mechanisms import Mechanisms
from turnward.gateway.tests.harness import KEY, Harness, answer_head, answered, encode_events
from turnward.gateway.tests.test_forwarding import reason

#: Prompt tokens that an engine reads in a millisecond, and of each request.
TOKENS_PER_MS = 50
PROMPT_TOKENS = 10_000
ENGINES = 3
#: Requests that all engines together can read in a second.
CAPACITY_PER_S = ENGINES * TOKENS_PER_MS * 1_000 / PROMPT_TOKENS
TARGET_S = 0.8
WAVE_S = 3.0
POOL = EndpointPool(name="pool", engine=EngineTraits(slots=64, event_tokens=5))


class ReadingEngine:
    """An engine that reads prompts in the order in which they come."""

    def __init__(self, harness):
        self._free_s = 0.0
        self.endpoint = harness.endpoint(self._take, announce=False)
        harness.announce(self.endpoint, slots=64)

    def _take(self, endpoint, request):
        machine = endpoint.machine
        begins_s = max(machine.seconds(), self._free_s)
        self._free_s = begins_s + PROMPT_TOKENS / TOKENS_PER_MS / 1_000
        machine.callLater(self._free_s - machine.seconds(), self._answer, request)

    @staticmethod
    def _answer(request):
        if request.gone:
            return
        head = [*answer_head(request), (b"content-type", b"text/event-stream")]
        request.start(200, head, None)
        request.write(encode_events(1, 2))
        request.finish()


class Wave:
    """Requests at several times the engines' capacity, and what became of each."""

    def __init__(self, times, gateways=3, admission=True, **route):
        self.harness = Harness(
            pools=(POOL,),
            routes=(
                Harness.route(repeat=Repeat.STREAM, target_s=TARGET_S, time_limit_s=10.0, **route),
            ),
        )
        self.harness.mechanisms = Mechanisms(admission=admission)
        for _ in range(ENGINES):
            ReadingEngine(self.harness)
        self.harness.ready(gateways)
        self.harness.network.advance(0.3)
        self.sent = []
        self.begun_s = {}
        self.send_for(WAVE_S, times * CAPACITY_PER_S)

    def send_for(self, seconds, per_s):
        clock = self.harness.network.clock
        for _ in range(round(seconds * per_s)):
            number = len(self.sent)
            caller = self.harness.send(
                number % len(self.harness.gateways),
                key=KEY,
                headers=self.harness.prompt(PROMPT_TOKENS, 50, b"%x:%d" % (number, PROMPT_TOKENS)),
            )
            self.sent.append((caller, clock.seconds()))
            self.harness.network.advance(max(0.0, 1 / per_s - 0.01))
            self._look()
        self.harness.network.advance(0.01)
        self._look()

    def _look(self):
        now_s = self.harness.network.clock.seconds()
        for caller, sent_s in self.sent:
            if caller not in self.begun_s and b"\r\n\r\n" in caller.received:
                self.begun_s[caller] = now_s - sent_s

    def finish(self):
        for _ in range(200):
            self.harness.network.advance(0.05)
            self._look()
            if all(answered(caller) for caller, _ in self.sent):
                break
        return self

    def in_target(self):
        """Count the streams that began within the target."""
        return sum(
            caller.status == 200 and self.begun_s[caller] <= TARGET_S + 0.05
            for caller, _ in self.sent
        )

    def refused(self):
        return [caller for caller, _ in self.sent if caller.status == 503]


def test_burst_is_served_in_time_up_to_capacity_and_the_rest_refused_at_once():
    wave = Wave(times=5.0).finish()
    late = Wave(times=5.0, admission=False).finish()
    served_at_capacity = CAPACITY_PER_S * WAVE_S
    assert wave.in_target() >= served_at_capacity
    assert wave.in_target() >= 2 * late.in_target()
    assert {reason(caller) for caller in wave.refused()} == {"overloaded"}
    assert all(wave.begun_s[caller] < 0.05 for caller in wave.refused())


@pytest.mark.parametrize("times", [0.5, 0.9])
def test_nothing_is_refused_below_capacity(times):
    assert not Wave(times).finish().refused()


def test_tenfold_load_is_served_as_well_as_fivefold_load():
    assert Wave(10.0).finish().in_target() >= 0.9 * Wave(5.0).finish().in_target()


def test_requests_are_served_in_time_again_as_soon_as_a_burst_ends():
    wave = Wave(times=5.0)
    wave.harness.network.advance(1.0)
    before = len(wave.sent)
    wave.send_for(2.0, 0.5 * CAPACITY_PER_S)
    wave.finish()
    usual = wave.sent[before:]
    assert {caller.status for caller, _ in usual} == {200}
    assert all(wave.begun_s[caller] <= TARGET_S for caller, _ in usual)


def test_retry_after_grows_with_the_length_of_a_burst():
    wave = Wave(times=5.0).finish()
    told_s = [float(caller.header(b"retry-after")) for caller in wave.refused()]
    tenth = len(told_s) // 10
    first, last = told_s[:tenth], told_s[-tenth:]
    assert max(first) < 1.0
    assert min(last) > 1.0
    assert max(last) <= 1.5 * 4.0
