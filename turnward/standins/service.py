# SPDX-License-Identifier: BSD-3-Clause
"""A stand-in plain service that records each call it ran."""

import msgspec
from twisted.internet import task
from twisted.web import resource, server

from turnward.http import abort_request

__all__ = ["ServiceFaults", "ServiceStandIn"]


class ServiceFaults(msgspec.Struct, kw_only=True):
    """Faults of the service.

    Attributes
    ----------
    delay_s : float
        Time a call takes.
    lose_answers : int
        How many further calls run without an answer.
    """

    delay_s: float = 0.005
    lose_answers: int = 0


class ServiceStandIn(resource.Resource):
    """Runs every call it gets, so a repeated one is run twice and shows."""

    isLeaf = True

    def __init__(self, reactor):
        super().__init__()
        self._reactor = reactor
        self.faults = ServiceFaults()
        self.calls: list[dict[str, str]] = []

    def render(self, request):
        """Answer a call, the record of calls, or a change of faults."""
        path = request.path.decode()
        if path == "/calls":
            return msgspec.json.encode(self.calls)
        if path == "/faults":
            self.faults = msgspec.json.decode(request.content.read(), type=ServiceFaults)
            return b"{}"
        self.calls.append(
            {
                "method": request.method.decode(),
                "path": path,
                "request_id": request.getHeader("Idempotency-Key") or "",
                "run_id": request.getHeader("X-Request-Id") or "",
                "body": request.content.read().decode(errors="replace"),
            }
        )
        number = len(self.calls)
        task.deferLater(self._reactor, self.faults.delay_s, self._finish, request, number)
        return server.NOT_DONE_YET

    def _finish(self, request, number: int) -> None:
        if request._disconnected:
            return
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            abort_request(request)
            return
        request.setHeader("Content-Type", "application/json")
        request.write(msgspec.json.encode({"booking": number}))
        request.finish()
