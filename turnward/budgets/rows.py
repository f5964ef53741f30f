# SPDX-License-Identifier: BSD-3-Clause
"""Rows that budgets keep in the platform's table, and their keys.

For each budget, ``limit = ungranted + spent + granted of all grant rows``
holds after every transaction, so what is spent can't pass the limit.
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
    """A budget's account.

    Attributes
    ----------
    limit_tokens : int
        The limit that operators set.
    ungranted_tokens : int
        Not yet handed to any router. Below 0 after the limit was lowered
        under what is granted: that much is still to be recalled.
    spent_tokens : int
        Billed under grants that are closed.
    """

    limit_tokens: int
    ungranted_tokens: int
    spent_tokens: int = 0


class GrantRow(msgspec.Struct, frozen=True):
    """What one router incarnation holds of a budget.

    Attributes
    ----------
    granted_tokens : int
        Tokens moved from the budget to this incarnation.
    settled_tokens : int
        Tokens billed under this grant.
    last_change : str
        Id of the last change, chosen by its writer.
    in_doubt_tokens : int
        Tokens of a fenced router whose use is not proved.
    """

    budget: str
    incarnation: str
    granted_tokens: int
    settled_tokens: int
    last_change: str
    in_doubt_tokens: int = 0


class BillRow(msgspec.Struct, frozen=True):
    """The one bill of a request; ``run_id`` tells which of its runs is billed."""

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
