# SPDX-License-Identifier: BSD-3-Clause
"""Tokens lent from router to router, without the store.

A router that can't get tokens from the store, or finds none left there, asks a
peer that holds some. The lender counts what it lends as spent under its own
grant before the answer leaves, and the borrower may spend it without a grant
of its own. So the sum of all that is spent stays under the grants in the
store, whoever dies and whatever answer is lost; a lost answer loses the
tokens, no more.
"""

from abc import ABC, abstractmethod
from typing import Annotated

import msgspec

__all__ = [
    "LOANS_PATH",
    "RETURNS_PATH",
    "LenderBase",
    "Loan",
    "LoanAsk",
    "LoanReturn",
    "LoanRule",
    "NoLenders",
    "LoanOffer",
]

LOANS_PATH = b"/state/loans"
RETURNS_PATH = b"/state/returned-tokens"


class LoanRule(msgspec.Struct, frozen=True):
    """How much is lent and borrowed.

    Attributes
    ----------
    max_lenders : int
        Peers asked for one request's shortage at most.
    lookahead_s : float
        Seconds of demand that a loan covers beyond what waits.
    retained_s : float
        Seconds of demand that a lender keeps for itself.
    min_offer_tokens : int
        Fewer tokens are not offered.
    """

    max_lenders: int = 4
    lookahead_s: float = 2.0
    retained_s: float = 1.5
    min_offer_tokens: int = 500


class LoanOffer(msgspec.Struct, frozen=True, array_like=True):
    """What one router could lend of one workspace's tokens."""

    workspace: str
    tokens: int


class LoanAsk(msgspec.Struct, frozen=True, array_like=True):
    """A wish for tokens.

    Attributes
    ----------
    required_tokens : int
        What waiting requests need.
    desired_tokens : int
        What is of use soon.
    priority : int
        Urgency of the request that needs them; 0 is the most urgent.
    for_request : bool
        The lender is a holder, and gets the tokens as though the request were its own;
        else it lends only what it can spare.
    """

    workspace: str
    required_tokens: int
    desired_tokens: int
    priority: int = 0
    for_request: bool = False


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that are the borrower's from now on; 0 when none can be spared.

    Attributes
    ----------
    exhausted : bool
        The lender knows that nobody can give the tokens.
    """

    tokens: int
    exhausted: bool = False


class LoanReturn(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that the sender counts as spent, and that are the receiver's from now on."""

    workspace: str
    tokens: Annotated[int, msgspec.Meta(gt=0)]


class LenderBase(ABC):
    """The peers that may lend."""

    @abstractmethod
    def spare(self, workspace: str) -> list[tuple[str, int]]:
        """Return address and spare tokens of each peer that has some, most first."""

    @abstractmethod
    async def ask(self, address: str, ask: LoanAsk) -> int:
        """Return the tokens that a peer lends; 0 when it lends none or was not reached."""


class NoLenders(LenderBase):
    """A router without peers."""

    def spare(self, workspace):
        """See ``LenderBase.spare``."""
        return []

    async def ask(self, address, ask):
        """See ``LenderBase.ask``."""
        return 0
