# SPDX-License-Identifier: BSD-3-Clause
"""Reads and changes router rows: registration, buddies, removal, fencing and recovery.

Every change appends an entry to the fleet's log in the same transaction. A poll
therefore reads the log's head and, after a change, only the changed rows. Reading
all rows at each poll would cost a number of reads quadratic in the fleet's size.
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
#: Retained log entries; a router that is further behind reads all rows.
RETAINED_ENTRIES = 500
_MAX_ATTEMPTS = 30
#: Upper limit of the random pause after the first attempt; doubles with each attempt.
INITIAL_PAUSE_LIMIT_S = 0.01
MAX_PAUSE_LIMIT_S = 1.0


class RouterRegistry:
    """The router rows in the store, with a local copy that is updated from their log.

    Parameters
    ----------
    table : TableBase
        The shared store's table.
    pause : callable, optional
        Returns a deferred that fires after the given number of seconds. Writers
        that contend for the log's head wait for a random time between attempts.
    """

    def __init__(self, table: TableBase, pause=None):
        self._table = table
        self._pause = pause
        self._rows: dict[str, RouterRow] = {}
        self._revision: int | None = None

    async def rows(self) -> dict[str, RouterRow]:
        """Return all rows by incarnation; only changed rows are read from the store."""
        head = await self._head()
        if self._revision is None or head - self._revision > RETAINED_ENTRIES:
            await self._read_all(head)
        elif head != self._revision:
            await self._read_changed(head)
        return dict(self._rows)

    async def register(self, row: RouterRow) -> None:
        """Write the row of a new incarnation; may be repeated after an unknown outcome."""
        key = router_key(row.incarnation)
        write = Put(key, msgspec.to_builtins(row))
        try:
            await self._change(row.incarnation, (Absent(key),), (write,))
        except OutcomeUnknownError:
            # If a delayed write stores the row later, the next attempt's check finds it.
            if not await self._table.read([key]):
                raise

    async def set_field(self, incarnation: str, field: str, value) -> None:
        """Change one field of the row of a live incarnation.

        Raises
        ------
        FencedError
            The incarnation is fenced.
        """
        write = SetField(router_key(incarnation), field, msgspec.to_builtins(value))
        result = await self._change(incarnation, (live_check(incarnation),), (write,))
        if not isinstance(result, Committed):
            raise FencedError(f"incarnation {incarnation} is fenced")

    async def leave(self, incarnation: str) -> None:
        """Remove the row of an incarnation that has written its bills and returned its tokens."""
        write = Delete(router_key(incarnation))
        await self._change(incarnation, (live_check(incarnation),), (write,))

    async def fence(self, incarnation: str, recoverer: str) -> bool:
        """Revoke an incarnation's right to write; True if ``recoverer`` must now recover it."""
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
        """Take over a recovery from a recoverer that is no longer live."""
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
        """Remove a fenced row, or mark it as recovered if tokens remain in doubt."""
        key = router_key(incarnation)
        write = Delete(key)
        if in_doubt:
            write = SetField(key, "state", RouterState.RECOVERED.value)
        check = FieldIs(key, "state", RouterState.FENCED.value)
        await self._change(incarnation, (check,), (write,))

    async def _change(
        self, incarnation: str, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> TransactionResult:
        """Write with a new log entry; retried as long as only the log's head conflicts."""
        for attempt in range(_MAX_ATTEMPTS):
            head = await self._head()
            entry = Put(_entry_key(head + 1), {"incarnation": incarnation})
            log_writes = (
                Put(HEAD_KEY, {"revision": head + 1}),
                entry,
                Delete(_entry_key(head + 1 - RETAINED_ENTRIES)),
            )
            check = FieldIs(HEAD_KEY, "revision", head) if head else Absent(HEAD_KEY)
            result = await self._table.transact(
                Transaction((*checks, check), (*writes, *log_writes))
            )
            if isinstance(result, Committed) or set(result.keys) != {HEAD_KEY}:
                return result
            if self._pause is not None:
                pause_limit_s = min(MAX_PAUSE_LIMIT_S, INITIAL_PAUSE_LIMIT_S * 2**attempt)
                await self._pause(random.uniform(0.0, pause_limit_s))
        raise PlatformUnavailableError(
            "too many concurrent changes of the fleet's log", "the change will be retried"
        )

    async def _head(self) -> int:
        row = (await self._table.read([HEAD_KEY])).get(HEAD_KEY)
        return row.value["revision"] if row else 0

    async def _read_all(self, head: int) -> None:
        rows = await self._table.scan_all(ROUTERS_PREFIX)
        self._rows = {row.value["incarnation"]: _router_row(row) for row in rows}
        self._revision = head

    async def _read_changed(self, head: int) -> None:
        entries = await self._table.scan(
            ENTRIES_PREFIX, _entry_key(self._revision), RETAINED_ENTRIES
        )
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
