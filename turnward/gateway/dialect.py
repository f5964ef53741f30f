# SPDX-License-Identifier: BSD-3-Clause
"""Header names and other protocol names of a deployment."""

import msgspec

__all__ = ["Dialect"]


class Dialect(msgspec.Struct, frozen=True, kw_only=True):
    """Protocol names; header names are in lower case.

    Attributes
    ----------
    request_id : bytes
        Request id; forwarded unchanged and returned with the response.
    deadline_ms : bytes
        Milliseconds that the sender waits for the response.
    key_scheme : bytes
        Scheme of the ``Authorization`` header that carries the key.
    workspace : bytes
        Name of the workspace; set by the gateway and removed from callers' requests.
    expected_endpoint : bytes
        Id of the endpoint that the request is meant for; any other responds with 421.
    not_run : bytes
        In a response: the endpoint did not run the request.
    answer_seal : bytes
        In a response: it was produced by an endpoint.
    draining : bytes
        In a response, with the value 1: the endpoint is shutting down and accepts no new requests.
    rate_limit : bytes
        In a response: the requests per second, a decimal number, that the endpoint accepts from
        all routers together, for as long as its responses carry the header.
    brittle : bytes
        In a response: the requests in one second that the endpoint can reject for want of room; if
        it has to reject more, it crashes.
    last_event_id : bytes
        Id of the last event that the sender has received; the stream resumes after it.
    resumes : bytes
        Id of the request that brought the first event of a stream that its caller resumes.
    token_count : bytes
        Prompt tokens and maximum output tokens, separated by a comma.
    prompt_parts : bytes
        Parts of the prompt as comma-separated ID:TOKENS pairs.
    priority : bytes
        Priority set by the gateway, 0 (most urgent) to 9.
    reserved : frozenset of bytes
        Further headers that callers may not set.
    ready_path : str
        Readiness path; responds with 200 while the process accepts new connections.
    """

    request_id: bytes = b"request-id"
    deadline_ms: bytes = b"deadline-ms"
    key_scheme: bytes = b"Bearer"
    workspace: bytes = b"workspace"
    expected_endpoint: bytes = b"expected-endpoint"
    not_run: bytes = b"not-run"
    answer_seal: bytes = b"answer-seal"
    draining: bytes = b"endpoint-leaving"
    rate_limit: bytes = b"endpoint-limit"
    brittle: bytes = b"endpoint-brittle"
    last_event_id: bytes = b"last-event-id"
    resumes: bytes = b"resumes"
    token_count: bytes = b"token-count"
    prompt_parts: bytes = b"prompt-parts"
    priority: bytes = b"request-priority"
    reserved: frozenset[bytes] = frozenset()
    ready_path: str = "/ready"

    @property
    def never_forwarded(self) -> frozenset[bytes]:
        """Headers removed from a caller's request before it is forwarded."""
        own = {
            self.deadline_ms,
            self.workspace,
            self.expected_endpoint,
            self.priority,
            b"authorization",
        }
        return frozenset(own) | self.reserved
