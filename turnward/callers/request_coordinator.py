# SPDX-License-Identifier: BSD-3-Clause
"""Admission, token reservation, run records and billing for requests of all kinds."""

import math

import msgspec
from expression import Result
from twisted.internet import defer
from twisted.internet.defer import Deferred

from turnward.budgets import Bill, BillRow, RefusalReason
from turnward.callers.active_request import ActiveRequest, UncertainRun
from turnward.callers.problems import Outcome, Reason, Refusal, RefusedError
from turnward.callers.response_cache import CachedResponse, ResponseCache
from turnward.fleet import live_check
from turnward.ids import new_id
from turnward.peers.messages import RecordState, RunRecord, stored_record_key
from turnward.router.bill_task import AddBill
from turnward.router.grant_task import RequestTokens
from turnward.router.record_task import ReplicateRecord
from turnward.routing import Choice, RouteRequest
from turnward.store import Committed, Delete, PlatformError, Put, Transaction, Write

__all__ = ["RequestCoordinator"]

#: Retry-After of a request refused because tokens may be left but are not available here.
UNREACHABLE_RETRY_S = 2
_SHORT_RETRY_S = 1
REPLICATION_ATTEMPTS = 2


class RequestCoordinator:
    """Takes requests through admission, reservation, replication of the run record and billing.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    core : callable
        Returns the router's current ``RouterCore``.
    """

    def __init__(self, context, core):
        self._context = context
        self._core = core
        self._active: dict[tuple[str, str], ActiveRequest] = {}
        self._response_cache = ResponseCache()

    @property
    def open_count(self) -> int:
        """Number of active requests."""
        return len(self._active)

    def require_serving(self) -> None:
        """Raise a refusal unless this router accepts requests."""
        state = self._context.machine.state
        if state == "serving":
            return
        leaving = state in ("leaving", "left")
        reason = Reason.ROUTER_LEAVING if leaving else Reason.ROUTER_NOT_READY
        raise RefusedError(
            Refusal(
                reason, "this router accepts no requests at present", retry_after_s=_SHORT_RETRY_S
            )
        )

    def register(self, active: ActiveRequest) -> None:
        """Register a request; refuse it if one with the same id is active."""
        key = (active.workspace.name, active.request_id)
        existing = self._active.get(key)
        if existing is not None:
            self._check_fingerprint(existing.fingerprint, active)
            raise RefusedError(
                Refusal(
                    Reason.IN_PROGRESS,
                    "a request with this id is already running",
                    Outcome.UNKNOWN,
                    _SHORT_RETRY_S,
                )
            )
        self._active[key] = active
        active.core = self._core()
        active.started_s = self._context.now_s()

    def cached_response(self, active: ActiveRequest) -> CachedResponse | None:
        """Return the cached response to the same request, if there is one."""
        response = self._response_cache.get(active.workspace.name, active.request_id)
        if response is not None:
            self._check_fingerprint(response.fingerprint, active)
        return response

    def cache_response(self, active: ActiveRequest, response: CachedResponse) -> None:
        """Cache a complete response for repetitions of its request."""
        self._response_cache.put(active.workspace.name, active.request_id, response)

    def _check_fingerprint(self, fingerprint: str, active: ActiveRequest) -> None:
        if fingerprint != active.fingerprint:
            raise RefusedError(Refusal(Reason.ID_REUSED, "this id was used for another request"))

    async def admit(self, active: ActiveRequest) -> None:
        """Wait for a free place in the pool, in order of priority."""
        done: Deferred = Deferred()
        queue = self._context.queue(active.pool)
        if not self._context.views.candidates(active.pool):
            raise RefusedError(self._no_endpoint_refusal(active))
        match queue.offer(active.priority_class, self._context.now_s(), done.callback):
            case Result(tag="ok", ok=ticket):
                active.ticket = ticket
            case Result(error=overload):
                raise RefusedError(self._overload_refusal(overload.retry_after_s))
        rule = self._context.config.resources.get("priority_classes", active.priority_class)
        if not done.called:
            done.addTimeout(rule.max_wait_s, self._context.reactor)
        try:
            admitted = await done
        except defer.TimeoutError:
            queue.withdraw(active.ticket)
            admitted = False
        if not admitted:
            raise RefusedError(self._overload_refusal(rule.max_wait_s))
        active.admitted_s = self._context.now_s()

    def _overload_refusal(self, retry_after_s: float) -> Refusal:
        self._context.metrics.count("refused.overloaded")
        return Refusal(
            Reason.OVERLOADED,
            "the pool is full",
            retry_after_s=max(1, math.ceil(retry_after_s)),
        )

    def _no_endpoint_refusal(self, active: ActiveRequest) -> Refusal:
        return Refusal(
            Reason.NO_ENDPOINT,
            f"no endpoint of pool {active.pool} is available",
            retry_after_s=_SHORT_RETRY_S,
        )

    async def reserve(self, active: ActiveRequest, tokens: int) -> None:
        """Reserve the most tokens that the request may use, waiting briefly for a grant."""
        budget = active.workspace.budget
        ledger = active.core.ledger
        deadline_s = self._context.now_s() + self._context.settings.grant_wait_s
        first_try = True
        while True:
            result = ledger.reserve(budget, tokens, self._context.now_s(), first_try)
            match result:
                case Result(tag="ok", ok=reservation):
                    active.reservation = reservation
                    return
                case Result(error=reason):
                    remaining_s = deadline_s - self._context.now_s()
                    if (
                        not first_try
                        or remaining_s <= 0
                        or not await self._request_grant(active, remaining_s)
                    ):
                        raise RefusedError(self._token_refusal(active, tokens, reason))
            first_try = False

    async def _request_grant(self, active: ActiveRequest, limit_s: float) -> bool:
        done: Deferred = Deferred()
        active.core.grants.tell(RequestTokens(active.workspace.budget, done))
        try:
            return await done.addTimeout(limit_s, self._context.reactor)
        except defer.TimeoutError:
            return False

    def _token_refusal(self, active: ActiveRequest, tokens: int, reason: RefusalReason) -> Refusal:
        self._context.metrics.count(f"refused.{reason}")
        self._context.events.emit(
            "request.refused",
            request_id=active.request_id,
            workspace=active.workspace.name,
            reason=str(reason),
            tokens=tokens,
        )
        if reason is RefusalReason.EXHAUSTED:
            detail = f"the budget has fewer than {tokens} tokens left"
            return Refusal(Reason.BUDGET_EXHAUSTED, detail)
        return Refusal(
            Reason.BUDGET_UNREACHABLE,
            "tokens may be left, but this router cannot obtain any at present",
            retry_after_s=UNREACHABLE_RETRY_S,
        )

    def choose(self, active: ActiveRequest, prefix: str, prompt_tokens: int) -> Choice:
        """Choose an endpoint, preferably one not tried before."""
        available = self._context.views.candidates(active.pool)
        if not available:
            raise RefusedError(self._no_endpoint_refusal(active))
        candidates = [view for view in available if view.name not in active.tried] or available
        zone = self._context.settings.zone
        request = RouteRequest(active.pool, zone, prefix, prompt_tokens)
        choice = self._context.policy.choose(request, candidates, self._context.now_s())
        active.view = choice.view
        active.run_id = new_id()
        active.tried.add(choice.view.name)
        self._context.events.emit(
            "request.routed",
            request_id=active.request_id,
            workspace=active.workspace.name,
            endpoint=choice.view.name,
            scores={name: round(score, 4) for name, score in choice.scores.items()},
        )
        return choice

    async def replicate_record(self, active: ActiveRequest) -> None:
        """Have the run's record kept in a second place before anything is sent."""
        previous = active.record
        record = RunRecord(
            active.request_id,
            active.run_id,
            active.workspace.name,
            active.workspace.budget,
            active.view.name,
            active.fingerprint,
            active.reservation.tokens,
            repeatable=active.repeatable,
        )
        replicated = await self._replicate_in_time(active, record)
        if not replicated:
            active.core.records.put(msgspec.structs.replace(record, state=RecordState.BILLED))
            raise RefusedError(
                Refusal(
                    Reason.RECORDS_UNREACHABLE,
                    "the run's record could not be kept in a second place",
                    retry_after_s=_SHORT_RETRY_S,
                )
            )
        active.record = record
        if previous is not None:
            active.core.records.put(msgspec.structs.replace(previous, state=RecordState.BILLED))

    async def _replicate_in_time(self, active: ActiveRequest, record: RunRecord) -> bool:
        """Replicate the record; once more if the first time took too long.

        A router that was suspended for that long may have been fenced and its records settled by
        another router.
        """
        for _ in range(REPLICATION_ATTEMPTS):
            started_s = self._context.now_s()
            if not await self._replicate_to_buddy(active, record):
                return False
            if self._context.now_s() - started_s < self._context.settings.gone_after_s:
                return True
        return False

    async def _replicate_to_buddy(self, active: ActiveRequest, record: RunRecord) -> bool:
        if active.core.fenced:
            return False
        done: Deferred = Deferred()
        active.core.records.tell(ReplicateRecord(record, done))
        try:
            replicated = await done.addTimeout(
                self._context.settings.peer_timeout_s * 2, self._context.reactor
            )
        except defer.TimeoutError:
            replicated = False
        return replicated or await self._store_in_table(active, record)

    async def _store_in_table(self, active: ActiveRequest, record: RunRecord) -> bool:
        key = stored_record_key(active.core.incarnation, record.run_id)
        transaction = Transaction(
            (live_check(active.core.incarnation),), (Put(key, msgspec.to_builtins(record)),)
        )
        try:
            result = await self._context.table.transact(transaction)
        except PlatformError:
            return False
        if not isinstance(result, Committed):
            return False
        active.stored_record_key = key
        return True

    def mark_sent(self, active: ActiveRequest) -> None:
        """Record that the current attempt is being sent."""
        active.attempt_sent_s = self._context.now_s()
        self._context.views.sent(active.view)
        self._context.events.emit(
            "request.sent",
            request_id=active.request_id,
            workspace=active.workspace.name,
            endpoint=active.view.name,
            run_id=active.run_id,
        )

    def mark_uncertain(self, active: ActiveRequest) -> None:
        """Record that the current attempt may have run."""
        active.uncertain_run = UncertainRun(active.view, active.run_id, active.record)

    def restore_uncertain(self, active: ActiveRequest) -> bool:
        """Make the attempt that may have run the current one; return False if there is none."""
        run = active.uncertain_run
        if run is None:
            return False
        if active.record is not None and active.record.run_id != run.run_id:
            active.core.records.put(
                msgspec.structs.replace(active.record, state=RecordState.BILLED)
            )
            active.core.records.put(run.record)
        active.view, active.run_id, active.record = run.view, run.run_id, run.record
        return True

    def mark_finished(self, active: ActiveRequest, ok: bool) -> None:
        """Record that the current attempt has succeeded or failed."""
        now_s = self._context.now_s()
        self._context.views.ended(active.view, ok, now_s - active.attempt_sent_s, now_s)

    def bill(
        self, active: ActiveRequest, used_tokens: int, extra_writes: tuple[Write, ...] = ()
    ) -> None:
        """Settle the reservation and queue the bill of a run that was sent."""
        tokens = active.core.ledger.settle(active.reservation, used_tokens)
        if tokens < used_tokens:
            self._context.metrics.count("usage.above_reservation")
        row = BillRow(
            active.request_id,
            active.run_id,
            active.workspace.name,
            active.workspace.budget,
            tokens,
            active.core.incarnation,
            active.view.name,
            active.fingerprint,
        )
        closed = msgspec.structs.replace(
            active.record, state=RecordState.CLOSED, used_tokens=tokens
        )
        active.core.records.put(closed)
        if active.stored_record_key:
            extra_writes = (*extra_writes, Delete(active.stored_record_key))
        active.core.add_bill(AddBill(Bill(row, extra_writes), closed))

    def discard(self, active: ActiveRequest) -> None:
        """Undo reservation and record of a request that certainly did not run."""
        if active.reservation is not None and active.reservation.open:
            active.core.ledger.settle(active.reservation, 0)
        if active.record is not None:
            self._drop_record(active)

    def _drop_record(self, active: ActiveRequest) -> None:
        dropped = msgspec.structs.replace(active.record, state=RecordState.BILLED)
        active.core.records.put(dropped)

    def close(self, active: ActiveRequest) -> None:
        """Unregister a request and free its place in the pool."""
        now_s = self._context.now_s()
        if active.ticket is not None:
            queue = self._context.queue(active.pool)
            queue.end(active.ticket, now_s - active.admitted_s, now_s)
        self._active.pop((active.workspace.name, active.request_id), None)
        self._context.metrics.timing("request.duration_ms", (now_s - active.started_s) * 1000)
