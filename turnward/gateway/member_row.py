# SPDX-License-Identifier: BSD-3-Clause
"""Writes a router's own row in the table of members, in which peers find its address."""

import random
from collections.abc import Callable

from twisted.internet import defer, task

from turnward.gateway.members import MEMBERS_TABLE, Member, encode_member
from turnward.rows import (
    RowChange,
    RowKey,
    RowStoreError,
    VersionConflictError,
    VersionedStoreBase,
    VersionedTransaction,
)

__all__ = ["MemberRow"]

#: Range of the random delay before a failed call is retried.
_RETRY_DELAY_S = (0.3, 0.9)


class MemberRow:
    """The row of this router.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Holds the table of members.
    node : str
        Key of the row.
    member : Member
        Its value.
    rng : random.Random
        Draws the delays of retries.
    is_stopping : callable
        Returns whether the process is about to end, and needs no row any more.
    """

    def __init__(
        self,
        reactor,
        store: VersionedStoreBase,
        node: str,
        member: Member,
        rng: random.Random,
        is_stopping: Callable[[], bool],
    ):
        self._reactor = reactor
        self._store = store
        self._key = RowKey(MEMBERS_TABLE, "", node)
        self._value = encode_member(member)
        self._rng = rng
        self._is_stopping = is_stopping

    def write(self) -> None:
        """Write the row unless the store has it; repeat failed calls."""
        defer.ensureDeferred(self._write())

    async def _write(self) -> None:
        while not self._is_stopping():
            try:
                row = await self._store.read_row(self._key)
                if row.value != self._value or row.gone:
                    change = RowChange(self._key, self._value, 0 if row.gone else row.version)
                    await self._store.transact(VersionedTransaction((change,)))
                return
            except (RowStoreError, VersionConflictError):
                await task.deferLater(self._reactor, self._rng.uniform(*_RETRY_DELAY_S))
