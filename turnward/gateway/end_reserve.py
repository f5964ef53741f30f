# SPDX-License-Identifier: BSD-3-Clause
"""The last part of a workspace's limit, handed out slowly to small requests.

Without it a workspace that has used up its tokens is without service until its
limit is raised. With it a few small requests are still served, fewer the less
is left.
"""

import math
import zlib

import msgspec

from turnward.gateway.accounts import AccountRow, ungranted_tokens

__all__ = ["EndReserve", "EndReserveRule"]


class EndReserveRule(msgspec.Struct, frozen=True):
    """How much is kept for the end, and who gets it.

    Attributes
    ----------
    share : float
        Part of the limit; 0 keeps nothing.
    one_in : int
        Of so many small requests one is served while the reserve is whole.
    smallness : int
        A request is small up to this fraction of the reserve: one in so many. With more
        than 2 the reserve of a small limit lets no request through at all.
    """

    share: float = 0.0
    one_in: int = 6
    smallness: int = 2


class EndReserve:
    """One workspace's reserve at one router.

    Parameters
    ----------
    rule : EndReserveRule
        How much is kept.
    name : str
        Spreads the first request that is served over routers and workspaces.
    """

    __slots__ = ("_passed_over", "_rule")

    def __init__(self, rule: EndReserveRule, name: str):
        self._rule = rule
        self._passed_over = zlib.crc32(name.encode()) % rule.one_in

    def tokens(self, row: AccountRow) -> int:
        """Return what is kept of a limit.

        Examples
        --------
        >>> EndReserve(EndReserveRule(share=0.03), "x").tokens(AccountRow(limit_tokens=1_000))
        30
        """
        return int(self._rule.share * row.limit_tokens)

    def open_tokens(self, row: AccountRow) -> int:
        """Return what any request may have of what is ungranted; below 0 if it was recalled."""
        left = ungranted_tokens(row)
        return left if left < 0 else max(0, left - self.tokens(row))

    def lets_through(self, row: AccountRow, tokens: int) -> bool:
        """Tell whether a request that nothing else is left for gets a part of the reserve."""
        kept = self.tokens(row)
        left = min(kept, ungranted_tokens(row))
        if left < tokens or tokens > kept // self._rule.smallness:
            return False
        self._passed_over += 1
        if self._passed_over < math.ceil(self._rule.one_in * kept / left):
            return False
        self._passed_over = 0
        return True
