# SPDX-License-Identifier: BSD-3-Clause
"""Starts turnward's processes and the stand-ins on loopback, for demos, tests and benchmarks.

The product itself starts no process; this script does, and stops each by its id.
"""

import hashlib
import itertools
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

import msgspec

__all__ = ["LocalFleet", "RouterHandle", "free_port", "http_call"]

OPERATOR_KEY = "operator-key"
_PORTS = range(12_000, 32_000)
#: Processes that follow each other begin so far apart that their fleets share no port.
_PORTS_A_PROCESS = 307
_FIRST = os.getpid() * _PORTS_A_PROCESS % len(_PORTS)
_ports = itertools.cycle([*_PORTS[_FIRST:], *_PORTS[:_FIRST]])
_START_LIMIT_S = 60.0
_POLL_S = 0.02
_STOP_LIMIT_S = 10.0


def free_port() -> int:
    """Return a port that is free now and was not given out before.

    Ports lie below the range that outgoing connections take theirs from, so
    that none of those can take one between this look and its use.
    """
    while True:
        port = next(_ports)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def http_call(method: str, url: str, body=None, headers=None, timeout_s=10.0):
    """Send a request; return status, headers and body."""
    data = None
    if body is not None:
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as failure:
        return failure.code, dict(failure.headers), failure.read()


class RouterHandle:
    """One router process and its addresses."""

    def __init__(self, instance: str, zone: str, region: str):
        self.instance = instance
        self.zone = zone
        self.region = region
        self.callers_port = free_port()
        self.operators_port = free_port()
        self.peers_port = free_port()
        self.process: subprocess.Popen | None = None

    @property
    def callers_url(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.callers_port}"

    @property
    def operators_url(self) -> str:
        """Base URL for operators."""
        return f"http://127.0.0.1:{self.operators_port}"


class LocalFleet:
    """A platform stand-in, endpoints and routers as separate processes.

    Parameters
    ----------
    folder : str, optional
        Where settings and logs go; a temporary folder by default.
    command : list of str, optional
        How to call turnward.
    """

    def __init__(self, folder: str = "", command: list[str] | None = None):
        self.folder = Path(folder or tempfile.mkdtemp(prefix="turnward-"))
        self._command = command or [sys.executable, "-m", "turnward"]
        self._processes: list[subprocess.Popen] = []
        self.routers: list[RouterHandle] = []
        self._unready: list[str] = []
        self.platform_port = free_port()
        self.key_file = self.folder / "operator.key"
        self.key_file.write_text(OPERATOR_KEY)

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://127.0.0.1:{self.platform_port}"

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it answers."""
        self.start("platform", "standin", "platform", f"127.0.0.1:{self.platform_port}")
        self.wait_for(f"{self.platform_url}/counts")

    def start_engine(self, name: str, slots: int = 8, step_s: float = 0.01) -> int:
        """Start a model engine stand-in; return its port; see `wait_ready`."""
        port = free_port()
        address = f"127.0.0.1:{port}"
        self.start(name, "standin", "engine", address, f"--slots={slots}", f"--step_s={step_s}")
        self._unready.append(f"http://{address}/load")
        return port

    def start_service(self, name: str) -> int:
        """Start a plain service stand-in; return its port; see `wait_ready`."""
        port = free_port()
        self.start(name, "standin", "service", f"127.0.0.1:{port}")
        self._unready.append(f"http://127.0.0.1:{port}/calls")
        return port

    def start_router(self, instance: str, zone: str, region: str = "ost", **settings):
        """Start a router, list it, and return its handle; ``settings`` overrides defaults."""
        router = RouterHandle(instance, zone, region)
        path = self.folder / f"{instance}.toml"
        path.write_bytes(msgspec.toml.encode(self._settings(router) | settings))
        self.list_instance(instance)
        router.process = self.start(instance, "router", str(path))
        self.routers.append(router)
        self._unready.append(f"{router.callers_url}/health")
        return router

    def wait_ready(self) -> None:
        """Wait until every started process answers."""
        while self._unready:
            self.wait_for(self._unready[0])
            self._unready.pop(0)

    def _settings(self, router: RouterHandle) -> dict:
        return {
            "instance": router.instance,
            "zone": router.zone,
            "region": router.region,
            "callers_address": f"127.0.0.1:{router.callers_port}",
            "operators_address": f"127.0.0.1:{router.operators_port}",
            "peers_address": f"127.0.0.1:{router.peers_port}",
            "platform_url": self.platform_url,
            "operator_key_sha256": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
        }

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start one process of turnward, its output in a log file."""
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [*self._command, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self._processes.append(process)
        return process

    def wait_for(self, url: str) -> None:
        """Wait until an address answers with status 200."""
        deadline = time.monotonic() + _START_LIMIT_S
        while time.monotonic() < deadline:
            try:
                if http_call("GET", url, timeout_s=1.0)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(_POLL_S)
        raise TimeoutError(f"{url} did not answer; see the logs in {self.folder}")

    def list_instance(self, instance: str, leaving: bool = False) -> None:
        """Put an instance on the platform's list."""
        body = {"instance": instance, "leaving": leaving}
        http_call("PUT", f"{self.platform_url}/instances", body)

    def unlist_instance(self, instance: str) -> None:
        """Take an instance off the platform's list."""
        body = {"instance": instance, "leaving": True}
        http_call("DELETE", f"{self.platform_url}/instances", body)

    def kill(self, router: RouterHandle) -> None:
        """Kill a router without warning; the platform notices."""
        router.process.kill()
        router.process.wait()
        self.unlist_instance(router.instance)

    def set_faults(self, **faults) -> None:
        """Switch the platform's faults."""
        http_call("POST", f"{self.platform_url}/faults", faults)

    def scan(self, prefix: str) -> list[dict]:
        """Return the table's rows under a prefix."""
        query = {"prefix": prefix, "limit": 1_000_000}
        return msgspec.json.decode(http_call("POST", f"{self.platform_url}/table/scan", query)[2])

    def operator(self, router: RouterHandle, method: str, path: str, body=None):
        """Ask a router's operators' face; return status and decoded answer."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        status, _, answer = http_call(method, router.operators_url + path, body, headers)
        return status, msgspec.json.decode(answer)

    def apply_file(
        self, router: RouterHandle, path: str, ports: dict[str, int], slots: int = 0
    ) -> None:
        """Apply a resource file with real ports, and ``slots`` for each endpoint if above 0."""
        text = Path(path).read_text()
        if slots:
            text = re.sub(r"slots = \d+", f"slots = {slots}", text)
        for example, real in ports.items():
            text = text.replace(f"127.0.0.1:{example}", f"127.0.0.1:{real}")
        copy = self.folder / Path(path).name
        copy.write_text(text)
        command = [*self._command, "apply", router.operators_url, str(self.key_file), str(copy)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        if done.returncode:
            raise RuntimeError(f"apply failed: {done.stderr}")

    def wait_until(self, condition, limit_s: float = 15.0):
        """Wait until ``condition()`` is true and return its value."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(_POLL_S)
        raise TimeoutError(f"condition not met in {limit_s} s; see the logs in {self.folder}")

    def stop(self) -> None:
        """Stop every process that was started here, by its id."""
        for process in reversed(self._processes):
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait(timeout=_STOP_LIMIT_S)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()
