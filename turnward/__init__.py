# SPDX-License-Identifier: BSD-3-Clause
"""turnward: a fleet of request routers that enforce prepaid token budgets."""

__all__ = ["__version__"]

__version__ = "0.1.0"
