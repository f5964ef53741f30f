# SPDX-License-Identifier: BSD-3-Clause
"""A stand-in model engine with an OpenAI-style face."""

import msgspec
from twisted.web import resource, server

from turnward.endpoints import LoadReport, RunState, RunStatus
from turnward.http import abort_request
from turnward.standins.batch import BatchSettings, CacheEvent, EngineBatch, EngineRun

__all__ = ["EngineFaults", "EngineStandIn"]

_IDLE_STEP_S = 0.005


class EngineFaults(msgspec.Struct, kw_only=True):
    """Faults of the engine.

    Attributes
    ----------
    cut_after_tokens : int
        Close each stream after so many tokens; 0 for never.
    load_lag_s : float
        Age of the load that is reported.
    cache_lag_s : float
        Age at which cache events are published.
    cache_gap : int
        Every so-many-th cache event is lost; 0 for none.
    leaving : bool
        Take no new work.
    slowness : float
        Factor on every duration.
    """

    cut_after_tokens: int = 0
    load_lag_s: float = 0.0
    cache_lag_s: float = 0.0
    cache_gap: int = 0
    leaving: bool = False
    slowness: float = 1.0


class _ChatMessage(msgspec.Struct):
    role: str
    content: str


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_ChatMessage]
    max_tokens: int = 64
    stream: bool = False
    priority: int = 0


class _Run:
    """A run with its readers."""

    def __init__(self, engine_run: EngineRun, model: str, stream: bool):
        self.engine_run = engine_run
        self.model = model
        self.stream = stream
        self.readers: list[_Reader] = []

    def words(self, start: int) -> list[str]:
        run = self.engine_run
        return [f"{run.run_id[-6:]}.{n} " for n in range(start, run.produced_tokens)]

    def usage(self) -> dict[str, int]:
        run = self.engine_run
        return {
            "prompt_tokens": run.prompt_tokens,
            "completion_tokens": run.produced_tokens,
            "total_tokens": run.used_tokens,
        }


class _Reader:
    """One connection that reads a run."""

    def __init__(self, request, sent: int):
        self.request = request
        self.sent = sent


class EngineStandIn(resource.Resource):
    """Continuous batching, prefix cache, resume, cancel, lagged load."""

    isLeaf = True

    def __init__(self, reactor, settings: BatchSettings):
        super().__init__()
        self._reactor = reactor
        self.batch = EngineBatch(settings)
        self.faults = EngineFaults()
        self.runs: dict[str, _Run] = {}
        self._reports: list[tuple[float, LoadReport]] = []
        self._last_new_work_s = 0.0
        self._refused = 0
        self._schedule(_IDLE_STEP_S)

    def render_POST(self, request):
        """Answer a run, a cancel or a change of faults."""
        parts = request.path.decode().strip("/").split("/")
        body = request.content.read()
        if parts == ["faults"]:
            self.faults = msgspec.json.decode(body, type=EngineFaults)
            self.batch.settings = msgspec.structs.replace(
                self.batch.settings, slowness=self.faults.slowness
            )
            return b"{}"
        if parts[-1] == "cancel":
            return self._cancel(parts[-2])
        if parts == ["v1", "chat", "completions"]:
            return self._chat(request, body)
        request.setResponseCode(404)
        return b"{}"

    def render_GET(self, request):
        """Answer an account, a resumed stream, the load or the counts."""
        parts = request.path.decode().strip("/").split("/")
        if parts == ["load"]:
            return msgspec.json.encode(self._lagged_load())
        if parts == ["cache-events"]:
            after = int(request.args.get(b"after", [b"0"])[0])
            return msgspec.json.encode(self._cache_events(after))
        if parts == ["counts"]:
            return msgspec.json.encode(self._counts())
        if parts[:2] == ["v1", "runs"] and parts[-1] == "stream":
            return self._resume(request, parts[2])
        if parts[:2] == ["v1", "runs"]:
            return msgspec.json.encode(self._account(parts[2]))
        request.setResponseCode(404)
        return b"{}"

    def _chat(self, request, body: bytes):
        if self.faults.leaving:
            self._refused += 1
            request.setResponseCode(503)
            return b"{}"
        try:
            chat = msgspec.json.decode(body, type=_ChatBody)
        except (msgspec.DecodeError, msgspec.ValidationError) as failure:
            request.setResponseCode(400)
            return msgspec.json.encode({"error": str(failure)})
        run_id = request.getHeader("X-Request-Id") or ""
        if run_id in self.runs:
            request.setResponseCode(409)
            return b"{}"
        words = " ".join(message.content for message in chat.messages).split()
        prefix = chat.messages[0].content if chat.messages[0].role == "system" else ""
        engine_run = EngineRun(run_id, len(words), max(1, chat.max_tokens), prefix, chat.priority)
        run = self.runs[run_id] = _Run(engine_run, chat.model, chat.stream)
        self._last_new_work_s = self._reactor.seconds()
        self.batch.add(engine_run)
        self._add_reader(run, request, 0)
        return server.NOT_DONE_YET

    def _add_reader(self, run: _Run, request, start: int) -> None:
        request.setHeader("X-Load", msgspec.json.encode(self._lagged_load()))
        reader = _Reader(request, start)
        run.readers.append(reader)
        request.notifyFinish().addBoth(lambda _: self._drop(run, reader))
        if run.stream:
            request.setHeader("Content-Type", "text/event-stream")
            request.write(b"")

    def _drop(self, run: _Run, reader: _Reader) -> None:
        if reader in run.readers:
            run.readers.remove(reader)

    def _resume(self, request, run_id: str):
        run = self.runs.get(run_id)
        if run is None:
            request.setResponseCode(404)
            return b"{}"
        run.stream = True
        self._add_reader(run, request, int(request.args.get(b"from", [b"0"])[0]))
        self._feed(run, resumed=True)
        return server.NOT_DONE_YET

    def _cancel(self, run_id: str) -> bytes:
        run = self.runs.get(run_id)
        if run is None:
            # Keeps a request that is still under way from running later.
            run = self.runs[run_id] = _Run(EngineRun(run_id, 0, 1), "", False)
        self.batch.cancel(run.engine_run)
        return msgspec.json.encode(self._account(run_id))

    def _account(self, run_id: str) -> RunStatus:
        run = self.runs.get(run_id)
        if run is None:
            return RunStatus(RunState.NEVER_SEEN)
        engine_run = run.engine_run
        state = RunState.RUNNING
        if engine_run.finished:
            state = RunState.CANCELLED if engine_run.cancelled else RunState.FINISHED
        return RunStatus(state, engine_run.used_tokens, not run.readers)

    def _schedule(self, delay_s: float) -> None:
        self._reactor.callLater(delay_s, self._step)

    def _step(self) -> None:
        now_s = self._reactor.seconds()
        for engine_run in self.batch.step(now_s):
            self._feed(self.runs[engine_run.run_id])
        self._note_load(now_s)
        busy = self.batch.running or self.batch.waiting
        self._schedule(self.batch.step_time_s() if busy else _IDLE_STEP_S)

    def _feed(self, run: _Run, resumed: bool = False) -> None:
        for reader in list(run.readers):
            if run.stream:
                self._feed_stream(run, reader, resumed)
            if run.engine_run.finished and reader in run.readers:
                self._finish(run, reader)

    def _feed_stream(self, run: _Run, reader: _Reader, resumed: bool) -> None:
        for word in run.words(reader.sent):
            chunk = {
                "id": run.engine_run.run_id,
                "object": "chat.completion.chunk",
                "model": run.model,
                "choices": [{"index": 0, "delta": {"content": word}, "finish_reason": None}],
            }
            reader.request.write(b"data: " + msgspec.json.encode(chunk) + b"\n\n")
            reader.sent += 1
            if 0 < self.faults.cut_after_tokens == reader.sent and not resumed:
                abort_request(reader.request)
                return

    def _finish(self, run: _Run, reader: _Reader) -> None:
        run.readers.remove(reader)
        if run.stream:
            self._write_end(run, reader)
        else:
            answer = {
                "id": run.engine_run.run_id,
                "object": "chat.completion",
                "model": run.model,
                "choices": [
                    {
                        "index": 0,
                        "message": {"role": "assistant", "content": "".join(run.words(0))},
                        "finish_reason": "stop",
                    }
                ],
                "usage": run.usage(),
            }
            reader.request.setHeader("Content-Type", "application/json")
            reader.request.write(msgspec.json.encode(answer))
        reader.request.finish()

    def _write_end(self, run: _Run, reader: _Reader) -> None:
        if run.engine_run.cancelled:
            return
        last = {
            "id": run.engine_run.run_id,
            "object": "chat.completion.chunk",
            "model": run.model,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": run.usage(),
        }
        reader.request.write(b"data: " + msgspec.json.encode(last) + b"\n\n")
        reader.request.write(b"data: [DONE]\n\n")

    def _note_load(self, now_s: float) -> None:
        report = LoadReport(len(self.batch.running), len(self.batch.waiting), self.faults.leaving)
        self._reports.append((now_s, report))
        oldest = now_s - self.faults.load_lag_s - 1.0
        while self._reports[0][0] < oldest:
            self._reports.pop(0)

    def _lagged_load(self) -> LoadReport:
        wanted_s = self._reactor.seconds() - self.faults.load_lag_s
        past = [report for seen_s, report in self._reports if seen_s <= wanted_s]
        report = past[-1] if past else LoadReport(0, 0)
        return msgspec.structs.replace(report, leaving=self.faults.leaving)

    def _cache_events(self, after: int) -> list[CacheEvent]:
        """Return published events past a number, late and with gaps."""
        newest_s = self._reactor.seconds() - self.faults.cache_lag_s
        gap = self.faults.cache_gap
        return [
            event
            for event in self.batch.cache_events
            if event.number > after
            and event.at_s <= newest_s
            and not (gap and event.number % gap == 0)
        ]

    def _counts(self) -> dict:
        return {
            "runs": {run_id: run.engine_run.used_tokens for run_id, run in self.runs.items()},
            "cache_hits": self.batch.cache_hits,
            "cache_misses": self.batch.cache_misses,
            "refused": self._refused,
            "last_new_work_s": self._last_new_work_s,
        }
