# SPDX-License-Identifier: BSD-3-Clause
"""What is told of endpoints: lines for operators, counts, and word to other routers."""

from collections.abc import Callable

from turnward.gateway.availability import UnavailableReason
from turnward.gateway.choice import EndpointBook
from turnward.gateway.dialect import Dialect
from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.engine_speed import EventGaps
from turnward.gateway.feedback_exchange import FeedbackExchange, FeedbackUpdate
from turnward.gateway.state import FleetState
from turnward.http1 import HeaderList, header_value

__all__ = ["EndpointReporter"]


class EndpointReporter:
    """Told of each change of what this router takes an endpoint for.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    state : FleetState
        Knows which version of the entries is in force.
    endpoints : EndpointBook
        Takes in what other routers were told.
    dialect : Dialect
        Names on the wire.
    metrics, log
        Told of changes.

    Attributes
    ----------
    words : FeedbackExchange
        What endpoints said of leaving and rest, here and to others.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        state: FleetState,
        endpoints: EndpointBook,
        dialect: Dialect,
        metrics,
        log,
    ):
        self._clock = clock
        self._state = state
        self._endpoints = endpoints
        self._dialect = dialect
        self._metrics = metrics
        self._log = log
        self.feedback_exchange = FeedbackExchange(clock, self.handle_peer_feedback)

    def report_speed_class(self, record: EndpointRecord, pace: EventGaps, usual: EventGaps) -> None:
        """Tell of an engine that is faster or slower than it was, beside the others of its pool."""
        self._log.belief(
            "endpoint.pace",
            endpoint=record.incarnation,
            pool=record.entry.pool,
            pace=record.speed_class.name.lower(),
            event_gap_ms=round(pace.quiet_gap_ms, 1),
            usual_gap_ms=round(usual.quiet_gap_ms, 1),
            usual_held_up_ms=round(usual.held_up_gap_ms, 1),
        )

    def report_feedback(
        self, record: EndpointRecord, hold: UnavailableReason, answer_headers: HeaderList
    ) -> None:
        """Tell of what an endpoint said in an answer."""
        availability = record.availability
        rest_s = availability.backoff_left_s(self._clock())
        self.feedback_exchange.note(record.incarnation, availability.draining, rest_s)
        self._metrics.feedback_reports.labels(record.entry.pool, hold).inc()
        request_id = header_value(answer_headers, self._dialect.request_id) or b""
        self._log.belief(
            "endpoint.said",
            request=request_id.decode("latin-1"),
            endpoint=record.incarnation,
            pool=record.entry.pool,
            hold=hold,
            rest_s=round(rest_s, 3),
            endpoints=self._state.endpoints_version,
        )

    def report_rate_limit(
        self, record: EndpointRecord, per_s: float | None, answer_headers: HeaderList
    ) -> None:
        """Tell of a rate that an endpoint named in an answer, or names no more."""
        request_id = header_value(answer_headers, self._dialect.request_id) or b""
        self._log.belief(
            "endpoint.limited",
            request=request_id.decode("latin-1"),
            endpoint=record.incarnation,
            pool=record.entry.pool,
            limit_per_s=per_s,
            endpoints=self._state.endpoints_version,
        )

    def report_peer_rate_limit(self, incarnation: str, per_s: float | None) -> None:
        """Tell of a rate that an endpoint named to another router, or names no more."""
        self._log.belief("endpoint.told_limit", endpoint=incarnation, limit_per_s=per_s)

    def handle_peer_feedback(self, word: FeedbackUpdate) -> None:
        """Put an endpoint last of which another router tells that it leaves or wants rest."""
        record = self._endpoints.get(word.endpoint)
        if record is None:
            return
        rest_s = word.rest_left_ms / 1_000
        record.availability.apply_peer_feedback(word.draining, rest_s, self._clock())
        self._log.belief(
            "endpoint.told_of",
            endpoint=word.endpoint,
            pool=record.entry.pool,
            leaves=word.draining,
            rest_s=round(rest_s, 3),
        )
