# SPDX-License-Identifier: BSD-3-Clause
"""The HTTP API for operators."""

import msgspec
from twisted.internet import defer
from twisted.web import resource, server

from turnward.errors import TurnwardError
from turnward.events import Event, get_log, matches, merge_events
from turnward.ids import key_hash
from turnward.peers.errors import PeerError
from turnward.peers.messages import StatusReply, StatusRequest
from turnward.resources import KINDS, Change, ConfigLog, VersionConflictError
from turnward.router.event_task import EVENTS_PREFIX
from turnward.settings import SettingsError
from turnward.store import PlatformError

__all__ = ["ApplyRequest", "OperatorResource"]

_CONFLICT = 409
_BAD_REQUEST = 400
_UNAVAILABLE = 503


class ApplyRequest(msgspec.Struct, frozen=True):
    """Request body of ``POST /apply``: changes to check and apply together."""

    changes: list[Change]


class OperatorResource(resource.Resource):
    """Serves resources, the fleet's state and events to operators.

    Parameters
    ----------
    context : RouterContext
        The router's shared components.
    states : StateReader
        Collects the states of resources and routers.
    on_shutdown : callable
        Starts this router's planned shutdown.
    """

    isLeaf = True

    def __init__(self, context, states, on_shutdown):
        super().__init__()
        self._context = context
        self._states = states
        self._on_shutdown = on_shutdown
        self._config_log = ConfigLog(context.table)
        self._log = get_log("operators")

    def render(self, request):
        """Serve one request."""
        defer.ensureDeferred(self._serve(request))
        return server.NOT_DONE_YET

    async def _serve(self, request) -> None:
        try:
            status, body = await self._dispatch(request)
        except SettingsError as failure:
            status, body = _BAD_REQUEST, {"faults": failure.faults}
        except VersionConflictError as failure:
            status, body = _CONFLICT, {"conflict": str(failure)}
        except PlatformError as failure:
            status, body = _UNAVAILABLE, {"unavailable": str(failure)}
        except TurnwardError as failure:
            status, body = _BAD_REQUEST, {"faults": [str(failure)]}
        except (msgspec.DecodeError, msgspec.ValidationError) as failure:
            status, body = _BAD_REQUEST, {"faults": [str(failure)]}
        except Exception:
            self._log.exception("An operator's request failed.")
            status, body = 500, {"faults": ["internal failure"]}
        if request._disconnected:
            return
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        request.write(msgspec.json.encode(body))
        request.finish()

    async def _dispatch(self, request) -> tuple[int, object]:
        parts = request.path.decode("latin-1").strip("/").split("/")
        if parts == ["health"]:
            return 200, {"state": self._context.machine.state}
        if not self._is_authorized(request):
            return 401, {"faults": ["expected the operators' bearer key"]}
        route = (request.method.decode("latin-1"), parts[0])
        if route == ("POST", "apply"):
            return await self._apply(request)
        if route == ("POST", "leave"):
            self._on_shutdown()
            return 200, {"state": self._context.machine.state}
        if route == ("GET", "resources") and 2 <= len(parts) <= 3 and parts[1] in KINDS:
            return 200, await self._read_resources(parts[1], parts[2] if len(parts) == 3 else "")
        if route == ("GET", "fleet"):
            return 200, await self._states.fleet()
        if route == ("GET", "events"):
            return 200, await self._events(request)
        return 404, {"faults": [f"no such address: {request.path.decode('latin-1')}"]}

    def _is_authorized(self, request) -> bool:
        header = request.getHeader("Authorization") or ""
        key = header.removeprefix("Bearer ").strip()
        return key_hash(key) == self._context.settings.operator_key_sha256

    async def _apply(self, request) -> tuple[int, object]:
        body = msgspec.json.decode(request.content.read(), type=ApplyRequest)
        unknown = [change.kind for change in body.changes if change.kind not in KINDS]
        if unknown:
            raise SettingsError([f"kind: expected one of {', '.join(KINDS)}, found {unknown[0]}"])
        if not body.changes:
            raise SettingsError(["changes: expected one or more"])
        wall_s = self._context.clock.wall_s()
        revision = await self._config_log.apply(body.changes, wall_s)
        self._context.events.emit("config.accepted", revision=revision, changes=len(body.changes))
        return 200, {"revision": revision}

    async def _read_resources(self, kind: str, name: str) -> list[dict]:
        rows = await self._config_log.read_kind(kind, name)
        for row in rows:
            row["state"] = await self._states.resource_state(kind, row["name"], row["version"])
        return rows

    async def _events(self, request) -> list:
        filters = {
            name: request.args.get(name.encode(), [b""])[0].decode("latin-1")
            for name in ("request_id", "workspace", "endpoint", "kind")
        }
        streams = [self._context.events.recent()]
        streams.extend(await self._peer_events(filters))
        streams.append(await self._stored_events())
        merged = merge_events(streams)
        return [event for event in merged if matches(event, **filters)]

    async def _peer_events(self, filters: dict[str, str]) -> list[list[Event]]:
        streams = []
        for row in self._context.live_rows():
            if row.incarnation == self._context.events.incarnation:
                continue
            message = StatusRequest("events/" + msgspec.json.encode(filters).decode())
            try:
                reply = await self._context.peers.ask(row.peers_address, row.incarnation, message)
            except PeerError:
                continue
            if isinstance(reply, StatusReply):
                streams.append(msgspec.json.decode(reply.body, type=list[Event]))
        return streams

    async def _stored_events(self) -> list[Event]:
        events = []
        try:
            for name in await self._context.objects.names(EVENTS_PREFIX):
                body = await self._context.objects.get(name)
                events.extend(msgspec.json.decode(body or b"[]", type=list[Event]))
        except PlatformError:
            self._log.info("Stored events can't be read now.")
        return events
