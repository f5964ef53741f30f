# SPDX-License-Identifier: BSD-3-Clause
"""The names that requests and answers carry on the wire."""

import msgspec

__all__ = ["Dialect"]


class Dialect(msgspec.Struct, frozen=True, kw_only=True):
    """Header names in lower case; the defaults are the product's own.

    Attributes
    ----------
    request_id : bytes
        Carried unchanged to the endpoint, and back on its answer.
    deadline_ms : bytes
        Milliseconds that the sender waits.
    key_scheme : bytes
        Scheme of ``Authorization`` before the key.
    workspace : bytes
        Set by the gateway for the endpoint; never taken from callers.
    expected_endpoint : bytes
        The id of the endpoint meant; any other answers 421.
    not_run : bytes
        On an answer: the endpoint did not run the request.
    answer_seal : bytes
        On an answer: an endpoint made it.
    leaving : bytes
        On an answer, with the value 1: the endpoint ends soon and takes no new work.
    limit : bytes
        On an answer: the requests a second, a decimal number, that the endpoint takes from all
        routers together, for as long as its answers say so.
    last_event_id : bytes
        The last event that the sender has; the stream goes on behind it.
    token_count : bytes
        Tokens of the prompt and the most to be made, with a comma between.
    prompt_parts : bytes
        Parts of the prompt as ID:TOKENS with commas between.
    priority : bytes
        Urgency that the gateway gives the endpoint; 0 comes first.
    reserved : frozenset of bytes
        Further names that only the system may set.
    ready_path : str
        Path that answers 200 while the process takes new connections.
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
    last_event_id: bytes = b"last-event-id"
    token_count: bytes = b"token-count"
    prompt_parts: bytes = b"prompt-parts"
    priority: bytes = b"request-priority"
    reserved: frozenset[bytes] = frozenset()
    ready_path: str = "/ready"

    @property
    def never_forwarded(self) -> frozenset[bytes]:
        """Names taken off a caller's request before it goes to an endpoint."""
        own = {
            self.deadline_ms,
            self.workspace,
            self.expected_endpoint,
            self.priority,
            b"authorization",
        }
        return frozenset(own) | self.reserved
