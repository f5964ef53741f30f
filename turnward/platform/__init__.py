# SPDX-License-Identifier: BSD-3-Clause
"""The platform's table, object store and instance list."""

from turnward.platform.client import HttpInstanceList, HttpObjectStore, HttpTable
from turnward.platform.core import InstanceListBase, ObjectStoreBase, TableBase
from turnward.platform.errors import (
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
)
from turnward.platform.memory import (
    FaultyTable,
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTable,
)
from turnward.platform.messages import (
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
