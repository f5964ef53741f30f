# SPDX-License-Identifier: BSD-3-Clause
"""One router's state of one workspace's prepaid tokens."""

from twisted.internet import defer

from turnward.gateway.accounts import AccountRow, TokenLimit
from turnward.gateway.end_reserve import EndReserve
from turnward.gateway.spend_bounds import RecentMaximum

__all__ = ["WaitingRequest", "WorkspaceAccount"]


class WaitingRequest:
    """A request that waits for tokens.

    Attributes
    ----------
    tokens : int
        Most tokens that it may use.
    from_reserve : bool
        Whether it is served from the end reserve.
    deferred : Deferred
        Fires with a ``Reservation`` or a refusal.
    """

    __slots__ = ("deferred", "from_reserve", "tokens")

    def __init__(self, tokens: int, from_reserve: bool = False):
        self.tokens = tokens
        self.from_reserve = from_reserve
        self.deferred: defer.Deferred = defer.Deferred()


class WorkspaceAccount:
    """One workspace's row as last read, and the operations in progress on it.

    Attributes
    ----------
    workspace : str
        The workspace's name.
    row : AccountRow or None
        The row as last read, with the grants of earlier incarnations folded.
    row_before_fold : AccountRow or None
        The row without that fold, until the fold is written; else None.
    version : RowVersion
        The row's version; 0 if there is no row.
    era : int
        The store's era in which the row is known to record the tokens held here; negative if
        there is none.
    limit : TokenLimit or None
        The limit in the configuration; None if no configuration with one is known here. Until
        then, the row's limit may be that of an earlier configuration, or missing.
    end_reserve : EndReserve
        The reserve at the end of the limit.
    busy, borrowing, returning : bool
        Whether the grant is being updated, a loan is being requested, or tokens are being
        returned to a holder.
    free_tokens_when_reachable : int
        Free tokens when the store was last reached.
    borrowed_tokens : int
        Total of the tokens that peers have lent here or returned; not covered by the own grant.
    short_until_s : float
        Time until which the shortage is announced to peers.
    request_sizes : RecentMaximum
        Tokens of the largest request seen lately.
    waiters : list of WaitingRequest
        Requests that wait for tokens.
    unresolved : tuple or None
        A change whose response was lost: its tokens, and the account it would have written.
    """

    __slots__ = (
        "borrowed_tokens",
        "borrowing",
        "busy",
        "end_reserve",
        "era",
        "free_tokens_when_reachable",
        "returning",
        "limit",
        "request_sizes",
        "row",
        "short_until_s",
        "row_before_fold",
        "unresolved",
        "version",
        "waiters",
        "workspace",
    )

    def __init__(self, workspace: str, end_reserve: EndReserve):
        self.workspace = workspace
        self.end_reserve = end_reserve
        self.row: AccountRow | None = None
        self.row_before_fold: AccountRow | None = None
        self.version = 0
        self.era = -1
        self.limit: TokenLimit | None = None
        self.busy = False
        self.free_tokens_when_reachable = 0
        self.borrowed_tokens = 0
        self.borrowing = False
        self.returning = False
        self.short_until_s = 0.0
        self.request_sizes = RecentMaximum()
        self.waiters: list[WaitingRequest] = []
        self.unresolved: tuple[int, AccountRow] | None = None

    @property
    def waiting_tokens(self) -> int:
        """Tokens needed by all waiting requests together."""
        return sum(waiter.tokens for waiter in self.waiters)

    @property
    def all_from_reserve(self) -> bool:
        """Whether requests are waiting and all of them are served from the end reserve."""
        return bool(self.waiters) and all(waiter.from_reserve for waiter in self.waiters)
