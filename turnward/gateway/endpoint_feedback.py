# SPDX-License-Identifier: BSD-3-Clause
"""Feedback of an endpoint in its response headers: draining, ``Retry-After``, rate limit."""

import re
from collections.abc import Iterable
from datetime import datetime
from email.utils import parsedate_to_datetime

import msgspec

from turnward.gateway.dialect import Dialect
from turnward.http1 import HeaderList, header_values

__all__ = ["EndpointFeedback", "parse_feedback", "parse_limit_per_s", "parse_retry_after_s"]

#: Statuses whose ``Retry-After`` asks for a backoff (RFC 9110, 10.2.3; RFC 6585, 4).
_RETRY_AFTER_STATUSES = frozenset((429, 503))
#: 421 Misdirected Request: another process responded, so this is not the endpoint's feedback.
_MISDIRECTED = 421
#: Keeps a faulty value from excluding an endpoint for days.
_MAX_BACKOFF_S = 3_600.0
#: The standard allows whole seconds only; fractions are accepted as an extension.
_DECIMAL = re.compile(rb"\d{1,12}(?:\.\d{1,12})?")


class EndpointFeedback(msgspec.Struct, frozen=True):
    """Feedback of one response.

    Attributes
    ----------
    draining : bool
        Whether the endpoint stops soon and accepts no new requests.
    backoff_s : float
        Time for which this router is asked to send nothing; 0 if it is not.
    limit_per_s : float or None
        Requests per second that it accepts from all routers together; None if unlimited.
    """

    draining: bool = False
    backoff_s: float = 0.0
    limit_per_s: float | None = None


_NO_FEEDBACK = EndpointFeedback()


def parse_feedback(status: int, headers: HeaderList, dialect: Dialect) -> EndpointFeedback | None:
    """Return the feedback in a response head, None if there is none.

    Examples
    --------
    >>> parse_feedback(503, [(b"retry-after", b"1.5")], Dialect()).backoff_s
    1.5
    >>> parse_feedback(200, [(b"retry-after", b"1.5")], Dialect()) is None
    True
    """
    if status == _MISDIRECTED:
        return None
    values = header_values(headers, dialect.draining)
    draining = any(value.strip() == b"1" for value in values)
    backoff_s = parse_retry_after_s(headers) if status in _RETRY_AFTER_STATUSES else 0.0
    feedback = EndpointFeedback(
        draining, backoff_s, parse_limit_per_s(header_values(headers, dialect.rate_limit))
    )
    return None if feedback == _NO_FEEDBACK else feedback


def parse_limit_per_s(values: Iterable[bytes]) -> float | None:
    """Return the lowest rate limit among a header's values, in requests per second.

    Returns None if no value can be parsed.

    Examples
    --------
    >>> parse_limit_per_s([b"1.5", b" 4 "])
    1.5
    >>> parse_limit_per_s([b"-1"]) is None
    True
    """
    stripped = (value.strip() for value in values)
    return min((float(value) for value in stripped if _DECIMAL.fullmatch(value)), default=None)


def parse_retry_after_s(headers: HeaderList) -> float:
    """Return the delay in ``Retry-After``, in seconds; 0 if it is missing or malformed.

    The longest of several values counts. A date is relative to the response's ``Date`` header, not
    to the local clock.

    Examples
    --------
    >>> parse_retry_after_s([(b"retry-after", b"2"), (b"retry-after", b"0.5")])
    2.0
    >>> parse_retry_after_s([(b"retry-after", b"-3")])
    0.0
    """
    dates = header_values(headers, b"date")
    response_date = _parse_date(dates[0]) if len(dates) == 1 else None
    values = header_values(headers, b"retry-after")
    return max((_parse_delay_s(value.strip(), response_date) for value in values), default=0.0)


def _parse_delay_s(value: bytes, response_date: datetime | None) -> float:
    if _DECIMAL.fullmatch(value):
        return min(_MAX_BACKOFF_S, float(value))
    until = _parse_date(value)
    if until is None or response_date is None:
        return 0.0
    return min(_MAX_BACKOFF_S, max(0.0, (until - response_date).total_seconds()))


def _parse_date(value: bytes) -> datetime | None:
    try:
        parsed = parsedate_to_datetime(value.decode("ascii"))
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
    # A date of unknown time zone ("-0000") can't be compared with one of a known time zone.
    return parsed if parsed.tzinfo is not None else None
