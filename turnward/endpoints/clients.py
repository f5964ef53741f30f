# SPDX-License-Identifier: BSD-3-Clause
"""HTTP clients of model engines and plain services."""

import msgspec

from turnward.endpoints.core import (
    EndpointError,
    EngineClientBase,
    LoadReport,
    NotRunError,
    RunStatus,
    RunUncertainError,
    ServiceClientBase,
)
from turnward.http import HttpClient, NotSentError, SentUnansweredError

__all__ = ["HttpEngineClient", "HttpServiceClient"]

#: Header that carries the run id, which is unique for each attempt.
RUN_ID_HEADER = "X-Request-Id"

_CONFLICT = 409
_SERVICE_UNAVAILABLE = 503
_OK = 200


class HttpEngineClient(EngineClientBase):
    """Model engines with an OpenAI-style interface.

    Parameters
    ----------
    run_http : HttpClient
        Opens a new connection for each run.
    query_http : HttpClient
        Reuses connections; for run status, cancellation and load reports.
    timeout_s : float
        Limit for one run, in seconds.
    """

    def __init__(self, run_http: HttpClient, query_http: HttpClient, timeout_s: float):
        self._run_http = run_http
        self._query_http = query_http
        self._timeout_s = timeout_s

    async def chat(self, url, run_id, body, on_head, on_data):
        """See ``EngineClientBase.chat``."""
        headers = {RUN_ID_HEADER: run_id, "Content-Type": "application/json"}
        try:
            head = await self._run_http.stream(
                "POST",
                f"{url}/v1/chat/completions",
                on_data,
                on_head=on_head,
                body=body,
                headers=headers,
                timeout_s=self._timeout_s,
            )
        except NotSentError as failure:
            raise NotRunError(str(failure)) from failure
        except SentUnansweredError as failure:
            raise RunUncertainError(str(failure)) from failure
        if head.status == _SERVICE_UNAVAILABLE:
            raise NotRunError("the engine accepts no new work")
        if head.status == _CONFLICT:
            raise NotRunError("the run was cancelled before it started")
        return head

    async def resume(self, url, run_id, start, on_data):
        """See ``EngineClientBase.resume``."""
        try:
            return await self._run_http.stream(
                "GET",
                f"{url}/v1/runs/{run_id}/stream?from={start}",
                on_data,
                timeout_s=self._timeout_s,
            )
        except (NotSentError, SentUnansweredError) as failure:
            raise RunUncertainError(str(failure)) from failure

    async def run_status(self, url, run_id):
        """See ``EngineClientBase.run_status``."""
        return await self._query("GET", f"{url}/v1/runs/{run_id}", RunStatus)

    async def cancel(self, url, run_id):
        """See ``EngineClientBase.cancel``."""
        return await self._query("POST", f"{url}/v1/runs/{run_id}/cancel", RunStatus)

    async def load(self, url):
        """See ``EngineClientBase.load``."""
        return await self._query("GET", f"{url}/load", LoadReport)

    async def _query(self, method, url, response_type):
        try:
            response = await self._query_http.request(method, url, timeout_s=2.0)
        except (NotSentError, SentUnansweredError) as failure:
            raise EndpointError(str(failure)) from failure
        if response.status != _OK:
            raise EndpointError(f"the engine responded with status {response.status}")
        try:
            return msgspec.json.decode(response.body, type=response_type)
        except msgspec.DecodeError as failure:
            raise EndpointError(f"the engine's response can't be decoded: {failure}") from failure


class HttpServiceClient(ServiceClientBase):
    """Plain services over HTTP, with a new connection for each call."""

    def __init__(self, http: HttpClient, timeout_s: float):
        self._http = http
        self._timeout_s = timeout_s

    async def call(self, url, run_id, method, path, body, headers):
        """See ``ServiceClientBase.call``."""
        request_headers = {**headers, RUN_ID_HEADER: run_id}
        try:
            response = await self._http.request(
                method, url + path, body=body, headers=request_headers, timeout_s=self._timeout_s
            )
        except NotSentError as failure:
            raise NotRunError(str(failure)) from failure
        except SentUnansweredError as failure:
            raise RunUncertainError(str(failure)) from failure
        if response.status == _SERVICE_UNAVAILABLE and "x-not-run" in response.headers:
            raise NotRunError("the service accepts no new work")
        return response
