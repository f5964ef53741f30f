# SPDX-License-Identifier: BSD-3-Clause
"""Pacing of prepaid tokens: which requests they go to while they run short."""

from collections.abc import Callable

from turnward.pacing.core import PacedRequest, TokenPacerBase, TokenSupply, Unpaced
from turnward.pacing.urgency import UrgencyPacer, UrgencyPacerRule

__all__ = [
    "PacedRequest",
    "TokenPacerBase",
    "TokenSupply",
    "Unpaced",
    "UrgencyPacer",
    "UrgencyPacerRule",
    "make_token_pacer",
]


def make_token_pacer(enabled: bool, clock: Callable[[], float]) -> TokenPacerBase:
    """Return a pacer, or one that admits all requests if pacing is not enabled."""
    return UrgencyPacer(clock) if enabled else Unpaced()
