# SPDX-License-Identifier: BSD-3-Clause
"""Stand-ins of the platform for the review's scripts: store, servers and gateways' processes.

Standard library only. Everything runs in one asyncio loop on loopback addresses; the gateways are
separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
COMMAND = ["python3", "target/app/platform/main.py"]
STORE_HOST = "127.0.20.1"
HEARTBEAT_S = 1.2
READY_TIMEOUT_S = 20.0
#: Bounds: ``graceS`` of all sheets, and the longer of their ``contactMs`` for such fleets.
GRACE_S = 8.0
CONTACT_S = 4.0
SETTLE_S = 0.5
#: Exit statuses of a case; an uncaught exception of Python's has yet another.
HELD, FAILED, BROKEN = 0, 2, 10
#: Longest time that a case may take.
LIMIT_S = 110.0


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a host."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """Writes what happened to ``record.txt``, with seconds since the start."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()


async def read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    """Return the status and the headers of a response."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return int(first.split()[1]), {name.lower(): value.strip() for name, _, value in pairs}


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers (names in lower case) and the body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return first, headers, body
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a complete response with a declared length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's store: rows with versions, transactions and feeds of changes."""

    def __init__(self):
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._version = 0
        self._changed = asyncio.Condition()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, STORE_HOST, 0)
        self._server = server
        self.address = f"{STORE_HOST}:{server.sockets[0].getsockname()[1]}"

    async def write(self, table: str, key: str, value: dict | None) -> int:
        """Write or remove a row as the operator or a server does; return its version."""
        async with self._changed:
            self._version += 1
            self._put((table, "", key), None if value is None else json.dumps(value).encode())
            self._changed.notify_all()
            return self._version

    def _put(self, key: tuple[str, str, str], value: bytes | None) -> None:
        row = {"table": key[0], "part": key[1], "tlsKey": key[2], "ver": self._version}
        if value is None:
            row["gone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        self._rows[key] = row

    def rows(self, table: str, part: str = "") -> list[dict]:
        """Return the rows of a table that are there, by key."""
        return [
            row
            for key, row in sorted(self._rows.items())
            if key[:2] == (table, part) and "gone" not in row
        ]

    @staticmethod
    def text_of(row: dict) -> str:
        """Return the value of a row as text."""
        return base64.b64decode(row["value"]).decode()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while message := await read_message(reader):
                path, _, text = message[0].split(" ")[1].partition("?")
                query = {name: values[0] for name, values in parse_qs(text, True).items()}
                call = path.rsplit("/", 1)[1]
                status, answer = await self._answer(call, query, message[2])
                now_ms = round(time.monotonic() * 1_000, 3)
                body = json.dumps({"ver": self._version, "now_ms": now_ms, **answer}).encode()
                writer.write(encode(status, {"Content-Type": "application/json"}, body))
                await writer.drain()
        writer.close()

    async def _answer(self, call: str, query: dict, body: bytes) -> tuple[int, dict]:
        if call == "rows-tx":
            return await self._transact(json.loads(body))
        table = query.get("table", "")
        if call == "rows-get":
            rows = self.rows(table, query.get("part", ""))
            rows = [row for row in rows if row["tlsKey"] >= query.get("source", "")]
            if "targetVersion" in query:
                rows = [row for row in rows if row["tlsKey"] < query["targetVersion"]]
            limit = min(500, int(query.get("limit", 500)))
            return 200, {"rows": rows[:limit], "more": len(rows) > limit}
        if call == "rows-feed":
            return 200, await self._feed(table, int(query["afterRev"]), int(query["waitMs"]))
        return 404, {}

    async def _transact(self, message: dict) -> tuple[int, dict]:
        def key_of(row: dict) -> tuple[str, str, str]:
            return row["table"], row.get("part", ""), row["tlsKey"]

        async with self._changed:
            expected = [(key_of(row), row["ver"]) for row in message.get("expectedRev", [])]
            for key, version in expected:
                row = self._rows.get(key, {"gone": True})
                if version != (0 if "gone" in row else row["ver"]):
                    found = [self._rows[key] for key, _ in expected if key in self._rows]
                    return 412, {"rows": found}
            self._version += 1
            for row in message.get("put", []):
                self._put(key_of(row), base64.b64decode(row["value"]))
            for row in message.get("remove", []):
                self._put(key_of(row), None)
            self._changed.notify_all()
            return 200, {"ver": self._version}

    async def _feed(self, table: str, after: int, wait_ms: int) -> dict:
        def changed() -> list[dict]:
            rows = [row for key, row in self._rows.items() if key[0] == table]
            return sorted((row for row in rows if row["ver"] > after), key=lambda row: row["ver"])

        async with self._changed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait_for(changed), wait_ms / 1_000)
            return {"rows": changed(), "ver": self._version}


class Server:
    """A server of a service: keeps its entry in the store, and answers what ``handle`` returns."""

    def __init__(self, store: Store, record: Record, service: str, number: int, **entry):
        self._store = store
        self._record = record
        self._entry = {"service": service, "zone": "zone-1", "version": "1", "slots": 6, **entry}
        self._host = f"127.0.21.{number}"
        self._beat = 0
        self.number = number
        self.server_id = f"i-{service}-{number}"
        self.runs: list[str] = []

    async def start(self) -> None:
        """Listen, and write the entry regularly."""
        self._server = server = await asyncio.start_server(self._serve, self._host, 0)
        self._entry["address"] = f"{self._host}:{server.sockets[0].getsockname()[1]}"
        await self._write_entry()
        self._beating = asyncio.ensure_future(self._keep_beating())

    async def _keep_beating(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._write_entry()

    async def _write_entry(self) -> None:
        self._beat += 1
        entry = {**self._entry, "state": "ready", "coldLeftMs": 0, "seq": self._beat}
        await self._store.write("servers", self.server_id, entry)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while message := await read_message(reader):
                first, headers, body = message
                request_id = headers.get("x-request-id", "")
                if headers.get("x-expect-instance", self.server_id) != self.server_id:
                    writer.write(encode(421, {"X-Request-Id": request_id}, b""))
                    continue
                self.runs.append(request_id)
                self._record.note(f"{self.server_id} runs {request_id}: {first}")
                sealed = {"X-Request-Id": request_id, "X-Response-Seal": f"seal.{request_id}"}
                await self.handle(first, headers, body, sealed, writer)
                await writer.drain()
        writer.close()

    @staticmethod
    def reset(writer: asyncio.StreamWriter) -> None:
        """Reset a connection."""
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async def handle(self, first, headers, body, sealed, writer) -> None:
        """Answer a request."""
        writer.write(encode(200, sealed, b"done"))


class Connection:
    """A client's connection to a gateway, kept for many requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, gateway: "Gateway") -> "Connection":
        """Return a new connection."""
        return cls(*await asyncio.open_connection(gateway.host, gateway.ports["front"]))

    async def ask(
        self, method: str, host: str, path: str, request_id: str, deadline_ms: int
    ) -> str:
        """Send a request without a body; return its status and the size of its body."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            "Content-Length: 0",
        ]
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        message = await read_message(self._reader)
        if message is None:
            return "connection closed"
        first, headers, body = message
        sealed = "sealed" if "x-response-seal" in headers else "not sealed"
        return f"status {first.split()[1]}, {sealed}, {len(body)} bytes"

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class Gateway:
    """One gateway process on a loopback address of its own."""

    def __init__(self, folder: Path, number: int, ports: dict[str, int], settings: str):
        self.number = number
        self.host = f"127.0.22.{number}"
        self.ports = ports
        self._settings = folder / f"gateway-{number}.toml"
        self._settings.write_text(settings)
        self._lines = folder / f"gateway-{number}.lines"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "TURNWARD_CONFIG": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self._lines.open("ab") as lines:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=lines, stderr=lines
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        limit_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < limit_s:
            if await self._is_ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"gateway {self.number} is not ready: {self._lines.read_text()[-2000:]}")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports["ready"])
        except ConnectionError:
            return False
        writer.write(b"GET /turnward/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return message is not None and message[0].split()[1] == "200"


class Deployment:
    """Store, servers and gateways of one small deployment."""

    def __init__(self, case: Path):
        self.record = Record(case)
        self.store = Store()
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self, configuration: dict, zones: list[str]) -> None:
        """Start everything, one gateway in each zone, and wait until all are calm and in touch."""
        await self.store.start()
        await self.store.write("op", "config", configuration)
        for server in self.servers:
            await server.start()
        names = ("front", "ready", "control", "peers", "metrics")
        ports = dict(zip(names, free_ports("127.0.22.1", len(names)), strict=True))
        seeds = [f"127.0.22.{number}:{ports['control']}" for number in (1, 2, 3)]
        for number, zone in enumerate(zones, 1):
            settings = self._settings(number, zone, ports, seeds)
            self.gateways.append(Gateway(self.folder, number, ports, settings))
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record.note("all gateways are ready")
        await asyncio.sleep(CONTACT_S + SETTLE_S)

    def _settings(self, number: int, zone: str, ports: dict[str, int], seeds: list[str]) -> str:
        """Return settings as ``deploy/gateway.toml.in`` is filled for a small site."""
        return f"""
node = "front-{zone}-{number}"
zone = "{zone}"
callers_address = "127.0.22.{number}:{ports["front"]}"
ready_address = "127.0.22.{number}:{ports["ready"]}"
store_address = "{self.store.address}"
peers_port = {ports["peers"]}
metrics_port = {ports["metrics"]}
seeds = {json.dumps(seeds)}
memory_limit_mb = 300
descriptor_limit = 4200
link_mbit_per_s = 1000.0
stop_limit_s = {GRACE_S}
repeat_ratio = 0.2
repeat_window_s = 10
repeat_slack = 52
endpoint_heartbeat_ms = 1200
budget_reserve_share = 0.015
load_controls.service_rates = true
load_controls.spend_bounds_by_scarcity = true
"""

    def stop(self) -> None:
        """End every process that was started here."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
            if gateway.process is not None:
                gateway.process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case: Path, play) -> int:
    """Play a case; return ``BROKEN`` or ``HELD``, and any other status if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(case)

    async def run() -> bool:
        # Connections that are open at the end are closed with the loop, which needs no report.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        ended = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ended)
        return await asyncio.wait_for(play(deployment, trouble), LIMIT_S)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as failure:
        deployment.record.note(f"the case could not run: {failure!r}")
        print(f"the case could not run: {failure!r}")
        return FAILED
    finally:
        deployment.stop()
    deployment.record.note("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
