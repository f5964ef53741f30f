# SPDX-License-Identifier: BSD-3-Clause
"""One router process: its tasks and what they share.

``RouterProcess`` is not imported here, since the faces it builds import parts of
this package.
"""

from turnward.router.context import RouterContext
from turnward.router.core import RouterCore
from turnward.router.task import TaskBase, Tick

__all__ = ["RouterContext", "RouterCore", "TaskBase", "Tick"]
