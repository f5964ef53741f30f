# SPDX-License-Identifier: BSD-3-Clause
"""The face for operators, and the states it shows."""

from turnward.operators.http_resource import ApplyRequest, OperatorResource
from turnward.operators.states import RouterStatus, StateReader

__all__ = ["ApplyRequest", "OperatorResource", "RouterStatus", "StateReader"]
