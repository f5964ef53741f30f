# SPDX-License-Identifier: BSD-3-Clause
"""Which requests end the endpoints that run them, and are held back: pure decisions."""

from turnward.quarantine.messages import (
    NO_WORD,
    LostRun,
    QuarantineChange,
    QuarantineWord,
    ServedRun,
    Verdict,
)
from turnward.quarantine.quarantine import Quarantine, QuarantineRule

__all__ = [
    "NO_WORD",
    "LostRun",
    "Quarantine",
    "QuarantineChange",
    "QuarantineRule",
    "QuarantineWord",
    "ServedRun",
    "Verdict",
]
