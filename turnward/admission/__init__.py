# SPDX-License-Identifier: BSD-3-Clause
"""Which requests are let in when a pool is beyond its capacity."""

from turnward.admission.rule import AdmissionRule
from turnward.admission.spell import OverloadSpell

__all__ = ["AdmissionRule", "OverloadSpell"]
