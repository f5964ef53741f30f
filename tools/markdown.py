# SPDX-License-Identifier: BSD-3-Clause
"""Markdown tables for generated pages."""

__all__ = ["table"]


def table(head: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table with the given header and rows."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(row) + " |" for row in lines)
