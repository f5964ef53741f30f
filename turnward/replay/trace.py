# SPDX-License-Identifier: BSD-3-Clause
"""Recorded traces: JSON lines, a head and then one request a line; and their generator."""

import random
from collections.abc import Callable
from pathlib import Path

import msgspec

from turnward.errors import TurnwardError
from turnward.resources import PriorityClass
from turnward.standins import BatchSettings

__all__ = ["GENERATORS", "Trace", "TraceEngine", "TraceError", "TraceHeader", "TraceRequest"]


class TraceError(TurnwardError):
    """A trace file is damaged."""


class TraceEngine(msgspec.Struct, frozen=True, kw_only=True):
    """One model engine of a trace."""

    name: str
    zone: str
    batch: BatchSettings = BatchSettings()


class TraceHeader(msgspec.Struct, frozen=True, kw_only=True):
    """First line of a trace.

    Attributes
    ----------
    routers : list of str
        Zone of each router.
    report_lag_s : float
        Age of the load that engines report.
    """

    name: str
    seed: int
    routers: list[str]
    engines: list[TraceEngine]
    classes: list[PriorityClass]
    report_lag_s: float = 0.0


class TraceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request: when it comes, where, and how large it is."""

    at_s: float
    request_id: str
    workspace: str
    priority_class: str
    router: int
    prefix: str
    prompt_tokens: int
    output_tokens: int


class Trace(msgspec.Struct, frozen=True):
    """A head and its requests in order of time."""

    header: TraceHeader
    requests: list[TraceRequest]

    @classmethod
    def read(cls, path: str) -> "Trace":
        """Read a trace file.

        Raises
        ------
        TraceError
            Names the file and the line.
        """
        lines = Path(path).read_bytes().splitlines()
        if not lines:
            raise TraceError(f"{path}: expected a head line, found nothing")
        types = [TraceHeader] + [TraceRequest] * (len(lines) - 1)
        parts = []
        for line, part_type in zip(lines, types, strict=True):
            try:
                parts.append(msgspec.json.decode(line, type=part_type))
            except (msgspec.DecodeError, msgspec.ValidationError) as failure:
                raise TraceError(f"{path}:{len(parts) + 1}: {failure}") from failure
        return cls(parts[0], parts[1:])

    def write(self, path: str) -> None:
        """Write a trace file."""
        parts = [self.header, *self.requests]
        Path(path).write_bytes(b"".join(msgspec.json.encode(part) + b"\n" for part in parts))


def _arrivals(rng: random.Random, rate_s: Callable[[float], float], peak_s: float, end_s: float):
    """Yield Poisson arrival times under a rate that changes (thinning)."""
    at_s = 0.0
    while True:
        at_s += rng.expovariate(peak_s)
        if at_s >= end_s:
            return
        if rng.random() < rate_s(at_s) / peak_s:
            yield at_s


def till_rush(seed: int = 1, load: float = 0.8, duration_s: float = 40.0) -> Trace:
    """Treuepunkt: a rush of short till queries in front of long partner statements."""
    rng = random.Random(seed)
    engines = [
        TraceEngine(name=f"draft-{number}", zone=f"ost-{'abc'[number % 3]}") for number in range(3)
    ]
    classes = [
        PriorityClass(name="till", rank=0, max_wait_s=1.5, queue_limit=500),
        PriorityClass(name="statement", rank=5, max_wait_s=15.0, floor_share=0.1),
    ]
    header = TraceHeader(
        name="till-rush",
        seed=seed,
        routers=["ost-a", "ost-b", "ost-c"],
        engines=engines,
        classes=classes,
    )
    # One engine makes about 8 tokens in 17 ms; a request takes about 42 tokens on average.
    peak_s = load * len(engines) * 8 / 0.017 / 42 * 1.25

    def rate_s(at_s: float) -> float:
        return peak_s if duration_s * 0.3 < at_s < duration_s * 0.7 else peak_s * 0.7

    requests = []
    for at_s in _arrivals(rng, rate_s, peak_s, duration_s):
        till = rng.random() < 0.6
        workspace = f"partner-{min(9, int(rng.paretovariate(1.2)) - 1)}"
        output_tokens = rng.randint(8, 20) if till else rng.randint(50, 130)
        requests.append(
            _request(rng, header, at_s, len(requests), workspace,
                     "till" if till else "statement", workspace, output_tokens)
        )  # fmt: skip
    return Trace(header, requests)


def saturday_burst(seed: int = 2, load: float = 0.8, duration_s: float = 40.0) -> Trace:
    """Fellesstilling: goals bring bursts of questions that share long match prefixes."""
    rng = random.Random(seed)
    batch = BatchSettings(cache_prefixes=6, prefill_s_per_token=0.0004)
    engines = [
        TraceEngine(name=f"summary-{number}", zone=f"hall-{number % 4 + 1}", batch=batch)
        for number in range(6)
    ]
    classes = [
        PriorityClass(name="newsroom", rank=1, max_wait_s=3.0, queue_limit=500),
        PriorityClass(name="fan", rank=5, max_wait_s=12.0, floor_share=0.1),
    ]
    header = TraceHeader(
        name="saturday-burst",
        seed=seed,
        routers=["hall-1", "hall-2", "hall-3", "hall-4"],
        engines=engines,
        classes=classes,
    )
    peak_s = load * len(engines) * 8 / 0.017 / 48 * 1.2

    def rate_s(at_s: float) -> float:
        return peak_s if at_s % 10.0 < 4.0 else peak_s * 0.6

    requests = []
    for at_s in _arrivals(rng, rate_s, peak_s, duration_s):
        match = min(23, int(rng.paretovariate(0.9)) - 1)
        urgent = rng.random() < 0.25
        workspace = f"sport-{rng.randint(1, 4)}"
        requests.append(
            _request(rng, header, at_s, len(requests), workspace,
                     "newsroom" if urgent else "fan", f"match-{match}", rng.randint(16, 64))
        )  # fmt: skip
    return Trace(header, requests)


def _request(rng, header, at_s, number, workspace, priority_class, prefix, output_tokens):
    return TraceRequest(
        at_s=round(at_s, 6),
        request_id=f"{header.name}-{number}",
        workspace=workspace,
        priority_class=priority_class,
        router=rng.randrange(len(header.routers)),
        prefix=prefix,
        prompt_tokens=rng.randint(150, 600),
        output_tokens=output_tokens,
    )


#: Generators of the traces in the repository, by name.
GENERATORS: dict[str, Callable[..., Trace]] = {
    "till-rush": till_rush,
    "saturday-burst": saturday_burst,
}
