# SPDX-License-Identifier: BSD-3-Clause
"""State and tasks that belong to one incarnation of a router."""

from turnward.budgets import BillWriter, GrantLedger, GrantStore, SizingRule
from turnward.claims import ClaimRegister
from turnward.ids import new_id
from turnward.router.bill_task import BillTask
from turnward.router.claim_task import ClaimTask
from turnward.router.context import RouterContext
from turnward.router.grant_task import GrantTask
from turnward.router.record_task import RecordTask

__all__ = ["RouterCore", "new_incarnation"]

_SUFFIX_LENGTH = 12


def new_incarnation(instance: str) -> str:
    """Return a unique incarnation id for an instance."""
    return f"{instance}.{new_id().replace('-', '')[-_SUFFIX_LENGTH:]}"


class RouterCore:
    """Grants, bills, claims and records of one incarnation.

    Attributes
    ----------
    fenced : bool
        Whether the incarnation is fenced, so that its writes are rejected.
    successor : RouterCore or None
        The next incarnation, which writes the remaining bills of this one.
    """

    def __init__(self, context: RouterContext, incarnation: str, on_fenced):
        settings = context.settings
        self.context = context
        self.incarnation = incarnation
        self.fenced = False
        self.successor: RouterCore | None = None
        self._on_fenced = on_fenced
        sizing_rule = SizingRule(settings.grant_horizon_s, settings.grant_minimum_tokens)
        self.ledger = GrantLedger(sizing_rule)
        store = GrantStore(context.table, incarnation, sizing_rule.share)
        writer = BillWriter(context.table, incarnation)
        register = ClaimRegister(context.table, incarnation)
        self.records = RecordTask(context, incarnation, self._mark_fenced)
        self.grants = GrantTask(context, self.ledger, store, self._mark_fenced)
        self.bills = BillTask(context, writer, self.ledger, store, self.records, self._mark_fenced)
        self.claims = ClaimTask(context, register, self._mark_fenced)
        self.tasks = (self.records, self.grants, self.bills, self.claims)

    def start(self) -> None:
        """Start the tasks."""
        for task in self.tasks:
            task.start()

    def stop(self) -> None:
        """Stop the tasks."""
        for task in self.tasks:
            task.stop()

    def hand_over(self, successor: "RouterCore") -> None:
        """Stop, and move the unwritten bills to the next incarnation."""
        self.stop()
        self.successor = successor
        for message in self.bills.take_unwritten():
            successor.add_bill(message)

    def add_bill(self, message) -> None:
        """Queue a bill here or, after ``hand_over``, with the successor."""
        if self.successor is not None:
            self.successor.add_bill(message)
        else:
            self.bills.tell(message)

    def _mark_fenced(self) -> None:
        if not self.fenced:
            self.fenced = True
            self._on_fenced(self)
