# SPDX-License-Identifier: BSD-3-Clause
"""Tracks rows of the store that can't be decoded, for logs and metrics."""

from collections import Counter
from collections.abc import Callable

import msgspec

from turnward.rows import RowKey, StoredRow

__all__ = ["ROW_DECODE_ERRORS", "UnreadableRow", "UnreadableRows"]

#: Errors that decoding a row may raise; ``RecursionError`` when values are nested too deeply.
ROW_DECODE_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
#: Most characters of a cause that are kept; it may quote a value of any size.
_MAX_CAUSE_CHARS = 200
#: Rows beyond this number are not remembered, and are reported each time that they are read.
_MAX_ROWS = 1_000


class UnreadableRow(msgspec.Struct, frozen=True):
    """A row that can't be decoded.

    Attributes
    ----------
    reason : str
        ``bytes``: malformed encoding; ``fields``: a field is missing, or has a wrong type or is
        out of range; ``values``: a text can't be parsed, such as an address.
    cause : str
        Text of the decoding error.
    """

    key: RowKey
    version: int
    reason: str
    cause: str


def _reason(error: Exception) -> str:
    if isinstance(error, msgspec.ValidationError):
        return "fields"
    if isinstance(error, msgspec.DecodeError | UnicodeError | RecursionError):
        return "bytes"
    return "values"


class UnreadableRows:
    """The rows that one process could not decode.

    Attributes
    ----------
    on_unreadable : callable or None
        Called with an ``UnreadableRow`` once for each version of a row.
    """

    def __init__(self):
        self._rows: dict[RowKey, UnreadableRow] = {}
        self.on_unreadable: Callable[[UnreadableRow], None] | None = None

    def mark_unreadable(self, row: StoredRow, error: Exception) -> None:
        """Record that a row could not be decoded."""
        known = self._rows.get(row.key)
        if known is not None and known.version == row.version:
            return
        cause = str(error)[:_MAX_CAUSE_CHARS]
        unreadable = UnreadableRow(row.key, row.version, _reason(error), cause)
        if known is not None or len(self._rows) < _MAX_ROWS:
            self._rows[row.key] = unreadable
        if self.on_unreadable is not None:
            self.on_unreadable(unreadable)

    def mark_readable(self, key: RowKey) -> None:
        """Record that a row could be decoded, or was removed."""
        self._rows.pop(key, None)

    def counts(self) -> Counter[tuple[str, str]]:
        """Return the current number of unreadable rows by table and reason."""
        return Counter(
            (unreadable.key.table, unreadable.reason) for unreadable in self._rows.values()
        )
