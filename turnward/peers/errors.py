# SPDX-License-Identifier: BSD-3-Clause
"""Errors of the communication between routers."""

from turnward.errors import TurnwardError

__all__ = ["PeerError", "PeerUnreachableError"]


class PeerError(TurnwardError):
    """Base class of errors of the communication between routers."""


class PeerUnreachableError(PeerError):
    """The peer did not respond; the message may or may not have arrived."""
