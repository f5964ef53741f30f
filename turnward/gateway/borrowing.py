# SPDX-License-Identifier: BSD-3-Clause
"""The borrower's side of loans: whom to ask, for how much, and what came."""

from collections.abc import Callable

from turnward.gateway.loans import LenderBase, LoanAsk, LoanRule, NoLenders
from turnward.gateway.workspace_account import WorkspaceAccount
from turnward.ledger import GrantLedger

__all__ = ["Borrower"]


class Borrower:
    """Asks peers for the tokens that waiting requests need.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    ledger : GrantLedger
        Takes in what is borrowed.
    rule : LoanRule
        How many peers are asked, and for how much.
    spendable_tokens : callable
        Returns what may be reserved of a workspace now.
    on_loan : callable
        Called with the account after each loan that came.
    log : GatewayLog
        Told of each loan.

    Attributes
    ----------
    lenders : LenderBase
        The peers that may lend.
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
        """Return what all peers together say they can spare."""
        return sum(tokens for _, tokens in self.lenders.spare(workspace))

    async def borrow(self, account: WorkspaceAccount) -> None:
        """Ask one peer after the other until waiting requests have what they need."""
        account.borrowing = True
        try:
            for address, _ in self.lenders.spare(account.workspace)[: self._rule.max_lenders]:
                ask = self._ask(account)
                if ask is None:
                    return
                self._take_in(account, address, ask, await self.lenders.ask(address, ask))
        finally:
            account.borrowing = False

    def _ask(self, account: WorkspaceAccount) -> LoanAsk | None:
        least = account.waiting_tokens - self._spendable_tokens(account.workspace)
        if least <= 0:
            return None
        demand = self._ledger.demand_tokens_per_s(account.workspace, self._reactor.seconds())
        return LoanAsk(account.workspace, least, least + int(demand * self._rule.lookahead_s))

    def _take_in(self, account: WorkspaceAccount, address: str, ask: LoanAsk, tokens: int) -> None:
        if tokens <= 0:
            return
        account.borrowed_tokens += tokens
        self._ledger.add(account.workspace, tokens)
        self._log.event(
            "prepaid.borrowed",
            workspace=account.workspace,
            lender=address,
            tokens=tokens,
            wanted=ask.required_tokens,
            free=self._ledger.free_tokens(account.workspace),
        )
        self._on_loan(account)
