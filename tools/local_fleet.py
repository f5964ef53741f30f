# SPDX-License-Identifier: BSD-3-Clause
"""Starts routers and stand-ins on loopback as processes, for demos, tests and benchmarks.

Only processes started by this module are stopped by it.
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
#: Offset between the first ports of processes with consecutive ids, so that fleets started
#: in parallel do not share ports.
_PORTS_PER_PROCESS = 307
_FIRST_INDEX = os.getpid() * _PORTS_PER_PROCESS % len(_PORTS)
_ports = itertools.cycle([*_PORTS[_FIRST_INDEX:], *_PORTS[:_FIRST_INDEX]])
_START_TIMEOUT_S = 60.0
_POLL_INTERVAL_S = 0.02
_STOP_TIMEOUT_S = 10.0


def free_port() -> int:
    """Return a port that is free now and that this process did not return recently.

    The ports lie below the ephemeral range, so that no outgoing connection can
    take one between this check and its use.
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
    """A platform stand-in, endpoints and routers, each in a process of its own.

    Parameters
    ----------
    folder : str, optional
        Folder for settings and logs; a temporary folder by default.
    command : list of str, optional
        Command that runs turnward; by default the module, with the current interpreter.
    """

    def __init__(self, folder: str = "", command: list[str] | None = None):
        self.folder = Path(folder or tempfile.mkdtemp(prefix="turnward-"))
        self._command = command or [sys.executable, "-m", "turnward"]
        self._processes: list[subprocess.Popen] = []
        self.routers: list[RouterHandle] = []
        self._pending_urls: list[str] = []
        self.platform_port = free_port()
        self.key_file = self.folder / "operator.key"
        self.key_file.write_text(OPERATOR_KEY)

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return f"http://127.0.0.1:{self.platform_port}"

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it responds."""
        self.start("platform", "standin", "platform", f"127.0.0.1:{self.platform_port}")
        self.wait_for(f"{self.platform_url}/counts")

    def start_engine(self, name: str, slots: int = 8, step_s: float = 0.01) -> int:
        """Start a model engine stand-in and return its port; `wait_ready` waits for it."""
        port = free_port()
        address = f"127.0.0.1:{port}"
        self.start(name, "standin", "engine", address, f"--slots={slots}", f"--step_s={step_s}")
        self._pending_urls.append(f"http://{address}/load")
        return port

    def start_service(self, name: str) -> int:
        """Start a service stand-in and return its port; `wait_ready` waits for it."""
        port = free_port()
        self.start(name, "standin", "service", f"127.0.0.1:{port}")
        self._pending_urls.append(f"http://127.0.0.1:{port}/calls")
        return port

    def start_router(self, instance: str, zone: str, region: str = "ost", **settings):
        """Register and start a router, and return its handle; ``settings`` override defaults."""
        router = RouterHandle(instance, zone, region)
        path = self.folder / f"{instance}.toml"
        path.write_bytes(msgspec.toml.encode(self._settings(router) | settings))
        self.list_instance(instance)
        router.process = self.start(instance, "router", str(path))
        self.routers.append(router)
        self._pending_urls.append(f"{router.callers_url}/health")
        return router

    def wait_ready(self) -> None:
        """Wait until every started engine, service and router responds."""
        while self._pending_urls:
            self.wait_for(self._pending_urls[0])
            self._pending_urls.pop(0)

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
        """Start a turnward process that writes its output to a log file."""
        log_file = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [*self._command, *arguments], stdout=log_file, stderr=log_file, stdin=subprocess.DEVNULL
        )
        log_file.close()
        self._processes.append(process)
        return process

    def wait_for(self, url: str) -> None:
        """Wait until a URL responds with status 200."""
        deadline = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if http_call("GET", url, timeout_s=1.0)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"{url} did not answer; see the logs in {self.folder}")

    def list_instance(self, instance: str, leaving: bool = False) -> None:
        """Add an instance to the platform's instance list, or update its entry."""
        body = {"instance": instance, "leaving": leaving}
        http_call("PUT", f"{self.platform_url}/instances", body)

    def unlist_instance(self, instance: str) -> None:
        """Remove an instance from the platform's instance list."""
        body = {"instance": instance, "leaving": True}
        http_call("DELETE", f"{self.platform_url}/instances", body)

    def kill(self, router: RouterHandle) -> None:
        """Kill a router with SIGKILL and remove it from the platform's instance list."""
        router.process.kill()
        router.process.wait()
        self.unlist_instance(router.instance)

    def set_faults(self, **faults) -> None:
        """Set the faults that the platform stand-in injects."""
        http_call("POST", f"{self.platform_url}/faults", faults)

    def scan(self, prefix: str) -> list[dict]:
        """Return the rows of the platform's table whose keys begin with a prefix."""
        query = {"prefix": prefix, "limit": 1_000_000}
        return msgspec.json.decode(http_call("POST", f"{self.platform_url}/table/scan", query)[2])

    def operator(self, router: RouterHandle, method: str, path: str, body=None):
        """Call a router's operators' HTTP API; return the status and the decoded response."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        status, _, response_body = http_call(method, router.operators_url + path, body, headers)
        return status, msgspec.json.decode(response_body)

    def apply_file(
        self, router: RouterHandle, path: str, ports: dict[str, int], slots: int = 0
    ) -> int:
        """Apply a resource file with its example ports replaced by those of this fleet.

        Returns the revision of the configuration that holds its resources.

        ``slots``, if above 0, replaces the slots of each endpoint.
        """
        text = Path(path).read_text()
        if slots:
            text = re.sub(r"slots = \d+", f"slots = {slots}", text)
        for example_port, real_port in ports.items():
            text = text.replace(f"127.0.0.1:{example_port}", f"127.0.0.1:{real_port}")
        copy = self.folder / Path(path).name
        copy.write_text(text)
        command = [*self._command, "apply", router.operators_url, str(self.key_file), str(copy)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        if result.returncode:
            raise RuntimeError(f"apply failed: {result.stderr}")
        return int(re.search(r"revision (\d+)", result.stdout).group(1))

    def wait_until(self, condition, limit_s: float = 15.0):
        """Wait until ``condition()`` is true and return its value."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(_POLL_INTERVAL_S)
        raise TimeoutError(f"condition not met in {limit_s} s; see the logs in {self.folder}")

    def stop(self) -> None:
        """Kill every process that this fleet started, and wait for its end."""
        for process in reversed(self._processes):
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self._processes:
            process.wait(timeout=_STOP_TIMEOUT_S)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()
