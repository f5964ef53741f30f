# SPDX-License-Identifier: BSD-3-Clause
"""Refusals of requests that get no prepaid tokens, and what is logged and counted of them."""

from collections.abc import Callable
from enum import StrEnum

from turnward.gateway.accounts import ungranted_tokens
from turnward.gateway.workspace_account import WorkspaceAccount
from turnward.ledger import GrantLedger

__all__ = ["BudgetRefusal", "BudgetRefusals"]


class BudgetRefusal(StrEnum):
    """Why a request gets no tokens."""

    EXHAUSTED = "budget_exhausted"
    UNREACHABLE = "budget_unreachable"


class BudgetRefusals:
    """Logs refusals with the values that led to them.

    Parameters
    ----------
    ledger : GrantLedger
        Tokens held by this router.
    allowance_tokens : callable
        Returns by workspace what may be committed under the last report; None if unbounded.
    lendable_tokens : callable
        Returns by workspace what peers offer to lend.
    log : GatewayLog
        Receives an event for each refusal.

    Attributes
    ----------
    on_refused : callable
        Called with the reason of each refusal, and whether enough free tokens were held here.
    """

    def __init__(
        self,
        ledger: GrantLedger,
        allowance_tokens: Callable[[str], int | None],
        lendable_tokens: Callable[[str], int],
        log,
    ):
        self._ledger = ledger
        self._allowance_tokens = allowance_tokens
        self._lendable_tokens = lendable_tokens
        self._log = log
        self.on_refused: Callable[[BudgetRefusal, bool], None] = lambda refusal, held: None

    def report(
        self,
        account: WorkspaceAccount,
        tokens: int,
        refusal: BudgetRefusal,
        in_contact: bool,
        withheld: bool,
    ) -> BudgetRefusal:
        """Log and count a refusal; return the reason."""
        workspace = account.workspace
        free = self._ledger.free_tokens(workspace)
        self.on_refused(refusal, free >= tokens)
        self._log.failure(
            "prepaid.refused",
            workspace=workspace,
            tokens=tokens,
            answer=refusal,
            free=free,
            promised=self._allowance_tokens(workspace),
            lendable=self._lendable_tokens(workspace),
            ungranted=ungranted_tokens(account.row) if account.row is not None else None,
            limit=account.row.limit_tokens if account.row is not None else None,
            row_version=account.version,
            in_contact=in_contact,
            kept_for_urgent=withheld,
        )
        return refusal
