# SPDX-License-Identifier: BSD-3-Clause
"""The face for operators, and the states it shows."""

from turnward.operators.face import ApplyBody, OperatorsFace
from turnward.operators.states import RouterStatus, StateReader

__all__ = ["ApplyBody", "OperatorsFace", "RouterStatus", "StateReader"]
