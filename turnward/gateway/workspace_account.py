# SPDX-License-Identifier: BSD-3-Clause
"""What one router knows of one workspace's prepaid tokens."""

from twisted.internet import defer

from turnward.gateway.accounts import AccountRow
from turnward.gateway.end_reserve import EndReserve

__all__ = ["WaitingRequest", "WorkspaceAccount"]


class WaitingRequest:
    """A request that waits for tokens.

    Attributes
    ----------
    tokens : int
        What it needs at its most.
    from_reserve : bool
        Whether it is served out of what is kept for the end of the limit.
    deferred : Deferred
        Fires with a reservation or with why there is none.
    """

    __slots__ = ("deferred", "from_reserve", "tokens")

    def __init__(self, tokens: int, from_reserve: bool = False):
        self.tokens = tokens
        self.from_reserve = from_reserve
        self.deferred: defer.Deferred = defer.Deferred()


class WorkspaceAccount:
    """One workspace's row as last seen, and what is under way for it.

    Attributes
    ----------
    row : AccountRow or None
        As last seen, with ended processes' grants folded.
    unfolded : AccountRow or None
        The row as stored, while ``row`` leaves out ended processes' grants.
    version : RowVersion
        The row's version; 0 while it is not there.
    era : int
        The store's era in which the row is known to say what is held here; below 0 for none.
    limit : tuple of int
        Tokens, and the version of the configuration that says so.
    end_reserve : EndReserve
        What is kept for the end of the limit.
    busy, borrowing, handing_back : bool
        Whether the row is being worked on, a loan is asked for, or tokens are on their
        way to a holder.
    free_at_last_contact : int
        Tokens that were free when the store was last reached.
    borrowed_tokens : int
        All that peers ever lent here; spent without a grant of the own.
    short_until_s : float
        Until when the shortage is told to peers.
    waiters : list of WaitingRequest
        Requests that wait for tokens.
    unresolved : tuple or None
        A change whose answer was lost: its tokens, and the row it would make.
    """

    __slots__ = (
        "borrowed_tokens",
        "borrowing",
        "busy",
        "end_reserve",
        "era",
        "free_at_last_contact",
        "handing_back",
        "limit",
        "row",
        "short_until_s",
        "unfolded",
        "unresolved",
        "version",
        "waiters",
        "workspace",
    )

    def __init__(self, workspace: str, end_reserve: EndReserve):
        self.workspace = workspace
        self.end_reserve = end_reserve
        self.row: AccountRow | None = None
        self.unfolded: AccountRow | None = None
        self.version = 0
        self.era = -1
        self.limit = (0, 0)
        self.busy = False
        self.free_at_last_contact = 0
        self.borrowed_tokens = 0
        self.borrowing = False
        self.handing_back = False
        self.short_until_s = 0.0
        self.waiters: list[WaitingRequest] = []
        self.unresolved: tuple[int, AccountRow] | None = None

    @property
    def waiting_tokens(self) -> int:
        """What all waiting requests need together."""
        return sum(waiter.tokens for waiter in self.waiters)

    @property
    def all_from_reserve(self) -> bool:
        """Whether all that wait are served out of what is kept for the end."""
        return bool(self.waiters) and all(waiter.from_reserve for waiter in self.waiters)
