# SPDX-License-Identifier: BSD-3-Clause
"""A router whose own link is full for long serves what the link carries, and recovers soon."""

import random

import pytest
from twisted.internet.protocol import ClientFactory

from turnward.gateway import EndpointPool, RetryPolicy, Workspace
from turnward.gateway.tests.harness import (
    CALLERS_PORT,
    READY_PORT,
    Caller,
    Harness,
    answer_ok,
    answered,
    never_answer,
)
from turnward.gateway.tests.test_unreached_endpoints import MIN_SHARE_OF_OTHERS, Links

LINK_MBIT_PER_S = 2.0
BODY = b"x" * 12_000
DEADLINE_S = 6.0
#: Requests in a second that the link carries, whose bodies cross it once in each direction.
CARRIED_PER_S = LINK_MBIT_PER_S * 1e6 / 8 / len(BODY)
#: Time after its time limit within which a request must be answered, as the users' rules set it.
HELD_ON_S = 0.5
#: Time without a response after which a caller gives its connection up.
PATIENCE_S = 1.0
#: Interval in which a balancer asks whether a router is ready, and misses that take it out.
READY_INTERVAL_S = 1.0
READY_MISSES = 2
#: Tries of a caller, each after the first at another router.
TRIES = 2
#: Workspaces of the callers, few of whose tokens the router holds.
WORKSPACES = 8
#: Time for which packets wait at a link that is delayed.
LINK_DELAY_S = 0.8
#: Interval in which they are replaced, and the share of the link that they take.
REFILL_INTERVAL_S = 0.05
REFILLED_SHARE = 0.75
#: Usual requests in a second, as a share of what the link carries.
USUAL = 0.5
BURST_S = 10.0
#: Time in which callers must be served as they were before, as the users' rules set it.
CONTACT_S = 4.0
#: Time after a burst in which a router must be as it was before.
RECOVERY_S = 2.0
#: Least share of what was served before, as the users' rules set it.
MIN_SHARE_OF_BEFORE = 3 / 4
#: The same once the burst is over, and least share of callers that are served at all.
MIN_SHARE_AFTERWARDS = 0.97
#: What comes in a burst, relative to what the link carries.
FACTORS = [1.2, 1.6, 2.5]


def answer_and_close(endpoint, request):
    """Answer, and close the connection."""
    request.closes = True
    answer_ok(endpoint, request)


class _NarrowHarness(Harness):
    links_mbit_per_s = {0: LINK_MBIT_PER_S}


class _Try(Caller):
    """One try of a caller, which sends its request as soon as its connection opens."""

    def __init__(self, data):
        super().__init__()
        self._data = data
        self.given_up = False
        self.refused = False

    def connectionMade(self):
        if self.given_up:
            self.transport.abortConnection()
        else:
            self.transport.write(self._data)

    @property
    def closed_unread(self):
        """Whether the router refused the connection, or closed it without a response."""
        return self.refused or self.closed is not None and not self.received and not self.given_up

    def give_up(self):
        """Reset the connection, or have it reset once it opens."""
        self.given_up = True
        if self.transport is not None:
            self.transport.abortConnection()


class _TryFactory(ClientFactory):
    """Opens the connection of a try."""

    def __init__(self, attempt, on_refused):
        self._attempt = attempt
        self._on_refused = on_refused

    def buildProtocol(self, address):
        return self._attempt

    def clientConnectionFailed(self, connector, reason):
        self._attempt.refused = True
        self._on_refused()


class _ReturningCaller:
    """A caller that gives up without a response, and returns to another router."""

    def __init__(self, scene, started_s):
        self._scene = scene
        self.started_s = started_s
        self.tries: list[_Try] = []
        self._begin()

    def _begin(self):
        scene = self._scene
        gateway = scene.busiest if not self.tries else scene.choose_other()
        attempt = scene.begin_try(gateway, self._begin_again)
        self.tries.append(attempt)
        scene.harness.network.clock.callLater(PATIENCE_S, self._check, attempt)

    def _begin_again(self):
        if len(self.tries) < TRIES:
            self._begin()

    def _check(self, attempt):
        if attempt.refused or attempt.status == 200:
            return
        if not answered(attempt):
            attempt.give_up()
        self._begin_again()

    @property
    def served_at_first(self):
        return self.tries[0].status == 200

    @property
    def served_at_first_read(self):
        """Whether the first try was served that was not closed unread."""
        read = [attempt for attempt in self.tries if not attempt.closed_unread]
        return bool(read) and read[0].status == 200

    @property
    def served(self):
        return any(attempt.status == 200 for attempt in self.tries)


class Scene:
    """A router with a narrow link among others, and callers that come to it at a rate."""

    def __init__(self, gateways=8, cut_off=0, prepaid=False):
        tokens = 10_000_000 if prepaid else None
        workspaces = tuple(
            Workspace(name=f"w{number}", keys=(f"key-{number}",), prepaid_tokens=tokens)
            for number in range(WORKSPACES)
        )
        fields = {"repeat": RetryPolicy.ONCE, "attempts": 1, "time_limit_s": 15.0}
        pools = (EndpointPool(name="pool"),)
        self.harness = _NarrowHarness(pools=pools, workspaces=workspaces, **fields)
        for _ in range(4):
            self.harness.endpoint(answer_and_close)
        self.harness.ready(gateways)
        self.harness.network.advance(1.5)
        self.rng = random.Random(7)
        self._machines = 0
        self._misses = 0
        self._ask_ready()
        if cut_off:
            Links(self.harness, "silent").cut(*range(cut_off))

    def _ask_ready(self):
        """Ask the router over its link whether it is ready, as a balancer does."""
        attempt = _Try(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
        factory = _TryFactory(attempt, lambda: None)
        self.next_machine().connectTCP(self.harness.machines[0].host, READY_PORT, factory)
        self.harness.network.clock.callLater(READY_INTERVAL_S, self._note_ready, attempt)

    def _note_ready(self, attempt):
        self._misses = 0 if attempt.status == 200 else self._misses + 1
        attempt.give_up()
        self._ask_ready()

    @property
    def busiest(self):
        """The router that gets new connections; another one while that is not ready."""
        return 0 if self._misses < READY_MISSES else self.choose_other()

    def choose_other(self):
        return self.rng.randrange(1, len(self.harness.machines))

    def next_machine(self):
        self._machines += 1
        return self.harness.network.machine(f"10.8.{self._machines // 250}.{self._machines % 250}")

    def begin_try(self, gateway, on_refused):
        """Send a request of some workspace to a router."""
        headers = (
            (b"Deadline-Ms", b"%d" % (1_000 * DEADLINE_S)),
            *self.harness.prompt(tokens=100, output=10),
        )
        key = b"key-%d" % self.rng.randrange(WORKSPACES)
        data = self.harness.request_bytes(method=b"POST", body=BODY, key=key, headers=headers)
        attempt = _Try(data)
        factory = _TryFactory(attempt, on_refused)
        host = self.harness.machines[gateway].host
        self.next_machine().connectTCP(host, CALLERS_PORT, factory)
        return attempt

    def send_patiently(self, count):
        """Send requests to the router with the narrow link whose callers wait."""
        tries = []
        for _ in range(count):
            tries.append(self.begin_try(0, lambda: None))
            self.harness.network.advance(0.25)
        return tries

    def send(self, rate_per_s, duration_s):
        """Let callers come at a rate; return them."""
        network = self.harness.network
        callers = []
        until_s = network.clock.seconds() + duration_s
        while network.clock.seconds() < until_s:
            callers.append(_ReturningCaller(self, network.clock.seconds()))
            network.advance(self.rng.uniform(0.5, 1.5) / rate_per_s)
        return callers

    def finish(self):
        self.harness.network.advance(2 * PATIENCE_S + 0.5)


def share(callers, of):
    return sum(of(caller) for caller in callers) / len(callers)


def play_burst(scene, factor):
    """Return the callers before a burst, in it, in it from the contact time on, and after it."""
    scene.send(USUAL * CARRIED_PER_S, CONTACT_S)
    before = scene.send(USUAL * CARRIED_PER_S, 3.0)
    burst = scene.send(factor * CARRIED_PER_S, BURST_S)
    scene.send(USUAL * CARRIED_PER_S, RECOVERY_S)
    after = scene.send(USUAL * CARRIED_PER_S, 3.0)
    scene.finish()
    late_s = burst[0].started_s + CONTACT_S
    late = [caller for caller in burst if caller.started_s >= late_s]
    return before, burst, late, after


@pytest.mark.parametrize("factor", FACTORS)
def test_callers_of_a_router_whose_link_is_full_are_served_as_before(factor):
    before, burst, late, after = play_burst(Scene(), factor)

    def served(callers):
        return share(callers, lambda caller: caller.served_at_first_read)

    assert served(late) >= MIN_SHARE_OF_BEFORE * served(before)
    assert served(after) >= MIN_SHARE_AFTERWARDS * served(before)
    assert share(burst, lambda caller: caller.served) >= MIN_SHARE_AFTERWARDS


@pytest.mark.parametrize("factor", FACTORS)
def test_router_without_links_whose_own_link_is_full_serves_callers_as_others_do(factor):
    before, burst, late, after = play_burst(Scene(cut_off=6), factor)

    def served(callers):
        return share(callers, lambda caller: caller.served_at_first)

    assert served(late) >= MIN_SHARE_OF_OTHERS
    assert served(after) >= MIN_SHARE_AFTERWARDS * served(before)
    assert share(burst, lambda caller: caller.served) >= MIN_SHARE_AFTERWARDS


@pytest.mark.parametrize("factor", FACTORS)
def test_what_callers_get_at_first_levels_off_when_a_link_is_full(factor):
    scene = Scene()
    burst = scene.send(factor * CARRIED_PER_S, BURST_S)
    scene.finish()
    served_per_s = sum(caller.served_at_first for caller in burst) / BURST_S
    assert served_per_s >= MIN_SHARE_OF_BEFORE * CARRIED_PER_S


class _StandingQueue:
    """Keeps packets waiting at a router's link for a constant time, which datagrams pass."""

    def __init__(self, harness, delay_s):
        harness.network.datagrams_wait = False
        self._clock = harness.network.clock
        self._link = harness.machines[0].down
        self._carry(delay_s)
        self._refill()

    def _carry(self, duration_s):
        self._link.carry(round(duration_s * LINK_MBIT_PER_S * 1e6 / 8), lambda: None)

    def _refill(self):
        self._carry(REFILLED_SHARE * REFILL_INTERVAL_S)
        self._clock.callLater(REFILL_INTERVAL_S, self._refill)


def play_delayed(scene):
    """Return the lines of a router at whose link packets wait, and tries that are patient."""
    scene.send(USUAL * CARRIED_PER_S, 2.0)
    _StandingQueue(scene.harness, LINK_DELAY_S)
    scene.send_patiently(4)
    scene.harness.logs[0].lines.clear()
    tries = scene.send_patiently(24)
    scene.harness.network.advance(DEADLINE_S)
    assert share(tries, lambda attempt: attempt.status == 200) >= MIN_SHARE_AFTERWARDS
    return scene.harness.logs[0], tries


def test_router_whose_link_is_delayed_keeps_its_links_to_endpoints():
    log, _ = play_delayed(Scene())
    assert not log.of("pool.links_lost")


def test_router_whose_link_is_delayed_does_not_take_holders_of_tokens_for_silent():
    log, tries = play_delayed(Scene(gateways=24, prepaid=True))
    borrowed = len(log.of("prepaid.borrowed"))
    relayed = [line for line in log.of("request.relayed") if line["cause"] == "link_busy"]
    assert borrowed + len(relayed) > len(tries) / 2
    assert not log.of("holder.silent")


def test_router_whose_link_is_delayed_has_peers_run_requests_whose_tokens_they_hold():
    scene = Scene(gateways=24, prepaid=True)
    log, _ = play_delayed(scene)
    assert {line["cause"] for line in log.of("request.relayed")} == {"link_busy"}
    served_for_peer = [
        line
        for other in scene.harness.logs[1:]
        for line in other.of("request.ended")
        if line["relayed_by"] and line["outcome"] == "served"
    ]
    assert served_for_peer


def test_router_whose_link_is_delayed_answers_soon_after_the_time_limit():
    scene = Scene()
    scene.send(USUAL * CARRIED_PER_S, 2.0)
    _StandingQueue(scene.harness, LINK_DELAY_S)
    scene.send_patiently(4)
    for endpoint in scene.harness.endpoints:
        endpoint.behave = never_answer
    network = scene.harness.network
    attempt = scene.begin_try(0, lambda: None)
    assert network.advance_until(lambda: attempt.transport is not None)
    network.advance(DEADLINE_S + HELD_ON_S)
    assert attempt.status in (503, 504)
