# SPDX-License-Identifier: BSD-3-Clause
"""HTTP/1.1 client and server over Twisted transports, with strict parsing by ``httptools``."""

from turnward.http1.client import HttpCaller, HttpReply
from turnward.http1.errors import Http1Error, NotSentError, UnansweredError
from turnward.http1.framing import (
    BodyFraming,
    HeaderList,
    connection_tokens,
    encode_request_head,
    end_to_end_headers,
    header_value,
    header_values,
    is_valid_status_line,
    response_framing,
)
from turnward.http1.inbound import InboundFactory, InboundLimits, InboundRequest, Refusal
from turnward.http1.outbound import (
    ExchangeBase,
    ExchangeFailure,
    FailureCause,
    OutboundConnection,
    OutboundPool,
    ResponseMatch,
)

__all__ = [
    "BodyFraming",
    "ResponseMatch",
    "ExchangeBase",
    "ExchangeFailure",
    "FailureCause",
    "HeaderList",
    "Http1Error",
    "HttpCaller",
    "HttpReply",
    "InboundFactory",
    "InboundLimits",
    "InboundRequest",
    "NotSentError",
    "OutboundConnection",
    "OutboundPool",
    "Refusal",
    "UnansweredError",
    "connection_tokens",
    "encode_request_head",
    "end_to_end_headers",
    "header_value",
    "header_values",
    "is_valid_status_line",
    "response_framing",
]
