# SPDX-License-Identifier: BSD-3-Clause
"""The timeline: typed events of each process, merged into one ordered list."""

from collections import deque
from collections.abc import Iterable
from typing import Any

import msgspec

from turnward.events.clock import HybridClock, HybridTimestamp

__all__ = ["Event", "EventLog", "matches", "merge_events", "render_event"]


class Event(msgspec.Struct, frozen=True):
    """An event in one process.

    Attributes
    ----------
    stamp : HybridTimestamp
        When it happened.
    kind : str
        What happened, such as ``request.sent``.
    instance, zone, incarnation : str
        Where it happened.
    request_id, workspace, endpoint : str
        What it concerns; empty if not applicable.
    details : dict
        Further data.
    """

    stamp: HybridTimestamp
    kind: str
    instance: str
    zone: str
    incarnation: str
    request_id: str = ""
    workspace: str = ""
    endpoint: str = ""
    details: dict[str, Any] = msgspec.field(default_factory=dict)


class EventLog:
    """Keeps the latest events of this process and those not yet written to the object store.

    Parameters
    ----------
    clock : HybridClock
        Source of timestamps.
    instance, zone, incarnation : str
        Written into each event.
    limit : int
        Maximum number of events kept, of the latest and of the unshipped ones each.
    """

    def __init__(self, clock: HybridClock, instance: str, zone: str, incarnation="", limit=20_000):
        self.clock = clock
        self._instance = instance
        self._zone = zone
        self.incarnation = incarnation
        self._events: deque[Event] = deque(maxlen=limit)
        self._unshipped: deque[Event] = deque(maxlen=limit)

    def emit(self, kind, request_id="", workspace="", endpoint="", **details) -> Event:
        """Record an event at the current time and return it."""
        event = Event(
            self.clock.tick(),
            kind,
            self._instance,
            self._zone,
            self.incarnation,
            request_id,
            workspace,
            endpoint,
            details,
        )
        self._events.append(event)
        self._unshipped.append(event)
        return event

    def recent(self) -> list[Event]:
        """Return the latest events, oldest first."""
        return list(self._events)

    def take_unshipped(self) -> list[Event]:
        """Return the events that are not shipped yet and remove them from the queue."""
        events = list(self._unshipped)
        self._unshipped.clear()
        return events

    def put_back(self, events: list[Event]) -> None:
        """Queue events again whose shipping failed."""
        self._unshipped.extendleft(reversed(events))


def merge_events(streams: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes in order of time, without duplicates."""
    unique = {}
    for stream in streams:
        for event in stream:
            unique[(event.stamp, event.incarnation or event.instance, event.kind)] = event
    return sorted(unique.values(), key=lambda event: (event.stamp, event.instance))


def matches(event: Event, request_id="", workspace="", endpoint="", kind="") -> bool:
    """Return whether an event passes all filters; an empty filter passes any event."""
    return (
        (not request_id or event.request_id == request_id)
        and (not workspace or event.workspace == workspace)
        and (not endpoint or event.endpoint == endpoint)
        and event.kind.startswith(kind)
    )


def render_event(event: Event) -> str:
    """Return one line of text for an event."""
    parts = [
        f"{event.stamp.wall_ms / 1000:.3f}+{event.stamp.counter}",
        f"{event.instance}/{event.zone}",
        event.kind,
    ]
    fields = {
        "request": event.request_id,
        "workspace": event.workspace,
        "endpoint": event.endpoint,
        **event.details,
    }
    parts.extend(f"{name}={value}" for name, value in fields.items() if value != "")
    return " ".join(parts)
