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
from turnward.quarantine.parts import LostRun, PartQuarantine
from turnward.quarantine.quarantine import Quarantine
from turnward.quarantine.rule import QuarantineRule

__all__ = [
    "EMPTY_QUARANTINE_UPDATE",
    "AbortedRun",
    "CompletedRun",
    "LostRun",
    "PartQuarantine",
    "Quarantine",
    "QuarantineChange",
    "QuarantineRule",
    "QuarantineUpdate",
    "Verdict",
]
