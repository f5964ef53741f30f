# SPDX-License-Identifier: BSD-3-Clause
"""Takes claims in the table, many in one transaction, before calls are sent."""

from collections import deque
from enum import StrEnum

import msgspec
from twisted.internet.defer import Deferred

from turnward.claims.pairs import shard_key, shard_of
from turnward.claims.rows import ClaimRow, claim_key
from turnward.fleet import FencedError, live_check, router_key
from turnward.store import (
    Absent,
    Check,
    Committed,
    Delete,
    FieldIs,
    OutcomeUnknownError,
    PlatformError,
    Put,
    TableBase,
    Transaction,
)

__all__ = ["ClaimResult", "ClaimOutcome", "ClaimRegister"]

#: Claims in one transaction.
BATCH_CLAIMS = 40


class ClaimOutcome(StrEnum):
    """What the table said to a claim."""

    TAKEN = "taken"
    STANDING = "standing"
    STORE_UNREACHABLE = "store_unreachable"
    FENCED = "fenced"
    STALE = "stale"


class ClaimResult(msgspec.Struct, frozen=True):
    """Outcome of a claim; ``standing`` is the row that was there before."""

    outcome: ClaimOutcome
    standing: ClaimRow | None = None


class ClaimRegister:
    """Claims of one router incarnation.

    Not safe for concurrent flushes: one task owns it.

    Parameters
    ----------
    table : TableBase
        The platform's table.
    incarnation : str
        The writer; its row must be live.
    """

    def __init__(self, table: TableBase, incarnation: str):
        self._table = table
        self._incarnation = incarnation
        self._waiting: deque[tuple[ClaimRow, Deferred]] = deque()
        self._epochs: dict[str, int] = {}
        self._abandoned: dict[str, str] = {}
        self._kept: set[str] = set()

    @property
    def waiting_count(self) -> int:
        """How many claims wait for the next flush."""
        return len(self._waiting)

    def claim(self, row: ClaimRow, epoch: int = 0) -> Deferred:
        """Ask for a claim; the deferred gives a ``ClaimResult`` after a flush.

        ``epoch`` is that of the holders who recorded the claim, 0 when the
        shard has none; the claim fails when the table has another by then.
        """
        answer: Deferred = Deferred()
        self._epochs[claim_key(row.workspace, row.request_id)] = epoch
        self._waiting.append((row, answer))
        return answer

    async def flush(self) -> None:
        """Write the waiting claims and answer them."""
        while self._waiting:
            count = min(BATCH_CLAIMS, len(self._waiting))
            batch = [self._waiting.popleft() for _ in range(count)]
            keys = [claim_key(row.workspace, row.request_id) for row, _ in batch]
            await self._flush_batch(batch)
            for key in keys:
                if all(claim_key(row.workspace, row.request_id) != key for row, _ in self._waiting):
                    self._epochs.pop(key, None)

    async def _flush_batch(self, batch) -> None:
        batch = self._refuse_doubles(batch)
        while batch:
            rows = [row for row, _ in batch]
            try:
                result = await self._table.transact(self._transaction(rows))
                if isinstance(result, Committed):
                    self._answer(batch, ClaimResult(ClaimOutcome.TAKEN))
                    return
                if router_key(self._incarnation) in result.keys:
                    self._answer(batch, ClaimResult(ClaimOutcome.FENCED))
                    raise FencedError(f"incarnation {self._incarnation} is fenced")
                batch = await self._answer_standing(batch, set(result.keys))
            except OutcomeUnknownError:
                await self._read_back(batch)
                return
            except PlatformError:
                self._abandon(batch)
                return

    def _refuse_doubles(self, batch):
        first, kept = set(), []
        for row, answer in batch:
            key = claim_key(row.workspace, row.request_id)
            if key in first:
                self._waiting.append((row, answer))
            else:
                first.add(key)
                kept.append((row, answer))
        return kept

    async def _answer_standing(self, batch, failed_keys):
        keys = [claim_key(row.workspace, row.request_id) for row, _ in batch]
        standing = await self._table.read([key for key in keys if key in failed_keys])
        left = []
        for key, (row, answer) in zip(keys, batch, strict=True):
            if shard_key(shard_of(key)) in failed_keys:
                answer.callback(ClaimResult(ClaimOutcome.STALE))
            elif key not in failed_keys:
                left.append((row, answer))
            elif key in standing:
                found = msgspec.convert(standing[key].value, ClaimRow)
                answer.callback(self._judge(row, found))
            else:
                left.append((row, answer))
        return left

    async def _read_back(self, batch) -> None:
        keys = [claim_key(row.workspace, row.request_id) for row, _ in batch]
        try:
            found = await self._table.read(keys)
        except PlatformError:
            found = {}
        lost = []
        for key, (row, answer) in zip(keys, batch, strict=True):
            if key in found:
                answer.callback(self._judge(row, msgspec.convert(found[key].value, ClaimRow)))
            else:
                lost.append((row, answer))
        self._abandon(lost)

    def _judge(self, row: ClaimRow, found: ClaimRow) -> ClaimResult:
        if found.token == row.token:
            return ClaimResult(ClaimOutcome.TAKEN)
        return ClaimResult(ClaimOutcome.STANDING, found)

    def _abandon(self, batch) -> None:
        """Give claims up; a write of theirs that still arrives is undone later."""
        for row, _ in batch:
            if row.token not in self._kept:
                self.release(row)
        self._answer(batch, ClaimResult(ClaimOutcome.STORE_UNREACHABLE))

    def _answer(self, batch, answer: ClaimResult) -> None:
        for _, waiter in batch:
            waiter.callback(answer)

    def keep(self, row: ClaimRow) -> None:
        """Never remove a claim: its call goes out on the word of its holders.

        Its row is written with the bill, or by a claim's write that comes late.
        """
        self._kept.add(row.token)
        self._abandoned.pop(claim_key(row.workspace, row.request_id), None)

    def release(self, row: ClaimRow) -> None:
        """Give up a claim whose call was proved not to have run."""
        self._kept.discard(row.token)
        self._abandoned[claim_key(row.workspace, row.request_id)] = row.token

    @property
    def abandoned_count(self) -> int:
        """How many given-up claims are still to be removed."""
        return len(self._abandoned)

    async def remove_abandoned(self) -> int:
        """Remove claims that were given up but stand in the table; return how many."""
        rows = await self._table.read(list(self._abandoned))
        released = 0
        for key, row in rows.items():
            token = self._abandoned[key]
            if row.value["token"] != token:
                del self._abandoned[key]
                continue
            undo = Transaction((FieldIs(key, "token", token),), (Delete(key),))
            if isinstance(await self._table.transact(undo), Committed):
                del self._abandoned[key]
                released += 1
        return released

    def _transaction(self, rows: list[ClaimRow]) -> Transaction:
        checks: dict[str, Check] = {"": live_check(self._incarnation)}
        writes = []
        for row in rows:
            key = claim_key(row.workspace, row.request_id)
            checks[key] = Absent(key)
            shard = shard_key(shard_of(key))
            epoch = self._epochs.get(key, 0)
            checks[shard] = FieldIs(shard, "epoch", epoch) if epoch else Absent(shard)
            writes.append(Put(key, msgspec.to_builtins(row)))
        return Transaction(tuple(checks.values()), tuple(writes))
