# SPDX-License-Identifier: BSD-3-Clause
"""Serves ``/services/NAME/...``: calls of plain services, some of which may not be repeated."""

import msgspec
from twisted.internet import defer
from twisted.internet.defer import Deferred

from turnward.callers.answers import AnswerBase
from turnward.callers.desk import FlightDesk
from turnward.callers.flight import Flight
from turnward.callers.problems import Outcome, Reason, Refusal, RefusedError
from turnward.claims import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRow,
    ClaimState,
    HeldClaim,
    HoldAnswer,
    HoldOutcome,
    StoredAnswer,
    claim_key,
)
from turnward.endpoints import NotRunError, RunUncertainError
from turnward.fleet import RouterState, router_key
from turnward.ids import fingerprint, minted_s, new_id
from turnward.platform import PlatformError, Put
from turnward.resources import Pool, Workspace
from turnward.router.claim_task import KeepClaim, ReleaseClaim, WantClaim
from turnward.router.pair_task import ReleaseHeld, WantHeld

__all__ = ["ServiceRequest", "ServiceServer"]

#: Methods that may be repeated where the configuration says nothing (RFC 9110, 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
#: Attempts at endpoints for one call.
ATTEMPT_LIMIT = 3
#: Seconds a call waits for its claim.
CLAIM_WAIT_S = 2.0


class ServiceRequest(msgspec.Struct, frozen=True):
    """One call of a plain service."""

    service: str
    method: str
    path: str
    content_type: str
    body: bytes


class _StandingError(Exception):
    """Another sender's call has ended; carries its stored answer."""

    def __init__(self, answer: StoredAnswer):
        super().__init__("the call was run before")
        self.answer = answer


class ServiceServer:
    """Runs service calls.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    desk : FlightDesk
        Opens and closes flights.
    """

    def __init__(self, context, desk: FlightDesk):
        self._context = context
        self._desk = desk

    async def serve(
        self, workspace: Workspace, request_id: str, call: ServiceRequest, answer: AnswerBase
    ) -> None:
        """Serve one call to its end.

        Raises
        ------
        RefusedError
            Nothing of an answer was sent yet.
        """
        self._desk.require_serving()
        pool = self._context.config.resources.get("pools", call.service)
        if pool is None or pool.kind != "service":
            raise RefusedError(Refusal(Reason.NOT_FOUND, f"no service {call.service!r}"))
        repeatable, priority_class = _rule(pool, call, workspace)
        digest = fingerprint(call.method.encode(), call.path.encode(), call.body)
        flight = Flight(workspace, request_id, digest, pool.name, priority_class, repeatable)
        if not repeatable:
            self._require_young(request_id)
        self._desk.register(flight)
        try:
            await self._fly(flight, call, pool, answer)
        finally:
            self._desk.close(flight)

    def _require_young(self, request_id: str) -> None:
        minted = minted_s(request_id)
        oldest_s = self._context.clock.wall_s() - self._context.settings.id_retention_s
        if minted is not None and minted < oldest_s:
            raise RefusedError(
                Refusal(
                    Reason.ID_TOO_OLD,
                    "the id is older than claims are kept, so its outcome is not known",
                    Outcome.UNKNOWN,
                )
            )

    async def _fly(self, flight: Flight, call: ServiceRequest, pool: Pool, answer) -> None:
        await self._desk.admit(flight)
        await self._desk.reserve(flight, pool.tokens_per_call)
        try:
            if flight.repeatable:
                await self._run_repeatable(flight, call, pool, answer)
            else:
                await self._run_once(flight, call, pool, answer)
        except RefusedError as refused:
            if self._desk.restore_uncertain(flight):
                self._desk.bill(flight, 0)
                raise RefusedError(_as_unknown(refused.refusal)) from refused
            if flight.reservation.open:
                self._desk.discard(flight)
            raise

    async def _run_repeatable(self, flight: Flight, call, pool: Pool, answer) -> None:
        retries = self._context.retries(flight.workspace.name, flight.workspace.retry_share)
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            self._desk.choose(flight, "", 0)
            await self._desk.hold(flight)
            try:
                response = await self._send(flight, call)
            except (NotRunError, RunUncertainError) as failure:
                if isinstance(failure, RunUncertainError):
                    self._desk.note_uncertain(flight)
                if attempt < ATTEMPT_LIMIT and retries.take():
                    continue
                refusal = Refusal(Reason.ENDPOINT_FAILED, str(failure), retry_after_s=1)
                raise RefusedError(refusal) from failure
            retries.note_success()
            self._desk.bill(flight, pool.tokens_per_call)
            _pass_on(answer, response, flight.request_id)
            return

    async def _run_once(self, flight: Flight, call, pool: Pool, answer) -> None:
        claim = ClaimRow(
            flight.request_id,
            flight.workspace.name,
            flight.core.incarnation,
            new_id(),
            flight.fingerprint,
        )
        try:
            stored = await self._claim(flight, claim)
        except _StandingError as standing:
            stored = standing.answer
        if stored is not None:
            _replay(answer, stored, flight.request_id)
            self._desk.discard(flight)
            return
        try:
            await self._send_claimed(flight, call, pool, claim, answer)
        except RefusedError as refused:
            if refused.refusal.outcome is Outcome.NOT_RUN:
                self._release(flight, claim)
            raise

    async def _claim(self, flight: Flight, claim: ClaimRow) -> StoredAnswer | None:
        """Take the claim, or return the stored answer of the run that took it before.

        Both holders of the claim's shard must record it, and the table too
        where it is reached. A shard without holders rests on the table alone.
        """
        key = claim_key(claim.workspace, claim.request_id)
        epoch = 0
        if self._context.pairs.row_of(key) is not None:
            epoch = await self._claim_at_holders(flight, claim)
        result = await self._claim_in_table(flight, claim, epoch)
        if result.outcome is ClaimOutcome.TAKEN:
            return None
        if result.outcome is ClaimOutcome.STANDING:
            self._release(flight, claim)
            return self._judge_standing(result.standing, claim)
        if result.outcome is ClaimOutcome.STORE_UNREACHABLE and epoch:
            self._require_known(claim)
            flight.core.claims.tell(KeepClaim(claim))
            return None
        self._release(flight, claim)
        if result.outcome is ClaimOutcome.STALE:
            self._context.pairs.note_stale()
        raise RefusedError(_claims_unreachable())

    async def _claim_at_holders(self, flight: Flight, claim: ClaimRow) -> int:
        """Have both holders record the claim; return their epoch."""
        answer: Deferred = Deferred()
        key = claim_key(claim.workspace, claim.request_id)
        self._context.pairs.tell(WantHeld(claim, answer))
        try:
            held = await answer.addTimeout(CLAIM_WAIT_S, self._context.reactor)
        except defer.TimeoutError:
            held = HoldAnswer(HoldOutcome.STALE)
        if held.outcome is HoldOutcome.HELD:
            return self._context.pairs.row_of(key).epoch
        if held.outcome is HoldOutcome.STANDING:
            stored = await self._standing_at_holders(claim, held)
            raise _StandingError(stored)
        self._context.pairs.tell(ReleaseHeld(claim))
        raise RefusedError(_claims_unreachable())

    async def _standing_at_holders(self, claim: ClaimRow, held: HoldAnswer) -> StoredAnswer:
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
        self._context.pairs.tell(ReleaseHeld(freed))
        raise RefusedError(
            Refusal(Reason.IN_PROGRESS, "an abandoned claim is being freed", retry_after_s=2)
        )

    async def _claim_in_table(self, flight: Flight, claim: ClaimRow, epoch: int) -> ClaimAnswer:
        answer: Deferred = Deferred()
        flight.core.claims.tell(WantClaim(claim, epoch, answer))
        try:
            return await answer.addTimeout(CLAIM_WAIT_S, self._context.reactor)
        except defer.TimeoutError:
            return ClaimAnswer(ClaimOutcome.STORE_UNREACHABLE)

    def _require_known(self, claim: ClaimRow) -> None:
        """Refuse an id whose claim may have been lost with both holders of its shard."""
        row = self._context.pairs.row_of(claim_key(claim.workspace, claim.request_id))
        minted = minted_s(claim.request_id)
        if row.unknown_before_s and (minted is None or minted < row.unknown_before_s):
            raise RefusedError(
                Refusal(Reason.OUTCOME_UNKNOWN, "claims of this time are lost", Outcome.UNKNOWN)
            )

    def _release(self, flight: Flight, claim: ClaimRow) -> None:
        """Give a claim up whose call was not sent."""
        flight.core.claims.tell(ReleaseClaim(claim))
        self._context.pairs.tell(ReleaseHeld(claim))

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

    async def _send_claimed(self, flight: Flight, call, pool: Pool, claim, answer) -> None:
        retries = self._context.retries(flight.workspace.name, flight.workspace.retry_share)
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            self._desk.choose(flight, "", 0)
            await self._desk.hold(flight)
            try:
                response = await self._send(flight, call)
            except NotRunError as failure:
                if attempt < ATTEMPT_LIMIT and retries.take():
                    continue
                raise RefusedError(
                    Refusal(Reason.ENDPOINT_REFUSED, str(failure), retry_after_s=1)
                ) from failure
            except RunUncertainError as failure:
                self._desk.bill(flight, 0, _claim_writes(claim, ClaimState.UNKNOWN, None))
                raise RefusedError(
                    Refusal(Reason.OUTCOME_UNKNOWN, str(failure), Outcome.UNKNOWN)
                ) from failure
            content_type = response.headers.get("content-type", "application/octet-stream")
            stored = StoredAnswer(response.status, content_type, response.body)
            writes = _claim_writes(claim, ClaimState.DONE, stored)
            self._desk.bill(flight, pool.tokens_per_call, writes)
            _pass_on(answer, response, flight.request_id)
            return

    async def _send(self, flight: Flight, call: ServiceRequest):
        self._desk.sent(flight)
        headers = {"Content-Type": call.content_type, "Idempotency-Key": flight.request_id}
        try:
            response = await self._context.services.call(
                flight.view.endpoint.url,
                flight.run_id,
                call.method,
                call.path,
                call.body,
                headers,
            )
        except (NotRunError, RunUncertainError):
            self._desk.returned(flight, ok=False)
            raise
        self._desk.returned(flight, ok=True)
        return response


def _as_unknown(refusal: Refusal) -> Refusal:
    """Return the refusal of a request of which an earlier attempt may have run."""
    return msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)


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


def _rule(pool: Pool, call: ServiceRequest, workspace: Workspace) -> tuple[bool, str]:
    for rule in pool.calls:
        if rule.method == call.method and call.path.startswith(rule.path):
            return rule.repeatable, rule.priority_class or workspace.priority_class
    return call.method in IDEMPOTENT_METHODS, workspace.priority_class


def _claim_writes(claim: ClaimRow, state: ClaimState, stored: StoredAnswer | None):
    """Return the write of the whole row; in an outage no row was written before the call."""
    row = msgspec.structs.replace(claim, state=state, answer=stored)
    key = claim_key(claim.workspace, claim.request_id)
    return (Put(key, msgspec.to_builtins(row)),)


def _pass_on(answer: AnswerBase, response, request_id: str) -> None:
    headers = {
        "Content-Type": response.headers.get("content-type", "application/octet-stream"),
        "X-Outcome": str(Outcome.RAN),
        "X-Request-Id": request_id,
    }
    answer.head(response.status, headers)
    answer.write(response.body)
    answer.finish()


def _replay(answer: AnswerBase, stored: StoredAnswer, request_id: str) -> None:
    headers = {
        "Content-Type": stored.content_type,
        "X-Outcome": str(Outcome.RAN),
        "X-Request-Id": request_id,
        "Idempotency-Replayed": "true",
    }
    answer.head(stored.status, headers)
    answer.write(stored.body)
    answer.finish()
