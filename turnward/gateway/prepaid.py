# SPDX-License-Identifier: BSD-3-Clause
"""Prepaid tokens of workspaces, shared by all routers through one row each.

The row of a workspace records the tokens granted to each router incarnation, and the spending of
earlier incarnations. A router spends only under a grant that is already in the row, so the total
spending can't exceed the limit, whichever routers crash or are disconnected. After a crash, the
successor on the same node returns the part of the grant that can't have been spent; see
``spending``.

If the store is unreachable or has no tokens left, a router borrows from its peers; see ``loans``.
``accounts`` defines the row and its changes.
"""

import contextlib
from collections.abc import Callable

import msgspec
from twisted.internet import defer

from turnward.gateway.account_updates import AccountUpdates
from turnward.gateway.accounts import (
    ROW_NAME,
    TABLE,
    AccountRow,
    TokenLimit,
    change_grant,
    decode_account,
    encode_account,
    fold_predecessors,
    taken_tokens,
    ungranted_tokens,
    with_limit,
    with_prior_version,
)
from turnward.gateway.borrowing import Borrower
from turnward.gateway.budget_refusals import BudgetRefusal, BudgetRefusals
from turnward.gateway.configuration import Workspace
from turnward.gateway.end_reserve import EndReserve, EndReserveRule
from turnward.gateway.holder_client import HolderClient, ReturnOutcome
from turnward.gateway.holders import EveryRouterHolds, HoldersBase
from turnward.gateway.loans import LenderBase, Loan, LoanAsk, LoanOffer, LoanReturn, LoanRule
from turnward.gateway.restoring import AccountRestorer
from turnward.gateway.spend_bounds import FixedBursts, HoldingState, SpendBoundPolicyBase
from turnward.gateway.spending import SpendBound, SpendReports
from turnward.gateway.token_pacing import PacedRefusal, TokenPacing
from turnward.gateway.workspace_account import WaitingRequest, WorkspaceAccount
from turnward.ledger import BudgetView, GrantLedger, GrantRequest, Reservation, SizingRule
from turnward.pacing import TokenPacerBase
from turnward.rows import (
    RowChange,
    RowKey,
    RowOutcomeUnknownError,
    RowsUnavailableError,
    StoredRow,
    VersionConflictError,
    VersionedStoreBase,
    VersionedTransaction,
)

__all__ = ["BudgetRefusal", "PrepaidAccounts"]

#: Seconds a request waits for a grant before it is refused.
_WAIT_S = 0.3
#: Interval between two runs of the periodic maintenance.
_INTERVAL_S = 0.25
#: Seconds without calls to the store after one failed.
_PAUSE_S = 0.3
#: While the store is unreachable, fraction of the tokens held when it was last reached that is
#: withheld for more urgent requests: per priority level, and at most.
WITHHELD_SHARE_PER_PRIORITY = 0.15
#: How a router sizes its grants; see ``docs/decisions``.
GRANT_SIZING = SizingRule(
    horizon_s=60.0,
    minimum_tokens=2_000,
    share=0.5,
    floor_share=0.5,
    bias_corrected=True,
    idle_return_s=4.0,
    near_limit_refresh_s=1.0,
    default_refresh_s=3.0,
)
_MAX_WITHHELD_SHARE = 0.5
#: Target rate of the row reads of all routers together; each router reads a row at least once
#: per ``_MAX_REFRESH_S``.
_FLEET_READS_PER_S = 100.0
_MAX_REFRESH_S = 10.0
#: Seconds for which a shortage is announced to peers.
_SHORTAGE_S = 2.0
#: Seconds without a request after which a router that is not a holder returns its free tokens.
_IDLE_RETURN_S = 0.5
#: Seconds until a failed read of the reports of earlier incarnations is repeated.
_PREDECESSORS_RETRY_S = 0.4
#: Attempts to write a row before the change is postponed to the next run.
_MAX_WRITE_ATTEMPTS = 30


class PrepaidAccounts:
    """Reserves prepaid tokens for requests, and manages the grants of one router incarnation.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Stores the rows.
    node, incarnation : str
        This router; the incarnation's name begins with the node's and ``@``.
    rule : SizingRule
        How far ahead of demand grants are taken; its ``floor_share`` is divided among the
        holders.
    log : GatewayLog
        Receives an event for each change of a grant.
    live_routers : callable
        Returns the number of routers that may be running, which limits how often each of them
        reports its spending.
    bounds : SpendBoundPolicyBase, optional
        Makes the spend bounds that are reported.
    loan_rule : LoanRule, optional
        How much is lent and borrowed.
    end_reserve_rule : EndReserveRule, optional
        Size and release time of the reserve at the end of a limit.
    withheld_share_per_priority : float, optional
        While the store is unreachable, fraction of the tokens held when it was last reached that
        is withheld for more urgent requests, per priority level.
    reports : bool, optional
        Whether spending is reported for a successor.
    holders : HoldersBase, optional
        Which routers hold a workspace's tokens; the size of their grants depends on their number.
    lending_wait_s : float, optional
        Time after which a peer's request for tokens is refused if they can't be lent yet, so that
        the peer can ask another holder; by default it waits as long as an own request.
    pacer : TokenPacerBase, optional
        Decides which requests get a workspace's tokens while these run short; all by default.
    started_s : float, optional
        When this process started; see ``SpendReports``.

    Attributes
    ----------
    holder_client : HolderClient or None
        Requests tokens from the holders of a workspace if this router is not one of them.
    updates : AccountUpdates
        Contents of rows as last known here and at other routers.
    refusals : BudgetRefusals
        Logs refusals of requests.
    on_written : callable
        Called after each write of a row, so that it is announced to other routers soon.
    """

    def __init__(
        self,
        reactor,
        store: VersionedStoreBase,
        node: str,
        incarnation: str,
        rule: SizingRule,
        log,
        live_routers: Callable[[], int],
        bounds: SpendBoundPolicyBase | None = None,
        loan_rule: LoanRule | None = None,
        end_reserve_rule: EndReserveRule | None = None,
        withheld_share_per_priority: float = WITHHELD_SHARE_PER_PRIORITY,
        reports: bool = True,
        holders: HoldersBase | None = None,
        lending_wait_s: float | None = None,
        pacer: TokenPacerBase | None = None,
        started_s: float | None = None,
    ):
        self._reactor = reactor
        self._store = store
        self._node = node
        self._incarnation = incarnation
        self._log = log
        self._accounts: dict[str, WorkspaceAccount] = {}
        self._live_routers = live_routers
        self._holders = holders or EveryRouterHolds(live_routers)
        self.holder_client: HolderClient | None = None
        #: Returns the time that requests wait in addition for tokens, as the own link is slow.
        self.added_wait_s: Callable[[], float] = lambda: 0.0
        self._rule = rule
        self._bounds = bounds or FixedBursts()
        self._loan_rule = loan_rule or LoanRule()
        self._end_reserve_rule = end_reserve_rule or EndReserveRule()
        self._withheld_share_per_priority = withheld_share_per_priority
        self._lending_wait_s = lending_wait_s
        self._paused_until_s = 0.0
        self._store_unreachable = False
        self._store_reached_s = -1e9
        self._stopping = False
        self.ledger = GrantLedger(rule)
        self._pacing = TokenPacing(self.ledger, self._holders, log, pacer)
        self.updates = AccountUpdates(reactor.seconds, store.eras)
        self.on_written: Callable[[], None] = lambda: None
        self._restorer = AccountRestorer(
            reactor, store, incarnation, self.ledger, self.updates, log
        )
        self._borrower = Borrower(
            reactor, self.ledger, self._loan_rule, self._spendable_tokens, self._on_loan, log
        )
        self.refusals = BudgetRefusals(
            self.ledger, self._reported_allowance_tokens, self._borrower.lendable_tokens, log
        )
        self._reports = SpendReports(
            reactor,
            store,
            node,
            incarnation,
            self._spend_bounds,
            self._on_reported,
            log,
            reports,
            started_s,
        )

    # Used by requests.

    def set_limits(self, workspaces: dict[str, Workspace], version: int) -> None:
        """Apply the limits of a configuration."""
        for workspace in workspaces.values():
            if workspace.prepaid_tokens is None:
                continue
            account = self._account(workspace.name)
            account.limit = TokenLimit(workspace.prepaid_tokens, version)
            if account.row is not None:
                self._update_ledger_view(workspace.name, account)
            if self._holds(workspace.name) and self._holders.settled:
                self.schedule_update(workspace.name)

    def reserve(
        self,
        workspace: str,
        tokens: int,
        priority: int = 0,
        ahead_tokens: int = 0,
        route_priority: int | None = None,
    ):
        """Return a reservation, a refusal, or a deferred of one of them.

        While the store is unreachable, a part of the remaining tokens is withheld for more urgent
        requests than those of ``priority`` (0 is the most urgent). ``ahead_tokens`` is the number
        of tokens that the request may need later; see ``reserve_now``. ``route_priority`` orders
        the requests of the workspace, and is ``priority`` by default.
        """
        request = LoanAsk(workspace, tokens, tokens + ahead_tokens, priority, True, route_priority)
        if not self._holds(workspace) and self.holder_client is not None:
            return self._reserve_from_holder(request)
        return self._reserve_as_holder(request)

    def holds(self, workspace: str) -> bool:
        """Return whether this router holds tokens of a workspace."""
        return self._holders.holds(workspace)

    def _holds(self, workspace: str) -> bool:
        """Return whether this router holds tokens of a workspace, and update the ledger to match.

        The ledger is not changed until the membership has settled, as tokens would move back and
        forth between routers otherwise.
        """
        holds = self._holders.holds(workspace)
        if self._holders.settled:
            self.ledger.set_prefetch(workspace, holds)
        return holds

    def _reserve_as_holder(self, request: LoanAsk):
        """Reserve tokens for an own or a peer's request, unless the pacer refuses it."""
        account = self._account(request.workspace)
        tokens = max(1, request.required_tokens)
        if account.limit is None:
            # A peer knows a newer configuration. Whether tokens are left is not known here.
            return self._log_refusal(account, tokens, BudgetRefusal.UNREACHABLE)
        paced = self._pacing.refusal(account, request)
        if paced is not None:
            return paced
        return self._reserve_locally(request.workspace, tokens, request.priority)

    def _reserve_locally(self, workspace: str, tokens: int, priority: int):
        """Reserve tokens of the own grant, extended by the store or by loans if needed."""
        account = self._account(workspace)
        if self._store_unreachable and self._is_withheld(account, tokens, priority):
            return self._log_refusal(account, tokens, BudgetRefusal.UNREACHABLE, withheld=True)
        reservation = self._try_reserve(workspace, tokens, first_try=True)
        if reservation is not None:
            if self.ledger.free_tokens(workspace) < tokens:
                self.schedule_update(workspace)
            return reservation
        account.short_until_s = self._reactor.seconds() + _SHORTAGE_S
        lendable = self._borrower.lendable_tokens(workspace)
        exhausted = self._is_exhausted(account, workspace, tokens)
        if exhausted and not self._admit_from_reserve(account, tokens):
            self.schedule_update(workspace)
            return self._log_refusal(account, tokens, BudgetRefusal.EXHAUSTED)
        if self._store_unreachable and not lendable:
            # No tokens can arrive while the request waits.
            return self._log_refusal(account, tokens, BudgetRefusal.UNREACHABLE)
        waiter = WaitingRequest(tokens, exhausted)
        self._enqueue(account, waiter)
        grants_paused = self._store_unreachable or self._restorer.remaining_wait_s > 0
        if lendable and (grants_paused or self._store_is_short(account, workspace)):
            self._borrow(account)
        else:
            self._reports.report()
            self.schedule_update(workspace)
        return waiter.deferred

    @property
    def _wait_s(self) -> float:
        """Time that a request waits for the store."""
        return _WAIT_S + self.added_wait_s()

    def _enqueue(self, account: WorkspaceAccount, waiter: WaitingRequest) -> None:
        """Queue a request that waits for tokens, with a time limit."""
        account.waiters.append(waiter)
        limit_s = self._wait_s + self._restorer.remaining_wait_s
        self._reactor.callLater(limit_s, self._time_out, account.workspace, waiter)

    def _log_refusal(
        self, account: WorkspaceAccount, tokens: int, refusal: BudgetRefusal, withheld: bool = False
    ) -> BudgetRefusal:
        """Log a refusal with the values that led to it; return the reason."""
        in_contact = not self._store_unreachable
        return self.refusals.report(account, tokens, refusal, in_contact, withheld)

    def _admit_from_reserve(self, account: WorkspaceAccount, tokens: int) -> bool:
        """Return whether a request may be served from the end reserve."""
        if self._store_unreachable:
            return False
        now_s = self._reactor.seconds()
        return account.end_reserve.admit_request(account.row, tokens, now_s)

    def _is_withheld(self, account: WorkspaceAccount, tokens: int, priority: int) -> bool:
        """Return whether a request would use tokens withheld for more urgent ones."""
        withheld_share = min(_MAX_WITHHELD_SHARE, self._withheld_share_per_priority * priority)
        withheld = withheld_share * account.free_tokens_when_reachable
        if withheld <= 0:
            return False
        available = self.ledger.free_tokens(account.workspace)
        available += self._borrower.lendable_tokens(account.workspace)
        return available - tokens < withheld

    def _try_reserve(self, workspace: str, tokens: int, first_try: bool) -> Reservation | None:
        if first_try:
            self._account(workspace).request_sizes.add(tokens, self._reactor.seconds())
        allowance = self._reported_allowance_tokens(workspace)
        if allowance is not None and tokens > allowance:
            # The bound of the last report is used up; the next report raises it.
            return None
        result = self.ledger.reserve(workspace, tokens, self._reactor.seconds(), first_try)
        return result.ok if result.is_ok() else None

    def _reported_allowance_tokens(self, workspace: str) -> int | None:
        """Return how much more may be committed under the last report; None if unbounded."""
        return self._reports.allowance_tokens(workspace, self._own_committed_tokens(workspace))

    def _own_committed_tokens(self, workspace: str) -> int:
        """Return the tokens settled or reserved under the own grant."""
        account = self._accounts.get(workspace)
        borrowed = account.borrowed_tokens if account is not None else 0
        return self.ledger.committed_tokens(workspace) - borrowed

    def _spendable_tokens(self, workspace: str) -> int:
        """Return the tokens that may be reserved now."""
        free = max(0, self.ledger.free_tokens(workspace))
        allowance = self._reported_allowance_tokens(workspace)
        return free if allowance is None else max(0, min(free, allowance))

    def free_tokens(self) -> int:
        """Return the tokens of all workspaces that are held here and not reserved."""
        return sum(max(0, self.ledger.free_tokens(name)) for name in self.ledger.budgets())

    def strandable_tokens(self) -> int:
        """Return the tokens that a crash would strand, as they may have been spent."""
        return sum(
            self._spendable_tokens(workspace)
            for workspace in self.ledger.budgets()
            if self._has_own_grant(workspace)
        )

    def reserve_now(self, workspace: str, tokens: int) -> Reservation | None:
        """Return a reservation of tokens held already, or None."""
        return self._try_reserve(workspace, tokens, first_try=True)

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Close a reservation with the tokens used."""
        self.ledger.settle(reservation, used_tokens)
        account = self._accounts.get(reservation.budget)
        if account is not None and account.waiters:
            self._serve_waiters(reservation.budget, account)

    # Requests of workspaces whose tokens other routers hold.

    def _reserve_from_holder(self, loan_request: LoanAsk):
        """Reserve tokens that a holder lends for this request."""
        workspace, tokens = loan_request.workspace, loan_request.required_tokens
        reservation = self._try_reserve(workspace, tokens, first_try=False)
        if reservation is not None:
            return reservation
        # The tokens are requested from a holder below; the plans must not also take a grant.
        self.ledger.clear_wanted(workspace)
        account = self._account(workspace)
        waiter = WaitingRequest(tokens)
        partial = self._reserve_free_tokens(workspace)
        if partial is not None:
            loan_request = loan_request.reduced(partial.tokens)
        done = defer.ensureDeferred(self._borrow_for(account, waiter, loan_request, partial))
        done.addErrback(self._on_failure, workspace)
        return waiter.deferred

    def _reserve_free_tokens(self, workspace: str) -> Reservation | None:
        """Reserve the free tokens, so that no concurrent request relies on them too."""
        tokens = self._spendable_tokens(workspace)
        return self._try_reserve(workspace, tokens, first_try=False) if tokens else None

    async def _borrow_for(
        self,
        account: WorkspaceAccount,
        waiter: WaitingRequest,
        loan_request: LoanAsk,
        partial: Reservation | None,
    ) -> None:
        """Serve one request with a holder's loan and the tokens already reserved for it.

        If no holder lends, the request waits for the store.
        """
        loan = await self.holder_client.borrow(loan_request)
        if partial is not None:
            self.ledger.settle(partial, 0)
        if loan.tokens > 0:
            account.borrowed_tokens += loan.tokens
            self.ledger.add(account.workspace, loan.tokens)
            reservation = self._try_reserve(account.workspace, waiter.tokens, first_try=False)
            if reservation is not None:
                waiter.deferred.callback(reservation)
                return
        if loan.retry_after_s > 0:
            waiter.deferred.callback(PacedRefusal(loan.retry_after_s))
            return
        if loan.exhausted or self._store_unreachable:
            answer = BudgetRefusal.EXHAUSTED if loan.exhausted else BudgetRefusal.UNREACHABLE
            waiter.deferred.callback(self._log_refusal(account, waiter.tokens, answer))
            return
        self._enqueue(account, waiter)
        self.schedule_update(account.workspace)

    def lend_for_request(self, loan_request: LoanAsk) -> defer.Deferred:
        """Return the tokens for a peer's request, reserved like those of an own request.

        The deferred fires with a ``Loan``. Nothing is lent once it has been cancelled.
        """
        lending = defer.Deferred()

        def decide(answer) -> None:
            if not lending.called:
                lending.callback(self._loan_from(loan_request, answer))
            elif isinstance(answer, Reservation):
                self.settle(answer, 0)

        answer = self._reserve_as_holder(loan_request)
        if isinstance(answer, defer.Deferred):
            answer.addCallback(decide)
        else:
            decide(answer)
        if self._lending_wait_s is not None and not lending.called:
            self._reactor.callLater(self._lending_wait_s, decide, BudgetRefusal.UNREACHABLE)
        return lending

    def _loan_from(
        self, loan_request: LoanAsk, answer: Reservation | BudgetRefusal | PacedRefusal
    ) -> Loan:
        """Return a loan of reserved and of surplus tokens; both count as spent here."""
        if isinstance(answer, PacedRefusal):
            return Loan(0, exhausted=True, retry_after_s=answer.retry_after_s)
        if isinstance(answer, BudgetRefusal):
            return Loan(0, exhausted=answer is BudgetRefusal.EXHAUSTED)
        self.ledger.settle(answer, answer.tokens)
        self._log_lent(loan_request.workspace, answer.tokens)
        surplus_request = LoanAsk(
            loan_request.workspace, 0, loan_request.desired_tokens - loan_request.required_tokens
        )
        return Loan(answer.tokens + self.lend(surplus_request))

    def accept_return(self, returned: LoanReturn) -> None:
        """Add the tokens that a peer had borrowed and returns unused."""
        account = self._account(returned.workspace)
        account.borrowed_tokens += returned.tokens
        self.ledger.add(returned.workspace, returned.tokens)
        self._serve_waiters(returned.workspace, account)

    def _may_return(self, workspace: str, account: WorkspaceAccount, now_s: float) -> bool:
        if self.holder_client is None or not self._holders.settled:
            return False
        if account.returning or account.waiters:
            return False
        return self.ledger.is_idle(workspace, _IDLE_RETURN_S, now_s)

    def _start_return(self, workspace: str, account: WorkspaceAccount) -> None:
        account.returning = True
        done = defer.ensureDeferred(self._return_free_tokens(workspace))
        done.addErrback(self._on_failure, workspace)
        done.addBoth(lambda _: self._return_done(account))

    def _return_done(self, account: WorkspaceAccount) -> None:
        account.returning = False

    async def _return_free_tokens(self, workspace: str) -> None:
        """Return free tokens to a holder; they count as spent before the message is sent."""
        reservation = self._reserve_free_tokens(workspace)
        if reservation is None:
            return
        tokens = reservation.tokens
        self.ledger.settle(reservation, tokens)
        outcome = await self.holder_client.return_tokens(workspace, tokens)
        if outcome is ReturnOutcome.NOT_SENT:
            self.ledger.unsettle(workspace, tokens)
        elif outcome is ReturnOutcome.LOST:
            self._log.failure("prepaid.lost_on_return", workspace=workspace, tokens=tokens)

    # Maintenance of grants.

    def start(self) -> None:
        """Start the periodic maintenance, and read the reports of earlier incarnations."""
        self._reactor.callLater(_INTERVAL_S, self._tick)
        self._read_predecessors()

    def _read_predecessors(self) -> None:
        """Read the reports of earlier incarnations of this node, unless already read."""
        if self._reports.predecessor_bounds is not None:
            return
        done = defer.ensureDeferred(self._reports.read_predecessors())
        done.addCallbacks(lambda _: self._schedule_folds(), self._read_predecessors_failed)

    def _read_predecessors_failed(self, failure) -> None:
        self._log.failure("prepaid.look_back_failed", cause=failure.getErrorMessage())
        self._reactor.callLater(_PREDECESSORS_RETRY_S, self._read_predecessors)

    def _schedule_folds(self) -> None:
        for workspace in {
            name for bounds in self._reports.predecessor_bounds.values() for name in bounds
        }:
            self.schedule_update(workspace)

    def _tick(self) -> None:
        self._reactor.callLater(_INTERVAL_S, self._tick)
        self.run_maintenance()

    def run_maintenance(self) -> None:
        """Run the periodic maintenance once: report spending, and adjust or return grants."""
        now_s = self._reactor.seconds()
        self._update_sizing_rule()
        if now_s >= self._paused_until_s:
            waiting = any(account.waiters for account in self._accounts.values())
            if waiting:
                self._reports.report()
            else:
                self._reports.report_if_due(self._live_routers())
        for workspace in self._restorer.workspaces:
            self._account(workspace)
        for workspace, account in self._accounts.items():
            holds = self._holds(workspace)
            if self._needs_update(workspace, account, now_s):
                self.schedule_update(workspace)
            elif not holds and self._may_return(workspace, account, now_s):
                self._start_return(workspace, account)

    def _update_sizing_rule(self) -> None:
        """Divide the minimum grant and the rate of row reads among the holders."""
        routers = self._holders.count
        refresh_s = min(_MAX_REFRESH_S, routers * len(self._accounts) / _FLEET_READS_PER_S)
        near_refresh_s = max(self._rule.near_limit_refresh_s, refresh_s)
        self.ledger.rule = msgspec.structs.replace(
            self._rule,
            floor_share=self._rule.floor_share / routers,
            near_limit_refresh_s=near_refresh_s,
            default_refresh_s=max(self._rule.default_refresh_s, near_refresh_s),
        )

    def _needs_update(self, workspace: str, account: WorkspaceAccount, now_s: float) -> bool:
        if self._restorer.needs_restore(account):
            return True
        if account.unresolved is not None or account.waiters:
            return True
        if self._has_unwritten_fold(account):
            return True
        if account.row is None and self._holders.settled and self._holders.holds(workspace):
            return True
        if self._stopping:
            return self.ledger.free_tokens(workspace) > 0
        if self.ledger.needs_refresh(workspace, now_s) or self.ledger.plan_return(workspace, now_s):
            return True
        return self.ledger.plan_grant(workspace, now_s) is not None

    def schedule_update(self, workspace: str) -> None:
        """Start adjusting one workspace's grant to its demand, unless this is in progress."""
        account = self._account(workspace)
        if account.busy or self._reactor.seconds() < self._paused_until_s:
            return
        account.busy = True
        done = defer.ensureDeferred(self._update(workspace, account))
        done.addErrback(self._on_failure, workspace)
        done.addBoth(lambda _: self._update_done(workspace, account))

    def _on_failure(self, failure, workspace: str) -> None:
        if failure.check(RowsUnavailableError, RowOutcomeUnknownError):
            self._pause()
            return
        self._log.failure("prepaid.fault", workspace=workspace, cause=failure.getErrorMessage())
        self._pause()

    def _pause(self) -> None:
        self._paused_until_s = self._reactor.seconds() + _PAUSE_S
        self._mark_store_unreachable()

    def _mark_store_unreachable(self) -> None:
        if self._store_unreachable:
            return
        self._store_unreachable = True
        self._log.failure("prepaid.contact_lost")
        for workspace, account in self._accounts.items():
            if account.waiters and self.lenders.surplus(workspace):
                self._borrow(account)
                continue
            self._refuse_waiters(account, BudgetRefusal.UNREACHABLE)

    def note_store_reachable(self) -> None:
        """Note that the store has answered a call that did not concern tokens.

        A router that holds no tokens makes no calls about them, and so would not notice that the
        store is reachable again. One that holds tokens relies on its own calls.
        """
        if self._store_unreachable and not any(map(self._holders.holds, self._accounts)):
            self._mark_store_reachable()

    def _mark_store_reachable(self) -> None:
        self._store_unreachable = False
        self._log.event("prepaid.contact_regained")

    def _on_store_reached(self) -> None:
        self._store_reached_s = self._reactor.seconds()
        if self._store_unreachable:
            self._mark_store_reachable()
        for workspace, account in self._accounts.items():
            account.free_tokens_when_reachable = self.ledger.free_tokens(workspace)

    def _update_done(self, workspace: str, account: WorkspaceAccount) -> None:
        account.busy = False
        self._serve_waiters(workspace, account)

    def _spend_bounds(self) -> dict[str, SpendBound]:
        return {
            workspace: self._spend_bound(workspace)
            for workspace in self.ledger.budgets()
            if self._has_own_grant(workspace) and self.ledger.held_tokens(workspace) > 0
        }

    def _has_own_grant(self, workspace: str) -> bool:
        """Return whether the row has a grant of this incarnation, which a successor may fold."""
        account = self._accounts.get(workspace)
        borrowed = account.borrowed_tokens if account is not None else 0
        return self.ledger.granted_tokens(workspace) > borrowed

    def _spend_bound(self, workspace: str) -> SpendBound:
        now_s = self._reactor.seconds()
        account = self._account(workspace)
        row = account.row
        state = HoldingState(
            committed_tokens=self._own_committed_tokens(workspace),
            free_tokens=self.ledger.free_tokens(workspace),
            waiting_tokens=account.waiting_tokens,
            demand_tokens_per_s=self.ledger.demand_tokens_per_s(workspace, now_s),
            limit_tokens=row.limit_tokens if row is not None else None,
            ungranted_tokens=ungranted_tokens(row) if row is not None else None,
            holders=self._holders.count,
            largest_request_tokens=account.request_sizes.value(now_s),
        )
        return self._bounds.bound_for(state)

    def _on_reported(self) -> None:
        self._on_store_reached()
        for workspace, account in self._accounts.items():
            if account.waiters:
                self._serve_waiters(workspace, account)

    async def _update(self, workspace: str, account: WorkspaceAccount) -> None:
        await self._refresh(workspace, account)
        if not self._restorer.is_current(account):
            return
        surplus = self._tokens_to_return(workspace)
        if surplus and not account.waiters:
            await self._return_surplus(workspace, account, surplus)
            return
        for _ in range(_MAX_WRITE_ATTEMPTS):
            if not self._restorer.is_current(account):
                return
            request = self._grant_request(workspace, account)
            if request is None:
                await self._fold_only(workspace, account)
                return
            tokens = self._grantable_tokens(account, request)
            if tokens <= 0:
                await self._read(workspace, account)
                tokens = self._grantable_tokens(account, request)
                if tokens <= 0:
                    self.ledger.clear_wanted(workspace)
                    return
            if await self._write(workspace, account, tokens):
                self.ledger.add(workspace, tokens)
                self.ledger.clear_wanted(workspace)
                self._log.event(
                    "prepaid.taken",
                    workspace=workspace,
                    tokens=tokens,
                    free=self.ledger.free_tokens(workspace),
                    ungranted=ungranted_tokens(account.row),
                    row_version=account.version,
                )
                return

    async def _fold_only(self, workspace: str, account: WorkspaceAccount) -> None:
        """Write the fold of earlier incarnations if there is no other change to write it with."""
        if self._has_unwritten_fold(account):
            await self._write(workspace, account, 0)

    def _has_unwritten_fold(self, account: WorkspaceAccount) -> bool:
        """Return whether a fold has to be written although there may be no other change."""
        return account.row_before_fold is not None and not self._holders.all_routers_hold

    async def _refresh(self, workspace: str, account: WorkspaceAccount) -> None:
        """Read from the store whatever is unknown or stale."""
        if self._reports.predecessor_bounds is None:
            await self._reports.read_predecessors()
        if not self._restorer.is_current(account):
            row = await self._restorer.restore(account)
            if row is None:
                return
            self._apply_row(workspace, account, row)
        if account.unresolved is not None:
            await self._resolve(workspace, account)
        stale = self.ledger.needs_refresh(workspace, self._reactor.seconds())
        if account.row is None or stale:
            await self._read(workspace, account)

    def _tokens_to_return(self, workspace: str) -> int:
        if self._stopping:
            return self.ledger.free_tokens(workspace)
        return self.ledger.plan_return(workspace, self._reactor.seconds())

    def _grant_request(self, workspace: str, account: WorkspaceAccount) -> GrantRequest | None:
        if self._restorer.remaining_wait_s > 0 or account.limit is None:
            return None
        request = self.ledger.plan_grant(workspace, self._reactor.seconds())
        if self._stopping:
            request = None
        waiting = account.waiting_tokens
        shortfall = waiting - max(0, self.ledger.free_tokens(workspace))
        if shortfall <= 0:
            return request
        desired = max(shortfall, request.desired_tokens if request is not None else 0)
        return GrantRequest(shortfall, desired)

    def _grantable_tokens(self, account: WorkspaceAccount, request: GrantRequest) -> int:
        if account.all_from_reserve:
            remaining = ungranted_tokens(account.row)
            return (
                min(request.required_tokens, remaining)
                if remaining >= request.required_tokens
                else 0
            )
        remaining = account.end_reserve.available_tokens(account.row)
        shared = int(remaining * self.ledger.rule.share)
        tokens = min(request.desired_tokens, max(request.required_tokens, shared))
        if tokens <= remaining:
            return tokens
        # The remaining tokens serve some of the waiting requests, if not all.
        return max(0, remaining) if request.required_tokens else 0

    async def _return_surplus(
        self, workspace: str, account: WorkspaceAccount, surplus: int
    ) -> None:
        withdrawn = self.ledger.withdraw(workspace, surplus)
        if withdrawn <= 0:
            return
        for _ in range(_MAX_WRITE_ATTEMPTS):
            if not self._restorer.is_current(account):
                break
            try:
                written = await self._write(workspace, account, -withdrawn)
            except RowsUnavailableError:
                self.ledger.add(workspace, withdrawn)
                raise
            if written:
                self._log.event(
                    "prepaid.returned",
                    workspace=workspace,
                    tokens=withdrawn,
                    free=self.ledger.free_tokens(workspace),
                    row_version=account.version,
                )
                return
        self.ledger.add(workspace, withdrawn)

    async def _read(self, workspace: str, account: WorkspaceAccount) -> None:
        row = await self._store.read_row(RowKey(TABLE, workspace, ROW_NAME))
        self._apply_row(workspace, account, row)

    def _apply_row(self, workspace: str, account: WorkspaceAccount, row: StoredRow) -> None:
        if row.version >= account.version:
            stored = decode_account(row)
            limited = with_limit(stored, account.limit)
            account.row = self._fold(workspace, limited)
            account.row_before_fold = limited if account.row is not limited else None
            account.version = 0 if row.gone else row.version
            self._restorer.observe_row(account, stored, row)
        self._observe(workspace, account)

    def _observe(self, workspace: str, account: WorkspaceAccount) -> None:
        self._on_store_reached()
        self._update_ledger_view(workspace, account)

    def _update_ledger_view(self, workspace: str, account: WorkspaceAccount) -> None:
        """Update the ledger's view of the row under the newest limit known."""
        account.row = with_limit(account.row, account.limit)
        held = account.row.granted_tokens.get(self._incarnation, 0)
        spent = taken_tokens(account.row) - held
        view = BudgetView(
            account.row.limit_tokens, account.end_reserve.available_tokens(account.row), spent
        )
        self.ledger.observe(workspace, view, self._reactor.seconds())

    async def _write(self, workspace: str, account: WorkspaceAccount, delta_tokens: int) -> bool:
        """Write a changed grant; return False after a conflict, with the row read again.

        Also returns False if the store was restored from an older copy meanwhile and the row has
        not been corrected yet. If the answer is lost, the change is kept in ``unresolved``:
        until its outcome is known, added tokens are not spent and returned ones not reused.
        """
        if not self._restorer.is_current(account):
            return False
        wanted = self._changed_grant(account.row, delta_tokens, account.version)
        key = RowKey(TABLE, workspace, ROW_NAME)
        change = RowChange(key, encode_account(wanted), account.version)
        try:
            version = await self._store.transact(VersionedTransaction((change,)))
        except VersionConflictError as conflict:
            if conflict.rows:
                self._apply_row(workspace, account, conflict.rows[0])
            else:
                await self._read(workspace, account)
            return False
        except RowOutcomeUnknownError:
            account.unresolved = (delta_tokens, wanted)
            self._log.failure("prepaid.answer_lost", workspace=workspace, tokens=delta_tokens)
            raise
        if account.row_before_fold is not None:
            self._log_fold(workspace, account.row_before_fold, account.row)
            account.row_before_fold = None
        account.row = wanted
        account.version = version
        self._announce_written(workspace, version, wanted)
        self._observe(workspace, account)
        return True

    def _announce_written(self, workspace: str, version: int, row: AccountRow) -> None:
        """Announce the contents of a row just written to the other routers."""
        self.updates.record_written(workspace, version, taken_tokens(row))
        self.on_written()

    def _changed_grant(self, row: AccountRow, delta_tokens: int, version: int) -> AccountRow:
        """Return the account with the own grant changed, to replace the row of a given version."""
        changed = change_grant(row, self._incarnation, delta_tokens)
        return with_prior_version(changed, version, self._store.eras.known)

    def _log_fold(self, workspace: str, row: AccountRow, folded: AccountRow) -> None:
        ended = {
            name: tokens
            for name, tokens in row.granted_tokens.items()
            if name not in folded.granted_tokens
        }
        held = sum(ended.values())
        spent = folded.ended_tokens - row.ended_tokens
        bounds = self._reports.predecessor_bounds
        unbounded = [name for name in ended if workspace not in bounds.get(name, {})]
        self._log.belief(
            "prepaid.folded",
            workspace=workspace,
            held=held,
            spent=spent,
            returned=held - spent,
            incarnations=sorted(ended),
            unbounded=sum(ended[name] for name in unbounded),
        )

    def _fold(self, workspace: str, row: AccountRow) -> AccountRow:
        bounds = {
            incarnation: by_workspace[workspace]
            for incarnation, by_workspace in self._reports.predecessor_bounds.items()
            if workspace in by_workspace
        }
        return fold_predecessors(
            row, self._node, self._incarnation, bounds, self._reports.bounds_precede_rollback
        )

    async def _resolve(self, workspace: str, account: WorkspaceAccount) -> None:
        """Determine the outcome of a write whose response was lost.

        The write may still take effect as long as its condition holds. A write that changes
        nothing is therefore sent under the same condition. Once either has succeeded, the lost
        write was either applied or never will be, and the row shows which.
        """
        delta_tokens, wanted = account.unresolved
        expected = wanted.granted_tokens.get(self._incarnation, 0)
        before = expected - delta_tokens
        row = await self._store.read_row(RowKey(TABLE, workspace, ROW_NAME))
        stored = decode_account(row)
        if row.version == account.version:
            unchanged = self._changed_grant(stored, 0, row.version)
            change = RowChange(row.key, encode_account(unchanged), row.version)
            with contextlib.suppress(VersionConflictError):
                await self._store.transact(VersionedTransaction((change,)))
            row = await self._store.read_row(RowKey(TABLE, workspace, ROW_NAME))
            stored = decode_account(row)
        if not self._restorer.is_current(account):
            return
        account.unresolved = None
        held = stored.granted_tokens.get(self._incarnation, 0)
        took_effect = held == expected and held != before
        if took_effect and delta_tokens > 0:
            self.ledger.add(workspace, delta_tokens)
        elif not took_effect and delta_tokens < 0:
            self.ledger.add(workspace, -delta_tokens)
        self._apply_row(workspace, account, row)
        self._announce_written(workspace, row.version, stored)
        self._log.event(
            "prepaid.resolved", workspace=workspace, tokens=delta_tokens, took_effect=took_effect
        )

    # Loans.

    @property
    def lenders(self) -> LenderBase:
        """The peers that may lend."""
        return self._borrower.lenders

    @lenders.setter
    def lenders(self, lenders: LenderBase) -> None:
        self._borrower.lenders = lenders

    def _on_loan(self, account: WorkspaceAccount) -> None:
        self._serve_waiters(account.workspace, account)

    @property
    def short(self) -> bool:
        """Whether this router may soon have to borrow tokens."""
        now_s = self._reactor.seconds()
        return self._store_unreachable or any(
            now_s < account.short_until_s for account in self._accounts.values()
        )

    def surplus(self) -> list[LoanOffer]:
        """Return the tokens that could be lent by workspace, largest first."""
        offers = [LoanOffer(name, self._lendable_tokens(name)) for name in self.ledger.budgets()]
        offers = [offer for offer in offers if offer.tokens >= self._loan_rule.min_offer_tokens]
        return sorted(offers, key=lambda offer: -offer.tokens)

    def lend(self, loan_request: LoanAsk) -> int:
        """Lend tokens to a peer; they count as spent here from now on."""
        tokens = min(
            max(0, loan_request.desired_tokens), self._lendable_tokens(loan_request.workspace)
        )
        if tokens <= 0:
            return 0
        reservation = self._try_reserve(loan_request.workspace, tokens, first_try=False)
        if reservation is None:
            return 0
        self.ledger.settle(reservation, tokens)
        self._log_lent(loan_request.workspace, tokens)
        return tokens

    def _log_lent(self, workspace: str, tokens: int) -> None:
        self._log.event(
            "prepaid.lent",
            workspace=workspace,
            tokens=tokens,
            free=self.ledger.free_tokens(workspace),
        )

    def _lendable_tokens(self, workspace: str) -> int:
        account = self._accounts.get(workspace)
        if account is None or account.waiters:
            return 0
        spendable = self._spendable_tokens(workspace)
        demand = self.ledger.demand_tokens_per_s(workspace, self._reactor.seconds())
        return max(spendable - int(demand * self._loan_rule.retained_s), spendable // 2)

    def _borrow(self, account: WorkspaceAccount) -> None:
        """Borrow the tokens that waiting requests need, one loan at a time."""
        if account.borrowing:
            return
        done = defer.ensureDeferred(self._borrower.borrow(account))
        done.addErrback(self._on_failure, account.workspace)
        done.addBoth(lambda _: self._borrow_done(account.workspace, account))

    def _borrow_done(self, workspace: str, account: WorkspaceAccount) -> None:
        self._serve_waiters(workspace, account)
        if self._store_unreachable or self._store_is_short(account, workspace):
            # No tokens can arrive from elsewhere while the requests wait.
            self._refuse_waiters(account, self._shortage(account))
        elif account.waiters:
            self.schedule_update(workspace)

    def _refuse_waiters(self, account: WorkspaceAccount, answer: BudgetRefusal) -> None:
        waiters, account.waiters = account.waiters, []
        for waiter in waiters:
            waiter.deferred.callback(self._log_refusal(account, waiter.tokens, answer))

    def _shortage(self, account: WorkspaceAccount) -> BudgetRefusal:
        return BudgetRefusal.UNREACHABLE if self._store_unreachable else BudgetRefusal.EXHAUSTED

    def _store_is_short(self, account: WorkspaceAccount, workspace: str) -> bool:
        """Return whether the store can't grant the tokens that waiting requests need."""
        if account.row is None:
            return False
        waiting = account.waiting_tokens
        shortfall = waiting - max(0, self.ledger.free_tokens(workspace))
        return max(0, account.end_reserve.available_tokens(account.row)) < shortfall

    # Waiting requests.

    def _serve_waiters(self, workspace: str, account: WorkspaceAccount) -> None:
        waiters, account.waiters = account.waiters, []
        for waiter in waiters:
            reservation = self._try_reserve(workspace, waiter.tokens, first_try=False)
            if reservation is not None:
                waiter.deferred.callback(reservation)
            elif not account.borrowing and self._cannot_be_served(account, waiter):
                answer = self._log_refusal(account, waiter.tokens, BudgetRefusal.EXHAUSTED)
                waiter.deferred.callback(answer)
            else:
                account.waiters.append(waiter)

    def _time_out(self, workspace: str, waiter: WaitingRequest) -> None:
        account = self._account(workspace)
        if waiter in account.waiters:
            account.waiters.remove(waiter)
            answer = self._log_refusal(account, waiter.tokens, BudgetRefusal.UNREACHABLE)
            waiter.deferred.callback(answer)
            if self._reactor.seconds() - self._store_reached_s >= self._wait_s:
                # Until the store answers, further requests are refused without waiting.
                self._mark_store_unreachable()

    def _cannot_be_served(self, account: WorkspaceAccount, waiter: WaitingRequest) -> bool:
        """Return whether a waiting request can no longer be served."""
        if waiter.from_reserve:
            return ungranted_tokens(account.row) < waiter.tokens
        return self._is_exhausted(account, account.workspace, waiter.tokens)

    def _is_exhausted(self, account: WorkspaceAccount, workspace: str, tokens: int) -> bool:
        """Return whether the tokens here, in the store and lendable by peers don't suffice."""
        if account.row is None:
            return False
        free = max(0, self.ledger.free_tokens(workspace))
        lendable = self._borrower.lendable_tokens(workspace)
        return max(0, account.end_reserve.available_tokens(account.row)) + free + lendable < tokens

    def stop(self) -> None:
        """Return unreserved tokens from now on, before a planned stop."""
        self._stopping = True
        for workspace in self._accounts:
            if self._holders.all_routers_hold or self.ledger.free_tokens(workspace) > 0:
                self.schedule_update(workspace)

    @property
    def settled(self) -> bool:
        """Whether all unreserved tokens have been returned."""
        return not any(
            account.busy or self.ledger.free_tokens(workspace) > 0
            for workspace, account in self._accounts.items()
        )

    def _account(self, workspace: str) -> WorkspaceAccount:
        account = self._accounts.get(workspace)
        if account is None:
            reserve = EndReserve(self._end_reserve_rule, f"{self._incarnation}/{workspace}")
            account = self._accounts[workspace] = WorkspaceAccount(workspace, reserve)
            # No tokens are taken ahead of demand until the holders are known.
            self.ledger.set_prefetch(workspace, False)
            self._holds(workspace)
        return account
