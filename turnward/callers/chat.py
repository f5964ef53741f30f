# SPDX-License-Identifier: BSD-3-Clause
"""Serves ``/v1/chat/completions``, with streamed responses or without."""

import msgspec
from twisted.internet import defer, task

from turnward.callers.active_request import ActiveRequest
from turnward.callers.problems import Outcome, Reason, Refusal, RefusedError, problem_body
from turnward.callers.request_coordinator import RequestCoordinator
from turnward.callers.response_cache import CachedResponse
from turnward.callers.response_writers import ResponseWriterBase, send_refusal
from turnward.callers.sse import END_MARK, EventSplitter
from turnward.endpoints import EndpointError, NotRunError, RunState, RunUncertainError
from turnward.hashing import fingerprint
from turnward.resources import Model, Workspace

__all__ = ["ChatRequest", "ChatServer", "parse_chat"]

#: Maximum number of attempts at endpoints for one request.
ATTEMPT_LIMIT = 3
#: Maximum number of times an interrupted stream is resumed.
RESUME_LIMIT = 3
#: Interval and maximum number of polls for the usage of a run.
ACCOUNT_POLL_INTERVAL_S = 0.5
ACCOUNT_POLL_LIMIT = 20
_OK = 200
_BAD_REQUEST_FROM = 400
#: Maximum number of tokens that the engine's own markup adds to each message.
MARKUP_TOKENS = 8


class ChatMessage(msgspec.Struct):
    """One message of the conversation."""

    role: str
    content: str


class ChatRequest(msgspec.Struct):
    """The parts of the request that the router reads."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False

    def output_limit_tokens(self, model: Model) -> int:
        """Return the maximum number of output tokens."""
        requested = self.max_completion_tokens or self.max_tokens or model.default_output_tokens
        return min(requested, model.output_limit_tokens)

    def prompt_limit_tokens(self) -> int:
        """Return an upper bound of the prompt's tokens: one for each byte, plus markup."""
        return sum(len(message.content.encode()) + MARKUP_TOKENS for message in self.messages)

    def prefix(self) -> str:
        """Return a digest of model and first message, which other requests may share."""
        first_message = self.messages[0].content.encode()
        return fingerprint(self.model.encode(), first_message)[:16]


class _Usage(msgspec.Struct):
    total_tokens: int = 0


class _CompletionBody(msgspec.Struct):
    usage: _Usage | None = None


def parse_chat(body: bytes) -> ChatRequest:
    """Decode and validate a request.

    Raises
    ------
    RefusedError
        The body is not a valid chat request.
    """
    try:
        request = msgspec.json.decode(body, type=ChatRequest)
    except (msgspec.DecodeError, msgspec.ValidationError, UnicodeDecodeError) as failure:
        raise RefusedError(Refusal(Reason.BAD_REQUEST, str(failure))) from failure
    if not request.messages:
        raise RefusedError(Refusal(Reason.BAD_REQUEST, "messages: expected one or more"))
    for limit in (request.max_tokens, request.max_completion_tokens):
        if limit is not None and limit < 1:
            raise RefusedError(Refusal(Reason.BAD_REQUEST, "max_tokens: expected 1 or more"))
    return request


class _Relay:
    """Forwards the response of one run to the caller and reads its usage."""

    def __init__(self, writer: ResponseWriterBase, stream: bool, headers: dict[str, str]):
        self._writer = writer
        self.stream = stream
        self._headers = headers
        self._body: list[bytes] = []
        self._splitter = EventSplitter()
        self.relayed_events = 0
        self.complete = False
        self.used_tokens: int | None = None
        self.status = 0

    def head(self, response) -> None:
        self.status = response.status
        if self.stream and response.status == _OK:
            self._writer.head(_OK, {**self._headers, "Content-Type": "text/event-stream"})

    def data(self, data: bytes) -> None:
        if not self.stream or self.status != _OK:
            self._body.append(data)
            return
        for event in self._splitter.feed(data):
            self._event(event)

    def _event(self, event) -> None:
        if event.data == END_MARK:
            self.complete = True
        elif event.usage_tokens is not None:
            self.used_tokens = event.usage_tokens
        else:
            self.relayed_events += 1
        self._writer.write(event.raw)

    def discard_partial_event(self) -> None:
        """Discard the partial event at which the stream was interrupted."""
        self._splitter = EventSplitter()

    def body(self) -> bytes:
        """Return the body of a complete response and read its usage."""
        body = b"".join(self._body)
        try:
            usage = msgspec.json.decode(body, type=_CompletionBody).usage
        except (msgspec.DecodeError, msgspec.ValidationError):
            return body
        if usage is not None:
            self.used_tokens = usage.total_tokens
            self.complete = True
        return body


class ChatServer:
    """Processes chat requests.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    coordinator : RequestCoordinator
        Reserves tokens, replicates run records and bills.
    """

    def __init__(self, context, coordinator: RequestCoordinator):
        self._context = context
        self._coordinator = coordinator

    async def serve(
        self, workspace: Workspace, request_id: str, body: bytes, writer: ResponseWriterBase
    ) -> None:
        """Process one request.

        Raises
        ------
        RefusedError
            The request was refused, and no part of a response was sent.
        """
        self._coordinator.require_serving()
        chat = parse_chat(body)
        model = self._context.config.resources.get("models", chat.model)
        pool = self._pool_of(chat.model)
        if model is None or pool is None:
            raise RefusedError(Refusal(Reason.NOT_FOUND, f"no model {chat.model!r}"))
        active = ActiveRequest(
            workspace,
            request_id,
            fingerprint(body),
            pool,
            workspace.priority_class,
            repeatable=True,
        )
        cached = self._coordinator.cached_response(active)
        if cached is not None:
            self._replay(writer, cached)
            return
        self._coordinator.register(active)
        try:
            await self._process(active, chat, model, body, writer)
        finally:
            self._coordinator.close(active)

    def _pool_of(self, model: str) -> str | None:
        for pool in self._context.config.resources.by_kind["pools"].values():
            if pool.kind == "engine" and pool.model == model:
                return pool.name
        return None

    def _replay(self, writer: ResponseWriterBase, cached: CachedResponse) -> None:
        writer.head(cached.status, {**cached.headers, "Idempotency-Replayed": "true"})
        writer.write(cached.body)
        writer.finish()

    async def _process(self, active: ActiveRequest, chat: ChatRequest, model, body, writer) -> None:
        await self._coordinator.admit(active)
        output_tokens = chat.output_limit_tokens(model)
        await self._coordinator.reserve(active, chat.prompt_limit_tokens() + output_tokens)
        engine_body = self._engine_body(active, body, output_tokens)
        try:
            await self._run_attempts(active, chat, engine_body, writer)
        except RefusedError as refused:
            if self._coordinator.restore_uncertain(active):
                await self._finish_incomplete(active, 0, writer, refused.refusal.detail)
                return
            self._coordinator.discard(active)
            raise

    def _engine_body(self, active: ActiveRequest, body: bytes, output_tokens: int) -> bytes:
        fields = msgspec.json.decode(body)
        fields.pop("max_completion_tokens", None)
        fields["max_tokens"] = output_tokens
        classes = self._context.config.resources.by_kind["priority_classes"]
        fields["priority"] = classes[active.priority_class].rank
        if fields.get("stream"):
            fields["stream_options"] = {"include_usage": True}
        return msgspec.json.encode(fields)

    async def _run_attempts(
        self, active: ActiveRequest, chat: ChatRequest, body: bytes, writer
    ) -> None:
        retry_budget = self._context.retry_budget(
            active.workspace.name, active.workspace.retry_share
        )
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            last = attempt == ATTEMPT_LIMIT
            self._coordinator.choose(active, chat.prefix(), chat.prompt_limit_tokens())
            await self._coordinator.replicate_record(active)
            relay = _Relay(writer, chat.stream, {"X-Request-Id": active.request_id})
            self._coordinator.mark_sent(active)
            try:
                await self._run(active, body, relay, writer)
            except NotRunError as failure:
                self._coordinator.mark_finished(active, ok=False)
                if not last and retry_budget.take():
                    continue
                raise RefusedError(self._endpoint_refusal(failure)) from failure
            except RunUncertainError as failure:
                self._coordinator.mark_finished(active, ok=False)
                self._coordinator.mark_uncertain(active)
                retryable = relay.relayed_events == 0 and not writer.caller_disconnected
                if retryable and not last and retry_budget.take():
                    await self._cancel(active)
                    continue
                await self._finish_incomplete(active, relay.relayed_events, writer, str(failure))
                return
            self._coordinator.mark_finished(active, ok=True)
            retry_budget.record_success()
            await self._finish_complete(active, relay, writer)
            return

    def _endpoint_refusal(self, failure) -> Refusal:
        return Refusal(Reason.ENDPOINT_REFUSED, str(failure), retry_after_s=1)

    async def _run(self, active: ActiveRequest, body: bytes, relay: _Relay, writer) -> None:
        """Run once, resuming an interrupted stream."""
        url = active.view.endpoint.url
        call = defer.ensureDeferred(
            self._context.engines.chat(url, active.run_id, body, relay.head, relay.data)
        )
        writer.on_disconnect = call.cancel
        try:
            await call
        except RunUncertainError:
            if writer.caller_disconnected or relay.relayed_events == 0:
                raise
            await self._resume(active, relay, writer)
        except defer.CancelledError as failure:
            raise RunUncertainError("the caller disconnected") from failure
        if relay.status == _OK and active.record and relay.stream and not relay.complete:
            await self._resume(active, relay, writer)

    async def _resume(self, active: ActiveRequest, relay: _Relay, writer) -> None:
        url = active.view.endpoint.url
        for _ in range(RESUME_LIMIT):
            relay.discard_partial_event()
            self._context.events.emit(
                "request.resumed",
                request_id=active.request_id,
                endpoint=active.view.name,
                start=relay.relayed_events,
            )
            call = defer.ensureDeferred(
                self._context.engines.resume(url, active.run_id, relay.relayed_events, relay.data)
            )
            writer.on_disconnect = call.cancel
            try:
                await call
            except RunUncertainError:
                continue
            except defer.CancelledError as failure:
                raise RunUncertainError("the caller disconnected") from failure
            if relay.complete:
                return
        raise RunUncertainError("the stream ended without its end marker")

    async def _cancel(self, active: ActiveRequest) -> None:
        try:
            await self._context.engines.cancel(active.view.endpoint.url, active.run_id)
        except EndpointError:
            self._context.metrics.count("runs.uncancelled")

    async def _finish_complete(
        self, active: ActiveRequest, relay: _Relay, writer: ResponseWriterBase
    ) -> None:
        """Finish a complete response, then settle by its usage or else by the engine's report."""
        self._finish_response(active, relay, writer)
        used_tokens = relay.used_tokens
        if used_tokens is None and relay.status == _OK:
            used_tokens = await self._account(active, relay.relayed_events)
        self._settle(active, used_tokens or 0)

    def _finish_response(
        self, active: ActiveRequest, relay: _Relay, writer: ResponseWriterBase
    ) -> None:
        body = relay.body() if not relay.stream or relay.status != _OK else b""
        if relay.stream and relay.status == _OK:
            writer.finish()
            return
        outcome = Outcome.RAN if relay.status < _BAD_REQUEST_FROM else Outcome.NOT_RUN
        headers = {
            "Content-Type": "application/json",
            "X-Outcome": str(outcome),
            "X-Request-Id": active.request_id,
        }
        if outcome is Outcome.RAN:
            cached = CachedResponse(active.fingerprint, relay.status, headers, body)
            self._coordinator.cache_response(active, cached)
        writer.head(relay.status, headers)
        writer.write(body)
        writer.finish()

    async def _finish_incomplete(
        self, active: ActiveRequest, relayed_events: int, writer: ResponseWriterBase, cause: str
    ) -> None:
        """Tell the caller that the response is incomplete, then settle by the engine's report."""
        refusal = Refusal(Reason.ENDPOINT_FAILED, cause, Outcome.UNKNOWN, 1)
        if relayed_events:
            writer.write(b"event: error\ndata: ")
            writer.write(problem_body(refusal, active.request_id) + b"\n\n")
            writer.abort()
        else:
            send_refusal(writer, refusal, active.request_id)
        self._settle(active, await self._account(active, relayed_events))

    def _settle(self, active: ActiveRequest, used_tokens: int) -> None:
        """Bill the used tokens; discard a run that used none, so that its id may be retried."""
        if used_tokens:
            self._coordinator.bill(active, used_tokens)
        else:
            self._coordinator.discard(active)

    async def _account(self, active: ActiveRequest, relayed_events: int) -> int:
        """Return the usage that the engine reports, or else the number of relayed events.

        A run that is still running, or that the engine has not seen yet, is cancelled.
        """
        url = active.view.endpoint.url
        for _ in range(ACCOUNT_POLL_LIMIT):
            try:
                run_status = await self._context.engines.run_status(url, active.run_id)
                if run_status.state in (RunState.RUNNING, RunState.NEVER_SEEN):
                    run_status = await self._context.engines.cancel(url, active.run_id)
            except EndpointError:
                run_status = None
            if run_status is not None and run_status.state is not RunState.RUNNING:
                return run_status.used_tokens
            await task.deferLater(self._context.reactor, ACCOUNT_POLL_INTERVAL_S)
        return relayed_events
