# SPDX-License-Identifier: BSD-3-Clause
"""Simulation of routers and endpoints that send feedback, on the in-memory network."""

from collections import Counter

import msgspec

from turnward.gateway.tests.harness import DIALECT, Harness, answer_head, answered

__all__ = ["SimulatedEndpoint", "FeedbackSimulation", "max_in_window"]

#: Time after feedback within which requests already in flight may still arrive.
IN_FLIGHT_S = 0.5
RESPONSE_TIME_S = 0.05


class Send(msgspec.Struct, frozen=True):
    """A request that reached an endpoint, and the router process that sent it."""

    time_s: float
    router: str


class SimulatedEndpoint:
    """An endpoint whose responses carry feedback.

    Attributes
    ----------
    draining : bool
        Whether its responses say that it is draining.
    backoff_s : float
        Backoff in its rejections; 0: it accepts requests.
    rejects : bool
        Whether it rejects requests without asking for a backoff.
    limit_per_s : float or None
        Rate limit in its responses; None: they have none.
    sends : list of Send
        Requests that reached it.
    draining_sent_s, backoffs, limit_sent_s : dict
        By router process: when it first got a response that says draining; begin and end of
        each backoff requested of it; when it first got a response with a limit.
    """

    def __init__(self, simulation: "FeedbackSimulation", zone: str = "z"):
        self._simulation = simulation
        self.draining = False
        self.backoff_s = 0.0
        self.rejects = False
        self.limit_per_s: float | None = None
        self.sends: list[Send] = []
        self.draining_sent_s: dict[str, float] = {}
        self.backoffs: dict[str, list[tuple[float, float]]] = {}
        self.limit_sent_s: dict[str, float] = {}
        self.endpoint = simulation.harness.endpoint(self._receive, announce=False)
        simulation.harness.announce(self.endpoint, zone=zone)

    def _receive(self, endpoint, request) -> None:
        now_s = self._simulation.now_s
        router = self._simulation.process_at(request._connection.transport.getPeer().host)
        self.sends.append(Send(now_s, router))
        if self.backoff_s:
            self.backoffs.setdefault(router, []).append((now_s, now_s + self.backoff_s))
            response_headers = [
                (DIALECT.not_run, b"1"),
                (b"retry-after", b"%g" % self.backoff_s),
                *self._feedback_headers(),
            ]
            request.answer(503, response_headers)
            return
        if self.rejects:
            request.answer(503, [(DIALECT.not_run, b"1")])
            return
        endpoint.machine.callLater(RESPONSE_TIME_S, self._respond, request, router)

    def _respond(self, request, router: str) -> None:
        if request.gone:
            return
        if self.draining:
            self.draining_sent_s.setdefault(router, self._simulation.now_s)
        if self.limit_per_s is not None:
            self.limit_sent_s.setdefault(router, self._simulation.now_s)
        request.answer(200, [*answer_head(request), *self._feedback_headers()], b"fine")

    def _feedback_headers(self):
        headers = [(DIALECT.draining, b"1")] if self.draining else []
        if self.limit_per_s is not None:
            headers.append((DIALECT.rate_limit, b"%g" % self.limit_per_s))
        return headers

    def sends_after_draining(self) -> int:
        """Count requests of routers that had got a response that says draining."""
        return sum(
            send.time_s > self.draining_sent_s.get(send.router, 1e9) + IN_FLIGHT_S
            for send in self.sends
        )

    def max_sends_in_backoff(self) -> int:
        """Return the most requests of one router in one backoff, without those in flight."""
        return max(
            (
                sum(
                    send.router == router and began_s + IN_FLIGHT_S < send.time_s < until_s
                    for send in self.sends
                )
                for router, backoffs in self.backoffs.items()
                for began_s, until_s in backoffs
            ),
            default=0,
        )

    def max_sends_when_limited(self, span_s: float) -> int:
        """Return the most requests in a sliding window after the first response with a limit."""
        first_limited_s = min(self.limit_sent_s.values(), default=1e9)
        times = [send.time_s for send in self.sends if send.time_s > first_limited_s + IN_FLIGHT_S]
        return max_in_window(times, span_s)


def max_in_window(times: list[float], span_s: float) -> int:
    """Return the largest number of the sorted times in a sliding window."""
    largest = start = 0
    for end, time_s in enumerate(times):
        while time_s - times[start] >= span_s:
            start += 1
        largest = max(largest, end - start + 1)
    return largest


class FeedbackSimulation:
    """Routers in front of endpoints that send feedback.

    Parameters
    ----------
    gateways, endpoints : int
        Number of each.
    fields
        Fields of the route.
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
        """Time of the simulated network."""
        return self.harness.network.clock.seconds()

    def process_at(self, host: str) -> str:
        """Return the name of the router process that runs at an address now."""
        return f"{host}#{self._starts[host]}"

    def note_restart(self, host: str) -> None:
        """Record a restart: the new process has received no feedback."""
        self._starts[host] += 1

    def add_endpoint(self) -> SimulatedEndpoint:
        """Start another endpoint."""
        endpoint = SimulatedEndpoint(self)
        self.endpoints.append(endpoint)
        return endpoint

    def send_requests(self, duration_s: float, interval_s: float = 0.1) -> None:
        """Send a request at each interval, to the gateways in turn."""
        for number in range(round(duration_s / interval_s)):
            self.callers.append(self.harness.send(number % len(self.harness.gateways)))
            self.harness.network.advance(interval_s)

    def statuses(self) -> list[int]:
        """Wait for all responses and return their status codes."""
        self.harness.network.advance_until(
            lambda: all(answered(caller) for caller in self.callers), 10.0
        )
        return [caller.status for caller in self.callers]
