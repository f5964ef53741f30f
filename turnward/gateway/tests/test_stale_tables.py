# SPDX-License-Identifier: BSD-3-Clause
"""Where a stream goes on at a gateway whose endpoints' table is older than that of its peers."""

import pytest

from turnward.gateway.tests.harness import answered
from turnward.gateway.tests.test_software_versions import (
    Engine,
    add_engine,
    is_whole,
    make_harness,
    refuse_links,
    resume,
    versions_in,
)


def make_long_running(gateways):
    """Return a fleet that has long known one version alone."""
    harness = make_harness(["v1", "v1"], gateways)
    harness.watch_pools()
    return harness


def keep_table(harness, gateway):
    """Have a gateway keep its endpoints' table as it is."""
    harness.gateways[gateway].state.adopt_endpoints = lambda *args, **kwargs: False


def add_second_version(harness, breaks=False):
    for _ in range(3):
        add_engine(harness, "v2", breaks)
    harness.network.advance(2.0)


def begin_at(harness, version):
    """Begin streams until one is of a version; return its request id."""
    for number in range(50):
        request_id = b"begun-%d" % number
        if versions_in(harness.ask(request_id=request_id)) == {version}:
            return request_id
    raise AssertionError(f"no stream of {version}")


def test_peer_that_knows_one_version_does_not_continue_a_relayed_stream_of_another():
    harness = make_long_running(gateways=3)
    for gateway in (1, 2):
        keep_table(harness, gateway)
    add_second_version(harness, breaks=True)
    for endpoint in harness.endpoints:
        endpoint.behave.broken_after_s = 1.0
    callers = [harness.send() for _ in range(8)]
    harness.network.advance(0.1)
    refuse_links(harness, 0)
    harness.send(path=b"/a/other")
    harness.network.advance_until(lambda: all(map(answered, callers)))
    assert any(b"v2" in versions_in(caller) for caller in callers)
    assert all(len(versions_in(caller)) == 1 for caller in callers)


def send_resumptions(harness, callers, begun):
    """Send requests that resume a stream on open connections."""
    headers = ((b"Resumes", begun), (b"Last-Event-Id", b"3"))
    for caller in callers:
        caller.transport.write(harness.request_bytes(headers=headers))


def cut_off(harness, gateway):
    """Cut a gateway off from the store and from its peers."""
    harness.clients[gateway].faults.unavailable = True
    for machine in harness.machines:
        if machine is not harness.machines[gateway]:
            harness.network.cut(harness.machines[gateway].host, machine.host)
    harness.network.advance(9.0)


def wake(harness, gateway):
    """Wake a gateway whose links to its peers are sound again."""
    machine = harness.machines[gateway]
    for other in harness.machines:
        harness.network.heal(machine.host, other.host)
    machine.wake()


def wake_with_resumptions(harness, gateway, callers, begun):
    """Wake a gateway that reads callers' resumptions before it hears of its peers."""
    send_resumptions(harness, callers, begun)
    harness.network.advance(0.1)
    wake(harness, gateway)
    assert harness.network.advance_until(lambda: all(map(answered, callers)))


def test_gateway_that_slept_while_a_second_version_came_resumes_streams_at_their_own():
    harness = make_long_running(gateways=4)
    callers = [harness.connect(3) for _ in range(8)]
    cut_off(harness, 3)
    harness.machines[3].freeze()
    add_second_version(harness)
    begun = begin_at(harness, b"v2")
    wake_with_resumptions(harness, 3, callers, begun)
    assert [versions_in(caller) for caller in callers] == [{b"v2"}] * len(callers)


def test_gateway_cut_off_while_a_second_version_came_does_not_resume_streams_elsewhere():
    harness = make_long_running(gateways=3)
    cut_off(harness, 2)
    add_second_version(harness)
    begun = begin_at(harness, b"v2")
    assert resume(harness, begun, gateway=2).status == 503
    own = harness.ask(gateway=2, request_id=b"own")
    assert is_whole(own)
    assert versions_in(resume(harness, b"own", gateway=2)) == versions_in(own)


def restart_as_second_version(harness, endpoint):
    """Restart an endpoint under its id as v2; its entry tells."""
    endpoint.behave = Engine("v2")
    harness.announce(endpoint, version="v2", born_ms=2_000)


def test_gateway_that_slept_resumes_no_stream_where_another_version_has_started_under_the_same_id():
    harness = make_harness(["v1", "v1", "v2", "v2"], gateways=4)
    harness.network.advance(3.0)
    begun = begin_at(harness, b"v1")
    callers = [harness.connect(3) for _ in range(8)]
    cut_off(harness, 3)
    harness.machines[3].freeze()
    restart_as_second_version(harness, harness.endpoints[0])
    harness.network.advance(1.0)
    wake_with_resumptions(harness, 3, callers, begun)
    assert [versions_in(caller) for caller in callers] == [{b"v1"}] * len(callers)


def test_streams_broken_while_their_gateway_slept_do_not_go_on_where_another_version_has_started():
    versions = ["v1", "v1", "v1", "v1", "v2", "v2", "v2"]
    harness = make_harness(versions, gateways=3, breaks=True, time_limit_s=30.0)
    for endpoint in harness.endpoints:
        endpoint.behave.broken_after_s = 10.0
    callers = [harness.send() for _ in range(12)]
    cut_off(harness, 0)
    harness.machines[0].freeze()
    harness.network.advance(2.0)
    restart_as_second_version(harness, harness.endpoints[0])
    harness.network.advance(1.0)
    wake(harness, 0)
    assert harness.network.advance_until(lambda: all(map(answered, callers)))
    assert all(len(versions_in(caller)) == 1 for caller in callers)
    assert all(map(is_whole, callers))


def test_streams_go_on_while_the_store_answers_no_gateway():
    harness = make_long_running(gateways=4)
    for client in harness.clients:
        client.faults.unavailable = True
    harness.network.advance(9.0)
    harness.machines[1].kill()
    harness.network.advance(0.5)
    for number in range(20):
        began, resumed = number % 2 * 2, 2 + number % 2
        harness.ask(began, request_id=b"begun-%d" % number)
        assert resume(harness, b"begun-%d" % number, gateway=resumed).status == 200


def test_streams_go_on_while_peers_of_an_older_build_do_not_tell_the_version_of_their_table():
    harness = make_long_running(gateways=3)
    for gateway in harness.gateways[1:]:
        gateway.peers.on_endpoints_question = lambda request: request.answer(404, [])
    harness.clients[0].faults.unavailable = True
    harness.network.advance(9.0)
    assert resume(harness, b"begun-elsewhere").status == 200


def test_many_streams_that_go_on_at_once_share_what_peers_answer():
    harness = make_long_running(gateways=6)
    harness.clients[0].faults.unavailable = True
    harness.network.advance(9.0)
    asked = []
    for gateway in harness.gateways[1:]:
        serve = gateway.peers.on_endpoints_question
        gateway.peers.on_endpoints_question = lambda request, serve=serve: (
            asked.append(request),
            serve(request),
        )
    callers = [harness.connect() for _ in range(30)]
    send_resumptions(harness, callers, b"begun")
    assert harness.network.advance_until(lambda: all(map(answered, callers)))
    assert {caller.status for caller in callers} == {200}
    assert len(asked) == 3


def delay_entries(harness, gateway, delay_s):
    """Have a gateway learn of new entries some time after the others."""
    state = harness.gateways[gateway].state
    adopt = state.adopt_endpoints

    def adopt_later(*args, **kwargs):
        harness.machines[gateway].callLater(delay_s, adopt, *args, **kwargs)
        return False

    state.adopt_endpoints = adopt_later


@pytest.mark.parametrize("delay_s", [0.1, 0.4, 1.2])
def test_stream_of_a_new_version_is_not_resumed_elsewhere_where_its_entries_come_later(delay_s):
    harness = make_long_running(gateways=3)
    for gateway in (1, 2):
        delay_entries(harness, gateway, delay_s)
    for _ in range(3):
        add_engine(harness, "v2")
    assert harness.network.advance_until(lambda: len(harness.gateways[0].state.endpoints) == 5)
    seen = set()
    for number in range(40):
        request_id = b"begun-%d" % number
        begun = versions_in(harness.ask(request_id=request_id))
        resumed = resume(harness, request_id, gateway=1 + number % 2)
        assert versions_in(resumed) in (begun, set())
        seen |= begun
        harness.network.advance(0.05)
    assert seen == {b"v1", b"v2"}


def test_gateway_that_starts_after_a_rollback_does_not_resume_streams_of_a_lost_version_elsewhere():
    harness = make_long_running(gateways=4)
    copy = harness.rows.copy()
    add_second_version(harness)
    begun = begin_at(harness, b"v2")
    harness.rows.roll_back(copy)
    started = harness.gateway()
    assert harness.network.advance_until(lambda: started.ready)
    resumed = [resume(harness, begun, gateway=4) for _ in range(6)]
    assert all(versions_in(caller) in (set(), {b"v2"}) for caller in resumed)
    harness.ask(0, request_id=b"begun-later")
    assert resume(harness, b"begun-later", gateway=4).status == 200


def test_connection_opened_before_the_entry_names_another_version_is_not_used_again():
    harness = make_harness(["v1", "v1"])
    for _ in range(6):
        harness.ask()
    restarted = harness.endpoints[0]
    before = set(restarted.factory.connections)
    assert before
    harness.announce(restarted, version="v2")
    harness.network.advance(1.0)
    assert not before & set(restarted.factory.connections)


def test_refusal_without_a_route_is_logged_without_a_fault():
    harness = make_harness(["v1"])
    assert harness.ask(path=b"/nowhere", headers=((b"Last-Event-Id", b"3"),)).status == 404
    (ended,) = harness.logs[0].of("request.ended")
    assert "endpoints_age_s" not in ended
    assert not harness.logs[0].of("process.fault")


def test_gateway_without_peers_does_not_wait_to_compare_its_table():
    harness = make_harness(["v1"])
    harness.clients[0].faults.unavailable = True
    harness.network.advance(9.0)
    resume(harness, b"begun")
    (ended,) = harness.logs[0].of("request.ended")
    assert ended["took_ms"] < 200
