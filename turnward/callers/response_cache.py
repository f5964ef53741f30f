# SPDX-License-Identifier: BSD-3-Clause
"""Cache of complete responses, for requests that are repeated with the same id."""

from collections import OrderedDict

import msgspec

__all__ = ["ResponseCache", "CachedResponse"]

#: Maximum number of cached responses.
CACHED_RESPONSE_LIMIT = 1_000
#: Maximum size of a cached response's body.
CACHED_BODY_LIMIT_BYTES = 65_536


class CachedResponse(msgspec.Struct, frozen=True):
    """A complete response, cached for repetitions of its request."""

    fingerprint: str
    status: int
    headers: dict[str, str]
    body: bytes


class ResponseCache:
    """The latest complete responses, by workspace and request id."""

    def __init__(self):
        self._responses: OrderedDict[tuple[str, str], CachedResponse] = OrderedDict()

    def get(self, workspace: str, request_id: str) -> CachedResponse | None:
        """Return a cached response or None."""
        return self._responses.get((workspace, request_id))

    def put(self, workspace: str, request_id: str, response: CachedResponse) -> None:
        """Add a response, unless it is too large, and evict the oldest ones above the limit."""
        if len(response.body) > CACHED_BODY_LIMIT_BYTES:
            return
        self._responses[(workspace, request_id)] = response
        while len(self._responses) > CACHED_RESPONSE_LIMIT:
            self._responses.popitem(last=False)
