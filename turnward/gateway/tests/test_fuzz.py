# SPDX-License-Identifier: BSD-3-Clause
"""Arbitrary bytes at any port get a valid response or a closed connection, and never a crash."""

from hypothesis import given, settings
from hypothesis import strategies as st

from turnward.gateway import RetryPolicy
from turnward.gateway.peers import PeerDatagramProtocol
from turnward.gateway.tests.harness import PEERS_PORT, READY_PORT, Harness, answer_ok, raw_answer

FUZZ_SETTINGS = settings(max_examples=150, deadline=None, derandomize=True, database=None)

REQUESTS = st.lists(
    st.sampled_from(
        [
            b"GET /a/x HTTP/1.1",
            b"POST /a/x HTTP/1.1",
            b"GET /a/x HTTP/1.0",
            b"GET http://shop.example/a/x HTTP/1.1",
            b"CONNECT shop.example:80 HTTP/1.1",
            b"PRI * HTTP/2.0",
            b"Host: shop.example",
            b"Host: other",
            b"Request-Id: f-1",
            b"Request-Id:",
            b"Authorization: Bearer key-one",
            b"Authorization: Bearer",
            b"Content-Length: 3",
            b"Content-Length: -1",
            b"Content-Length: 99999999999",
            b"Transfer-Encoding: chunked",
            b"Transfer-Encoding: gzip, chunked",
            b"Upgrade: websocket",
            b"Connection: upgrade, close",
            b"Expect: 100-continue",
            b"Deadline-Ms: many",
            b"Deadline-Ms: -5",
            b"Deadline-Ms: nan",
            b"Token-Count: 1,",
            b"Token-Count: 999999999999999999999,1",
            b"Prompt-Parts: a:b:c,,:",
            b" folded",
            b"",
            b"3\r\nabc",
            b"0",
            b"abc",
        ]
    ),
    max_size=14,
).map(b"\r\n".join)


def still_serves(harness):
    caller = harness.ask()
    return caller.status == 200 and not harness.logs[0].of("process.fault")


def ready_harness(**fields):
    harness = Harness(**fields)
    harness.endpoint(answer_ok)
    return harness.ready()


@FUZZ_SETTINGS
@given(st.one_of(st.binary(max_size=200), REQUESTS))
def test_arbitrary_bytes_from_caller(data):
    harness = ready_harness(time_limit_s=2.0)
    caller = harness.connect()
    caller.transport.write(data + b"\r\n\r\n")
    harness.network.advance(0.1)
    caller.transport.write(b"more\r\n\r\n")
    harness.network.advance(8.0, step_s=0.05)
    assert caller.received == b"" or caller.received.startswith(b"HTTP/1.1 ")
    assert still_serves(harness)


RESPONSES = st.lists(
    st.sampled_from(
        [
            b"HTTP/1.1 200 OK",
            b"HTTP/1.1 503 Busy",
            b"HTTP/1.1 100 Continue",
            b"HTTP/1.1 204 None",
            b"HTTP/1.1 999 ?",
            b"HTTP/9.9 200 OK",
            b"Request-Id: <id>",
            b"Request-Id: other",
            b"Answer-Seal: s",
            b"Not-Run: 1",
            b"Content-Length: 3",
            b"Content-Length: x",
            b"Transfer-Encoding: chunked",
            b"Connection: close",
            b"Keep-Alive: timeout=x",
            b"",
            b"abc",
            b"3\r\nabc",
            b"0\r\n",
            b"id: 1\ndata: x\n",
        ]
    ),
    max_size=12,
).map(b"\r\n".join)


@FUZZ_SETTINGS
@given(
    st.one_of(st.binary(max_size=200), RESPONSES),
    st.sampled_from([RetryPolicy.ANY, RetryPolicy.ONCE, RetryPolicy.STREAM]),
)
def test_arbitrary_bytes_from_endpoint(data, repeat):
    harness = Harness(repeat=repeat, time_limit_s=1.0, attempts=1)
    endpoint = harness.endpoint(raw_answer(data))
    harness.ready()
    caller = harness.ask(method=b"POST", body=b"", limit_s=3.0)
    if caller.status == 200:
        assert b"Answer-Seal: s" in data
        assert b"HTTP/1.1 200 OK" in data
    assert caller.received == b"" or caller.received.startswith(b"HTTP/1.1 ")
    endpoint.behave = answer_ok
    harness.network.advance(6.0, step_s=0.05)
    assert harness.ask(method=b"POST", body=b"").status == 200
    assert not harness.logs[0].of("process.fault")


@FUZZ_SETTINGS
@given(st.binary(max_size=300))
def test_arbitrary_bytes_at_internal_ports(data):
    harness = ready_harness()
    sender = harness.network.machine("10.7.7.7")
    sender.listenUDP(5, PeerDatagramProtocol(lambda message: None, lambda host, layout: None))
    harness.machines[0].datagram_listeners[PEERS_PORT].datagramReceived(data, ("10.7.7.7", 5))
    for port in (PEERS_PORT, READY_PORT):
        caller = harness.connect(port=port)
        caller.transport.write(data)
    harness.network.advance(0.2)
    assert still_serves(harness)
