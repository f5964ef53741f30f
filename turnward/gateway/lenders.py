# SPDX-License-Identifier: BSD-3-Clause
"""Lenders of tokens: peers that announce a surplus, or the holders of a workspace's tokens."""

import msgspec

from turnward.gateway.decoding import decode_message
from turnward.gateway.holders import HoldersBase
from turnward.gateway.loans import LOANS_PATH, LenderBase, Loan

__all__ = ["HolderLenders", "PeerLenders"]

_LOAN_TIMEOUT_S = 0.15
#: Age at which a peer's announced surplus expires.
_SURPLUS_TTL_S = 1.0
#: Time for which a holder that lent nothing is not asked again.
_EMPTY_BACKOFF_S = 1.0
#: Surplus assumed of a holder, since holders of large fleets announce none.
_ASSUMED_SURPLUS_TOKENS = 1_000_000_000


class PeerLenders(LenderBase):
    """Lenders that announce their surplus tokens in their digests.

    Parameters
    ----------
    book : PeerBook
        Known peers.
    call : callable
        ``await call(address, path, body, timeout_s)`` returns the response body, or
        None if there was none.
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, book, call, clock):
        self._book = book
        self._call = call
        self._clock = clock

    def surplus(self, workspace):
        """See ``LenderBase.surplus``."""
        oldest_s = self._clock() - _SURPLUS_TTL_S
        offers = [
            (peer.address, offer.tokens)
            for peer in self._book.live()
            if peer.received_s >= oldest_s and not peer.digest.stopping
            for offer in peer.digest.spare
            if offer.workspace == workspace
        ]
        return sorted(offers, key=lambda offer: -offer[1])

    async def request_loan(self, address, request):
        """See ``LenderBase.request_loan``."""
        body = await self._call(
            address, LOANS_PATH, msgspec.msgpack.encode(request), _LOAN_TIMEOUT_S
        )
        if body is None:
            return 0
        try:
            return max(0, decode_message(body, Loan).tokens)
        except msgspec.DecodeError:
            return 0


class HolderLenders(LenderBase):
    """The other holders of a workspace, in fleets too large for each router to announce a surplus.

    Parameters
    ----------
    holders : HoldersBase
        Holders of each workspace's tokens.
    peers : PeerLenders
        Sends the loan requests; its offers are used while every router is a holder.
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, holders: HoldersBase, peers: PeerLenders, clock):
        self._holders = holders
        self._peers = peers
        self._clock = clock
        self._empty_until_s: dict[tuple[str, str], float] = {}

    def surplus(self, workspace):
        """See ``LenderBase.surplus``."""
        if self._holders.all_routers_hold:
            return self._peers.surplus(workspace)
        now_s = self._clock()
        return [
            (address, _ASSUMED_SURPLUS_TOKENS)
            for address in self._holders.other_holders(workspace)
            if self._empty_until_s.get((workspace, address), 0.0) <= now_s
        ]

    async def request_loan(self, address, request):
        """See ``LenderBase.request_loan``."""
        tokens = await self._peers.request_loan(address, request)
        if not tokens:
            self._empty_until_s[request.workspace, address] = self._clock() + _EMPTY_BACKOFF_S
        return tokens
