# SPDX-License-Identifier: BSD-3-Clause
"""Endpoints that say in their answers that they leave or want rest, on the network in memory."""

from collections import Counter

import msgspec

from turnward.gateway.tests.harness import DIALECT, Harness, answer_head, answered

__all__ = ["SimulatedEndpoint", "WordPlay", "max_in_window"]

#: Seconds after a word within which sends may still arrive that were on their way.
ON_ITS_WAY_S = 0.5
#: Seconds for which a request runs.
RUN_S = 0.05


class Send(msgspec.Struct, frozen=True):
    """A request that reached an endpoint, and from which process of a router."""

    time_s: float
    router: str


class SimulatedEndpoint:
    """An endpoint whose answers tell what it wants.

    Attributes
    ----------
    leaves : bool
        Whether its answers say that it leaves.
    rest_s : float
        What it asks for as it turns requests away; 0: it runs them.
    sheds : bool
        Whether it turns requests away without asking for rest.
    limit_per_s : float or None
        The rate that its answers name; None: they name none.
    sends : list of Send
        What reached it.
    left_s, rests, limited_s : dict
        By process of a router: when it was first told that the endpoint leaves; from when until
        when it was asked for rest; when it was first told of a limit.
    """

    def __init__(self, play: "WordPlay", zone: str = "z"):
        self._play = play
        self.draining = False
        self.rest_s = 0.0
        self.sheds = False
        self.limit_per_s: float | None = None
        self.sends: list[Send] = []
        self.left_s: dict[str, float] = {}
        self.rests: dict[str, list[tuple[float, float]]] = {}
        self.limited_s: dict[str, float] = {}
        self.endpoint = play.harness.endpoint(self._take, announce=False)
        play.harness.announce(self.endpoint, zone=zone)

    def _take(self, endpoint, request) -> None:
        now_s = self._play.now_s
        router = self._play.process_at(request._connection.transport.getPeer().host)
        self.sends.append(Send(now_s, router))
        if self.rest_s:
            self.rests.setdefault(router, []).append((now_s, now_s + self.rest_s))
            head = [(DIALECT.not_run, b"1"), (b"retry-after", b"%g" % self.rest_s), *self._word()]
            request.answer(503, head)
            return
        if self.sheds:
            request.answer(503, [(DIALECT.not_run, b"1")])
            return
        endpoint.machine.callLater(RUN_S, self._answer, request, router)

    def _answer(self, request, router: str) -> None:
        if request.gone:
            return
        if self.draining:
            self.left_s.setdefault(router, self._play.now_s)
        if self.limit_per_s is not None:
            self.limited_s.setdefault(router, self._play.now_s)
        request.answer(200, [*answer_head(request), *self._word()], b"fine")

    def _word(self):
        word = [(DIALECT.draining, b"1")] if self.draining else []
        if self.limit_per_s is not None:
            word.append((DIALECT.rate_limit, b"%g" % self.limit_per_s))
        return word

    def late_sends(self) -> int:
        """Count sends of routers that had been told a while before that it leaves."""
        return sum(
            send.time_s > self.left_s.get(send.router, 1e9) + ON_ITS_WAY_S for send in self.sends
        )

    def most_in_a_rest(self) -> int:
        """Return the most sends of one router in one rest, those on their way left out."""
        return max(
            (
                sum(
                    send.router == router and since_s + ON_ITS_WAY_S < send.time_s < until_s
                    for send in self.sends
                )
                for router, rests in self.rests.items()
                for since_s, until_s in rests
            ),
            default=0,
        )

    def most_when_limited(self, span_s: float) -> int:
        """Return the most sends in a sliding span, from a while after a router was first told."""
        told_s = min(self.limited_s.values(), default=1e9)
        times = [send.time_s for send in self.sends if send.time_s > told_s + ON_ITS_WAY_S]
        return max_in_window(times, span_s)


def max_in_window(times: list[float], span_s: float) -> int:
    """Return the most of sorted times that lie in a sliding span."""
    most = first = 0
    for last, time_s in enumerate(times):
        while time_s - times[first] >= span_s:
            first += 1
        most = max(most, last - first + 1)
    return most


class WordPlay:
    """A fleet before endpoints that speak.

    Parameters
    ----------
    gateways, endpoints : int
        How many.
    fields
        Of the route.
    """

    def __init__(self, gateways: int, endpoints: int, **fields):
        self.harness = Harness(**fields)
        self.endpoints = [SimulatedEndpoint(self) for _ in range(endpoints)]
        self.callers: list = []
        self._starts: Counter[str] = Counter()
        self.harness.ready(gateways)
        self.harness.network.advance(0.3)

    @property
    def now_s(self) -> float:
        """The network's time."""
        return self.harness.network.clock.seconds()

    def process_at(self, host: str) -> str:
        """Return the name of the process that runs at a router's address now."""
        return f"{host}#{self._starts[host]}"

    def note_restart(self, host: str) -> None:
        """Note that another process runs there from now on, which has been told nothing."""
        self._starts[host] += 1

    def add_endpoint(self) -> SimulatedEndpoint:
        """Start another endpoint."""
        endpoint = SimulatedEndpoint(self)
        self.endpoints.append(endpoint)
        return endpoint

    def ask_for(self, seconds: float, pause_s: float = 0.1) -> None:
        """Send a request after each pause, to one gateway after the other."""
        for number in range(round(seconds / pause_s)):
            self.callers.append(self.harness.send(number % len(self.harness.gateways)))
            self.harness.network.advance(pause_s)

    def statuses(self) -> list[int]:
        """Wait for all answers and return their statuses."""
        self.harness.network.advance_until(lambda: all(answered(one) for one in self.callers), 10.0)
        return [caller.status for caller in self.callers]
