# SPDX-License-Identifier: BSD-3-Clause
"""Abstract base classes of the clients of the platform's services.

All methods are coroutines. Every method raises ``PlatformUnavailableError`` when the call did not
take effect, and ``OutcomeUnknownError`` when it may have taken effect.
"""

from abc import ABC, abstractmethod

from turnward.store.messages import Instance, Row, Transaction, TransactionResult

__all__ = ["InstanceListBase", "ObjectStoreBase", "TableBase"]


class TableBase(ABC):
    """The transactional table."""

    @abstractmethod
    async def read(self, keys: list[str]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``."""

    @abstractmethod
    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return up to ``limit`` rows with a prefix and a key greater than ``after``, by key."""

    @abstractmethod
    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply the transaction if all its checks succeed."""

    async def scan_all(self, prefix: str, page_rows: int = 1000) -> list[Row]:
        """Return all rows whose key starts with ``prefix``, read in pages."""
        rows: list[Row] = []
        after = ""
        while True:
            page = await self.scan(prefix, after, page_rows)
            rows.extend(page)
            if len(page) < page_rows:
                return rows
            after = page[-1].key


class ObjectStoreBase(ABC):
    """The object store."""

    @abstractmethod
    async def put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same object again has no effect."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""

    @abstractmethod
    async def names(self, prefix: str) -> list[str]:
        """Return the names of objects that start with ``prefix``."""


class InstanceListBase(ABC):
    """The platform's list of live and leaving instances, which may be out of date."""

    @abstractmethod
    async def instances(self) -> list[Instance]:
        """Return the current entries of the list."""
