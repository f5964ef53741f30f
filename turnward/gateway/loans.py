# SPDX-License-Identifier: BSD-3-Clause
"""Loans of tokens between routers, without the store.

A router that can't reach the store, or finds no tokens left there, borrows from a peer that holds
some. The lender counts lent tokens as spent under its own grant before it responds, and the
borrower may spend them without a grant of its own. So the total spent never exceeds the grants in
the store, whichever router crashes; a lost response only loses the tokens that were lent.
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
    "LoanOffer",
    "LoanReturn",
    "LoanRule",
    "NoLenders",
]

LOANS_PATH = b"/state/loans"
RETURNS_PATH = b"/state/returned-tokens"


class LoanRule(msgspec.Struct, frozen=True):
    """Limits of loans.

    Attributes
    ----------
    max_lenders : int
        Limit of peers asked to cover one request's shortage.
    lookahead_s : float
        Seconds of demand that a loan covers beyond the waiting requests.
    retained_s : float
        Seconds of demand that a lender retains for itself.
    min_offer_tokens : int
        Smallest surplus that is offered.
    """

    max_lenders: int = 4
    lookahead_s: float = 2.0
    retained_s: float = 1.5
    min_offer_tokens: int = 500


class LoanOffer(msgspec.Struct, frozen=True, array_like=True):
    """Surplus tokens of one workspace that a router offers to lend."""

    workspace: str
    tokens: int


class LoanAsk(msgspec.Struct, frozen=True, array_like=True):
    """Request for a loan of tokens.

    Attributes
    ----------
    required_tokens : int
        Tokens that waiting requests need.
    desired_tokens : int
        Tokens that cover the expected demand as well.
    priority : int
        Priority of the request that needs the tokens; 0 is the most urgent.
    for_request : bool
        Whether the lender is a holder and obtains the tokens as for a request of its own.
        Otherwise it lends only from its surplus.
    route_priority : int or None
        Priority of the request's route, which orders the requests of one workspace; ``priority``
        if None.
    """

    workspace: str
    required_tokens: int
    desired_tokens: int
    priority: int = 0
    for_request: bool = False
    route_priority: int | None = None

    def reduced(self, tokens: int) -> "LoanAsk":
        """Return the request without tokens that the borrower has itself."""
        return msgspec.structs.replace(
            self,
            required_tokens=self.required_tokens - tokens,
            desired_tokens=self.desired_tokens - tokens,
        )


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that now belong to the borrower; 0 if the lender has no surplus.

    Attributes
    ----------
    exhausted : bool
        Whether the lender knows that the workspace's budget has too few tokens left. Also set if
        ``retry_after_s`` is, so that a borrower which does not know that field refuses as well.
    retry_after_s : float
        If positive, tokens are protected for more urgent requests, and the request may be repeated
        after this time.
    """

    tokens: int
    exhausted: bool = False
    retry_after_s: float = 0.0


class LoanReturn(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that the sender has counted as spent and that now belong to the receiver."""

    workspace: str
    tokens: Annotated[int, msgspec.Meta(gt=0)]


class LenderBase(ABC):
    """Peers that may lend tokens."""

    @abstractmethod
    def surplus(self, workspace: str) -> list[tuple[str, int]]:
        """Return address and surplus tokens of each peer that has some, largest surplus first."""

    @abstractmethod
    async def request_loan(self, address: str, request: LoanAsk) -> int:
        """Return the tokens that a peer lends; 0 if it lends none or did not respond."""


class NoLenders(LenderBase):
    """No lenders, for a router without peers."""

    def surplus(self, workspace):
        """See ``LenderBase.surplus``."""
        return []

    async def request_loan(self, address, request):
        """See ``LenderBase.request_loan``."""
        return 0
