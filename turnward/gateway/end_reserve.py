# SPDX-License-Identifier: BSD-3-Clause
"""The last part of a workspace's limit, handed out slowly.

Without it a workspace that has used up its tokens is without service until its
limit is raised. With it a request that fits is served now and then.
"""

import zlib

import msgspec

from turnward.gateway.accounts import AccountRow, ungranted_tokens

__all__ = ["EndReserve", "EndReserveRule"]


class EndReserveRule(msgspec.Struct, frozen=True):
    """How much is kept for the end, and for how long it lasts.

    Attributes
    ----------
    share : float
        Part of the limit; 0 keeps nothing.
    release_s : float
        Seconds over which the reserve is handed out once nothing else is left. Measured in
        decision 16: slower, and too few are served after a loss of power.
    """

    share: float = 0.0
    release_s: float = 25.0


class EndReserve:
    """One workspace's reserve at one router.

    All routers see what is left in the workspace's row, so together they keep to the pace.

    Parameters
    ----------
    rule : EndReserveRule
        How much is kept.
    name : str
        Spreads the first request that is served over routers and workspaces.
    """

    __slots__ = ("_asked_s", "_begun_s", "_begun_tokens", "_head_start", "_rule")

    def __init__(self, rule: EndReserveRule, name: str):
        self._rule = rule
        self._head_start = (zlib.crc32(name.encode()) % 100) / 100
        self._asked_s = 0.0
        self._begun_s = 0.0
        self._begun_tokens = -1

    def tokens(self, row: AccountRow) -> int:
        """Return what is kept of a limit.

        Examples
        --------
        >>> EndReserve(EndReserveRule(share=0.03), "x").tokens(AccountRow(limit_tokens=1_000))
        30
        """
        return int(self._rule.share * row.limit_tokens)

    def available_tokens(self, row: AccountRow) -> int:
        """Return what any request may have of what is ungranted; below 0 if it was recalled."""
        left = ungranted_tokens(row)
        return left if left < 0 else max(0, left - self.tokens(row))

    def admit_request(self, row: AccountRow, tokens: int, now_s: float) -> bool:
        """Tell whether a request that nothing else is left for gets a part of the reserve."""
        left = min(self.tokens(row), ungranted_tokens(row))
        if left < tokens:
            return False
        # Nobody needed it for so long: the limit was raised meanwhile, and is used up again.
        enough_meanwhile = now_s - self._asked_s > self._rule.release_s
        self._asked_s = now_s
        if left > self._begun_tokens or enough_meanwhile:
            self._begun_s = now_s
            self._begun_tokens = left
        passed = (now_s - self._begun_s) / self._rule.release_s
        released = self._begun_tokens * passed + self._head_start * tokens
        return self._begun_tokens - left + tokens <= released
