# SPDX-License-Identifier: BSD-3-Clause
"""What starting gateways have not read yet never counts as empty, in any order of its arrival.

All gateways are killed and start together. The answers to their first reads are held back, and
released table by table in every order, with requests of callers at each step.
"""

from itertools import permutations

import pytest

from turnward.gateway import EndpointPool, RetryPolicy, WarmUpTraits, Workspace
from turnward.gateway.accounts import (
    ROW_NAME,
    TABLE,
    AccountRow,
    decode_account,
    encode_account,
)
from turnward.gateway.loans import Loan, LoanAsk
from turnward.gateway.prepaid import GRANT_SIZING, PrepaidAccounts
from turnward.gateway.removed_endpoints import REWRITE_PERIOD_S
from turnward.gateway.retries import RetryBudgetRule
from turnward.gateway.spending import TABLE as REPORTS_TABLE
from turnward.gateway.tests.crash_simulation import CrashSimulation
from turnward.gateway.tests.harness import (
    ENGINE_POOL,
    KEY,
    Harness,
    ListLog,
    answer_not_run,
    answer_ok,
    stream_events,
)
from turnward.gateway.tests.rollback_simulation import RollbackSimulation
from turnward.gateway.tests.test_crashing_parts import PartSimulation, hold
from turnward.gateway.tests.test_crashing_requests import FATAL, quarantine
from turnward.hashing import rendezvous_weight
from turnward.rows import RowKey
from turnward.standins import MemoryNetwork, MemoryRows, RowsClient

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


class PrepaidFleet:
    """Gateways, two of which hold the tokens of one workspace.

    Parameters
    ----------
    gateways : int
        Their number.
    limit_tokens : int
        The workspace's tokens.
    """

    #: Tokens of one prompt, and of what is answered to it.
    prompt_tokens = 8_000
    used_tokens = 8_020

    def __init__(self, gateways, limit_tokens):
        self.harness = Harness(
            pools=(ENGINE_POOL,),
            workspaces=(self.workspace(limit_tokens),),
            repeat=RetryPolicy.STREAM,
            time_limit_s=9.0,
        )
        self.endpoint = self.harness.endpoint(stream_events(4))
        self.harness.configure()
        for _ in range(gateways):
            self.harness.gateway(start=False)

    @staticmethod
    def workspace(limit_tokens):
        return Workspace(name="acme", keys=(KEY.decode(),), prepaid_tokens=limit_tokens)

    @property
    def holders_first(self):
        """Numbers of the gateways, the two that hold the tokens first."""
        gateways = self.harness.gateways
        weights = [rendezvous_weight("acme", each.book.own_address) for each in gateways]
        return sorted(range(len(gateways)), key=lambda number: -weights[number])

    @property
    def spent_tokens(self):
        return self.used_tokens * len(self.endpoint.requests)

    def send(self, number):
        headers = self.harness.prompt(self.prompt_tokens, 20)
        return self.harness.send(number, method=b"POST", body=b"", headers=headers)


@pytest.mark.parametrize("gateways", [3, 6])
def test_holder_without_a_configuration_takes_no_budget_for_used_up(gateways):
    fleet = PrepaidFleet(gateways, limit_tokens=1_000_000)
    holders, others = fleet.holders_first[:2], fleet.holders_first[2:]
    for number in holders:
        # It gets a peer's copy somewhat later.
        fleet.harness.clients[number].hold_reads("configuration")
    for gateway in fleet.harness.gateways:
        gateway.start()
    callers = []
    for turn in range(100):
        callers.append(fleet.send(others[turn % len(others)]))
        fleet.harness.network.advance(0.01)
    fleet.harness.network.advance(2.0)
    assert {caller.status for caller in callers} <= {200, 503}
    assert [caller.status for caller in callers].count(200) > 50


@pytest.mark.parametrize("order", orders("configuration", "members", TABLE, REPORTS_TABLE))
def test_tokens_are_spent_once_and_within_a_limit_lowered_before_the_start(order):
    fleet = PrepaidFleet(3, limit_tokens=1_000_000)
    harness = fleet.harness
    for gateway in harness.gateways:
        gateway.start()
    harness.network.advance(2.0)
    for number in (0, 1, 2) * 4:
        fleet.send(number)
        harness.network.advance(0.3)
    limit_tokens = 80 * fleet.used_tokens
    kill_all(harness)
    harness.configure(workspaces=(fleet.workspace(limit_tokens),))
    restart_in_order(harness, order, fleet.send)
    harness.network.advance(2.0)
    assert len(fleet.endpoint.requests) > 12
    assert fleet.spent_tokens <= limit_tokens


def test_no_tokens_are_taken_by_the_limit_of_an_earlier_configuration():
    network = MemoryNetwork()
    rows = MemoryRows(network.clock)
    earlier = AccountRow(limit_tokens=1_000_000, limit_version=3)
    rows.put(TABLE, ROW_NAME, encode_account(earlier), part="acme")
    machine = network.machine("10.1.0.1")
    store = RowsClient(rows, machine)
    accounts = PrepaidAccounts(
        machine, store, "node-1", "node-1@a", GRANT_SIZING, ListLog(), lambda: 2
    )
    accounts.start()
    lending = accounts.lend_for_request(LoanAsk("acme", 2_000, 2_000))
    network.advance(1.0)
    assert lending.result == Loan(0)
    assert decode_account(rows.get(RowKey(TABLE, "acme", ROW_NAME))) == earlier
    accounts.set_limits({"acme": Workspace(name="acme", prepaid_tokens=3_000)}, version=4)
    lent_tokens = 0
    for _ in range(3):
        lending = accounts.lend_for_request(LoanAsk("acme", 2_000, 2_000))
        network.advance(1.0)
        lent_tokens += lending.result.tokens
    assert lent_tokens == 2_000
    assert lending.result.exhausted


def make_cold_fleet():
    """Return a fleet with a warm endpoint, and an endpoint to announce that starts cold."""
    warm_up = WarmUpTraits(cold_s=30.0, requests_per_s=2.0)
    harness = Harness(pools=(EndpointPool(name="pool", warm_up=warm_up),))
    harness.endpoint(answer_ok)
    cold = harness.endpoint(answer_ok, announce=False)
    harness.ready(gateways=3)
    return harness, cold


def most_in_one_second(times_s):
    return max(sum(0 <= other_s - time_s < 1.0 for other_s in times_s) for time_s in times_s)


@pytest.mark.parametrize("order", orders(*BASIC_TABLES))
@pytest.mark.parametrize("comes", ["before the start", "after the endpoints"])
def test_cold_endpoint_gets_no_more_than_its_rate(order, comes):
    harness, cold = make_cold_fleet()
    sent_s = [harness.network.clock.seconds()]
    cold.behave = lambda endpoint, request: (
        sent_s.append(harness.network.clock.seconds()),
        answer_ok(endpoint, request),
    )
    if comes == "before the start":
        kill_all(harness)
        harness.announce(cold, cold_left_s=30.0)
    announced = []

    def send(number):
        harness.send(number)
        entries_known = all(len(each.endpoints.all()) for each in harness.gateways)
        if entries_known and comes == "after the endpoints" and not announced:
            announced.append(True)
            harness.announce(cold)

    restart_in_order(harness, order, send)
    assert len(sent_s) > 1
    assert most_in_one_second(sent_s) <= 2


@pytest.mark.parametrize("order", orders(*BASIC_TABLES))
def test_all_retries_together_stay_within_the_budget(order):
    harness = Harness()
    rule = RetryBudgetRule()
    ids = set()
    retries = 0
    excess = 0

    def refuse(endpoint, request):
        nonlocal retries, excess
        request_id = endpoint.ids()[-1]
        retries += request_id in ids
        ids.add(request_id)
        excess = max(excess, retries - rule.ratio * len(ids) - rule.slack)
        answer_not_run(endpoint, request)

    for _ in range(3):
        harness.endpoint(refuse)
    harness.ready(gateways=8)

    def send(number):
        caller = harness.connect(number)
        for _ in range(8):
            caller.transport.write(harness.request_bytes())

    restart_in_order(harness, order, send)
    assert retries
    assert excess <= 0


@pytest.mark.parametrize("table", ["none", *BASIC_TABLES])
@pytest.mark.parametrize("restarted", [1, 2, 3])
@pytest.mark.parametrize("gateways", [4, 6])
def test_gateways_that_start_in_a_recovery_learn_of_it_although_others_start_too(
    gateways, restarted, table
):
    simulation = RollbackSimulation(gateways)
    simulation.run_traffic(6.0)
    harness, draining = simulation.harness, simulation.endpoints[0]
    copy = harness.rows.copy()
    harness.announce(draining, leaving=True)
    simulation.run_traffic(1.0)
    harness.rows.roll_back(copy)
    simulation.run_traffic(0.5)
    requests_before = len(draining.requests)
    for number in range(restarted):
        harness.machines[number].kill()
    for number in range(restarted):
        start_held(harness, number, (table,) if number == 0 else ())
    simulation.run_traffic(REWRITE_PERIOD_S - 2.0)
    assert len(draining.requests) == requests_before
