# SPDX-License-Identifier: BSD-3-Clause
"""Quarantine of requests that crash the endpoints that run them, without input or output."""

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
    "CompletedRun",
    "Quarantine",
    "QuarantineChange",
    "QuarantineRule",
    "QuarantineUpdate",
    "Verdict",
]
