# SPDX-License-Identifier: BSD-3-Clause
"""Streams that clients take up with a long body run at many servers at once."""

import asyncio
import signal
import sys
from pathlib import Path

from standins import Server, read_head, run_case

CASE = Path(__file__).resolve().parent
HOST_NAME = "scores.example"
ZONES = [f"zone-{number}" for number in (1, 1, 1, 2, 2, 2, 3, 4)]
#: Servers of the service by the version of their software, while it is being replaced.
OLD_SERVERS, NEW_SERVERS = 8, 2
KEY = "key-of-the-tenant"
TENANT = "tenant-1"
#: Far more than the streams use, so that none is refused for tokens.
PREPAID_TOKENS = 500_000
STREAMS = 48
PROMPT_TOKENS = 200
EVENTS = 200
EVENT_TOKENS = 5
EVENT_S = 0.01
#: Time in which a server reads a prompt; a request begins to run with its first token.
FIRST_EVENT_S = 0.015
DEADLINE_MS = 12_000
MAX_ATTEMPTS = 2
#: Requests of the rule that may run at more servers than the route allows.
EXCUSED = 3
#: A long prompt, sent in chunks; ``maxBodyBytes`` is 4 MiB.
BODY_BYTES = 400_000
CHUNK_BYTES = 16_384
#: Short streams that each gateway has served just before, and the size of their bodies.
EARLIER_STREAMS = 16
EARLIER_EVENTS = 5
EARLIER_BYTES = 100
#: When gateway 1 is killed, after the streams were asked for.
KILL_AFTER_S = 0.4
#: Times that a client takes its stream up: the retries of the site's sheet.
MAX_RETRIES = 1


class Engine(Server):
    """Streams events from the one after ``Last-Event-Id``, and counts tokens."""

    read_requests: set[str] = set()
    tokens = 0
    out_of: dict[str, int] = {}
    begun_at: dict[str, set[int]] = {}

    async def handle(self, first, headers, body, sealed, writer) -> None:
        """See ``Server.handle``."""
        request_id = headers["x-request-id"]
        if request_id not in self.read_requests:
            self.read_requests.add(request_id)
            Engine.tokens += int(headers["x-token-count"].split(",")[0])
        events = int(headers["x-token-count"].split(",")[1]) // EVENT_TOKENS
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines.append("Keep-Alive: timeout=15")
        lines += [f"{name}: {value}" for name, value in sealed.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await asyncio.sleep(FIRST_EVENT_S)
        for number in range(int(headers.get("last-event-id", 0)) + 1, events + 1):
            if writer.is_closing():
                return
            event = b"id: %d\ndata: %s\n\n" % (number, request_id.encode())
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            self.begun_at.setdefault(request_id, set()).add(self.number)
            Engine.tokens += EVENT_TOKENS
            self.out_of[request_id] = self.out_of.get(request_id, 0) + EVENT_TOKENS
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


def configuration() -> dict:
    """Return a configuration with one streaming route and one tenant."""
    route = {
        "name": "report",
        "host": HOST_NAME,
        "pathPrefix": "/report/",
        "routeType": "streaming",
        "timeoutMs": DEADLINE_MS,
        "sloMs": 1_000,
        "gapSloMs": 400,
        "maxAttempts": MAX_ATTEMPTS,
        "priority": 0,
        "sticky": True,
        "resumable": True,
        "service": "engines",
    }
    engine = {"slots": 64, "kvCapacity": 552_156, "stride": EVENT_TOKENS}
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": "engines", "maxConns": 370, "engine": engine}],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {"name": TENANT, "apiKeys": [KEY], "priority": 1, "prepaid": PREPAID_TOKENS},
        ],
    }


class StreamClient:
    """Asks for one stream, and takes it up at another gateway after a broken connection."""

    def __init__(self, deployment, number: int, events: int = EVENTS, body: int = BODY_BYTES):
        self._deployment = deployment
        self._events = events
        self._body_bytes = body
        self._record = deployment.record
        self._number = number
        self._first_id = ""
        self._last_event = 0
        self.whole = False
        self.malformed = False
        self.refused: list[str] = []

    async def run(self) -> None:
        """Ask until the stream is whole, or the retries are used up."""
        for attempt in range(MAX_RETRIES + 1):
            gateways = self._deployment.gateways
            gateway = gateways[0] if not attempt else gateways[1 + (self._number + attempt) % 7]
            request_id = f"stream-{self._number:02}-{attempt}"
            try:
                outcome, wait_s = await self.ask(gateway, request_id)
            except (OSError, asyncio.IncompleteReadError) as failure:
                outcome, wait_s = f"broken: {failure!r}", 0.1
            except ValueError as failure:
                self.malformed = True
                outcome, wait_s = f"malformed: {failure}", 0.1
            self._record.note(f"client of {request_id}: {outcome}, at event {self._last_event}")
            if self.whole:
                return
            await asyncio.sleep(wait_s)

    async def ask(self, gateway, request_id: str) -> tuple[str, float]:
        """Send one request and read its events; return what came, and how long to wait."""
        reader, writer = await asyncio.open_connection(gateway.host, gateway.ports["front"])
        lines = [
            "POST /report/x HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {DEADLINE_MS}",
            f"Authorization: Token {KEY}",
            "X-Model: m",
            f"X-Token-Count: {PROMPT_TOKENS},{self._events * EVENT_TOKENS}",
            f"X-Prompt-Prefix: 5c1e07a2:100,{self._number + 1:x}:100",
            "Transfer-Encoding: chunked",
        ]
        if self._last_event:
            lines += [f"Last-Event-Id: {self._last_event}", f"Resumes: {self._first_id}"]
        self._record.note(f"client sends {request_id} to gateway {gateway.number}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for sent in range(0, self._body_bytes, CHUNK_BYTES):
            size = min(CHUNK_BYTES, self._body_bytes - sent)
            writer.write(b"%x\r\n%b\r\n" % (size, b"p" * size))
        writer.write(b"0\r\n\r\n")
        try:
            return await self._read(reader, request_id)
        finally:
            writer.close()

    async def _read(self, reader, request_id: str) -> tuple[str, float]:
        status, headers = await read_head(reader)
        if status != 200:
            self.refused.append(request_id)
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            return f"status {status}, {body.decode()}", float(headers.get("retry-after", 0.1))
        while size := int(await reader.readline() or b"-1", 16):
            if size < 0:
                return "connection closed", 0.1
            data = await reader.readexactly(size + 2)
            ids = [int(line[4:]) for line in data.split(b"\n") if line.startswith(b"id: ")]
            if ids:
                self._first_id = self._first_id or request_id
                self._last_event = ids[-1]
        self.whole = True
        return "whole", 0.0


async def serve_earlier(deployment) -> None:
    """Have each gateway serve short streams, which leave connections to the servers."""
    for gateway in deployment.gateways:
        await asyncio.gather(
            *(
                StreamClient(deployment, 100 + number, EARLIER_EVENTS, EARLIER_BYTES).ask(
                    gateway, f"earlier-{gateway.number}-{number:02}"
                )
                for number in range(EARLIER_STREAMS)
            )
        )


async def play(deployment, trouble: bool) -> bool:
    """Kill a gateway with streams open; return whether requests ran at too many servers."""
    record = deployment.record
    for number in range(1, OLD_SERVERS + NEW_SERVERS + 1):
        version = "v1" if number <= OLD_SERVERS else "v2"
        engine = Engine(deployment.store, record, "engines", number, version=version, slots=64)
        deployment.servers.append(engine)
    await deployment.start(configuration(), ZONES)
    await serve_earlier(deployment)
    clients = [StreamClient(deployment, number) for number in range(STREAMS)]
    running = [asyncio.ensure_future(client.run()) for client in clients]
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        record.note("SIGKILL to gateway 1")
        deployment.gateways[0].signal(signal.SIGKILL)
    await asyncio.gather(*running)
    await asyncio.sleep(EVENTS * EVENT_S * 2)
    runs = {request_id: sorted(servers) for request_id, servers in Engine.begun_at.items()}
    for request_id, servers in sorted(runs.items()):
        if len(servers) > 1:
            tokens = Engine.out_of.get(request_id, 0)
            record.note(f"{request_id} ran at servers {servers}, which handed out {tokens} tokens")
    refused = {request_id for client in clients for request_id in client.refused}
    record.note(f"{len(refused & runs.keys())} requests were refused with 503 and ran")
    for row in deployment.store.rows("prepaid", TENANT):
        record.note(f"the tenant's row: {deployment.store.text_of(row)}")
    record.note(f"{Engine.tokens} tokens were used")
    record.note(f"{sum(client.whole for client in clients)} of {STREAMS} streams are whole")
    malformed = sum(client.malformed for client in clients)
    record.note(f"{malformed} clients got bytes in a stream that are no chunk")
    exceeded = sum(len(servers) > MAX_ATTEMPTS for servers in runs.values())
    record.note(f"{exceeded} requests ran at more than {MAX_ATTEMPTS} servers")
    return exceeded > EXCUSED


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
