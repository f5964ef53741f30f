# SPDX-License-Identifier: BSD-3-Clause
"""Resources of the configuration: types, files, checks and the log of changes."""

from turnward.resources.checks import ResourceSet, load_resources, parse_resources
from turnward.resources.log import (
    Change,
    ConfigLog,
    ConfigState,
    LogEntry,
    VersionConflictError,
)
from turnward.resources.types import (
    KINDS,
    Budget,
    Endpoint,
    Model,
    Pool,
    PriorityClass,
    Resource,
    ServiceCall,
    Workspace,
)

__all__ = [
    "KINDS",
    "Budget",
    "Change",
    "ConfigLog",
    "ConfigState",
    "Endpoint",
    "LogEntry",
    "Model",
    "Pool",
    "PriorityClass",
    "Resource",
    "ResourceSet",
    "ServiceCall",
    "VersionConflictError",
    "Workspace",
    "load_resources",
    "parse_resources",
]
