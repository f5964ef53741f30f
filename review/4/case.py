# SPDX-License-Identifier: BSD-3-Clause
"""Servers run requests and lose the answers, while a gateway is partitioned from all servers."""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

import harness_2 as harness

FOLDER = Path(__file__).resolve().parent
GATEWAYS = 4
SERVERS = 4
#: Servers that lose answers (share 0.6 of 4), and the share of the answers that they lose.
TROUBLED_SERVERS = 2
LOSE_SHARE = 0.4
WORK_MS = 90
#: Clients, the requests that each sends one after the other, and the time between two.
CLIENTS = 32
REQUESTS = 85
PAUSE_S = 0.05
#: How long a gateway is partitioned; how long answers are lost in that time, twice, and the pause
#: before each.
PARTITIONED_S = 12.0
LOSES_S = 4.0
PAUSE_BEFORE_S = 1.0


async def client(world: harness.World, number: int, statuses: dict[str, int | None]) -> None:
    """Send requests to one gateway, one after the other."""
    for which in range(REQUESTS):
        request_id = f"c{number}-{which}"
        gateway = world.gateways[number % GATEWAYS]
        answer = await harness.ask(
            gateway, "HEAD", f"/book/{request_id}", request_id, world.record, deadline_ms=4_000
        )
        statuses[request_id] = answer.status
        await asyncio.sleep(PAUSE_S)


async def disturb(world: harness.World) -> None:
    """Partition a gateway from all servers, and have servers lose answers meanwhile."""
    cut_off = {world.gateways[0].process.pid}
    for server in world.servers:
        server.proxy.partition(cut_off)
    world.record.note("front-0 is partitioned from all servers")
    for _ in range(2):
        await asyncio.sleep(PAUSE_BEFORE_S)
        for server in world.servers[:TROUBLED_SERVERS]:
            server.signal(signal.SIGUSR1)
        await asyncio.sleep(LOSES_S)
        for server in world.servers[:TROUBLED_SERVERS]:
            server.signal(signal.SIGUSR2)
    await asyncio.sleep(PARTITIONED_S - 2 * (PAUSE_BEFORE_S + LOSES_S))
    for server in world.servers:
        server.proxy.partition(set())
    world.record.note("front-0 reaches the servers again")


async def play(world: harness.World) -> int:
    """Return whether a request that must not be repeated has run twice."""
    route = {
        "name": "book",
        "pathPrefix": "/book/",
        "routeType": "non_idempotent",
        "service": "services",
        "maxAttempts": 2,
        "timeoutMs": 4_000,
    }
    await world.start(harness.configuration(1, {"services": {}}, [route], prepaid=1_000_000))
    for number in range(SERVERS):
        await world.add_server(
            f"i-{number}", "services", proxied=True, work_ms=WORK_MS, lose_share=LOSE_SHARE
        )
    await world.add_gateways(GATEWAYS)
    await asyncio.sleep(1.0)
    statuses: dict[str, int | None] = {}
    asked = [asyncio.create_task(client(world, n, statuses)) for n in range(CLIENTS)]
    await asyncio.sleep(0.5)
    if harness.trouble():
        await disturb(world)
    await asyncio.gather(*asked)
    runs = Counter(
        line["runs"] for server in world.servers for line in server.lines if "runs" in line
    )
    twice = [request_id for request_id, count in runs.items() if count > 1]
    refused = [each for each, status in statuses.items() if status == 503 and runs[each]]
    for request_id in twice:
        world.record.note(f"{request_id} has run {runs[request_id]} times")
    text = f"{len(statuses)} requests, {len(twice)} run more than once, {len(refused)} told not run"
    world.record.note(text + f" though they ran; statuses {Counter(statuses.values())}")
    print(text + " though they ran")
    return harness.BROKEN if twice or refused else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(FOLDER, play))
