# SPDX-License-Identifier: BSD-3-Clause
"""The gateway: forwards requests to pools of endpoints within the workspaces' budgets."""

from turnward.gateway.configuration import (
    Configuration,
    EndpointEntry,
    EndpointPool,
    EngineTraits,
    RetryPolicy,
    Route,
    RouteTable,
    WarmUpTraits,
    WeightedPool,
    Workspace,
)
from turnward.gateway.dialect import Dialect
from turnward.gateway.feeds import FeedListenerBase, TableFeed
from turnward.gateway.logs import BoundedLineWriter, GatewayLog
from turnward.gateway.metrics import GatewayMetrics
from turnward.gateway.process import GatewayProcess, SourcesBase, new_incarnation
from turnward.gateway.serving import serve_gateway
from turnward.gateway.settings import GatewaySettings, load_gateway_settings
from turnward.gateway.state import EndpointsSnapshot, FleetState
from turnward.gateway.table_listeners import ConfigurationListener, EndpointsListener
from turnward.gateway.zone_orders import ZoneOrder, ZoneOrders

__all__ = [
    "BoundedLineWriter",
    "Configuration",
    "ConfigurationListener",
    "Dialect",
    "EndpointEntry",
    "EndpointPool",
    "EndpointsListener",
    "EndpointsSnapshot",
    "EngineTraits",
    "FeedListenerBase",
    "FleetState",
    "GatewayLog",
    "GatewayMetrics",
    "GatewayProcess",
    "GatewaySettings",
    "RetryPolicy",
    "Route",
    "RouteTable",
    "SourcesBase",
    "TableFeed",
    "WarmUpTraits",
    "WeightedPool",
    "Workspace",
    "ZoneOrder",
    "ZoneOrders",
    "load_gateway_settings",
    "new_incarnation",
    "serve_gateway",
]
