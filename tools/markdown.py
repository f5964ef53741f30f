# SPDX-License-Identifier: BSD-3-Clause
"""Tables in Markdown, for pages that are made from figures."""

__all__ = ["table"]


def table(head: list[str], rows: list[list[str]]) -> str:
    """Return a Markdown table."""
    parts = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(row) + " |" for row in parts)
