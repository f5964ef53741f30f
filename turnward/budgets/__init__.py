# SPDX-License-Identifier: BSD-3-Clause
"""Prepaid token budgets: grants from the shared store, reservations and bills."""

from turnward.budgets.billing import Bill, BillBatchResult, BillWriter
from turnward.budgets.grants import GrantChange, GrantStore
from turnward.budgets.rows import (
    BillRow,
    BudgetRow,
    GrantRow,
    bill_key,
    budget_key,
    grant_key,
    grants_prefix,
)
from turnward.ledger import (
    BudgetView,
    GrantLedger,
    GrantRequest,
    RefusalReason,
    Reservation,
    SizingRule,
)

__all__ = [
    "Bill",
    "BillBatchResult",
    "BillRow",
    "BillWriter",
    "BudgetRow",
    "BudgetView",
    "GrantRequest",
    "GrantChange",
    "GrantLedger",
    "GrantRow",
    "GrantStore",
    "RefusalReason",
    "Reservation",
    "SizingRule",
    "bill_key",
    "budget_key",
    "grant_key",
    "grants_prefix",
]
