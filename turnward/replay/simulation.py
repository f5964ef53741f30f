# SPDX-License-Identifier: BSD-3-Clause
"""Replays a trace through the router's routing and admission code on a simulated clock."""

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
_US_PER_S = 1_000_000
_HISTOGRAM_MAX_US = 600 * _US_PER_S
_UNLIMITED_SLOTS = 10**9
_PERCENTILES = (50, 95, 99)


class ReplayOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a replay: admission, retries and faults.

    Attributes
    ----------
    admission : bool
        Queue requests by priority class; otherwise each request is sent on arrival.
    slow_engine : str
        Name of the engine that is slowed by the factor ``slowness``; empty for none.
    report_lag_s : float
        Age of the load that engines report; 0 for the value in the trace's header.
    outage_s : tuple of float
        Start and end of an outage of all engines; empty for none.
    retry_share : float
        Retries allowed per successful request of a workspace; below 0 for unlimited retries.
    drain_at_s : float
        When the first engine begins to drain; below 0 for never.
    """

    admission: bool = True
    slow_engine: str = ""
    slowness: float = 5.0
    report_lag_s: float = 0.0
    outage_s: tuple[float, ...] = ()
    retry_share: float = 0.2
    drain_at_s: float = -1.0


class ClassReport(msgspec.Struct, frozen=True):
    """Request counts and times to the first token of one priority class."""

    asked: int
    answered: int
    refused: int
    wait_p50_s: float
    wait_p95_s: float
    wait_p99_s: float


class ReplayReport(msgspec.Struct, frozen=True):
    """Outcome of one replay.

    Attributes
    ----------
    attempts : int
        Requests sent to engines, retries included.
    last_new_work_s : float
        When the first engine last accepted a request.
    """

    trace: str
    policy: str
    classes: dict[str, ClassReport]
    first_token_mean_s: float
    prefix_hit_share: float
    attempts: int
    last_new_work_s: float


class _Engine:
    """One engine on the simulated clock."""

    def __init__(self, settings: TraceEngine, slowness: float):
        batch = msgspec.structs.replace(settings.batch, slowness=slowness)
        self.name = settings.name
        self.batch = EngineBatch(batch)
        self.stepping = False
        self.draining = False
        self.last_new_work_s = 0.0
        self.reports: list[tuple[float, LoadReport]] = [(0.0, LoadReport(0, 0))]

    def report(self, now_s: float, lag_s: float) -> LoadReport:
        """Return the engine's load as of ``lag_s`` ago."""
        known = [report for at_s, report in self.reports if at_s <= now_s - lag_s]
        report = known[-1] if known else LoadReport(0, 0)
        return msgspec.structs.replace(report, leaving=self.draining)


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
        self.queue = AdmissionQueue(
            {priority_class.name: priority_class for priority_class in trace.header.classes}
        )
        slots = sum(endpoint.slots for endpoint in endpoints)
        fleet_size = len(trace.header.routers)
        self.policy.fleet_size = fleet_size
        router_slots = admission_slots(slots, fleet_size)
        if options.admission:
            self.queue.set_slots(router_slots, low_class_slots(slots, fleet_size))
        else:
            self.queue.set_slots(_UNLIMITED_SLOTS)
        self.retries: dict[str, RetryBudget] = {}

    def take_retry(self, workspace: str, share: float) -> bool:
        """Take one retry from a workspace's budget; return False if it is exhausted."""
        if share < 0:
            return True
        return self.retries.setdefault(workspace, RetryBudget(share)).take()


class _ActiveRequest:
    """One request between its arrival and its end."""

    def __init__(self, request: TraceRequest, router: _Router):
        self.request = request
        self.router = router
        self.ticket = None
        self.view = None
        self.admitted_s = 0.0
        self.sent_s = 0.0
        self.first_token_seen = False


class _Replay:
    """Event loop that runs arrivals, engine steps and load reports in time order."""

    def __init__(self, trace: Trace, make_policy, options: ReplayOptions):
        self._trace = trace
        self._options = options
        self._sequence = itertools.count()
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
        self._priority_classes: dict[str, PriorityClass] = {
            priority_class.name: priority_class for priority_class in trace.header.classes
        }
        self._runs: dict[str, _ActiveRequest] = {}
        self._open_requests = len(trace.requests)
        self.waits = {
            name: HdrHistogram(1, _HISTOGRAM_MAX_US, 3) for name in self._priority_classes
        }
        self.counts: Counter = Counter()
        self.wait_sum_s = 0.0

    def run(self) -> None:
        """Run until every request of the trace has ended."""
        for request in self._trace.requests:
            self._schedule(request.at_s, self._handle_arrival, request)
        self._schedule(0.0, self._deliver_load_reports)
        if self._options.drain_at_s >= 0:
            self._schedule(self._options.drain_at_s, self._start_draining)
        while self._events and self._open_requests:
            self.now_s, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _schedule(self, at_s: float, action, *arguments) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action, arguments))

    def _handle_arrival(self, request: TraceRequest) -> None:
        router = self._routers[request.router]
        active = _ActiveRequest(request, router)
        self.counts["asked", request.priority_class] += 1
        offer_result = router.queue.offer(
            request.priority_class,
            self.now_s,
            lambda admitted: self._handle_admission(active, admitted),
        )
        match offer_result:
            case Result(tag="ok", ok=ticket):
                active.ticket = ticket
                max_wait_s = self._priority_classes[request.priority_class].max_wait_s
                self._schedule(
                    self.now_s + max_wait_s + 1e-6, router.queue.dispatch, self.now_s + max_wait_s
                )
            case _:
                self._record_refusal(active)

    def _handle_admission(self, active: _ActiveRequest, admitted: bool) -> None:
        if not admitted:
            self._record_refusal(active)
            return
        active.admitted_s = self.now_s
        self._schedule(self.now_s, self._send, active)

    def _record_refusal(self, active: _ActiveRequest) -> None:
        self.counts["refused", active.request.priority_class] += 1
        self._open_requests -= 1

    def _send(self, active: _ActiveRequest) -> None:
        router, request = active.router, active.request
        candidates = router.views.candidates(POOL)
        if not candidates:
            self._refuse_admitted(active)
            return
        route_request = RouteRequest(POOL, router.zone, request.prefix, request.prompt_tokens)
        active.view = router.policy.choose(route_request, candidates, self.now_s).view
        router.views.sent(active.view)
        active.sent_s = self.now_s
        self.counts["attempts"] += 1
        engine = self._engines[active.view.name]
        if engine.draining or self._in_outage():
            self._schedule(self.now_s + 0.001, self._handle_failure, active)
            return
        engine.last_new_work_s = self.now_s
        rank = self._priority_classes[request.priority_class].rank
        run = EngineRun(
            f"{request.request_id}.{self.counts['attempts']}",
            request.prompt_tokens,
            request.output_tokens,
            request.prefix,
            rank,
        )
        self._runs[run.run_id] = active
        engine.batch.add(run)
        if not engine.stepping:
            engine.stepping = True
            self._schedule(self.now_s + engine.batch.step_time_s(), self._step, engine)

    def _in_outage(self) -> bool:
        window = self._options.outage_s
        return bool(window) and window[0] <= self.now_s < window[1]

    def _handle_failure(self, active: _ActiveRequest) -> None:
        active.router.views.ended(active.view, False, 0.0, self.now_s)
        share = self._options.retry_share
        if active.router.take_retry(active.request.workspace, share):
            self._schedule(self.now_s + 0.05, self._send, active)
        else:
            self._refuse_admitted(active)

    def _refuse_admitted(self, active: _ActiveRequest) -> None:
        active.router.queue.end(active.ticket, 0.0, self.now_s)
        self._record_refusal(active)

    def _step(self, engine: _Engine) -> None:
        for run in engine.batch.step(self.now_s):
            self._handle_progress(self._runs[run.run_id], run)
        load = LoadReport(len(engine.batch.running), len(engine.batch.waiting))
        engine.reports.append((self.now_s, load))
        engine.reports = engine.reports[-500:]
        if engine.batch.running or engine.batch.waiting:
            self._schedule(self.now_s + engine.batch.step_time_s(), self._step, engine)
        else:
            engine.stepping = False

    def _handle_progress(self, active: _ActiveRequest, run: EngineRun) -> None:
        request = active.request
        if not active.first_token_seen:
            active.first_token_seen = True
            wait_s = self.now_s - request.at_s
            self.wait_sum_s += wait_s
            wait_us = max(1, int(wait_s * _US_PER_S))
            self.waits[request.priority_class].record_value(wait_us)
            self.counts["answered", request.priority_class] += 1
        if not run.finished:
            return
        del self._runs[run.run_id]
        router = active.router
        router.views.ended(active.view, True, self.now_s - active.sent_s, self.now_s)
        router.retries.setdefault(
            request.workspace, RetryBudget(max(0.0, self._options.retry_share))
        ).record_success()
        router.queue.end(active.ticket, self.now_s - active.admitted_s, self.now_s)
        self._open_requests -= 1

    def _deliver_load_reports(self) -> None:
        lag_s = self._options.report_lag_s or self._trace.header.report_lag_s
        for router in self._routers:
            for view in router.views.all():
                if self._in_outage():
                    router.views.report_failed(view, self.now_s)
                else:
                    report = self._engines[view.name].report(self.now_s, lag_s)
                    router.views.report_received(view, report, self.now_s)
                    router.views.end_slow_start(view, self.now_s)
            router.queue.dispatch(self.now_s)
        self._schedule(self.now_s + REPORT_PERIOD_S, self._deliver_load_reports)

    def _start_draining(self) -> None:
        next(iter(self._engines.values())).draining = True

    def report(self, policy: str) -> ReplayReport:
        """Summarize the replay."""
        answered = sum(self.counts["answered", name] for name in self._priority_classes)
        hits = sum(engine.batch.cache_hits for engine in self._engines.values())
        misses = sum(engine.batch.cache_misses for engine in self._engines.values())
        return ReplayReport(
            self._trace.header.name,
            policy,
            {name: self._class_report(name) for name in sorted(self._priority_classes)},
            round(self.wait_sum_s / max(1, answered), 6),
            round(hits / max(1, hits + misses), 6),
            self.counts["attempts"],
            round(next(iter(self._engines.values())).last_new_work_s, 6),
        )

    def _class_report(self, name: str) -> ClassReport:
        waits = self.waits[name]
        percentiles = [
            waits.get_value_at_percentile(percentile) / _US_PER_S for percentile in _PERCENTILES
        ]
        return ClassReport(
            self.counts["asked", name],
            self.counts["answered", name],
            self.counts["refused", name],
            *percentiles,
        )


def replay(
    trace: Trace, policy: str, make_policy, options: ReplayOptions | None = None
) -> ReplayReport:
    """Replay a trace and report its outcome; the same input gives the same report.

    Parameters
    ----------
    trace : Trace
        Engines, routers and requests to simulate.
    policy : str
        Name of the policy in the report.
    make_policy : callable
        Called once per router to create its policy.
    options : ReplayOptions, optional
        Admission, retries and faults; the defaults if omitted.
    """
    simulation = _Replay(trace, make_policy, options or ReplayOptions())
    simulation.run()
    return simulation.report(policy)
