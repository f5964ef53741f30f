# SPDX-License-Identifier: BSD-3-Clause
"""What operators configure for the gateway, and the endpoints that stand behind it."""

import random

import msgspec

from turnward.gateway.zone_orders import ZoneOrder
from turnward.http1 import InboundLimits
from turnward.rows import RowVersion

__all__ = [
    "Configuration",
    "ConfigurationCopy",
    "EndpointEntry",
    "EngineTraits",
    "EndpointPool",
    "RetryPolicy",
    "Route",
    "RouteTable",
    "WarmUpTraits",
    "WeightedPool",
    "Workspace",
]


class RetryPolicy:
    """How often a request of a route may run; values of ``Route.repeat``."""

    ANY = "any"
    ONCE = "once"
    STREAM = "stream"


class WeightedPool(msgspec.Struct, frozen=True):
    """A pool that takes a share of a route's requests."""

    pool: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Which requests go to which pools, and under what rules.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash; the longest that fits a path wins.
    repeat : str
        ``any``: a request may run more than once. ``once``: at most once.
        ``stream``: an event stream, at most once unless ``resumable``.
    time_limit_s : float
        Longest that a request is held.
    target_s : float
        Time within which an answer, or its first event, has its full worth.
    attempts : int
        Most endpoints that one request is sent to.
    priority : int
        0 is the most urgent.
    public : bool
        Whether requests need no key.
    pause_target_s : float
        Longest pause between events that keeps an answer in time.
    """

    name: str
    host: str
    path_prefix: str
    pools: tuple[WeightedPool, ...]
    repeat: str = RetryPolicy.ONCE
    time_limit_s: float = 30.0
    target_s: float = 1.0
    attempts: int = 1
    priority: int = 5
    public: bool = False
    resumable: bool = False
    pause_target_s: float = 1.0

    @property
    def streams(self) -> bool:
        """Whether answers are event streams."""
        return self.repeat == RetryPolicy.STREAM

    @property
    def allows_rerun(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.repeat == RetryPolicy.ANY or (self.streams and self.resumable)

    def choose_pool(self, draw: random.Random) -> str:
        """Return a pool, drawn by weight."""
        if len(self.pools) == 1:
            return self.pools[0].pool
        weights = [pool.weight for pool in self.pools]
        return draw.choices(self.pools, weights)[0].pool


class EngineTraits(msgspec.Struct, frozen=True, kw_only=True):
    """What all engines of a pool have in common."""

    slots: int = 1
    memory_tokens: int = 0
    event_tokens: int = 1


class WarmUpTraits(msgspec.Struct, frozen=True, kw_only=True):
    """How endpoints of a pool start.

    Attributes
    ----------
    cold_s : float
        How long an endpoint is cold after a start.
    requests_per_s : float
        Requests that a cold endpoint bears, from all routers together; well above that it
        falls over.
    """

    cold_s: float = 0.0
    requests_per_s: float = 0.0


class EndpointPool(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of endpoints.

    Attributes
    ----------
    engine : EngineTraits or None
        None for a plain service.
    warm_up : WarmUpTraits or None
        None where a cold endpoint bears as much as any other.
    """

    name: str
    connection_limit: int = 1_000
    engine: EngineTraits | None = None
    warm_up: WarmUpTraits | None = None


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace, its keys, and the tokens it has paid for today."""

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    prepaid_tokens: int | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One whole version of what operators configured."""

    version: int
    routes: tuple[Route, ...] = ()
    pools: tuple[EndpointPool, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    needs_keys: bool = False
    limits: InboundLimits = msgspec.field(default_factory=InboundLimits)


class ConfigurationCopy(msgspec.Struct, frozen=True):
    """A configuration as routers pass it on.

    Attributes
    ----------
    row_version, row_era : int
        Number and era of the store's version of the row that it came in: a feed can go on from
        there.
    zone_orders : tuple of ZoneOrder
        All orders up to that version: a feed that goes on from there brings no older ones.
    """

    configuration: Configuration
    row_version: int = 0
    zone_orders: tuple[ZoneOrder, ...] = ()
    row_era: int = 0

    @property
    def row_as_of(self) -> RowVersion:
        """The store's version of the row that it came in."""
        return RowVersion.of(self.row_era, self.row_version)


class EndpointEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint as it announced itself.

    Attributes
    ----------
    born_ms : int or None
        When its process started, in milliseconds since 1970 by its own clock; a new start under
        the same ``endpoint_id`` has another. None where it does not tell.
    cold_left_s : float
        How long it stays cold from when it said so.
    """

    endpoint_id: str
    pool: str
    address: str
    zone: str = ""
    slots: int = 1
    leaving: bool = False
    cold_left_s: float = 0.0
    born_ms: int | None = None

    @property
    def incarnation(self) -> str:
        """Names one start of the endpoint."""
        return self.endpoint_id if self.born_ms is None else f"{self.endpoint_id}@{self.born_ms}"


def _pause_targets_s(routes: tuple[Route, ...]) -> dict[str, float]:
    """Return by pool the shortest pause target of the streams that it serves."""
    targets_s: dict[str, float] = {}
    for route in routes:
        for weighted in route.pools if route.streams else ():
            before_s = targets_s.get(weighted.pool, route.pause_target_s)
            targets_s[weighted.pool] = min(before_s, route.pause_target_s)
    return targets_s


def _shortest_targets_s(routes: tuple[Route, ...]) -> dict[str, float]:
    """Return by pool the shortest target of its routes."""
    targets_s: dict[str, float] = {}
    for route in routes:
        for weighted in route.pools:
            targets_s[weighted.pool] = min(
                targets_s.get(weighted.pool, route.target_s), route.target_s
            )
    return targets_s


def _most_urgent(routes: tuple[Route, ...]) -> dict[str, int]:
    """Return by pool the most urgent priority of its routes."""
    priorities: dict[str, int] = {}
    for route in routes:
        for weighted in route.pools:
            known = priorities.get(weighted.pool, route.priority)
            priorities[weighted.pool] = min(known, route.priority)
    return priorities


class RouteTable:
    """Finds the route of a request and the workspace of a key.

    Parameters
    ----------
    configuration : Configuration
        The version in force.

    Examples
    --------
    >>> pools = (WeightedPool("engines"),)
    >>> routes = (
    ...     Route(name="all", host="a.example", path_prefix="/", pools=pools),
    ...     Route(name="chat", host="a.example", path_prefix="/chat/", pools=pools),
    ... )
    >>> table = RouteTable(Configuration(version=1, routes=routes))
    >>> table.find("a.example", "/chat/now").name
    'chat'
    >>> table.find("b.example", "/") is None
    True
    """

    def __init__(self, configuration: Configuration):
        self.configuration = configuration
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._by_key = {
            key: workspace for workspace in configuration.workspaces for key in workspace.keys
        }
        self.pools = {pool.name: pool for pool in configuration.pools}
        self.workspaces = {workspace.name: workspace for workspace in configuration.workspaces}
        self.pause_targets_s = _pause_targets_s(configuration.routes)
        self.targets_s = _shortest_targets_s(configuration.routes)
        self.most_urgent_priorities = _most_urgent(configuration.routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        routes = self._by_host.get(host.lower())
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def workspace_for_key(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, or None."""
        return self._by_key.get(key)
