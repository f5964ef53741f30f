# SPDX-License-Identifier: BSD-3-Clause
"""Takes the claim of a call that may not be repeated, or finds who took it."""

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

#: Seconds a call waits for its claim.
CLAIM_WAIT_S = 2.0


#: Seconds between two tries while the holders of a claim's shard change.
STALE_PAUSES_S = (0.05, 0.1, 0.2, 0.4)


class _Stale(msgspec.Struct, frozen=True):
    """The shard's row is not the one known here."""


class ClaimCoordinator:
    """Takes claims at the pair of holders and in the table.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    """

    def __init__(self, context):
        self._context = context

    async def take(self, flight: ActiveRequest, claim: ClaimRow) -> StoredAnswer | None:
        """Take the claim, or return the stored answer of the run that took it before.

        Both holders of the claim's shard must record it, and the table too
        where it is reached. A shard without holders rests on the table alone.
        """
        until_s = self._context.now_s() + CLAIM_WAIT_S
        for pause_s in STALE_PAUSES_S:
            taken = await self._take_once(flight, claim)
            if not isinstance(taken, _Stale):
                return taken
            if self._context.now_s() >= until_s:
                break
            self._context.pairs.tell(RefreshShards())
            await task.deferLater(self._context.reactor, pause_s)
        self.release(flight, claim)
        raise RefusedError(_claims_unreachable())

    async def _take_once(self, flight: ActiveRequest, claim: ClaimRow):
        """Take the claim by the shard's row as known here; ``_Stale`` when that has changed.

        Nothing was sent and no row was written then, so the same claim may be
        tried again: its holders know it by its token.
        """
        key = claim_key(claim.workspace, claim.request_id)
        epoch = 0
        if self._context.pairs.row_of(key) is not None:
            held = await self._hold(claim)
            if held.outcome is HoldOutcome.STANDING:
                return await self._standing_at_holders(claim, held)
            if held.outcome is not HoldOutcome.HELD:
                return _Stale()
            epoch = self._context.pairs.row_of(key).epoch
        result = await self._claim_in_table(flight, claim, epoch)
        if result.outcome is ClaimOutcome.STALE:
            return _Stale()
        return self._judge_table(flight, claim, epoch, result)

    def _judge_table(self, flight: ActiveRequest, claim: ClaimRow, epoch: int, result: ClaimResult):
        if result.outcome is ClaimOutcome.TAKEN:
            return None
        if result.outcome is ClaimOutcome.STANDING:
            self.release(flight, claim)
            return self._judge_standing(result.standing, claim)
        if result.outcome is ClaimOutcome.STORE_UNREACHABLE and epoch:
            self._require_known(claim)
            flight.core.claims.tell(KeepClaim(claim))
            return None
        self.release(flight, claim)
        raise RefusedError(_claims_unreachable())

    async def _hold(self, claim: ClaimRow) -> HoldResult:
        """Have both holders of the claim's shard record it."""
        answer: Deferred = Deferred()
        self._context.pairs.tell(ClaimAtHolders(claim, answer))
        try:
            return await answer.addTimeout(CLAIM_WAIT_S, self._context.reactor)
        except defer.TimeoutError:
            return HoldResult(HoldOutcome.STALE)

    async def _standing_at_holders(self, claim: ClaimRow, held: HoldResult) -> StoredAnswer:
        """Return the stored answer of a claim that another sender took, or refuse."""
        if held.standing.fingerprint != claim.fingerprint:
            raise RefusedError(Refusal(Reason.ID_REUSED, "this id was used for another request"))
        key = claim_key(claim.workspace, claim.request_id)
        owner = router_key(held.standing.incarnation)
        try:
            # The owner first: a recovery writes the claim's row before it removes the owner's.
            owner_row = (await self._context.table.read([owner])).get(owner)
            stored = (await self._context.table.read([key])).get(key)
        except PlatformError:
            raise RefusedError(_claimed_before()) from None
        if stored is not None:
            return self._judge_standing(msgspec.convert(stored.value, ClaimRow), claim)
        if owner_row is not None and owner_row.value["state"] == RouterState.RECOVERED:
            raise RefusedError(_sent_once())
        if owner_row is None and held.standing.incarnation:
            self._free(claim, held.standing)
        raise RefusedError(_claimed_before())

    def _free(self, claim: ClaimRow, standing: HeldClaim) -> None:
        """Free a claim whose owner has left or is recovered, and whose call left no trace.

        A call is sent only after its record is held, and a recovery that is
        closed has written the claim of each record, so this one was never sent.
        """
        freed = msgspec.structs.replace(claim, token=standing.token)
        self._context.pairs.tell(ReleaseAtHolders(freed))
        raise RefusedError(
            Refusal(Reason.IN_PROGRESS, "an abandoned claim is being freed", retry_after_s=2)
        )

    async def _claim_in_table(
        self, flight: ActiveRequest, claim: ClaimRow, epoch: int
    ) -> ClaimResult:
        answer: Deferred = Deferred()
        flight.core.claims.tell(TakeClaim(claim, epoch, answer))
        try:
            return await answer.addTimeout(CLAIM_WAIT_S, self._context.reactor)
        except defer.TimeoutError:
            return ClaimResult(ClaimOutcome.STORE_UNREACHABLE)

    def _require_known(self, claim: ClaimRow) -> None:
        """Refuse an id whose claim may have been lost with both holders of its shard."""
        row = self._context.pairs.row_of(claim_key(claim.workspace, claim.request_id))
        minted = creation_time_s(claim.request_id)
        if row.unknown_before_s and (minted is None or minted < row.unknown_before_s):
            raise RefusedError(
                Refusal(Reason.OUTCOME_UNKNOWN, "claims of this time are lost", Outcome.UNKNOWN)
            )

    def release(self, flight: ActiveRequest, claim: ClaimRow) -> None:
        """Give a claim up whose call was not sent."""
        flight.core.claims.tell(ReleaseClaim(claim))
        self._context.pairs.tell(ReleaseAtHolders(claim))

    def _judge_standing(self, standing: ClaimRow, claim: ClaimRow) -> StoredAnswer:
        if standing.fingerprint != claim.fingerprint:
            raise RefusedError(Refusal(Reason.ID_REUSED, "this id was used for another request"))
        if standing.state is ClaimState.DONE:
            return standing.answer
        owner = self._context.rows.get(standing.incarnation)
        if standing.state is ClaimState.CLAIMED and owner is not None and owner.writable:
            raise RefusedError(
                Refusal(
                    Reason.IN_PROGRESS,
                    "the call runs at another router",
                    Outcome.UNKNOWN,
                    1,
                )
            )
        raise RefusedError(_sent_once())


def outcome_writes(claim: ClaimRow, state: ClaimState, stored: StoredAnswer | None):
    """Return the write of the whole row; in an outage no row was written before the call."""
    row = msgspec.structs.replace(claim, state=state, answer=stored)
    key = claim_key(claim.workspace, claim.request_id)
    return (Put(key, msgspec.to_builtins(row)),)


def _claimed_before() -> Refusal:
    return Refusal(Reason.IN_PROGRESS, "the call was claimed before", Outcome.UNKNOWN, 2)


def _sent_once() -> Refusal:
    return Refusal(
        Reason.OUTCOME_UNKNOWN,
        "the call was sent once and its outcome is not known; it is not sent again",
        Outcome.UNKNOWN,
    )


def _claims_unreachable() -> Refusal:
    return Refusal(
        Reason.CLAIMS_UNREACHABLE,
        "the call may run only once, and that can't be made sure of now",
        retry_after_s=2,
    )
