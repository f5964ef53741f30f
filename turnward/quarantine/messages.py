# SPDX-License-Identifier: BSD-3-Clause
"""Messages between routers about runs that endpoints aborted.

Ages are relative to the time of sending, by the sender's clock. Messages may arrive in any order
and more than once: of two reports on the same run, the earlier abort time is kept.
"""

from enum import StrEnum

import msgspec

from turnward.bounds import Integer

__all__ = [
    "EMPTY_QUARANTINE_UPDATE",
    "AbortedRun",
    "CompletedRun",
    "QuarantineChange",
    "QuarantineUpdate",
    "Verdict",
]


class Verdict(StrEnum):
    """How requests with a content are handled.

    A content on trial is sent by one router at a time, and refused by all others.
    """

    ALLOWED = "free"
    ON_TRIAL = "on_trial"
    CONFIRMED = "sure"


class AbortedRun(msgspec.Struct, frozen=True, array_like=True):
    """A run whose connection the endpoint closed before the response was complete.

    Attributes
    ----------
    content : str
        Fingerprint of method, path, workspace and body.
    endpoint : str
        The endpoint's incarnation.
    sent_age_ms : int
        Age of the request.
    aborted_age_ms : int
        Age of the abort.
    """

    content: str
    endpoint: str
    sent_age_ms: Integer
    aborted_age_ms: Integer


class CompletedRun(msgspec.Struct, frozen=True, array_like=True):
    """A complete response to a content with aborted runs."""

    content: str
    age_ms: int


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What other routers need in order to reach the same verdicts as the sender."""

    aborted: tuple[AbortedRun, ...] = ()
    completed: tuple[CompletedRun, ...] = ()


class QuarantineChange(msgspec.Struct, frozen=True):
    """A changed verdict on a content.

    Attributes
    ----------
    verdict : Verdict
        The new verdict.
    endpoints : tuple of str
        The incarnations that aborted its runs.
    local : bool
        Whether a run of this router led to the change, rather than an update of another router.
    """

    content: str
    verdict: Verdict
    endpoints: tuple[str, ...]
    local: bool

    @property
    def quarantined(self) -> bool:
        """Whether the content is on trial or confirmed to crash endpoints."""
        return self.verdict is not Verdict.ALLOWED


#: The update of a router without suspects.
EMPTY_QUARANTINE_UPDATE = QuarantineUpdate()
