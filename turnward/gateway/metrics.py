# SPDX-License-Identifier: BSD-3-Clause
"""Metrics of one process in the Prometheus text format.

No label identifies a single request, so that the number of time series stays bounded.
"""

from collections import Counter as Counts
from collections.abc import Iterable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    disable_created_metrics,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from turnward.gateway.service_rates import PoolRates

__all__ = ["GatewayMetrics"]

# The "_created" series are not used, and make up a third of the text.
disable_created_metrics()

#: Upper bounds of the buckets of latency histograms.
_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0)


class GatewayMetrics:
    """The metrics of one process."""

    content_type = CONTENT_TYPE_LATEST.encode()

    def __init__(self):
        self._registry = CollectorRegistry()
        # Gauges of the process's state come first, since some collectors truncate long texts.
        self.open_requests = self._gauge("open_requests", "Requests under way.")
        self.peers_live = self._gauge("peers_live", "Peers heard lately.")
        self.configuration_version = self._gauge(
            "configuration_version", "Version of the configuration in force."
        )
        self.unconfirmed_seconds = self._gauge(
            "configuration_unconfirmed_seconds", "Since the configuration was known newest."
        )
        self.zones_drained = self._gauge(
            "zones_drained", "Availability zones that get no new work by order."
        )
        self.rows_unreadable = Gauge(
            "turnward_rows_refused",
            "Rows of the store that can't be read.",
            ["table", "reason"],
            registry=self._registry,
        )
        self.peer_messages_refused = self._gauge(
            "peer_messages_refused", "Messages of other routers that could not be read."
        )
        self.endpoints_limited = self._gauge(
            "endpoints_limited", "Endpoints that name a rate limit."
        )
        self.slowest_engine = self._pool_gauge(
            "engine_slowdown_max", "Service time of the slowest engine, relative to the usual one."
        )
        self.fastest_engine = self._pool_gauge(
            "engine_slowdown_min", "Service time of the fastest engine, relative to the usual one."
        )
        self.prompt_speed = self._pool_gauge(
            "prompt_tokens_per_ms", "Prompt tokens that a usual engine processes in 1 ms."
        )
        self.links_lost = self._pool_gauge(
            "links_lost", "1 while this router reaches no endpoint of the pool."
        )
        self.tokens_strandable = self._gauge(
            "tokens_strandable", "Prepaid tokens that a crash of the process would strand."
        )
        self.tokens_free = self._gauge(
            "tokens_free", "Prepaid tokens that the process holds and no request has reserved."
        )
        self.lane_engines = self._pool_gauge(
            "lane_engines", "Engines that process long prompts; 0 if the pool is undivided."
        )
        self.contents_quarantined = self._gauge(
            "contents_held", "Contents held back, since their runs ended endpoints."
        )
        self.parts_quarantined = self._gauge(
            "parts_held", "Prompt parts held back, since they crashed endpoints."
        )
        self.requests = self._counter("requests", "Requests ended.", ["pool", "outcome"])
        self.attempts_failed = self._counter(
            "attempts_failed", "Sends that brought no answer to pass on.", ["pool", "how"]
        )
        self.requests_quarantined = self._counter(
            "requests_held",
            "Requests refused, since their content is held back.",
            ["pool", "reason"],
        )
        self.requests_overloaded = self._counter(
            "requests_overloaded", "Requests refused, since all queues are too long.", ["pool"]
        )
        self.pools_unresponsive = self._counter(
            "pools_unresponsive", "Times that no endpoint of a pool responded.", ["pool"]
        )
        self.streams_resumed = self._counter(
            "streams_resumed",
            "Streams resumed beside several software versions, by whether theirs is known.",
            ["pool", "origin"],
        )
        self.requests_relayed = self._counter(
            "requests_relayed", "Requests handed to a peer, and how that ended.", ["pool", "how"]
        )
        self.requests_paced = self._counter(
            "requests_paced",
            "Requests refused, since tokens are protected for the most urgent ones.",
            ["priority"],
        )
        self.budget_refusals = self._counter(
            "budget_refusals", "Requests and loans refused for want of tokens.", ["reason", "held"]
        )
        self.long_prompts = self._counter(
            "long_prompts", "Long prompts sent to a divided pool.", ["pool", "lane"]
        )
        self.feedback_reports = self._counter(
            "endpoint_words", "Times endpoints newly asked to be sent nothing.", ["pool", "hold"]
        )
        self.request_seconds = self._histogram("request_seconds", "From head to end.", ["pool"])
        self.first_event_seconds = self._histogram(
            "first_event_seconds", "From head to the first event.", ["pool"]
        )
        self.store_calls = self._counter("store_calls", "Calls to the store.", ["call", "result"])
        self.store_rollbacks = self._counter(
            "store_returns", "Times the store came back from an older copy.", []
        )
        self.link_delay = self._gauge(
            "link_delay_seconds", "Time in which the fastest connection opened lately."
        )
        self.link_bytes = self._counter(
            "link_bytes", "Bytes that the link carried.", ["purpose", "direction"]
        )
        self.lines_dropped = self._counter("log_lines_left_out", "Log lines left out.", [])

    def store_call_counts(self) -> dict[str, int]:
        """Return the number of calls to the store by ``call/result``."""
        return {
            "/".join(sample.labels.values()): int(sample.value)
            for family in self.store_calls.collect()
            for sample in family.samples
            if sample.name.endswith("_total")
        }

    def ended_counts(self) -> dict[str, int]:
        """Return the number of requests that ended, by outcome."""
        counts: Counts[str] = Counts()
        for family in self.requests.collect():
            for sample in family.samples:
                if sample.name.endswith("_total"):
                    counts[sample.labels["outcome"]] += int(sample.value)
        return dict(counts)

    def set_unreadable_rows(self, counts: dict[tuple[str, str], int]) -> None:
        """Set the number of rows that cannot be decoded, by table and reason."""
        self.rows_unreadable.clear()
        for (table, reason), count in counts.items():
            self.rows_unreadable.labels(table, reason).set(count)

    def set_pool_rates(self, rates: Iterable[PoolRates]) -> None:
        """Set the service rates of the pools whose engines are measured."""
        for pool in rates:
            self.slowest_engine.labels(pool.pool).set(pool.max_slowdown)
            self.fastest_engine.labels(pool.pool).set(pool.min_slowdown)
            self.prompt_speed.labels(pool.pool).set(pool.prompt_tokens_per_ms)

    def count_budget_refusal(self, reason: str, held: bool) -> None:
        """Count a refusal for tokens, by whether the process held enough free ones."""
        self.budget_refusals.labels(reason, "yes" if held else "no").inc()

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)

    def _counter(self, name, description, labels) -> Counter:
        return Counter(f"turnward_{name}", description, labels, registry=self._registry)

    def _gauge(self, name, description) -> Gauge:
        return Gauge(f"turnward_{name}", description, registry=self._registry)

    def _pool_gauge(self, name, description) -> Gauge:
        return Gauge(f"turnward_{name}", description, ["pool"], registry=self._registry)

    def _histogram(self, name, description, labels) -> Histogram:
        return Histogram(
            f"turnward_{name}", description, labels, registry=self._registry, buckets=_BUCKETS_S
        )
