# SPDX-License-Identifier: BSD-3-Clause
"""A stream holds events of endpoints of one software version, however often it is resumed."""

import re

import msgspec

from turnward.gateway import (
    EndpointPool,
    EndpointsSnapshot,
    RetryPolicy,
    WeightedPool,
    Workspace,
)
from turnward.gateway.tests.harness import (
    DIALECT,
    Harness,
    answer_head,
    answered,
    decode_chunked,
)
from turnward.http1 import header_value
from turnward.rows import RowKey
from turnward.software_versions import UNKNOWN_VERSION

EVENTS = 6
#: Events after which an engine breaks the streams that begin there.
BROKEN_AFTER = 3


class Engine:
    """Behaviour of an endpoint that writes its software version into each event.

    Attributes
    ----------
    breaks : bool
        Whether it resets the connection of a stream that began there, after a few events.
    broken_after_s : float
        Time from these events to the reset.
    """

    broken_after_s = 0.05

    def __init__(self, version, breaks=False):
        self.version = version
        self.breaks = breaks

    def __call__(self, endpoint, request):
        after = header_value(request.headers, DIALECT.last_event_id)
        first = int(after) + 1 if after else 1
        broken = self.breaks and first == 1
        last = BROKEN_AFTER if broken else EVENTS
        events = b"".join(
            b"id: %d\ndata: %b\n\n" % (number, self.version.encode())
            for number in range(first, last + 1)
        )
        request.start(200, answer_head(request), None)
        request.write(events)
        if broken:
            endpoint.machine.callLater(self.broken_after_s, request.abort)
        else:
            request.finish()


def make_harness(versions, gateways=1, breaks=False, **fields):
    """Return a fleet before one endpoint of each given version."""
    fields = {"repeat": RetryPolicy.STREAM, "resumable": True, "attempts": 3, **fields}
    harness = Harness(**fields)
    for version in versions:
        add_engine(harness, version, breaks)
    harness.ready(gateways)
    harness.network.advance(1.0)
    return harness


def add_engine(harness, version, breaks=False):
    endpoint = harness.endpoint(Engine(version, breaks), announce=False)
    harness.announce(endpoint, version=version)
    return endpoint


def versions_in(caller):
    """Return the versions that wrote a caller's events."""
    body, _ = decode_chunked(caller.body)
    return set(re.findall(rb"data: (\w+)", body))


def is_whole(caller):
    return answered(caller) and decode_chunked(caller.body)[1]


def resume(harness, first_id, gateway=0, after=BROKEN_AFTER, **fields):
    """Resume a stream as its caller does."""
    headers = ((b"Resumes", first_id), (b"Last-Event-Id", b"%d" % after))
    return harness.ask(gateway, headers=headers, **fields)


def test_lines_name_the_version_of_a_stream_and_the_request_that_began_it():
    harness = make_harness(["v7"])
    harness.watch_pools()
    resume(harness, b"first", request_id=b"second")
    (chosen,) = harness.logs[0].of("attempt.chosen")
    (ended,) = harness.logs[0].of("request.ended")
    for line in (chosen, ended):
        assert (line["resumes"], line["version"]) == ("first", "v7")


def test_line_tells_how_old_the_table_is_by_which_a_stream_goes_on():
    harness = make_harness(["v7"])
    harness.watch_pools()
    harness.clients[0].faults.unavailable = True
    harness.network.advance(9.0)
    resume(harness, b"first")
    harness.ask()
    resumed, begun = harness.logs[0].of("attempt.chosen")
    assert resumed["endpoints_age_s"] >= 3.0
    assert "endpoints_age_s" not in begun


def test_stream_goes_on_inside_one_answer_at_the_version_that_began_it():
    harness = make_harness(["v1", "v1", "v2", "v2", "v2"], breaks=True)
    for _ in range(20):
        caller = harness.ask()
        assert is_whole(caller)
        assert len(versions_in(caller)) == 1
        harness.network.advance(0.5)


def test_stream_is_broken_off_at_once_if_no_endpoint_of_its_version_is_left():
    harness = make_harness(["v1", "v2"], breaks=True)
    caller = harness.send()
    assert harness.network.advance_until(lambda: versions_in(caller))
    harness.network.advance(0.1)
    assert caller.closed is not None
    assert len(versions_in(caller)) == 1
    assert not is_whole(caller)


def test_caller_resumes_a_stream_at_its_version_when_the_gateway_that_began_it_was_killed():
    harness = make_harness(["v1", "v1", "v2", "v2"], gateways=4)
    callers = [harness.ask(request_id=b"begun-%d" % number) for number in range(12)]
    harness.machines[0].kill()
    for number, begun in enumerate(callers):
        resumed = resume(harness, b"begun-%d" % number, gateway=1 + number % 3)
        assert resumed.status == 200
        assert versions_in(resumed) == versions_in(begun)


def test_resumption_is_refused_as_not_run_if_nobody_knows_its_version():
    harness = make_harness(["v1", "v2"], gateways=3)
    refused = resume(harness, b"never-begun")
    assert refused.status == 503
    assert not any(endpoint.requests for endpoint in harness.endpoints)


def refuse_links(harness, gateway):
    """Have all endpoints refuse new connections of a gateway."""
    for endpoint in harness.endpoints:
        harness.network.refuse(harness.machines[gateway].host, endpoint.machine.host)


def test_stream_that_a_peer_takes_over_goes_on_at_the_version_that_began_it():
    for earlier in range(6):
        harness = make_harness(["v1", "v1", "v2", "v2"], gateways=3, breaks=True)
        for number in range(earlier):
            harness.ask(request_id=b"earlier-%d" % number)
        for endpoint in harness.endpoints:
            endpoint.behave.broken_after_s = 1.0
        caller = harness.send()
        assert harness.network.advance_until(lambda caller=caller: versions_in(caller))
        refuse_links(harness, 0)
        harness.send(path=b"/a/other")
        harness.network.advance_until(lambda caller=caller: answered(caller))
        assert versions_in(caller) in ({b"v1"}, {b"v2"})
        assert is_whole(caller)


def count_messages(harness):
    """Return a list that gets each message on streams' versions that a gateway sends."""
    sent = []
    for gateway in harness.gateways:
        peers = gateway.peers

        def send(data, address, send=peers.exchange.send):
            if data[1:9] == b"\xa7streams":
                sent.append(address)
            send(data, address)

        async def call(address, path, body, timeout_s, call=peers.call):
            sent.append(address)
            return await call(address, path, body, timeout_s)

        exchange = gateway.forwarder.versions._exchange
        exchange._send, exchange._call = send, call
    return sent


def test_nothing_is_told_or_asked_while_a_pool_has_one_version():
    harness = make_harness(["v1", "v1", "v1"], gateways=4, breaks=True)
    harness.watch_pools()
    messages = count_messages(harness)
    for number in range(6):
        harness.ask(number % 4, request_id=b"begun-%d" % number)
        assert resume(harness, b"begun-%d" % number, (number + 1) % 4).status == 200
    assert not messages
    add_engine(harness, "v2")
    harness.network.advance(2.0)
    assert messages


def test_stream_that_began_before_the_second_version_came_goes_on_at_its_own():
    harness = make_harness(["v1", "v1"], gateways=4)
    harness.ask(request_id=b"begun")
    for _ in range(3):
        add_engine(harness, "v2")
    harness.network.advance(2.0)
    harness.machines[0].kill()
    for gateway in (1, 2, 3):
        assert versions_in(resume(harness, b"begun", gateway)) == {b"v1"}


def test_stream_is_resumed_again_and_again_at_its_version():
    harness = make_harness(["v1", "v1", "v2", "v2"], gateways=4)
    (version,) = versions_in(harness.ask(request_id=b"begun"))
    for after in (1, 2, 3, 4, 5):
        resumed = resume(harness, b"begun", gateway=after % 4, after=after)
        assert versions_in(resumed) == {version}


def test_stream_is_not_resumed_at_the_version_that_another_workspace_began_under_its_id():
    workspaces = [Workspace(name=name, keys=(name,)) for name in ("one", "two")]
    harness = make_harness(["v1", "v2"], gateways=3, workspaces=workspaces)
    harness.ask(request_id=b"same", key=b"one")
    assert resume(harness, b"same", key=b"two").status == 503


def test_resumption_is_refused_if_its_id_began_streams_of_two_versions():
    harness = make_harness(["v1", "v1", "v2", "v2"], gateways=3)
    begun = [versions_in(harness.ask(number % 3, request_id=b"same")) for number in range(12)]
    assert {b"v1"} in begun and {b"v2"} in begun
    harness.network.advance(0.1)
    assert resume(harness, b"same").status == 503


def test_streams_go_on_nearly_as_often_as_new_ones_begin_after_most_gateways_were_killed():
    harness = make_harness(["v1", "v1", "v1", "v2", "v2"], gateways=8)
    begun = {}
    for number in range(60):
        request_id = b"begun-%d" % number
        begun[request_id] = versions_in(harness.ask(number % 8, request_id=request_id))
    for gateway in range(5):
        harness.machines[gateway].kill()
    resumed = [
        versions_in(resume(harness, request_id, 5 + number % 3))
        for number, request_id in enumerate(begun)
    ]
    assert all(each in (set(), one) for each, one in zip(resumed, begun.values(), strict=True))
    fresh = [harness.ask(5 + number % 3).status == 200 for number in range(12)]
    assert all(fresh)
    # One stream in fourteen is known to killed gateways alone.
    assert sum(map(bool, resumed)) >= 0.85 * len(resumed)


def test_gateways_that_all_restart_do_not_resume_streams_of_a_version_that_has_left():
    harness = make_harness(["v1", "v2", "v2"], gateways=2)
    harness.network.advance(2.0)
    leaving = harness.endpoints[0]
    for machine in harness.machines:
        machine.kill()
    harness.rows.remove("endpoints", leaving.endpoint_id)
    for number, machine in enumerate(list(harness.machines)):
        machine.restart()
        harness.run_gateway(machine, f"node-{number + 1}")
    assert harness.network.advance_until(lambda: all(g.ready for g in harness.gateways[2:]))
    harness.network.advance(1.0)
    assert resume(harness, b"begun-at-v1", gateway=2).status == 503
    assert harness.ask(gateway=2).status == 200


def test_versions_that_left_long_ago_bind_no_stream_any_more():
    harness = make_harness(["v1", "v2", "v2"], gateways=3, time_limit_s=2.0)
    harness.rows.remove("endpoints", harness.endpoints[0].endpoint_id)
    harness.network.advance(20.0)
    assert resume(harness, b"never-told").status == 200
    for machine in harness.machines[1:]:
        machine.kill()
    assert harness.rows.get(RowKey("pool_versions", "", "pool")).value == b'["v2"]'


def test_streams_do_not_begin_at_the_last_endpoint_of_a_version():
    harness = make_harness(["v1", "v2", "v2", "v2"])
    callers = [harness.ask() for _ in range(12)]
    assert {frozenset(versions_in(caller)) for caller in callers} == {frozenset((b"v2",))}
    for endpoint in harness.endpoints[1:]:
        harness.announce(endpoint, version="v2", leaving=True)
    harness.network.advance(1.0)
    assert versions_in(harness.ask()) == {b"v1"}


def restart_as(endpoint, version):
    """Restart an endpoint under its id with another version; its entry is not written."""
    endpoint.behave = Engine(version)
    for connection in list(endpoint.factory.connections):
        connection.transport.abortConnection()


def test_endpoint_that_restarted_as_another_version_continues_no_stream_before_its_entry_tells():
    harness = make_harness(["v1", "v1", "v2", "v2", "v2"])
    begun = [b"begun-%d" % number for number in range(10)]
    of_v1 = [name for name in begun if versions_in(harness.ask(request_id=name)) == {b"v1"}]
    harness.clients[0].faults.unavailable = True
    harness.network.advance(3.0)
    for _ in range(8):
        harness.ask()
    restart_as(harness.endpoints[0], "v2")
    harness.network.advance(0.5)
    resumed = [versions_in(resume(harness, name)) for name in of_v1 for _ in range(4)]
    assert len(resumed) >= 8
    assert all(each == {b"v1"} for each in resumed)


def test_gateway_without_connections_is_told_that_an_endpoint_may_have_restarted():
    harness = make_harness(["v1", "v1", "v2", "v2", "v2"], gateways=2)
    begun = [b"begun-%d" % number for number in range(10)]
    of_v1 = [name for name in begun if versions_in(harness.ask(request_id=name)) == {b"v1"}]
    for endpoint in harness.endpoints:
        endpoint.behave.breaks, endpoint.behave.broken_after_s = True, 5.0
    for _ in range(12):
        harness.send()
    harness.network.advance(0.1)
    restart_as(harness.endpoints[0], "v2")
    harness.network.advance(0.1)
    resumed = [versions_in(resume(harness, name, gateway=1)) for name in of_v1 * 4]
    assert len(resumed) >= 8
    assert all(each == {b"v1"} for each in resumed)


def test_stream_goes_on_at_its_version_at_endpoints_whose_entries_have_lapsed():
    harness = make_harness(["v1", "v1", "v2", "v2", "v2"], breaks=True)
    harness.clients[0].faults.unavailable = True
    harness.network.advance(3.0)
    for endpoint in harness.endpoints:
        harness.rows.remove("endpoints", endpoint.endpoint_id)
    harness.clients[0].faults.unavailable = False
    state = harness.gateways[0].state
    assert harness.network.advance_until(lambda: not state.endpoints)
    callers = [harness.send() for _ in range(10)]
    harness.network.advance(1.0)
    assert all(len(versions_in(caller)) == 1 for caller in callers)


def test_entries_that_an_older_build_copies_without_versions_continue_no_stream():
    harness = make_harness(["v1", "v2", "v2"])
    state = harness.gateways[0].state
    (entry,) = [each for each in state.endpoints.values() if each.version == "v1"]
    copied = msgspec.structs.replace(entry, endpoint_id="e-new", version="")
    entries = (*state.endpoints.values(), copied)
    snapshot = EndpointsSnapshot(state.endpoints_version + 1, entries)
    state.adopt_endpoints(msgspec.structs.replace(snapshot, names_versions=False), "peer")
    assert state.endpoints["e-1"].version == "v1"
    assert state.endpoints["e-new"].version == UNKNOWN_VERSION


def test_stream_is_not_relayed_to_a_peer_that_does_not_keep_versions():
    harness = make_harness(["v1", "v1", "v2", "v2"], gateways=2, breaks=True)
    for endpoint in harness.endpoints:
        endpoint.behave.broken_after_s = 1.5
    caller = harness.send()
    assert harness.network.advance_until(lambda: versions_in(caller))
    peers = harness.gateways[1].peers
    digest = peers.digest
    peers.digest = lambda: msgspec.structs.replace(digest(), keeps_versions=False)
    refuse_links(harness, 0)
    harness.send(path=b"/a/other")
    harness.network.advance_until(lambda: answered(caller))
    assert len(versions_in(caller)) == 1
    assert not is_whole(caller)


def make_divided_harness(gateways, breaks=False):
    """Return a fleet whose route is divided among two pools of one version each."""
    names = ("one", "two")
    route = Harness.route(
        pools=tuple(WeightedPool(name) for name in names),
        repeat=RetryPolicy.STREAM,
        resumable=True,
        attempts=3,
    )
    harness = Harness(routes=(route,), pools=tuple(EndpointPool(name=name) for name in names))
    for name in (*names, *names):
        harness.endpoint(Engine(f"v_{name}", breaks), pool=name)
    harness.ready(gateways)
    harness.network.advance(1.0)
    return harness


def test_caller_resumes_a_stream_of_a_divided_route_at_the_pool_that_began_it():
    harness = make_divided_harness(gateways=3)
    begun = [versions_in(harness.ask(request_id=b"begun-%d" % number)) for number in range(12)]
    assert {b"v_one"} in begun and {b"v_two"} in begun
    for number, versions in enumerate(begun):
        resumed = resume(harness, b"begun-%d" % number, gateway=1 + number % 2)
        assert versions_in(resumed) == versions


def test_stream_of_a_divided_route_that_a_peer_takes_over_stays_at_its_pool():
    for number in range(12):
        harness = make_divided_harness(gateways=2, breaks=True)
        for endpoint in harness.endpoints:
            endpoint.behave.broken_after_s = 1.0
        caller = harness.send(request_id=b"begun-%d" % number)
        assert harness.network.advance_until(lambda caller=caller: versions_in(caller))
        refuse_links(harness, 0)
        for other in range(6):
            harness.send(path=b"/a/%d" % other)
        harness.network.advance_until(lambda caller=caller: answered(caller))
        assert is_whole(caller)
        assert len(versions_in(caller)) == 1
