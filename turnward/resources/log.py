# SPDX-License-Identifier: BSD-3-Clause
"""The configuration log in the platform's table.

A change is committed with the next revision in one transaction with the resource's
row. Routers read the entries after their own revision, so their configuration never
moves backwards. Budgets are stored in the table only, since each router needs few of them.
"""

from typing import Any

import msgspec

from turnward.budgets import BudgetRow, budget_key
from turnward.errors import TurnwardError
from turnward.ids import new_id
from turnward.resources.checks import ResourceSet
from turnward.resources.types import KINDS
from turnward.settings import SettingsError, convert_checked
from turnward.store import (
    Absent,
    Add,
    Check,
    Committed,
    FieldIs,
    OutcomeUnknownError,
    Put,
    TableBase,
    Transaction,
    VersionIs,
    Write,
)

__all__ = ["Change", "ConfigLog", "ConfigState", "LogEntry", "VersionConflictError"]

HEAD_KEY = "config/head"
ENTRIES_PREFIX = "config/entry/"
RESOURCES_PREFIX = "config/resource/"
#: Changes per transaction; each uses up to three of the 100 items that the table allows.
BATCH_CHANGES = 25
#: Kinds that routers do not keep in memory.
TABLE_ONLY_KINDS = frozenset({"budgets"})
_COMMIT_ATTEMPTS = 8


class VersionConflictError(TurnwardError):
    """The resource or the configuration was changed in the meantime."""


class Change(msgspec.Struct, frozen=True):
    """A requested change of one resource.

    Attributes
    ----------
    spec : dict or None
        The resource, or None to remove it.
    expected_version : int or None
        Version that the resource must have; 0 if it must not exist; None to
        overwrite any version.
    """

    kind: str
    name: str
    spec: dict[str, Any] | None
    expected_version: int | None = None


class LogEntry(msgspec.Struct, frozen=True):
    """An accepted change of one resource."""

    revision: int
    kind: str
    name: str
    spec: dict[str, Any] | None
    apply_id: str
    accepted_s: float


class ConfigState:
    """The resources that a process uses, at one revision."""

    __slots__ = ("resources", "revision", "versions")

    def __init__(self):
        self.resources = ResourceSet()
        self.versions: dict[tuple[str, str], int] = {}
        self.revision = 0

    def take(self, entry: LogEntry) -> bool:
        """Apply an entry; return False if its revision is not the next one."""
        if entry.revision != self.revision + 1:
            return False
        self.revision = entry.revision
        self.set(entry.kind, entry.name, entry.spec, entry.revision)
        return True

    def set(self, kind: str, name: str, spec, version: int) -> None:
        """Set or remove a resource without changing the revision."""
        if kind in TABLE_ONLY_KINDS:
            return
        if spec is None:
            self.resources.remove(kind, name)
            self.versions.pop((kind, name), None)
            return
        self.resources.put(kind, msgspec.convert(spec, KINDS[kind]))
        self.versions[(kind, name)] = version


def entry_key(revision: int) -> str:
    """Return the key of a log entry."""
    return f"{ENTRIES_PREFIX}{revision:012d}"


def resource_key(kind: str, name: str) -> str:
    """Return the key of a resource's row."""
    return f"{RESOURCES_PREFIX}{kind}/{name}"


class ConfigLog:
    """Reads and writes the configuration."""

    def __init__(self, table: TableBase):
        self._table = table

    async def head(self) -> int:
        """Return the last accepted revision."""
        row = (await self._table.read([HEAD_KEY])).get(HEAD_KEY)
        return row.value["revision"] if row else 0

    async def entries_after(self, revision: int, limit: int = 500) -> list[LogEntry]:
        """Return the changes accepted after a revision, in order."""
        rows = await self._table.scan(ENTRIES_PREFIX, entry_key(revision), limit)
        return [msgspec.convert(row.value, LogEntry) for row in rows]

    async def load(self) -> ConfigState:
        """Return the complete configuration at one revision."""
        while True:
            state = ConfigState()
            state.revision = await self.head()
            for row in await self._table.scan_all(RESOURCES_PREFIX):
                state.set(
                    row.value["kind"], row.value["name"], row.value["spec"], row.value["version"]
                )
            if await self.head() == state.revision:
                return state

    async def read_kind(self, kind: str, name: str = "") -> list[dict[str, Any]]:
        """Return the stored rows of a kind, each with name, spec and version."""
        if name:
            key = resource_key(kind, name)
            rows = list((await self._table.read([key])).values())
        else:
            rows = await self._table.scan_all(f"{RESOURCES_PREFIX}{kind}/")
        return [row.value for row in rows if row.value["spec"] is not None]

    async def apply(self, changes: list[Change], now_s: float) -> int:
        """Apply changes and return the revision that holds the last one.

        Every change is checked before the first is written.

        Raises
        ------
        SettingsError
            A change is invalid; lists all errors. No change was applied.
        VersionConflictError
            A resource is not at the expected version.
        """
        await self._check(changes)
        ordered = sorted(changes, key=_dependency_rank)
        revision = await self.head()
        for start in range(0, len(ordered), BATCH_CHANGES):
            batch = ordered[start : start + BATCH_CHANGES]
            revision = await self._apply_batch(batch, now_s)
        return revision

    async def _check(self, changes: list[Change]) -> None:
        faults = []
        state = await self.load()
        resources = state.resources.copy()
        for row in await self._budget_rows(changes, resources):
            if row["spec"] is not None:
                resources.put("budgets", msgspec.convert(row["spec"], KINDS["budgets"]))
        for change in changes:
            if change.spec is None:
                resources.remove(change.kind, change.name)
                continue
            resource, own_faults = convert_checked(change.spec, KINDS[change.kind])
            faults.extend(f"{change.kind}.{change.name}.{fault}" for fault in own_faults)
            if resource is not None:
                resources.put(change.kind, resource)
        faults.extend(resources.faults())
        if faults:
            raise SettingsError(faults)

    async def _budget_rows(self, changes, resources: ResourceSet) -> list[dict[str, Any]]:
        names = {workspace.budget for workspace in resources.by_kind["workspaces"].values()}
        names.update(
            str(change.spec.get("budget", ""))
            for change in changes
            if change.spec and change.kind == "workspaces"
        )
        keys = [resource_key("budgets", name) for name in sorted(names)]
        return [row.value for row in (await self._table.read(keys)).values()]

    async def _apply_batch(self, batch: list[Change], now_s: float) -> int:
        apply_id = new_id()
        for _ in range(_COMMIT_ATTEMPTS):
            head = await self.head()
            transaction = await self._build_transaction(batch, head, apply_id, now_s)
            last = head + len(batch)
            try:
                result = await self._table.transact(transaction)
            except OutcomeUnknownError:
                if await self._is_committed(last, apply_id):
                    return last
                continue
            if isinstance(result, Committed):
                return last
            if await self._is_committed(last, apply_id):
                return last
        raise VersionConflictError("the configuration changed during every attempt", "try again")

    async def _is_committed(self, revision: int, apply_id: str) -> bool:
        key = entry_key(revision)
        row = (await self._table.read([key])).get(key)
        return row is not None and row.value["apply_id"] == apply_id

    async def _build_transaction(
        self, batch, head: int, apply_id: str, now_s: float
    ) -> Transaction:
        keys = [resource_key(change.kind, change.name) for change in batch]
        rows = await self._table.read(keys)
        checks: list[Check] = [FieldIs(HEAD_KEY, "revision", head) if head else Absent(HEAD_KEY)]
        writes: list[Write] = [Put(HEAD_KEY, {"revision": head + len(batch)})]
        for offset, (change, key) in enumerate(zip(batch, keys, strict=True), start=1):
            row = rows.get(key)
            _require_version(change, row)
            checks.append(VersionIs(key, row.version) if row else Absent(key))
            revision = head + offset
            entry = LogEntry(revision, change.kind, change.name, change.spec, apply_id, now_s)
            writes.append(Put(entry_key(revision), msgspec.to_builtins(entry)))
            writes.append(Put(key, _resource_row(change, revision)))
            if change.kind == "budgets":
                writes.extend(await self._budget_writes(change, checks))
        return Transaction(tuple(checks), tuple(writes))

    async def _budget_writes(self, change: Change, checks: list[Check]) -> list[Write]:
        key = budget_key(change.name)
        row = (await self._table.read([key])).get(key)
        limit = change.spec["limit_tokens"] if change.spec else 0
        if row is None:
            checks.append(Absent(key))
            return [Put(key, msgspec.to_builtins(BudgetRow(limit, limit)))]
        delta = limit - row.value["limit_tokens"]
        checks.append(FieldIs(key, "limit_tokens", row.value["limit_tokens"]))
        return [Add(key, "limit_tokens", delta), Add(key, "ungranted_tokens", delta)]


def _resource_row(change: Change, revision: int) -> dict[str, Any]:
    return {
        "kind": change.kind,
        "name": change.name,
        "spec": change.spec,
        "version": revision,
    }


def _require_version(change: Change, row) -> None:
    if change.expected_version is None:
        return
    version = row.value["version"] if row and row.value["spec"] is not None else 0
    if version != change.expected_version:
        raise VersionConflictError(
            f"{change.kind}/{change.name} is at version {version}, not {change.expected_version}",
            "read it again and repeat the change",
        )


def _dependency_rank(change: Change) -> tuple[bool, int]:
    order = ["models", "priority_classes", "budgets", "pools", "workspaces", "endpoints"]
    rank = order.index(change.kind)
    return (change.spec is None, -rank if change.spec is None else rank)
