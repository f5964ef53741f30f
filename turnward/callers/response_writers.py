# SPDX-License-Identifier: BSD-3-Clause
"""Where an answer goes: an abstract base class and its HTTP form."""

from abc import ABC, abstractmethod

from turnward.callers.problems import Refusal, problem_body
from turnward.http import abort_request

__all__ = ["ResponseWriterBase", "HttpResponseWriter", "send_refusal"]


class ResponseWriterBase(ABC):
    """The one answer of one request.

    Attributes
    ----------
    on_disconnect : callable
        Called without arguments when the caller goes away before the end.
    """

    def __init__(self):
        self.on_disconnect = lambda: None

    @abstractmethod
    def head(self, status: int, headers: dict[str, str]) -> None:
        """Send status and headers; once."""

    @abstractmethod
    def write(self, data: bytes) -> None:
        """Send a part of the body."""

    @abstractmethod
    def finish(self) -> None:
        """End the answer as whole."""

    @abstractmethod
    def abort(self) -> None:
        """End the answer so that the caller can tell that it is not whole."""

    @property
    @abstractmethod
    def caller_disconnected(self) -> bool:
        """Whether nobody reads any more."""


class HttpResponseWriter(ResponseWriterBase):
    """An answer over a ``twisted.web`` request."""

    def __init__(self, request):
        super().__init__()
        self._request = request
        self._gone = False
        self._ended = False
        request.notifyFinish().addErrback(self._lost)

    def head(self, status, headers):
        """See ``ResponseWriterBase.head``."""
        if self._gone:
            return
        self._request.setResponseCode(status)
        for name, value in headers.items():
            self._request.setHeader(name, value)

    def write(self, data):
        """See ``ResponseWriterBase.write``."""
        if not self._gone:
            self._request.write(data)

    def finish(self):
        """See ``ResponseWriterBase.finish``."""
        if not self._gone and not self._ended:
            self._ended = True
            self._request.finish()

    def abort(self):
        """See ``ResponseWriterBase.abort``."""
        if not self._gone and not self._ended:
            self._ended = True
            abort_request(self._request)

    @property
    def caller_disconnected(self):
        """See ``ResponseWriterBase.caller_disconnected``."""
        return self._gone

    def _lost(self, _reason) -> None:
        self._gone = True
        if not self._ended:
            self.on_disconnect()


def send_refusal(answer: ResponseWriterBase, refusal: Refusal, request_id: str) -> None:
    """Send a refusal as problem details and end the answer."""
    headers = {"Content-Type": "application/problem+json", "X-Outcome": str(refusal.outcome)}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(refusal.retry_after_s)
    answer.head(refusal.status, headers)
    answer.write(problem_body(refusal, request_id))
    answer.finish()
