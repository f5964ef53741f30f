# SPDX-License-Identifier: BSD-3-Clause
"""Servers run requests and lose the answers, while one server of the service is taken away."""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

import harness_2 as harness

FOLDER = Path(__file__).resolve().parent
GATEWAYS = 6
SERVERS = 3
#: Servers that lose answers (share 0.6 of 3), and the share of the answers that they lose.
TROUBLED_SERVERS = 2
LOSE_SHARE = 0.4
WORK_MS = 90
#: Requests of each gateway's client, one after the other, and the time between two.
REQUESTS = 90
PAUSE_S = 0.01
#: How long the answers are lost, once the third server drains.
LOSES_S = 4.0


async def client(world: harness.World, number: int, statuses: dict[str, int | None]) -> None:
    """Send requests to one gateway, one after the other."""
    for which in range(REQUESTS):
        request_id = f"c{number}-{which}"
        gateway = world.gateways[number]
        answer = await harness.ask(
            gateway, "HEAD", "/book/a", request_id, world.record, deadline_ms=4_000
        )
        statuses[request_id] = answer.status
        await asyncio.sleep(PAUSE_S)


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
        await world.add_server(f"i-{number}", "services", work_ms=WORK_MS, lose_share=LOSE_SHARE)
    await world.add_gateways(GATEWAYS)
    await asyncio.sleep(1.0)
    statuses: dict[str, int | None] = {}
    asked = [asyncio.create_task(client(world, n, statuses)) for n in range(GATEWAYS)]
    await asyncio.sleep(0.5)
    if harness.trouble():
        world.servers[-1].drain()
        for server in world.servers[:TROUBLED_SERVERS]:
            server.signal(signal.SIGUSR1)
        await asyncio.sleep(LOSES_S)
        for server in world.servers[:TROUBLED_SERVERS]:
            server.signal(signal.SIGUSR2)
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
