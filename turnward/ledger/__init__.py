# SPDX-License-Identifier: BSD-3-Clause
"""Accounting of the tokens that one process may spend, without input or output."""

from turnward.ledger.demand import DemandMeter
from turnward.ledger.ledger import (
    BudgetView,
    GrantLedger,
    GrantRequest,
    RefusalReason,
    Reservation,
    SizingRule,
)

__all__ = [
    "BudgetView",
    "DemandMeter",
    "GrantRequest",
    "GrantLedger",
    "RefusalReason",
    "Reservation",
    "SizingRule",
]
