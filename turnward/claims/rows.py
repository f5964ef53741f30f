# SPDX-License-Identifier: BSD-3-Clause
"""The claim rows: at most one run of a call that may not be repeated."""

from enum import StrEnum

import msgspec

__all__ = ["ClaimRow", "ClaimState", "StoredAnswer", "claim_key"]


class ClaimState(StrEnum):
    """How far a claimed call has come."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The answer of a finished call, as it is given to retries."""

    status: int
    content_type: str
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True):
    """A claim on one request id of one workspace.

    Attributes
    ----------
    token : str
        Chosen by the writer; tells its own claim from another's.
    fingerprint : str
        Digest of the request, so that the same id with another body is refused.
    answer : StoredAnswer or None
        Set together with the bill.
    """

    request_id: str
    workspace: str
    incarnation: str
    token: str
    fingerprint: str
    state: ClaimState = ClaimState.CLAIMED
    answer: StoredAnswer | None = None


def claim_key(workspace: str, request_id: str) -> str:
    """Return the key of a claim row."""
    return f"claim/{workspace}/{request_id}"
