# SPDX-License-Identifier: BSD-3-Clause
"""Routes, pools and workspaces that operators configure, and the entries of endpoints."""

from collections.abc import Callable

import msgspec

from turnward.bounds import Count, Integer, Name, NameInHeader, Number
from turnward.gateway.zone_orders import ZoneOrder
from turnward.http1 import InboundLimits
from turnward.rows import RowVersion
from turnward.settings import parse_peer_address
from turnward.software_versions import UNNAMED_VERSION

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


#: Time limits of its route within which a caller resumes a stream for the last time.
_TRIES_PER_STREAM = 2
#: Time for which an endpoint may serve on after its entry is gone.
_SERVES_ON_S = 10.0


class RetryPolicy:
    """Whether a request of a route may run more than once; values of ``Route.repeat``."""

    ANY = "any"
    ONCE = "once"
    STREAM = "stream"


class WeightedPool(msgspec.Struct, frozen=True):
    """A pool that receives a share of a route's requests."""

    pool: Name
    weight: Number = 1.0


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Which requests go to which pools, and how they are handled.

    Attributes
    ----------
    path_prefix : str
        Begins and ends with a slash; the longest matching prefix applies.
    repeat : str
        ``any``: a request may run more than once. ``once``: at most once.
        ``stream``: the response is an event stream, and the request runs at most once unless
        ``resumable``.
    time_limit_s : float
        Longest total time for a request, including retries.
    target_s : float
        Target for the time to the response, or to its first event.
    attempts : int
        Maximum number of endpoints that one request is sent to.
    priority : int
        0 is the most urgent.
    public : bool
        Whether requests are accepted without a key.
    pause_target_s : float
        Target for the longest pause between two events of a response.
    """

    name: str
    host: str
    path_prefix: str
    pools: tuple[WeightedPool, ...]
    repeat: str = RetryPolicy.ONCE
    time_limit_s: Number = 30.0
    target_s: Number = 1.0
    attempts: Integer = 1
    priority: Integer = 5
    public: bool = False
    resumable: bool = False
    pause_target_s: Number = 1.0

    @property
    def streams(self) -> bool:
        """Whether responses are event streams."""
        return self.repeat == RetryPolicy.STREAM

    @property
    def allows_rerun(self) -> bool:
        """Whether a request that may have run already may be sent again."""
        return self.repeat == RetryPolicy.ANY or (self.streams and self.resumable)

    def choose_pool(self, draw: Callable[[], float]) -> str:
        """Return the pool at a point of the cumulated weights.

        Parameters
        ----------
        draw : callable
            Returns the point, from 0 to below 1; not called if there is one pool.

        Examples
        --------
        >>> pools = (WeightedPool("a", 1.0), WeightedPool("b", 3.0))
        >>> route = Route(name="r", host="h", path_prefix="/", pools=pools)
        >>> route.choose_pool(lambda: 0.2), route.choose_pool(lambda: 0.3)
        ('a', 'b')
        """
        if len(self.pools) == 1:
            return self.pools[0].pool
        left = draw() * sum(weighted.weight for weighted in self.pools)
        for weighted in self.pools:
            left -= weighted.weight
            if left < 0:
                return weighted.pool
        return self.pools[-1].pool


class EngineTraits(msgspec.Struct, frozen=True, kw_only=True):
    """Properties shared by all engines of a pool."""

    slots: Integer = 1
    memory_tokens: Integer = 0
    event_tokens: Integer = 1


class WarmUpTraits(msgspec.Struct, frozen=True, kw_only=True):
    """How endpoints of a pool warm up after a start.

    Attributes
    ----------
    cold_s : float
        How long an endpoint is cold after a start.
    requests_per_s : float
        Rate of requests, from all routers together, that a cold endpoint can sustain; it fails
        at much higher rates.
    """

    cold_s: Number = 0.0
    requests_per_s: Number = 0.0


class EndpointPool(msgspec.Struct, frozen=True, kw_only=True):
    """A pool of endpoints.

    Attributes
    ----------
    engine : EngineTraits or None
        None if the endpoints are not inference engines.
    warm_up : WarmUpTraits or None
        None if cold endpoints sustain as much as warm ones.
    """

    name: Name
    connection_limit: Integer = 1_000
    engine: EngineTraits | None = None
    warm_up: WarmUpTraits | None = None


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace, its keys, and its prepaid tokens of the day."""

    name: NameInHeader
    keys: tuple[str, ...] = ()
    priority: Integer | None = None
    prepaid_tokens: Integer | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One complete version of the operators' configuration."""

    version: Integer
    routes: tuple[Route, ...] = ()
    pools: tuple[EndpointPool, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    needs_keys: bool = False
    limits: InboundLimits = msgspec.field(default_factory=InboundLimits)


class ConfigurationCopy(msgspec.Struct, frozen=True):
    """A configuration as one router sends it to another.

    Attributes
    ----------
    row_version, row_era : int
        Number and era of the version of the store's row that held the configuration; a feed can
        continue from there.
    zone_orders : tuple of ZoneOrder
        All orders up to that version, since a feed that continues from there delivers only
        later ones.
    """

    configuration: Configuration
    row_version: int = 0
    zone_orders: tuple[ZoneOrder, ...] = ()
    row_era: int = 0

    @property
    def row_as_of(self) -> RowVersion:
        """Version of the store's row that held the configuration."""
        return RowVersion.of(self.row_era, self.row_version)


class EndpointEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint's entry, as the endpoint registered it.

    Attributes
    ----------
    leaving : bool
        Whether the endpoint is draining.
    cold_left_s : float
        How long the endpoint stays cold, counted from when the entry was written.
    born_ms : int or None
        When the endpoint's process started, in milliseconds since 1970 by its own clock; it
        differs after a restart under the same ``endpoint_id``. None if not specified.
    version : str
        Version of the endpoint's software.
    """

    endpoint_id: NameInHeader
    pool: Name
    address: Name
    zone: Name = ""
    slots: Count = 1
    leaving: bool = False
    cold_left_s: Number = 0.0
    born_ms: Integer | None = None
    version: Name = UNNAMED_VERSION

    def __post_init__(self):
        # Older builds copy entries that name no version with an empty one.
        if not self.version:
            msgspec.structs.force_setattr(self, "version", UNNAMED_VERSION)

    def check(self) -> "EndpointEntry":
        """Return the entry itself.

        Raises
        ------
        ValueError
            No endpoint can have the address.
        """
        if parse_peer_address(self.address) is None:
            raise ValueError(f"endpoint address {self.address!r} is not IP:port of a process")
        return self

    @property
    def incarnation(self) -> str:
        """Identifier of the endpoint's process; it changes with each restart."""
        return self.endpoint_id if self.born_ms is None else f"{self.endpoint_id}@{self.born_ms}"


def _pause_targets_s(routes: tuple[Route, ...]) -> dict[str, float]:
    """Return the shortest pause target of the streaming routes of each pool."""
    targets_s: dict[str, float] = {}
    for route in routes:
        for weighted in route.pools if route.streams else ():
            previous_s = targets_s.get(weighted.pool, route.pause_target_s)
            targets_s[weighted.pool] = min(previous_s, route.pause_target_s)
    return targets_s


def _stream_limits_s(routes: tuple[Route, ...]) -> dict[str, float]:
    """Return for how long a stream of each pool may be resumed after its version has left."""
    limits_s: dict[str, float] = {}
    for route in routes:
        limit_s = _TRIES_PER_STREAM * route.time_limit_s + _SERVES_ON_S
        for weighted in route.pools if route.streams else ():
            limits_s[weighted.pool] = max(limits_s.get(weighted.pool, 0.0), limit_s)
    return limits_s


def _add_moved(moved: dict[str, set[str]], before: Route, after: Route) -> None:
    """Add the pools that a route led to before, for each one that it leads to now."""
    for weighted in after.pools:
        others = {other.pool for other in before.pools} - {weighted.pool}
        if others:
            moved.setdefault(weighted.pool, set()).update(others)


def _shortest_targets_s(routes: tuple[Route, ...]) -> dict[str, float]:
    """Return the shortest response time target of the routes of each pool."""
    targets_s: dict[str, float] = {}
    for route in routes:
        for weighted in route.pools:
            targets_s[weighted.pool] = min(
                targets_s.get(weighted.pool, route.target_s), route.target_s
            )
    return targets_s


def _most_urgent_priorities(routes: tuple[Route, ...]) -> dict[str, int]:
    """Return the most urgent priority of the routes of each pool."""
    priorities: dict[str, int] = {}
    for route in routes:
        for weighted in route.pools:
            previous = priorities.get(weighted.pool, route.priority)
            priorities[weighted.pool] = min(previous, route.priority)
    return priorities


class RouteTable:
    """Finds the route of a request and the workspace of a key.

    Parameters
    ----------
    configuration : Configuration
        The configuration in use.

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
        self.stream_limits_s = _stream_limits_s(configuration.routes)
        self.targets_s = _shortest_targets_s(configuration.routes)
        self.most_urgent_priorities = _most_urgent_priorities(configuration.routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path, or None."""
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

    def moved_streams(self, earlier: "RouteTable") -> dict[str, set[str]]:
        """Return the pools whose streams may go on at each other pool by this table.

        Parameters
        ----------
        earlier : RouteTable
            The table by which the streams began.
        """
        changes = [
            (earlier.find(route.host, route.path_prefix), route)
            for route in self.configuration.routes
        ]
        changes += [
            (route, self.find(route.host, route.path_prefix))
            for route in earlier.configuration.routes
        ]
        moved: dict[str, set[str]] = {}
        for before, after in changes:
            if before is None or after is None or before.pools == after.pools:
                continue
            if before.streams and after.streams:
                _add_moved(moved, before, after)
        return moved

    def workspace_for_key(self, key: str) -> Workspace | None:
        """Return the workspace that holds a key, or None."""
        return self._by_key.get(key)
