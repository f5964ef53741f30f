# SPDX-License-Identifier: BSD-3-Clause
"""turnward: a router fleet for prepaid token budgets."""

__all__ = ["__version__"]

__version__ = "0.1.0"
