# SPDX-License-Identifier: BSD-3-Clause
"""All routers together make a brittle endpoint reject no more than it can bear."""

import random

import pytest

from turnward.gateway import EndpointPool, RetryPolicy
from turnward.gateway.tests.harness import (
    DIALECT,
    Harness,
    answer_head,
    answered,
)

#: Time that a request runs.
RUN_S = 0.09


class BrittleEndpoint:
    """An endpoint with room for few requests, which records when it rejects some.

    Parameters
    ----------
    room : int
        Requests that it takes at a time.
    bearable : int
        Rejections in a second that it announces to bear.
    """

    def __init__(self, harness, room, bearable, run_s):
        self.endpoint = harness.endpoint(self._behave)
        self.room = room
        self.bearable = bearable
        self.run_s = run_s
        self.running = 0
        self.served = 0
        self.rejected_s = []

    def _behave(self, endpoint, request):
        machine = endpoint.machine
        brittle = [(DIALECT.brittle, b"%d" % self.bearable)] if self.bearable else []
        if self.running >= self.room:
            self.rejected_s.append(machine.seconds())
            request.answer(503, [*brittle, (DIALECT.not_run, b"1")])
            return
        self.running += 1
        machine.callLater(self.run_s, self._finish, request, [*answer_head(request), *brittle])

    def _finish(self, request, headers):
        self.running -= 1
        self.served += 1
        if not request.gone:
            request.answer(200, headers, b"fine")

    def most_rejected_in_a_second(self):
        return max(
            (
                sum(first <= other < first + 1.0 for other in self.rejected_s)
                for first in self.rejected_s
            ),
            default=0,
        )


class BrittleSimulation:
    """Routers before brittle endpoints whose room shrinks without notice."""

    def __init__(
        self, gateways=4, endpoints=4, room=6, bearable=4, seed=1, run_s=RUN_S, **route_fields
    ):
        self.rng = random.Random(seed)
        fields = {"repeat": RetryPolicy.ANY, "attempts": 2, **route_fields}
        self.harness = Harness(pools=(EndpointPool(name="pool"),), **fields)
        self.endpoints = [
            BrittleEndpoint(self.harness, room, bearable, run_s) for _ in range(endpoints)
        ]
        self.harness.ready(gateways)
        self.harness.network.advance(1.0)
        self.callers = []

    def send(self, requests_per_s, duration_s):
        """Send requests to random routers; return the share served of them."""
        harness = self.harness
        callers = []
        for _ in range(round(requests_per_s * duration_s)):
            gateway = self.rng.randrange(len(harness.gateways))
            headers = ((b"Deadline-Ms", b"1500"),)
            callers.append(harness.send(gateway, path=b"/a/%d" % len(callers), headers=headers))
            harness.network.advance(max(0.0, 1 / requests_per_s - 0.01))
        harness.network.advance_until(lambda: all(map(answered, callers)), 2.0)
        return sum(caller.status == 200 for caller in callers) / len(callers)

    def shrink(self, room):
        for endpoint in self.endpoints:
            endpoint.room = room

    def worst(self):
        return max(endpoint.most_rejected_in_a_second() for endpoint in self.endpoints)


@pytest.mark.parametrize("gateways, bearable", [(1, 3), (4, 4), (4, 9), (8, 3)])
@pytest.mark.parametrize("seed", [1, 2])
def test_brittle_endpoints_reject_no_more_than_they_bear(gateways, bearable, seed):
    simulation = BrittleSimulation(gateways=gateways, bearable=bearable, seed=seed)
    simulation.send(40, 3.0)
    simulation.shrink(1)
    simulation.send(90, 4.0)
    assert simulation.worst() <= bearable
    assert all(endpoint.served for endpoint in simulation.endpoints)


def test_burst_at_brittle_endpoints_is_rejected_by_routers():
    simulation = BrittleSimulation(bearable=4)
    simulation.send(40, 2.0)
    simulation.shrink(1)
    callers = [simulation.harness.send(number % 4) for number in range(200)]
    simulation.harness.network.advance_until(lambda: all(map(answered, callers)), 6.0)
    assert simulation.worst() <= 4


def test_brittle_endpoints_that_fall_silent_for_a_second_are_not_sent_a_burst():
    simulation = BrittleSimulation(bearable=4)
    simulation.send(40, 2.0)
    simulation.shrink(1)
    for endpoint in simulation.endpoints:
        endpoint.endpoint.machine.freeze()
    callers = [simulation.harness.send(number % 4) for number in range(60)]
    for endpoint in simulation.endpoints:
        endpoint.endpoint.machine.wake()
    simulation.harness.network.advance_until(lambda: all(map(answered, callers)), 6.0)
    assert simulation.worst() <= 4


def test_endpoints_that_are_not_brittle_are_used_without_a_bound():
    simulation = BrittleSimulation(bearable=0, room=100)
    assert simulation.send(90, 2.0) == 1.0


@pytest.mark.parametrize("run_s", [0.001, RUN_S])
@pytest.mark.parametrize("gateways, bearable", [(4, 4), (8, 3), (3, 2)])
def test_brittle_endpoints_with_room_serve_as_before(gateways, bearable, run_s):
    simulation = BrittleSimulation(gateways=gateways, bearable=bearable, room=100, run_s=run_s)
    simulation.send(20, 1.0)
    assert simulation.send(40, 4.0) >= 0.97
