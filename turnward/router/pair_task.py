# SPDX-License-Identifier: BSD-3-Clause
"""Assigns pairs of holders to the claim shards, and takes claims at these holders."""

import msgspec
from twisted.internet import defer

from turnward.claims import (
    CLAIM_SHARDS,
    ClaimHolder,
    ClaimRow,
    HeldClaim,
    HoldOutcome,
    HoldResult,
    ShardRow,
    claim_key,
    shard_key,
    shard_of,
)
from turnward.fleet import RouterState, instance_of, live_check, rendezvous_weight
from turnward.peers.errors import PeerError
from turnward.peers.messages import (
    HoldClaim,
    HoldClaimAck,
    MoveShard,
    RecordsAck,
    ReleaseHeldClaim,
)
from turnward.router.task import TaskBase
from turnward.store import (
    Absent,
    Committed,
    FieldIs,
    PlatformError,
    Put,
    Transaction,
)

__all__ = ["RefreshShards", "PairTask", "ReleaseAtHolders", "ClaimAtHolders"]

#: Time between reads of the shard rows while the fleet is unchanged.
POLL_INTERVAL_S = 30.0


class ClaimAtHolders(msgspec.Struct, frozen=True, eq=False):
    """Record the claim of a waiting call at both holders.

    The answer is a ``HoldResult`` with the epoch at which the holders gave it.
    """

    row: ClaimRow
    answer: defer.Deferred


class ReleaseAtHolders(msgspec.Struct, frozen=True):
    """Release the claim of a call that is known not to have run."""

    row: ClaimRow


class RefreshShards(msgspec.Struct, frozen=True):
    """Read the shard rows again, since a cached row proved outdated."""


class PairTask(TaskBase):
    """Owns the shards that this process holds and the cached rows of all shards.

    Parameters
    ----------
    context : RouterContext
        Settings, clients and state of the router.
    core : callable
        Returns the current ``RouterCore``.
    """

    log_prefix = "pairs"

    def __init__(self, context, core, on_fenced):
        super().__init__(context.reactor, 1.0, on_fenced)
        self._context = context
        self._core = core
        self.holder = ClaimHolder()
        self._rows: dict[int, ShardRow] = {}
        self._last_poll_s = float("-inf")
        self._last_router_rows: dict | None = None
        self._stale = True
        self._unreleased: dict[str, ClaimRow] = {}

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        for message in messages:
            if isinstance(message, ClaimAtHolders):
                defer.ensureDeferred(self._hold_and_answer(message))
            elif isinstance(message, ReleaseAtHolders):
                key = claim_key(message.row.workspace, message.row.request_id)
                self._unreleased[key] = message.row
            elif isinstance(message, RefreshShards):
                self.mark_stale()
        # Releases need no store, and must not be skipped when the calls below fail.
        await self._release()
        if self._context.machine.state in ("serving", "leaving") and self._is_due():
            await self._read_and_maintain()

    def row_of(self, key: str) -> ShardRow | None:
        """Return the row of a claim's shard as last read."""
        return self._rows.get(shard_of(key))

    def blocked_shards(self) -> list[int]:
        """Return the shards that, by the cached rows, have a holder that is not live."""
        return [
            shard
            for shard, row in self._rows.items()
            if not all(self._is_live(holder) for holder in row.holders)
        ]

    def mark_stale(self) -> None:
        """Have the shard rows read again when the next batch of messages is handled."""
        self._stale = True

    def _is_due(self) -> bool:
        waited_s = self._context.now_s() - self._last_poll_s
        changed = self._context.rows != self._last_router_rows
        return self._stale or changed or waited_s >= POLL_INTERVAL_S

    async def _read_and_maintain(self) -> None:
        """Read the rows of all shards and maintain each; after a failure, start over."""
        try:
            await self._read_rows()
            for shard in range(CLAIM_SHARDS):
                await self._maintain(shard)
        except PlatformError:
            self._stale = True
            raise

    async def _read_rows(self) -> None:
        self._last_router_rows = self._context.rows
        keys = {shard_key(shard): shard for shard in range(CLAIM_SHARDS)}
        stored = await self._context.table.read(list(keys))
        for key, row in stored.items():
            self._rows[keys[key]] = msgspec.convert(row.value, ShardRow)
        self._last_poll_s = self._context.now_s()
        self._stale = False

    async def _hold_and_answer(self, message: ClaimAtHolders) -> None:
        key = claim_key(message.row.workspace, message.row.request_id)
        claim = HeldClaim(key, message.row.token, message.row.fingerprint, message.row.incarnation)
        row = self.row_of(key)
        answer = await self._hold(row, claim) if row else HoldResult(HoldOutcome.STALE)
        if answer.row is not None and self._merge_row(answer.row):
            answer = await self._hold(answer.row, claim)
        if answer.outcome is HoldOutcome.STALE:
            self._stale = True
        if not message.answer.called:
            message.answer.callback(answer)

    def _merge_row(self, row: ShardRow) -> bool:
        """Cache a row received from a holder; return whether it is newer than the cached one."""
        known_row = self._rows.get(row.shard)
        if known_row is not None and known_row.epoch >= row.epoch:
            return False
        self._rows[row.shard] = row
        return True

    async def _hold(self, row: ShardRow, claim: HeldClaim) -> HoldResult:
        """Record the claim at the first holder, then at the second.

        The fixed order decides between concurrent calls with the same request id.
        """
        answer = HoldResult(HoldOutcome.STALE)
        for holder in row.holders:
            answer = await self._hold_at(holder, row, claim)
            if answer.outcome is not HoldOutcome.HELD:
                return answer
        return answer

    async def _hold_at(self, holder: str, row: ShardRow, claim: HeldClaim) -> HoldResult:
        if holder == self._core().incarnation:
            return self.holder.hold(row.shard, row.epoch, claim)
        ack = await self._ask(holder, HoldClaim(row.shard, row.epoch, claim))
        return ack.answer if isinstance(ack, HoldClaimAck) else HoldResult(HoldOutcome.STALE)

    async def _ask(self, incarnation: str, message):
        row = self._context.rows.get(incarnation)
        if row is None:
            return None
        try:
            return await self._context.peers.ask(row.peers_address, incarnation, message)
        except PeerError:
            return None

    async def _release(self) -> None:
        """Release abandoned claims at their holders; retried until both confirm."""
        for key, row in list(self._unreleased.items()):
            shard = self.row_of(key)
            if shard is None or await self._release_at_holders(shard, key, row.token):
                self._unreleased.pop(key, None)
            else:
                self._stale = True

    async def _release_at_holders(self, shard: ShardRow, key: str, token: str) -> bool:
        """Release a claim at both holders; return False when it must be tried again.

        A holder refuses while its shard moves, since the claim may be in transit.
        After a holder has failed, the shard's row soon lists live holders again.
        """
        for holder in shard.holders:
            if holder == self._core().incarnation:
                if not self.holder.release(shard.shard, shard.epoch, key, token):
                    return False
                continue
            message = ReleaseHeldClaim(shard.shard, shard.epoch, key, token)
            ack = await self._ask(holder, message)
            if not isinstance(ack, RecordsAck) or not ack.accepted:
                return False
        return True

    async def _maintain(self, shard: int) -> None:
        """Create, repair or rebalance a shard if this router is responsible for it."""
        own = self._core().incarnation
        row = self._rows.get(shard)
        if row is None:
            if self._first_holder_for(shard) == own:
                await self._write(shard, None, from_table=True)
            return
        if all(self._is_live(holder) for holder in row.holders):
            await self._maintain_live_shard(row)
        elif self._has_claims(row):
            self.holder.freeze(shard)
            await self._write(shard, row, from_table=False)
        elif self._may_reload_from_table(row):
            await self._write(shard, row, from_table=True)

    async def _maintain_live_shard(self, row: ShardRow) -> None:
        """Serve, rebalance or reopen a shard whose holders are both live."""
        own = self._core().incarnation
        if own not in row.holders:
            return
        if self.holder.serves(row.shard, row.epoch):
            await self._rebalance(row)
        elif self.holder.has_state(row.shard, row.epoch):
            # Frozen for a change that was not written; this epoch must not be served again.
            await self._write(row.shard, row, from_table=False)
        elif row.holders[0] == own:
            await self._open(row)

    async def _rebalance(self, row: ShardRow) -> None:
        """Replace one holder that is not preferred by rendezvous hashing.

        Otherwise the routers that started first would hold all shards. Each change
        keeps one holder, which has the claims.
        """
        own = self._core().incarnation
        preferred = self._preferred_holders(row.shard)
        misplaced = [holder for holder in row.holders if holder not in preferred]
        if not misplaced or len(preferred) < len(row.holders):
            return
        remaining_holder = next(
            (holder for holder in row.holders if holder in preferred), row.holders[0]
        )
        if remaining_holder == own:
            second = next(holder for holder in preferred if holder != own)
            self.holder.freeze(row.shard)
            await self._write(row.shard, row, from_table=False, second=second)

    def _preferred_holders(self, shard: int) -> list[str]:
        """Return the two live routers with the highest weights, in different zones if possible."""
        rows = sorted(
            self._live_rows(),
            key=lambda row: rendezvous_weight(str(shard), row.incarnation),
            reverse=True,
        )
        if not rows:
            return []
        others = [row for row in rows[1:] if row.zone != rows[0].zone] or rows[1:]
        return [row.incarnation for row in (rows[0], *others[:1])]

    def _has_claims(self, row: ShardRow) -> bool:
        """Return whether this process has the claims of the row's epoch."""
        return self.holder.has_state(row.shard, row.epoch)

    def _may_reload_from_table(self, row: ShardRow) -> bool:
        """Return whether no holder can have the epoch's claims any more.

        The second holder receives them from the first, so that a second holder
        without claims may reload them from the table once the first is removed.
        """
        listed_instances = self._context.listed_instances
        own = self._core().incarnation
        removed = [
            holder
            for holder in row.holders
            if listed_instances is not None
            and not self._is_live(holder)
            and instance_of(holder) not in listed_instances
        ]
        if row.holders[0] not in removed:
            return False
        if row.holders[1] == own:
            return True
        return row.holders[1] in removed and self._first_holder_for(row.shard) == own

    async def _write(
        self, shard: int, previous: ShardRow | None, from_table: bool, second: str | None = None
    ) -> None:
        """Write the next epoch, with this router as first holder."""
        own = self._core().incarnation
        second = second or self._choose_second(shard, previous)
        if second is None:
            return
        claims_lost = previous is not None and from_table
        row = ShardRow(
            shard,
            previous.epoch + 1 if previous else 1,
            (own, second),
            from_table,
            self._context.clock.wall_s()
            if claims_lost
            else (previous.unknown_before_s if previous else 0.0),
        )
        key = shard_key(shard)
        check = FieldIs(key, "epoch", previous.epoch) if previous else Absent(key)
        result = await self._context.table.transact(
            Transaction((check, live_check(own)), (Put(key, msgspec.to_builtins(row)),))
        )
        self._stale = True
        if isinstance(result, Committed):
            self._rows[shard] = row
            await self._open(row)

    async def _open(self, row: ShardRow) -> None:
        """Send the claims to the second holder, then serve the shard."""
        claims: tuple[HeldClaim, ...] = ()
        if row.from_table:
            claims = await self._stored_claims(row.shard)
        elif self.holder.has_state(row.shard, row.epoch - 1):
            claims = self.holder.freeze(row.shard)
        else:
            return
        ack = await self._ask(row.holders[1], MoveShard(row, claims))
        if isinstance(ack, RecordsAck) and ack.accepted:
            self.holder.install(row, claims)
            self._context.events.emit("claims.pair", shard=row.shard, epoch=row.epoch)
        else:
            self._stale = True

    async def _stored_claims(self, shard: int) -> tuple[HeldClaim, ...]:
        rows = await self._context.table.scan_all("claim/")
        return tuple(
            HeldClaim(
                row.key, row.value["token"], row.value["fingerprint"], row.value["incarnation"]
            )
            for row in rows
            if shard_of(row.key) == shard
        )

    def _is_live(self, incarnation: str) -> bool:
        row = self._context.rows.get(incarnation)
        return row is not None and row.state is RouterState.LIVE

    def _live_rows(self) -> list:
        return [row for row in self._context.rows.values() if row.state is RouterState.LIVE]

    def _first_holder_for(self, shard: int) -> str:
        names = [row.incarnation for row in self._live_rows()]
        return max(names, key=lambda name: rendezvous_weight(str(shard), name), default="")

    def _choose_second(self, shard: int, previous: ShardRow | None) -> str | None:
        own = self._core().incarnation
        zone = self._context.settings.zone
        current_holders = previous.holders if previous else ()
        others = [row for row in self._live_rows() if row.incarnation != own]

        def preference(row):
            weight = rendezvous_weight(str(shard), row.incarnation)
            return (row.zone == zone, row.incarnation not in current_holders, -weight)

        others.sort(key=preference)
        return others[0].incarnation if others else None
