# SPDX-License-Identifier: BSD-3-Clause
"""Ships events to the object store, so that they outlive the instance."""

import msgspec

from turnward.ids import new_id
from turnward.platform import PlatformError
from turnward.router.task import TaskBase

__all__ = ["EVENTS_PREFIX", "EventTask"]

EVENTS_PREFIX = "events/"


class EventTask(TaskBase):
    """Owns the events that are not shipped yet."""

    log_prefix = "events"

    def __init__(self, context):
        super().__init__(context.reactor, context.settings.event_ship_s)
        self._context = context

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        events = self._context.events.take_unshipped()
        if not events:
            return
        name = f"{EVENTS_PREFIX}{self._context.settings.instance}/{new_id()}.json"
        try:
            await self._context.objects.put(name, msgspec.json.encode(events))
        except PlatformError:
            self._context.events.put_back(events)
            raise
