# SPDX-License-Identifier: BSD-3-Clause
"""Rows of the store that can't be read: told once a change, and counted while they stand."""

from collections import Counter
from collections.abc import Callable

import msgspec

from turnward.rows import RowKey, StoredRow

__all__ = ["ROW_DECODE_ERRORS", "UnreadableRow", "UnreadableRows"]

#: What reading a row of any bytes may raise; the last where they nest too deep.
ROW_DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
#: Most rows remembered; more are told of at each reading.
_ROWS_LIMIT = 1_000


class UnreadableRow(msgspec.Struct, frozen=True):
    """A row that can't be read.

    Attributes
    ----------
    reason : str
        ``bytes``: no message at all; ``fields``: one is missing, or of another type or range;
        ``values``: a text that has to mean something, an address say, does not.
    """

    key: RowKey
    version: int
    reason: str
    cause: str


def _reason(failure: Exception) -> str:
    if isinstance(failure, msgspec.ValidationError):
        return "fields"
    if isinstance(failure, msgspec.DecodeError | UnicodeError | RecursionError):
        return "bytes"
    return "values"


class UnreadableRows:
    """The rows that one process could not read.

    Attributes
    ----------
    on_unreadable : callable or None
        Called with a ``UnreadableRow`` once a version of a row.
    """

    def __init__(self):
        self._rows: dict[RowKey, UnreadableRow] = {}
        self.on_unreadable: Callable[[UnreadableRow], None] | None = None

    def mark_unreadable(self, row: StoredRow, failure: Exception) -> None:
        """Note that a row could not be read."""
        known = self._rows.get(row.key)
        if known is not None and known.version == row.version:
            return
        refused = UnreadableRow(row.key, row.version, _reason(failure), str(failure))
        if known is not None or len(self._rows) < _ROWS_LIMIT:
            self._rows[row.key] = refused
        if self.on_unreadable is not None:
            self.on_unreadable(refused)

    def mark_readable(self, key: RowKey) -> None:
        """Note that a row could be read, or is gone."""
        self._rows.pop(key, None)

    def counts(self) -> Counter[tuple[str, str]]:
        """Return how many rows stand refused, by table and reason."""
        return Counter((refused.key.table, refused.reason) for refused in self._rows.values())
