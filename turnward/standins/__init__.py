# SPDX-License-Identifier: BSD-3-Clause
"""Small stand-ins for the platform and for endpoints, for demos and tests."""

from turnward.standins.batch import BatchSettings, EngineBatch, EngineRun
from turnward.standins.engine import EngineFaults, EngineStandIn
from turnward.standins.platform import Faults, PlatformStandIn
from turnward.standins.service import ServiceFaults, ServiceStandIn

__all__ = [
    "BatchSettings",
    "EngineBatch",
    "EngineFaults",
    "EngineRun",
    "EngineStandIn",
    "Faults",
    "PlatformStandIn",
    "ServiceFaults",
    "ServiceStandIn",
]
