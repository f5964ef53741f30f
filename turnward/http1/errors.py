# SPDX-License-Identifier: BSD-3-Clause
"""Errors of the HTTP layer."""

from turnward.errors import TurnwardError

__all__ = ["Http1Error", "NotSentError", "UnansweredError"]


class Http1Error(TurnwardError):
    """Base class of errors raised by this package."""


class NotSentError(Http1Error):
    """No connection could be opened, so no byte of the request was sent."""


class UnansweredError(Http1Error):
    """The request may have been sent, in full or in part, but no complete response was received."""
