# SPDX-License-Identifier: BSD-3-Clause
"""turnward: a fleet of request routers that enforce prepaid token budgets."""

from turnward.clocks import PROCESS_START_S

__all__ = ["PROCESS_START_S", "__version__"]

__version__ = "0.1.0"
