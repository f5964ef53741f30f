# SPDX-License-Identifier: BSD-3-Clause
"""State machines of endpoints and routers, defined by state charts."""

from turnward.lifecycle.machine import Chart, ChartError, StateMachine, load_chart

__all__ = ["Chart", "ChartError", "StateMachine", "load_chart"]
