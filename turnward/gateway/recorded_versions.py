# SPDX-License-Identifier: BSD-3-Clause
"""What the store's row of a pool tells of the software versions that the pool had lately."""

from enum import StrEnum

import msgspec

from turnward.gateway.unreadable_rows import ROW_DECODE_ERRORS, UnreadableRows
from turnward.rows import StoredRow

__all__ = ["RecordedVersions", "RowStanding"]


class RowStanding(StrEnum):
    """Whether the versions in a row are all that may have streams."""

    COMPLETE = "complete"
    ABSENT = "absent"
    UNREADABLE = "unreadable"


class RecordedVersions(msgspec.Struct, frozen=True):
    """The versions that are recorded of a pool.

    Attributes
    ----------
    versions : frozenset of str
        Those that could be read.
    standing : RowStanding
        Whether they are all.
    """

    versions: frozenset[str] = frozenset()
    standing: RowStanding = RowStanding.ABSENT

    @classmethod
    def from_row(cls, row: StoredRow, unreadable_rows: UnreadableRows) -> "RecordedVersions":
        """Return what a row tells; report it if it can't be decoded."""
        if row.gone or not row.version:
            return cls()
        try:
            versions = msgspec.json.decode(row.value, type=list[str])
        except ROW_DECODE_ERRORS as error:
            unreadable_rows.mark_unreadable(row, error)
            return cls(standing=RowStanding.UNREADABLE)
        unreadable_rows.mark_readable(row.key)
        return cls(frozenset(versions), RowStanding.COMPLETE)

    @property
    def complete(self) -> bool:
        """Whether no other versions may have streams."""
        return self.standing is RowStanding.COMPLETE
