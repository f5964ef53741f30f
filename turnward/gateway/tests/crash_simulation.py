# SPDX-License-Identifier: BSD-3-Clause
"""Simulates endpoints that crash when they run certain requests, on the in-memory network."""

import msgspec

from turnward.gateway.tests.harness import ENDPOINT_PORT, Harness, answer_head, encode_events

__all__ = ["CrashSimulation", "CrashingEndpoint"]

#: Delay between the start of a run and the crash.
CRASH_DELAY_S = 0.05
#: Time until a crashed endpoint has restarted.
RESTART_S = 3.2
#: Interval and number of the events of a stream.
EVENT_INTERVAL_S = 0.1
EVENT_COUNT = 8


class Crash(msgspec.Struct, frozen=True):
    """A crash of an endpoint, and the body of the request that caused it."""

    time_s: float
    endpoint_id: str
    body: bytes


class CrashingEndpoint:
    """An endpoint that streams responses, and crashes when it runs one of certain bodies.

    Parameters
    ----------
    simulation : CrashSimulation
        Records requests and crashes.
    number : int
        Number of the endpoint, for its identifier.
    """

    def __init__(self, simulation: "CrashSimulation", number: int):
        self._simulation = simulation
        self._start_count = 0
        self._name = f"engine-{number}"
        self.endpoint = simulation.harness.endpoint(self._run, announce=False)
        self._announce()

    def _announce(self) -> None:
        self._start_count += 1
        harness = self._simulation.harness
        self.endpoint.endpoint_id = f"{self._name}-{self._start_count}"
        harness.announce(self.endpoint, zone=self._simulation.zone_of(self))

    def _run(self, endpoint, request) -> None:
        body = endpoint.bodies[-1]
        self._simulation.record_send(body)
        if self._simulation.is_fatal(request, body):
            self._simulation.begin_crash(self, request, body)
            return
        endpoint.machine.callLater(EVENT_INTERVAL_S, self._start_response, request)

    def _start_response(self, request) -> None:
        head = [*answer_head(request), (b"content-type", b"text/event-stream")]
        request.start(200, head, None)
        self._write_event(request, 1)

    def _write_event(self, request, number: int) -> None:
        request.write(encode_events(number, number))
        if number == EVENT_COUNT:
            request.finish()
            return
        self.endpoint.machine.callLater(EVENT_INTERVAL_S, self._write_event, request, number + 1)

    def crash(self, body: bytes = b"") -> None:
        """Crash the process; another one starts at the same address after ``RESTART_S``."""
        simulation = self._simulation
        simulation.crashes.append(Crash(simulation.now_s, self.endpoint.endpoint_id, body))
        self.endpoint.machine.kill()
        simulation.harness.network.clock.callLater(RESTART_S, self._restart)

    def _restart(self) -> None:
        machine = self.endpoint.machine
        machine.restart()
        machine.listenTCP(ENDPOINT_PORT, self.endpoint.factory)
        self._simulation.harness.rows.remove("endpoints", self.endpoint.endpoint_id)
        self._announce()


class CrashSimulation:
    """A fleet with endpoints that crash, and a record of the requests that reached them.

    Parameters
    ----------
    gateways, endpoints : int
        Number of each.
    crashing : tuple of bytes
        Bodies that crash each endpoint that runs them.
    repeat : str, optional
        Retry setting of the route; responses are always streams.
    fields
        Fields of the configuration, passed to ``Harness``.

    Attributes
    ----------
    crashes : list of Crash
        Crashes in order of time.
    sends : list of tuple of float and bytes
        Time and body of each request that reached an endpoint.
    crash_delay_s : float
        Delay between the start of a run and the crash.
    """

    crash_delay_s = CRASH_DELAY_S

    def __init__(
        self,
        gateways: int,
        endpoints: int,
        crashing: tuple[bytes, ...],
        repeat: str = "stream",
        **fields,
    ):
        self.harness = Harness(routes=(Harness.route(repeat=repeat),), **fields)
        self.crashing = crashing
        self.crashes: list[Crash] = []
        self.sends: list[tuple[float, bytes]] = []
        self.endpoints = [CrashingEndpoint(self, number) for number in range(endpoints)]
        self.harness.ready(gateways)
        self.harness.network.advance(1.0)

    @property
    def now_s(self) -> float:
        """Current time of the simulated network."""
        return self.harness.network.clock.seconds()

    def zone_of(self, _: CrashingEndpoint) -> str:
        """Return the zone in which an endpoint announces itself."""
        return "z"

    def is_fatal(self, request, body: bytes) -> bool:
        """Return whether a request crashes the endpoint that runs it."""
        return body in self.crashing

    def begin_crash(self, endpoint: CrashingEndpoint, request, body: bytes) -> None:
        """Let an endpoint crash on a request."""
        endpoint.endpoint.machine.callLater(self.crash_delay_s, endpoint.crash, body)

    def record_send(self, body: bytes) -> None:
        """Record a request that has reached an endpoint."""
        self.sends.append((self.now_s, body))

    def send(self, body: bytes, gateway: int = 0):
        """Send a request over a new connection, and return the connection."""
        return self.harness.send(gateway % len(self.harness.gateways), method=b"POST", body=body)

    def ask(self, body: bytes, gateway: int = 0):
        """Send a request and wait for its response."""
        number = gateway % len(self.harness.gateways)
        return self.harness.ask(number, method=b"POST", body=body)

    def sends_after(self, body: bytes, after_s: float) -> int:
        """Return how often a body reached endpoints after a given time."""
        return sum(1 for time_s, sent in self.sends if sent == body and time_s > after_s)

    def crash_count(self, body: bytes) -> int:
        """Return how many crashes a body has caused."""
        return sum(1 for crash in self.crashes if crash.body == body)

    def third_crash_s(self, body: bytes) -> float:
        """Return the time of the third crash that a body caused."""
        return [crash.time_s for crash in self.crashes if crash.body == body][2]
