# SPDX-License-Identifier: BSD-3-Clause
"""A router that reaches no endpoint serves requests by way of the routers that do."""

import itertools

import pytest

from turnward.gateway import EndpointPool, RetryPolicy
from turnward.gateway.tests.harness import Harness, answer_ok, answered

#: Time between two requests at one router.
INTERVAL_S = 0.15
#: Time after the loss of the links from which requests must be served.
SERVED_AFTER_S = 3.0
#: Least share served at a router without links, of the share served at the others.
MIN_SHARE_OF_OTHERS = 2 / 3
#: Deadlines of callers.
SHORT_DEADLINE_MS = b"800"
LONG_DEADLINE_MS = b"1500"
_numbers = itertools.count()


class Links:
    """Breaks and restores the links of routers to all endpoints."""

    def __init__(self, harness, how):
        self._harness = harness
        self._how = how

    def _pairs(self, gateways):
        for gateway in gateways:
            for endpoint in self._harness.endpoints:
                yield self._harness.machines[gateway].host, endpoint.machine.host

    def cut(self, *gateways):
        network = self._harness.network
        for pair in self._pairs(gateways):
            if self._how == "silent":
                network.cut(*pair)
                continue
            network.refuse(*pair)
            if self._how == "reset":
                network.reset(*pair)

    def heal(self, *gateways):
        network = self._harness.network
        for pair in self._pairs(gateways):
            network.heal(*pair)
            network.accept(*pair)


def make_harness(gateways=3, **route_fields):
    fields = {"repeat": RetryPolicy.ONCE, "attempts": 1, **route_fields}
    harness = Harness(pools=(EndpointPool(name="pool"),), **fields)
    for _ in range(4):
        harness.endpoint(answer_ok)
    harness.ready(gateways)
    harness.network.advance(1.5)
    return harness


def send_everywhere(harness, duration_s, deadline_ms=LONG_DEADLINE_MS, alike=True):
    """Send requests to all routers in turn, of one content or each of its own.

    Returns the callers of each router.
    """
    callers = [[] for _ in harness.gateways]
    for _ in range(round(duration_s / INTERVAL_S)):
        for gateway in range(len(harness.gateways)):
            headers = ((b"Deadline-Ms", deadline_ms),)
            path = b"/a/x" if alike else b"/a/%d" % next(_numbers)
            callers[gateway].append(harness.send(gateway, path=path, headers=headers))
            harness.network.advance(INTERVAL_S / len(harness.gateways))
    harness.network.advance(1.6)
    return callers


def served_share(callers):
    return sum(caller.status == 200 for caller in callers) / len(callers)


@pytest.mark.parametrize("how", ["silent", "reset", "new_refused"])
@pytest.mark.parametrize("deadline_ms", [SHORT_DEADLINE_MS, LONG_DEADLINE_MS])
def test_router_without_links_to_endpoints_serves_as_others_do(how, deadline_ms):
    harness = make_harness()
    send_everywhere(harness, 1.0)
    Links(harness, how).cut(0)
    send_everywhere(harness, SERVED_AFTER_S - 1.6)
    cut_off, *others = send_everywhere(harness, 4.0, deadline_ms)
    share = min(served_share(callers) for callers in others)
    assert share == 1.0
    assert served_share(cut_off) >= MIN_SHARE_OF_OTHERS * share


@pytest.mark.parametrize("how", ["silent", "reset"])
def test_routers_of_which_most_have_no_links_are_served_by_the_one_that_has(how):
    harness = make_harness(gateways=4)
    send_everywhere(harness, 1.0)
    Links(harness, how).cut(0, 1, 2)
    send_everywhere(harness, SERVED_AFTER_S - 1.6)
    *cut_off, other = send_everywhere(harness, 4.0)
    assert served_share(other) == 1.0
    assert min(map(served_share, cut_off)) >= MIN_SHARE_OF_OTHERS


def test_pool_that_no_router_reaches_is_refused_at_once():
    harness = make_harness()
    send_everywhere(harness, 1.0)
    Links(harness, "silent").cut(0, 1, 2)
    send_everywhere(harness, 4.0)
    caller = harness.send(headers=((b"Deadline-Ms", LONG_DEADLINE_MS),))
    harness.network.advance(0.1)
    assert answered(caller)
    assert caller.status == 503


def serve_with_links_reset_after_they_open(harness, broken, alike=True):
    """Return the mean share that each router serves, the first ones with broken links.

    Endpoints start meanwhile, each of which seems to work until it has lost requests.
    """
    broken_hosts = {machine.host for machine in harness.machines[:broken]}

    def reset_or_answer(endpoint, request):
        if request._connection.transport.getPeer().host in broken_hosts:
            request.abort()
        else:
            answer_ok(endpoint, request)

    send_everywhere(harness, 1.0, alike=alike)
    for endpoint in harness.endpoints:
        endpoint.behave = reset_or_answer
    shares = []
    for _ in range(7):
        harness.endpoint(reset_or_answer)
        callers = send_everywhere(harness, 0.9, alike=alike)
        shares.append(list(map(served_share, callers)))
    after_contact = shares[1:]
    return [sum(share) / len(after_contact) for share in zip(*after_contact, strict=True)]


def test_router_whose_links_are_reset_after_they_open_serves_as_others_do():
    harness = make_harness(repeat=RetryPolicy.ANY, attempts=2)
    broken, *others = serve_with_links_reset_after_they_open(harness, 1)
    assert min(others) == 1.0
    assert broken >= MIN_SHARE_OF_OTHERS


@pytest.mark.parametrize(
    ("how", "error"), [("silent", "TimeoutError"), ("new_refused", "ConnectionRefusedError")]
)
def test_failed_connection_to_a_peer_is_logged_with_its_error(how, error):
    harness = make_harness()
    Links(harness, "silent").cut(0)
    send_everywhere(harness, 2.0)
    for peer in (1, 2):
        hosts = harness.machines[0].host, harness.machines[peer].host
        (harness.network.cut if how == "silent" else harness.network.refuse)(*hosts)
    log = harness.logs[0]
    log.lines.clear()
    harness.send(headers=((b"Deadline-Ms", LONG_DEADLINE_MS),))
    harness.network.advance(1.6)
    failed = [line for line in log.of("attempt.failed") if line["how"] == "unreachable"]
    assert {line["connect_error"] for line in failed} == {error}


def test_relayed_request_is_logged_with_the_time_in_which_its_connection_opened():
    harness = make_harness()
    Links(harness, "silent").cut(0)
    send_everywhere(harness, 4.0)
    ended = [line for line in harness.logs[0].of("request.ended") if "peer" in line["endpoint"]]
    assert any(line["connect_ms"] is not None for line in ended)
    assert any(line["connect_ms"] is None for line in ended)
