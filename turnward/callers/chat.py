# SPDX-License-Identifier: BSD-3-Clause
"""Serves ``/v1/chat/completions``, whole and streamed."""

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

#: Attempts at endpoints for one request.
ATTEMPT_LIMIT = 3
#: Times a cut stream is resumed.
RESUME_LIMIT = 3
#: Seconds between questions for a run's account, and how often to ask.
ACCOUNT_PAUSE_S = 0.5
ACCOUNT_TRIES = 20
_OK = 200
_BAD_REQUEST_FROM = 400
#: Tokens that the engine's own markup may add to each message.
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
        """Return the most tokens the answer may have."""
        asked = self.max_completion_tokens or self.max_tokens or model.default_output_tokens
        return min(asked, model.output_limit_tokens)

    def prompt_limit_tokens(self) -> int:
        """Return an upper bound of the prompt's tokens: one a byte, plus markup."""
        return sum(len(message.content.encode()) + MARKUP_TOKENS for message in self.messages)

    def prefix(self) -> str:
        """Return a digest of the part of the prompt that requests share."""
        first = self.messages[0].content.encode()
        return fingerprint(self.model.encode(), first)[:16]


class _Usage(msgspec.Struct):
    total_tokens: int = 0


class _WholeAnswer(msgspec.Struct):
    usage: _Usage | None = None


def parse_chat(body: bytes) -> ChatRequest:
    """Check and return the request.

    Raises
    ------
    RefusedError
        The body is not a chat request.
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
    """Passes one run's answer on to the caller and reads its usage."""

    def __init__(self, answer: ResponseWriterBase, stream: bool, headers: dict[str, str]):
        self._answer = answer
        self.stream = stream
        self._headers = headers
        self._body: list[bytes] = []
        self._splitter = EventSplitter()
        self.relayed_events = 0
        self.whole = False
        self.used_tokens: int | None = None
        self.status = 0

    def head(self, response) -> None:
        self.status = response.status
        if self.stream and response.status == _OK:
            self._answer.head(_OK, {**self._headers, "Content-Type": "text/event-stream"})

    def data(self, data: bytes) -> None:
        if not self.stream or self.status != _OK:
            self._body.append(data)
            return
        for event in self._splitter.feed(data):
            self._event(event)

    def _event(self, event) -> None:
        if event.data == END_MARK:
            self.whole = True
        elif event.usage_tokens is not None:
            self.used_tokens = event.usage_tokens
        else:
            self.relayed_events += 1
        self._answer.write(event.raw)

    def begin_resumed(self) -> None:
        """Drop the half event that was cut."""
        self._splitter = EventSplitter()

    def body(self) -> bytes:
        """Return the whole answer's body and read its usage."""
        body = b"".join(self._body)
        try:
            usage = msgspec.json.decode(body, type=_WholeAnswer).usage
        except (msgspec.DecodeError, msgspec.ValidationError):
            return body
        if usage is not None:
            self.used_tokens = usage.total_tokens
            self.whole = True
        return body


class ChatServer:
    """Runs chat requests.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    desk : RequestCoordinator
        Opens and closes flights.
    """

    def __init__(self, context, coordinator: RequestCoordinator):
        self._context = context
        self._coordinator = coordinator

    async def serve(
        self, workspace: Workspace, request_id: str, body: bytes, answer: ResponseWriterBase
    ) -> None:
        """Serve one request to its end.

        Raises
        ------
        RefusedError
            Nothing of an answer was sent yet.
        """
        self._coordinator.require_serving()
        chat = parse_chat(body)
        model = self._context.config.resources.get("models", chat.model)
        pool = self._pool_of(chat.model)
        if model is None or pool is None:
            raise RefusedError(Refusal(Reason.NOT_FOUND, f"no model {chat.model!r}"))
        flight = ActiveRequest(
            workspace,
            request_id,
            fingerprint(body),
            pool,
            workspace.priority_class,
            repeatable=True,
        )
        reply = self._coordinator.cached_response(flight)
        if reply is not None:
            self._replay(answer, reply)
            return
        self._coordinator.register(flight)
        try:
            await self._fly(flight, chat, model, body, answer)
        finally:
            self._coordinator.close(flight)

    def _pool_of(self, model: str) -> str | None:
        for pool in self._context.config.resources.by_kind["pools"].values():
            if pool.kind == "engine" and pool.model == model:
                return pool.name
        return None

    def _replay(self, answer: ResponseWriterBase, reply: CachedResponse) -> None:
        answer.head(reply.status, {**reply.headers, "Idempotency-Replayed": "true"})
        answer.write(reply.body)
        answer.finish()

    async def _fly(self, flight: ActiveRequest, chat: ChatRequest, model, body, answer) -> None:
        await self._coordinator.admit(flight)
        output_tokens = chat.output_limit_tokens(model)
        await self._coordinator.reserve(flight, chat.prompt_limit_tokens() + output_tokens)
        sent_body = self._engine_body(flight, body, output_tokens)
        try:
            await self._attempts(flight, chat, sent_body, answer)
        except RefusedError as refused:
            if self._coordinator.restore_uncertain(flight):
                await self._end_cut(flight, 0, answer, refused.refusal.detail)
                return
            self._coordinator.discard(flight)
            raise

    def _engine_body(self, flight: ActiveRequest, body: bytes, output_tokens: int) -> bytes:
        fields = msgspec.json.decode(body)
        fields.pop("max_completion_tokens", None)
        fields["max_tokens"] = output_tokens
        classes = self._context.config.resources.by_kind["priority_classes"]
        fields["priority"] = classes[flight.priority_class].rank
        if fields.get("stream"):
            fields["stream_options"] = {"include_usage": True}
        return msgspec.json.encode(fields)

    async def _attempts(
        self, flight: ActiveRequest, chat: ChatRequest, body: bytes, answer
    ) -> None:
        retry_budget = self._context.retry_budget(
            flight.workspace.name, flight.workspace.retry_share
        )
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            last = attempt == ATTEMPT_LIMIT
            self._coordinator.choose(flight, chat.prefix(), chat.prompt_limit_tokens())
            await self._coordinator.hold(flight)
            relay = _Relay(answer, chat.stream, {"X-Request-Id": flight.request_id})
            self._coordinator.sent(flight)
            try:
                await self._run(flight, body, relay, answer)
            except NotRunError as failure:
                self._coordinator.returned(flight, ok=False)
                if not last and retry_budget.take():
                    continue
                raise RefusedError(self._endpoint_refused(failure)) from failure
            except RunUncertainError as failure:
                self._coordinator.returned(flight, ok=False)
                self._coordinator.note_uncertain(flight)
                unseen = relay.relayed_events == 0 and not answer.caller_disconnected
                if unseen and not last and retry_budget.take():
                    await self._cancel(flight)
                    continue
                await self._end_cut(flight, relay.relayed_events, answer, str(failure))
                return
            self._coordinator.returned(flight, ok=True)
            retry_budget.record_success()
            await self._end_whole(flight, relay, answer)
            return

    def _endpoint_refused(self, failure) -> Refusal:
        return Refusal(Reason.ENDPOINT_REFUSED, str(failure), retry_after_s=1)

    async def _run(self, flight: ActiveRequest, body: bytes, relay: _Relay, answer) -> None:
        """Run once, resuming a cut stream where it broke off."""
        url = flight.view.endpoint.url
        call = defer.ensureDeferred(
            self._context.engines.chat(url, flight.run_id, body, relay.head, relay.data)
        )
        answer.on_disconnect = call.cancel
        try:
            await call
        except RunUncertainError:
            if answer.caller_disconnected or relay.relayed_events == 0:
                raise
            await self._resume(flight, relay, answer)
        except defer.CancelledError as failure:
            raise RunUncertainError("the caller has gone") from failure
        if relay.status == _OK and flight.record and relay.stream and not relay.whole:
            await self._resume(flight, relay, answer)

    async def _resume(self, flight: ActiveRequest, relay: _Relay, answer) -> None:
        url = flight.view.endpoint.url
        for _ in range(RESUME_LIMIT):
            relay.begin_resumed()
            self._context.events.emit(
                "request.resumed",
                request_id=flight.request_id,
                endpoint=flight.view.name,
                start=relay.relayed_events,
            )
            call = defer.ensureDeferred(
                self._context.engines.resume(url, flight.run_id, relay.relayed_events, relay.data)
            )
            answer.on_disconnect = call.cancel
            try:
                await call
            except RunUncertainError:
                continue
            except defer.CancelledError as failure:
                raise RunUncertainError("the caller has gone") from failure
            if relay.whole:
                return
        raise RunUncertainError("the stream ended without its end mark")

    async def _cancel(self, flight: ActiveRequest) -> None:
        try:
            await self._context.engines.cancel(flight.view.endpoint.url, flight.run_id)
        except EndpointError:
            self._context.metrics.count("runs.uncancelled")

    async def _end_whole(
        self, flight: ActiveRequest, relay: _Relay, answer: ResponseWriterBase
    ) -> None:
        """End a whole answer, then settle by its usage or else by the engine's account."""
        self._send_end(flight, relay, answer)
        used_tokens = relay.used_tokens
        if used_tokens is None and relay.status == _OK:
            used_tokens = await self._account(flight, relay.relayed_events)
        self._settle(flight, used_tokens or 0)

    def _send_end(self, flight: ActiveRequest, relay: _Relay, answer: ResponseWriterBase) -> None:
        body = relay.body() if not relay.stream or relay.status != _OK else b""
        if relay.stream and relay.status == _OK:
            answer.finish()
            return
        outcome = Outcome.RAN if relay.status < _BAD_REQUEST_FROM else Outcome.NOT_RUN
        headers = {
            "Content-Type": "application/json",
            "X-Outcome": str(outcome),
            "X-Request-Id": flight.request_id,
        }
        if outcome is Outcome.RAN:
            reply = CachedResponse(flight.fingerprint, relay.status, headers, body)
            self._coordinator.cache_response(flight, reply)
        answer.head(relay.status, headers)
        answer.write(body)
        answer.finish()

    async def _end_cut(
        self, flight: ActiveRequest, relayed_events: int, answer: ResponseWriterBase, cause: str
    ) -> None:
        """End an answer that broke off: tell the caller at once, then settle by the account."""
        refusal = Refusal(Reason.ENDPOINT_FAILED, cause, Outcome.UNKNOWN, 1)
        if relayed_events:
            answer.write(b"event: error\ndata: ")
            answer.write(problem_body(refusal, flight.request_id) + b"\n\n")
            answer.abort()
        else:
            send_refusal(answer, refusal, flight.request_id)
        self._settle(flight, await self._account(flight, relayed_events))

    def _settle(self, flight: ActiveRequest, used_tokens: int) -> None:
        """Bill what was used; a run that used nothing leaves the id free for a retry."""
        if used_tokens:
            self._coordinator.bill(flight, used_tokens)
        else:
            self._coordinator.discard(flight)

    async def _account(self, flight: ActiveRequest, relayed_events: int) -> int:
        """Return a run's usage by the engine's account, else what was passed on.

        A run that goes on with nobody to read it is cancelled.
        """
        url = flight.view.endpoint.url
        for _ in range(ACCOUNT_TRIES):
            try:
                run_status = await self._context.engines.run_status(url, flight.run_id)
                if run_status.state in (RunState.RUNNING, RunState.NEVER_SEEN):
                    run_status = await self._context.engines.cancel(url, flight.run_id)
            except EndpointError:
                run_status = None
            if run_status is not None and run_status.state is not RunState.RUNNING:
                return run_status.used_tokens
            await task.deferLater(self._context.reactor, ACCOUNT_PAUSE_S)
        return relayed_events
