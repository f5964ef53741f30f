# SPDX-License-Identifier: BSD-3-Clause
"""Helpers for coroutines."""

from collections.abc import Coroutine
from typing import Any

__all__ = ["run_now"]


def run_now(coroutine: Coroutine) -> Any:
    """Run a coroutine that never suspends, and return its result.

    Raises
    ------
    RuntimeError
        The coroutine suspends.

    Examples
    --------
    >>> async def answer():
    ...     return 42
    >>> run_now(answer())
    42
    """
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError("coroutine suspended; it must complete synchronously")
