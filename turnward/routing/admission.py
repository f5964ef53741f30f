# SPDX-License-Identifier: BSD-3-Clause
"""Admission control: a bounded queue by priority class, with a minimum share per class."""

import math
from collections import deque
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from turnward.resources import PriorityClass

__all__ = [
    "ADMISSION_HEADROOM",
    "AdmissionQueue",
    "Overload",
    "Ticket",
    "admission_slots",
    "low_class_slots",
]


#: Requests that a router admits per slot of its share. Above 1, since demand is uneven
#: across routers and engines, which see all requests, queue better by priority.
ADMISSION_HEADROOM = 2.0


def admission_slots(pool_slots: float, routers: int) -> int:
    """Return the most requests that one router may have in flight to a pool.

    Examples
    --------
    >>> admission_slots(24, 3)
    16
    >>> admission_slots(0, 3)
    0
    """
    if pool_slots <= 0:
        return 0
    return max(1, math.ceil(pool_slots * ADMISSION_HEADROOM / max(1, routers)))


#: Share of a pool's slots that all classes below the most urgent may use together.
LOW_CLASS_SHARE = 0.8


def low_class_slots(pool_slots: float, routers: int) -> int:
    """Return the most requests below the top class that one router may have in flight.

    Examples
    --------
    >>> low_class_slots(24, 3)
    6
    """
    if pool_slots <= 0:
        return 0
    return max(1, int(pool_slots * LOW_CLASS_SHARE / max(1, routers)))


class Overload(msgspec.Struct, frozen=True):
    """The request was rejected because its expected wait is too long."""

    retry_after_s: float


class Ticket(msgspec.Struct, eq=False):
    """A request's place in the queue.

    Attributes
    ----------
    on_decision : callable
        Called once: with True when the request is admitted, or with False when it
        has waited too long.
    """

    priority_class: str
    enqueued_s: float
    on_decision: Callable[[bool], None]
    running: bool = False


class AdmissionQueue:
    """Decides which request is next admitted to a pool.

    Parameters
    ----------
    classes : dict
        Priority classes by name.
    """

    def __init__(self, classes: dict[str, PriorityClass]):
        self._classes = classes
        self._queues: dict[str, deque[Ticket]] = {}
        self._running: dict[str, int] = {}
        self._slots = 0
        self._low_slots = 0
        self._mean_service_s = 0.1

    @property
    def running_count(self) -> int:
        """Number of admitted requests that have not ended."""
        return sum(self._running.values())

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def set_classes(self, classes: dict[str, PriorityClass]) -> None:
        """Replace the priority classes."""
        self._classes = classes

    def set_slots(self, slots: int, low_slots: int | None = None) -> None:
        """Set how many requests this router may have in flight to the pool.

        ``low_slots`` limits all classes below the most urgent one together, so
        that slow requests rarely occupy every engine when an urgent one arrives.
        """
        self._slots = slots
        self._low_slots = slots if low_slots is None else low_slots

    def offer(
        self, priority_class: str, now_s: float, on_decision: Callable[[bool], None]
    ) -> Result[Ticket, Overload]:
        """Queue a request, or reject it immediately if it would wait too long."""
        class_config = self._classes[priority_class]
        queue = self._queues.setdefault(priority_class, deque())
        wait_s = self._expected_wait_s(class_config)
        if len(queue) >= class_config.queue_limit or wait_s > class_config.max_wait_s:
            return Error(Overload(max(1.0, wait_s)))
        ticket = Ticket(priority_class, now_s, on_decision)
        queue.append(ticket)
        self.dispatch(now_s)
        return Ok(ticket)

    def end(self, ticket: Ticket, service_s: float, now_s: float) -> None:
        """Record the end of an admitted request."""
        if ticket.running:
            ticket.running = False
            self._running[ticket.priority_class] -= 1
            self._mean_service_s += 0.1 * (service_s - self._mean_service_s)
        self.dispatch(now_s)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting request."""
        queue = self._queues.get(ticket.priority_class, deque())
        if ticket in queue:
            queue.remove(ticket)

    def dispatch(self, now_s: float) -> None:
        """Drop requests that have waited too long, and admit others to free slots."""
        self._expire_waiting(now_s)
        while self.running_count < self._slots:
            ticket = self._next_ticket()
            if ticket is None:
                return
            ticket.running = True
            running = self._running.get(ticket.priority_class, 0)
            self._running[ticket.priority_class] = running + 1
            ticket.on_decision(True)

    def _expire_waiting(self, now_s: float) -> None:
        for name, queue in self._queues.items():
            limit_s = self._classes[name].max_wait_s
            while queue and now_s - queue[0].enqueued_s > limit_s:
                queue.popleft().on_decision(False)

    def _next_ticket(self) -> Ticket | None:
        waiting = [
            name for name, queue in self._queues.items() if queue and self._has_slot_for(name)
        ]
        if not waiting:
            return None
        starved = [name for name in waiting if self._below_floor(name)]
        best = min(starved or waiting, key=lambda name: self._classes[name].rank)
        return self._queues[best].popleft()

    def _has_slot_for(self, name: str) -> bool:
        if self._is_urgent(name):
            return True
        running = sum(count for other, count in self._running.items() if not self._is_urgent(other))
        return running < self._low_slots

    def _is_urgent(self, name: str) -> bool:
        return self._classes[name].rank == min(
            class_config.rank for class_config in self._classes.values()
        )

    def _below_floor(self, name: str) -> bool:
        floor = self._classes[name].floor_share * self._slots
        return self._running.get(name, 0) < floor

    def _expected_wait_s(self, class_config: PriorityClass) -> float:
        if self.running_count < self._slots and self._has_slot_for(class_config.name):
            return 0.0
        ahead = sum(
            len(queue)
            for name, queue in self._queues.items()
            if self._classes[name].rank <= class_config.rank
        )
        return (ahead + 1) * self._mean_service_s / max(1, self._slots)
