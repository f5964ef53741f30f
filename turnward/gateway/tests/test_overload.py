# SPDX-License-Identifier: BSD-3-Clause
"""Admission during a burst of several times the engines' capacity.

Guards against queues in which every request misses its target.
"""

import pytest

from turnward.gateway import EndpointPool, EngineTraits, RetryPolicy
from turnward.gateway.mechanisms import Mechanisms
from turnward.gateway.tests.harness import KEY, Harness, answer_head, answered, encode_events
from turnward.gateway.tests.test_forwarding import error_reason

TOKENS_PER_MS = 50
PROMPT_TOKENS = 10_000
ENGINES = 3
#: Requests per second that all engines together can process.
CAPACITY_PER_S = ENGINES * TOKENS_PER_MS * 1_000 / PROMPT_TOKENS
TARGET_S = 0.8
BURST_S = 3.0
POOL = EndpointPool(name="pool", engine=EngineTraits(slots=64, event_tokens=5))


class SerialEngine:
    """An engine that processes prompts one after the other, in order of arrival."""

    def __init__(self, harness):
        self._free_s = 0.0
        self.endpoint = harness.endpoint(self._process, announce=False)
        harness.announce(self.endpoint, slots=64)

    def _process(self, endpoint, request):
        machine = endpoint.machine
        starts_s = max(machine.seconds(), self._free_s)
        self._free_s = starts_s + PROMPT_TOKENS / TOKENS_PER_MS / 1_000
        machine.callLater(self._free_s - machine.seconds(), self._answer, request)

    @staticmethod
    def _answer(request):
        if request.gone:
            return
        head = [*answer_head(request), (b"content-type", b"text/event-stream")]
        request.start(200, head, None)
        request.write(encode_events(1, 2))
        request.finish()


class Burst:
    """A burst of requests at several times the engines' capacity, and their answers."""

    def __init__(self, times, gateways=3, admission=True, **route):
        self.harness = Harness(
            pools=(POOL,),
            routes=(
                Harness.route(
                    repeat=RetryPolicy.STREAM, target_s=TARGET_S, time_limit_s=10.0, **route
                ),
            ),
        )
        self.harness.mechanisms = Mechanisms(admission=admission)
        for _ in range(ENGINES):
            SerialEngine(self.harness)
        self.harness.ready(gateways)
        self.harness.network.advance(0.3)
        self.sent = []
        self.started_after_s = {}
        self.send_for(BURST_S, times * CAPACITY_PER_S)

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
            self._record_answers()
        self.harness.network.advance(0.01)
        self._record_answers()

    def _record_answers(self):
        now_s = self.harness.network.clock.seconds()
        for caller, sent_s in self.sent:
            if caller not in self.started_after_s and b"\r\n\r\n" in caller.received:
                self.started_after_s[caller] = now_s - sent_s

    def finish(self):
        for _ in range(200):
            self.harness.network.advance(0.05)
            self._record_answers()
            if all(answered(caller) for caller, _ in self.sent):
                break
        return self

    def count_in_target(self):
        """Return the number of streams that started within the target."""
        return sum(
            caller.status == 200 and self.started_after_s[caller] <= TARGET_S + 0.05
            for caller, _ in self.sent
        )

    def refused(self):
        return [caller for caller, _ in self.sent if caller.status == 503]


def test_burst_is_served_in_time_up_to_capacity_and_the_rest_refused_at_once():
    burst = Burst(times=5.0).finish()
    without_admission = Burst(times=5.0, admission=False).finish()
    served_at_capacity = CAPACITY_PER_S * BURST_S
    assert burst.count_in_target() >= served_at_capacity
    assert burst.count_in_target() >= 2 * without_admission.count_in_target()
    assert {error_reason(caller) for caller in burst.refused()} == {"overloaded"}
    assert all(burst.started_after_s[caller] < 0.05 for caller in burst.refused())


@pytest.mark.parametrize("times", [0.5, 0.9])
def test_nothing_is_refused_below_capacity(times):
    assert not Burst(times).finish().refused()


def test_tenfold_load_is_served_as_well_as_fivefold_load():
    assert Burst(10.0).finish().count_in_target() >= 0.9 * Burst(5.0).finish().count_in_target()


def test_requests_are_served_in_time_again_as_soon_as_a_burst_ends():
    burst = Burst(times=5.0)
    burst.harness.network.advance(1.0)
    before = len(burst.sent)
    burst.send_for(2.0, 0.5 * CAPACITY_PER_S)
    burst.finish()
    after_burst = burst.sent[before:]
    assert {caller.status for caller, _ in after_burst} == {200}
    assert all(burst.started_after_s[caller] <= TARGET_S for caller, _ in after_burst)


def test_retry_after_grows_with_the_length_of_a_burst():
    burst = Burst(times=5.0).finish()
    retry_after_s = [float(caller.header(b"retry-after")) for caller in burst.refused()]
    tenth = len(retry_after_s) // 10
    first, last = retry_after_s[:tenth], retry_after_s[-tenth:]
    assert max(first) < 1.0
    assert min(last) > 1.0
    assert max(last) <= 1.5 * 4.0
