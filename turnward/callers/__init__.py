# SPDX-License-Identifier: BSD-3-Clause
"""The face for callers, and a request's way through the router."""

from turnward.callers.active_request import ActiveRequest
from turnward.callers.chat import ChatServer, parse_chat
from turnward.callers.http_resource import CallerResource, LimitedSite
from turnward.callers.problems import Outcome, Reason, Refusal, RefusedError
from turnward.callers.request_coordinator import RequestCoordinator
from turnward.callers.response_writers import HttpResponseWriter, ResponseWriterBase, send_refusal
from turnward.callers.services import ServiceRequest, ServiceServer

__all__ = [
    "ResponseWriterBase",
    "CallerResource",
    "ChatServer",
    "ActiveRequest",
    "RequestCoordinator",
    "HttpResponseWriter",
    "LimitedSite",
    "Outcome",
    "Reason",
    "Refusal",
    "RefusedError",
    "ServiceRequest",
    "ServiceServer",
    "parse_chat",
    "send_refusal",
]
