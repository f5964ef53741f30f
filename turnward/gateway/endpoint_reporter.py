# SPDX-License-Identifier: BSD-3-Clause
"""Reports of endpoint changes: log events, metrics and updates to other routers."""

from collections.abc import Callable

from turnward.gateway.availability import UnavailableReason
from turnward.gateway.brittle_pools import BrittlePools
from turnward.gateway.choice import EndpointBook
from turnward.gateway.dialect import Dialect
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.engine_speed import EventGaps
from turnward.gateway.feedback_exchange import FeedbackExchange, FeedbackUpdate
from turnward.gateway.member_ranks import MemberRanks
from turnward.gateway.prompt_lanes import PoolLanes
from turnward.gateway.service_rates import RateChange
from turnward.gateway.state import FleetState
from turnward.gateway.warm_up import WarmUpShares
from turnward.http1 import HeaderList, header_value

__all__ = ["EndpointReporter"]

#: Routers that report the service rate of one engine. All know the same rates, and a second one
#: reports on when the first is gone.
_RATE_REPORTERS = 2


class EndpointReporter:
    """Reports each change of an endpoint's state as this router sees it.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    state : FleetState
        Gives the version of the endpoint entries in effect.
    endpoints : EndpointBook
        Endpoints to which feedback from other routers is applied.
    dialect : Dialect
        Header names.
    ranks : MemberRanks
        Decides which routers report what all of them know.
    metrics, log
        Receivers of the reports.

    Attributes
    ----------
    feedback_exchange : FeedbackExchange
        Feedback to this router and to others, exchanged among routers.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        state: FleetState,
        endpoints: EndpointBook,
        dialect: Dialect,
        ranks: MemberRanks,
        metrics,
        log,
    ):
        self._clock = clock
        self._state = state
        self._endpoints = endpoints
        self._dialect = dialect
        self._ranks = ranks
        self._metrics = metrics
        self._log = log
        self.feedback_exchange = FeedbackExchange(clock, self.handle_peer_feedback)

    def listen_to_endpoints(self, shares: WarmUpShares) -> None:
        """Report the changes of all endpoints from now on, also of brittle ones.

        ``shares`` divides what a brittle endpoint bears among the routers.
        """
        endpoints = self._endpoints
        endpoints.brittle = BrittlePools(
            self._clock, shares, self._dialect.brittle, self.report_brittle
        )
        endpoints.on_speed_class = self.report_speed_class
        endpoints.on_restart_suspected = self.report_suspected_restart
        endpoints.on_unresponsive = self.report_unresponsive
        endpoints.on_responsive = self.report_responsive
        endpoints.on_feedback = self.report_feedback
        endpoints.on_rate_limit = self.report_rate_limit
        endpoints.costs.rates.on_change = self.report_rate
        endpoints.costs.lanes.on_change = self.report_lanes
        endpoints.costs.lanes.on_long_prompt = self.count_long_prompt

    def report_speed_class(
        self, record: EndpointRecord, gaps: EventGaps, usual_gaps: EventGaps
    ) -> None:
        """Report an engine whose speed changed relative to the others of its pool."""
        self._log.belief(
            "endpoint.pace",
            endpoint=record.incarnation,
            pool=record.entry.pool,
            pace=record.speed_class.name.lower(),
            event_gap_ms=round(gaps.quiet_gap_ms, 1),
            usual_gap_ms=round(usual_gaps.quiet_gap_ms, 1),
            usual_held_up_ms=round(usual_gaps.held_up_gap_ms, 1),
        )

    def report_rate(self, record: EndpointRecord, change: RateChange) -> None:
        """Report an engine whose slowdown moved; only few routers do so for each engine."""
        if self._ranks.rank_for(record.endpoint_id) >= _RATE_REPORTERS:
            return
        self._log.belief(
            "endpoint.rate",
            endpoint=record.incarnation,
            pool=record.entry.pool,
            slowdown=round(change.slowdown, 2),
            previous=round(change.previous, 2),
            event_gap_ms=round(change.event_gap_ms, 1),
            usual_gap_ms=round(change.usual_gap_ms, 1),
            prompt_tokens_per_ms=round(change.prompt_tokens_per_ms, 1),
        )

    def report_suspected_restart(self, record: EndpointRecord, counts_as_cold: bool) -> None:
        """Report an endpoint that has closed its connections, as after a restart."""
        self._log.belief(
            "endpoint.suspected",
            endpoint=record.incarnation,
            pool=record.entry.pool,
            counts_as_cold=counts_as_cold,
            entries=self._state.endpoints_version,
        )

    def report_unresponsive(self, pool: str, endpoints: list[EndpointRecord]) -> None:
        """Report a pool whose endpoints lose all requests without a response."""
        self._metrics.pools_unresponsive.labels(pool).inc()
        self._log.belief(
            "pool.unresponsive",
            pool=pool,
            endpoints=[record.incarnation for record in endpoints],
            entries=self._state.endpoints_version,
        )

    def report_responsive(self, record: EndpointRecord, lasted_s: float) -> None:
        """Report the first endpoint that responds in an unresponsive pool."""
        self._log.belief(
            "pool.responsive",
            pool=record.entry.pool,
            endpoint=record.incarnation,
            lasted_s=round(lasted_s, 3),
        )

    def report_brittle(self, pool: str, rejections_per_s: float) -> None:
        """Report a pool whose endpoints crash if they have to reject many requests."""
        self._log.belief("pool.brittle", pool=pool, rejections_per_s=rejections_per_s)

    def report_lanes(self, lanes: PoolLanes) -> None:
        """Report that the size of a pool's lane of long prompts has changed."""
        self._metrics.lane_engines.labels(lanes.pool).set(lanes.lane_engines)
        self._log.belief(
            "pool.lanes",
            pool=lanes.pool,
            engines=lanes.engines,
            lane_engines=lanes.lane_engines,
            long_ms=round(lanes.long_ms, 1),
            busy_engines=round(lanes.busy_engines, 1),
        )

    def count_long_prompt(self, pool: str, in_lane: bool) -> None:
        """Count a long prompt by whether it was placed in the lane."""
        self._metrics.long_prompts.labels(pool, "inside" if in_lane else "outside").inc()

    def report_feedback(
        self, record: EndpointRecord, reason: UnavailableReason, response_headers: HeaderList
    ) -> None:
        """Report the feedback of a response, and announce it to other routers."""
        availability = record.availability
        backoff_s = availability.backoff_left_s(self._clock())
        self.feedback_exchange.record(record.incarnation, availability.draining, backoff_s)
        self._metrics.feedback_reports.labels(record.entry.pool, reason).inc()
        request_id = header_value(response_headers, self._dialect.request_id) or b""
        self._log.belief(
            "endpoint.said",
            request=request_id.decode("latin-1"),
            endpoint=record.incarnation,
            pool=record.entry.pool,
            hold=reason,
            rest_s=round(backoff_s, 3),
            endpoints=self._state.endpoints_version,
        )

    def report_rate_limit(
        self, record: EndpointRecord, limit_per_s: float | None, response_headers: HeaderList
    ) -> None:
        """Report that a response set or lifted an endpoint's rate limit."""
        request_id = header_value(response_headers, self._dialect.request_id) or b""
        self._log.belief(
            "endpoint.limited",
            request=request_id.decode("latin-1"),
            endpoint=record.incarnation,
            pool=record.entry.pool,
            limit_per_s=limit_per_s,
            endpoints=self._state.endpoints_version,
        )

    def report_peer_rate_limit(self, incarnation: str, limit_per_s: float | None) -> None:
        """Report that another router announced a changed rate limit."""
        self._log.belief("endpoint.told_limit", endpoint=incarnation, limit_per_s=limit_per_s)

    def handle_peer_feedback(self, update: FeedbackUpdate) -> None:
        """Deprioritize an endpoint that drains or backs off according to another router."""
        record = self._endpoints.get(update.endpoint)
        if record is None:
            return
        backoff_s = update.backoff_left_ms / 1_000
        record.availability.apply_peer_feedback(update.draining, backoff_s, self._clock())
        self._log.belief(
            "endpoint.told_of",
            endpoint=update.endpoint,
            pool=record.entry.pool,
            leaves=update.draining,
            rest_s=round(backoff_s, 3),
        )
