# SPDX-License-Identifier: BSD-3-Clause
"""What the parts of one router process share."""

from turnward.endpoints import EngineClientBase, ServiceClientBase
from turnward.events import ClockBase, EventLog, Metrics
from turnward.fleet import RouterRegistry, RouterRow
from turnward.lifecycle import StateMachine
from turnward.peers.book import RecordBook
from turnward.peers.link import PeersBase
from turnward.platform import InstanceListBase, ObjectStoreBase, TableBase
from turnward.resources import ConfigState
from turnward.routing import AdmissionQueue, EndpointViews, PolicyBase, RetryBudget, ScorePolicy
from turnward.settings import RouterSettings

__all__ = ["RouterContext"]


class RouterContext:
    """One router's settings, clients and views.

    Attributes
    ----------
    registry : RouterRegistry
        The router rows; one view for the process.
    config : ConfigState
        The configuration in force.
    rows : dict of str to RouterRow
        Router rows as last read, by incarnation.
    listed : set of str or None
        Instances on the platform's list as last read; None when it can't be read.
    heard_s : dict of str to float
        When a heartbeat of an incarnation last came, in monotonic seconds.
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
        self.registry = RouterRegistry(table)
        self.instance_list = instance_list
        self.engines = engines
        self.services = services
        self.events = events
        self.metrics = metrics
        self.peers: PeersBase | None = None
        self.machine = StateMachine("router")
        self.config = ConfigState()
        self.views = EndpointViews()
        self.policy: PolicyBase = ScorePolicy()
        self.book = RecordBook()
        self.rows: dict[str, RouterRow] = {}
        self.heard_s: dict[str, float] = {}
        self.listed: set[str] | None = None
        self._queues: dict[str, AdmissionQueue] = {}
        self._retries: dict[str, RetryBudget] = {}

    def now_s(self) -> float:
        """Return monotonic time in seconds."""
        return self.clock.now_s()

    def live_rows(self) -> list[RouterRow]:
        """Return the rows of routers that may write."""
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
        """Set a queue's classes and slots from the configuration and the fleet."""
        queue = self._queues.get(pool)
        if queue is None:
            return
        queue.set_classes(self.config.resources.by_kind["priority_classes"])
        slots = sum(view.endpoint.slots for view in self.views.candidates(pool))
        routers = max(1, len(self.live_rows()))
        queue.set_slots(max(1, -(-slots // routers)) if slots else 0)
        queue.pump(self.now_s())

    def refresh_queues(self) -> None:
        """Refresh every pool's queue."""
        for pool in list(self._queues):
            self.refresh_queue(pool)

    def retries(self, workspace: str, share: float) -> RetryBudget:
        """Return the retry budget of a workspace."""
        if workspace not in self._retries:
            self._retries[workspace] = RetryBudget(share)
        return self._retries[workspace]

    def apply_config(self) -> None:
        """Bring the views in line with the configuration in force."""
        endpoints = list(self.config.resources.by_kind["endpoints"].values())
        self.views.set_endpoints(endpoints, self.now_s())
        self.refresh_queues()
