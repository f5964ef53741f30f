# SPDX-License-Identifier: BSD-3-Clause
"""Which requests end the endpoints that run them, and are held back: pure decisions."""

from turnward.quarantine.messages import (
    EMPTY_QUARANTINE_UPDATE,
    AbortedRun,
    CompletedRun,
    QuarantineChange,
    QuarantineUpdate,
    Verdict,
)
from turnward.quarantine.quarantine import Quarantine, QuarantineRule

__all__ = [
    "EMPTY_QUARANTINE_UPDATE",
    "AbortedRun",
    "Quarantine",
    "QuarantineChange",
    "QuarantineRule",
    "QuarantineUpdate",
    "CompletedRun",
    "Verdict",
]
