# SPDX-License-Identifier: BSD-3-Clause
"""Bad input at each face of a running router: a clear error, nothing lost, the process lives."""

import socket
from pathlib import Path

import msgspec
import pytest
import uuid6
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.test_processes import BOOKINGS, CHAT, Harness
from tools.local_fleet import http_call

FUZZ = settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.fixture(scope="module")
def harness():
    harness = Harness(request_limit_bytes=20_000, connection_limit=50, idle_timeout_s=1.0)
    yield harness
    harness.fleet.stop()


def problem(answer):
    status, headers, body = answer
    assert headers["Content-Type"] == "application/problem+json"
    fields = msgspec.json.decode(body)
    assert fields["status"] == status
    return fields


def assert_lives(harness):
    assert harness.send(harness.routers[0], CHAT, harness.chat_body(tokens=2))[0] == 200


@FUZZ
@given(body=st.binary(max_size=300))
def test_chat_with_any_bytes_is_refused(harness, body):
    fields = problem(harness.send(harness.routers[0], CHAT, body or b" "))
    assert (fields["status"], fields["outcome"]) == (400, "not_run")


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


@FUZZ
@given(
    body=st.fixed_dictionaries(
        {}, optional={"model": JSON, "messages": JSON, "max_tokens": JSON, "stream": JSON}
    )
)
def test_chat_with_any_json_is_refused(harness, body):
    fields = problem(harness.send(harness.routers[0], CHAT, msgspec.json.encode(body)))
    assert fields["status"] in (400, 404)


@FUZZ
@given(body=st.binary(max_size=200))
def test_operators_face_with_any_bytes_is_refused(harness, body):
    status, answer = harness.fleet.operator(harness.routers[0], "POST", "/apply", body or b" ")
    assert status == 400
    assert answer["faults"]


def test_faulty_resources_name_every_fault_and_apply_nothing(harness):
    before = harness.fleet.operator(harness.routers[0], "GET", "/fleet")[1]["revision"]
    changes = [
        {"kind": "models", "name": "new", "spec": {"name": "new"}},
        {"kind": "endpoints", "name": "x", "spec": {"name": "x", "pool": "none", "slots": "y"}},
    ]
    status, answer = harness.fleet.operator(
        harness.routers[0], "POST", "/apply", {"changes": changes}
    )
    assert status == 400
    assert len(answer["faults"]) >= 3
    assert all("expected" in fault and "found" in fault for fault in answer["faults"])
    assert not harness.fleet.operator(harness.routers[0], "GET", "/resources/models/new")[1]
    assert harness.fleet.operator(harness.routers[0], "GET", "/fleet")[1]["revision"] == before


def test_wrong_key_is_refused_at_both_faces(harness):
    fields = problem(
        harness.send(harness.routers[0], CHAT, harness.chat_body(), workspace="nobody")
    )
    assert fields["reason"] == "unauthorized"
    status, _, _ = http_call("GET", f"{harness.routers[0].operators_url}/fleet")
    assert status == 401


def test_large_body_is_refused_before_it_is_read(harness):
    body = harness.chat_body().replace(b"who", b"x" * 30_000)
    try:
        fields = problem(harness.send(harness.routers[0], CHAT, body))
        assert fields["reason"] == "too_large"
    except OSError:
        pass  # the connection is closed while the caller still sends
    assert_lives(harness)


def test_answer_of_one_workspace_never_goes_to_another(harness):
    request_id = str(uuid6.uuid7())
    first = harness.send(harness.routers[0], BOOKINGS, b'{"a": 1}', request_id)
    other = harness.send(
        harness.routers[1], BOOKINGS, b'{"a": 1}', request_id, workspace="sport-one"
    )
    assert first[0] == other[0] == 200
    assert first[2] != other[2]
    again = harness.fleet.wait_until(lambda: _stored(harness, request_id))
    assert again == first[2]


def _stored(harness, request_id):
    status, _, body = harness.send(harness.routers[1], BOOKINGS, b'{"a": 1}', request_id)
    assert status in (200, 409)
    return body if status == 200 else None


def test_same_id_with_another_body_is_an_error(harness):
    request_id = str(uuid6.uuid7())
    assert harness.send(harness.routers[0], BOOKINGS, b'{"a": 1}', request_id)[0] == 200
    fields = problem(harness.send(harness.routers[1], BOOKINGS, b'{"a": 2}', request_id))
    assert (fields["reason"], fields["outcome"]) == ("id_reused", "not_run")


def test_old_id_of_a_booking_is_unknown_and_not_run(harness):
    old = "01900000-0000-7000-8000-000000000000"
    fields = problem(harness.send(harness.routers[0], BOOKINGS, b"{}", old))
    assert (fields["reason"], fields["outcome"]) == ("id_too_old", "unknown")


def test_silent_and_broken_connections_are_closed(harness):
    address = ("127.0.0.1", harness.routers[0].callers_port)
    for opening in (b"", b"POST /v1/chat", b"\x00\xff\r\n\r\n"):
        with socket.create_connection(address) as connection:
            connection.settimeout(10.0)
            connection.sendall(opening)
            while connection.recv(1000):
                pass
    assert_lives(harness)


@pytest.fixture
def patient_rig():
    """Return a rig that closes no connection for being idle while a test looks."""
    harness = Harness(connection_limit=50, idle_timeout_s=60.0)
    yield harness
    harness.fleet.stop()


def test_connections_above_the_limit_are_closed(patient_rig):
    router = patient_rig.routers[0]
    # A connection of the rig's own that ends meanwhile would let one more in.
    patient_rig.fleet.wait_until(lambda: not _held_connections(router.callers_port))
    address = ("127.0.0.1", router.callers_port)
    connections = [socket.create_connection(address) for _ in range(60)]
    closed = 0
    for connection in connections[50:]:
        connection.settimeout(20.0)
        try:
            closed += connection.recv(10) == b""
        except TimeoutError:
            pass
        except ConnectionError:
            closed += 1
    open_still = 0
    for connection in connections[:50]:
        connection.settimeout(0.0)
        try:
            connection.recv(10)
        except BlockingIOError:
            open_still += 1
    for connection in connections:
        connection.close()
    assert (closed, open_still) == (10, 50)
    # The router counts a connection until it has seen its end: the next one is welcome then.
    patient_rig.fleet.wait_until(lambda: not _held_connections(router.callers_port))
    assert patient_rig.send(router, CHAT, patient_rig.chat_body(2))[0] == 200


def _held_connections(port):
    """Return the connections that a process on this machine holds at a local port."""
    held_states = {"01", "08"}  # established, and closed by the other end only
    held = []
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, _, state = line.split()[:4]
        if int(local.rpartition(":")[2], 16) == port and state in held_states:
            held.append(line)
    return held


def test_peer_port_survives_any_bytes(harness):
    for data in (b"\xff" * 100, b"\x00\x00\x00\x05hello", b"GET / HTTP/1.1\r\n\r\n"):
        with socket.create_connection(("127.0.0.1", harness.routers[0].peers_port)) as connection:
            connection.sendall(data)
    assert_lives(harness)
