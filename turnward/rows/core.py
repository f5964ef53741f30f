# SPDX-License-Identifier: BSD-3-Clause
"""A store of versioned rows in tables and parts, watched by feeds.

A transaction names the versions its rows must have, and all its rows lie in
one part. Versions come from one counter that rises with each transaction, until the
store comes back from an older copy; see ``RowVersion``.
"""

from abc import ABC, abstractmethod

import msgspec

from turnward.rows.eras import StoreEras

__all__ = [
    "RowChange",
    "RowKey",
    "StoredRow",
    "TableChanges",
    "VersionedStoreBase",
    "VersionedTransaction",
]


class RowKey(msgspec.Struct, frozen=True):
    """Where a row lies."""

    table: str
    part: str
    key: str


class StoredRow(msgspec.Struct, frozen=True):
    """A row as read; a missing one has version 0, a removed one is ``gone``."""

    key: RowKey
    value: bytes
    version: int
    gone: bool = False


class RowChange(msgspec.Struct, frozen=True):
    """A row to write if it still has ``expected_version`` (0: not there yet)."""

    key: RowKey
    value: bytes
    expected_version: int


class VersionedTransaction(msgspec.Struct, frozen=True):
    """Rows of one part that are written together or not at all."""

    changes: tuple[RowChange, ...]
    removals: tuple[RowKey, ...] = ()


class TableChanges(msgspec.Struct, frozen=True):
    """What a table holds, or what changed in it, as of ``version``.

    Attributes
    ----------
    as_of_s : float or None
        When the store is known to have answered, by the caller's clock: not later than that. A
        large answer arrives seconds afterwards. None: just now.
    provisional : bool
        Whether the store has just come back from an older copy: others have yet to write anew
        what it lost.
    """

    rows: tuple[StoredRow, ...]
    version: int
    as_of_s: float | None = None
    provisional: bool = False


class VersionedStoreBase(ABC):
    """The store; all methods that call it are coroutines.

    Every such method raises ``RowsUnavailableError`` when the call did not take
    effect, and ``RowOutcomeUnknownError`` when it may have or still may.
    """

    @property
    def eras(self) -> StoreEras:
        """The store's eras, as its answers name them; a store without returns has one."""
        return StoreEras()

    @abstractmethod
    def time_floor_s(self) -> float | None:
        """Return a time that the store's steady clock has reached; None before any answer.

        It is never later than the store's own time, and not earlier than the
        time of the last answer.
        """

    @abstractmethod
    async def read_row(self, key: RowKey) -> StoredRow:
        """Return a row; a missing one has version 0."""

    @abstractmethod
    async def read_table(self, table: str, part: str = "") -> TableChanges:
        """Return all rows of a part, page by page."""

    @abstractmethod
    async def transact(self, transaction: VersionedTransaction) -> int:
        """Write and return the version of the rows written.

        Raises
        ------
        VersionConflictError
            A row had another version, or one of another era.
        """

    @abstractmethod
    async def changes(self, table: str, after_version: int, wait_s: float) -> TableChanges:
        """Return the rows of a table changed after a version, as soon as there are any.

        Raises
        ------
        HistoryUnavailableError
            The store has forgotten changes after that version, or it is of another era.
        """
