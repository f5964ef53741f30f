# SPDX-License-Identifier: BSD-3-Clause
"""Small helpers for tests: run coroutines that never wait, and build common rows."""

import msgspec

from turnward.budgets import BudgetRow, budget_key
from turnward.coroutines import run_now as run
from turnward.fleet import RouterRow, RouterState, router_key
from turnward.store import MemoryTable, Put, Transaction

__all__ = ["add_budget", "add_router", "run"]


def add_budget(table: MemoryTable, name: str, limit_tokens: int) -> None:
    """Write a budget's row."""
    row = msgspec.to_builtins(BudgetRow(limit_tokens, limit_tokens))
    table.apply(Transaction((), (Put(budget_key(name), row),)))


def add_router(table: MemoryTable, incarnation: str, zone="a", **fields) -> RouterRow:
    """Write a live router's row."""
    row = RouterRow(
        incarnation,
        incarnation,
        zone,
        "ost",
        f"peers-{incarnation}",
        "",
        RouterState.LIVE,
        **fields,
    )
    table.apply(Transaction((), (Put(router_key(incarnation), msgspec.to_builtins(row)),)))
    return row
