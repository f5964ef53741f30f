# SPDX-License-Identifier: BSD-3-Clause
"""The router process: its tasks and the context they share.

``RouterProcess`` is not imported here to avoid an import cycle: the HTTP interfaces
that it builds import from this package.
"""

from turnward.router.context import RouterContext
from turnward.router.core import RouterCore
from turnward.router.task import TaskBase, Tick

__all__ = ["RouterContext", "RouterCore", "TaskBase", "Tick"]
