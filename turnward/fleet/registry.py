# SPDX-License-Identifier: BSD-3-Clause
"""Reads and changes router rows: register, name buddies, leave, fence, close a recovery."""

import msgspec

from turnward.fleet.errors import FencedError
from turnward.fleet.rows import (
    ROUTERS_PREFIX,
    RouterRow,
    RouterState,
    live_check,
    router_key,
)
from turnward.platform import (
    Absent,
    Committed,
    Delete,
    FieldIs,
    OutcomeUnknownError,
    Put,
    SetField,
    TableBase,
    Transaction,
    VersionIs,
)

__all__ = ["RouterRegistry"]


class RouterRegistry:
    """The router rows of the table."""

    def __init__(self, table: TableBase):
        self._table = table

    async def rows(self) -> dict[str, RouterRow]:
        """Return all rows by incarnation."""
        rows = await self._table.scan_all(ROUTERS_PREFIX)
        return {row.value["incarnation"]: msgspec.convert(row.value, RouterRow) for row in rows}

    async def register(self, row: RouterRow) -> None:
        """Write the row of a new incarnation; repeated after a lost answer."""
        key = router_key(row.incarnation)
        transaction = Transaction((Absent(key),), (Put(key, msgspec.to_builtins(row)),))
        try:
            await self._table.transact(transaction)
        except OutcomeUnknownError:
            if not await self._table.read([key]):
                raise

    async def set_field(self, incarnation: str, field: str, value) -> None:
        """Change one field of a live incarnation's own row.

        Raises
        ------
        FencedError
            The incarnation is not live any more.
        """
        key = router_key(incarnation)
        write = SetField(key, field, msgspec.to_builtins(value))
        transaction = Transaction((live_check(incarnation),), (write,))
        result = await self._table.transact(transaction)
        if not isinstance(result, Committed):
            raise FencedError(f"incarnation {incarnation} is fenced")

    async def leave(self, incarnation: str) -> None:
        """Remove the row of an incarnation that has billed and returned everything."""
        write = Delete(router_key(incarnation))
        await self._table.transact(Transaction((live_check(incarnation),), (write,)))

    async def fence(self, incarnation: str, recoverer: str) -> bool:
        """Take the incarnation's right to write; True when ``recoverer`` now has the duty."""
        key = router_key(incarnation)
        writes = (
            SetField(key, "state", RouterState.FENCED.value),
            SetField(key, "writable", False),
            SetField(key, "recoverer", recoverer),
        )
        try:
            result = await self._table.transact(
                Transaction((live_check(incarnation), live_check(recoverer)), writes)
            )
        except OutcomeUnknownError:
            return await self._is_recoverer(key, recoverer)
        if isinstance(result, Committed):
            return True
        return await self._is_recoverer(key, recoverer)

    async def take_over(self, incarnation: str, recoverer: str) -> bool:
        """Take a recovery over from a recoverer that is not live any more."""
        key = router_key(incarnation)
        row = (await self._table.read([key])).get(key)
        if row is None or row.value["state"] != RouterState.FENCED:
            return False
        checks = (VersionIs(key, row.version), live_check(recoverer))
        writes = (SetField(key, "recoverer", recoverer),)
        try:
            result = await self._table.transact(Transaction(checks, writes))
        except OutcomeUnknownError:
            return await self._is_recoverer(key, recoverer)
        return isinstance(result, Committed)

    async def close_recovery(self, incarnation: str, in_doubt: bool) -> None:
        """Remove a fenced row, or keep it as recovered while tokens are in doubt."""
        key = router_key(incarnation)
        write = Delete(key)
        if in_doubt:
            write = SetField(key, "state", RouterState.RECOVERED.value)
        check = FieldIs(key, "state", RouterState.FENCED.value)
        await self._table.transact(Transaction((check,), (write,)))

    async def _is_recoverer(self, key: str, recoverer: str) -> bool:
        row = (await self._table.read([key])).get(key)
        return (
            row is not None
            and row.value["state"] == RouterState.FENCED
            and row.value.get("recoverer") == recoverer
        )
