# SPDX-License-Identifier: BSD-3-Clause
"""Errors of fleet membership."""

from turnward.errors import TurnwardError

__all__ = ["FencedError", "FleetError"]


class FleetError(TurnwardError):
    """Base class of membership errors."""


class FencedError(FleetError):
    """This incarnation was fenced: its writes are rejected and it must register again."""
