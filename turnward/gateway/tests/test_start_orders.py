# SPDX-License-Identifier: BSD-3-Clause
"""What starting gateways have not read yet never counts as empty, in any order of its arrival.

All gateways are killed and start together. The answers to their first reads are held back, and
released table by table in every order, with requests of callers at each step.
"""

from itertools import permutations

import pytest

from turnward.gateway import Workspace
from turnward.gateway.tests.crash_simulation import CrashSimulation
from turnward.gateway.tests.harness import (
    Harness,
    answer_ok,
)
from turnward.gateway.tests.test_crashing_parts import PartSimulation, hold
from turnward.gateway.tests.test_crashing_requests import FATAL, quarantine

BASIC_TABLES = ("configuration", "endpoints", "members")
#: Time between two tables.
STEP_S = 1.2
#: Time in which a gateway that has heard its peers serves, even while the store is away.
MAX_START_S = 2.0


def orders(*tables):
    """Return every order in which the basic tables and some more can arrive."""
    return [pytest.param(order, id="-".join(order)) for order in permutations(tables)]


def kill_all(harness):
    """Kill all gateways at once."""
    for machine in harness.machines:
        machine.kill()
    harness.network.advance(0.5)


def start_held(harness, number, tables):
    """Start a gateway again whose reads of some tables are held back."""
    machine = harness.machines[number]
    machine.restart()
    gateway = harness.run_gateway(machine, f"node-{number + 1}", start=False)
    for items in (harness.gateways, harness.machines, harness.logs, harness.clients):
        items[number] = items.pop()
    harness.clients[number].hold_reads(*tables)
    gateway.start()


def restart_in_order(harness, order, at_each_step, step_s=STEP_S):
    """Kill all gateways, and start them while the tables arrive in an order."""
    kill_all(harness)
    numbers = range(len(harness.gateways))
    for number in numbers:
        start_held(harness, number, order)
    for table in (None, *order):
        for number in numbers:
            harness.clients[number].release_reads(table)
        until_s = harness.network.clock.seconds() + step_s
        while harness.network.clock.seconds() < until_s:
            harness.network.advance(0.1)
            for number in numbers:
                at_each_step(number)
    assert harness.network.advance_until(lambda: all(each.ready for each in harness.gateways))


@pytest.mark.parametrize("order", orders(*BASIC_TABLES))
def test_drained_zone_gets_no_requests(order):
    harness = Harness()
    drained, other = harness.endpoint(answer_ok, announce=False), harness.endpoint(answer_ok)
    harness.announce(drained, zone="drained")
    harness.rows.put("configuration", "drained/drained", b"")
    harness.ready(gateways=2)
    restart_in_order(harness, order, lambda number: harness.send(number))
    assert other.requests
    assert not drained.requests


@pytest.mark.parametrize("order", orders(*BASIC_TABLES))
def test_leaving_endpoint_gets_no_requests(order):
    harness = Harness()
    leaving, other = harness.endpoint(answer_ok, announce=False), harness.endpoint(answer_ok)
    harness.announce(leaving, leaving=True)
    harness.ready(gateways=2)
    restart_in_order(harness, order, lambda number: harness.send(number))
    assert other.requests
    assert not leaving.requests


@pytest.mark.parametrize("order", orders(*BASIC_TABLES))
def test_removed_key_is_refused(order):
    harness = Harness()
    endpoint = harness.endpoint(answer_ok)
    harness.ready(gateways=2)
    harness.configure(workspaces=(Workspace(name="acme", keys=("another",)),))
    harness.network.advance(2.0)
    served = []

    def ask(number):
        served.append(harness.send(number))
        served.append(harness.send(number, key=b"another"))

    restart_in_order(harness, order, ask)
    harness.network.advance(1.0)
    assert {caller.status for caller in served[::2]} <= {503, 401}
    assert {caller.status for caller in served[1::2]} == {503, 200}
    assert endpoint.requests


@pytest.mark.parametrize("order", orders(*BASIC_TABLES, "quarantine"))
def test_quarantined_content_reaches_no_endpoint(order):
    simulation = CrashSimulation(gateways=2, endpoints=5, crashing=(FATAL,))
    quarantine(simulation)
    restart_in_order(simulation.harness, order, lambda number: simulation.send(FATAL, number))
    assert len(simulation.crashes) == 3


@pytest.mark.parametrize(
    "order",
    [
        (*basic, parts)
        for parts in ("quarantined_parts", "quarantined_lost_parts")
        for basic in permutations(BASIC_TABLES)
    ],
    ids="-".join,
)
def test_request_with_a_quarantined_part_reaches_no_endpoint(order):
    simulation = PartSimulation(gateways=2, endpoints=5)
    simulation.begins_response = order[-1] == "quarantined_parts"
    hold(simulation)
    sends = len(simulation.fatal_sends_s)
    restart_in_order(simulation.harness, order, lambda number: simulation.send_fatal(number))
    assert len(simulation.fatal_sends_s) == sends


def test_gateway_that_starts_while_the_store_is_away_hears_of_a_quarantine_before_it_serves():
    simulation = CrashSimulation(gateways=3, endpoints=5, crashing=(FATAL,))
    quarantine(simulation)
    harness = simulation.harness
    harness.network.advance(10.0)
    harness.rows.faults.unavailable = True
    harness.machines[0].kill()
    start_held(harness, 0, ())
    started_s = harness.network.clock.seconds()
    while harness.network.clock.seconds() < started_s + MAX_START_S:
        simulation.send(FATAL)
        harness.network.advance(0.05)
    assert harness.gateways[0].ready
    assert len(simulation.crashes) == 3


def test_quarantine_that_cannot_be_read_delays_a_start_by_some_seconds_only():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready()
    kill_all(harness)
    start_held(harness, 0, ("quarantine",))
    assert not harness.network.advance_until(lambda: harness.gateways[0].ready, 4.0)
    assert harness.network.advance_until(lambda: harness.gateways[0].ready, 2.0)
    assert harness.ask().status == 200
