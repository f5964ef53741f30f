# SPDX-License-Identifier: BSD-3-Clause
"""Prepaid tokens of workspaces, shared by all routers through one row each.

The row of a workspace holds what each router incarnation was ever granted, and
what ended incarnations spent. A router spends only under a grant that the row
already holds, so the sum of all that is spent can't pass the limit, whoever
dies or is cut off. Of a dead router's grant, its successor on the same node gives back
what it can't have spent; see ``spending``.

What the store can't give, because it is not reached or has nothing left, is
borrowed from peers; see ``loans``. ``accounts`` has the row and its changes.
"""

import contextlib
from collections.abc import Callable
from enum import StrEnum

import msgspec
from twisted.internet import defer

from turnward.gateway.account_updates import AccountUpdates
from turnward.gateway.accounts import (
    ROW_NAME,
    TABLE,
    AccountRow,
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
from turnward.gateway.configuration import Workspace
from turnward.gateway.end_reserve import EndReserve, EndReserveRule
from turnward.gateway.holder_client import HolderClient, ReturnOutcome
from turnward.gateway.holders import EveryRouterHolds, HoldersBase
from turnward.gateway.loans import LenderBase, Loan, LoanAsk, LoanOffer, LoanReturn, LoanRule
from turnward.gateway.restoring import AccountRestorer
from turnward.gateway.spending import PromiseRule, SpendBound, SpendReports, spend_bound_for
from turnward.gateway.workspace_account import WaitingRequest, WorkspaceAccount
from turnward.ledger import BudgetView, GrantLedger, GrantRequest, Reservation, SizingRule
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
#: Seconds between two looks at the ledger's plans.
_PERIOD_S = 0.25
#: Seconds of pause after the store was not reached.
_PAUSE_S = 0.3
#: Part of what was held at the last contact that is kept for more urgent requests, by step
#: of priority, and at most.
WITHHELD_SHARE_PER_PRIORITY = 0.15
_KEPT_LIMIT = 0.5
#: Looks at rows a second that all routers together take, as long as each looks at least every
#: so many seconds.
_FLEET_VIEWS_PER_S = 100.0
_VIEW_LIMIT_S = 10.0
#: Seconds for which a shortage is told to peers.
_SHORT_S = 2.0
#: Seconds without a request after which a router hands back what it does not hold for itself.
_HAND_BACK_S = 0.5
#: Seconds after which the reports of earlier incarnations are asked for again.
_LOOK_BACK_PAUSE_S = 0.4
#: Conflicts in a row after which a change is left for the next look.
_CONFLICT_LIMIT = 30


class BudgetRefusal(StrEnum):
    """Why a request gets no tokens."""

    EXHAUSTED = "budget_exhausted"
    UNREACHABLE = "budget_unreachable"


class PrepaidAccounts:
    """Grants of one router incarnation.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Holds the rows.
    node, incarnation : str
        This router; the incarnation's name begins with the node's and ``@``.
    rule : SizingRule
        How far ahead grants are taken; its ``floor_share`` is that of all routers together.
    log : GatewayLog
        Told of each change of a grant.
    live_routers : callable
        How many routers may live; how often one of them may call the store follows from it.
    bound_rule : PromiseRule, optional
        How tight the promises of reports are.
    loan_rule : LoanRule, optional
        How much is lent and borrowed.
    end_reserve_rule : EndReserveRule, optional
        What is kept for the end of a limit.
    withheld_share_per_priority : float, optional
        Part of what was held at the last contact that is kept for more urgent requests
        while the store is away, by step of priority.
    reports : bool, optional
        Whether what is spent is reported for a successor.
    holders : HoldersBase, optional
        Which routers hold a workspace's tokens; what one of them may hold follows from it.

    Attributes
    ----------
    holder_client : HolderClient or None
        Asks the holders of workspaces that this router does not hold.
    news : AccountUpdates
        What rows are known to have said, here and at other routers.
    on_written : callable
        Called after each write of a row, of which others should know soon.
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
        bound_rule: PromiseRule | None = None,
        loan_rule: LoanRule | None = None,
        end_reserve_rule: EndReserveRule | None = None,
        withheld_share_per_priority: float = WITHHELD_SHARE_PER_PRIORITY,
        reports: bool = True,
        holders: HoldersBase | None = None,
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
        self._rule = rule
        self._promise_rule = bound_rule or PromiseRule()
        self._loan_rule = loan_rule or LoanRule()
        self._end_rule = end_reserve_rule or EndReserveRule()
        self._kept_by_priority = withheld_share_per_priority
        self._paused_until_s = 0.0
        self._lost_contact = False
        self._stopping = False
        self.ledger = GrantLedger(rule)
        self.updates = AccountUpdates(reactor.seconds, store.eras)
        self.on_written: Callable[[], None] = lambda: None
        self._restorer = AccountRestorer(
            reactor, store, incarnation, self.ledger, self.updates, log
        )
        self._borrower = Borrower(
            reactor, self.ledger, self._loan_rule, self._spendable_tokens, self._loan_came, log
        )
        self._reports = SpendReports(
            reactor, store, node, incarnation, self._promises, self._reported, log, reports
        )

    # Used by requests.

    def set_limits(self, workspaces: dict[str, Workspace], version: int) -> None:
        """Take in the limits of a configuration."""
        for workspace in workspaces.values():
            if workspace.prepaid_tokens is None:
                continue
            account = self._account(workspace.name)
            account.limit = (workspace.prepaid_tokens, version)
            if account.row is not None:
                self._show_limit(workspace.name, account)
            if self._holds(workspace.name) and self._holders.settled:
                self.work_on(workspace.name)

    def reserve(self, workspace: str, tokens: int, priority: int = 0, ahead_tokens: int = 0):
        """Return a reservation, a refusal, or a deferred of one of them.

        While the store is not reached, a part of what is left is kept for more
        urgent requests than one of ``priority`` (0 is the most urgent). ``ahead_tokens``
        are what the request may need later, see ``reserve_now``.
        """
        if not self._holds(workspace) and self.holder_client is not None:
            return self._reserve_from_holder(workspace, tokens, priority, ahead_tokens)
        return self._reserve_locally(workspace, tokens, priority)

    def _holds(self, workspace: str) -> bool:
        """Tell whether this router holds tokens of a workspace; keep the ledger in step.

        While members are being added, whoever held tokens goes on: they would be handed
        to and fro otherwise.
        """
        holds = self._holders.holds(workspace)
        if self._holders.settled:
            self.ledger.set_prefetch(workspace, holds)
        return holds

    def _reserve_locally(self, workspace: str, tokens: int, priority: int):
        """Reserve out of the own grant, or what the store and the peers add to it."""
        account = self._account(workspace)
        if self._lost_contact and self._is_kept(account, tokens, priority):
            return self._refused(account, tokens, BudgetRefusal.UNREACHABLE, kept=True)
        reservation = self._try_reserve(workspace, tokens, first_try=True)
        if reservation is not None:
            if self.ledger.free_tokens(workspace) < tokens:
                self.work_on(workspace)
            return reservation
        account.short_until_s = self._reactor.seconds() + _SHORT_S
        lendable = self._borrower.lendable_tokens(workspace)
        exhausted = self._is_exhausted(account, workspace, tokens)
        if exhausted and not self._lets_through(account, tokens):
            self.work_on(workspace)
            return self._refused(account, tokens, BudgetRefusal.EXHAUSTED)
        if self._lost_contact and not lendable:
            # Waiting would only make the refusal late.
            return self._refused(account, tokens, BudgetRefusal.UNREACHABLE)
        waiter = WaitingRequest(tokens, exhausted)
        self._let_wait(account, waiter)
        no_help = self._lost_contact or self._restorer.remaining_wait_s > 0
        if lendable and (no_help or self._store_has_too_little(account, workspace)):
            self._borrow(account)
        else:
            self._reports.report()
            self.work_on(workspace)
        return waiter.deferred

    def _let_wait(self, account: WorkspaceAccount, waiter: WaitingRequest) -> None:
        """Let a request wait for tokens, for a bounded time."""
        account.waiters.append(waiter)
        limit_s = _WAIT_S + self._restorer.remaining_wait_s
        self._reactor.callLater(limit_s, self._give_up, account.workspace, waiter)

    def _refused(
        self, account: WorkspaceAccount, tokens: int, answer: BudgetRefusal, kept: bool = False
    ) -> BudgetRefusal:
        """Write a line on a refusal with what decided it; return the answer."""
        workspace = account.workspace
        self._log.failure(
            "prepaid.refused",
            workspace=workspace,
            tokens=tokens,
            answer=answer,
            free=self.ledger.free_tokens(workspace),
            promised=self._reported_allowance_tokens(workspace),
            lendable=self._borrower.lendable_tokens(workspace),
            ungranted=ungranted_tokens(account.row) if account.row is not None else None,
            limit=account.row.limit_tokens if account.row is not None else None,
            row_version=account.version,
            in_contact=not self._lost_contact,
            kept_for_urgent=kept,
        )
        return answer

    def _lets_through(self, account: WorkspaceAccount, tokens: int) -> bool:
        """Tell whether a request gets a part of what is kept for the end."""
        if self._lost_contact:
            return False
        now_s = self._reactor.seconds()
        return account.end_reserve.admit_request(account.row, tokens, now_s)

    def _is_kept(self, account: WorkspaceAccount, tokens: int, priority: int) -> bool:
        """Tell whether a request would take what is kept for more urgent ones."""
        kept_share = min(_KEPT_LIMIT, self._kept_by_priority * priority)
        kept = kept_share * account.free_at_last_contact
        if kept <= 0:
            return False
        within_reach = self.ledger.free_tokens(account.workspace)
        within_reach += self._borrower.lendable_tokens(account.workspace)
        return within_reach - tokens < kept

    def _try_reserve(self, workspace: str, tokens: int, first_try: bool) -> Reservation | None:
        promised = self._reported_allowance_tokens(workspace)
        if promised is not None and tokens > promised:
            # The promise of the last report is used up; a new one lets it go.
            return None
        result = self.ledger.reserve(workspace, tokens, self._reactor.seconds(), first_try)
        return result.ok if result.is_ok() else None

    def _reported_allowance_tokens(self, workspace: str) -> int | None:
        """Return what the last report lets be committed; None: all that is free."""
        return self._reports.allowance_tokens(workspace, self._own_committed_tokens(workspace))

    def _own_committed_tokens(self, workspace: str) -> int:
        """Return what is settled or reserved under the own grant."""
        account = self._accounts.get(workspace)
        borrowed = account.borrowed_tokens if account is not None else 0
        return self.ledger.committed_tokens(workspace) - borrowed

    def _spendable_tokens(self, workspace: str) -> int:
        """Return what may be reserved now."""
        free = max(0, self.ledger.free_tokens(workspace))
        promised = self._reported_allowance_tokens(workspace)
        return free if promised is None else max(0, min(free, promised))

    def reserve_now(self, workspace: str, tokens: int) -> Reservation | None:
        """Return a reservation out of what is held, or None."""
        return self._try_reserve(workspace, tokens, first_try=True)

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Close a reservation with what was used."""
        self.ledger.settle(reservation, used_tokens)
        account = self._accounts.get(reservation.budget)
        if account is not None and account.waiters:
            self._serve_waiters(reservation.budget, account)

    # Requests of workspaces that other routers hold.

    def _reserve_from_holder(self, workspace: str, tokens: int, priority: int, ahead_tokens: int):
        """Reserve out of what a holder lends for this request."""
        reservation = self._try_reserve(workspace, tokens, first_try=False)
        if reservation is not None:
            return reservation
        # It is asked for below; the plans must not take it from the store as well.
        self.ledger.clear_wanted(workspace)
        account = self._account(workspace)
        waiter = WaitingRequest(tokens)
        part = self._reserve_part(workspace)
        least = tokens - (part.tokens if part is not None else 0)
        ask = LoanAsk(workspace, least, least + ahead_tokens, priority, for_request=True)
        done = defer.ensureDeferred(self._borrow_for(account, waiter, ask, part))
        done.addErrback(self._failed, workspace)
        return waiter.deferred

    def _reserve_part(self, workspace: str) -> Reservation | None:
        """Set aside what is free, so that no other request counts on it too."""
        tokens = self._spendable_tokens(workspace)
        return self._try_reserve(workspace, tokens, first_try=False) if tokens else None

    async def _borrow_for(
        self,
        account: WorkspaceAccount,
        waiter: WaitingRequest,
        ask: LoanAsk,
        part: Reservation | None,
    ) -> None:
        """Serve one request out of a holder's loan and the part that is set aside for it.

        Without a loan it waits for the store.
        """
        loan = await self.holder_client.borrow(ask)
        if part is not None:
            self.ledger.settle(part, 0)
        if loan.tokens > 0:
            account.borrowed_tokens += loan.tokens
            self.ledger.add(account.workspace, loan.tokens)
            reservation = self._try_reserve(account.workspace, waiter.tokens, first_try=False)
            if reservation is not None:
                waiter.deferred.callback(reservation)
                return
        if loan.exhausted or self._lost_contact:
            answer = BudgetRefusal.EXHAUSTED if loan.exhausted else BudgetRefusal.UNREACHABLE
            waiter.deferred.callback(self._refused(account, waiter.tokens, answer))
            return
        self._let_wait(account, waiter)
        self.work_on(account.workspace)

    def lend_for_request(self, ask: LoanAsk) -> defer.Deferred:
        """Return what a peer's request needs, got as though the request were an own one.

        The deferred fires with a ``Loan``; one that is cancelled lends nothing.
        """
        lending = defer.Deferred()

        def decide(answer) -> None:
            if not lending.called:
                lending.callback(self._loan_from(ask, answer))
            elif isinstance(answer, Reservation):
                self.settle(answer, 0)

        answer = self._reserve_locally(ask.workspace, max(1, ask.required_tokens), ask.priority)
        if isinstance(answer, defer.Deferred):
            answer.addCallback(decide)
        else:
            decide(answer)
        return lending

    def _loan_from(self, ask: LoanAsk, answer: Reservation | BudgetRefusal) -> Loan:
        """Count a reservation as spent here, and what can be spared besides."""
        if isinstance(answer, BudgetRefusal):
            return Loan(0, exhausted=answer is BudgetRefusal.EXHAUSTED)
        self.ledger.settle(answer, answer.tokens)
        self._log_lent(ask.workspace, answer.tokens)
        ahead = LoanAsk(ask.workspace, 0, ask.desired_tokens - ask.required_tokens)
        return Loan(answer.tokens + self.lend(ahead))

    def accept_return(self, returned: LoanReturn) -> None:
        """Take in what a peer was lent and has no use for."""
        account = self._account(returned.workspace)
        account.borrowed_tokens += returned.tokens
        self.ledger.add(returned.workspace, returned.tokens)
        self._serve_waiters(returned.workspace, account)

    def _may_hand_back(self, workspace: str, account: WorkspaceAccount, now_s: float) -> bool:
        if self.holder_client is None or not self._holders.settled:
            return False
        if account.handing_back or account.waiters:
            return False
        return self.ledger.is_idle(workspace, _HAND_BACK_S, now_s)

    def _hand_back(self, workspace: str, account: WorkspaceAccount) -> None:
        account.handing_back = True
        done = defer.ensureDeferred(self._return_free_tokens(workspace))
        done.addErrback(self._failed, workspace)
        done.addBoth(lambda _: self._handed_back(account))

    def _handed_back(self, account: WorkspaceAccount) -> None:
        account.handing_back = False

    async def _return_free_tokens(self, workspace: str) -> None:
        """Hand what is free to a holder; it counts as spent here before the message leaves."""
        reservation = self._reserve_part(workspace)
        if reservation is None:
            return
        tokens = reservation.tokens
        self.ledger.settle(reservation, tokens)
        became = await self.holder_client.return_tokens(workspace, tokens)
        if became is ReturnOutcome.NOT_SENT:
            self.ledger.unsettle(workspace, tokens)
        elif became is ReturnOutcome.LOST:
            self._log.failure("prepaid.lost_on_return", workspace=workspace, tokens=tokens)

    # The work.

    def start(self) -> None:
        """Begin to look at the ledger's plans, and for what earlier incarnations left."""
        self._reactor.callLater(_PERIOD_S, self._tick)
        self._look_back()

    def _look_back(self) -> None:
        """Account for what earlier incarnations of this node held, until it is known."""
        if self._reports.predecessor_bounds is not None:
            return
        looking = defer.ensureDeferred(self._reports.read_predecessors())
        looking.addCallbacks(lambda _: self._work_on_ended(), self._look_back_failed)

    def _look_back_failed(self, failure) -> None:
        self._log.failure("prepaid.look_back_failed", cause=failure.getErrorMessage())
        self._reactor.callLater(_LOOK_BACK_PAUSE_S, self._look_back)

    def _work_on_ended(self) -> None:
        for workspace in {
            name for bounds in self._reports.predecessor_bounds.values() for name in bounds
        }:
            self.work_on(workspace)

    def _tick(self) -> None:
        self._reactor.callLater(_PERIOD_S, self._tick)
        self.look()

    def look(self) -> None:
        """Look at the ledger's plans once, and do what they ask for."""
        now_s = self._reactor.seconds()
        self._size_grants()
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
            if self._needs_work(workspace, account, now_s):
                self.work_on(workspace)
            elif not holds and self._may_hand_back(workspace, account, now_s):
                self._hand_back(workspace, account)

    def _size_grants(self) -> None:
        """Share what is held without demand, and looks at rows, among the holders."""
        routers = self._holders.count
        view_s = min(_VIEW_LIMIT_S, routers * len(self._accounts) / _FLEET_VIEWS_PER_S)
        near_s = max(self._rule.near_limit_refresh_s, view_s)
        self.ledger.rule = msgspec.structs.replace(
            self._rule,
            floor_share=self._rule.floor_share / routers,
            near_limit_refresh_s=near_s,
            default_refresh_s=max(self._rule.default_refresh_s, near_s),
        )

    def _needs_work(self, workspace: str, account: WorkspaceAccount, now_s: float) -> bool:
        if self._restorer.needs_restore(account):
            return True
        if account.unresolved is not None or account.waiters:
            return True
        if account.row is None and self._holders.settled and self._holders.holds(workspace):
            return True
        if self._stopping:
            return self.ledger.free_tokens(workspace) > 0
        if self.ledger.needs_refresh(workspace, now_s) or self.ledger.plan_return(workspace, now_s):
            return True
        return self.ledger.plan_grant(workspace, now_s) is not None

    def work_on(self, workspace: str) -> None:
        """Bring one workspace's grant in line with what is needed, one call at a time."""
        account = self._account(workspace)
        if account.busy or self._reactor.seconds() < self._paused_until_s:
            return
        account.busy = True
        done = defer.ensureDeferred(self._work(workspace, account))
        done.addErrback(self._failed, workspace)
        done.addBoth(lambda _: self._ended(workspace, account))

    def _failed(self, failure, workspace: str) -> None:
        if failure.check(RowsUnavailableError, RowOutcomeUnknownError):
            self._pause()
            return
        self._log.failure("prepaid.fault", workspace=workspace, cause=failure.getErrorMessage())
        self._pause()

    def _pause(self) -> None:
        self._paused_until_s = self._reactor.seconds() + _PAUSE_S
        self._lose_contact()

    def _lose_contact(self) -> None:
        if self._lost_contact:
            return
        self._lost_contact = True
        self._log.failure("prepaid.contact_lost")
        for workspace, account in self._accounts.items():
            if account.waiters and self.lenders.spare(workspace):
                self._borrow(account)
                continue
            self._refuse_waiters(account, BudgetRefusal.UNREACHABLE)

    def note_store_reachable(self) -> None:
        """Note that the store answers this router, though it was not asked about tokens.

        A router that holds tokens learns it from its own calls; one that holds none makes
        none until it has to.
        """
        if self._lost_contact and not any(map(self._holders.holds, self._accounts)):
            self._regain_contact()

    def _regain_contact(self) -> None:
        self._lost_contact = False
        self._log.event("prepaid.contact_regained")

    def _note_contact(self) -> None:
        if self._lost_contact:
            self._regain_contact()
        for workspace, account in self._accounts.items():
            account.free_at_last_contact = self.ledger.free_tokens(workspace)

    def _ended(self, workspace: str, account: WorkspaceAccount) -> None:
        account.busy = False
        self._serve_waiters(workspace, account)

    def _promises(self) -> dict[str, SpendBound]:
        return {
            workspace: self._promise(workspace)
            for workspace in self.ledger.budgets()
            if self._has_own_grant(workspace) and self.ledger.held_tokens(workspace) > 0
        }

    def _has_own_grant(self, workspace: str) -> bool:
        """Tell whether a successor finds a grant of this incarnation in the row."""
        account = self._accounts.get(workspace)
        borrowed = account.borrowed_tokens if account is not None else 0
        return self.ledger.granted_tokens(workspace) > borrowed

    def _promise(self, workspace: str) -> SpendBound:
        account = self._accounts.get(workspace)
        waiting = account.waiting_tokens if account else 0
        return spend_bound_for(
            self._own_committed_tokens(workspace),
            self.ledger.free_tokens(workspace),
            waiting,
            self.ledger.demand_tokens_per_s(workspace, self._reactor.seconds()),
            self._bound_rule_for(workspace, account),
        )

    def _bound_rule_for(self, workspace: str, account: WorkspaceAccount | None) -> PromiseRule:
        """Return a tighter rule where little is left of a workspace's limit.

        What the others hold is guessed to be what is held here, for each.
        """
        rule = self._promise_rule
        if account is None or account.row is None:
            return rule
        routers = self._holders.count
        rule = rule.for_limit(account.row.limit_tokens, routers)
        held = routers * max(0, self.ledger.free_tokens(workspace))
        left = max(0, ungranted_tokens(account.row)) + held
        scarce = left < rule.scarce_share * account.row.limit_tokens
        return rule.tightened() if scarce else rule

    def _reported(self) -> None:
        self._note_contact()
        for workspace, account in self._accounts.items():
            if account.waiters:
                self._serve_waiters(workspace, account)

    async def _work(self, workspace: str, account: WorkspaceAccount) -> None:
        await self._look(workspace, account)
        if not self._restorer.is_current(account):
            return
        spare = self._spare(workspace)
        if spare and not account.waiters:
            await self._give_back(workspace, account, spare)
            return
        for _ in range(_CONFLICT_LIMIT):
            if not self._restorer.is_current(account):
                return
            ask = self._ask(workspace, account)
            if ask is None:
                await self._fold_only(workspace, account)
                return
            tokens = self._grantable(account, ask)
            if tokens <= 0:
                await self._read(workspace, account)
                tokens = self._grantable(account, ask)
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
        """Write what earlier incarnations gave back, where nothing else is to be written."""
        if account.unfolded is not None and not self._holders.all_routers_hold:
            await self._write(workspace, account, 0)

    async def _look(self, workspace: str, account: WorkspaceAccount) -> None:
        """Learn from the store what is not known, or no longer fresh."""
        if self._reports.predecessor_bounds is None:
            await self._reports.read_predecessors()
        if not self._restorer.is_current(account):
            row = await self._restorer.restore(account)
            if row is None:
                return
            self._take_in(workspace, account, row)
        if account.unresolved is not None:
            await self._resolve(workspace, account)
        stale = self.ledger.needs_refresh(workspace, self._reactor.seconds())
        if account.row is None or stale:
            await self._read(workspace, account)

    def _spare(self, workspace: str) -> int:
        if self._stopping:
            return self.ledger.free_tokens(workspace)
        return self.ledger.plan_return(workspace, self._reactor.seconds())

    def _ask(self, workspace: str, account: WorkspaceAccount) -> GrantRequest | None:
        if self._restorer.remaining_wait_s > 0:
            return None
        ask = self.ledger.plan_grant(workspace, self._reactor.seconds())
        if self._stopping:
            ask = None
        waiting = account.waiting_tokens
        short = waiting - max(0, self.ledger.free_tokens(workspace))
        if short <= 0:
            return ask
        most = max(short, ask.desired_tokens if ask is not None else 0)
        return GrantRequest(short, most)

    def _grantable(self, account: WorkspaceAccount, ask: GrantRequest) -> int:
        if account.all_from_reserve:
            left = ungranted_tokens(account.row)
            return min(ask.required_tokens, left) if left >= ask.required_tokens else 0
        left = account.end_reserve.available_tokens(account.row)
        shared = int(left * self.ledger.rule.share)
        tokens = min(ask.desired_tokens, max(ask.required_tokens, shared))
        if tokens <= left:
            return tokens
        # What is left serves some of those that wait, if not all.
        return max(0, left) if ask.required_tokens else 0

    async def _give_back(self, workspace: str, account: WorkspaceAccount, spare: int) -> None:
        taken = self.ledger.withdraw(workspace, spare)
        if taken <= 0:
            return
        for _ in range(_CONFLICT_LIMIT):
            if not self._restorer.is_current(account):
                break
            try:
                written = await self._write(workspace, account, -taken)
            except RowsUnavailableError:
                self.ledger.add(workspace, taken)
                raise
            if written:
                self._log.event(
                    "prepaid.returned",
                    workspace=workspace,
                    tokens=taken,
                    free=self.ledger.free_tokens(workspace),
                    row_version=account.version,
                )
                return
        self.ledger.add(workspace, taken)

    async def _read(self, workspace: str, account: WorkspaceAccount) -> None:
        row = await self._store.read_row(RowKey(TABLE, workspace, ROW_NAME))
        self._take_in(workspace, account, row)

    def _take_in(self, workspace: str, account: WorkspaceAccount, row: StoredRow) -> None:
        if row.version >= account.version:
            stored = decode_account(row)
            limited = with_limit(stored, *account.limit)
            account.row = self._fold(workspace, limited)
            account.unfolded = limited if account.row is not limited else None
            account.version = 0 if row.gone else row.version
            self._restorer.observe_row(account, stored, row)
        self._observe(workspace, account)

    def _observe(self, workspace: str, account: WorkspaceAccount) -> None:
        self._note_contact()
        self._show_limit(workspace, account)

    def _show_limit(self, workspace: str, account: WorkspaceAccount) -> None:
        """Let the ledger see the row under the newest limit known."""
        account.row = with_limit(account.row, *account.limit)
        held = account.row.granted_tokens.get(self._incarnation, 0)
        spent = taken_tokens(account.row) - held
        view = BudgetView(
            account.row.limit_tokens, account.end_reserve.available_tokens(account.row), spent
        )
        self.ledger.observe(workspace, view, self._reactor.seconds())

    async def _write(self, workspace: str, account: WorkspaceAccount, delta_tokens: int) -> bool:
        """Write a changed grant; False after a conflict, with the row read anew.

        False also where the store has come back meanwhile, before the row is in line with that.
        After a lost answer the change is kept in ``unresolved``: one that adds
        tokens is not spent, one that gives back is not taken again, until it
        is known what became of it.
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
                self._take_in(workspace, account, conflict.rows[0])
            else:
                await self._read(workspace, account)
            return False
        except RowOutcomeUnknownError:
            account.unresolved = (delta_tokens, wanted)
            self._log.failure("prepaid.answer_lost", workspace=workspace, tokens=delta_tokens)
            raise
        if account.unfolded is not None:
            self._log_fold(workspace, account.unfolded, account.row)
            account.unfolded = None
        account.row = wanted
        account.version = version
        self._tell_written(workspace, version, wanted)
        self._observe(workspace, account)
        return True

    def _tell_written(self, workspace: str, version: int, row: AccountRow) -> None:
        """Let the other routers know what a row says of which the store alone knows so far."""
        self.updates.record_written(workspace, version, taken_tokens(row))
        self.on_written()

    def _changed_grant(self, row: AccountRow, delta_tokens: int, version: int) -> AccountRow:
        """Return a row with the own grant changed, to be written in place of one with a version."""
        changed = change_grant(row, self._incarnation, delta_tokens)
        return with_prior_version(changed, version, self._store.eras.known)

    def _log_fold(self, workspace: str, row: AccountRow, folded: AccountRow) -> None:
        held = sum(row.granted_tokens.values()) - sum(folded.granted_tokens.values())
        spent = folded.ended_tokens - row.ended_tokens
        self._log.event(
            "prepaid.folded", workspace=workspace, held=held, spent=spent, returned=held - spent
        )

    def _fold(self, workspace: str, row: AccountRow) -> AccountRow:
        bounds = {
            incarnation: by_workspace[workspace]
            for incarnation, by_workspace in self._reports.predecessor_bounds.items()
            if workspace in by_workspace
        }
        return fold_predecessors(row, self._node, self._incarnation, bounds)

    async def _resolve(self, workspace: str, account: WorkspaceAccount) -> None:
        """Learn what became of a write whose answer was lost.

        The write may still take effect while its condition holds. So the same
        condition is used for a write that changes nothing: once any write has
        passed, the lost one is done or never will be, and the row tells which.
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
        self._take_in(workspace, account, row)
        self._tell_written(workspace, row.version, stored)
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

    def _loan_came(self, account: WorkspaceAccount) -> None:
        self._serve_waiters(account.workspace, account)

    @property
    def short(self) -> bool:
        """Whether tokens may soon have to be borrowed."""
        now_s = self._reactor.seconds()
        return self._lost_contact or any(
            now_s < account.short_until_s for account in self._accounts.values()
        )

    def spare(self) -> list[LoanOffer]:
        """Return what could be lent, most first."""
        offers = [LoanOffer(name, self._lendable_tokens(name)) for name in self.ledger.budgets()]
        offers = [offer for offer in offers if offer.tokens >= self._loan_rule.min_offer_tokens]
        return sorted(offers, key=lambda offer: -offer.tokens)

    def lend(self, ask: LoanAsk) -> int:
        """Give tokens to a peer; they count as spent here from now on."""
        tokens = min(max(0, ask.desired_tokens), self._lendable_tokens(ask.workspace))
        if tokens <= 0:
            return 0
        reservation = self._try_reserve(ask.workspace, tokens, first_try=False)
        if reservation is None:
            return 0
        self.ledger.settle(reservation, tokens)
        self._log_lent(ask.workspace, tokens)
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
        """Ask peers for what waiting requests need, one loan at a time."""
        if account.borrowing:
            return
        done = defer.ensureDeferred(self._borrower.borrow(account))
        done.addErrback(self._failed, account.workspace)
        done.addBoth(lambda _: self._borrowing_ended(account.workspace, account))

    def _borrowing_ended(self, workspace: str, account: WorkspaceAccount) -> None:
        self._serve_waiters(workspace, account)
        if self._lost_contact or self._store_has_too_little(account, workspace):
            # Nobody else can help, and waiting would only make the refusal late.
            self._refuse_waiters(account, self._shortage(account))
        elif account.waiters:
            self.work_on(workspace)

    def _refuse_waiters(self, account: WorkspaceAccount, answer: BudgetRefusal) -> None:
        waiters, account.waiters = account.waiters, []
        for waiter in waiters:
            waiter.deferred.callback(self._refused(account, waiter.tokens, answer))

    def _shortage(self, account: WorkspaceAccount) -> BudgetRefusal:
        return BudgetRefusal.UNREACHABLE if self._lost_contact else BudgetRefusal.EXHAUSTED

    def _store_has_too_little(self, account: WorkspaceAccount, workspace: str) -> bool:
        """Tell whether the store can't give what waiting requests need."""
        if account.row is None:
            return False
        waiting = account.waiting_tokens
        short = waiting - max(0, self.ledger.free_tokens(workspace))
        return max(0, account.end_reserve.available_tokens(account.row)) < short

    # Waiting requests.

    def _serve_waiters(self, workspace: str, account: WorkspaceAccount) -> None:
        waiters, account.waiters = account.waiters, []
        for waiter in waiters:
            reservation = self._try_reserve(workspace, waiter.tokens, first_try=False)
            if reservation is not None:
                waiter.deferred.callback(reservation)
            elif not account.borrowing and self._has_no_hope(account, waiter):
                answer = self._refused(account, waiter.tokens, BudgetRefusal.EXHAUSTED)
                waiter.deferred.callback(answer)
            else:
                account.waiters.append(waiter)

    def _give_up(self, workspace: str, waiter: WaitingRequest) -> None:
        account = self._account(workspace)
        if waiter in account.waiters:
            account.waiters.remove(waiter)
            answer = self._refused(account, waiter.tokens, BudgetRefusal.UNREACHABLE)
            waiter.deferred.callback(answer)
            # Whoever comes before the store has answered is refused without this wait.
            self._lose_contact()

    def _has_no_hope(self, account: WorkspaceAccount, waiter: WaitingRequest) -> bool:
        """Tell whether a waiting request can get no tokens any more."""
        if waiter.from_reserve:
            return ungranted_tokens(account.row) < waiter.tokens
        return self._is_exhausted(account, account.workspace, waiter.tokens)

    def _is_exhausted(self, account: WorkspaceAccount, workspace: str, tokens: int) -> bool:
        """Tell whether what is left, here, in the store and with peers, can't hold a request."""
        if account.row is None:
            return False
        free = max(0, self.ledger.free_tokens(workspace))
        lendable = self._borrower.lendable_tokens(workspace)
        return max(0, account.end_reserve.available_tokens(account.row)) + free + lendable < tokens

    def stop(self) -> None:
        """Give back from now on what is not reserved, before a planned stop."""
        self._stopping = True
        for workspace in self._accounts:
            if self._holders.all_routers_hold or self.ledger.free_tokens(workspace) > 0:
                self.work_on(workspace)

    @property
    def settled(self) -> bool:
        """Whether nothing is left to give back."""
        return not any(
            account.busy or self.ledger.free_tokens(workspace) > 0
            for workspace, account in self._accounts.items()
        )

    def _account(self, workspace: str) -> WorkspaceAccount:
        account = self._accounts.get(workspace)
        if account is None:
            reserve = EndReserve(self._end_rule, f"{self._incarnation}/{workspace}")
            account = self._accounts[workspace] = WorkspaceAccount(workspace, reserve)
            # Nothing is taken ahead of demand before it is known who holds what.
            self.ledger.set_prefetch(workspace, False)
            self._holds(workspace)
        return account
