# SPDX-License-Identifier: BSD-3-Clause
"""Small stand-ins for the platform and for endpoints, for demos and tests."""

from turnward.standins.batch import BatchSettings, EngineBatch, EngineRun
from turnward.standins.engine import EngineFaults, EngineStandIn
from turnward.standins.network import MemoryMachine, MemoryNetwork
from turnward.standins.platform import Faults, PlatformStandIn
from turnward.standins.rows import MemoryRows, RowFaults, RowsClient, RowsCopy
from turnward.standins.service import ServiceFaults, ServiceStandIn

__all__ = [
    "BatchSettings",
    "EngineBatch",
    "EngineFaults",
    "EngineRun",
    "EngineStandIn",
    "Faults",
    "MemoryMachine",
    "MemoryNetwork",
    "MemoryRows",
    "PlatformStandIn",
    "RowFaults",
    "RowsClient",
    "RowsCopy",
    "ServiceFaults",
    "ServiceStandIn",
]
