# SPDX-License-Identifier: BSD-3-Clause
"""The HTTP interface for callers, and the processing of their requests."""

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
