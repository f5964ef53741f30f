# SPDX-License-Identifier: BSD-3-Clause
"""Replays a trace through the router's decision code under a virtual clock."""

import heapq
import itertools
from collections import Counter

import msgspec
from expression import Result
from hdrh.histogram import HdrHistogram

from turnward.endpoints import LoadReport
from turnward.replay.trace import Trace, TraceEngine, TraceRequest
from turnward.resources import Endpoint, PriorityClass
from turnward.routing import (
    AdmissionQueue,
    EndpointViews,
    PolicyBase,
    RetryBudget,
    RouteRequest,
    admission_slots,
    low_class_slots,
)
from turnward.standins import EngineBatch, EngineRun

__all__ = ["ClassReport", "ReplayOptions", "ReplayReport", "replay"]

POOL = "engines"
REPORT_PERIOD_S = 0.5
_MICROSECONDS = 1_000_000
_HIGHEST_US = 600 * _MICROSECONDS
_NO_LIMIT = 10**9
_PERCENTILES = (50, 95, 99)


class ReplayOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What is changed about a run.

    Attributes
    ----------
    admission : bool
        Queue by priority class; without it every request goes out at once.
    slow_engine : str
        Engine that is ``slowness`` times slower.
    outage_s : tuple of float
        From when to when every engine refuses; empty for never.
    retry_share : float
        Retry budget of a workspace; below 0 for retries without limit.
    drain_at_s : float
        When the first engine begins to leave; below 0 for never.
    """

    admission: bool = True
    slow_engine: str = ""
    slowness: float = 5.0
    report_lag_s: float = 0.0
    outage_s: tuple[float, ...] = ()
    retry_share: float = 0.2
    drain_at_s: float = -1.0


class ClassReport(msgspec.Struct, frozen=True):
    """Waits for the first token in one priority class, in seconds."""

    asked: int
    answered: int
    refused: int
    wait_p50_s: float
    wait_p95_s: float
    wait_p99_s: float


class ReplayReport(msgspec.Struct, frozen=True):
    """Outcome of one replay."""

    trace: str
    policy: str
    classes: dict[str, ClassReport]
    first_token_mean_s: float
    prefix_hit_share: float
    attempts: int
    last_new_work_s: float


class _Engine:
    """One engine under the virtual clock."""

    def __init__(self, settings: TraceEngine, slowness: float):
        batch = msgspec.structs.replace(settings.batch, slowness=slowness)
        self.name = settings.name
        self.batch = EngineBatch(batch)
        self.stepping = False
        self.leaving = False
        self.last_new_work_s = 0.0
        self.reports: list[tuple[float, LoadReport]] = [(0.0, LoadReport(0, 0))]

    def report(self, now_s: float, lag_s: float) -> LoadReport:
        """Return the load as it was ``lag_s`` ago."""
        seen = [report for at_s, report in self.reports if at_s <= now_s - lag_s]
        report = seen[-1] if seen else LoadReport(0, 0)
        return msgspec.structs.replace(report, leaving=self.leaving)


class _Router:
    """One router's views, queue and retry budgets."""

    def __init__(self, zone: str, trace: Trace, policy: PolicyBase, options: ReplayOptions):
        self.zone = zone
        self.policy = policy
        self.views = EndpointViews()
        endpoints = [
            Endpoint(
                name=engine.name,
                pool=POOL,
                url="",
                zone=engine.zone,
                slots=engine.batch.slots,
            )
            for engine in trace.header.engines
        ]
        self.views.set_endpoints(endpoints, -60.0)
        for view in self.views.all():
            view.machine.fire("warmed")
        self.queue = AdmissionQueue({rule.name: rule for rule in trace.header.classes})
        slots = sum(endpoint.slots for endpoint in endpoints)
        fleet_size = len(trace.header.routers)
        self.policy.fleet_size = fleet_size
        share = admission_slots(slots, fleet_size)
        if options.admission:
            self.queue.set_slots(share, low_class_slots(slots, fleet_size))
        else:
            self.queue.set_slots(_NO_LIMIT)
        self.retries: dict[str, RetryBudget] = {}

    def may_retry(self, workspace: str, share: float) -> bool:
        """Take one retry of a workspace's budget."""
        if share < 0:
            return True
        return self.retries.setdefault(workspace, RetryBudget(share)).take()


class _Flight:
    """One request on its way."""

    def __init__(self, request: TraceRequest, router: _Router):
        self.request = request
        self.router = router
        self.ticket = None
        self.view = None
        self.admitted_s = 0.0
        self.sent_s = 0.0
        self.seen_first = False


class _Replay:
    """The event loop: arrivals, engine steps and load reports in order of time."""

    def __init__(self, trace: Trace, make_policy, options: ReplayOptions):
        self._trace = trace
        self._options = options
        self._numbers = itertools.count()
        self._events: list = []
        self.now_s = 0.0
        self._engines = {
            engine.name: _Engine(
                engine, options.slowness if engine.name == options.slow_engine else 1.0
            )
            for engine in trace.header.engines
        }
        self._routers = [
            _Router(zone, trace, make_policy(), options) for zone in trace.header.routers
        ]
        self._rules: dict[str, PriorityClass] = {rule.name: rule for rule in trace.header.classes}
        self._runs: dict[str, _Flight] = {}
        self._open = len(trace.requests)
        self.waits = {name: HdrHistogram(1, _HIGHEST_US, 3) for name in self._rules}
        self.counts: Counter = Counter()
        self.wait_sum_s = 0.0

    def run(self) -> None:
        """Play the trace to its end."""
        for request in self._trace.requests:
            self._at(request.at_s, self._arrive, request)
        self._at(0.0, self._reports)
        if self._options.drain_at_s >= 0:
            self._at(self._options.drain_at_s, self._leave)
        while self._events and self._open:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _at(self, at_s: float, action, *arguments) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), action, arguments))

    def _arrive(self, request: TraceRequest) -> None:
        router = self._routers[request.router]
        flight = _Flight(request, router)
        self.counts["asked", request.priority_class] += 1
        offered = router.queue.offer(
            request.priority_class, self.now_s, lambda admitted: self._admitted(flight, admitted)
        )
        match offered:
            case Result(tag="ok", ok=ticket):
                flight.ticket = ticket
                limit_s = self._rules[request.priority_class].max_wait_s
                self._at(self.now_s + limit_s + 1e-6, router.queue.dispatch, self.now_s + limit_s)
            case _:
                self._refuse(flight)

    def _admitted(self, flight: _Flight, admitted: bool) -> None:
        if not admitted:
            self._refuse(flight)
            return
        flight.admitted_s = self.now_s
        self._at(self.now_s, self._send, flight)

    def _refuse(self, flight: _Flight) -> None:
        self.counts["refused", flight.request.priority_class] += 1
        self._open -= 1

    def _send(self, flight: _Flight) -> None:
        router, request = flight.router, flight.request
        candidates = router.views.candidates(POOL)
        if not candidates:
            self._end_refused(flight)
            return
        wanted = RouteRequest(POOL, router.zone, request.prefix, request.prompt_tokens)
        flight.view = router.policy.choose(wanted, candidates, self.now_s).view
        router.views.sent(flight.view)
        flight.sent_s = self.now_s
        self.counts["attempts"] += 1
        engine = self._engines[flight.view.name]
        if engine.leaving or self._is_out():
            self._at(self.now_s + 0.001, self._failed, flight)
            return
        engine.last_new_work_s = self.now_s
        rank = self._rules[request.priority_class].rank
        run = EngineRun(
            f"{request.request_id}.{self.counts['attempts']}",
            request.prompt_tokens,
            request.output_tokens,
            request.prefix,
            rank,
        )
        self._runs[run.run_id] = flight
        engine.batch.add(run)
        if not engine.stepping:
            engine.stepping = True
            self._at(self.now_s + engine.batch.step_time_s(), self._step, engine)

    def _is_out(self) -> bool:
        window = self._options.outage_s
        return bool(window) and window[0] <= self.now_s < window[1]

    def _failed(self, flight: _Flight) -> None:
        flight.router.views.ended(flight.view, False, 0.0, self.now_s)
        share = self._options.retry_share
        if flight.router.may_retry(flight.request.workspace, share):
            self._at(self.now_s + 0.05, self._send, flight)
        else:
            self._end_refused(flight)

    def _end_refused(self, flight: _Flight) -> None:
        flight.router.queue.end(flight.ticket, 0.0, self.now_s)
        self._refuse(flight)

    def _step(self, engine: _Engine) -> None:
        for run in engine.batch.step(self.now_s):
            self._touched(self._runs[run.run_id], run)
        load = LoadReport(len(engine.batch.running), len(engine.batch.waiting))
        engine.reports.append((self.now_s, load))
        engine.reports = engine.reports[-500:]
        if engine.batch.running or engine.batch.waiting:
            self._at(self.now_s + engine.batch.step_time_s(), self._step, engine)
        else:
            engine.stepping = False

    def _touched(self, flight: _Flight, run: EngineRun) -> None:
        request = flight.request
        if not flight.seen_first:
            flight.seen_first = True
            wait_s = self.now_s - request.at_s
            self.wait_sum_s += wait_s
            recorded = max(1, int(wait_s * _MICROSECONDS))
            self.waits[request.priority_class].record_value(recorded)
            self.counts["answered", request.priority_class] += 1
        if not run.finished:
            return
        del self._runs[run.run_id]
        router = flight.router
        router.views.ended(flight.view, True, self.now_s - flight.sent_s, self.now_s)
        router.retries.setdefault(
            request.workspace, RetryBudget(max(0.0, self._options.retry_share))
        ).record_success()
        router.queue.end(flight.ticket, self.now_s - flight.admitted_s, self.now_s)
        self._open -= 1

    def _reports(self) -> None:
        lag_s = self._options.report_lag_s or self._trace.header.report_lag_s
        for router in self._routers:
            for view in router.views.all():
                if self._is_out():
                    router.views.report_failed(view, self.now_s)
                else:
                    report = self._engines[view.name].report(self.now_s, lag_s)
                    router.views.report_received(view, report, self.now_s)
                    router.views.end_slow_start(view, self.now_s)
            router.queue.dispatch(self.now_s)
        self._at(self.now_s + REPORT_PERIOD_S, self._reports)

    def _leave(self) -> None:
        next(iter(self._engines.values())).leaving = True

    def report(self, policy: str) -> ReplayReport:
        """Return the outcome."""
        answered = sum(self.counts["answered", name] for name in self._rules)
        hits = sum(engine.batch.cache_hits for engine in self._engines.values())
        misses = sum(engine.batch.cache_misses for engine in self._engines.values())
        return ReplayReport(
            self._trace.header.name,
            policy,
            {name: self._class_report(name) for name in sorted(self._rules)},
            round(self.wait_sum_s / max(1, answered), 6),
            round(hits / max(1, hits + misses), 6),
            self.counts["attempts"],
            round(next(iter(self._engines.values())).last_new_work_s, 6),
        )

    def _class_report(self, name: str) -> ClassReport:
        waits = self.waits[name]
        points = [waits.get_value_at_percentile(point) / _MICROSECONDS for point in _PERCENTILES]
        return ClassReport(
            self.counts["asked", name],
            self.counts["answered", name],
            self.counts["refused", name],
            *points,
        )


def replay(
    trace: Trace, policy: str, make_policy, options: ReplayOptions | None = None
) -> ReplayReport:
    """Replay a trace and return what came of it; the same input gives the same report.

    Parameters
    ----------
    trace : Trace
        What is asked.
    policy : str
        Name for the report.
    make_policy : callable
        Builds a policy for each router.
    """
    run = _Replay(trace, make_policy, options or ReplayOptions())
    run.run()
    return run.report(policy)
