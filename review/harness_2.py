# SPDX-License-Identifier: BSD-3-Clause
"""Platform store, servers and clients for the scripts of the second review, on loopback.

Only the standard library is used. Gateways and servers run as separate processes; the store and the
clients run in the script's own process.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl

REVIEW = Path(__file__).resolve().parent
ROOT = REVIEW.parent
HOST_NAME = "shop.example"
KEY = "key-one"
TENANT = "tenant-one"
#: Exit status of a script: the rule held, it was broken, or the case could not run.
HELD, BROKEN, NOT_RUN = 0, 1, 2
START_LIMIT_S = 20.0
#: Ports of gateways.
PORTS = (12_000, 30_000)


def trouble() -> bool:
    """Return whether the script brings its disruption about."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(*PORTS)
        try:
            with (
                socket.socket(type=socket.SOCK_STREAM) as tcp,
                socket.socket(type=socket.SOCK_DGRAM) as udp,
            ):
                tcp.bind((ip, port))
                udp.bind((ip, port))
        except OSError:
            continue
        return port


class Record:
    """Writes what was sent, answered and run to ``record.txt`` in the case's folder."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Add a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()


async def read_message(reader) -> tuple[str, list[tuple[str, str]], bytes] | None:
    """Return first line, headers and body of a message with a length or without a body."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    length = int(dict(headers).get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class Store:
    """The platform's store: rows in tables, transactions and feeds."""

    def __init__(self):
        self.rows: dict[tuple[str, str, str], tuple[int, bytes | None]] = {}
        self.version = 0
        self._changed = asyncio.Event()
        self._server = None
        self.port = 0
        #: Called with the transaction before it is applied; may return how to answer it.
        self.on_transaction = None
        #: Whether calls are refused with 503.
        self.busy = False
        #: Told in all answers, if positive; rises each time that the store goes back to a copy.
        self.era = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value, part: str = "") -> None:
        """Write a row as the operator or a server does; None removes it."""
        self.version += 1
        data = None if value is None else json.dumps(value).encode()
        self.rows[table, part, key] = (self.version, data)
        self._wake()

    def copy(self) -> tuple[int, dict]:
        """Return a copy of what the store holds."""
        return self.version, dict(self.rows)

    def go_back(self, copy: tuple[int, dict]) -> None:
        """Go back to a copy; what the operator and the servers wrote since is written again."""
        kept = {key: row for key, row in self.rows.items() if key[0] in ("op", "servers")}
        self.version, self.rows = copy[0], dict(copy[1])
        self.era += 1
        for key, (_, value) in sorted(kept.items()):
            if self.rows.get(key, (0, None))[1] != value:
                self.version += 1
                self.rows[key] = (self.version, value)
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                first, _, body = message
                _, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                status, fields = 503, {"error": "busy"}
                if not self.busy:
                    status, fields = await self._answer(path, dict(parse_qsl(query)), body)
                data = json.dumps(fields).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                if self.era:
                    head += f"Store-Era: {self.era}\r\n"
                writer.write(head.encode() + b"Content-Type: application/json\r\n\r\n" + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path: str, query: dict, body: bytes) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        if path == "/turnward/rows-tx":
            return self._transact(json.loads(body))
        if path == "/turnward/rows-get":
            return 200, self._get(query)
        if path == "/turnward/rows-feed":
            fields = await self._feed(query)
            return (410, {"error": "no such version"}) if fields is None else (200, fields)
        return 404, {"error": "no such call"}

    def _now(self) -> dict:
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1_000)}

    def _wire(self, key: tuple[str, str, str]) -> dict:
        version, value = self.rows.get(key, (0, None))
        row = {"table": key[0], "part": key[1], "tlsKey": key[2], "ver": version}
        if value is None:
            return {**row, "gone": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _transact(self, message: dict) -> tuple[int, dict]:
        expected = {_key(row): row["ver"] for row in message.get("expectedRev", [])}
        for key, version in expected.items():
            found, value = self.rows.get(key, (0, None))
            if (0 if value is None else found) != version:
                return 412, {"rows": [self._wire(each) for each in expected], **self._now()}
        self.version += 1
        for row in message.get("put", []):
            self.rows[_key(row)] = (self.version, base64.b64decode(row["value"]))
        for row in message.get("remove", []):
            self.rows[_key(row)] = (self.version, None)
        self._wake()
        return 200, self._now()

    def _get(self, query: dict) -> dict:
        keys = sorted(
            key
            for key, (_, value) in self.rows.items()
            if key[:2] == (query["table"], query.get("part", "")) and value is not None
        )
        keys = [key for key in keys if key[2] >= query.get("source", "")]
        limit = min(500, int(query.get("limit", 500)))
        rows = [self._wire(key) for key in keys[:limit]]
        return {"rows": rows, "more": len(keys) > limit, **self._now()}

    async def _feed(self, query: dict) -> dict | None:
        after = int(query["afterRev"])
        if after > self.version:
            return None
        until_s = time.monotonic() + int(query.get("waitMs", 0)) / 1_000
        while True:
            changed = [
                (version, key)
                for key, (version, _) in self.rows.items()
                if key[0] == query["table"] and version > after
            ]
            left_s = until_s - time.monotonic()
            if changed or left_s <= 0:
                return {"rows": [self._wire(key) for _, key in sorted(changed)], **self._now()}
            event = self._changed
            try:
                await asyncio.wait_for(event.wait(), left_s)
            except TimeoutError:
                continue


def _key(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["tlsKey"]


def owner_of(client_port: int, server_port: int, processes: set[int]) -> int | None:
    """Return which of some processes holds the client's end of a loopback connection."""
    inode = ""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        ports = [int(fields[each].rpartition(":")[2], 16) for each in (1, 2)]
        if ports == [client_port, server_port] and fields[9] != "0":
            inode = f"socket:[{fields[9]}]"
    for process in processes:
        for descriptor in Path(f"/proc/{process}/fd").iterdir():
            try:
                if inode and os.readlink(descriptor) == inode:
                    return process
            except OSError:
                continue
    return None


class Proxy:
    """Passes connections on to a server; resets those of some gateways.

    Attributes
    ----------
    partitioned : set of int
        Process ids of the gateways that are partitioned from the server.
    """

    def __init__(self):
        self.partitioned: set[int] = set()
        self.port = 0
        self._target: tuple[str, int] = ("", 0)
        self._open: list[tuple[int, asyncio.StreamWriter, asyncio.StreamWriter]] = []

    async def start(self, address: str) -> str:
        """Listen in front of an address; return the proxy's own."""
        host, _, port = address.rpartition(":")
        self._target = host, int(port)
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self.port}"

    def partition(self, processes: set[int]) -> None:
        """Reset the connections of some gateways, those that are open and new ones."""
        self.partitioned = set(processes)
        for client_port, *writers in self._open:
            if self._is_partitioned(client_port):
                for writer in writers:
                    _reset(writer)

    def _is_partitioned(self, client_port: int) -> bool:
        processes = self.partitioned
        return bool(processes) and owner_of(client_port, self.port, processes) is not None

    async def _serve(self, reader, writer) -> None:
        client_port = writer.get_extra_info("peername")[1]
        if self._is_partitioned(client_port):
            _reset(writer)
            return
        try:
            there = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            return
        entry = (client_port, writer, there[1])
        self._open.append(entry)
        await asyncio.gather(_pass_on(reader, there[1]), _pass_on(there[0], writer))
        self._open.remove(entry)


def _reset(writer) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def _pass_on(reader, writer) -> None:
    """Pass bytes on until the end; a reset is passed on as a reset."""
    try:
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
        writer.close()
    except OSError:
        _reset(writer)


class ServerProcess:
    """A server in a process of its own, with its entry in the store."""

    def __init__(self, store: Store, record: Record, name: str, service: str, options: dict):
        self._store = store
        self._record = record
        self.name = name
        self.service = service
        self._options = options
        self.process = None
        self.address = ""
        #: What stands between the gateways and the server; nothing by default.
        self.proxy: Proxy | None = None
        #: What the server has told: one dict a line.
        self.lines: list[dict] = []
        self.state = "ready"
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start the process and its heartbeat."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(REVIEW / "server_2.py"),
            json.dumps({"name": self.name, **self._options}),
            stdout=asyncio.subprocess.PIPE,
        )
        self.address = json.loads(await self.process.stdout.readline())["address"]
        if self.proxy is not None:
            self.address = await self.proxy.start(self.address)
        self._tasks.append(asyncio.create_task(self._read_lines()))
        self._tasks.append(asyncio.create_task(self._beat()))

    async def _read_lines(self) -> None:
        while line := await self.process.stdout.readline():
            told = json.loads(line)
            self.lines.append(told)
            self._record.note(f"server {self.name}: {line.decode().strip()}")

    async def _beat(self) -> None:
        seq = 0
        while self.process.returncode is None:
            seq += 1
            self.write_entry(seq)
            await asyncio.sleep(1.2)

    def write_entry(self, seq: int = 0) -> None:
        """Write the server's entry."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z",
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": seq,
        }
        self._store.put("servers", self.name, entry)

    def drain(self) -> None:
        """Announce the planned end."""
        self.state = "draining"
        self.write_entry()
        self._record.note(f"the store takes that server {self.name} is draining")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)
        self._record.note(f"signal {number} to server {self.name}")

    def remove_entry(self) -> None:
        """Remove the entry, and stop the heartbeat."""
        for each in self._tasks[1:]:
            each.cancel()
        self._store.put("servers", self.name, None)

    async def stop(self) -> None:
        """End the process."""
        for each in self._tasks:
            each.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Gateway:
    """A gateway process, started as the deploy file says."""

    def __init__(self, store: Store, record: Record, number: int, folder: Path, seeds=()):
        self._store = store
        self._record = record
        self.name = f"front-{number}"
        self._folder = folder
        self._seeds = list(seeds)
        self.ip = f"127.0.0.{number + 1}"
        self.ports: dict[str, int] = {}
        self.process = None

    def _write_settings(self, peers_port: int) -> Path:
        self.ports = {name: free_port(self.ip) for name in ("callers", "ready")}
        path = self._folder / f"{self.name}.toml"
        path.write_text(
            f"""node = "{self.name}"
zone = "z"
callers_address = "{self.ip}:{self.ports["callers"]}"
ready_address = "{self.ip}:{self.ports["ready"]}"
store_address = "127.0.0.1:{self._store.port}"
peers_port = {peers_port}
metrics_port = 0
seeds = {json.dumps(self._seeds)}
memory_limit_mb = 300
descriptor_limit = 4100
link_mbit_per_s = 1000.0
stop_limit_s = 8
repeat_ratio = 0.2
repeat_window_s = 10
repeat_slack = 56
endpoint_heartbeat_ms = 1200
budget_reserve_share = 0.015
load_controls.service_rates = true
load_controls.spend_bounds_by_scarcity = true
"""
        )
        return path

    async def start(self, peers_port: int) -> None:
        """Start the process."""
        self.peers_port = peers_port
        settings = self._write_settings(peers_port)
        environment = {
            **os.environ,
            "TURNWARD_CONFIG": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with (self._folder / f"{self.name}.lines").open("ab") as lines:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "target/app/platform/main.py",
                stdout=lines,
                stderr=lines,
                env=environment,
                cwd=ROOT,
            )
        self._record.note(f"gateway {self.name} starts")

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready."""
        until_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until_s:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ports["ready"])
                writer.write(b"GET /turnward/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)
        self._record.note(f"signal {number} to gateway {self.name}")

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a client got for one request.

    Attributes
    ----------
    status : int or None
        None without a status line.
    complete : bool
        Whether the answer ended as its framing says.
    """

    def __init__(self):
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    def event_ids(self) -> list[int]:
        """Return the ids of the whole events."""
        events = self.body.split(b"\n\n")[:-1]
        return [
            int(line[3:])
            for event in events
            for line in event.split(b"\n")
            if line.startswith(b"id:")
        ]


async def ask(gateway: Gateway, method: str, path: str, request_id: str, record: Record, **extra):
    """Send a request on a new connection and return its ``Answer``."""
    deadline_ms = extra.pop("deadline_ms", 15_000)
    body = extra.pop("body", b"")
    headers = {
        "Host": HOST_NAME,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **extra.pop("headers", {}),
    }
    answer = Answer()
    record.note(f"client sends {request_id} {method} {path} to {gateway.name}")
    try:
        async with asyncio.timeout(deadline_ms / 1_000 + 1):
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.ports["callers"])
            lines = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await read_answer(reader, answer, method)
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    record.note(
        f"client gets for {request_id}: {answer.status}"
        f" {'complete' if answer.complete else 'broken off'}, {len(answer.body)} bytes,"
        f" seal {answer.headers.get('x-response-seal')}, events {answer.event_ids()[-1:]}"
    )
    return answer


async def read_answer(reader, answer: Answer, method: str = "GET") -> None:
    """Read one answer from a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if method == "HEAD":
        pass
    elif answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        left = int(answer.headers.get("content-length", 0))
        while left:
            data = await reader.read(left)
            if not data:
                raise asyncio.IncompleteReadError(b"", left)
            answer.body += data
            left -= len(data)
    answer.complete = True


def configuration(version: int, services: dict[str, dict], routes: list[dict], **extra) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": [{"host": HOST_NAME, "timeoutMs": 15_000, "sloMs": 800, **r} for r in routes],
        "services": [{"name": name, **fields} for name, fields in services.items()],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 30_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], **extra}],
    }


class World:
    """One case: the store, servers and gateways, all ended when the case ends."""

    def __init__(self, folder: Path):
        self.folder = folder
        self.record = Record(folder)
        self.store = Store()
        self.servers: list[ServerProcess] = []
        self.gateways: list[Gateway] = []
        self._scratch = tempfile.TemporaryDirectory(prefix="turnward-review-")

    async def start(self, config: dict) -> None:
        """Start the store with a configuration."""
        await self.store.start()
        self.store.put("op", "config", config)

    async def add_server(self, name, service, proxied=False, **options) -> ServerProcess:
        """Start a server, if wanted behind a proxy."""
        server = ServerProcess(self.store, self.record, name, service, options)
        server.proxy = Proxy() if proxied else None
        self.servers.append(server)
        await server.start()
        return server

    async def add_gateways(self, count: int) -> None:
        """Start gateways and wait until they are ready."""
        peers_port = free_port()
        for number in range(count):
            gateway = Gateway(self.store, self.record, number, Path(self._scratch.name))
            self.gateways.append(gateway)
            await gateway.start(peers_port)
        for gateway in self.gateways:
            await gateway.wait_ready()

    def gateway_lines(self) -> str:
        """Return what the gateways have logged."""
        files = sorted(Path(self._scratch.name).glob("*.lines"))
        return "".join(file.read_text() for file in files)

    async def stop(self) -> None:
        """End all processes."""
        if os.environ.get("KEEP_LINES"):
            (self.folder / "gateways.lines").write_text(self.gateway_lines())
        for each in [*self.gateways, *self.servers]:
            await each.stop()
        self._scratch.cleanup()


def run_case(folder: Path, play) -> int:
    """Play a case; return the exit status of its script."""

    async def main() -> int:
        # A script that is stopped early ends its processes too.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        loop.add_signal_handler(signal.SIGINT, task.cancel)
        world = World(folder)
        try:
            async with asyncio.timeout(115):
                return await play(world)
        finally:
            await world.stop()

    try:
        return asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {type(error).__name__}: {error}")
        return NOT_RUN
