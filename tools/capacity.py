# SPDX-License-Identifier: BSD-3-Clause
"""Measures the slopes that docs/CAPACITY.md is worked out from.

Everything runs on one machine: idle fleets of growing size, one fleet under load,
one router killed, and objects counted in memory. The result is a data file with
the machine and the commit; ``tools/capacity_page.py`` makes the page from it.
"""

import argparse
import os
import platform
import subprocess
import sys
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median

import msgspec
import uuid6

from tools.demo import Audit
from tools.local_fleet import LocalFleet, http_call
from turnward.budgets import GrantLedger, SizingRule
from turnward.callers import Flight
from turnward.events import Stamp
from turnward.peers.book import RecordBook
from turnward.peers.codec import Envelope, encode
from turnward.peers.messages import Heartbeat, PutRecords, RunRecord
from turnward.resources import Endpoint, Workspace
from turnward.routing import EndpointView

__all__ = ["main"]

DATA = Path("docs/capacity/slopes.json")
SIZES = (3, 6, 12, 24, 48)
IDLE_S = 8.0
SETTLE_S = 4.0
LOAD_REQUESTS = 600
OBJECTS = 2_000
ZONES = ("ost-a", "ost-b", "ost-c")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor time a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def rss_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def counts(fleet: LocalFleet) -> dict[str, int]:
    """Return the platform stand-in's reads and writes so far."""
    return msgspec.json.decode(http_call("GET", f"{fleet.platform_url}/counts")[2])


def peer_bytes(fleet: LocalFleet) -> dict[str, int]:
    """Return bytes sent to peers by router."""
    answer = fleet.operator(fleet.routers[0], "GET", "/fleet")[1]
    return {
        router["incarnation"]: router["status"]["peer_sent_bytes"]
        for router in answer["routers"]
        if router["status"]
    }


def start_fleet(size: int) -> tuple[LocalFleet, Audit]:
    """Start a fleet with the example deployment."""
    fleet = LocalFleet()
    fleet.start_platform()
    engines = [fleet.start_engine(f"engine-{number}", slots=64, step_s=0.005) for number in (1, 2)]
    service = fleet.start_service("service-1")
    for number in range(size):
        fleet.start_router(f"entry-{number}", ZONES[number % len(ZONES)])
    fleet.wait_ready()
    ports = {"9101": engines[0], "9102": engines[1], "9103": service}
    fleet.apply_file(fleet.routers[0], "examples/treuepunkt.toml", ports, slots=64)
    time.sleep(SETTLE_S)
    return fleet, Audit(fleet, engines, service)


def measure_idle(size: int) -> dict[str, float]:
    """Measure an idle fleet: processor time, memory, table calls and peer bytes a second."""
    fleet, _ = start_fleet(size)
    with fleet:
        pids = [router.process.pid for router in fleet.routers]
        table, sent = counts(fleet), peer_bytes(fleet)
        used = [cpu_s(pid) for pid in pids]
        started = time.monotonic()
        time.sleep(IDLE_S)
        elapsed = time.monotonic() - started
        used = [cpu_s(pid) - before for pid, before in zip(pids, used, strict=True)]
        table_after, sent_after = counts(fleet), peer_bytes(fleet)
        sent_by = [sent_after[name] - sent[name] for name in sent if name in sent_after]
        return {
            "routers": size,
            "cpu_share": median(used) / elapsed,
            "memory_mb": median(rss_mb(pid) for pid in pids),
            "table_reads_per_router_s": (table_after["reads"] - table["reads"]) / elapsed / size,
            "table_writes_per_router_s": (table_after["writes"] - table["writes"]) / elapsed / size,
            "peer_bytes_per_router_s": median(sent_by) / elapsed,
            "config_in_force_s": measure_config(fleet),
        }


def measure_config(fleet: LocalFleet) -> float:
    """Return the seconds from acceptance of a change to its being in force everywhere."""
    found = fleet.operator(fleet.routers[0], "GET", "/resources/models/draft")[1][0]
    spec = {**found["spec"], "default_output_tokens": 33}
    change = {"kind": "models", "name": "draft", "spec": spec}
    revision = fleet.operator(fleet.routers[0], "POST", "/apply", {"changes": [change]})[1][
        "revision"
    ]
    started = time.monotonic()

    def in_force():
        answer = fleet.operator(fleet.routers[-1], "GET", "/fleet")[1]
        live = [router["status"] for router in answer["routers"] if router["status"]]
        return len(live) == len(fleet.routers) and all(
            status["revision"] >= revision for status in live
        )

    fleet.wait_until(in_force, 20.0)
    return time.monotonic() - started


def measure_load() -> dict[str, float]:
    """Measure what one request costs: processor time, table calls and peer bytes."""
    fleet, _ = start_fleet(3)
    with fleet:
        pids = [router.process.pid for router in fleet.routers]
        idle_table, idle_cpu = counts(fleet), [cpu_s(pid) for pid in pids]
        idle_bytes = -sum(peer_bytes(fleet).values())
        time.sleep(IDLE_S)
        idle_bytes += sum(peer_bytes(fleet).values())
        idle_table = {key: value - idle_table[key] for key, value in counts(fleet).items()}
        idle_cpu = sum(cpu_s(pid) for pid in pids) - sum(idle_cpu)
        table, sent = counts(fleet), peer_bytes(fleet)
        used = sum(cpu_s(pid) for pid in pids)
        started = time.monotonic()
        _send_load(fleet)
        time.sleep(SETTLE_S)  # a look at the routers would count as bytes between them
        peer_bytes_after = peer_bytes(fleet)
        fleet.wait_until(lambda: _all_billed(fleet), 30.0)
        elapsed = time.monotonic() - started
        part = elapsed / IDLE_S
        table_after = counts(fleet)
        sent_bytes = sum(peer_bytes_after.values()) - sum(sent.values()) - idle_bytes * part
        return {
            "requests": LOAD_REQUESTS,
            "requests_per_s": LOAD_REQUESTS / elapsed,
            "cpu_ms_per_request": (sum(cpu_s(pid) for pid in pids) - used - idle_cpu * part)
            * 1000
            / LOAD_REQUESTS,
            "table_reads_per_request": (
                table_after["reads"] - table["reads"] - idle_table["reads"] * part
            )
            / LOAD_REQUESTS,
            "table_writes_per_request": (
                table_after["writes"] - table["writes"] - idle_table["writes"] * part
            )
            / LOAD_REQUESTS,
            "peer_bytes_per_request": sent_bytes / LOAD_REQUESTS,
            "event_bytes_per_request": _event_bytes(fleet) / LOAD_REQUESTS,
        }


def _all_billed(fleet: LocalFleet) -> bool:
    """Tell by the routers' own word, since a look at the table would count as reads."""
    answer = fleet.operator(fleet.routers[0], "GET", "/fleet")[1]
    statuses = [router["status"] for router in answer["routers"] if router["status"]]
    written = sum(status["counters"].get("bills.written", 0) for status in statuses)
    return written >= LOAD_REQUESTS and not any(status["held_records"] for status in statuses)


def _send_load(fleet: LocalFleet) -> None:
    body = {
        "model": "draft",
        "messages": [{"role": "user", "content": "a statement, please"}],
        "max_tokens": 10,
    }
    encoded = msgspec.json.encode(body)

    def send(number: int) -> None:
        router = fleet.routers[number % len(fleet.routers)]
        headers = {
            "Authorization": "Bearer bakeries-key",
            "Idempotency-Key": str(uuid6.uuid7()),
            "Content-Type": "application/json",
        }
        url = f"{router.callers_url}/v1/chat/completions"
        for _ in range(10):
            if http_call("POST", url, encoded, headers)[0] == 200:
                return
            time.sleep(0.1)

    with ThreadPoolExecutor(16) as pool:
        list(pool.map(send, range(LOAD_REQUESTS)))


def _event_bytes(fleet: LocalFleet) -> int:
    events = fleet.operator(fleet.routers[0], "GET", "/events?kind=")[1]
    return sum(
        len(msgspec.json.encode(event))
        for event in events
        if event["kind"].startswith(("request.", "bill."))
    )


def measure_recovery() -> dict[str, float]:
    """Kill a router with runs open; measure time and table calls until it is recovered."""
    fleet, audit = start_fleet(3)
    with fleet:
        victim = fleet.routers[0]
        body = msgspec.json.encode(
            {
                "model": "draft",
                "messages": [{"role": "user", "content": "x"}],
                "max_tokens": 250,
            }
        )
        headers = {"Authorization": "Bearer bakeries-key", "Content-Type": "application/json"}
        with ThreadPoolExecutor(16) as pool:
            for _ in range(16):
                pool.submit(
                    http_call,
                    "POST",
                    f"{victim.callers_url}/v1/chat/completions",
                    body,
                    headers,
                )
            fleet.wait_until(lambda: len(audit.engine_runs()) >= 16)
            table = counts(fleet)
            started = time.monotonic()
            fleet.kill(victim)
            fleet.wait_until(
                lambda: not any(victim.instance in row["key"] for row in fleet.scan("router/"))
            )
            elapsed = time.monotonic() - started
        after = counts(fleet)
        return {
            "open_runs": 16,
            "recovery_s": elapsed,
            "table_writes": after["writes"] - table["writes"],
            "bills": len(audit.bills()),
        }


def _memory_per(build, count: int = OBJECTS) -> float:
    """Return the bytes that each of ``count`` built objects takes."""
    build(2)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build(count)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert kept is not None
    return used / count


def _record(number: int) -> RunRecord:
    return RunRecord(
        str(uuid6.uuid7()),
        str(uuid6.uuid7()),
        f"workspace-{number % 40}",
        f"budget-{number % 40}",
        f"endpoint-{number % 20}",
        uuid6.uuid7().hex,
        1_000,
    )


def _ledger(count: int) -> GrantLedger:
    ledger = GrantLedger(SizingRule())
    for number in range(count):
        ledger.add(f"budget-{number}", 1_000)
        ledger.reserve(f"budget-{number}", 10, 1.0)
    return ledger


def _book(count: int) -> RecordBook:
    book = RecordBook()
    book.put("r1", tuple(_record(number) for number in range(count)))
    return book


def _workspaces(count: int) -> list[Workspace]:
    return [
        Workspace(
            name=f"workspace-{number}",
            key_sha256=f"{number:064x}",
            budget=f"budget-{number}",
            priority_class="till",
        )
        for number in range(count)
    ]


def _endpoints(count: int) -> list[EndpointView]:
    return [
        EndpointView(
            Endpoint(
                name=f"endpoint-{number}", pool="p", url="http://127.0.0.1:9000", zone="ost-a"
            ),
            0.0,
        )
        for number in range(count)
    ]


def _flights(count: int) -> list[Flight]:
    workspace = _workspaces(1)[0]
    ledger = _ledger(1)
    ledger.add("budget-0", 100 * count)
    flights = []
    for number in range(count):
        flight = Flight(workspace, str(uuid6.uuid7()), uuid6.uuid7().hex, "p", "till", True)
        flight.reservation = ledger.reserve("budget-0", 10, 1.0).ok
        flight.record = _record(number)
        flights.append(flight)
    return flights


def measure_objects() -> dict[str, float]:
    """Return bytes in memory per object, and on the wire per message."""
    stamp = Stamp(1_700_000_000_000, 1)
    batch = 50
    records = tuple(_record(number) for number in range(batch))
    dropped = tuple(record.run_id for record in records)

    def size(message) -> int:
        return len(encode(Envelope(1, "entry-1.0123456789ab", stamp, message)))

    return {
        "memory_per_budget_bytes": _memory_per(_ledger),
        "memory_per_record_bytes": _memory_per(_book),
        "memory_per_open_request_bytes": _memory_per(_flights),
        "memory_per_workspace_bytes": _memory_per(_workspaces),
        "memory_per_endpoint_bytes": _memory_per(_endpoints),
        "wire_heartbeat_bytes": size(Heartbeat(1_000)),
        "wire_open_record_bytes": size(PutRecords(records)) / batch,
        "wire_billed_record_bytes": size(PutRecords((), dropped)) / batch,
    }


def main() -> int:
    """Measure everything and write the data file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default=",".join(str(size) for size in SIZES))
    arguments = parser.parse_args()
    sizes = [int(size) for size in arguments.sizes.split(",")]
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=True
    ).stdout.strip()
    idle = []
    for size in sizes:
        idle.append(measure_idle(size))
        print(f"idle: {idle[-1]}", flush=True)
    data = {
        "commit": commit,
        "date": time.strftime("%Y-%m-%d"),
        "machine": f"{os.cpu_count()} cores, Python {platform.python_version()}",
        "idle": idle,
        "load": measure_load(),
        "recovery": measure_recovery(),
        "objects": measure_objects(),
    }
    for part in ("load", "recovery", "objects"):
        print(f"{part}: {data[part]}", flush=True)
    DATA.parent.mkdir(parents=True, exist_ok=True)
    DATA.write_bytes(msgspec.json.format(msgspec.json.encode(data), indent=2) + b"\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
