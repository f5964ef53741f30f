# SPDX-License-Identifier: BSD-3-Clause
"""Messages of the transactional table, and entries of the instance list."""

from typing import Any

import msgspec

__all__ = [
    "Absent",
    "Add",
    "Check",
    "Committed",
    "Conflict",
    "Delete",
    "FieldAtLeast",
    "FieldIs",
    "Instance",
    "Put",
    "Row",
    "SetField",
    "Transaction",
    "TransactionResult",
    "VersionIs",
    "Write",
]


class Absent(msgspec.Struct, frozen=True, tag="absent"):
    """Succeeds if the row does not exist."""

    key: str


class VersionIs(msgspec.Struct, frozen=True, tag="version_is"):
    """Succeeds if the row exists and has this version."""

    key: str
    version: int


class FieldIs(msgspec.Struct, frozen=True, tag="field_is"):
    """Succeeds if ``field`` of the row equals ``value``."""

    key: str
    field: str
    value: Any


class FieldAtLeast(msgspec.Struct, frozen=True, tag="field_at_least"):
    """Succeeds if the numeric ``field`` of the row is at least ``minimum``."""

    key: str
    field: str
    minimum: int


Check = Absent | VersionIs | FieldIs | FieldAtLeast


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Creates or replaces a row."""

    key: str
    value: dict[str, Any]


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Deletes a row."""

    key: str


class Add(msgspec.Struct, frozen=True, tag="add"):
    """Adds ``delta`` to the numeric ``field`` of a row; a missing field counts as 0."""

    key: str
    field: str
    delta: int


class SetField(msgspec.Struct, frozen=True, tag="set_field"):
    """Sets one field of a row, and keeps the others."""

    key: str
    field: str
    value: Any


Write = Put | Delete | Add | SetField


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are applied together, if all checks succeed."""

    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()


class Row(msgspec.Struct, frozen=True):
    """A row as read; ``version`` rises with each write of the row."""

    key: str
    value: dict[str, Any]
    version: int


class Committed(msgspec.Struct, frozen=True, tag="committed"):
    """The transaction took effect."""


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """Nothing was written; ``keys`` are the rows whose checks failed."""

    keys: tuple[str, ...]


TransactionResult = Committed | Conflict


class Instance(msgspec.Struct, frozen=True):
    """One entry of the platform's instance list."""

    instance: str
    leaving: bool
