# SPDX-License-Identifier: BSD-3-Clause
"""Polls model engines for load reports; plain services have none and are not polled."""

from twisted.internet import defer

from turnward.endpoints import EndpointError
from turnward.router.task import TaskBase

__all__ = ["EndpointTask"]

REPORT_INTERVAL_S = 1.0


class EndpointTask(TaskBase):
    """Polls the endpoints, each with at most one request at a time."""

    log_prefix = "endpoints"

    def __init__(self, context):
        super().__init__(context.reactor, 0.5)
        self._context = context
        self._polling: set[str] = set()

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        now_s = self._context.now_s()
        for view in self._context.views.all():
            self._context.views.end_slow_start(view, now_s)
            if not self._is_engine(view):
                self._context.views.retry_suspect(view, now_s)
                continue
            stale = view.report is None or now_s - view.reported_s >= REPORT_INTERVAL_S
            if stale and view.name not in self._polling:
                self._polling.add(view.name)
                defer.ensureDeferred(self._poll(view))
        self._context.refresh_queues()

    def _is_engine(self, view) -> bool:
        pool = self._context.config.resources.get("pools", view.endpoint.pool)
        return pool is not None and pool.kind == "engine"

    async def _poll(self, view) -> None:
        state_before = view.machine.state
        try:
            report = await self._context.engines.load(view.endpoint.url)
        except EndpointError:
            self._context.views.report_failed(view, self._context.now_s())
        else:
            self._context.views.report_received(view, report, self._context.now_s())
        finally:
            self._polling.discard(view.name)
        if view.machine.state != state_before:
            self._context.events.emit(
                "endpoint.state", endpoint=view.name, state=view.machine.state
            )
            self._context.refresh_queue(view.endpoint.pool)
