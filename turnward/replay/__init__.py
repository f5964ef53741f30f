# SPDX-License-Identifier: BSD-3-Clause
"""Replays traces through the router's routing, admission and budget code."""

from turnward.replay.budgets import (
    BUDGET_SCHEMES,
    BudgetReport,
    BudgetScenario,
    replay_budget,
)
from turnward.replay.simulation import ClassReport, ReplayOptions, ReplayReport, replay
from turnward.replay.trace import GENERATORS, Trace, TraceError, TraceHeader, TraceRequest

__all__ = [
    "BUDGET_SCHEMES",
    "GENERATORS",
    "BudgetReport",
    "BudgetScenario",
    "ClassReport",
    "ReplayOptions",
    "ReplayReport",
    "Trace",
    "TraceError",
    "TraceHeader",
    "TraceRequest",
    "replay",
    "replay_budget",
]
