# SPDX-License-Identifier: BSD-3-Clause
"""Errors between routers."""

from turnward.errors import TurnwardError

__all__ = ["PeerError", "PeerUnreachableError"]


class PeerError(TurnwardError):
    """Base class of errors between routers."""


class PeerUnreachableError(PeerError):
    """No answer came from the peer; the message may or may not have arrived."""
