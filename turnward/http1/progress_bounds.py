# SPDX-License-Identifier: BSD-3-Clause
"""Bounds on received bytes that bring an exchange no further."""

__all__ = ["ProgressBounds"]

#: Most bytes in a row that bring no part of a response's body: heads, interim heads, chunk
#: extensions and trailers. It is several times what servers accept as a head.
_MAX_FRAMING_BYTES = 65_536
#: Most bytes in a row of late responses to earlier requests.
_MAX_SKIPPED_BYTES = 16 * 1024 * 1024


class ProgressBounds:
    """Counts the bytes that an exchange has received since the last part of its body.

    Examples
    --------
    >>> bounds = ProgressBounds()
    >>> bounds.exceeded_after(60_000), bounds.exceeded_after(60_000)
    (False, True)
    >>> bounds.note_body()
    >>> bounds.exceeded_after(60_000)
    False
    """

    __slots__ = ("_framing_bytes", "_has_body", "_has_skipped", "_skipped_bytes")

    def __init__(self):
        self._framing_bytes = 0
        self._skipped_bytes = 0
        self._has_body = False
        self._has_skipped = False

    def note_body(self) -> None:
        """Note that the bytes being parsed hold a part of the exchange's body."""
        self._has_body = True

    def note_skipped(self) -> None:
        """Note that the bytes being parsed hold a part of a late response's body."""
        self._has_skipped = True

    def exceeded_after(self, received_bytes: int) -> bool:
        """Count bytes that were parsed; return whether too many have brought nothing."""
        if self._has_body:
            self._framing_bytes = self._skipped_bytes = 0
        elif self._has_skipped:
            self._skipped_bytes += received_bytes
        else:
            self._framing_bytes += received_bytes
        self._has_body = self._has_skipped = False
        return self._framing_bytes > _MAX_FRAMING_BYTES or self._skipped_bytes > _MAX_SKIPPED_BYTES
