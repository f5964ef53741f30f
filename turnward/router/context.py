# SPDX-License-Identifier: BSD-3-Clause
"""Settings, clients and state that the tasks of a router process share."""

from collections import Counter

from twisted.internet import defer, task

from turnward.endpoints import EngineClientBase, ServiceClientBase
from turnward.events import ClockBase, EventLog, Metrics
from turnward.fleet import RouterRegistry, RouterRow, rendezvous_weight
from turnward.lifecycle import StateMachine
from turnward.peers.book import RecordBook
from turnward.peers.link import PeersBase
from turnward.resources import ConfigState, Endpoint
from turnward.routing import (
    AdmissionQueue,
    EndpointViews,
    PolicyBase,
    RetryBudget,
    ScorePolicy,
    admission_slots,
)
from turnward.settings import RouterSettings
from turnward.store import InstanceListBase, ObjectStoreBase, TableBase

__all__ = ["SUBSET_SIZE", "RouterContext", "choose_subset"]


#: Most endpoints of a pool that one router uses.
SUBSET_SIZE = 32


def choose_subset(instance: str, zone: str, endpoints: list[Endpoint]) -> list[Endpoint]:
    """Return the endpoints that a router uses, at most ``SUBSET_SIZE`` per pool.

    Endpoints in the router's zone come first. Within a zone, rendezvous hashing spreads
    load evenly over routers and limits the changes when an endpoint is added.
    """
    pools: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        pools.setdefault(endpoint.pool, []).append(endpoint)

    def preference(endpoint: Endpoint):
        return (endpoint.zone != zone, -rendezvous_weight(instance, endpoint.name))

    return [
        endpoint
        for pool in pools.values()
        for endpoint in sorted(pool, key=preference)[:SUBSET_SIZE]
    ]


class RouterContext:
    """Settings, clients and state of one router.

    Attributes
    ----------
    registry : RouterRegistry
        Reads and writes router rows; shared by the whole process.
    pairs : PairTask or None
        Takes claims at their holders; set by the router process.
    config : ConfigState
        The current configuration.
    rows : dict of str to RouterRow
        Router rows as last read, by incarnation.
    listed_instances : set of str or None
        Instances on the platform's list as last read; None when it was unreadable.
    last_heartbeat_s : dict of str to float
        Monotonic time in seconds of the last heartbeat of each incarnation.
    """

    def __init__(
        self,
        settings: RouterSettings,
        reactor,
        clock: ClockBase,
        table: TableBase,
        objects: ObjectStoreBase,
        instance_list: InstanceListBase,
        engines: EngineClientBase,
        services: ServiceClientBase,
        events: EventLog,
        metrics: Metrics,
    ):
        self.settings = settings
        self.reactor = reactor
        self.clock = clock
        self.table = table
        self.objects = objects
        self.registry = RouterRegistry(table, self.pause)
        self.instance_list = instance_list
        self.engines = engines
        self.services = services
        self.events = events
        self.metrics = metrics
        self.peers: PeersBase | None = None
        self.pairs = None
        self.machine = StateMachine("router")
        self.config = ConfigState()
        self.views = EndpointViews()
        self.policy: PolicyBase = ScorePolicy()
        self.book = RecordBook()
        self.rows: dict[str, RouterRow] = {}
        self.last_heartbeat_s: dict[str, float] = {}
        self.listed_instances: set[str] | None = None
        self._pool_sizes: Counter[str] = Counter()
        self._queues: dict[str, AdmissionQueue] = {}
        self._retry_budgets: dict[str, RetryBudget] = {}

    def pause(self, seconds: float) -> defer.Deferred:
        """Return a deferred that fires after the given delay."""
        return task.deferLater(self.reactor, seconds)

    def now_s(self) -> float:
        """Return monotonic time in seconds."""
        return self.clock.now_s()

    def live_rows(self) -> list[RouterRow]:
        """Return the rows of routers that are allowed to write."""
        return [row for row in self.rows.values() if row.writable]

    def queue(self, pool: str) -> AdmissionQueue:
        """Return the admission queue of a pool."""
        queue = self._queues.get(pool)
        if queue is None:
            queue = AdmissionQueue(self.config.resources.by_kind["priority_classes"])
            self._queues[pool] = queue
            self.refresh_queue(pool)
        return queue

    def refresh_queue(self, pool: str) -> None:
        """Update a queue's classes and slots from the configuration and the fleet's size."""
        queue = self._queues.get(pool)
        if queue is None:
            return
        queue.set_classes(self.config.resources.by_kind["priority_classes"])
        slots = sum(view.endpoint.slots for view in self.views.candidates(pool))
        subset_size = max(1, len(self.views.pool(pool)))
        pool_slots = slots * max(subset_size, self._pool_sizes[pool]) / subset_size
        routers = max(1, len(self.live_rows()))
        self.policy.fleet_size = routers
        queue.set_slots(admission_slots(pool_slots, routers))
        queue.dispatch(self.now_s())

    def refresh_queues(self) -> None:
        """Refresh every pool's queue."""
        for pool in list(self._queues):
            self.refresh_queue(pool)

    def retry_budget(self, workspace: str, share: float) -> RetryBudget:
        """Return the retry budget of a workspace."""
        if workspace not in self._retry_budgets:
            self._retry_budgets[workspace] = RetryBudget(share)
        return self._retry_budgets[workspace]

    def apply_config(self) -> None:
        """Update endpoint views and admission queues from the current configuration."""
        endpoints = self.config.resources.by_kind["endpoints"].values()
        subset = choose_subset(self.settings.instance, self.settings.zone, list(endpoints))
        self.views.set_endpoints(subset, self.now_s())
        self._pool_sizes = Counter(endpoint.pool for endpoint in endpoints)
        self.refresh_queues()
