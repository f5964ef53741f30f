# SPDX-License-Identifier: BSD-3-Clause
"""Load balancing, admission control and retry budgets."""

from turnward.routing.admission import (
    ADMISSION_HEADROOM,
    AdmissionQueue,
    Overload,
    Ticket,
    admission_slots,
    low_class_slots,
)
from turnward.routing.policies import POLICIES, Choice, PolicyBase, RouteRequest, ScorePolicy
from turnward.routing.retries import RetryBudget
from turnward.routing.views import EndpointView, EndpointViews

__all__ = [
    "ADMISSION_HEADROOM",
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
    "admission_slots",
    "low_class_slots",
]
