# SPDX-License-Identifier: BSD-3-Clause
"""The row of a workspace's prepaid tokens, and its changes: pure functions."""

import msgspec

from turnward.gateway.account_updates import TakenTokens
from turnward.rows import RowVersion, StoredRow

__all__ = [
    "ROW_NAME",
    "TABLE",
    "AccountRow",
    "with_prior_version",
    "change_grant",
    "decode_account",
    "encode_account",
    "fold_predecessors",
    "restore_account",
    "taken_tokens",
    "ungranted_tokens",
    "with_limit",
]


#: Where the rows lie; their part is the workspace.
TABLE = "prepaid"
ROW_NAME = "account"


class AccountRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """The row of one workspace.

    Attributes
    ----------
    limit_tokens : int
        As of ``limit_version`` of the configuration.
    ended_tokens : int
        Spent by incarnations whose grants were folded.
    granted_tokens : dict
        By incarnation: all it was granted less what it gave back.
    era : int or None
        Of the store, in which the row was written; None where the store names none, or by a build
        that knows none.
    prior_era, prior_number : int
        Version of the row that this one was written in place of.
    base_era, base_number, base_tokens : int
        Version of the row of an earlier era that this one goes on from, and what was taken as of
        then.
    unattributed_tokens : int
        What is taken besides, by routers that have not said so since the store came back; below 0
        where the row says more of them than that.
    """

    limit_tokens: int = 0
    limit_version: int = 0
    ended_tokens: int = 0
    granted_tokens: dict[str, int] = {}
    era: int | None = None
    prior_era: int = 0
    prior_number: int = 0
    base_era: int = 0
    base_number: int = 0
    base_tokens: int = 0
    unattributed_tokens: int = 0

    @property
    def prior(self) -> RowVersion:
        """Version of the row that this one was written in place of."""
        return RowVersion.of(self.prior_era, self.prior_number)

    @property
    def base(self) -> RowVersion:
        """Version of the row of an earlier era that this one goes on from."""
        return RowVersion.of(self.base_era, self.base_number)


def decode_account(row: StoredRow) -> AccountRow:
    """Return a row's account; a missing row is an empty account."""
    if row.version == 0 or row.gone or not row.value:
        return AccountRow()
    return msgspec.json.decode(row.value, type=AccountRow)


def encode_account(account: AccountRow) -> bytes:
    """Return the bytes of an account's row."""
    return msgspec.json.encode(account)


def with_limit(account: AccountRow, limit_tokens: int, limit_version: int) -> AccountRow:
    """Return the account under a limit, unless a newer one is known to it.

    Examples
    --------
    >>> with_limit(AccountRow(limit_tokens=5, limit_version=3), 9, 2).limit_tokens
    5
    """
    if limit_version <= account.limit_version:
        return account
    return msgspec.structs.replace(account, limit_tokens=limit_tokens, limit_version=limit_version)


def taken_tokens(account: AccountRow) -> int:
    """Return what routers hold or have spent.

    Examples
    --------
    >>> taken_tokens(AccountRow(10, 1, 2, {"a": 3}, unattributed_tokens=4))
    9
    """
    granted = sum(account.granted_tokens.values())
    return account.ended_tokens + granted + max(0, account.unattributed_tokens)


def ungranted_tokens(account: AccountRow) -> int:
    """Return what no router holds; below 0 after the limit was lowered.

    Examples
    --------
    >>> ungranted_tokens(AccountRow(10, 1, 2, {"a": 3}))
    5
    """
    return account.limit_tokens - taken_tokens(account)


def change_grant(account: AccountRow, incarnation: str, delta_tokens: int) -> AccountRow:
    """Return the account with an incarnation's grant changed; a grant of 0 is left out."""
    granted = dict(account.granted_tokens)
    granted[incarnation] = granted.get(incarnation, 0) + delta_tokens
    if not granted[incarnation]:
        del granted[incarnation]
    return msgspec.structs.replace(account, granted_tokens=granted)


def fold_predecessors(
    account: AccountRow, node: str, incarnation: str, bounds: dict[str, int]
) -> AccountRow:
    """Return the account with the grants of a node's earlier incarnations folded.

    What they held counts as spent, up to the most that they can have spent
    where that is known: ``bounds`` has it by incarnation.
    """
    prefix = f"{node}@"
    ended = {
        name: tokens
        for name, tokens in account.granted_tokens.items()
        if name.startswith(prefix) and name != incarnation
    }
    if not ended:
        return account
    granted = {name: tokens for name, tokens in account.granted_tokens.items() if name not in ended}
    spent = sum(min(tokens, max(0, bounds.get(name, tokens))) for name, tokens in ended.items())
    return msgspec.structs.replace(
        account, ended_tokens=account.ended_tokens + spent, granted_tokens=granted
    )


def with_prior_version(account: AccountRow, version: int, era: int | None) -> AccountRow:
    """Return a row as it is written in an era, in place of the row with a version."""
    version = RowVersion(version)
    return msgspec.structs.replace(
        account, era=era, prior_era=version.era, prior_number=version.number
    )


def restore_account(
    account: AccountRow,
    era: int,
    incarnation: str,
    held_tokens: int,
    known: TakenTokens | None,
) -> AccountRow:
    """Return a row as it has to be in an era: with what is held, and all that is known as taken.

    Whatever order routers do this in, what is taken is as much as the latest row that one of them
    knows of said, and nothing is counted both for its holder and as unattributed.

    Parameters
    ----------
    account : AccountRow
        The row as it stands.
    held_tokens : int
        What this incarnation holds.
    known : TakenTokens or None
        What the latest row known said: of earlier eras, where the row is of this one already.

    Examples
    --------
    >>> copy = AccountRow(100, granted_tokens={"a": 10, "b": 10}, era=1, prior_era=1)
    >>> known = TakenTokens(RowVersion.of(1, 9), 60)
    >>> first = restore_account(copy, 2, "a", 25, known)
    >>> first.granted_tokens, first.unattributed_tokens, taken_tokens(first)
    ({'a': 25, 'b': 10}, 25, 60)
    >>> second = restore_account(first, 2, "b", 35, None)
    >>> second.granted_tokens, second.unattributed_tokens
    ({'a': 25, 'b': 35}, 0)
    """
    unattributed = account.unattributed_tokens
    if account.era != era:
        # Nobody has acted on the return so far. Of the row's own version only the number is known:
        # a late write may have put it there since. What is known of the row itself changes nothing.
        base = account.prior
        unattributed = max(0, unattributed)
        tokens = taken_tokens(account)
    else:
        base, tokens = account.base, account.base_tokens
    if known is not None and known.version > base:
        unattributed += known.tokens - tokens
        base, tokens = known.version, known.tokens
    before = account.granted_tokens.get(incarnation, 0)
    restored = msgspec.structs.replace(
        account,
        era=era,
        base_era=base.era,
        base_number=base.number,
        base_tokens=tokens,
        unattributed_tokens=unattributed - (held_tokens - before),
    )
    return change_grant(restored, incarnation, held_tokens - before)
