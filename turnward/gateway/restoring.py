# SPDX-License-Identifier: BSD-3-Clause
"""Brings rows of workspaces' tokens in line after the store came back from an older copy.

Grants that routers took in the lost seconds are gone from the rows, and are spent all the same. So
before a router takes or gives back anything in an era, it makes the row say what it holds itself,
and what the latest row before the return is known to have said of all others: what nobody has
claimed yet stays counted as taken. It also waits until word of the last writes has come round.
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

#: Seconds from the return on in which nothing is taken: several rounds of messages among routers.
_WORD_S = 0.75
#: Conflicts in a row after which a row is left for the next look.
_CONFLICT_LIMIT = 30


class AccountRestorer:
    """Tells whether rows are in line with the store's era, and brings them there.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    store : VersionedStoreBase
        Holds the rows.
    incarnation : str
        This router.
    ledger : GrantLedger
        Knows what this router was granted.
    news : AccountUpdates
        Knows what rows said before the return.
    log : GatewayLog
        Told of each row that was brought in line.
    """

    def __init__(
        self,
        reactor,
        store: VersionedStoreBase,
        incarnation: str,
        ledger: GrantLedger,
        news: AccountUpdates,
        log,
    ):
        self._reactor = reactor
        self._store = store
        self._incarnation = incarnation
        self._ledger = ledger
        self._news = news
        self._log = log
        self._returned = False
        self._waited = False
        self._waits_until_s = 0.0
        store.eras.listen(self._note_return)

    def _note_return(self, era: int) -> None:
        self._returned = True
        self._wait_for_word()
        self._news.announce_all()

    def _wait_for_word(self) -> None:
        self._waited = True
        self._waits_until_s = self._reactor.seconds() + _WORD_S

    @property
    def remaining_wait_s(self) -> float:
        """For how long nothing may be taken: a router may still be about to claim what it holds."""
        return max(0.0, self._waits_until_s - self._reactor.seconds())

    @property
    def workspaces(self) -> list[str]:
        """The workspaces whose rows may have to be brought in line."""
        return self._news.workspaces if self._returned else []

    def is_current(self, account: WorkspaceAccount) -> bool:
        """Tell whether a row says what is held here, in the store's present era."""
        return account.era == self._store.eras.current

    def needs_restore(self, account: WorkspaceAccount) -> bool:
        """Tell whether a row has to be brought in line."""
        if not self._returned or self.is_current(account):
            return False
        known = self._news.latest_before(account.workspace, self._store.eras.current)
        return known is not None or self._held_tokens(account) != 0

    def observe_row(self, account: WorkspaceAccount, stored: AccountRow, row: StoredRow) -> None:
        """Take in a row as it was read; one that an unaware writer has undone is not in line.

        Such a writer did not know of the return, and its condition held since the number that it
        names was given out again.
        """
        if not self.is_current(account):
            return
        undone = stored.era not in (None, self._store.eras.known)
        claimed = stored.granted_tokens.get(self._incarnation, 0)
        if row.version and (undone or claimed < self._held_tokens(account)):
            account.era = -1
        elif row.version:
            self._news.record_read(account.workspace, row.version, taken_tokens(stored))

    def _held_tokens(self, account: WorkspaceAccount) -> int:
        """Return what the row has to say of this router: all it was granted by it."""
        return self._ledger.granted_tokens(account.workspace) - account.borrowed_tokens

    async def restore(self, account: WorkspaceAccount) -> StoredRow | None:
        """Bring a row in line; return it as it stands then, None where it has to wait.

        Raises
        ------
        RowStoreError
            The store was not reached, or its answer was lost. Done again, it comes to the same.
        """
        key = RowKey(TABLE, account.workspace, ROW_NAME)
        row = await self._store.read_row(key)
        for _ in range(_CONFLICT_LIMIT):
            stored = decode_account(row)
            wanted = self._wanted(account, stored, row)
            if wanted is None:
                return None
            if wanted == stored:
                return self._in_line(account, row)
            expected = 0 if row.gone else row.version
            wanted = with_prior_version(wanted, expected, wanted.era)
            value = encode_account(with_limit(wanted, *account.limit))
            change = RowChange(key, value, expected)
            try:
                version = await self._store.transact(VersionedTransaction((change,)))
            except VersionConflictError as conflict:
                row = conflict.rows[0] if conflict.rows else await self._store.read_row(key)
                continue
            self._news.record_written(account.workspace, version, taken_tokens(wanted))
            self._log_restored(account, stored, wanted)
            return self._in_line(account, StoredRow(key, change.value, version))
        return None

    def _wanted(
        self, account: WorkspaceAccount, stored: AccountRow, row: StoredRow
    ) -> AccountRow | None:
        """Return what a row has to say; None while others may be about to say it."""
        era = self._store.eras.known
        if era is None:
            return stored
        held = self._held_tokens(account)
        known = self._news.latest(account.workspace)
        if self._is_untouched(account, stored, row, held):
            return stored
        if row.version and stored.era == era:
            known = self._news.latest_before(account.workspace, era)
            return restore_account(stored, era, self._incarnation, held, known)
        unknown = not row.version and not held and known is None
        if unknown and not self._returned:
            # The first request of a workspace waits for nobody; who knew the row would have told.
            return stored
        # Nobody has acted on this row in this era, so far as it says.
        if not self._waited:
            self._wait_for_word()
        if self.remaining_wait_s > 0 and not held:
            # Those that hold something know more.
            return None
        if unknown:
            return stored
        return restore_account(stored, era, self._incarnation, held, known)

    def _is_untouched(
        self, account: WorkspaceAccount, stored: AccountRow, row: StoredRow, held: int
    ) -> bool:
        """Tell whether nothing is known to be lost of a row; builds without eras name none."""
        era = self._store.eras.known
        lost = self._news.latest_before(account.workspace, era) is not None
        claimed = stored.granted_tokens.get(self._incarnation, 0) >= held
        fits = bool(row.version) and stored.era in (None, era)
        return fits and claimed and not lost and not self._returned

    def _in_line(self, account: WorkspaceAccount, row: StoredRow) -> StoredRow:
        account.era = self._store.eras.current
        account.version = 0
        # Whatever became of it, the row says now what is held.
        account.unresolved = None
        return row

    def _log_restored(
        self, account: WorkspaceAccount, stored: AccountRow, wanted: AccountRow
    ) -> None:
        self._log.event(
            "prepaid.restored",
            workspace=account.workspace,
            era=wanted.era,
            held=self._held_tokens(account),
            taken_before=taken_tokens(stored),
            taken=taken_tokens(wanted),
            unattributed=wanted.unattributed_tokens,
        )
