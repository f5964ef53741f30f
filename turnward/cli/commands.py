# SPDX-License-Identifier: BSD-3-Clause
"""The commands of ``turnward``."""

import sys
import time
from pathlib import Path

import msgspec

from turnward.cli.client import CommandError, OperatorClient
from turnward.errors import TurnwardError
from turnward.events import Event, configure_logs, matches, merge_events, render_event
from turnward.resources import KINDS, load_resources
from turnward.settings import load_settings, read_toml

__all__ = ["Commands", "main"]

_WATCH_INTERVAL_S = 1.0


class StandInCommands:
    """Stand-ins for the platform and the endpoints, for demos and tests only."""

    def platform(self, address: str):
        """Serve a platform stand-in on IP:port."""
        from turnward.cli.serving import serve_platform

        serve_platform(address)

    def engine(self, address: str, slots: int = 8, step_s: float = 0.01):
        """Serve a model engine stand-in on IP:port."""
        from turnward.cli.serving import serve_engine

        serve_engine(address, slots, step_s)

    def service(self, address: str):
        """Serve a plain service stand-in on IP:port."""
        from turnward.cli.serving import serve_service

        serve_service(address)


class Commands:
    """turnward: a router fleet for prepaid token budgets."""

    def __init__(self):
        self.standin = StandInCommands()

    def router(self, settings: str):
        """Run one router with a settings file."""
        from turnward.cli.serving import serve_router

        checked = load_settings(settings)
        configure_logs(checked.log_json)
        serve_router(checked)

    def gateway(self, settings: str):
        """Run one gateway with a settings file whose ``store_address`` is the platform's."""
        from turnward.cli.serving import serve_standalone_gateway

        serve_standalone_gateway(str(settings))

    def gateway_apply(self, url: str, *files: str):
        """Write gateway resources to the platform's table.

        Parameters
        ----------
        url : str
            Base URL of the platform.
        files : str
            Resource files. All are checked before any row is written.
        """
        from turnward.cli.serving import write_gateway_rows
        from turnward.gateway.standalone import load_gateway_resources

        if not files:
            raise CommandError("expected one or more files")
        resources = [load_gateway_resources(str(path)) for path in files]
        rows = [row for resource in resources for row in resource.rows()]
        write_gateway_rows(url, rows)
        print(f"accepted: {len(rows)} rows")

    def check(self, *files: str):
        """Check settings and resource files and report every error."""
        from turnward.gateway.settings import load_gateway_settings
        from turnward.gateway.standalone import load_gateway_resources

        if not files:
            raise CommandError("expected one or more files")
        for path in files:
            keys = set(read_toml(path))
            if "configuration" in keys:
                load_gateway_resources(path)
            elif "store_address" in keys:
                load_gateway_settings(path)
            elif keys & set(KINDS):
                load_resources(path)
            else:
                load_settings(path)
            print(f"{path}: good")

    def apply(self, url: str, key_file: str, *files: str, expect: int | None = None):
        """Apply resource files through a router.

        Parameters
        ----------
        url : str
            Base URL of any router's HTTP API for operators.
        key_file : str
            File that holds the operators' key.
        files : str
            Resource files.
        expect : int, optional
            Version that the resource must have now; for files with a single resource.
        """
        changes = []
        for path in files:
            resources = load_resources(str(path))
            for kind, by_name in resources.by_kind.items():
                for resource in by_name.values():
                    change = {
                        "kind": kind,
                        "name": resource.name,
                        "spec": msgspec.to_builtins(resource),
                        "expected_version": expect,
                    }
                    changes.append(change)
        response = OperatorClient(url, key_file).call("POST", "/apply", {"changes": changes})
        print(f"accepted: {len(changes)} resources, revision {response['revision']}")

    def remove(self, url: str, key_file: str, kind: str, name: str, expect: int | None = None):
        """Remove a resource."""
        change = {"kind": kind, "name": name, "spec": None, "expected_version": expect}
        response = OperatorClient(url, key_file).call("POST", "/apply", {"changes": [change]})
        print(f"removed: {kind}/{name}, revision {response['revision']}")

    def get(self, url: str, key_file: str, kind: str = "fleet", name: str = ""):
        """Show the fleet, or the resources of a kind with their state."""
        client = OperatorClient(url, key_file)
        if kind == "fleet":
            _show(client.call("GET", "/fleet"))
            return
        if kind not in KINDS:
            raise CommandError(f"kind: expected fleet or one of {', '.join(KINDS)}, found {kind}")
        path = f"/resources/{kind}/{name}" if name else f"/resources/{kind}"
        _show(client.call("GET", path))

    def story(self, request_id: str, *files: str, around_s: float = 3.0):
        """Show what happened to one request, from captured log lines of gateways.

        Parameters
        ----------
        request_id : str
            The request's id as the caller knows it.
        files : str
            Files with the log lines of one or more processes.
        around_s : float
            Seconds before and after the request in which state changes of its processes
            are shown as well.
        """
        from turnward.events.request_history import collect_history, read_lines, render_line

        if not files:
            raise CommandError("expected one or more files")
        lines = [line for path in files for line in read_lines(Path(str(path)))]
        history = collect_history(lines, str(request_id), around_s)
        if not history:
            raise CommandError(f"no log line mentions request {request_id}")
        for line in history:
            print(render_line(line))

    def watch(self, url: str, key_file: str, kind: str = "fleet", name: str = "", times: int = 0):
        """Show a state each time it changes; ``times`` above 0 stops after that many reads."""
        client = OperatorClient(url, key_file)
        path = "/fleet" if kind == "fleet" else f"/resources/{kind}/{name}".rstrip("/")
        last, reads = None, 0
        while times == 0 or reads < times:
            state = client.call("GET", path)
            if state != last:
                _show(state)
            last, reads = state, reads + 1
            time.sleep(_WATCH_INTERVAL_S)

    def drain(self, url: str, key_file: str, endpoint: str = "", undo: bool = False):
        """Drain an endpoint or, if none is given, shut down the router at ``url``."""
        client = OperatorClient(url, key_file)
        if not endpoint:
            _show(client.call("POST", "/leave", {}))
            return
        rows = client.call("GET", f"/resources/endpoints/{endpoint}")
        if not rows:
            raise CommandError(f"no endpoint {endpoint!r}")
        spec = {**rows[0]["spec"], "drained": not undo}
        change = {
            "kind": "endpoints",
            "name": endpoint,
            "spec": spec,
            "expected_version": rows[0]["version"],
        }
        response = client.call("POST", "/apply", {"changes": [change]})
        print(f"accepted: revision {response['revision']}")

    def timeline(
        self,
        url: str = "",
        key_file: str = "",
        request: str = "",
        workspace: str = "",
        endpoint: str = "",
        kind: str = "",
        files: tuple[str, ...] = (),
    ):
        """Show the events of all processes in one order."""
        streams = []
        paths = (files,) if isinstance(files, str) else files
        for path in paths:
            streams.append(msgspec.json.decode(Path(path).read_bytes(), type=list[Event]))
        filters = {
            "request_id": request,
            "workspace": workspace,
            "endpoint": endpoint,
            "kind": kind,
        }
        if url:
            response = OperatorClient(url, key_file).call("GET", "/events", query=filters)
            streams.append(msgspec.convert(response, list[Event]))
        for event in merge_events(streams):
            if matches(event, **filters):
                print(render_event(event))


def _show(value) -> None:
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def main() -> None:
    """Run the command line."""
    import fire

    try:
        fire.Fire(Commands, name="turnward")
    except (TurnwardError, OSError, msgspec.DecodeError) as failure:
        messages = getattr(failure, "faults", None) or [str(failure)]
        for message in messages:
            print(f"turnward: {message}", file=sys.stderr)
        sys.exit(1)
