# SPDX-License-Identifier: BSD-3-Clause
"""Requests that crash the endpoints that run them are quarantined after three crashes.

Guards against a request that is sent again under other ids and to other routers, and crashes one
engine after another: failures must be counted per content and be shared between routers.
"""

import random

import pytest

from turnward.gateway import Workspace
from turnward.gateway.tests.crash_simulation import CrashSimulation

#: Time within which all routers have to know of a crash.
ANNOUNCED_S = 1.0
#: How often a crashing request may still reach endpoints after that.
MAX_LATE_SENDS = 3
FATAL = b"crashes every engine"


def test_request_that_crashes_engines_is_quarantined_by_all_routers():
    simulation = CrashSimulation(gateways=4, endpoints=6, crashing=(FATAL,))
    for turn in range(40):
        simulation.send(FATAL, turn)
        simulation.send(b"harmless %d" % turn, turn + 1)
        simulation.harness.network.advance(0.5)
    assert (
        simulation.sends_after(FATAL, simulation.third_crash_s(FATAL) + ANNOUNCED_S)
        <= MAX_LATE_SENDS
    )
    assert len(simulation.crashes) <= 3 + MAX_LATE_SENDS


def quarantine(simulation, body=FATAL, gateway=0):
    """Send a body until it has crashed three endpoints."""
    for turn in range(12):
        if simulation.crash_count(body) == 3:
            break
        # The router may first try an endpoint that has already crashed.
        simulation.ask(body, gateway + turn)
        simulation.harness.network.advance(0.2)
    simulation.harness.network.advance(ANNOUNCED_S)


def test_quarantined_request_is_refused_at_once_as_not_run():
    simulation = CrashSimulation(gateways=3, endpoints=4, crashing=(FATAL,))
    quarantine(simulation)
    for gateway in range(3):
        refused = simulation.ask(FATAL, gateway)
        assert refused.status == 503
        assert b"ends_endpoints" in refused.body
        # The quarantine lasts 600 s.
        assert float(refused.header(b"retry-after")) > 300.0
    assert len(simulation.crashes) == 3


def test_log_lines_name_the_content_and_the_crashed_endpoints():
    simulation = CrashSimulation(gateways=3, endpoints=4, crashing=(FATAL,))
    quarantine(simulation)
    crashed = {crash.endpoint_id for crash in simulation.crashes}
    for log in simulation.harness.logs:
        (line,) = log.of("content.held")
        assert set(line["endpoints"]) == crashed
    refused = simulation.ask(FATAL)
    assert refused.status == 503
    assert simulation.harness.logs[0].of("request.ended")[-1]["content"] == line["content"]


def test_router_that_starts_later_receives_the_quarantine():
    simulation = CrashSimulation(gateways=3, endpoints=4, crashing=(FATAL,))
    quarantine(simulation)
    simulation.harness.network.advance(30.0)
    simulation.harness.gateway()
    simulation.harness.network.advance(2.0)
    assert simulation.ask(FATAL, 3).status == 503
    assert len(simulation.crashes) == 3


def test_concurrent_requests_are_never_quarantined():
    simulation = CrashSimulation(gateways=4, endpoints=6, crashing=(FATAL,))
    concurrent = []
    for turn in range(60):
        if turn % 5 == 0:
            simulation.send(FATAL, turn)
        concurrent.extend(simulation.send(b"harmless %d" % turn, turn + n) for n in range(4))
        # Some callers send the same request again, as after an aborted stream.
        concurrent.extend(
            simulation.send(b"harmless %d" % (turn - 10), turn + 1) for _ in range(turn > 9)
        )
        simulation.harness.network.advance(0.1)
    simulation.harness.network.advance(5.0)
    assert not any(b"ends_endpoints" in caller.received for caller in concurrent)


def test_request_whose_callers_disconnect_before_the_crash_is_quarantined():
    simulation = CrashSimulation(gateways=4, endpoints=6, crashing=(FATAL,))
    for turn in range(40):
        for other in range(6):
            simulation.send(b"harmless %d %d" % (turn, other), turn)
        simulation.harness.network.advance(0.2)
        caller = simulation.send(FATAL, turn)
        simulation.harness.network.advance(0.03)
        caller.transport.abortConnection()
        simulation.harness.network.advance(0.3)
    assert (
        simulation.sends_after(FATAL, simulation.third_crash_s(FATAL) + ANNOUNCED_S)
        <= MAX_LATE_SENDS
    )
    simulation.harness.network.advance(5.0)
    assert simulation.ask(b"harmless at the end").status == 200


@pytest.mark.parametrize("repeat", ["once", "any", "stream"])
def test_quarantine_applies_to_every_retry_setting(repeat):
    simulation = CrashSimulation(gateways=3, endpoints=6, crashing=(FATAL,), repeat=repeat)
    quarantine(simulation)
    assert simulation.ask(FATAL).status == 503
    assert simulation.sends_after(FATAL, simulation.third_crash_s(FATAL) + ANNOUNCED_S) == 0


def test_large_body_is_recognized_with_content_length_and_chunked():
    body = b"x" * 1_000_000
    simulation = CrashSimulation(gateways=2, endpoints=5, crashing=(body,))
    quarantine(simulation, body)
    assert simulation.ask(body).status == 503
    chunked = simulation.harness.connect()
    head = simulation.harness.request_bytes(
        method=b"POST", headers=((b"Transfer-Encoding", b"chunked"),), body=None
    )
    chunked.transport.write(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
    simulation.harness.network.advance_until(lambda: chunked.received)
    assert b"ends_endpoints" in chunked.received
    assert len(simulation.crashes) == 3


def test_several_crashing_requests_are_each_quarantined():
    bodies = (b"one", b"two", b"three")
    simulation = CrashSimulation(gateways=4, endpoints=8, crashing=bodies)
    for turn in range(60):
        simulation.send(bodies[turn % 3], turn)
        simulation.harness.network.advance(0.4)
    for body in bodies:
        assert (
            simulation.sends_after(body, simulation.third_crash_s(body) + ANNOUNCED_S)
            <= MAX_LATE_SENDS
        )
        assert simulation.ask(body).status == 503


def test_content_is_identified_by_body_path_and_workspace():
    workspaces = (Workspace(name="acme", keys=("key-one",)), Workspace(name="b", keys=("key-b",)))
    simulation = CrashSimulation(gateways=2, endpoints=4, crashing=(FATAL,), workspaces=workspaces)
    quarantine(simulation)
    simulation.crashing = ()
    assert simulation.ask(FATAL).status == 503
    assert simulation.ask(FATAL + b"!").status == 200
    assert simulation.harness.ask(method=b"POST", body=FATAL, path=b"/a/y").status == 200
    assert simulation.harness.ask(method=b"POST", body=FATAL, key=b"key-b").status == 200


def test_endpoints_restarted_by_a_release_quarantine_nothing():
    """A rolling release stops one endpoint after another while callers retry."""
    simulation = CrashSimulation(gateways=3, endpoints=5, crashing=())
    callers = []
    for turn in range(60):
        if turn % 6 == 0:
            simulation.endpoints[turn // 6 % 5].crash()
        callers.extend(simulation.send(b"ask %d" % (turn // 4), turn + n) for n in range(3))
        simulation.harness.network.advance(0.2)
    simulation.harness.network.advance(5.0)
    assert not any(log.of("content.held") for log in simulation.harness.logs)


def test_simultaneous_connection_resets_quarantine_nothing():
    """A popular request is aborted at all endpoints at the same time."""
    simulation = CrashSimulation(gateways=3, endpoints=6, crashing=())
    for _ in range(4):
        for number in range(24):
            simulation.send(b"popular", number)
        simulation.harness.network.advance(0.3)
        for endpoint in simulation.endpoints:
            for connection in list(endpoint.endpoint.machine.connections):
                connection.abortConnection()
        simulation.harness.network.advance(1.0)
    assert simulation.ask(b"popular").status == 200
    assert not any(log.of("content.held") for log in simulation.harness.logs)


@pytest.mark.parametrize("size", [7, 24])
def test_quarantine_reaches_all_routers_within_a_second(size):
    simulation = CrashSimulation(gateways=size, endpoints=6, crashing=(FATAL,))
    simulation.harness.network.advance(4.0)
    for turn in range(3):
        simulation.ask(FATAL, turn * 5)
    for _ in range(20):
        counts = [gateway.quarantine.quarantined_count for gateway in simulation.harness.gateways]
        if all(counts):
            break
        simulation.harness.network.advance(0.1)
    assert all(counts)
    assert simulation.now_s - simulation.third_crash_s(FATAL) <= ANNOUNCED_S


def restart_gateway(harness, number):
    """Start a gateway on the machine of one that was killed."""
    machine = harness.machines[number]
    machine.restart()
    harness.run_gateway(machine, f"node-{number + 1}")
    # The harness appends the new gateway; move it to the index of the one that was killed.
    for items in (harness.gateways, harness.machines, harness.logs):
        items[number] = items.pop()


def restart_all(simulation):
    """Kill all gateways at once, and restart them."""
    harness = simulation.harness
    for machine in harness.machines:
        machine.kill()
    harness.network.advance(0.5)
    for number in range(len(harness.gateways)):
        restart_gateway(harness, number)
    assert harness.network.advance_until(lambda: all(gateway.ready for gateway in harness.gateways))


def test_quarantine_survives_a_crash_of_all_routers():
    simulation = CrashSimulation(gateways=3, endpoints=6, crashing=(FATAL,))
    quarantine(simulation)
    for _ in range(2):
        restart_all(simulation)
        simulation.harness.network.advance(0.1)
        for gateway in range(3):
            assert simulation.ask(FATAL, gateway).status == 503
    assert len(simulation.crashes) == 3


def test_quarantine_is_stored_when_the_store_is_reachable_again():
    simulation = CrashSimulation(gateways=3, endpoints=6, crashing=(FATAL,))
    for client in simulation.harness.clients:
        client.faults.unavailable = True
    quarantine(simulation)
    for client in simulation.harness.clients:
        client.faults.unavailable = False
    simulation.harness.network.advance(3.0)
    restart_all(simulation)
    simulation.harness.network.advance(0.1)
    assert simulation.ask(FATAL).status == 503


def test_quarantine_is_stored_again_after_a_rollback():
    simulation = CrashSimulation(gateways=3, endpoints=6, crashing=(FATAL,))
    copy = simulation.harness.rows.copy()
    quarantine(simulation)
    assert simulation.harness.rows.table("quarantine", "")
    simulation.harness.rows.roll_back(copy, rewritten_tables=("configuration", "endpoints"))
    simulation.harness.network.advance(3.0)
    restart_all(simulation)
    simulation.harness.network.advance(0.1)
    assert simulation.ask(FATAL).status == 503


def test_row_is_removed_when_the_content_is_answered():
    simulation = CrashSimulation(gateways=2, endpoints=6, crashing=(FATAL,))
    quarantine(simulation)
    assert len(simulation.harness.rows.table("quarantine", "")) == 1
    for gateway in simulation.harness.gateways:
        gateway.quarantine.record_response(
            simulation.harness.logs[0].of("content.held")[0]["content"]
        )
    simulation.harness.network.advance(1.0)
    assert not simulation.harness.rows.table("quarantine", "")


def test_unreadable_rows_do_not_affect_others():
    simulation = CrashSimulation(gateways=2, endpoints=6, crashing=(FATAL,))
    quarantine(simulation)
    simulation.harness.rows.put("quarantine", "bad", b"\xff\x00 nothing")
    simulation.harness.rows.put("quarantine", "worse", b'{"lost": 3}')
    restart_all(simulation)
    simulation.harness.network.advance(0.1)
    assert simulation.ask(FATAL).status == 503
    unreadable = simulation.harness.logs[0].of("row.unreadable")
    assert {line["key"] for line in unreadable} == {"bad", "worse"}


def test_quarantine_after_seconds_of_connection_resets_is_short():
    """All runs of the only content are aborted for three seconds, and no endpoint crashes."""
    simulation = CrashSimulation(gateways=3, endpoints=6, crashing=())
    for _ in range(60):
        for number in range(3):
            simulation.send(b"popular", number)
        simulation.harness.network.advance(0.05)
        for endpoint in simulation.endpoints:
            for connection in list(endpoint.endpoint.machine.connections):
                connection.abortConnection()
    assert simulation.ask(b"popular").status == 503
    simulation.harness.network.advance(13.0)
    assert all(simulation.ask(b"popular", number).status == 200 for number in range(3))


def test_crashed_endpoints_do_not_count_as_surviving_during_a_store_outage():
    simulation = CrashSimulation(gateways=3, endpoints=6, crashing=(FATAL,))
    quarantine(simulation)
    for client in simulation.harness.clients:
        client.faults.unavailable = True
    simulation.harness.network.advance(25.0)
    assert simulation.ask(FATAL).status == 503
    for client in simulation.harness.clients:
        client.faults.unavailable = False
    simulation.harness.network.advance(25.0)
    for gateway in range(3):
        assert simulation.ask(FATAL, gateway).status == 503
    assert len(simulation.crashes) == 3


def inject_fault(simulation, rng, kind):
    """Inject a fault of the routers, and return a function that ends it."""
    harness = simulation.harness
    count = len(harness.gateways)
    chosen = rng.sample(range(count), max(1, count // 4))
    if kind == "frozen":
        for number in chosen:
            harness.machines[number].freeze()
        return lambda: [harness.machines[number].wake() for number in chosen]
    if kind == "apart":
        hosts = {harness.machines[number].host for number in chosen}
        others = {machine.host for machine in harness.machines} - hosts
        pairs = [(host, other) for host in hosts for other in others]
        for pair in pairs:
            harness.network.cut(*pair)
        return lambda: [harness.network.heal(*pair) for pair in pairs]
    if kind == "restarted":
        for number in chosen:
            harness.machines[number].kill()
            restart_gateway(harness, number)
    if kind == "store":
        for client in harness.clients:
            client.faults.unavailable = True
        return lambda: [setattr(client.faults, "unavailable", False) for client in harness.clients]
    return lambda: None


@pytest.mark.parametrize("size", [7, 24])
@pytest.mark.parametrize("seed", range(4))
def test_few_crashing_requests_pass_during_random_router_faults(size, seed):
    """Routers are frozen, partitioned, restarted or without the store, one after another.

    Each side of a partition allows three crashes; a router that starts or resumes may send a
    crashing request before it receives an update.
    """
    rng = random.Random(seed)
    simulation = CrashSimulation(gateways=size, endpoints=12, crashing=(FATAL,))
    simulation.harness.network.advance(4.0)
    end_fault = None
    allowed_extra = 0
    for turn in range(60):
        if turn % 10 == 2:
            kind = rng.choice(("frozen", "apart", "restarted", "store"))
            allowed_extra += max(1, size // 4) if kind in ("frozen", "restarted") else 0
            allowed_extra += 3 if kind == "apart" else 0
            end_fault = inject_fault(simulation, rng, kind)
        simulation.send(FATAL, rng.randrange(size))
        simulation.send(b"harmless %d" % turn, rng.randrange(size))
        simulation.harness.network.advance(0.4)
        if turn % 10 == 8:
            end_fault()
    late_sends = simulation.sends_after(FATAL, simulation.third_crash_s(FATAL) + ANNOUNCED_S)
    assert late_sends <= MAX_LATE_SENDS + allowed_extra, (late_sends, allowed_extra)
    simulation.harness.network.advance(3.0)
    assert all(simulation.ask(FATAL, number).status == 503 for number in range(size))
