# SPDX-License-Identifier: BSD-3-Clause
"""Admission control: which requests a pool accepts when it is overloaded."""

from turnward.admission.overload import OverloadPeriod
from turnward.admission.rule import AdmissionRule

__all__ = ["AdmissionRule", "OverloadPeriod"]
