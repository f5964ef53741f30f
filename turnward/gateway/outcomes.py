# SPDX-License-Identifier: BSD-3-Clause
"""Outcomes of requests and the reasons of failures."""

from enum import StrEnum

__all__ = ["NOT_RUN_STATUSES", "SHARED_OUT_REASONS", "NoRetryReason", "Outcome", "Reason"]

#: Response statuses that guarantee that the request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Outcome(StrEnum):
    """How a request ended; written to logs and metrics."""

    SERVED = "served"
    ENDPOINT_ERROR = "endpoint_error"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    TIME_LIMIT = "time_limit"
    ABORTED = "cut"
    CALLER_DISCONNECTED = "caller_gone"


class Reason(StrEnum):
    """Why a request was refused or failed; sent to the caller."""

    BAD_REQUEST = "bad_request"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_CONFIGURATION = "no_configuration_yet"
    STALE_CONFIGURATION = "configuration_not_confirmed"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNREACHABLE = "budget_unreachable"
    BUDGET_PACED = "budget_paced"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_FULL = "endpoints_full"
    ENDPOINTS_COLD = "endpoints_cold"
    ENDPOINTS_BACKING_OFF = "endpoints_resting"
    ENDPOINTS_RATE_LIMITED = "endpoints_limited"
    ENDPOINTS_BRITTLE = "endpoints_brittle"
    ENDPOINTS_UNRESPONSIVE = "endpoints_unresponsive"
    NO_SAME_VERSION = "no_endpoint_of_version"
    VERSION_GONE = "version_gone"
    VERSION_UNKNOWN = "version_unknown"
    VERSION_LOST = "version_lost"
    OVERLOADED = "overloaded"
    RELAYS_FULL = "relays_full"
    CRASHES_ENDPOINTS = "ends_endpoints"
    MAY_CRASH_ENDPOINTS = "may_end_endpoints"
    TIME_LIMIT = "time_limit"
    CONNECTION_LOST = "endpoint_lost"
    INVALID_RESPONSE = "bad_answer"
    STOPPING = "stopping"


#: Refusals by a router that has used up its own share of what all routers may send together.
SHARED_OUT_REASONS = frozenset(
    (Reason.ENDPOINTS_BRITTLE, Reason.ENDPOINTS_COLD, Reason.ENDPOINTS_RATE_LIMITED)
)


class NoRetryReason(StrEnum):
    """Why a request is not retried at another endpoint; written to logs."""

    REQUEST_ENDED = "request_over"
    BODY_NOT_KEPT = "body_not_kept"
    RUNS_ONCE = "may_have_run_and_must_run_once"
    RESPONSE_STARTED = "answer_begun_and_not_resumable"
    NO_TIME_LEFT = "no_time_left"
    ENDPOINTS_TRIED = "enough_endpoints_tried"
    NO_OTHER_ENDPOINT = "no_other_endpoint"
    ATTEMPTS_USED = "attempts_used_up"
    QUARANTINED = "content_held_back"
    NO_TOKENS = "no_tokens_for_another_run"
    RETRY_BUDGET = "repeat_budget_used_up"
