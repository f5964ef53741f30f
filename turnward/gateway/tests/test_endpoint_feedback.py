# SPDX-License-Identifier: BSD-3-Clause
"""Parsing of endpoint feedback from response heads."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turnward.gateway import Dialect
from turnward.gateway.endpoint_feedback import (
    EndpointFeedback,
    parse_feedback,
    parse_limit_per_s,
    parse_retry_after_s,
)

DIALECT = Dialect()
LEAVING = DIALECT.draining
LIMIT = DIALECT.rate_limit
RESPONSE_DATE = (b"date", b"Thu, 03 Dec 2026 10:00:00 GMT")


@pytest.mark.parametrize(
    ("values", "backoff_s"),
    [
        ([], 0.0),
        ([b"3"], 3.0),
        ([b" 0.25 "], 0.25),
        ([b"0"], 0.0),
        ([b"1", b"4", b"2"], 4.0),
        ([b"4", b"no"], 4.0),
        ([b"99999999"], 3_600.0),
        ([b"-1"], 0.0),
        ([b"1e3"], 0.0),
        ([b"inf"], 0.0),
        ([b"nan"], 0.0),
        ([b"3 s"], 0.0),
        ([b""], 0.0),
        ([b"Thu, 03 Dec 2026 10:00:04 GMT"], 4.0),
        ([b"Thu, 03 Dec 2026 09:00:00 GMT"], 0.0),
        ([b"Fri, 03 Dec 2027 10:00:04 GMT"], 3_600.0),
        ([b"Thu, 03 Dec 2026 10:00:04 -0000"], 0.0),
        ([b"Thu, 99 Dec 2026 10:00:04 GMT"], 0.0),
    ],
)
def test_parse_retry_after_s(values, backoff_s):
    headers = [RESPONSE_DATE, *((b"retry-after", value) for value in values)]
    assert parse_retry_after_s(headers) == backoff_s


def test_retry_after_date_needs_a_date_header():
    assert parse_retry_after_s([(b"retry-after", b"Thu, 03 Dec 2026 10:00:04 GMT")]) == 0.0


@pytest.mark.parametrize(
    ("values", "limit_per_s"),
    [
        ([], None),
        ([b"3"], 3.0),
        ([b" 0.25 "], 0.25),
        ([b"0"], 0.0),
        ([b"4", b"1.5"], 1.5),
        ([b"no", b"4"], 4.0),
        ([b"999999999999"], 999_999_999_999.0),
        ([b"-1"], None),
        ([b"1e3"], None),
        ([b"inf"], None),
        ([b"nan"], None),
        ([b"1,5"], None),
        ([b".5"], None),
        ([b""], None),
    ],
)
def test_parse_limit_per_s(values, limit_per_s):
    assert parse_limit_per_s(values) == limit_per_s


@given(st.lists(st.binary(max_size=40), max_size=3))
def test_parse_limit_per_s_never_raises_or_returns_a_negative_limit(values):
    limit_per_s = parse_limit_per_s(values)
    assert limit_per_s is None or limit_per_s >= 0.0


@given(st.lists(st.binary(max_size=40), max_size=3), st.binary(max_size=40))
def test_parse_retry_after_s_never_raises_or_exceeds_the_maximum(values, date):
    headers = [(b"date", date), *((b"retry-after", value) for value in values)]
    assert 0.0 <= parse_retry_after_s(headers) <= 3_600.0


@pytest.mark.parametrize(
    ("status", "headers", "feedback"),
    [
        (200, [], None),
        (200, [(LEAVING, b"1")], EndpointFeedback(draining=True)),
        (100, [(LEAVING, b"1")], EndpointFeedback(draining=True)),
        (500, [(LEAVING, b" 1 ")], EndpointFeedback(draining=True)),
        (200, [(LEAVING, b"0")], None),
        (503, [(b"retry-after", b"2")], EndpointFeedback(backoff_s=2.0)),
        (429, [(b"retry-after", b"2")], EndpointFeedback(backoff_s=2.0)),
        (503, [(b"retry-after", b"2"), (LEAVING, b"1")], EndpointFeedback(True, 2.0)),
        (200, [(b"retry-after", b"2")], None),
        (200, [(LIMIT, b"1.5")], EndpointFeedback(limit_per_s=1.5)),
        (503, [(LIMIT, b"0")], EndpointFeedback(limit_per_s=0.0)),
        (200, [(LIMIT, b"-1")], None),
        (421, [(LIMIT, b"1.5")], None),
        # Another process responded: this is not the endpoint's feedback.
        (421, [(b"retry-after", b"2"), (LEAVING, b"1")], None),
    ],
)
def test_parse_feedback(status, headers, feedback):
    assert parse_feedback(status, headers, DIALECT) == feedback
