# SPDX-License-Identifier: BSD-3-Clause
"""The borrower's side of loans: loan requests to peers, and the tokens that they lend."""

from collections.abc import Callable

from turnward.gateway.loans import LenderBase, LoanAsk, LoanRule, NoLenders
from turnward.gateway.workspace_account import WorkspaceAccount
from turnward.ledger import GrantLedger

__all__ = ["Borrower"]


class Borrower:
    """Borrows from peers the tokens that waiting requests need.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    ledger : GrantLedger
        Ledger to which borrowed tokens are added.
    rule : LoanRule
        Limits of a loan.
    spendable_tokens : callable
        Returns how many tokens of a workspace may be reserved now.
    on_loan : callable
        Called with the account after each loan received.
    log : GatewayLog
        Logs each loan.

    Attributes
    ----------
    lenders : LenderBase
        Peers that may lend.
    """

    def __init__(
        self,
        reactor,
        ledger: GrantLedger,
        rule: LoanRule,
        spendable_tokens: Callable[[str], int],
        on_loan: Callable[[WorkspaceAccount], None],
        log,
    ):
        self._reactor = reactor
        self._ledger = ledger
        self._rule = rule
        self._spendable_tokens = spendable_tokens
        self._on_loan = on_loan
        self._log = log
        self.lenders: LenderBase = NoLenders()

    def lendable_tokens(self, workspace: str) -> int:
        """Return the tokens that all peers together offer to lend."""
        return sum(tokens for _, tokens in self.lenders.surplus(workspace))

    async def borrow(self, account: WorkspaceAccount) -> None:
        """Ask one peer after another until the waiting requests have enough tokens."""
        account.borrowing = True
        try:
            for address, _ in self.lenders.surplus(account.workspace)[: self._rule.max_lenders]:
                request = self._loan_request(account)
                if request is None:
                    return
                self._add_loan(
                    account, address, request, await self.lenders.request_loan(address, request)
                )
        finally:
            account.borrowing = False

    def _loan_request(self, account: WorkspaceAccount) -> LoanAsk | None:
        required = account.waiting_tokens - self._spendable_tokens(account.workspace)
        if required <= 0:
            return None
        demand = self._ledger.demand_tokens_per_s(account.workspace, self._reactor.seconds())
        return LoanAsk(account.workspace, required, required + int(demand * self._rule.lookahead_s))

    def _add_loan(
        self, account: WorkspaceAccount, address: str, request: LoanAsk, tokens: int
    ) -> None:
        if tokens <= 0:
            return
        account.borrowed_tokens += tokens
        self._ledger.add(account.workspace, tokens)
        self._log.event(
            "prepaid.borrowed",
            workspace=account.workspace,
            lender=address,
            tokens=tokens,
            wanted=request.required_tokens,
            free=self._ledger.free_tokens(account.workspace),
        )
        self._on_loan(account)
