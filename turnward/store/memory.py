# SPDX-License-Identifier: BSD-3-Clause
"""In-memory implementations of the platform's services, for stand-ins and tests."""

from sortedcontainers import SortedDict

from turnward.store.core import InstanceListBase, ObjectStoreBase, TableBase
from turnward.store.errors import OutcomeUnknownError, PlatformUnavailableError
from turnward.store.messages import (
    Absent,
    Add,
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
)

__all__ = ["FaultyTable", "MemoryInstanceList", "MemoryObjectStore", "MemoryTable"]


class MemoryTable(TableBase):
    """A transactional table in memory; the version of a key keeps rising after a deletion."""

    def __init__(self):
        self._rows: SortedDict = SortedDict()
        self._versions: dict[str, int] = {}
        self.read_count = 0
        self.write_count = 0

    async def read(self, keys):
        """See ``TableBase.read``."""
        self.read_count += len(keys)
        return {key: self._rows[key] for key in keys if key in self._rows}

    async def scan(self, prefix, after="", limit=1000):
        """See ``TableBase.scan``."""
        rows: list[Row] = []
        start = max(prefix, after)
        for key in self._rows.irange(start, inclusive=(True, False)):
            if not key.startswith(prefix) or len(rows) == limit:
                break
            if key > after:
                rows.append(self._rows[key])
        self.read_count += max(1, len(rows))
        return rows

    async def transact(self, transaction):
        """See ``TableBase.transact``."""
        return self.apply(transaction)

    def apply(self, transaction: Transaction) -> TransactionResult:
        """Apply the transaction if all its checks succeed."""
        self.write_count += 1
        failed = tuple(check.key for check in transaction.checks if not self._succeeds(check))
        if failed:
            return Conflict(failed)
        for write in transaction.writes:
            self._write(write)
        return Committed()

    def _succeeds(self, check) -> bool:
        row = self._rows.get(check.key)
        match check:
            case Absent():
                return row is None
            case VersionIs(version=version):
                return row is not None and row.version == version
            case FieldIs(field=field, value=value):
                return row is not None and row.value.get(field) == value
            case FieldAtLeast(field=field, minimum=minimum):
                return row is not None and row.value.get(field, 0) >= minimum
        raise TypeError(f"unknown check {check!r}")

    def _write(self, write) -> None:
        version = self._versions.get(write.key, 0) + 1
        self._versions[write.key] = version
        match write:
            case Put(key=key, value=value):
                self._rows[key] = Row(key, dict(value), version)
            case Add(key=key, field=field, delta=delta):
                row = self._rows.get(key)
                value = dict(row.value) if row else {}
                value[field] = value.get(field, 0) + delta
                self._rows[key] = Row(key, value, version)
            case SetField(key=key, field=field, value=value):
                row = self._rows.get(key)
                self._rows[key] = Row(key, {**(row.value if row else {}), field: value}, version)
            case Delete(key=key):
                self._rows.pop(key, None)
            case _:
                raise TypeError(f"unknown write {write!r}")


class FaultyTable(TableBase):
    """One client's connection to a table, with injected faults.

    Clients of the same ``MemoryTable`` can fail independently of each other.

    Attributes
    ----------
    table : MemoryTable
        The shared table.
    down : bool
        Whether calls fail without reaching the table.
    lose_answers : int
        Number of further writes that take effect without a response.
    """

    def __init__(self, table: MemoryTable):
        self.table = table
        self.down = False
        self.lose_answers = 0

    async def read(self, keys):
        """See ``TableBase.read``."""
        self._require_up()
        return await self.table.read(keys)

    async def scan(self, prefix, after="", limit=1000):
        """See ``TableBase.scan``."""
        self._require_up()
        return await self.table.scan(prefix, after, limit)

    async def transact(self, transaction):
        """See ``TableBase.transact``."""
        self._require_up()
        result = self.table.apply(transaction)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise OutcomeUnknownError("the response was lost")
        return result

    def _require_up(self) -> None:
        if self.down:
            raise PlatformUnavailableError("the table is down")


class MemoryObjectStore(ObjectStoreBase):
    """An object store in memory."""

    def __init__(self):
        self._objects: dict[str, bytes] = {}

    async def put(self, name, body):
        """See ``ObjectStoreBase.put``."""
        self._objects[name] = body

    async def get(self, name):
        """See ``ObjectStoreBase.get``."""
        return self._objects.get(name)

    async def names(self, prefix):
        """See ``ObjectStoreBase.names``."""
        return sorted(name for name in self._objects if name.startswith(prefix))


class MemoryInstanceList(InstanceListBase):
    """An instance list whose entries tests set directly."""

    def __init__(self):
        self.entries: dict[str, Instance] = {}

    async def instances(self):
        """See ``InstanceListBase.instances``."""
        return list(self.entries.values())
