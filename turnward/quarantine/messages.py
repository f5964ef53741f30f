# SPDX-License-Identifier: BSD-3-Clause
"""What routers tell each other of runs that were lost with their endpoint's connection.

Ages are as of when a message is sent, by the sender's clock. Words commute and may come twice:
of two words on the same run the one that puts it earlier counts.
"""

from enum import StrEnum

import msgspec

__all__ = [
    "EMPTY_QUARANTINE_UPDATE",
    "AbortedRun",
    "QuarantineChange",
    "QuarantineUpdate",
    "CompletedRun",
    "Verdict",
]


class Verdict(StrEnum):
    """What is done with a content."""

    ALLOWED = "free"
    ON_TRIAL = "on_trial"
    CONFIRMED = "sure"


class AbortedRun(msgspec.Struct, frozen=True, array_like=True):
    """A send whose connection the endpoint closed before the answer was whole.

    Attributes
    ----------
    content : str
        Fingerprint of method, path, workspace and body.
    endpoint : str
        The endpoint's incarnation.
    """

    content: str
    endpoint: str
    sent_age_ms: int
    lost_age_ms: int


class CompletedRun(msgspec.Struct, frozen=True, array_like=True):
    """A whole answer to a content of which runs had been lost."""

    content: str
    age_ms: int


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a router tells: all that others need to hold back what it holds back."""

    lost: tuple[AbortedRun, ...] = ()
    served: tuple[CompletedRun, ...] = ()


class QuarantineChange(msgspec.Struct, frozen=True):
    """A content that is held back from now on, on trial or for sure, or no longer.

    Attributes
    ----------
    verdict : Verdict
        What is done with it from now on.
    endpoints : tuple of str
        The incarnations at which its runs were lost.
    own : bool
        Whether a run of this router brought it about; else another router told of it.
    """

    content: str
    verdict: Verdict
    endpoints: tuple[str, ...]
    local: bool

    @property
    def quarantined(self) -> bool:
        """Whether it is held back, on trial or for sure."""
        return self.verdict is not Verdict.ALLOWED


#: What a router tells that knows of nothing.
EMPTY_QUARANTINE_UPDATE = QuarantineUpdate()
