# SPDX-License-Identifier: BSD-3-Clause
"""Writes claims to the store in batches, before their calls are sent."""

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

#: Claims per transaction.
BATCH_CLAIMS = 40


class ClaimOutcome(StrEnum):
    """Outcome of writing a claim to the store.

    STANDING means that another claim of the same request id exists, STALE that
    the stored epoch of the shard's holders differs from that of the claim.
    """

    TAKEN = "taken"
    STANDING = "standing"
    STORE_UNREACHABLE = "store_unreachable"
    FENCED = "fenced"
    STALE = "stale"


class ClaimResult(msgspec.Struct, frozen=True):
    """Outcome of a claim; ``standing`` is the existing row of the same request id, if any."""

    outcome: ClaimOutcome
    standing: ClaimRow | None = None


class ClaimRegister:
    """Queues and writes the claims of one router incarnation.

    Not safe for concurrent flushes: a single task must own it.

    Parameters
    ----------
    table : TableBase
        The shared store's table.
    incarnation : str
        Incarnation of the router that writes; it must not be fenced.
    """

    def __init__(self, table: TableBase, incarnation: str):
        self._table = table
        self._incarnation = incarnation
        self._waiting: deque[tuple[ClaimRow, Deferred]] = deque()
        self._epochs: dict[str, int] = {}
        self._abandoned: dict[str, str] = {}
        self._protected_tokens: set[str] = set()

    @property
    def waiting_count(self) -> int:
        """Number of claims queued for the next flush."""
        return len(self._waiting)

    def claim(self, row: ClaimRow, epoch: int = 0) -> Deferred:
        """Queue a claim; the deferred fires with a ``ClaimResult`` after a flush.

        ``epoch`` is the epoch at which the holders recorded the claim, 0 if
        the shard has no holders. The claim fails if the stored epoch differs.
        """
        answer: Deferred = Deferred()
        self._epochs[claim_key(row.workspace, row.request_id)] = epoch
        self._waiting.append((row, answer))
        return answer

    async def flush(self) -> None:
        """Write the queued claims and fire their deferreds."""
        while self._waiting:
            count = min(BATCH_CLAIMS, len(self._waiting))
            batch = [self._waiting.popleft() for _ in range(count)]
            keys = [claim_key(row.workspace, row.request_id) for row, _ in batch]
            await self._flush_batch(batch)
            for key in keys:
                if all(claim_key(row.workspace, row.request_id) != key for row, _ in self._waiting):
                    self._epochs.pop(key, None)

    async def _flush_batch(self, batch) -> None:
        batch = self._postpone_duplicates(batch)
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
                batch = await self._resolve_existing(batch, set(result.keys))
            except OutcomeUnknownError:
                await self._read_back(batch)
                return
            except PlatformError:
                self._abandon(batch)
                return

    def _postpone_duplicates(self, batch):
        seen_keys, accepted = set(), []
        for row, answer in batch:
            key = claim_key(row.workspace, row.request_id)
            if key in seen_keys:
                self._waiting.append((row, answer))
            else:
                seen_keys.add(key)
                accepted.append((row, answer))
        return accepted

    async def _resolve_existing(self, batch, failed_keys):
        keys = [claim_key(row.workspace, row.request_id) for row, _ in batch]
        existing_rows = await self._table.read([key for key in keys if key in failed_keys])
        remaining = []
        for key, (row, answer) in zip(keys, batch, strict=True):
            if shard_key(shard_of(key)) in failed_keys:
                answer.callback(ClaimResult(ClaimOutcome.STALE))
            elif key not in failed_keys:
                remaining.append((row, answer))
            elif key in existing_rows:
                found = msgspec.convert(existing_rows[key].value, ClaimRow)
                answer.callback(self._result_for(row, found))
            else:
                remaining.append((row, answer))
        return remaining

    async def _read_back(self, batch) -> None:
        keys = [claim_key(row.workspace, row.request_id) for row, _ in batch]
        try:
            found = await self._table.read(keys)
        except PlatformError:
            found = {}
        missing = []
        for key, (row, answer) in zip(keys, batch, strict=True):
            if key in found:
                answer.callback(self._result_for(row, msgspec.convert(found[key].value, ClaimRow)))
            else:
                missing.append((row, answer))
        self._abandon(missing)

    def _result_for(self, row: ClaimRow, found: ClaimRow) -> ClaimResult:
        if found.token == row.token:
            return ClaimResult(ClaimOutcome.TAKEN)
        return ClaimResult(ClaimOutcome.STANDING, found)

    def _abandon(self, batch) -> None:
        """Abandon claims whose write may have failed; those that were stored are removed later."""
        for row, _ in batch:
            if row.token not in self._protected_tokens:
                self.release(row)
        self._answer(batch, ClaimResult(ClaimOutcome.STORE_UNREACHABLE))

    def _answer(self, batch, answer: ClaimResult) -> None:
        for _, waiter in batch:
            waiter.callback(answer)

    def keep(self, row: ClaimRow) -> None:
        """Protect a claim from removal; its call may be sent because its holders recorded it.

        Its row is written together with the bill, or by a delayed write of the claim.
        """
        self._protected_tokens.add(row.token)
        self._abandoned.pop(claim_key(row.workspace, row.request_id), None)

    def release(self, row: ClaimRow) -> None:
        """Abandon a claim whose call is known not to have run."""
        self._protected_tokens.discard(row.token)
        self._abandoned[claim_key(row.workspace, row.request_id)] = row.token

    @property
    def abandoned_count(self) -> int:
        """Number of abandoned claims that may still be stored."""
        return len(self._abandoned)

    async def remove_abandoned(self) -> int:
        """Remove abandoned claims from the store and return how many were removed."""
        rows = await self._table.read(list(self._abandoned))
        removed = 0
        for key, row in rows.items():
            token = self._abandoned[key]
            if row.value["token"] != token:
                del self._abandoned[key]
                continue
            removal = Transaction((FieldIs(key, "token", token),), (Delete(key),))
            if isinstance(await self._table.transact(removal), Committed):
                del self._abandoned[key]
                removed += 1
        return removed

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
