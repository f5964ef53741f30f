# SPDX-License-Identifier: BSD-3-Clause
"""The HTTP API for operators and the states that it reports."""

from turnward.operators.http_resource import ApplyRequest, OperatorResource
from turnward.operators.states import RouterStatus, StateReader

__all__ = ["ApplyRequest", "OperatorResource", "RouterStatus", "StateReader"]
