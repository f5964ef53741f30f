# SPDX-License-Identifier: BSD-3-Clause
"""Errors of the fleet's membership."""

from turnward.errors import TurnwardError

__all__ = ["FencedError", "FleetError"]


class FleetError(TurnwardError):
    """Base class of errors of membership."""


class FencedError(FleetError):
    """This incarnation was fenced: it may write no more and must register anew."""
