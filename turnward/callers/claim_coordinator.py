# SPDX-License-Identifier: BSD-3-Clause
"""Takes the claim of a call that must run at most once, or finds the router that took it."""

import msgspec
from twisted.internet import defer, task
from twisted.internet.defer import Deferred

from turnward.callers.active_request import ActiveRequest
from turnward.callers.problems import Outcome, Reason, Refusal, RefusedError
from turnward.claims import (
    ClaimOutcome,
    ClaimResult,
    ClaimRow,
    ClaimState,
    HeldClaim,
    HoldOutcome,
    HoldResult,
    StoredAnswer,
    claim_key,
)
from turnward.fleet import RouterState, router_key
from turnward.ids import creation_time_s
from turnward.router.claim_task import KeepClaim, ReleaseClaim, TakeClaim
from turnward.router.pair_task import ClaimAtHolders, RefreshShards, ReleaseAtHolders
from turnward.store import PlatformError, Put

__all__ = ["ClaimCoordinator", "outcome_writes"]

#: Maximum time that a call waits for its claim.
CLAIM_WAIT_S = 2.0


#: Delays of further attempts while the holders of a claim's shard change.
STALE_RETRY_DELAYS_S = (0.05, 0.1, 0.2, 0.4)


class _StaleShard(msgspec.Struct, frozen=True):
    """The shard's row has changed since this router read it."""


class ClaimCoordinator:
    """Takes claims at both holders of the claim's shard and in the table.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    """

    def __init__(self, context):
        self._context = context

    async def take(self, active: ActiveRequest, claim: ClaimRow) -> StoredAnswer | None:
        """Take the claim, or return the stored response of the run that took it before.

        Both holders of the claim's shard must record it, and the table too if
        it is reachable. For a shard without holders, the table alone decides.
        """
        deadline_s = self._context.now_s() + CLAIM_WAIT_S
        for delay_s in STALE_RETRY_DELAYS_S:
            result = await self._try_take(active, claim)
            if not isinstance(result, _StaleShard):
                return result
            if self._context.now_s() >= deadline_s:
                break
            self._context.pairs.tell(RefreshShards())
            await task.deferLater(self._context.reactor, delay_s)
        self.release(active, claim)
        raise RefusedError(_claims_unreachable())

    async def _try_take(self, active: ActiveRequest, claim: ClaimRow):
        """Try to take the claim; return ``_StaleShard`` if the shard's row has changed.

        In that case nothing was sent and no row was written, so the same claim may
        be tried again. Its holders recognize it by its token.
        """
        key = claim_key(claim.workspace, claim.request_id)
        epoch = 0
        if self._context.pairs.row_of(key) is not None:
            held = await self._record_at_holders(claim)
            if held.outcome is HoldOutcome.STANDING:
                return await self._resolve_at_holders(claim, held)
            if held.outcome is not HoldOutcome.HELD:
                return _StaleShard()
            epoch = self._context.pairs.row_of(key).epoch
        result = await self._claim_in_table(active, claim, epoch)
        if result.outcome is ClaimOutcome.STALE:
            return _StaleShard()
        return self._resolve_table_result(active, claim, epoch, result)

    def _resolve_table_result(
        self, active: ActiveRequest, claim: ClaimRow, epoch: int, result: ClaimResult
    ):
        if result.outcome is ClaimOutcome.TAKEN:
            return None
        if result.outcome is ClaimOutcome.STANDING:
            self.release(active, claim)
            return self._resolve_existing(result.standing, claim)
        if result.outcome is ClaimOutcome.STORE_UNREACHABLE and epoch:
            self._require_claims_known(claim)
            active.core.claims.tell(KeepClaim(claim))
            return None
        self.release(active, claim)
        raise RefusedError(_claims_unreachable())

    async def _record_at_holders(self, claim: ClaimRow) -> HoldResult:
        """Have both holders of the claim's shard record it."""
        done: Deferred = Deferred()
        self._context.pairs.tell(ClaimAtHolders(claim, done))
        try:
            return await done.addTimeout(CLAIM_WAIT_S, self._context.reactor)
        except defer.TimeoutError:
            return HoldResult(HoldOutcome.STALE)

    async def _resolve_at_holders(self, claim: ClaimRow, held: HoldResult) -> StoredAnswer:
        """Return the stored response of a claim that another router took, or refuse the call."""
        if held.standing.fingerprint != claim.fingerprint:
            raise RefusedError(Refusal(Reason.ID_REUSED, "this id was used for another request"))
        key = claim_key(claim.workspace, claim.request_id)
        owner = router_key(held.standing.incarnation)
        try:
            # Read the owner first: a recovery writes the claim's row before removing the owner's.
            owner_row = (await self._context.table.read([owner])).get(owner)
            stored = (await self._context.table.read([key])).get(key)
        except PlatformError:
            raise RefusedError(_already_claimed()) from None
        if stored is not None:
            return self._resolve_existing(msgspec.convert(stored.value, ClaimRow), claim)
        if owner_row is not None and owner_row.value["state"] == RouterState.RECOVERED:
            raise RefusedError(_outcome_unknown())
        if owner_row is None and held.standing.incarnation:
            self._free_abandoned(claim, held.standing)
        raise RefusedError(_already_claimed())

    def _free_abandoned(self, claim: ClaimRow, standing: HeldClaim) -> None:
        """Free a claim that has no row and whose owner was removed from the fleet.

        A call is sent only after its record has been replicated, and a completed
        recovery has written the claim of each record, so this call was never sent.
        """
        abandoned = msgspec.structs.replace(claim, token=standing.token)
        self._context.pairs.tell(ReleaseAtHolders(abandoned))
        raise RefusedError(
            Refusal(Reason.IN_PROGRESS, "an abandoned claim is being freed", retry_after_s=2)
        )

    async def _claim_in_table(
        self, active: ActiveRequest, claim: ClaimRow, epoch: int
    ) -> ClaimResult:
        done: Deferred = Deferred()
        active.core.claims.tell(TakeClaim(claim, epoch, done))
        try:
            return await done.addTimeout(CLAIM_WAIT_S, self._context.reactor)
        except defer.TimeoutError:
            return ClaimResult(ClaimOutcome.STORE_UNREACHABLE)

    def _require_claims_known(self, claim: ClaimRow) -> None:
        """Refuse an id if its claim may have been lost together with both holders of its shard."""
        row = self._context.pairs.row_of(claim_key(claim.workspace, claim.request_id))
        created_s = creation_time_s(claim.request_id)
        if row.unknown_before_s and (created_s is None or created_s < row.unknown_before_s):
            raise RefusedError(
                Refusal(
                    Reason.OUTCOME_UNKNOWN,
                    "claims made at the time of this id were lost",
                    Outcome.UNKNOWN,
                )
            )

    def release(self, active: ActiveRequest, claim: ClaimRow) -> None:
        """Release a claim whose call was not sent."""
        active.core.claims.tell(ReleaseClaim(claim))
        self._context.pairs.tell(ReleaseAtHolders(claim))

    def _resolve_existing(self, standing: ClaimRow, claim: ClaimRow) -> StoredAnswer:
        if standing.fingerprint != claim.fingerprint:
            raise RefusedError(Refusal(Reason.ID_REUSED, "this id was used for another request"))
        if standing.state is ClaimState.DONE:
            return standing.answer
        owner = self._context.rows.get(standing.incarnation)
        if standing.state is ClaimState.CLAIMED and owner is not None and owner.writable:
            raise RefusedError(
                Refusal(
                    Reason.IN_PROGRESS,
                    "the call is running at another router",
                    Outcome.UNKNOWN,
                    1,
                )
            )
        raise RefusedError(_outcome_unknown())


def outcome_writes(claim: ClaimRow, state: ClaimState, stored: StoredAnswer | None):
    """Return the write of the complete row; during an outage none was written before the call."""
    row = msgspec.structs.replace(claim, state=state, answer=stored)
    key = claim_key(claim.workspace, claim.request_id)
    return (Put(key, msgspec.to_builtins(row)),)


def _already_claimed() -> Refusal:
    return Refusal(Reason.IN_PROGRESS, "the call was already claimed", Outcome.UNKNOWN, 2)


def _outcome_unknown() -> Refusal:
    return Refusal(
        Reason.OUTCOME_UNKNOWN,
        "the call was sent before and its outcome is unknown; it is not sent again",
        Outcome.UNKNOWN,
    )


def _claims_unreachable() -> Refusal:
    return Refusal(
        Reason.CLAIMS_UNREACHABLE,
        "the call may run only once, which cannot be ensured at present",
        retry_after_s=2,
    )
