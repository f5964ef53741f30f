# SPDX-License-Identifier: BSD-3-Clause
"""The choice of endpoints, admission and retries."""

from turnward.routing.admission import AdmissionQueue, Overload, Ticket
from turnward.routing.policies import POLICIES, Choice, PolicyBase, RouteRequest, ScorePolicy
from turnward.routing.retries import RetryBudget
from turnward.routing.views import EndpointView, EndpointViews

__all__ = [
    "POLICIES",
    "AdmissionQueue",
    "Choice",
    "EndpointView",
    "EndpointViews",
    "Overload",
    "PolicyBase",
    "RetryBudget",
    "RouteRequest",
    "ScorePolicy",
    "Ticket",
]
