# SPDX-License-Identifier: BSD-3-Clause
"""A process's own account of the tokens it may spend: pure decisions."""

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
