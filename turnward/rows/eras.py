# SPDX-License-Identifier: BSD-3-Clause
"""Versions of a store that may be restored from an older copy.

After such a rollback the store assigns numbers again that it has already assigned to other writes.
Its responses carry its era, which rises by one with each rollback. A number is therefore only
meaningful together with the era in which it was assigned.
"""

from collections.abc import Callable

from turnward.rows.errors import HistoryUnavailableError, RowsUnavailableError, VersionConflictError

__all__ = ["RowVersion", "StoreEras"]

_NUMBER_BITS = 48
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


class RowVersion(int):
    """A version of the store: an era, and a number assigned in it.

    Versions are ordered by era, then by number. Those of a store without eras are of era 0, and
    the value 0 stands for no version. Within a process both are packed into one integer; messages
    have separate fields for them.

    Examples
    --------
    >>> RowVersion.of(2, 7) > RowVersion.of(1, 900)
    True
    >>> str(RowVersion.of(2, 7)), str(RowVersion.of(0, 7))
    ('2/7', '7')
    """

    __slots__ = ()

    @classmethod
    def of(cls, era: int, number: int) -> "RowVersion":
        """Return the version with a number of an era."""
        return cls((era << _NUMBER_BITS) | number)

    @property
    def era(self) -> int:
        """Era in which the number was assigned."""
        return self >> _NUMBER_BITS

    @property
    def number(self) -> int:
        """Number within the era; 0 for a row that does not exist."""
        return self & _NUMBER_MASK

    def __str__(self) -> str:
        return f"{self.era}/{self.number}" if self.era else str(self.number)

    __repr__ = __str__


class StoreEras:
    """Tracks the era of the store for one client.

    Attributes
    ----------
    known : int or None
        The latest era of a response; None before the first.
    """

    def __init__(self):
        self.known: int | None = None
        self._listeners: list[Callable[[int], None]] = []

    @property
    def current(self) -> int:
        """Era of new versions; 0 for a store without eras."""
        return self.known or 0

    def listen(self, listener: Callable[[int], None]) -> None:
        """Call ``listener(era)`` after each rollback of the store."""
        self._listeners.append(listener)

    def observe_era(self, era: int) -> None:
        """Record the era of a response, and call the listeners if it shows a rollback.

        Raises
        ------
        RowsUnavailableError
            The response is of an earlier era, and its contents may have been lost since.
        """
        if era < self.current:
            raise RowsUnavailableError(f"response of era {era} in era {self.current}")
        rolled_back = self.known is not None and era > self.known
        self.known = era
        if rolled_back:
            for listener in self._listeners:
                listener(era)

    def version(self, number: int) -> RowVersion:
        """Return the version with a number of the current era."""
        return RowVersion.of(self.current, number)

    def expected_number(self, expected: int) -> int:
        """Return the number to send for an expected version; 0 if the row must not exist.

        Raises
        ------
        VersionConflictError
            The version is of another era. Its number may have been assigned again since, so that
            the condition could hold by coincidence.
        """
        expected = RowVersion(expected)
        if expected.number and expected.era != self.current:
            raise VersionConflictError(
                f"expected version {expected} is not of the current era {self.current}"
            )
        return expected.number

    def after_number(self, after: int) -> int:
        """Return the number to send for a version after which changes are requested.

        Raises
        ------
        HistoryUnavailableError
            The version is of another era, so that the changes since are unknown.
        """
        after = RowVersion(after)
        if after.era != self.current:
            raise HistoryUnavailableError(
                f"version {after} is not of the current era {self.current}"
            )
        return after.number
