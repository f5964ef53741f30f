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

import msgspec

__all__ = ["LenderBase", "Loan", "LoanAsk", "LoanRule", "NoLenders", "PeersAsLenders", "Spare"]

LOANS_PATH = b"/state/loans"
#: Seconds that a borrower waits for a lender's answer.
_ANSWER_LIMIT_S = 0.15
#: Seconds after which what a peer said of its spare tokens no longer counts.
_SPARE_LIFE_S = 1.0


class LoanRule(msgspec.Struct, frozen=True):
    """How much is lent and borrowed.

    Attributes
    ----------
    lenders_asked : int
        Peers asked for one request's shortage at most.
    ahead_s : float
        Seconds of demand that a loan covers beyond what waits.
    kept_s : float
        Seconds of demand that a lender keeps for itself.
    least_offer_tokens : int
        Fewer tokens are not offered.
    """

    lenders_asked: int = 4
    ahead_s: float = 2.0
    kept_s: float = 1.5
    least_offer_tokens: int = 500


class Spare(msgspec.Struct, frozen=True, array_like=True):
    """What one router could lend of one workspace's tokens."""

    workspace: str
    tokens: int


class LoanAsk(msgspec.Struct, frozen=True, array_like=True):
    """A wish for tokens.

    Attributes
    ----------
    least_tokens : int
        What waiting requests need.
    most_tokens : int
        What is of use soon.
    """

    workspace: str
    least_tokens: int
    most_tokens: int


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that are the borrower's from now on; 0 when none can be spared."""

    tokens: int


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


class PeersAsLenders(LenderBase):
    """Asks the peers, by what their digests say they can spare.

    Parameters
    ----------
    book : PeerBook
        The peers.
    call : callable
        ``await call(address, path, body, timeout_s)`` gives an answer's body, or
        None when there was none.
    clock : callable
        Steady clock in seconds.
    """

    def __init__(self, book, call, clock):
        self._book = book
        self._call = call
        self._clock = clock

    def spare(self, workspace):
        """See ``LenderBase.spare``."""
        since_s = self._clock() - _SPARE_LIFE_S
        found = [
            (peer.address, spare.tokens)
            for peer in self._book.live()
            if peer.heard_s >= since_s and not peer.digest.stopping
            for spare in peer.digest.spare
            if spare.workspace == workspace
        ]
        return sorted(found, key=lambda entry: -entry[1])

    async def ask(self, address, ask):
        """See ``LenderBase.ask``."""
        body = await self._call(address, LOANS_PATH, msgspec.msgpack.encode(ask), _ANSWER_LIMIT_S)
        if body is None:
            return 0
        try:
            return max(0, msgspec.msgpack.decode(body, type=Loan).tokens)
        except msgspec.DecodeError:
            return 0
