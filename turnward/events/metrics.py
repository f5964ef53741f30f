# SPDX-License-Identifier: BSD-3-Clause
"""Metrics sent to statsd; counters and gauges are also kept in the process."""

from collections import Counter

import statsd

__all__ = ["Metrics"]


class Metrics:
    """Counters, gauges and timings.

    Parameters
    ----------
    client : statsd.StatsClient or None
        Destination; None keeps the metrics in the process only.
    """

    def __init__(self, client=None):
        self._client = client
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    @classmethod
    def from_config(cls, address: str, prefix: str = "turnward"):
        """Build from an ``IP:port`` address; with an empty one, nothing is sent."""
        if not address:
            return cls()
        host, port = address.rsplit(":", 1)
        return cls(statsd.StatsClient(host, int(port), prefix=prefix))

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self.counters[name] += amount
        if self._client:
            self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value
        if self._client:
            self._client.gauge(name, value)

    def timing(self, name: str, duration_ms: float) -> None:
        """Report a duration in milliseconds."""
        if self._client:
            self._client.timing(name, duration_ms)
