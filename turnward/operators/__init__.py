# SPDX-License-Identifier: BSD-3-Clause
"""The face for operators, and the states it shows."""

from turnward.operators.api import ApplyRequest, OperatorsApi
from turnward.operators.states import RouterStatus, StateReader

__all__ = ["ApplyRequest", "OperatorsApi", "RouterStatus", "StateReader"]
