# SPDX-License-Identifier: BSD-3-Clause
"""How a stand-in engine batches: pure decisions under any clock, shared with replay.

Requests enter a bounded batch in order of priority; each step gives each running
request one token, and takes longer the fuller the batch is. Uncached prompt
tokens are read before the first token.
"""

from collections import OrderedDict

import msgspec

__all__ = ["BatchSettings", "CacheEvent", "EngineBatch", "EngineRun"]

#: Cache events kept for readers.
KEPT_CACHE_EVENTS = 1_000


class BatchSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Speed and size of an engine.

    Attributes
    ----------
    slots : int
        Largest batch.
    step_s : float
        Time of a step with one request running.
    step_per_run_s : float
        Further time per further running request.
    prefill_s_per_token : float
        Time to read one uncached prompt token.
    cache_prefixes : int
        Prompt prefixes kept; the least recently used goes first.
    """

    slots: int = 8
    step_s: float = 0.01
    step_per_run_s: float = 0.001
    prefill_s_per_token: float = 0.0005
    cache_prefixes: int = 16
    slowness: float = 1.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prompt prefix was stored in the cache or evicted from it.

    Attributes
    ----------
    number : int
        Rises by one with each event, so that a reader sees gaps.
    """

    number: int
    kind: str
    prefix: str
    at_s: float


class EngineRun:
    """One request in an engine."""

    __slots__ = (
        "cancelled",
        "first_token_s",
        "output_tokens",
        "prefill_left_s",
        "prefix",
        "priority",
        "produced_tokens",
        "prompt_tokens",
        "run_id",
    )

    def __init__(self, run_id, prompt_tokens, output_tokens, prefix="", priority=0):
        self.run_id = run_id
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prefix = prefix
        self.priority = priority
        self.produced_tokens = 0
        self.prefill_left_s = 0.0
        self.first_token_s: float | None = None
        self.cancelled = False

    @property
    def finished(self) -> bool:
        """Whether all tokens are made or the run was cancelled."""
        return self.cancelled or self.produced_tokens >= self.output_tokens

    @property
    def used_tokens(self) -> int:
        """Prompt and output tokens so far; nothing before the prompt was read."""
        return self.prompt_tokens + self.produced_tokens if self.produced_tokens else 0


class EngineBatch:
    """The runs of one engine and the cache of prompt prefixes."""

    def __init__(self, settings: BatchSettings):
        self.settings = settings
        self.running: list[EngineRun] = []
        self.waiting: list[EngineRun] = []
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.cache_hits = 0
        self.cache_misses = 0
        self.cache_events: list[CacheEvent] = []
        self._event_number = 0

    def add(self, run: EngineRun) -> None:
        """Queue a run; lower priority numbers go first."""
        self.waiting.append(run)
        self.waiting.sort(key=lambda waiting: waiting.priority)

    def step_time_s(self) -> float:
        """Return how long the next step takes."""
        more = max(0, len(self.running) - 1)
        settings = self.settings
        return (settings.step_s + more * settings.step_per_run_s) * settings.slowness

    def step(self, now_s: float) -> list[EngineRun]:
        """Make one step that ends at ``now_s``; return runs that got a token or ended."""
        self._admit(now_s)
        duration_s = self.step_time_s()
        touched = []
        for run in self.running:
            if run.prefill_left_s > 0 and not run.cancelled:
                run.prefill_left_s -= duration_s
                continue
            if not run.finished:
                run.produced_tokens += 1
                if run.first_token_s is None:
                    run.first_token_s = now_s
            touched.append(run)
        self.running = [run for run in self.running if not run.finished]
        return touched

    def cancel(self, run: EngineRun) -> None:
        """Stop a run."""
        run.cancelled = True
        if run in self.waiting:
            self.waiting.remove(run)

    def _admit(self, now_s: float) -> None:
        while self.waiting and len(self.running) < self.settings.slots:
            run = self.waiting.pop(0)
            run.prefill_left_s = self._prefill_s(run, now_s)
            self.running.append(run)

    def _prefill_s(self, run: EngineRun, now_s: float) -> float:
        if run.prefix and run.prefix in self.cache:
            self.cache.move_to_end(run.prefix)
            self.cache_hits += 1
            return 0.0
        self.cache_misses += 1
        if run.prefix:
            self.cache[run.prefix] = None
            self._note_cache("stored", run.prefix, now_s)
            while len(self.cache) > self.settings.cache_prefixes:
                evicted, _ = self.cache.popitem(last=False)
                self._note_cache("evicted", evicted, now_s)
        settings = self.settings
        return run.prompt_tokens * settings.prefill_s_per_token * settings.slowness

    def _note_cache(self, kind: str, prefix: str, now_s: float) -> None:
        self._event_number += 1
        self.cache_events.append(CacheEvent(self._event_number, kind, prefix, now_s))
        del self.cache_events[:-KEPT_CACHE_EVENTS]
