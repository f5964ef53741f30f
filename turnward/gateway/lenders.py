# SPDX-License-Identifier: BSD-3-Clause
"""Peers that lend what they can spare: by what they tell, or by who holds tokens at all."""

import msgspec

from turnward.gateway.holders import HoldersBase
from turnward.gateway.loans import LOANS_PATH, LenderBase, Loan

__all__ = ["HolderLenders", "PeerLenders"]

#: Seconds that a borrower waits for a lender's answer.
_ANSWER_LIMIT_S = 0.15
#: Seconds after which what a peer said of its spare tokens no longer counts.
_SPARE_LIFE_S = 1.0
#: Seconds for which a holder that lent nothing is not asked again.
_EMPTY_S = 1.0
#: What a holder is taken to have while nothing is known of it.
_UNKNOWN_TOKENS = 1_000_000_000


class PeerLenders(LenderBase):
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


class HolderLenders(LenderBase):
    """The other holders of a workspace, where the fleet is too large for all to tell all.

    Parameters
    ----------
    holders : HoldersBase
        Who holds tokens.
    peers : PeerLenders
        Asks; and tells who can spare what while every router holds tokens.
    clock : callable
        Steady clock in seconds.
    """

    def __init__(self, holders: HoldersBase, peers: PeerLenders, clock):
        self._holders = holders
        self._peers = peers
        self._clock = clock
        self._empty_until_s: dict[tuple[str, str], float] = {}

    def spare(self, workspace):
        """See ``LenderBase.spare``."""
        if self._holders.all_routers_hold:
            return self._peers.spare(workspace)
        now_s = self._clock()
        return [
            (address, _UNKNOWN_TOKENS)
            for address in self._holders.other_holders(workspace)
            if self._empty_until_s.get((workspace, address), 0.0) <= now_s
        ]

    async def ask(self, address, ask):
        """See ``LenderBase.ask``."""
        tokens = await self._peers.ask(address, ask)
        if not tokens:
            self._empty_until_s[ask.workspace, address] = self._clock() + _EMPTY_S
        return tokens
