# SPDX-License-Identifier: BSD-3-Clause
"""How connections of one purpose use the machine's link."""

from collections.abc import Callable

__all__ = ["LinkUse"]


class LinkUse:
    """The bytes that connections carry, and how long they take to open.

    Attributes
    ----------
    received, sent : int
        Bytes that were read from sockets, and that were handed to them, without the headers of
        packets.
    on_opened : callable
        Called with the time in seconds in which a connection to another machine opened.
    """

    __slots__ = ("on_opened", "received", "sent")

    def __init__(self):
        self.received = 0
        self.sent = 0
        self.on_opened: Callable[[float], None] = _ignore


def _ignore(opened_in_s: float) -> None:
    """Default for callbacks."""
