# SPDX-License-Identifier: BSD-3-Clause
"""A router whose own link is busy does not take its peers for unreachable."""

import pytest
from twisted.internet.protocol import ClientFactory

from turnward.gateway import EndpointPool, RetryPolicy
from turnward.gateway.tests.harness import CALLERS_PORT, Caller, Harness, answer_ok, answered
from turnward.gateway.tests.test_unreached_endpoints import MIN_SHARE_OF_OTHERS, Links

LINK_MBIT_PER_S = 2.0
BODY = b"x" * 12_000
DEADLINE_MS = b"10000"
#: Time within which a router must notice that it is cut off.
CONTACT_S = 3.0
#: Usual requests in a second at the router with the narrow link, about half of what it carries.
RATE_PER_S = 10
#: Callers that come back at the same moment, whose requests keep the link busy for about 1.5 s.
RUSH = 30


class _NarrowHarness(Harness):
    links_mbit_per_s = {0: LINK_MBIT_PER_S}


def make_harness(cut_off, gateways=24):
    fields = {"repeat": RetryPolicy.ONCE, "attempts": 1, "time_limit_s": 15.0}
    harness = _NarrowHarness(pools=(EndpointPool(name="pool"),), **fields)
    for _ in range(4):
        harness.endpoint(answer_ok)
    harness.ready(gateways)
    harness.network.advance(1.5)
    send_steadily(harness, 1.0)
    Links(harness, "silent").cut(*range(cut_off))
    send_steadily(harness, 3.0)
    return harness


class _SendingCaller(Caller):
    """A caller that sends its request as soon as its connection opens."""

    def __init__(self, data):
        super().__init__()
        self._data = data

    def connectionMade(self):
        self.transport.write(self._data)


def send(harness):
    headers = ((b"Deadline-Ms", DEADLINE_MS),)
    caller = _SendingCaller(harness.request_bytes(method=b"POST", body=BODY, headers=headers))
    machine = harness.network.machine(f"10.8.0.{len(harness.network._machines)}")
    factory = ClientFactory()
    factory.buildProtocol = lambda address: caller
    machine.connectTCP(harness.machines[0].host, CALLERS_PORT, factory)
    harness.network.advance(0.01)
    return caller


def send_steadily(harness, duration_s):
    callers = []
    for _ in range(round(duration_s * RATE_PER_S)):
        callers.append(send(harness))
        harness.network.advance(1 / RATE_PER_S - 0.01)
    return callers


def served_share(callers):
    return sum(caller.status == 200 for caller in callers) / len(callers)


@pytest.mark.parametrize("cut_off", [12, 21])
def test_router_without_links_serves_callers_that_come_back_together(cut_off):
    harness = make_harness(cut_off)
    callers = [send(harness) for _ in range(RUSH)]
    callers += send_steadily(harness, 5.0)
    harness.network.advance_until(lambda: all(map(answered, callers)), 8.0)
    assert served_share(callers) >= MIN_SHARE_OF_OTHERS


def send_in_rushes(harness, callers_in_rush):
    callers = []
    for _ in range(3):
        callers += [send(harness) for _ in range(callers_in_rush)]
        callers += send_steadily(harness, 1.0)
    harness.network.advance_until(lambda: all(map(answered, callers)), 12.0)
    return callers


def test_router_whose_link_is_busy_does_not_take_its_links_to_endpoints_for_lost():
    harness = make_harness(cut_off=0)
    send_in_rushes(harness, RUSH)
    assert not harness.logs[0].of("pool.links_lost")


def test_router_whose_link_is_very_busy_serves_most_callers():
    harness = make_harness(cut_off=0)
    assert served_share(send_in_rushes(harness, 50)) >= MIN_SHARE_OF_OTHERS


def time_until_links_lost_s(harness, limit_s=8.0):
    """Cut a router off from the endpoints; return how long it takes that to be its own links."""
    Links(harness, "silent").cut(0)
    taken_s = 0.0
    while not harness.gateways[0].peers.unreached_pools() and taken_s < limit_s:
        send(harness)
        harness.network.advance(0.1)
        taken_s += 0.11
    return taken_s


def test_router_that_hears_no_peer_either_takes_its_links_for_lost():
    harness = make_harness(cut_off=0, gateways=4)
    for machine in harness.machines[1:]:
        harness.network.cut(harness.machines[0].host, machine.host)
    assert time_until_links_lost_s(harness) <= CONTACT_S


def test_router_whose_peers_answer_takes_its_links_for_lost_soon():
    assert time_until_links_lost_s(make_harness(cut_off=0, gateways=4)) <= 1.5


def test_router_whose_peers_stop_answering_takes_its_links_for_lost():
    harness = make_harness(cut_off=0, gateways=4)
    for gateway in harness.gateways[1:]:
        gateway.peers.on_path_question = lambda question: None
    assert time_until_links_lost_s(harness) < 8.0
