# SPDX-License-Identifier: BSD-3-Clause
"""Writers of responses to callers: an abstract base class and its HTTP implementation."""

from abc import ABC, abstractmethod

from turnward.callers.problems import Refusal, problem_body
from turnward.http import abort_request

__all__ = ["ResponseWriterBase", "HttpResponseWriter", "send_refusal"]


class ResponseWriterBase(ABC):
    """Writes the response to one request.

    Attributes
    ----------
    on_disconnect : callable
        Called without arguments if the caller disconnects before the end of the response.
    """

    def __init__(self):
        self.on_disconnect = lambda: None

    @abstractmethod
    def head(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers; may be called once."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send a part of the body."""

    @abstractmethod
    def finish(self) -> None:
        """End a complete response."""

    @abstractmethod
    def abort(self) -> None:
        """End an incomplete response, so that the caller can tell that it is incomplete."""

    @property
    @abstractmethod
    def caller_disconnected(self) -> bool:
        """Whether the caller has disconnected."""


class HttpResponseWriter(ResponseWriterBase):
    """Writes the response to a ``twisted.web`` request."""

    def __init__(self, request):
        super().__init__()
        self._request = request
        self._disconnected = False
        self._finished = False
        request.notifyFinish().addErrback(self._connection_lost)

    def head(self, status, headers):
        """See ``ResponseWriterBase.head``."""
        if self._disconnected:
            return
        self._request.setResponseCode(status)
        for name, value in headers.items():
            self._request.setHeader(name, value)

    def write(self, data):
        """See ``ResponseWriterBase.write``."""
        if not self._disconnected:
            self._request.write(data)

    def finish(self):
        """See ``ResponseWriterBase.finish``."""
        if not self._disconnected and not self._finished:
            self._finished = True
            self._request.finish()

    def abort(self):
        """See ``ResponseWriterBase.abort``."""
        if not self._disconnected and not self._finished:
            self._finished = True
            abort_request(self._request)

    @property
    def caller_disconnected(self):
        """See ``ResponseWriterBase.caller_disconnected``."""
        return self._disconnected

    def _connection_lost(self, _reason) -> None:
        self._disconnected = True
        if not self._finished:
            self.on_disconnect()


def send_refusal(writer: ResponseWriterBase, refusal: Refusal, request_id: str) -> None:
    """Send a refusal as problem details and end the response."""
    headers = {"Content-Type": "application/problem+json", "X-Outcome": str(refusal.outcome)}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(refusal.retry_after_s)
    writer.head(refusal.status, headers)
    writer.write(problem_body(refusal, request_id))
    writer.finish()
