# SPDX-License-Identifier: BSD-3-Clause
"""Rows of budgets, grants and bills in the shared store, and their keys.

For each budget, ``limit = ungranted + spent + granted of all grant rows``
holds after every transaction, so spending cannot exceed the limit.
"""

import msgspec

__all__ = [
    "BillRow",
    "BudgetRow",
    "GrantRow",
    "bill_key",
    "budget_key",
    "grant_key",
    "grants_prefix",
]


class BudgetRow(msgspec.Struct, frozen=True):
    """State of a budget.

    Attributes
    ----------
    limit_tokens : int
        Limit set by operators.
    ungranted_tokens : int
        Tokens not granted to any router. Negative if the limit was lowered
        below the tokens in use: that many must still be recalled.
    spent_tokens : int
        Billed tokens that were moved here from grant rows.
    """

    limit_tokens: int
    ungranted_tokens: int
    spent_tokens: int = 0


class GrantRow(msgspec.Struct, frozen=True):
    """Tokens of a budget that are granted to one router incarnation.

    Attributes
    ----------
    granted_tokens : int
        Tokens moved from the budget to this incarnation.
    settled_tokens : int
        Tokens billed under this grant.
    last_change : str
        Id of the last change of the row.
    in_doubt_tokens : int
        Tokens of a fenced router that may or may not have been used.
    """

    budget: str
    incarnation: str
    granted_tokens: int
    settled_tokens: int
    last_change: str
    in_doubt_tokens: int = 0


class BillRow(msgspec.Struct, frozen=True):
    """The only bill of a request; ``run_id`` is the run that is billed."""

    request_id: str
    run_id: str
    workspace: str
    budget: str
    tokens: int
    incarnation: str
    endpoint: str
    fingerprint: str


def budget_key(budget: str) -> str:
    """Return the key of a budget's row."""
    return f"budget/{budget}"


def grants_prefix(incarnation: str) -> str:
    """Return the prefix of an incarnation's grant rows."""
    return f"grant/{incarnation}/"


def grant_key(incarnation: str, budget: str) -> str:
    """Return the key of a grant row."""
    return f"{grants_prefix(incarnation)}{budget}"


def bill_key(workspace: str, request_id: str) -> str:
    """Return the key of a request's bill."""
    return f"bill/{workspace}/{request_id}"
