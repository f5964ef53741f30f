# SPDX-License-Identifier: BSD-3-Clause
"""A request's way through admission, budget, record and bill; the same for all kinds."""

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

#: Seconds after which a caller refused for want of reachable tokens may come back.
UNREACHABLE_RETRY_S = 2
_SHORT_RETRY_S = 1
HOLD_TRIES = 2


class RequestCoordinator:
    """Opens, holds and closes flights.

    Parameters
    ----------
    context : RouterContext
        The router's shared parts.
    core : callable
        Returns the ``RouterCore`` of now.
    """

    def __init__(self, context, core):
        self._context = context
        self._core = core
        self._open: dict[tuple[str, str], ActiveRequest] = {}
        self._replies = ResponseCache()

    @property
    def open_count(self) -> int:
        """How many flights are not closed."""
        return len(self._open)

    def require_serving(self) -> None:
        """Refuse when this router may not take requests."""
        state = self._context.machine.state
        if state == "serving":
            return
        leaving = state in ("leaving", "left")
        reason = Reason.ROUTER_LEAVING if leaving else Reason.ROUTER_NOT_READY
        raise RefusedError(
            Refusal(reason, "this router takes no requests now", retry_after_s=_SHORT_RETRY_S)
        )

    def register(self, flight: ActiveRequest) -> None:
        """Take a request in; refuse a second one with the same id while the first runs."""
        key = (flight.workspace.name, flight.request_id)
        known = self._open.get(key)
        if known is not None:
            self._refuse_known(known.fingerprint, flight)
            raise RefusedError(
                Refusal(
                    Reason.IN_PROGRESS,
                    "a request with this id runs already",
                    Outcome.UNKNOWN,
                    _SHORT_RETRY_S,
                )
            )
        self._open[key] = flight
        flight.core = self._core()
        flight.started_s = self._context.now_s()

    def cached_response(self, flight: ActiveRequest) -> CachedResponse | None:
        """Return the kept answer of the same request, if there is one."""
        reply = self._replies.get(flight.workspace.name, flight.request_id)
        if reply is not None:
            self._refuse_known(reply.fingerprint, flight)
        return reply

    def cache_response(self, flight: ActiveRequest, reply: CachedResponse) -> None:
        """Keep a whole answer for a repeat of the request."""
        self._replies.keep(flight.workspace.name, flight.request_id, reply)

    def _refuse_known(self, fingerprint: str, flight: ActiveRequest) -> None:
        if fingerprint != flight.fingerprint:
            raise RefusedError(Refusal(Reason.ID_REUSED, "this id was used for another request"))

    async def admit(self, flight: ActiveRequest) -> None:
        """Wait for a place in the pool, in order of priority."""
        answer: Deferred = Deferred()
        queue = self._context.queue(flight.pool)
        if not self._context.views.candidates(flight.pool):
            raise RefusedError(self._no_endpoint(flight))
        match queue.offer(flight.priority_class, self._context.now_s(), answer.callback):
            case Result(tag="ok", ok=ticket):
                flight.ticket = ticket
            case Result(error=overload):
                raise RefusedError(self._overloaded(overload.retry_after_s))
        rule = self._context.config.resources.get("priority_classes", flight.priority_class)
        if not answer.called:
            answer.addTimeout(rule.max_wait_s, self._context.reactor)
        try:
            admitted = await answer
        except defer.TimeoutError:
            queue.withdraw(flight.ticket)
            admitted = False
        if not admitted:
            raise RefusedError(self._overloaded(rule.max_wait_s))
        flight.admitted_s = self._context.now_s()

    def _overloaded(self, retry_after_s: float) -> Refusal:
        self._context.metrics.count("refused.overloaded")
        return Refusal(
            Reason.OVERLOADED,
            "the pool is full",
            retry_after_s=max(1, math.ceil(retry_after_s)),
        )

    def _no_endpoint(self, flight: ActiveRequest) -> Refusal:
        return Refusal(
            Reason.NO_ENDPOINT,
            f"no endpoint of pool {flight.pool} takes work",
            retry_after_s=_SHORT_RETRY_S,
        )

    async def reserve(self, flight: ActiveRequest, tokens: int) -> None:
        """Set the request's worst case aside, waiting shortly for a grant."""
        budget = flight.workspace.budget
        ledger = flight.core.ledger
        deadline_s = self._context.now_s() + self._context.settings.grant_wait_s
        first_try = True
        while True:
            result = ledger.reserve(budget, tokens, self._context.now_s(), first_try)
            match result:
                case Result(tag="ok", ok=reservation):
                    flight.reservation = reservation
                    return
                case Result(error=reason):
                    left_s = deadline_s - self._context.now_s()
                    if not first_try or left_s <= 0 or not await self._want(flight, left_s):
                        raise RefusedError(self._no_tokens(flight, tokens, reason))
            first_try = False

    async def _want(self, flight: ActiveRequest, limit_s: float) -> bool:
        answer: Deferred = Deferred()
        flight.core.grants.tell(RequestTokens(flight.workspace.budget, answer))
        try:
            return await answer.addTimeout(limit_s, self._context.reactor)
        except defer.TimeoutError:
            return False

    def _no_tokens(self, flight: ActiveRequest, tokens: int, reason: RefusalReason) -> Refusal:
        self._context.metrics.count(f"refused.{reason}")
        self._context.events.emit(
            "request.refused",
            request_id=flight.request_id,
            workspace=flight.workspace.name,
            reason=str(reason),
            tokens=tokens,
        )
        if reason is RefusalReason.EXHAUSTED:
            detail = f"the budget has fewer than {tokens} tokens left"
            return Refusal(Reason.BUDGET_EXHAUSTED, detail)
        return Refusal(
            Reason.BUDGET_UNREACHABLE,
            "tokens may be left, but none can be had here now",
            retry_after_s=UNREACHABLE_RETRY_S,
        )

    def choose(self, flight: ActiveRequest, prefix: str, prompt_tokens: int) -> Choice:
        """Choose an endpoint, one not tried before if there is any."""
        ready = self._context.views.candidates(flight.pool)
        if not ready:
            raise RefusedError(self._no_endpoint(flight))
        candidates = [view for view in ready if view.name not in flight.tried] or ready
        zone = self._context.settings.zone
        request = RouteRequest(flight.pool, zone, prefix, prompt_tokens)
        choice = self._context.policy.choose(request, candidates, self._context.now_s())
        flight.view = choice.view
        flight.run_id = new_id()
        flight.tried.add(choice.view.name)
        self._context.events.emit(
            "request.routed",
            request_id=flight.request_id,
            workspace=flight.workspace.name,
            endpoint=choice.view.name,
            scores={name: round(score, 4) for name, score in choice.scores.items()},
        )
        return choice

    async def hold(self, flight: ActiveRequest) -> None:
        """Have the run's record held in a second place before anything is sent."""
        before = flight.record
        record = RunRecord(
            flight.request_id,
            flight.run_id,
            flight.workspace.name,
            flight.workspace.budget,
            flight.view.name,
            flight.fingerprint,
            flight.reservation.tokens,
            repeatable=flight.repeatable,
        )
        held = await self._hold_freshly(flight, record)
        if not held:
            flight.core.records.put(msgspec.structs.replace(record, state=RecordState.BILLED))
            raise RefusedError(
                Refusal(
                    Reason.RECORDS_UNREACHABLE,
                    "the run's record could not be kept in a second place",
                    retry_after_s=_SHORT_RETRY_S,
                )
            )
        flight.record = record
        if before is not None:
            flight.core.records.put(msgspec.structs.replace(before, state=RecordState.BILLED))

    async def _hold_freshly(self, flight: ActiveRequest, record: RunRecord) -> bool:
        """Hold the record; once more if it took so long that it may be settled already.

        A router that was frozen meanwhile may have been fenced and recovered.
        """
        for _ in range(HOLD_TRIES):
            started_s = self._context.now_s()
            if not await self._hold_at_buddy(flight, record):
                return False
            if self._context.now_s() - started_s < self._context.settings.gone_after_s:
                return True
        return False

    async def _hold_at_buddy(self, flight: ActiveRequest, record: RunRecord) -> bool:
        if flight.core.fenced:
            return False
        answer: Deferred = Deferred()
        flight.core.records.tell(ReplicateRecord(record, answer))
        try:
            held = await answer.addTimeout(
                self._context.settings.peer_timeout_s * 2, self._context.reactor
            )
        except defer.TimeoutError:
            held = False
        return held or await self._hold_in_table(flight, record)

    async def _hold_in_table(self, flight: ActiveRequest, record: RunRecord) -> bool:
        key = stored_record_key(flight.core.incarnation, record.run_id)
        transaction = Transaction(
            (live_check(flight.core.incarnation),), (Put(key, msgspec.to_builtins(record)),)
        )
        try:
            result = await self._context.table.transact(transaction)
        except PlatformError:
            return False
        if not isinstance(result, Committed):
            return False
        flight.stored_record_key = key
        return True

    def sent(self, flight: ActiveRequest) -> None:
        """Note that the request goes out now."""
        flight.view_sent_s = self._context.now_s()
        self._context.views.sent(flight.view)
        self._context.events.emit(
            "request.sent",
            request_id=flight.request_id,
            workspace=flight.workspace.name,
            endpoint=flight.view.name,
            run_id=flight.run_id,
        )

    def note_uncertain(self, flight: ActiveRequest) -> None:
        """Remember that the present attempt may have run."""
        flight.uncertain_run = UncertainRun(flight.view, flight.run_id, flight.record)

    def restore_uncertain(self, flight: ActiveRequest) -> bool:
        """Go back to the attempt that may have run; False when there is none."""
        run = flight.uncertain_run
        if run is None:
            return False
        if flight.record is not None and flight.record.run_id != run.run_id:
            flight.core.records.put(
                msgspec.structs.replace(flight.record, state=RecordState.BILLED)
            )
            flight.core.records.put(run.record)
        flight.view, flight.run_id, flight.record = run.view, run.run_id, run.record
        return True

    def returned(self, flight: ActiveRequest, ok: bool) -> None:
        """Note that the endpoint has answered or failed."""
        now_s = self._context.now_s()
        self._context.views.ended(flight.view, ok, now_s - flight.view_sent_s, now_s)

    def bill(
        self, flight: ActiveRequest, used_tokens: int, extra_writes: tuple[Write, ...] = ()
    ) -> None:
        """Settle the reservation and queue the bill of a run that was sent."""
        tokens = flight.core.ledger.settle(flight.reservation, used_tokens)
        if tokens < used_tokens:
            self._context.metrics.count("usage.above_reservation")
        row = BillRow(
            flight.request_id,
            flight.run_id,
            flight.workspace.name,
            flight.workspace.budget,
            tokens,
            flight.core.incarnation,
            flight.view.name,
            flight.fingerprint,
        )
        closed = msgspec.structs.replace(
            flight.record, state=RecordState.CLOSED, used_tokens=tokens
        )
        flight.core.records.put(closed)
        if flight.stored_record_key:
            extra_writes = (*extra_writes, Delete(flight.stored_record_key))
        flight.core.add_bill(AddBill(Bill(row, extra_writes), closed))

    def discard(self, flight: ActiveRequest) -> None:
        """Undo reservation and record of a request that was proved not to have run."""
        if flight.reservation is not None and flight.reservation.open:
            flight.core.ledger.settle(flight.reservation, 0)
        if flight.record is not None:
            self._drop_record(flight)

    def _drop_record(self, flight: ActiveRequest) -> None:
        dropped = msgspec.structs.replace(flight.record, state=RecordState.BILLED)
        flight.core.records.put(dropped)

    def close(self, flight: ActiveRequest) -> None:
        """Let the flight go; its place in the pool is free."""
        now_s = self._context.now_s()
        if flight.ticket is not None:
            queue = self._context.queue(flight.pool)
            queue.end(flight.ticket, now_s - flight.admitted_s, now_s)
        self._open.pop((flight.workspace.name, flight.request_id), None)
        self._context.metrics.timing("request.duration_ms", (now_s - flight.started_s) * 1000)
