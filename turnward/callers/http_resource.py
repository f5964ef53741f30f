# SPDX-License-Identifier: BSD-3-Clause
"""The HTTP interface for callers."""

from twisted.internet import defer
from twisted.web import resource, server
from twisted.web.http import HTTPChannel

from turnward.callers.chat import ChatServer
from turnward.callers.problems import Outcome, Reason, Refusal, RefusedError, problem_body
from turnward.callers.request_coordinator import RequestCoordinator
from turnward.callers.response_writers import HttpResponseWriter, send_refusal
from turnward.callers.services import ServiceRequest, ServiceServer
from turnward.events import get_log
from turnward.ids import key_hash, new_id
from turnward.resources import Workspace

__all__ = ["CallerResource", "LimitedSite"]

#: Maximum length of a request id chosen by the caller.
ID_LIMIT = 128


class CallerResource(resource.Resource):
    """Passes HTTP requests to the servers of chats and services, and reports refusals."""

    isLeaf = True

    def __init__(self, context, coordinator: RequestCoordinator):
        super().__init__()
        self._context = context
        self._chat = ChatServer(context, coordinator)
        self._services = ServiceServer(context, coordinator)
        self._log = get_log("callers")
        self._workspaces: dict[str, Workspace] = {}
        self._workspaces_revision = -1

    def render(self, request):
        """Process one request."""
        if request.path == b"/health":
            serving = self._context.machine.state == "serving"
            request.setResponseCode(200 if serving else 503)
            return self._context.machine.state.encode()
        defer.ensureDeferred(self._serve(request))
        return server.NOT_DONE_YET

    async def _serve(self, request) -> None:
        writer = HttpResponseWriter(request)
        request_id = ""
        try:
            request_id = _request_id(request)
            workspace = self._authenticate(request)
            await self._dispatch(request, workspace, request_id, writer)
        except RefusedError as refused:
            self._refuse(refused.refusal, request_id, writer)
        except Exception:
            self._log.exception(
                "Request failed with an unexpected exception.", request_id=request_id
            )
            failure = Refusal(Reason.ENDPOINT_FAILED, "internal error", Outcome.UNKNOWN)
            send_refusal(writer, failure, request_id)

    def _refuse(self, refusal: Refusal, request_id: str, writer: HttpResponseWriter) -> None:
        self._context.metrics.count(f"answers.{refusal.reason}")
        self._context.events.emit(
            "request.answered",
            request_id=request_id,
            reason=str(refusal.reason),
            outcome=str(refusal.outcome),
        )
        send_refusal(writer, refusal, request_id)

    async def _dispatch(self, request, workspace, request_id: str, writer) -> None:
        path = request.path.decode("latin-1")
        body = request.content.read()
        if path == "/v1/chat/completions" and request.method == b"POST":
            await self._chat.serve(workspace, request_id, body, writer)
        elif path.startswith("/services/"):
            call = _service_request(request, body)
            await self._services.serve(workspace, request_id, call, writer)
        else:
            raise RefusedError(Refusal(Reason.NOT_FOUND, f"no such path: {path}"))

    def _authenticate(self, request) -> Workspace:
        header = request.getHeader("Authorization") or ""
        scheme, _, key = header.partition(" ")
        workspace = None
        if scheme.lower() == "bearer" and key:
            workspace = self._by_key().get(key_hash(key.strip()))
        if workspace is None:
            raise RefusedError(Refusal(Reason.UNAUTHORIZED, "expected a workspace's bearer key"))
        return workspace

    def _by_key(self) -> dict[str, Workspace]:
        config = self._context.config
        if config.revision != self._workspaces_revision:
            workspaces = config.resources.by_kind["workspaces"].values()
            self._workspaces = {workspace.key_sha256: workspace for workspace in workspaces}
            self._workspaces_revision = config.revision
        return self._workspaces


def _request_id(request) -> str:
    header_value = request.getHeader("Idempotency-Key")
    if header_value is None:
        return new_id()
    request_id = header_value.strip().strip('"')
    if not request_id or len(request_id) > ID_LIMIT or not request_id.isprintable():
        raise RefusedError(
            Refusal(Reason.BAD_REQUEST, f"Idempotency-Key: expected 1 to {ID_LIMIT} characters")
        )
    if "/" in request_id or "~" in request_id:
        raise RefusedError(
            Refusal(Reason.BAD_REQUEST, "Idempotency-Key: expected no '/' and no '~'")
        )
    return request_id


def _service_request(request, body: bytes) -> ServiceRequest:
    _, _, remainder = request.uri.decode("latin-1").partition("/services/")
    service, _, path = remainder.partition("/")
    return ServiceRequest(
        service,
        request.method.decode("latin-1"),
        "/" + path,
        request.getHeader("Content-Type") or "application/octet-stream",
        body,
    )


class _LimitedRequest(server.Request):
    """Refuses a body above the limit without reading all of it."""

    limit_bytes = 1_000_000
    _received_bytes = 0

    def gotLength(self, length):
        """Process the declared length of the body."""
        super().gotLength(length)
        if length is not None and length > self.limit_bytes:
            self._refuse_too_large()

    def handleContentChunk(self, data):
        """Process a part of the body."""
        self._received_bytes += len(data)
        if self._received_bytes > self.limit_bytes:
            self._refuse_too_large()
            return
        super().handleContentChunk(data)

    def _refuse_too_large(self) -> None:
        refusal = Refusal(Reason.TOO_LARGE, f"the body exceeds {self.limit_bytes} bytes")
        body = problem_body(refusal, "")
        head = (
            f"HTTP/1.1 {refusal.status} Too Large\r\n"
            "Content-Type: application/problem+json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.channel.transport.write(head.encode() + body)
        self.channel.transport.loseConnection()


class LimitedSite(server.Site):
    """A site with limits on connections, body sizes and idle times.

    Parameters
    ----------
    root : Resource
        The resource to serve.
    settings : RouterSettings
        Contains the limits.
    """

    def __init__(self, root, settings):
        super().__init__(root, timeout=settings.idle_timeout_s)
        self.displayTracebacks = False
        self._limit = settings.connection_limit
        self._open = 0
        request_type = type("_Request", (_LimitedRequest,), {})
        request_type.limit_bytes = settings.request_limit_bytes
        self.requestFactory = request_type

    def log(self, request):
        """Write no access log; requests are recorded as events."""

    def buildProtocol(self, addr):
        """Return the protocol of a new connection, or None above the limit."""
        if self._open >= self._limit:
            return None
        channel = super().buildProtocol(addr)
        self._open += 1
        inner: HTTPChannel = channel
        original_connection_lost = inner.connectionLost

        def connection_lost(reason):
            self._open -= 1
            original_connection_lost(reason)

        inner.connectionLost = connection_lost
        return channel
