# SPDX-License-Identifier: BSD-3-Clause
"""The row of a workspace's prepaid tokens, and its changes: pure functions."""

import msgspec

from turnward.rows import StoredRow

__all__ = [
    "AccountRow",
    "change_grant",
    "decode_account",
    "encode_account",
    "fold_ended",
    "ungranted_tokens",
    "with_limit",
]


class AccountRow(msgspec.Struct, frozen=True):
    """The row of one workspace.

    Attributes
    ----------
    limit_tokens : int
        As of ``limit_version`` of the configuration.
    ended_tokens : int
        Spent by incarnations whose grants were folded.
    granted_tokens : dict
        By incarnation: all it was granted less what it gave back.
    """

    limit_tokens: int = 0
    limit_version: int = 0
    ended_tokens: int = 0
    granted_tokens: dict[str, int] = {}


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


def ungranted_tokens(account: AccountRow) -> int:
    """Return what no router holds; below 0 after the limit was lowered.

    Examples
    --------
    >>> ungranted_tokens(AccountRow(10, 1, 2, {"a": 3}))
    5
    """
    return account.limit_tokens - account.ended_tokens - sum(account.granted_tokens.values())


def change_grant(account: AccountRow, incarnation: str, delta_tokens: int) -> AccountRow:
    """Return the account with an incarnation's grant changed; a grant of 0 is left out."""
    granted = dict(account.granted_tokens)
    granted[incarnation] = granted.get(incarnation, 0) + delta_tokens
    if not granted[incarnation]:
        del granted[incarnation]
    return msgspec.structs.replace(account, granted_tokens=granted)


def fold_ended(
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
