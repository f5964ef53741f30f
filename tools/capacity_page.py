# SPDX-License-Identifier: BSD-3-Clause
"""Makes docs/CAPACITY.md from docs/capacity/slopes.json; no figure is typed by hand."""

import sys
from pathlib import Path

import msgspec

from tools.capacity import DATA
from turnward.router.context import SUBSET_ENDPOINTS
from turnward.settings import RouterSettings

__all__ = ["FullSize", "main", "render"]

PAGE = Path("docs/CAPACITY.md")
BEFORE = Path("docs/capacity/slopes-before.json")
_DAY_S = 86_400
#: Seconds between two batches of shipped events, as the settings have it.
_SHIP_S = next(
    field.default
    for field in msgspec.structs.fields(RouterSettings)
    if field.name == "event_ship_s"
)


class FullSize(msgspec.Struct, frozen=True):
    """The size to design for (letter 1), and the limits that go with it."""

    nodes: int = 390
    servers: int = 3_200
    requests_s: int = 13_000
    budgets: int = 230_000
    workspaces: int = 12_000
    changes_day: int = 6_800
    failures_day: int = 22
    restarts_day: int = 680
    cpu_share_limit: float = 0.012
    memory_limit_mb: float = 256.0
    peer_limit_bytes_s: float = 3_000.0
    table_writes_limit_s: float = 500.0
    table_reads_limit_s: float = 2_000.0
    config_limit_s: float = 5.0

    @property
    def node_requests_s(self) -> float:
        """Requests a second at one node."""
        return self.requests_s / self.nodes


class Line(msgspec.Struct, frozen=True):
    """One row of the page: a figure at full size against its limit."""

    duty: str
    figure: str
    today: float
    full: float
    limit: float | None
    unit: str
    mechanism: str

    @property
    def verdict(self) -> str:
        """Whether it holds."""
        if self.limit is None:
            return "no limit given"
        return "holds" if self.full <= self.limit else "**does not hold yet**"

    def cells(self) -> list[str]:
        """Return the row's cells."""
        limit = "-" if self.limit is None else f"{self.limit:,.3g}"
        return [
            self.duty,
            self.figure,
            f"{self.today:,.3g}",
            f"{self.full:,.3g}",
            limit,
            self.unit,
            self.verdict,
            self.mechanism,
        ]


def fit(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through the points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def at_full(idle: list[dict], key: str, size: FullSize) -> float:
    """Return an idle figure at full size, from the line through the measured sizes.

    A line that falls is noise around a flat figure; then the largest measured
    value is taken.
    """
    intercept, slope = fit([(entry["routers"], entry[key]) for entry in idle])
    if slope <= 0:
        return max(entry[key] for entry in idle)
    return intercept + slope * size.nodes


def lines(data: dict, size: FullSize) -> list[Line]:
    """Work out every row from the measured slopes."""
    return [
        *_router_lines(data, size),
        *_buddy_lines(data, size),
        *_table_lines(data, size),
        *_duty_lines(data, size),
    ]


def _router_lines(data: dict, size: FullSize) -> list[Line]:
    idle, load, objects = data["idle"], data["load"], data["objects"]
    base_mb = idle[-1]["memory_mb"]
    held_mb = (
        size.workspaces * objects["memory_per_workspace_bytes"]
        + size.budgets * objects["memory_per_budget_bytes"]
        + size.servers * objects["memory_per_endpoint_bytes"]
    ) / 1e6
    request_cpu = load["cpu_ms_per_request"] / 1000
    return [
        Line(
            "router", "control CPU, idle", idle[0]["cpu_share"],
            at_full(idle, "cpu_share", size), size.cpu_share_limit, "share of a core",
            "heartbeats go to two buddies only; one read a poll of each log",
        ),
        Line(
            "router", "CPU of requests", today_requests() * request_cpu,
            size.node_requests_s * request_cpu, None, "share of a core",
            "serving, not control: parsing, relaying, records, bills",
        ),
        Line(
            "router", "memory with every workspace, budget and endpoint", base_mb,
            base_mb + held_mb, size.memory_limit_mb, "MB",
            "worst case: a node that has met all budgets; budgets are met as they are used",
        ),
    ]  # fmt: skip


def today_requests() -> float:
    """Return the requests a second of one node today, a working assumption."""
    return 5.0


def _buddy_lines(data: dict, size: FullSize) -> list[Line]:
    idle, load, objects = data["idle"], data["load"], data["objects"]
    idle_bytes = at_full(idle, "peer_bytes_per_router_s", size)
    request_bytes = load["peer_bytes_per_request"]
    open_mb = size.node_requests_s * 2 * objects["memory_per_record_bytes"] * 10 / 1e6
    return [
        Line(
            "buddy", "heartbeats", idle[0]["peer_bytes_per_router_s"], idle_bytes,
            size.peer_limit_bytes_s, "bytes/s a node",
            "named buddies only, so flat in the size of the fleet",
        ),
        Line(
            "buddy", "run records and heartbeats", idle[0]["peer_bytes_per_router_s"]
            + today_requests() * request_bytes,
            idle_bytes + size.node_requests_s * request_bytes,
            size.peer_limit_bytes_s, "bytes/s a node",
            "packed ids, ends sent lazily; next: the second copy only when the first "
            "buddy is slow, names by their place in the configuration",
        ),
        Line(
            "router", "memory of open requests, runs of 10 s", 0.0,
            size.node_requests_s * 10 * objects["memory_per_open_request_bytes"] / 1e6,
            size.memory_limit_mb, "MB", "objects of the product alone, without sockets",
        ),
        Line(
            "buddy", "memory of records, runs of 10 s", 0.0, open_mb,
            size.memory_limit_mb, "MB", "dropped once billed",
        ),
    ]  # fmt: skip


def _table_lines(data: dict, size: FullSize) -> list[Line]:
    idle, load = data["idle"], data["load"]
    reads = at_full(idle, "table_reads_per_router_s", size)
    reads_today = 8 * idle[0]["table_reads_per_router_s"]
    return [
        Line(
            "platform table", "reads, idle fleet", reads_today, size.nodes * reads,
            size.table_reads_limit_s, "reads/s, fleet",
            "one read a second of each log's head; entries only when it moved",
        ),
        Line(
            "platform table", "reads for requests",
            8 * today_requests() * load["table_reads_per_request"],
            size.requests_s * load["table_reads_per_request"],
            size.table_reads_limit_s, "reads/s, fleet",
            "a grant lasts many requests; budgets are read when one is taken",
        ),
        Line(
            "platform table", "writes for requests",
            8 * today_requests() * load["table_writes_per_request"],
            size.requests_s * load["table_writes_per_request"],
            size.table_writes_limit_s, "writes/s, fleet",
            "bills in batches a node; next: a batch of bills as one object with one row "
            "in the table, and homes that hold a region's grants",
        ),
        Line(
            "time line shipping", "events to the object store",
            today_requests() * load["event_bytes_per_request"],
            size.node_requests_s * load["event_bytes_per_request"],
            size.peer_limit_bytes_s, "bytes/s a node",
            "the figure is for all events; event_sample = 20 (not run) would ship the routine "
            "events of one request in 20",
        ),
    ]  # fmt: skip


def _duty_lines(data: dict, size: FullSize) -> list[Line]:
    idle, recovery = data["idle"], data["recovery"]
    slowest = max(entry["config_in_force_s"] for entry in idle)
    changes_s = size.changes_day / _DAY_S
    fleet_changes_s = (size.restarts_day * 6 + size.failures_day * 8) / _DAY_S
    return [
        Line(
            "configuration spread", "in force everywhere", idle[0]["config_in_force_s"],
            at_full(idle, "config_in_force_s", size), size.config_limit_s, "s",
            f"polled each second; slowest measured {slowest:.2f} s",
        ),
        Line(
            "configuration spread", "reads of entries", 0.0, changes_s * size.nodes * 2,
            size.table_reads_limit_s, "reads/s, fleet", "each router reads each entry once",
        ),
        Line(
            "membership", "reads of changed rows", 0.0, fleet_changes_s * size.nodes * 3,
            size.table_reads_limit_s, "reads/s, fleet",
            "680 restarts and 22 failures a day, some 6 to 8 changes of rows each",
        ),
        Line(
            "platform objects", "writes of shipped events", 8 / _SHIP_S, size.nodes / _SHIP_S,
            size.table_writes_limit_s, "writes/s, fleet", "one object a node and period",
        ),
        Line(
            "recoverer", "time to recover a dead router with runs open",
            recovery["recovery_s"], recovery["recovery_s"], None, "s",
            f"{recovery['open_runs']} runs open, {recovery['table_writes']} table writes",
        ),
        Line(
            "recoverer", "table writes for a day's failures", 0.0,
            size.failures_day * recovery["table_writes"], None, "writes a day",
            "bills of open runs in batches, one write a grant",
        ),
    ]  # fmt: skip


_HEAD = ["role or duty", "figure", "today", "full size", "limit", "unit", "verdict", "mechanism"]


def table(head: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    parts = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(row) + " |" for row in parts)


def _idle_table(data: dict) -> str:
    keys = list(data["idle"][0])
    rows = [[f"{entry[key]:.3g}" for key in keys] for entry in data["idle"]]
    return table([key.replace("_", " ") for key in keys], rows)


def _fact_table(facts: dict) -> str:
    rows = [[key.replace("_", " "), f"{value:.4g}"] for key, value in facts.items()]
    return table(["measured", "value"], rows)


_PAGE = """# Capacity

For each role: what it costs today and at the size to design for: {nodes} nodes before
{servers:,} servers, {requests:,} requests a second, {budgets:,} budgets, {workspaces:,}
workspaces, {changes:,} changes of configuration a day. Made by `make capacity` from
`docs/capacity/slopes.json` (commit {commit}, {date}, {machine}); no figure is typed by
hand. "Today" is 8 nodes with {today:g} requests a second each, a working assumption.
Full-size figures come from the line through the measured sizes (or the largest measured
value where that line falls), so they are as good as that line: nothing above {largest}
routers was run.

## What binds first

{binding}

## Roles and duties

{lines}

"Some hundred writes" is taken as {writes:g} writes a second. A transaction counts as one
write; a platform that counts rows brings the limit nearer by the size of the batch.

## Not measured

- Several regions, and a lossy link.
- **Budget homes**: not built. A region's home would take one grant a budget and hand it on,
  which takes the table's writes for grants out of the number of nodes.
- **Drain**: rides on the configuration (its spread is above); each router drops the endpoint
  by itself, so the duty needs no holder. **Retune** (orders to load or change role): not
  built.
- **Operator faces**: a look at the fleet asks every live router once, so its cost is the
  operator's look times the nodes; the bytes of one answer were not measured.
- Table contention on one hot budget: the stand-in serialises all transactions.
- TCP and IP headers: peer bytes are the frames alone.
- State of endpoints: a router looks after at most {subset} endpoints of a pool (a subset by
  rendezvous hashing), so that views and load questions stay flat as servers are added.

## What was weighed

- Router rows: read all at each poll (before) or follow a log (after, kept). Reads a second
  and router at each size, before: {before}; after: {after}.
- Run records: two copies as soon as possible (kept) or one, and the second when the first
  is slow. The second choice halves the bytes and leaves a grant in doubt at each double
  failure; it waits for the users' word.
- Bills: one row a request (kept today, the request id is the key) or a batch an object. At
  full size only the second fits the table.

## Measured slopes

Idle fleets:

{idle}

One fleet of three under load:

{load}

One router killed:

{recovery}

Objects and messages:

{objects}
"""


def render(data: dict, before: dict | None, size: FullSize) -> str:
    """Return the page."""
    worked = lines(data, size)
    broken = [line for line in worked if "not" in line.verdict and line.limit]
    broken.sort(key=lambda line: line.full / line.limit, reverse=True)
    binding = "\n".join(
        f"{place}. **{line.duty}, {line.figure}**: {line.full:,.3g} of {line.limit:,.3g} "
        f"{line.unit} ({line.full / line.limit:.1f} times). {line.mechanism}."
        for place, line in enumerate(broken, start=1)
    )

    def reads(source: dict | None) -> str:
        if source is None:
            return "not run"
        return ", ".join(
            f"{entry['table_reads_per_router_s']:.3g} at {entry['routers']}"
            for entry in source["idle"]
        )

    return _PAGE.format(
        nodes=size.nodes,
        servers=size.servers,
        requests=size.requests_s,
        budgets=size.budgets,
        workspaces=size.workspaces,
        changes=size.changes_day,
        commit=data["commit"],
        date=data["date"],
        machine=data["machine"],
        today=today_requests(),
        largest=data["idle"][-1]["routers"],
        binding=binding or "Nothing measured is over its limit.",
        lines=table(_HEAD, [line.cells() for line in worked]),
        writes=size.table_writes_limit_s,
        subset=SUBSET_ENDPOINTS,
        before=reads(before),
        after=reads(data),
        idle=_idle_table(data),
        load=_fact_table(data["load"]),
        recovery=_fact_table(data["recovery"]),
        objects=_fact_table(data["objects"]),
    )


def main() -> int:
    """Write the page."""
    data = msgspec.json.decode(DATA.read_bytes())
    before = msgspec.json.decode(BEFORE.read_bytes()) if BEFORE.exists() else None
    PAGE.write_text(render(data, before, FullSize()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
