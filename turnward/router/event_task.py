# SPDX-License-Identifier: BSD-3-Clause
"""Uploads events to the object store, so that they remain when the instance is gone."""

import zlib

import msgspec

from turnward.ids import new_id
from turnward.router.task import TaskBase
from turnward.store import PlatformError

__all__ = ["EVENTS_PREFIX", "EventTask"]

EVENTS_PREFIX = "events/"
#: Kinds of frequent events, of which only a sample is uploaded.
ROUTINE_KINDS = frozenset({"request.routed", "request.sent", "bill.written"})


class EventTask(TaskBase):
    """Uploads new events at regular intervals."""

    log_prefix = "events"

    def __init__(self, context):
        super().__init__(context.reactor, context.settings.event_ship_s)
        self._context = context

    async def handle(self, messages):
        """See ``TaskBase.handle``."""
        sample = self._context.settings.event_sample
        events = [
            event
            for event in self._context.events.take_unshipped()
            if event.kind not in ROUTINE_KINDS or _in_sample(event.request_id, sample)
        ]
        if not events:
            return
        name = f"{EVENTS_PREFIX}{self._context.settings.instance}/{new_id()}.json"
        try:
            await self._context.objects.put(name, msgspec.json.encode(events))
        except PlatformError:
            self._context.events.put_back(events)
            raise


def _in_sample(request_id: str, sample: int) -> bool:
    """Return whether a request's routine events are uploaded; equal in all routers."""
    return zlib.crc32(request_id.encode()) % sample == 0
