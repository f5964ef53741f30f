# SPDX-License-Identifier: BSD-3-Clause
"""Counts the bytes that connections of one purpose carry."""

__all__ = ["ByteCount"]


class ByteCount:
    """Bytes received and sent so far, without the headers of packets.

    Attributes
    ----------
    received, sent : int
        Bytes that were read from sockets, and that were handed to them.
    """

    __slots__ = ("received", "sent")

    def __init__(self):
        self.received = 0
        self.sent = 0
