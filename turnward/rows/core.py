# SPDX-License-Identifier: BSD-3-Clause
"""Interface of a store of versioned rows, whose changes can be followed.

Rows are grouped into tables, and tables into parts. A transaction covers rows of one part, and
states the versions that they must have. Versions come from a counter that rises with each
transaction, until the store is restored from an older copy; see ``RowVersion``.
"""

from abc import ABC, abstractmethod

import msgspec

from turnward.link_use import LinkUse
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
    """Identifies a row."""

    table: str
    part: str
    key: str


class StoredRow(msgspec.Struct, frozen=True):
    """A row as read; a missing row has version 0, and ``gone`` is set for a deleted one."""

    key: RowKey
    value: bytes
    version: int
    gone: bool = False


class RowChange(msgspec.Struct, frozen=True):
    """A row to write if it still has ``expected_version``; 0 if it must not exist."""

    key: RowKey
    value: bytes
    expected_version: int


class VersionedTransaction(msgspec.Struct, frozen=True):
    """Changes and removals in one part that are applied together or not at all."""

    changes: tuple[RowChange, ...]
    removals: tuple[RowKey, ...] = ()


class TableChanges(msgspec.Struct, frozen=True):
    """The rows of a table, or the changed ones among them, as of ``version``.

    Attributes
    ----------
    rows : tuple of StoredRow
        The rows.
    version : int
        Version of the store that the rows reflect.
    as_of_s : float or None
        When the response began to arrive, by the caller's clock; later changes may be missing. A
        large response takes seconds to arrive. None stands for the current time.
    provisional : bool
        Whether the store was restored from an older copy just now, so that lost rows have yet to
        be written again.
    """

    rows: tuple[StoredRow, ...]
    version: int
    as_of_s: float | None = None
    provisional: bool = False


class VersionedStoreBase(ABC):
    """Base class of clients of the store; all methods that call the store are coroutines.

    Each of these raises ``RowsUnavailableError`` when the call did not take effect, and
    ``RowOutcomeUnknownError`` when it may have taken effect, or still may.
    """

    @property
    def eras(self) -> StoreEras:
        """Eras of the store, as announced in its responses; a store without rollbacks has one."""
        return StoreEras()

    @property
    def link_use(self) -> LinkUse:
        """What all calls use of the link; nothing if the store is not called over a network."""
        return LinkUse()

    @abstractmethod
    def time_floor_s(self) -> float | None:
        """Return a lower bound of the store's steady clock; None before the first response.

        It is at least the store's time of the latest response.
        """

    @abstractmethod
    async def read_row(self, key: RowKey) -> StoredRow:
        """Return a row; a missing one has version 0."""

    @abstractmethod
    async def read_table(self, table: str, part: str = "") -> TableChanges:
        """Return all rows of a part of a table."""

    @abstractmethod
    async def transact(self, transaction: VersionedTransaction) -> int:
        """Apply a transaction, and return the version of the written rows.

        Raises
        ------
        VersionConflictError
            A row had another version than expected, or the expected one is of another era.
        """

    @abstractmethod
    async def changes(self, table: str, after_version: int, wait_s: float) -> TableChanges:
        """Wait up to ``wait_s`` for changes of a table after a version; return the changed rows.

        Raises
        ------
        HistoryUnavailableError
            The store no longer has these changes, or the version is of another era.
        """
