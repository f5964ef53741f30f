# SPDX-License-Identifier: BSD-3-Clause
"""Versions of a store that may come back from an older copy.

After such a return the store gives out numbers again that it had given out before, for other
writes. It names its era in its answers; the era rises by one with each return. So a number tells
something only together with the era in which it was given out.
"""

from collections.abc import Callable

from turnward.rows.errors import HistoryUnavailableError, RowsUnavailableError, VersionConflictError

__all__ = ["RowVersion", "StoreEras"]

#: Bits of a packed version that hold the number.
_NUMBER_BITS = 48
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1


class RowVersion(int):
    """A version of the store: the era in which it was given out, and its number there.

    It sorts by era first, and equals no version of another era. Versions of a store that names no
    eras are of era 0. 0 is no version. The pair is packed into one integer inside a process; what
    leaves it has era and number apart.

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
        """Return the version with a number that was given out in an era."""
        return cls((era << _NUMBER_BITS) | number)

    @property
    def era(self) -> int:
        """The era in which it was given out."""
        return self >> _NUMBER_BITS

    @property
    def number(self) -> int:
        """Its number in its era; 0 where it stands for a row that is not there."""
        return self & _NUMBER_MASK

    def __str__(self) -> str:
        return f"{self.era}/{self.number}" if self.era else str(self.number)

    __repr__ = __str__


class StoreEras:
    """The era of the store as one client of it knows it.

    Attributes
    ----------
    known : int or None
        The latest era that an answer named; None before any.
    """

    def __init__(self):
        self.known: int | None = None
        self._listeners: list[Callable[[int], None]] = []

    @property
    def current(self) -> int:
        """The era that new versions are of; 0 for a store that names none."""
        return self.known or 0

    def listen(self, listener: Callable[[int], None]) -> None:
        """Call ``listener(era)`` each time that the store has come back from a copy."""
        self._listeners.append(listener)

    def observe_era(self, era: int) -> None:
        """Take in the era that an answer names.

        Raises
        ------
        RowsUnavailableError
            The answer is of an earlier era: what it tells has been lost since.
        """
        if era < self.current:
            raise RowsUnavailableError(f"an answer of era {era}, in era {self.current}")
        returned = self.known is not None and era > self.known
        self.known = era
        if returned:
            for listener in self._listeners:
                listener(era)

    def version(self, number: int) -> RowVersion:
        """Return the version with a number that was given out in the current era."""
        return RowVersion.of(self.current, number)

    def expected_number(self, expected: int) -> int:
        """Return what to send for a version that a row must have; 0 where it must not be there.

        Raises
        ------
        VersionConflictError
            The version is of an earlier era. Its number may have been given out again, and the
            condition would hold by chance.
        """
        expected = RowVersion(expected)
        if expected.number and expected.era != self.current:
            raise VersionConflictError(f"version {expected}, in era {self.current}")
        return expected.number

    def after_number(self, after: int) -> int:
        """Return what to send for a version after which changes are asked for.

        Raises
        ------
        HistoryUnavailableError
            The version is of another era: nobody can tell what has changed since.
        """
        after = RowVersion(after)
        if after.era != self.current:
            raise HistoryUnavailableError(f"version {after}, in era {self.current}")
        return after.number
