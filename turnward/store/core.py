# SPDX-License-Identifier: BSD-3-Clause
"""The platform's services as abstract base classes.

All methods are coroutines. Every method raises
``PlatformUnavailableError`` when the call did not take effect and
``OutcomeUnknownError`` when it may have.
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
        """Return rows in key order whose key starts with ``prefix`` and lies past ``after``."""

    @abstractmethod
    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Apply the transaction if all its checks hold."""

    async def scan_all(self, prefix: str, page_rows: int = 1000) -> list[Row]:
        """Return every row under ``prefix``, page by page."""
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
        """Store an object; the same name and body twice is harmless."""

    @abstractmethod
    async def get(self, name: str) -> bytes | None:
        """Return an object or None."""

    @abstractmethod
    async def names(self, prefix: str) -> list[str]:
        """Return the names that start with ``prefix``."""


class InstanceListBase(ABC):
    """The list of live and leaving instances; it lags."""

    @abstractmethod
    async def instances(self) -> list[Instance]:
        """Return the list as the platform sees it now."""
