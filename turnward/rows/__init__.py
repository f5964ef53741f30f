# SPDX-License-Identifier: BSD-3-Clause
"""Store of versioned rows: base class, messages and errors."""

from turnward.rows.core import (
    RowChange,
    RowKey,
    StoredRow,
    TableChanges,
    VersionedStoreBase,
    VersionedTransaction,
)
from turnward.rows.eras import RowVersion, StoreEras
from turnward.rows.errors import (
    HistoryUnavailableError,
    RowOutcomeUnknownError,
    RowStoreError,
    RowsUnavailableError,
    VersionConflictError,
)

__all__ = [
    "HistoryUnavailableError",
    "RowChange",
    "RowKey",
    "RowOutcomeUnknownError",
    "RowStoreError",
    "RowVersion",
    "RowsUnavailableError",
    "StoreEras",
    "StoredRow",
    "TableChanges",
    "VersionConflictError",
    "VersionedStoreBase",
    "VersionedTransaction",
]
