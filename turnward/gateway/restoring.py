# SPDX-License-Identifier: BSD-3-Clause
"""Restores the rows of workspaces' tokens after a rollback of the store to an older copy.

Grants that routers took after the copy was made are missing from the rows, but are spent all the
same. So before a router takes or returns tokens in a new era of the store, it restores the row: it
claims the grant that it holds itself, and counts as taken whatever the latest known row before the
rollback recorded for others and nobody has claimed yet. It first waits for the routers' updates of
the last writes before the rollback.
"""

from turnward.gateway.account_updates import AccountUpdates
from turnward.gateway.accounts import (
    ROW_NAME,
    TABLE,
    AccountRow,
    decode_account,
    encode_account,
    restore_account,
    taken_tokens,
    with_limit,
    with_prior_version,
)
from turnward.gateway.workspace_account import WorkspaceAccount
from turnward.ledger import GrantLedger
from turnward.rows import (
    RowChange,
    RowKey,
    StoredRow,
    VersionConflictError,
    VersionedStoreBase,
    VersionedTransaction,
)

__all__ = ["AccountRestorer"]

#: No tokens are taken for this long after a rollback: several rounds of messages among routers.
_UPDATES_WAIT_S = 0.75
#: Consecutive conflicts after which a row is left for the next attempt.
_CONFLICT_LIMIT = 30


class AccountRestorer:
    """Restores rows that were not yet restored in the store's current era.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Store of the rows.
    incarnation : str
        Incarnation of this router.
    ledger : GrantLedger
        Ledger of this router's grants.
    updates : AccountUpdates
        Latest known rows, also of before the rollback.
    log : GatewayLog
        Logs each restored row.
    """

    def __init__(
        self,
        reactor,
        store: VersionedStoreBase,
        incarnation: str,
        ledger: GrantLedger,
        updates: AccountUpdates,
        log,
    ):
        self._reactor = reactor
        self._store = store
        self._incarnation = incarnation
        self._ledger = ledger
        self._updates = updates
        self._log = log
        self._rolled_back = False
        self._has_waited = False
        self._wait_until_s = 0.0
        store.eras.listen(self._on_rollback)

    def _on_rollback(self, era: int) -> None:
        self._rolled_back = True
        self._wait_for_updates()
        self._updates.announce_all()

    def _wait_for_updates(self) -> None:
        self._has_waited = True
        self._wait_until_s = self._reactor.seconds() + _UPDATES_WAIT_S

    @property
    def remaining_wait_s(self) -> float:
        """Time for which no tokens may be taken, while other routers may claim their grants."""
        return max(0.0, self._wait_until_s - self._reactor.seconds())

    @property
    def workspaces(self) -> list[str]:
        """Workspaces whose rows may have to be restored."""
        return self._updates.workspaces if self._rolled_back else []

    def is_current(self, account: WorkspaceAccount) -> bool:
        """Return whether a row records this router's grant in the store's current era."""
        return account.era == self._store.eras.current

    def needs_restore(self, account: WorkspaceAccount) -> bool:
        """Return whether a row has to be restored."""
        if not self._rolled_back or self.is_current(account):
            return False
        known = self._updates.latest_before(account.workspace, self._store.eras.current)
        return known is not None or self._held_tokens(account) != 0

    def observe_row(self, account: WorkspaceAccount, stored: AccountRow, row: StoredRow) -> None:
        """Observe a row as read, and mark it for another restore if a stale write replaced it.

        A writer that does not know of the rollback may overwrite a restored row: its condition
        holds where the store has assigned the expected version number again.
        """
        if not self.is_current(account):
            return
        overwritten = stored.era not in (None, self._store.eras.known)
        claimed = stored.granted_tokens.get(self._incarnation, 0)
        if row.version and (overwritten or claimed < self._held_tokens(account)):
            account.era = -1
        elif row.version:
            self._updates.record_read(account.workspace, row.version, taken_tokens(stored))

    def _held_tokens(self, account: WorkspaceAccount) -> int:
        """Return the grant that the row has to record for this router, without borrowed tokens."""
        return self._ledger.granted_tokens(account.workspace) - account.borrowed_tokens

    async def restore(self, account: WorkspaceAccount) -> StoredRow | None:
        """Restore a row and return it as stored then, or None if it has to wait.

        Raises
        ------
        RowStoreError
            The store was not reached, or its response was lost. Retries are idempotent.
        """
        key = RowKey(TABLE, account.workspace, ROW_NAME)
        row = await self._store.read_row(key)
        for _ in range(_CONFLICT_LIMIT):
            stored = decode_account(row)
            target = self._target(account, stored, row)
            if target is None:
                return None
            if target == stored:
                return self._mark_current(account, row)
            expected = 0 if row.gone else row.version
            target = with_prior_version(target, expected, target.era)
            value = encode_account(with_limit(target, account.limit))
            change = RowChange(key, value, expected)
            try:
                version = await self._store.transact(VersionedTransaction((change,)))
            except VersionConflictError as conflict:
                row = conflict.rows[0] if conflict.rows else await self._store.read_row(key)
                continue
            self._updates.record_written(account.workspace, version, taken_tokens(target))
            self._log_restored(account, stored, target)
            return self._mark_current(account, StoredRow(key, change.value, version))
        return None

    def _target(
        self, account: WorkspaceAccount, stored: AccountRow, row: StoredRow
    ) -> AccountRow | None:
        """Return the restored account of a row, or None while updates of others are awaited."""
        era = self._store.eras.known
        if era is None:
            return stored
        held = self._held_tokens(account)
        known = self._updates.latest(account.workspace)
        if self._is_untouched(account, stored, row, held):
            return stored
        if row.version and stored.era == era:
            known = self._updates.latest_before(account.workspace, era)
            return restore_account(stored, era, self._incarnation, held, known)
        unknown = not row.version and not held and known is None
        if unknown and not self._rolled_back:
            # The first request of a workspace need not wait: any router that knew the row would
            # have announced it.
            return stored
        # According to the row, no router has restored it in this era.
        if not self._has_waited:
            self._wait_for_updates()
        if self.remaining_wait_s > 0 and not held:
            # Left to the routers that hold a grant, which know more of the row.
            return None
        if unknown:
            return stored
        return restore_account(stored, era, self._incarnation, held, known)

    def _is_untouched(
        self, account: WorkspaceAccount, stored: AccountRow, row: StoredRow, held: int
    ) -> bool:
        """Return whether a row lost nothing, as far as known; older versions write no era."""
        era = self._store.eras.known
        lost = self._updates.latest_before(account.workspace, era) is not None
        claimed = stored.granted_tokens.get(self._incarnation, 0) >= held
        era_matches = bool(row.version) and stored.era in (None, era)
        return era_matches and claimed and not lost and not self._rolled_back

    def _mark_current(self, account: WorkspaceAccount, row: StoredRow) -> StoredRow:
        account.era = self._store.eras.current
        account.version = 0
        # Whether or not the unresolved write took effect, the row records the held tokens now.
        account.unresolved = None
        return row

    def _log_restored(
        self, account: WorkspaceAccount, stored: AccountRow, target: AccountRow
    ) -> None:
        self._log.event(
            "prepaid.restored",
            workspace=account.workspace,
            era=target.era,
            held=self._held_tokens(account),
            taken_before=taken_tokens(stored),
            taken=taken_tokens(target),
            unattributed=target.unattributed_tokens,
        )
