# SPDX-License-Identifier: BSD-3-Clause
"""Which requests are let in when a pool is beyond its capacity."""

from turnward.admission.overload import OverloadPeriod
from turnward.admission.rule import AdmissionRule

__all__ = ["AdmissionRule", "OverloadPeriod"]
