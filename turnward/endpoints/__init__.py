# SPDX-License-Identifier: BSD-3-Clause
"""Clients of model engines and plain services."""

from turnward.endpoints.clients import HttpEngineClient, HttpServiceClient
from turnward.endpoints.core import (
    EndpointError,
    EngineClientBase,
    LoadReport,
    NotRunError,
    RunState,
    RunStatus,
    RunUncertainError,
    ServiceClientBase,
)

__all__ = [
    "EndpointError",
    "EngineClientBase",
    "HttpEngineClient",
    "HttpServiceClient",
    "LoadReport",
    "NotRunError",
    "RunStatus",
    "RunState",
    "RunUncertainError",
    "ServiceClientBase",
]
