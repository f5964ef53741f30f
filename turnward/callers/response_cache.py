# SPDX-License-Identifier: BSD-3-Clause
"""Whole answers, kept for callers who ask again with the same id."""

from collections import OrderedDict

import msgspec

__all__ = ["ResponseCache", "CachedResponse"]

#: Answers kept.
KEPT_REPLIES = 1_000
#: Largest answer kept, in bytes.
KEPT_REPLY_BYTES = 65_536


class CachedResponse(msgspec.Struct, frozen=True):
    """A whole answer, kept for a repeat of the request."""

    fingerprint: str
    status: int
    headers: dict[str, str]
    body: bytes


class ResponseCache:
    """The latest whole answers, by workspace and request id."""

    def __init__(self):
        self._replies: OrderedDict[tuple[str, str], CachedResponse] = OrderedDict()

    def get(self, workspace: str, request_id: str) -> CachedResponse | None:
        """Return a kept answer or None."""
        return self._replies.get((workspace, request_id))

    def keep(self, workspace: str, request_id: str, reply: CachedResponse) -> None:
        """Keep an answer, unless it is too large; the oldest goes first."""
        if len(reply.body) > KEPT_REPLY_BYTES:
            return
        self._replies[(workspace, request_id)] = reply
        while len(self._replies) > KEPT_REPLIES:
            self._replies.popitem(last=False)
