# SPDX-License-Identifier: BSD-3-Clause
"""Clients of model engines and plain services."""

from turnward.endpoints.clients import HttpEngineClient, HttpServiceClient
from turnward.endpoints.core import (
    EndpointError,
    EngineClientBase,
    LoadReport,
    NotRunError,
    RunAccount,
    RunState,
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
    "RunAccount",
    "RunState",
    "RunUncertainError",
    "ServiceClientBase",
]
