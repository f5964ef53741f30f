# SPDX-License-Identifier: BSD-3-Clause
"""Errors of the HTTP layer."""

from turnward.errors import TurnwardError

__all__ = ["Http1Error", "NotSentError", "UnansweredError"]


class Http1Error(TurnwardError):
    """Base class of the errors of this package."""


class NotSentError(Http1Error):
    """No connection came about: no byte of the request has left this process."""


class UnansweredError(Http1Error):
    """The request, or a part of it, may have been received; no whole answer came."""
