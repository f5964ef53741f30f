# SPDX-License-Identifier: BSD-3-Clause
"""The face for callers, and a request's way through the router."""

from turnward.callers.answers import AnswerBase, HttpAnswer, send_refusal
from turnward.callers.chat import ChatServer, parse_chat
from turnward.callers.desk import FlightDesk
from turnward.callers.face import CallersFace, LimitedSite
from turnward.callers.flight import Flight
from turnward.callers.problems import Outcome, Reason, Refusal, RefusedError
from turnward.callers.services import ServiceRequest, ServiceServer

__all__ = [
    "AnswerBase",
    "CallersFace",
    "ChatServer",
    "Flight",
    "FlightDesk",
    "HttpAnswer",
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
