# SPDX-License-Identifier: BSD-3-Clause
"""Reads and changes router rows: register, name buddies, leave, fence, close a recovery.

Every change takes the next revision of the fleet's log in the same transaction, so
that a router learns of changes by one read a poll, and reads only the rows that
changed. Reading all rows at each poll would cost reads in the square of the fleet.
"""

import random

import msgspec

from turnward.fleet.errors import FencedError
from turnward.fleet.rows import (
    ROUTERS_PREFIX,
    RouterRow,
    RouterState,
    live_check,
    router_key,
)
from turnward.store import (
    Absent,
    Check,
    Committed,
    Delete,
    FieldIs,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Put,
    Row,
    SetField,
    TableBase,
    Transaction,
    TransactionResult,
    VersionIs,
    Write,
)

__all__ = ["RouterRegistry"]

HEAD_KEY = "fleet/head"
ENTRIES_PREFIX = "fleet/entry/"
#: Log entries kept; a router further behind reads all rows.
KEPT_ENTRIES = 500
_RETRIES = 30
#: Bounds of the random pause between tries, in seconds.
FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 1.0


class RouterRegistry:
    """The router rows of the table, with a view that follows their log.

    Parameters
    ----------
    table : TableBase
        The platform's table.
    pause : callable, optional
        Gives a deferred that fires after so many seconds; writers that contend
        for the log's head wait a random while between tries.
    """

    def __init__(self, table: TableBase, pause=None):
        self._table = table
        self._pause = pause
        self._rows: dict[str, RouterRow] = {}
        self._revision: int | None = None

    async def rows(self) -> dict[str, RouterRow]:
        """Return all rows by incarnation, reading only what changed."""
        head = await self._head()
        if self._revision is None or head - self._revision > KEPT_ENTRIES:
            await self._read_all(head)
        elif head != self._revision:
            await self._read_changed(head)
        return dict(self._rows)

    async def register(self, row: RouterRow) -> None:
        """Write the row of a new incarnation; repeated after a lost answer."""
        key = router_key(row.incarnation)
        write = Put(key, msgspec.to_builtins(row))
        try:
            await self._change(row.incarnation, (Absent(key),), (write,))
        except OutcomeUnknownError:
            # The row, or a late write of it, is found by the next try's check.
            if not await self._table.read([key]):
                raise

    async def set_field(self, incarnation: str, field: str, value) -> None:
        """Change one field of a live incarnation's own row.

        Raises
        ------
        FencedError
            The incarnation is not live any more.
        """
        write = SetField(router_key(incarnation), field, msgspec.to_builtins(value))
        result = await self._change(incarnation, (live_check(incarnation),), (write,))
        if not isinstance(result, Committed):
            raise FencedError(f"incarnation {incarnation} is fenced")

    async def leave(self, incarnation: str) -> None:
        """Remove the row of an incarnation that has billed and returned everything."""
        write = Delete(router_key(incarnation))
        await self._change(incarnation, (live_check(incarnation),), (write,))

    async def fence(self, incarnation: str, recoverer: str) -> bool:
        """Take the incarnation's right to write; True when ``recoverer`` now has the duty."""
        key = router_key(incarnation)
        checks = (live_check(incarnation), live_check(recoverer))
        writes = (
            SetField(key, "state", RouterState.FENCED.value),
            SetField(key, "writable", False),
            SetField(key, "recoverer", recoverer),
        )
        try:
            result = await self._change(incarnation, checks, writes)
        except OutcomeUnknownError:
            return await self._is_recoverer(key, recoverer)
        return isinstance(result, Committed) or await self._is_recoverer(key, recoverer)

    async def take_over(self, incarnation: str, recoverer: str) -> bool:
        """Take a recovery over from a recoverer that is not live any more."""
        key = router_key(incarnation)
        row = (await self._table.read([key])).get(key)
        if row is None or row.value["state"] != RouterState.FENCED:
            return False
        checks = (VersionIs(key, row.version), live_check(recoverer))
        write = SetField(key, "recoverer", recoverer)
        try:
            result = await self._change(incarnation, checks, (write,))
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
        await self._change(incarnation, (check,), (write,))

    async def _change(
        self, incarnation: str, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> TransactionResult:
        """Write under the next revision; tried again while only the revision is in the way."""
        for attempt in range(_RETRIES):
            head = await self._head()
            entry = Put(_entry_key(head + 1), {"incarnation": incarnation})
            log_writes = (
                Put(HEAD_KEY, {"revision": head + 1}),
                entry,
                Delete(_entry_key(head + 1 - KEPT_ENTRIES)),
            )
            check = FieldIs(HEAD_KEY, "revision", head) if head else Absent(HEAD_KEY)
            result = await self._table.transact(
                Transaction((*checks, check), (*writes, *log_writes))
            )
            if isinstance(result, Committed) or set(result.keys) != {HEAD_KEY}:
                return result
            if self._pause is not None:
                longest_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**attempt)
                await self._pause(random.uniform(0.0, longest_s))
        raise PlatformUnavailableError("the fleet's log is contended for", "it is tried again")

    async def _head(self) -> int:
        row = (await self._table.read([HEAD_KEY])).get(HEAD_KEY)
        return row.value["revision"] if row else 0

    async def _read_all(self, head: int) -> None:
        rows = await self._table.scan_all(ROUTERS_PREFIX)
        self._rows = {row.value["incarnation"]: _router_row(row) for row in rows}
        self._revision = head

    async def _read_changed(self, head: int) -> None:
        entries = await self._table.scan(ENTRIES_PREFIX, _entry_key(self._revision), KEPT_ENTRIES)
        changed = {entry.value["incarnation"] for entry in entries}
        rows = await self._table.read([router_key(incarnation) for incarnation in changed])
        for incarnation in changed:
            row = rows.get(router_key(incarnation))
            if row is None:
                self._rows.pop(incarnation, None)
            else:
                self._rows[incarnation] = _router_row(row)
        self._revision = head

    async def _is_recoverer(self, key: str, recoverer: str) -> bool:
        row = (await self._table.read([key])).get(key)
        return (
            row is not None
            and row.value["state"] == RouterState.FENCED
            and row.value.get("recoverer") == recoverer
        )


def _router_row(row: Row) -> RouterRow:
    return msgspec.convert(row.value, RouterRow)


def _entry_key(revision: int) -> str:
    return f"{ENTRIES_PREFIX}{revision:012d}"
