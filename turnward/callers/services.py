# SPDX-License-Identifier: BSD-3-Clause
"""Serves ``/services/NAME/...``: calls of plain services, some of which may not be repeated."""

import msgspec

from turnward.callers.active_request import ActiveRequest
from turnward.callers.claim_coordinator import ClaimCoordinator, outcome_writes
from turnward.callers.problems import Outcome, Reason, Refusal, RefusedError
from turnward.callers.request_coordinator import RequestCoordinator
from turnward.callers.response_writers import ResponseWriterBase
from turnward.claims import (
    ClaimRow,
    ClaimState,
    StoredAnswer,
)
from turnward.endpoints import NotRunError, RunUncertainError
from turnward.hashing import fingerprint
from turnward.ids import creation_time_s, new_id
from turnward.resources import Pool, Workspace

__all__ = ["ServiceRequest", "ServiceServer"]

#: Methods that may be repeated where the configuration says nothing (RFC 9110, 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
#: Attempts at endpoints for one call.
ATTEMPT_LIMIT = 3


class ServiceRequest(msgspec.Struct, frozen=True):
    """One call of a plain service."""

    service: str
    method: str
    path: str
    content_type: str
    body: bytes


class ServiceServer:
    """Runs service calls.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    desk : RequestCoordinator
        Opens and closes flights.
    """

    def __init__(self, context, coordinator: RequestCoordinator):
        self._context = context
        self._coordinator = coordinator
        self._claims = ClaimCoordinator(context)

    async def serve(
        self,
        workspace: Workspace,
        request_id: str,
        call: ServiceRequest,
        answer: ResponseWriterBase,
    ) -> None:
        """Serve one call to its end.

        Raises
        ------
        RefusedError
            Nothing of an answer was sent yet.
        """
        self._coordinator.require_serving()
        pool = self._context.config.resources.get("pools", call.service)
        if pool is None or pool.kind != "service":
            raise RefusedError(Refusal(Reason.NOT_FOUND, f"no service {call.service!r}"))
        repeatable, priority_class = _rule(pool, call, workspace)
        digest = fingerprint(call.method.encode(), call.path.encode(), call.body)
        flight = ActiveRequest(workspace, request_id, digest, pool.name, priority_class, repeatable)
        if not repeatable:
            self._require_young(request_id)
        self._coordinator.register(flight)
        try:
            await self._fly(flight, call, pool, answer)
        finally:
            self._coordinator.close(flight)

    def _require_young(self, request_id: str) -> None:
        minted = creation_time_s(request_id)
        oldest_s = self._context.clock.wall_s() - self._context.settings.id_retention_s
        if minted is not None and minted < oldest_s:
            raise RefusedError(
                Refusal(
                    Reason.ID_TOO_OLD,
                    "the id is older than claims are kept, so its outcome is not known",
                    Outcome.UNKNOWN,
                )
            )

    async def _fly(self, flight: ActiveRequest, call: ServiceRequest, pool: Pool, answer) -> None:
        await self._coordinator.admit(flight)
        await self._coordinator.reserve(flight, pool.tokens_per_call)
        try:
            if flight.repeatable:
                await self._run_repeatable(flight, call, pool, answer)
            else:
                await self._run_once(flight, call, pool, answer)
        except RefusedError as refused:
            if self._coordinator.restore_uncertain(flight):
                self._coordinator.bill(flight, 0)
                raise RefusedError(_as_unknown(refused.refusal)) from refused
            if flight.reservation.open:
                self._coordinator.discard(flight)
            raise

    async def _run_repeatable(self, flight: ActiveRequest, call, pool: Pool, answer) -> None:
        retry_budget = self._context.retry_budget(
            flight.workspace.name, flight.workspace.retry_share
        )
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            self._coordinator.choose(flight, "", 0)
            await self._coordinator.hold(flight)
            try:
                response = await self._send(flight, call)
            except (NotRunError, RunUncertainError) as failure:
                if isinstance(failure, RunUncertainError):
                    self._coordinator.note_uncertain(flight)
                if attempt < ATTEMPT_LIMIT and retry_budget.take():
                    continue
                refusal = Refusal(Reason.ENDPOINT_FAILED, str(failure), retry_after_s=1)
                raise RefusedError(refusal) from failure
            retry_budget.record_success()
            self._coordinator.bill(flight, pool.tokens_per_call)
            _pass_on(answer, response, flight.request_id)
            return

    async def _run_once(self, flight: ActiveRequest, call, pool: Pool, answer) -> None:
        claim = ClaimRow(
            flight.request_id,
            flight.workspace.name,
            flight.core.incarnation,
            new_id(),
            flight.fingerprint,
        )
        stored = await self._claims.take(flight, claim)
        if stored is not None:
            _replay(answer, stored, flight.request_id)
            self._coordinator.discard(flight)
            return
        try:
            await self._send_claimed(flight, call, pool, claim, answer)
        except RefusedError as refused:
            if refused.refusal.outcome is Outcome.NOT_RUN:
                self._claims.release(flight, claim)
            raise

    async def _send_claimed(self, flight: ActiveRequest, call, pool: Pool, claim, answer) -> None:
        retry_budget = self._context.retry_budget(
            flight.workspace.name, flight.workspace.retry_share
        )
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            self._coordinator.choose(flight, "", 0)
            await self._coordinator.hold(flight)
            try:
                response = await self._send(flight, call)
            except NotRunError as failure:
                if attempt < ATTEMPT_LIMIT and retry_budget.take():
                    continue
                raise RefusedError(
                    Refusal(Reason.ENDPOINT_REFUSED, str(failure), retry_after_s=1)
                ) from failure
            except RunUncertainError as failure:
                self._coordinator.bill(flight, 0, outcome_writes(claim, ClaimState.UNKNOWN, None))
                raise RefusedError(
                    Refusal(Reason.OUTCOME_UNKNOWN, str(failure), Outcome.UNKNOWN)
                ) from failure
            content_type = response.headers.get("content-type", "application/octet-stream")
            stored = StoredAnswer(response.status, content_type, response.body)
            writes = outcome_writes(claim, ClaimState.DONE, stored)
            self._coordinator.bill(flight, pool.tokens_per_call, writes)
            _pass_on(answer, response, flight.request_id)
            return

    async def _send(self, flight: ActiveRequest, call: ServiceRequest):
        self._coordinator.sent(flight)
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
            self._coordinator.returned(flight, ok=False)
            raise
        self._coordinator.returned(flight, ok=True)
        return response


def _as_unknown(refusal: Refusal) -> Refusal:
    """Return the refusal of a request of which an earlier attempt may have run."""
    return msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)


def _rule(pool: Pool, call: ServiceRequest, workspace: Workspace) -> tuple[bool, str]:
    for rule in pool.calls:
        if rule.method == call.method and call.path.startswith(rule.path):
            return rule.repeatable, rule.priority_class or workspace.priority_class
    return call.method in IDEMPOTENT_METHODS, workspace.priority_class


def _pass_on(answer: ResponseWriterBase, response, request_id: str) -> None:
    headers = {
        "Content-Type": response.headers.get("content-type", "application/octet-stream"),
        "X-Outcome": str(Outcome.RAN),
        "X-Request-Id": request_id,
    }
    answer.head(response.status, headers)
    answer.write(response.body)
    answer.finish()


def _replay(answer: ResponseWriterBase, stored: StoredAnswer, request_id: str) -> None:
    headers = {
        "Content-Type": stored.content_type,
        "X-Outcome": str(Outcome.RAN),
        "X-Request-Id": request_id,
        "Idempotency-Replayed": "true",
    }
    answer.head(stored.status, headers)
    answer.write(stored.body)
    answer.finish()
