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

_WATCH_PAUSE_S = 1.0


class StandInCommands:
    """Stand-ins for the platform and for endpoints; for demos and tests only."""

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
        """Run one gateway with a settings file; ``store_address`` is the platform's."""
        from turnward.cli.serving import serve_standalone_gateway

        serve_standalone_gateway(str(settings))

    def gateway_apply(self, url: str, *files: str):
        """Write gateway resources to the platform's table.

        Parameters
        ----------
        url : str
            Base URL of the platform.
        files : str
            Resource files; all are checked before any is written.
        """
        from turnward.cli.serving import write_gateway_rows
        from turnward.gateway.standalone import load_gateway_resources

        if not files:
            raise CommandError("expected one or more files")
        resources = [load_gateway_resources(str(name)) for name in files]
        rows = [row for resource in resources for row in resource.rows()]
        write_gateway_rows(url, rows)
        print(f"accepted: {len(rows)} rows")

    def check(self, *files: str):
        """Check settings and resource files; name every fault."""
        from turnward.gateway.settings import load_gateway_settings
        from turnward.gateway.standalone import load_gateway_resources

        if not files:
            raise CommandError("expected one or more files")
        for name in files:
            keys = set(read_toml(name))
            if "configuration" in keys:
                load_gateway_resources(name)
            elif "store_address" in keys:
                load_gateway_settings(name)
            elif keys & set(KINDS):
                load_resources(name)
            else:
                load_settings(name)
            print(f"{name}: good")

    def apply(self, url: str, key_file: str, *files: str, expect: int | None = None):
        """Apply resource files through a router.

        Parameters
        ----------
        url : str
            Base URL of any router's operators' face.
        key_file : str
            File that holds the operators' key.
        files : str
            Resource files.
        expect : int, optional
            Version that a single resource must have.
        """
        changes = []
        for name in files:
            resources = load_resources(str(name))
            for kind, named in resources.by_kind.items():
                for resource in named.values():
                    change = {
                        "kind": kind,
                        "name": resource.name,
                        "spec": msgspec.to_builtins(resource),
                        "expected_version": expect,
                    }
                    changes.append(change)
        answer = OperatorClient(url, key_file).call("POST", "/apply", {"changes": changes})
        print(f"accepted: {len(changes)} resources, revision {answer['revision']}")

    def remove(self, url: str, key_file: str, kind: str, name: str, expect: int | None = None):
        """Remove a resource."""
        change = {"kind": kind, "name": name, "spec": None, "expected_version": expect}
        answer = OperatorClient(url, key_file).call("POST", "/apply", {"changes": [change]})
        print(f"removed: {kind}/{name}, revision {answer['revision']}")

    def get(self, url: str, key_file: str, kind: str = "fleet", name: str = ""):
        """Show resources with their state, or the fleet."""
        client = OperatorClient(url, key_file)
        if kind == "fleet":
            _show(client.call("GET", "/fleet"))
            return
        if kind not in KINDS:
            raise CommandError(f"kind: expected fleet or one of {', '.join(KINDS)}, found {kind}")
        path = f"/resources/{kind}/{name}" if name else f"/resources/{kind}"
        _show(client.call("GET", path))

    def story(self, request_id: str, *files: str, around_s: float = 3.0):
        """Tell what happened to one request, from gateways' captured lines.

        Parameters
        ----------
        request_id : str
            The request's id, as the caller has it.
        files : str
            Files with the lines of one process or of several.
        around_s : float
            Seconds before and after in which changes of belief are shown too.
        """
        from turnward.events.request_history import collect_history, read_lines, render_line

        if not files:
            raise CommandError("expected one or more files")
        lines = [line for name in files for line in read_lines(Path(str(name)))]
        story = collect_history(lines, str(request_id), around_s)
        if not story:
            raise CommandError(f"no line names request {request_id}")
        for line in story:
            print(render_line(line))

    def watch(self, url: str, key_file: str, kind: str = "fleet", name: str = "", times: int = 0):
        """Show a state each time it changes; ``times`` above 0 ends after so many looks."""
        client = OperatorClient(url, key_file)
        path = "/fleet" if kind == "fleet" else f"/resources/{kind}/{name}".rstrip("/")
        last, looks = None, 0
        while times == 0 or looks < times:
            seen = client.call("GET", path)
            if seen != last:
                _show(seen)
            last, looks = seen, looks + 1
            time.sleep(_WATCH_PAUSE_S)

    def drain(self, url: str, key_file: str, endpoint: str = "", undo: bool = False):
        """Drain an endpoint, or without one the router that is asked."""
        client = OperatorClient(url, key_file)
        if not endpoint:
            _show(client.call("POST", "/leave", {}))
            return
        found = client.call("GET", f"/resources/endpoints/{endpoint}")
        if not found:
            raise CommandError(f"no endpoint {endpoint!r}")
        spec = {**found[0]["spec"], "drained": not undo}
        change = {
            "kind": "endpoints",
            "name": endpoint,
            "spec": spec,
            "expected_version": found[0]["version"],
        }
        answer = client.call("POST", "/apply", {"changes": [change]})
        print(f"accepted: revision {answer['revision']}")

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
        """Show what happened over all processes, in one order."""
        streams = []
        names = (files,) if isinstance(files, str) else files
        for name in names:
            streams.append(msgspec.json.decode(Path(name).read_bytes(), type=list[Event]))
        wanted = {
            "request_id": request,
            "workspace": workspace,
            "endpoint": endpoint,
            "kind": kind,
        }
        if url:
            answer = OperatorClient(url, key_file).call("GET", "/events", query=wanted)
            streams.append(msgspec.convert(answer, list[Event]))
        for event in merge_events(streams):
            if matches(event, **wanted):
                print(render_event(event))


def _show(value) -> None:
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def main() -> None:
    """Run the command line."""
    import fire

    try:
        fire.Fire(Commands, name="turnward")
    except (TurnwardError, OSError, msgspec.DecodeError) as failure:
        faults = getattr(failure, "faults", None) or [str(failure)]
        for fault in faults:
            print(f"turnward: {fault}", file=sys.stderr)
        sys.exit(1)
