# SPDX-License-Identifier: BSD-3-Clause
"""Errors of the platform's services."""

from turnward.errors import TurnwardError

__all__ = ["OutcomeUnknownError", "PlatformError", "PlatformUnavailableError"]


class PlatformError(TurnwardError):
    """Base class of errors of the table, the object store and the instance list."""


class PlatformUnavailableError(PlatformError):
    """The call did not take effect: the service was not reached or refused it."""


class OutcomeUnknownError(PlatformError):
    """The call was sent without a response: it may have taken effect.

    The caller has to read back what it wrote before it continues.
    """
