# SPDX-License-Identifier: BSD-3-Clause
"""Refusals of requests whose tokens are protected for the most urgent of the same workspace."""

import msgspec

from turnward.gateway.accounts import ungranted_tokens
from turnward.gateway.holders import HoldersBase
from turnward.gateway.loans import LoanAsk
from turnward.gateway.workspace_account import WorkspaceAccount
from turnward.ledger import GrantLedger
from turnward.pacing import PacedRequest, TokenPacerBase, TokenSupply, Unpaced

__all__ = ["PacedRefusal", "TokenPacing"]


class PacedRefusal(msgspec.Struct, frozen=True):
    """Refusal of a request that may be repeated later.

    Attributes
    ----------
    retry_after_s : float
        Time until a request like it may get tokens.
    """

    retry_after_s: float


class TokenPacing:
    """Asks the pacer about each request for tokens that reaches a holder.

    Parameters
    ----------
    ledger : GrantLedger
        Tokens held here.
    holders : HoldersBase
        The other holders are assumed to hold as many tokens and to see as many requests.
    log : GatewayLog
        Receives an event for each refusal.
    pacer : TokenPacerBase or None
        Decides; all requests are admitted if None.
    """

    def __init__(
        self, ledger: GrantLedger, holders: HoldersBase, log, pacer: TokenPacerBase | None = None
    ):
        self._ledger = ledger
        self._holders = holders
        self._log = log
        self._pacer = pacer or Unpaced()

    def refusal(self, account: WorkspaceAccount, loan_request: LoanAsk) -> PacedRefusal | None:
        """Return a refusal if a request has to be repeated later, else None."""
        supply = self._supply(account)
        if supply is None or supply.remaining_tokens < loan_request.required_tokens:
            return None
        request = _paced_request(loan_request)
        delay_s = self._pacer.delay_s(request, supply)
        if delay_s <= 0:
            return None
        self._log.failure(
            "prepaid.paced",
            workspace=account.workspace,
            tokens=request.tokens,
            priority=request.priority,
            delay_s=round(delay_s, 3),
            remaining=supply.remaining_tokens,
            protected=self._pacer.protected_tokens(request, supply),
            limit=supply.limit_tokens,
            holders=supply.holders,
        )
        return PacedRefusal(delay_s)

    def _supply(self, account: WorkspaceAccount) -> TokenSupply | None:
        """Return what is left of a workspace's tokens, or None before its row has been read."""
        row = account.row
        if row is None:
            return None
        holders = max(1, self._holders.count)
        held = holders * max(0, self._ledger.free_tokens(account.workspace))
        remaining = min(row.limit_tokens, max(0, ungranted_tokens(row)) + held)
        return TokenSupply(
            limit_tokens=row.limit_tokens, remaining_tokens=remaining, holders=holders
        )


def _paced_request(loan_request: LoanAsk) -> PacedRequest:
    route_priority = loan_request.route_priority
    return PacedRequest(
        workspace=loan_request.workspace,
        tokens=max(1, loan_request.required_tokens),
        priority=loan_request.priority if route_priority is None else route_priority,
    )
