# SPDX-License-Identifier: BSD-3-Clause
"""Refused and failed requests as reported to callers.

References
----------
RFC 9457 (problem details for HTTP).
"""

from enum import StrEnum

import msgspec

from turnward.errors import TurnwardError

__all__ = ["Outcome", "Reason", "Refusal", "RefusedError", "problem_body"]


class Outcome(StrEnum):
    """Whether the request ran."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request was refused or failed."""

    UNAUTHORIZED = "unauthorized"
    BAD_REQUEST = "bad_request"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    ID_REUSED = "id_reused"
    IN_PROGRESS = "in_progress"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNREACHABLE = "budget_unreachable"
    OVERLOADED = "overloaded"
    NO_ENDPOINT = "no_endpoint"
    RECORDS_UNREACHABLE = "records_unreachable"
    CLAIMS_UNREACHABLE = "claims_unreachable"
    ROUTER_LEAVING = "router_leaving"
    ROUTER_NOT_READY = "router_not_ready"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_REFUSED = "endpoint_refused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ID_TOO_OLD = "id_too_old"


#: HTTP status of each reason.
_STATUS = {
    Reason.UNAUTHORIZED: 401,
    Reason.BAD_REQUEST: 400,
    Reason.NOT_FOUND: 404,
    Reason.TOO_LARGE: 413,
    Reason.ID_REUSED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.BUDGET_EXHAUSTED: 402,
    Reason.BUDGET_UNREACHABLE: 503,
    Reason.OVERLOADED: 503,
    Reason.NO_ENDPOINT: 503,
    Reason.RECORDS_UNREACHABLE: 503,
    Reason.CLAIMS_UNREACHABLE: 503,
    Reason.ROUTER_LEAVING: 503,
    Reason.ROUTER_NOT_READY: 503,
    Reason.ENDPOINT_FAILED: 502,
    Reason.ENDPOINT_REFUSED: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.ID_TOO_OLD: 409,
}


class Refusal(msgspec.Struct, frozen=True):
    """A final response of the router itself instead of an endpoint's response.

    Attributes
    ----------
    retry_after_s : int or None
        Time after which the caller may retry; None if a retry would not help.
    """

    reason: Reason
    detail: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: int | None = None

    @property
    def status(self) -> int:
        """HTTP status."""
        return _STATUS[self.reason]


class RefusedError(TurnwardError):
    """Carries a refusal to the code that sends the response."""

    def __init__(self, refusal: Refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


def problem_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the problem details of a refusal as JSON."""
    fields = {
        "type": f"urn:turnward:problem:{refusal.reason}",
        "title": refusal.reason.replace("_", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "reason": refusal.reason,
        "outcome": refusal.outcome,
        "request_id": request_id,
    }
    if refusal.retry_after_s is not None:
        fields["retry_after_s"] = refusal.retry_after_s
    return msgspec.json.encode(fields)
