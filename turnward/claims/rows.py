# SPDX-License-Identifier: BSD-3-Clause
"""Claim rows in the shared store, which let a call run at most once."""

from enum import StrEnum

import msgspec

__all__ = ["ClaimRow", "ClaimState", "StoredAnswer", "claim_key"]


class ClaimState(StrEnum):
    """State of a claimed call."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The response of a finished call, which is returned to retries of it."""

    status: int
    content_type: str
    body: bytes


class ClaimRow(msgspec.Struct, frozen=True):
    """A claim on one request id of one workspace.

    Attributes
    ----------
    token : str
        Unique value that distinguishes this claim from others of the same request id.
    fingerprint : str
        Digest of the request, so that a reused id with another body is rejected.
    answer : StoredAnswer or None
        The response; written in the same transaction as the bill.
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
