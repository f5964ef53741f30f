# SPDX-License-Identifier: BSD-3-Clause
"""Errors of the store of versioned rows."""

from turnward.errors import TurnwardError

__all__ = [
    "HistoryUnavailableError",
    "RowOutcomeUnknownError",
    "RowStoreError",
    "RowsUnavailableError",
    "VersionConflictError",
]


class RowStoreError(TurnwardError):
    """Base class of errors of the store of versioned rows."""


class RowsUnavailableError(RowStoreError):
    """The call did not take effect: the store was not reached or refused it."""


class RowOutcomeUnknownError(RowStoreError):
    """The call was sent without a response: it may have taken effect, or still may."""


class HistoryUnavailableError(RowStoreError):
    """The store does not have the requested changes; the table has to be read again."""


class VersionConflictError(RowStoreError):
    """A row did not have the expected version; nothing was written.

    Parameters
    ----------
    message : str
        Description of the conflict.
    rows : tuple of StoredRow, optional
        Current state of the rows with expected versions, if the store returned it.
    """

    def __init__(self, message, rows=()):
        super().__init__(message)
        self.rows = tuple(rows)
