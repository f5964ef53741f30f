# SPDX-License-Identifier: BSD-3-Clause
"""What a router's own link carries, by purpose."""

from collections.abc import Callable

import msgspec

from turnward.link_use import LinkUse

__all__ = ["CHECK_INTERVAL_S", "LinkTraffic"]

#: Interval in which the traffic is measured.
CHECK_INTERVAL_S = 1.0
#: Share of the link's bandwidth, in either direction, from which its traffic is logged.
_BUSY_SHARE = 0.5
_BYTES_PER_S_PER_MBIT_PER_S = 125_000
_BYTES_PER_KB = 1_000


class _Reading(msgspec.Struct, frozen=True):
    """Bytes received and sent so far, by purpose."""

    received: dict[str, int]
    sent: dict[str, int]


class LinkTraffic:
    """The bytes that the router's link carries, by purpose and direction.

    Parameters
    ----------
    counts : dict of str to LinkUse
        The counts by purpose.
    link_mbit_per_s : float
        Bandwidth of the link in each direction; 0 if it is not known.
    delay_ms : callable
        Returns the delay of the link, for the log.
    accepted : callable
        Returns the number of callers' connections that were accepted so far, for the log.
    metrics, log
        Receivers of the reports.
    """

    def __init__(
        self,
        counts: dict[str, LinkUse],
        link_mbit_per_s: float,
        delay_ms: Callable[[], int],
        accepted: Callable[[], int],
        metrics,
        log,
    ):
        self._counts = counts
        self._bandwidth_bytes_per_s = link_mbit_per_s * _BYTES_PER_S_PER_MBIT_PER_S
        self._delay_ms = delay_ms
        self._accepted = accepted
        self._previously_accepted = 0
        self._metrics = metrics
        self._log = log
        self._previous = self._read()

    def _read(self) -> _Reading:
        return _Reading(
            {purpose: count.received for purpose, count in self._counts.items()},
            {purpose: count.sent for purpose, count in self._counts.items()},
        )

    def totals_kb(self) -> dict[str, tuple[int, int]]:
        """Return the kilobytes received and sent so far, by purpose."""
        return {
            purpose: (count.received // _BYTES_PER_KB, count.sent // _BYTES_PER_KB)
            for purpose, count in self._counts.items()
        }

    def check(self) -> None:
        """Count what was carried since the last call; log it if the link is busy."""
        accepted = self._accepted() - self._previously_accepted
        self._previously_accepted += accepted
        reading, previous = self._read(), self._previous
        self._previous = reading
        received = _subtract(reading.received, previous.received)
        sent = _subtract(reading.sent, previous.sent)
        for direction, values in (("received", received), ("sent", sent)):
            for purpose, value in values.items():
                self._metrics.link_bytes.labels(purpose, direction).inc(value)
        busiest_bytes = max(sum(received.values()), sum(sent.values()))
        busy_bytes = _BUSY_SHARE * self._bandwidth_bytes_per_s * CHECK_INTERVAL_S
        if not busy_bytes or busiest_bytes < busy_bytes:
            return
        self._log.belief(
            "link.busy",
            received_kb={purpose: value // _BYTES_PER_KB for purpose, value in received.items()},
            sent_kb={purpose: value // _BYTES_PER_KB for purpose, value in sent.items()},
            share=round(_BUSY_SHARE * busiest_bytes / busy_bytes, 2),
            delay_ms=self._delay_ms(),
            accepted=accepted,
        )


def _subtract(values: dict[str, int], previous: dict[str, int]) -> dict[str, int]:
    return {purpose: value - previous[purpose] for purpose, value in values.items()}
