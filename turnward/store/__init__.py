# SPDX-License-Identifier: BSD-3-Clause
"""Clients of the platform's table, object store and instance list."""

from turnward.store.client import HttpInstanceList, HttpObjectStore, HttpTable
from turnward.store.core import InstanceListBase, ObjectStoreBase, TableBase
from turnward.store.errors import (
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
)
from turnward.store.memory import (
    FaultyTable,
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTable,
)
from turnward.store.messages import (
    Absent,
    Add,
    Check,
    Committed,
    Conflict,
    Delete,
    FieldAtLeast,
    FieldIs,
    Instance,
    Put,
    Row,
    SetField,
    Transaction,
    TransactionResult,
    VersionIs,
    Write,
)

__all__ = [
    "Absent",
    "Add",
    "Check",
    "Committed",
    "Conflict",
    "Delete",
    "FaultyTable",
    "FieldAtLeast",
    "FieldIs",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTable",
    "Instance",
    "InstanceListBase",
    "MemoryInstanceList",
    "MemoryObjectStore",
    "MemoryTable",
    "ObjectStoreBase",
    "OutcomeUnknownError",
    "PlatformError",
    "PlatformUnavailableError",
    "Put",
    "Row",
    "SetField",
    "TableBase",
    "Transaction",
    "TransactionResult",
    "VersionIs",
    "Write",
]
