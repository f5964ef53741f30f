# SPDX-License-Identifier: BSD-3-Clause
"""Reserve at the end of a workspace's limit, released gradually.

Without it, a workspace that has used up its tokens gets no service until its limit is raised.
With it, a request that fits is served from time to time.
"""

import zlib

import msgspec

from turnward.gateway.accounts import AccountRow, ungranted_tokens

__all__ = ["EndReserve", "EndReserveRule"]


class EndReserveRule(msgspec.Struct, frozen=True):
    """Size of the end reserve and the time over which it is released.

    Attributes
    ----------
    share : float
        Fraction of the limit that is reserved; 0 disables the reserve.
    release_s : float
        Seconds over which the reserve is released once all other tokens are used up.
    """

    share: float = 0.0
    release_s: float = 25.0


class EndReserve:
    """One workspace's end reserve at one router.

    All routers read the remaining tokens from the workspace's row, so together they keep to the
    release rate.

    Parameters
    ----------
    rule : EndReserveRule
        Size of the reserve and its release time.
    name : str
        Determines the part of a request that is released at once, so that the first requests of
        different routers and workspaces are staggered.
    """

    __slots__ = (
        "_initial_share",
        "_last_request_s",
        "_release_from_s",
        "_release_tokens",
        "_rule",
    )

    def __init__(self, rule: EndReserveRule, name: str):
        self._rule = rule
        self._initial_share = (zlib.crc32(name.encode()) % 100) / 100
        self._last_request_s = 0.0
        self._release_from_s = 0.0
        self._release_tokens = -1

    def reserved_tokens(self, row: AccountRow) -> int:
        """Return the size of the reserve under the row's limit.

        Examples
        --------
        >>> reserve = EndReserve(EndReserveRule(share=0.03), "x")
        >>> reserve.reserved_tokens(AccountRow(limit_tokens=1_000))
        30
        """
        return int(self._rule.share * row.limit_tokens)

    def available_tokens(self, row: AccountRow) -> int:
        """Return the ungranted tokens outside the reserve; negative after the limit was lowered."""
        remaining = ungranted_tokens(row)
        return remaining if remaining < 0 else max(0, remaining - self.reserved_tokens(row))

    def admit_request(self, row: AccountRow, tokens: int, now_s: float) -> bool:
        """Return whether a request may be served from the reserve, other tokens being used up."""
        remaining = min(self.reserved_tokens(row), ungranted_tokens(row))
        if remaining < tokens:
            return False
        # No request needed the reserve for so long that the limit must have been raised meanwhile.
        idle = now_s - self._last_request_s > self._rule.release_s
        self._last_request_s = now_s
        if remaining > self._release_tokens or idle:
            self._release_from_s = now_s
            self._release_tokens = remaining
        elapsed = (now_s - self._release_from_s) / self._rule.release_s
        released = self._release_tokens * elapsed + self._initial_share * tokens
        return self._release_tokens - remaining + tokens <= released
