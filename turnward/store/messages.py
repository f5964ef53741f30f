# SPDX-License-Identifier: BSD-3-Clause
"""Typed messages of the transactional table."""

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
    """Holds when the table has no row under ``key``."""

    key: str


class VersionIs(msgspec.Struct, frozen=True, tag="version_is"):
    """Holds when the row's version is ``version``."""

    key: str
    version: int


class FieldIs(msgspec.Struct, frozen=True, tag="field_is"):
    """Holds when ``field`` of the row equals ``value``."""

    key: str
    field: str
    value: Any


class FieldAtLeast(msgspec.Struct, frozen=True, tag="field_at_least"):
    """Holds when the numeric ``field`` of the row is ``minimum`` or more."""

    key: str
    field: str
    minimum: int


Check = Absent | VersionIs | FieldIs | FieldAtLeast


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Writes the whole row."""

    key: str
    value: dict[str, Any]


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Removes the row."""

    key: str


class Add(msgspec.Struct, frozen=True, tag="add"):
    """Adds ``delta`` to the numeric ``field``; a missing field counts as 0."""

    key: str
    field: str
    delta: int


class SetField(msgspec.Struct, frozen=True, tag="set_field"):
    """Writes one field of a row and leaves the others."""

    key: str
    field: str
    value: Any


Write = Put | Delete | Add | SetField


class Transaction(msgspec.Struct, frozen=True):
    """Checks and writes that take effect together or not at all."""

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
