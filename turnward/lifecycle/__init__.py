# SPDX-License-Identifier: BSD-3-Clause
"""State charts of endpoints and routers."""

from turnward.lifecycle.machine import Chart, ChartError, StateMachine, load_chart

__all__ = ["Chart", "ChartError", "StateMachine", "load_chart"]
