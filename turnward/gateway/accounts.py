# SPDX-License-Identifier: BSD-3-Clause
"""Account row of a workspace's prepaid tokens, and pure functions that change it."""

import msgspec

from turnward.bounds import Integer
from turnward.gateway.account_updates import TakenTokens
from turnward.rows import RowVersion, StoredRow

__all__ = [
    "ROW_NAME",
    "TABLE",
    "AccountRow",
    "TokenLimit",
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


#: Table of the account rows; the workspace is the part of a row's key.
TABLE = "prepaid"
ROW_NAME = "account"


class TokenLimit(msgspec.Struct, frozen=True):
    """Limit of a workspace's tokens, and the version of the configuration that sets it."""

    tokens: Integer
    version: Integer


class AccountRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Account row of one workspace.

    Attributes
    ----------
    limit_tokens : int
        The workspace's limit in version ``limit_version`` of the configuration.
    limit_version : int
        Version of the configuration that ``limit_tokens`` was read from.
    ended_tokens : int
        Spent by terminated incarnations whose grants were folded.
    granted_tokens : dict
        By incarnation, the tokens granted to it less those it returned.
    era : int or None
        Era of the store in which the row was written; None if the store reports no era, or if
        the writer was a version without support for eras.
    prior_era, prior_number : int
        Version of the row that this one replaced.
    base_era, base_number, base_tokens : int
        Version of the row of an earlier era that this one is based on, and the tokens taken
        according to it.
    unattributed_tokens : int
        Tokens known to be taken whose holders have not recorded them in the row since the store
        was restored from an older copy; negative if the row already records more than that.
    """

    limit_tokens: Integer = 0
    limit_version: Integer = 0
    ended_tokens: Integer = 0
    granted_tokens: dict[str, Integer] = {}
    era: Integer | None = None
    prior_era: Integer = 0
    prior_number: Integer = 0
    base_era: Integer = 0
    base_number: Integer = 0
    base_tokens: Integer = 0
    unattributed_tokens: Integer = 0

    @property
    def prior(self) -> RowVersion:
        """Version of the row that this one replaced."""
        return RowVersion.of(self.prior_era, self.prior_number)

    @property
    def base(self) -> RowVersion:
        """Version of the row of an earlier era that this one is based on."""
        return RowVersion.of(self.base_era, self.base_number)


def decode_account(row: StoredRow) -> AccountRow:
    """Decode a stored row; a missing row is an empty account."""
    if row.version == 0 or row.gone or not row.value:
        return AccountRow()
    return msgspec.json.decode(row.value, type=AccountRow)


def encode_account(account: AccountRow) -> bytes:
    """Encode an account as the value of its row."""
    return msgspec.json.encode(account)


def with_limit(account: AccountRow, limit: TokenLimit | None) -> AccountRow:
    """Return the account with a new limit, unless that is not known or not newer.

    Examples
    --------
    >>> with_limit(AccountRow(limit_tokens=5, limit_version=3), TokenLimit(9, 2)).limit_tokens
    5
    """
    if limit is None or limit.version <= account.limit_version:
        return account
    return msgspec.structs.replace(account, limit_tokens=limit.tokens, limit_version=limit.version)


def taken_tokens(account: AccountRow) -> int:
    """Return the tokens that routers hold or have spent.

    Examples
    --------
    >>> taken_tokens(AccountRow(10, 1, 2, {"a": 3}, unattributed_tokens=4))
    9
    """
    granted = sum(account.granted_tokens.values())
    return account.ended_tokens + granted + max(0, account.unattributed_tokens)


def ungranted_tokens(account: AccountRow) -> int:
    """Return the tokens not granted to any router; may be negative after the limit was lowered.

    Examples
    --------
    >>> ungranted_tokens(AccountRow(10, 1, 2, {"a": 3}))
    5
    """
    return account.limit_tokens - taken_tokens(account)


def change_grant(account: AccountRow, incarnation: str, delta_tokens: int) -> AccountRow:
    """Return the account with an incarnation's grant changed; a grant of 0 is removed."""
    granted = dict(account.granted_tokens)
    granted[incarnation] = granted.get(incarnation, 0) + delta_tokens
    if not granted[incarnation]:
        del granted[incarnation]
    return msgspec.structs.replace(account, granted_tokens=granted)


def fold_predecessors(
    account: AccountRow,
    node: str,
    incarnation: str,
    bounds: dict[str, int],
    may_be_returned: bool = False,
) -> AccountRow:
    """Return the account with the grants of a node's earlier incarnations folded.

    Their grants are replaced by the tokens that they may have spent: the upper bound in
    ``bounds`` (by incarnation), or the whole grant where no bound is known.

    With ``may_be_returned``, an earlier fold that the store has lost may have returned the unspent
    tokens already, and others may have taken them. They are free only as far as the row records
    more tokens than were known to be taken.

    Examples
    --------
    >>> row = AccountRow(100, granted_tokens={"n@a": 60, "m@b": 40}, unattributed_tokens=-45)
    >>> taken_tokens(fold_predecessors(row, "n", "n@c", {"n@a": 10}))
    50
    >>> taken_tokens(fold_predecessors(row, "n", "n@c", {"n@a": 10}, may_be_returned=True))
    55
    """
    prefix = f"{node}@"
    predecessors = {
        name: tokens
        for name, tokens in account.granted_tokens.items()
        if name.startswith(prefix) and name != incarnation
    }
    if not predecessors:
        return account
    granted = {
        name: tokens for name, tokens in account.granted_tokens.items() if name not in predecessors
    }
    spent = sum(
        min(tokens, max(0, bounds.get(name, tokens))) for name, tokens in predecessors.items()
    )
    returned = sum(predecessors.values()) - spent if may_be_returned else 0
    return msgspec.structs.replace(
        account,
        ended_tokens=account.ended_tokens + spent,
        granted_tokens=granted,
        unattributed_tokens=account.unattributed_tokens + returned,
    )


def with_prior_version(account: AccountRow, version: int, era: int | None) -> AccountRow:
    """Return the account as written in an era, replacing the row of a given version."""
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
    """Return the account corrected after the store was restored from an older copy.

    The corrected account records the tokens that this incarnation holds, and counts all other
    tokens known to be taken as unattributed until their holders record them. The total does not
    depend on the order in which routers do this: it is at least the total of the latest row that
    any of them knows, and no token is counted both for its holder and as unattributed.

    Parameters
    ----------
    account : AccountRow
        The account as stored.
    era : int
        The store's present era.
    incarnation : str
        This router incarnation.
    held_tokens : int
        Tokens that this incarnation holds.
    known : TakenTokens or None
        Tokens taken according to the latest row known; if ``account`` was already corrected in
        this era, according to the latest row known of earlier eras.

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
        # First correction in this era. The base is the row that this one replaced, as a delayed
        # write may have stored this one after the restore: of its version only the number is sure.
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
