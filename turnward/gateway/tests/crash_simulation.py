# SPDX-License-Identifier: BSD-3-Clause
"""Endpoints that end when they run certain requests, on the network in memory."""

import msgspec

from turnward.gateway.tests.harness import ENDPOINT_PORT, Harness, answer_head, encode_events

__all__ = ["CrashPlay", "FallingEndpoint"]

#: Seconds from when a request begins to run until the process ends.
FALL_S = 0.05
#: Seconds after which an endpoint that ended is back.
BACK_S = 3.2
#: Seconds between two events of a stream, and how many there are.
EVENT_S = 0.1
EVENT_COUNT = 8


class Crash(msgspec.Struct, frozen=True):
    """An endpoint's process that ended, and the request under which it did."""

    time_s: float
    endpoint_id: str
    body: bytes


class FallingEndpoint:
    """An endpoint that streams answers, and ends when it runs a body that it can't bear.

    Parameters
    ----------
    play : CrashPlay
        Counts what arrives and what ends.
    number : int
        Which one.
    """

    def __init__(self, play: "CrashPlay", number: int):
        self._play = play
        self._starts = 0
        self._name = f"engine-{number}"
        self.endpoint = play.harness.endpoint(self._run, announce=False)
        self._announce()

    def _announce(self) -> None:
        self._starts += 1
        harness = self._play.harness
        self.endpoint.endpoint_id = f"{self._name}-{self._starts}"
        harness.announce(self.endpoint, zone=self._play.zone_of(self))

    def _run(self, endpoint, request) -> None:
        body = endpoint.bodies[-1]
        self._play.note_send(body)
        if body in self._play.crashing:
            endpoint.machine.callLater(FALL_S, self.end, body)
            return
        endpoint.machine.callLater(EVENT_S, self._begin, request)

    def _begin(self, request) -> None:
        head = [*answer_head(request), (b"content-type", b"text/event-stream")]
        request.start(200, head, None)
        self._go_on(request, 1)

    def _go_on(self, request, number: int) -> None:
        request.write(encode_events(number, number))
        if number == EVENT_COUNT:
            request.finish()
            return
        self.endpoint.machine.callLater(EVENT_S, self._go_on, request, number + 1)

    def end(self, body: bytes = b"") -> None:
        """End the process; another one starts at the address after a while."""
        play = self._play
        play.crashes.append(Crash(play.now_s, self.endpoint.endpoint_id, body))
        self.endpoint.machine.kill()
        play.harness.network.clock.callLater(BACK_S, self._start_again)

    def _start_again(self) -> None:
        machine = self.endpoint.machine
        machine.restart()
        machine.listenTCP(ENDPOINT_PORT, self.endpoint.factory)
        self._play.harness.rows.remove("endpoints", self.endpoint.endpoint_id)
        self._announce()


class CrashPlay:
    """A fleet before endpoints that fall, and what their side saw.

    Parameters
    ----------
    gateways, endpoints : int
        How many.
    crashing : tuple of bytes
        Bodies that end each process that runs them.
    repeat : str, optional
        Whether requests may run again; answers are streams unless they may not.
    fields
        Of the configuration, as ``Rig`` takes them.

    Attributes
    ----------
    crashes : list of Crash
        In the order in which processes ended.
    sends : list of tuple of float and bytes
        When which body reached an endpoint.
    """

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
        self.endpoints = [FallingEndpoint(self, number) for number in range(endpoints)]
        self.harness.ready(gateways)
        self.harness.network.advance(1.0)

    @property
    def now_s(self) -> float:
        """The network's time."""
        return self.harness.network.clock.seconds()

    def zone_of(self, _: FallingEndpoint) -> str:
        """Return the zone in which an endpoint announces itself."""
        return "z"

    def note_send(self, body: bytes) -> None:
        """Count a request that has reached an endpoint."""
        self.sends.append((self.now_s, body))

    def send(self, body: bytes, gateway: int = 0):
        """Send a request as another caller's connection; return the connection."""
        return self.harness.send(gateway % len(self.harness.gateways), method=b"POST", body=body)

    def ask(self, body: bytes, gateway: int = 0):
        """Send a request and wait for its answer."""
        number = gateway % len(self.harness.gateways)
        return self.harness.ask(number, method=b"POST", body=body)

    def sends_after(self, body: bytes, since_s: float) -> int:
        """Return how often a body reached endpoints after a moment."""
        return sum(1 for time_s, sent in self.sends if sent == body and time_s > since_s)

    def crash_count(self, body: bytes) -> int:
        """Return how many processes have ended under a body."""
        return sum(1 for crash in self.crashes if crash.body == body)

    def third_crash_s(self, body: bytes) -> float:
        """Return when the third process ended under a body."""
        return [crash.time_s for crash in self.crashes if crash.body == body][2]
