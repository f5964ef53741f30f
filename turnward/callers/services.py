# SPDX-License-Identifier: BSD-3-Clause
"""Serves ``/services/NAME/...``: calls of plain services, some of which must run at most once."""

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

#: Methods that may be repeated unless configured otherwise (RFC 9110, 9.2.2).
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
#: Maximum number of attempts at endpoints for one call.
ATTEMPT_LIMIT = 3


class ServiceRequest(msgspec.Struct, frozen=True):
    """One call of a plain service."""

    service: str
    method: str
    path: str
    content_type: str
    body: bytes


class ServiceServer:
    """Processes service calls.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    coordinator : RequestCoordinator
        Reserves tokens, replicates run records and bills.
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
        writer: ResponseWriterBase,
    ) -> None:
        """Process one call.

        Raises
        ------
        RefusedError
            The call was refused, and no part of a response was sent.
        """
        self._coordinator.require_serving()
        pool = self._context.config.resources.get("pools", call.service)
        if pool is None or pool.kind != "service":
            raise RefusedError(Refusal(Reason.NOT_FOUND, f"no service {call.service!r}"))
        repeatable, priority_class = _call_rule(pool, call, workspace)
        digest = fingerprint(call.method.encode(), call.path.encode(), call.body)
        active = ActiveRequest(workspace, request_id, digest, pool.name, priority_class, repeatable)
        if not repeatable:
            self._require_recent(request_id)
        self._coordinator.register(active)
        try:
            await self._process(active, call, pool, writer)
        finally:
            self._coordinator.close(active)

    def _require_recent(self, request_id: str) -> None:
        created_s = creation_time_s(request_id)
        oldest_allowed_s = self._context.clock.wall_s() - self._context.settings.id_retention_s
        if created_s is not None and created_s < oldest_allowed_s:
            raise RefusedError(
                Refusal(
                    Reason.ID_TOO_OLD,
                    "the id is older than the retention time of claims, so its outcome is unknown",
                    Outcome.UNKNOWN,
                )
            )

    async def _process(
        self, active: ActiveRequest, call: ServiceRequest, pool: Pool, writer
    ) -> None:
        await self._coordinator.admit(active)
        await self._coordinator.reserve(active, pool.tokens_per_call)
        try:
            if active.repeatable:
                await self._run_repeatable(active, call, pool, writer)
            else:
                await self._run_once(active, call, pool, writer)
        except RefusedError as refused:
            if self._coordinator.restore_uncertain(active):
                self._coordinator.bill(active, 0)
                raise RefusedError(_with_unknown_outcome(refused.refusal)) from refused
            if active.reservation.open:
                self._coordinator.discard(active)
            raise

    async def _run_repeatable(self, active: ActiveRequest, call, pool: Pool, writer) -> None:
        retry_budget = self._context.retry_budget(
            active.workspace.name, active.workspace.retry_share
        )
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            self._coordinator.choose(active, "", 0)
            await self._coordinator.replicate_record(active)
            try:
                response = await self._send(active, call)
            except (NotRunError, RunUncertainError) as failure:
                if isinstance(failure, RunUncertainError):
                    self._coordinator.mark_uncertain(active)
                if attempt < ATTEMPT_LIMIT and retry_budget.take():
                    continue
                refusal = Refusal(Reason.ENDPOINT_FAILED, str(failure), retry_after_s=1)
                raise RefusedError(refusal) from failure
            retry_budget.record_success()
            self._coordinator.bill(active, pool.tokens_per_call)
            _forward_response(writer, response, active.request_id)
            return

    async def _run_once(self, active: ActiveRequest, call, pool: Pool, writer) -> None:
        claim = ClaimRow(
            active.request_id,
            active.workspace.name,
            active.core.incarnation,
            new_id(),
            active.fingerprint,
        )
        stored = await self._claims.take(active, claim)
        if stored is not None:
            _replay(writer, stored, active.request_id)
            self._coordinator.discard(active)
            return
        try:
            await self._send_claimed(active, call, pool, claim, writer)
        except RefusedError as refused:
            if refused.refusal.outcome is Outcome.NOT_RUN:
                self._claims.release(active, claim)
            raise

    async def _send_claimed(self, active: ActiveRequest, call, pool: Pool, claim, writer) -> None:
        retry_budget = self._context.retry_budget(
            active.workspace.name, active.workspace.retry_share
        )
        for attempt in range(1, ATTEMPT_LIMIT + 1):
            self._coordinator.choose(active, "", 0)
            await self._coordinator.replicate_record(active)
            try:
                response = await self._send(active, call)
            except NotRunError as failure:
                if attempt < ATTEMPT_LIMIT and retry_budget.take():
                    continue
                raise RefusedError(
                    Refusal(Reason.ENDPOINT_REFUSED, str(failure), retry_after_s=1)
                ) from failure
            except RunUncertainError as failure:
                self._coordinator.bill(active, 0, outcome_writes(claim, ClaimState.UNKNOWN, None))
                raise RefusedError(
                    Refusal(Reason.OUTCOME_UNKNOWN, str(failure), Outcome.UNKNOWN)
                ) from failure
            content_type = response.headers.get("content-type", "application/octet-stream")
            stored = StoredAnswer(response.status, content_type, response.body)
            writes = outcome_writes(claim, ClaimState.DONE, stored)
            self._coordinator.bill(active, pool.tokens_per_call, writes)
            _forward_response(writer, response, active.request_id)
            return

    async def _send(self, active: ActiveRequest, call: ServiceRequest):
        self._coordinator.mark_sent(active)
        headers = {"Content-Type": call.content_type, "Idempotency-Key": active.request_id}
        try:
            response = await self._context.services.call(
                active.view.endpoint.url,
                active.run_id,
                call.method,
                call.path,
                call.body,
                headers,
            )
        except (NotRunError, RunUncertainError):
            self._coordinator.mark_finished(active, ok=False)
            raise
        self._coordinator.mark_finished(active, ok=True)
        return response


def _with_unknown_outcome(refusal: Refusal) -> Refusal:
    """Return the refusal of a request, an earlier attempt of which may have run."""
    return msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)


def _call_rule(pool: Pool, call: ServiceRequest, workspace: Workspace) -> tuple[bool, str]:
    for rule in pool.calls:
        if rule.method == call.method and call.path.startswith(rule.path):
            return rule.repeatable, rule.priority_class or workspace.priority_class
    return call.method in IDEMPOTENT_METHODS, workspace.priority_class


def _forward_response(writer: ResponseWriterBase, response, request_id: str) -> None:
    headers = {
        "Content-Type": response.headers.get("content-type", "application/octet-stream"),
        "X-Outcome": str(Outcome.RAN),
        "X-Request-Id": request_id,
    }
    writer.head(response.status, headers)
    writer.write(response.body)
    writer.finish()


def _replay(writer: ResponseWriterBase, stored: StoredAnswer, request_id: str) -> None:
    headers = {
        "Content-Type": stored.content_type,
        "X-Outcome": str(Outcome.RAN),
        "X-Request-Id": request_id,
        "Idempotency-Replayed": "true",
    }
    writer.head(stored.status, headers)
    writer.write(stored.body)
    writer.finish()
