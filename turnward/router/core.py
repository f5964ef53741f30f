# SPDX-License-Identifier: BSD-3-Clause
"""Everything that belongs to one incarnation of a router."""

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
    """Return a new incarnation's id."""
    return f"{instance}.{new_id().replace('-', '')[-_SUFFIX_LENGTH:]}"


class RouterCore:
    """Grants, bills, claims and records of one incarnation.

    Attributes
    ----------
    fenced : bool
        The incarnation has lost its right to write.
    successor : RouterCore or None
        The incarnation that writes this one's remaining bills.
    """

    def __init__(self, context: RouterContext, incarnation: str, on_fenced):
        settings = context.settings
        self.context = context
        self.incarnation = incarnation
        self.fenced = False
        self.successor: RouterCore | None = None
        self._on_fenced = on_fenced
        rule = SizingRule(settings.grant_horizon_s, settings.grant_minimum_tokens)
        self.ledger = GrantLedger(rule)
        store = GrantStore(context.table, incarnation, rule.share)
        writer = BillWriter(context.table, incarnation)
        register = ClaimRegister(context.table, incarnation)
        self.records = RecordTask(context, incarnation, self._lose)
        self.grants = GrantTask(context, self.ledger, store, self._lose)
        self.bills = BillTask(context, writer, self.ledger, store, self.records, self._lose)
        self.claims = ClaimTask(context, register, self._lose)
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
        """Give the unwritten bills to the next incarnation."""
        self.stop()
        self.successor = successor
        for message in self.bills.take_unwritten():
            successor.add_bill(message)

    def add_bill(self, message) -> None:
        """Queue a bill here, or with the incarnation that writes for this one."""
        if self.successor is not None:
            self.successor.add_bill(message)
        else:
            self.bills.tell(message)

    def _lose(self) -> None:
        if not self.fenced:
            self.fenced = True
            self._on_fenced(self)
