# SPDX-License-Identifier: BSD-3-Clause
"""Events, logs, metrics and clocks."""

from turnward.clocks import ClockBase, ManualClock, SystemClock
from turnward.events.clock import HybridClock, HybridTimestamp
from turnward.events.logs import configure_logs, get_log
from turnward.events.metrics import Metrics
from turnward.events.timeline import Event, EventLog, matches, merge_events, render_event

__all__ = [
    "ClockBase",
    "Event",
    "EventLog",
    "HybridClock",
    "ManualClock",
    "Metrics",
    "HybridTimestamp",
    "SystemClock",
    "configure_logs",
    "get_log",
    "matches",
    "merge_events",
    "render_event",
]
