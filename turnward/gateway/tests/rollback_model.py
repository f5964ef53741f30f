# SPDX-License-Identifier: BSD-3-Clause
"""Model of routers that follow zone orders and endpoints across several rollbacks of the store.

Routers consist of the real state and feeds; the store, the writers and the exchange among routers
are simulated. One order and one endpoint are followed: each is written, and ends after some of the
outages. Writers write again what the store has lost.
"""

import itertools
import random
from collections.abc import Iterator

import msgspec
from twisted.internet import task

from turnward.gateway.configuration import Configuration, EndpointEntry
from turnward.gateway.feeds import TableFeed
from turnward.gateway.removed_endpoints import REWRITE_PERIOD_S
from turnward.gateway.state import FleetState
from turnward.gateway.table_listeners import ConfigurationListener, EndpointsListener
from turnward.standins import MemoryRows, RowFaults, RowsClient

__all__ = ["Schedule", "find_violations", "schedules"]

STEP_S = 0.1
HOLD_S = 1.0
EXCHANGE_INTERVAL_S = 0.3
REWRITE_DELAY_S = 2.0
#: Time after an outage within which all routers have read the store or heard of it from a peer.
READ_S = 1.5
#: Time after the last change within which all routers know what holds.
SETTLED_S = 2 * REWRITE_PERIOD_S + 2 * HOLD_S
ZONE = "north"
ORDER = ("configuration", f"drained/{ZONE}")
ENDPOINT = ("endpoints", "e")
READY = EndpointEntry(endpoint_id="e", pool="p", address="10.0.0.1:80")
DRAINING = msgspec.structs.replace(READY, leaving=True)
ROUTERS = 3
OUTAGES = 3


class Schedule(msgspec.Struct, frozen=True):
    """Outages and rollbacks of the store, and when the order and the endpoint end.

    Attributes
    ----------
    drains : bool
        Whether the endpoint drains before it is removed.
    ends_after : int
        Number of outages after which the order is withdrawn and the endpoint ends.
    end_delay_s : float
        Time between the last of these outages and that.
    copies : tuple of str
        The copy that the store has after each outage: ``old`` from before both were written,
        ``previous`` from before the latest write of their writers, the ``latest``, or ``none`` if
        it is not rolled back.
    gaps_s, outages_s : tuple of float
        The time until each outage, and its duration.
    alone : str
        What one router is cut off from: ``""``, ``store``, or ``all`` during the outages.
    """

    drains: bool
    ends_after: int
    end_delay_s: float
    copies: tuple[str, ...]
    gaps_s: tuple[float, ...]
    outages_s: tuple[float, ...]
    alone: str


def schedules() -> Iterator[Schedule]:
    """Return all schedules of the model."""
    yield from itertools.starmap(
        Schedule,
        itertools.product(
            (False, True),
            range(OUTAGES + 1),
            (0.0, READ_S),
            itertools.product(("old", "previous", "latest", "none"), repeat=OUTAGES),
            itertools.product((0.4, 3.0, REWRITE_PERIOD_S + 0.3), repeat=OUTAGES),
            itertools.product((0.2, 4.0), repeat=OUTAGES),
            ("", "store", "all"),
        ),
    )


class _Router:
    """The state of a router and its feeds; records what it has believed."""

    def __init__(self, clock, rows: MemoryRows, number: int):
        self.faults = RowFaults()
        self.state = FleetState(clock.seconds)
        self.was_drained = False
        self.saw_ready = False
        self.saw_end = False
        store = RowsClient(rows, clock, self.faults)
        decode = msgspec.json.Decoder(Configuration).decode
        orders = ConfigurationListener(self.state, "all", "drained/", decode)
        endpoints = EndpointsListener(self.state, _decode_entry)
        for table, listener in (("configuration", orders), ("endpoints", endpoints)):
            rng = random.Random(number)
            TableFeed(clock, store, table, listener, HOLD_S, rng, lambda *_: None).start()

    @property
    def drained(self) -> bool:
        return ZONE in self.state.zone_orders.drained

    @property
    def endpoint_ready(self) -> bool:
        entry = self.state.endpoints.get(READY.endpoint_id)
        return entry is not None and not entry.leaving

    def hear(self, peer: "_Router") -> None:
        """Adopt what a peer knows better."""
        self.state.adopt_announced_zone_orders(peer.state.announced_zone_orders(), "peer")
        if peer.state.endpoints_version > self.state.endpoints_version:
            self.state.adopt_endpoints(peer.state.snapshot(), "peer")


class _Model:
    """Plays one schedule."""

    def __init__(self, schedule: Schedule):
        self._schedule = schedule
        self._clock = task.Clock()
        self._rows = MemoryRows(self._clock)
        self._rows.put("other", "row", b"")
        self._copies = {"old": self._rows.copy()}
        #: What the writers want the store to hold; None for nothing.
        self._wanted: dict[tuple[str, str], bytes | None] = {}
        self._ended = False
        self._routers = [_Router(self._clock, self._rows, number) for number in range(ROUTERS)]
        self._exchanges = True
        self.violations: list[str] = []

    def play(self) -> list[str]:
        """Return the violations, described."""
        schedule = self._schedule
        self._run(1.0)
        self._write(ORDER, b"{}")
        self._write(ENDPOINT, msgspec.json.encode(READY))
        self._run(2 * EXCHANGE_INTERVAL_S)
        self._cut_off(schedule.alone)
        for number in range(OUTAGES):
            self._end_if_due(number)
            self._run(schedule.gaps_s[number])
            self._outage(schedule.copies[number], schedule.outages_s[number])
        self._cut_off("store" if schedule.alone == "store" else "")
        self._end_if_due(OUTAGES)
        self._run(SETTLED_S)
        self._check_settled()
        return self.violations

    def _cut_off(self, alone: str) -> None:
        self._routers[-1].faults.unavailable = bool(alone)
        self._exchanges = alone != "all"

    def _end_if_due(self, outages: int) -> None:
        if outages != self._schedule.ends_after:
            return
        self._run(self._schedule.end_delay_s)
        self._ended = True
        self._write(ORDER, None)
        self._run(EXCHANGE_INTERVAL_S)
        self._write(ENDPOINT, msgspec.json.encode(DRAINING) if self._schedule.drains else None)
        if self._schedule.end_delay_s:
            self._run(READ_S)
            self._check_settled()

    def _write(self, name: tuple[str, str], value: bytes | None) -> None:
        self._copies["previous"] = self._rows.copy()
        self._wanted[name] = value
        if value is None:
            self._rows.remove(*name)
        else:
            self._rows.put(*name, value)

    def _outage(self, copy: str, outage_s: float) -> None:
        self._copies["latest"] = self._rows.copy()
        self._rows.faults.unavailable = True
        self._run(outage_s)
        if copy != "none":
            self._rows.roll_back(self._copies[copy])
            self._clock.callLater(REWRITE_DELAY_S, self._rewrite_lost)
        self._rows.faults.unavailable = False

    def _rewrite_lost(self) -> None:
        if self._rows.faults.unavailable:
            self._clock.callLater(REWRITE_DELAY_S, self._rewrite_lost)
            return
        stored = {(key.table, key.key): row.value for key, row in self._rows.copy().rows.items()}
        for name, value in self._wanted.items():
            if value is not None and stored.get(name) != value:
                self._rows.put(*name, value)
            elif value is None and stored.get(name):
                self._rows.remove(*name)

    def _run(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self._clock.advance(STEP_S)
            if not self._rows.faults.unavailable:
                self._rows.put("other", "row", b"")
            if self._clock.seconds() % EXCHANGE_INTERVAL_S < STEP_S:
                self._exchange()
            for router in self._routers:
                self._check(router)

    def _exchange(self) -> None:
        routers = self._routers if self._exchanges else self._routers[:-1]
        for router, peer in itertools.permutations(routers, 2):
            router.hear(peer)

    def _check(self, router: _Router) -> None:
        """Record where a router believes what it has known better."""
        router.was_drained |= router.drained
        if router.was_drained and not router.drained and not self._ended:
            self._report("a standing order is not in force")
        router.saw_ready |= router.endpoint_ready
        if self._schedule.alone == "all" and router is self._routers[-1]:
            # Cut off from all for long, it does not keep what the copy lacks.
            return
        if router.saw_ready and not router.endpoint_ready and not self._ended:
            self._report("a sound endpoint is not used")
        router.saw_end |= self._ended and router.saw_ready and not router.endpoint_ready
        if router.saw_end and router.endpoint_ready:
            self._report("an ended endpoint is used again")

    def _check_settled(self) -> None:
        for router in self._routers if self._exchanges else self._routers[:-1]:
            if router.drained:
                self._report("a withdrawn order is in force")
            if router.endpoint_ready:
                self._report("an ended endpoint is in use")

    def _report(self, violation: str) -> None:
        if violation not in self.violations:
            self.violations.append(violation)


def _decode_entry(row) -> EndpointEntry:
    return msgspec.json.decode(row.value, type=EndpointEntry)


def find_violations(schedule: Schedule) -> list[str]:
    """Return what routers believe against the rules in a schedule, described."""
    return _Model(schedule).play()
