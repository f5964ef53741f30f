# SPDX-License-Identifier: BSD-3-Clause
"""What an endpoint says of itself beside an answer: that it leaves, wants rest, bears a rate."""

import re
from collections.abc import Iterable
from datetime import datetime
from email.utils import parsedate_to_datetime

import msgspec

from turnward.gateway.dialect import Dialect
from turnward.http1 import HeaderList, header_values

__all__ = ["EndpointFeedback", "parse_limit_per_s", "parse_retry_after_s", "parse_feedback"]

#: Statuses whose ``Retry-After`` tells for how long the endpoint wants nothing (RFC 9110, 10.2.3;
#: RFC 6585, 4).
_REST_STATUSES = frozenset((429, 503))
#: The answerer is not the endpoint that was meant: what it says is not the endpoint's word.
_OTHER_ENDPOINT = 421
#: Longest rest that is granted, in seconds: a faulty value would else lose an endpoint for days.
_REST_LIMIT_S = 3_600.0
#: Delays in whole seconds by the standard, with a fraction by the users' pages; rates likewise.
_DECIMAL = re.compile(rb"\d{1,12}(?:\.\d{1,12})?")


class EndpointFeedback(msgspec.Struct, frozen=True):
    """What one answer says of the endpoint.

    Attributes
    ----------
    leaves : bool
        It ends soon and takes no new work.
    rest_s : float
        For how long it wants nothing from this router; 0 when it does not ask for that.
    limit_per_s : float or None
        The requests a second that it takes from all routers together; None when it names no limit.
    """

    draining: bool = False
    rest_s: float = 0.0
    limit_per_s: float | None = None


_NO_WORD = EndpointFeedback()


def parse_feedback(status: int, headers: HeaderList, dialect: Dialect) -> EndpointFeedback | None:
    """Return what an answer's head says of its endpoint, None when it says nothing.

    Examples
    --------
    >>> parse_feedback(503, [(b"retry-after", b"1.5")], Dialect()).rest_s
    1.5
    >>> parse_feedback(200, [(b"retry-after", b"1.5")], Dialect()) is None
    True
    """
    if status == _OTHER_ENDPOINT:
        return None
    said = header_values(headers, dialect.draining)
    draining = any(value.strip() == b"1" for value in said)
    rest_s = parse_retry_after_s(headers) if status in _REST_STATUSES else 0.0
    word = EndpointFeedback(
        draining, rest_s, parse_limit_per_s(header_values(headers, dialect.rate_limit))
    )
    return None if word == _NO_WORD else word


def parse_limit_per_s(values: Iterable[bytes]) -> float | None:
    """Return the requests a second that a header's values name, the least of several.

    None when there is none, or none that can be read.

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
    """Return the seconds that ``Retry-After`` asks for; 0 when it is missing or unreadable.

    Of several the longest counts. A date counts from the answer's own ``Date``, never from a clock
    of this machine.

    Examples
    --------
    >>> parse_retry_after_s([(b"retry-after", b"2"), (b"retry-after", b"0.5")])
    2.0
    >>> parse_retry_after_s([(b"retry-after", b"-3")])
    0.0
    """
    dates = header_values(headers, b"date")
    answered = _parse_date(dates[0]) if len(dates) == 1 else None
    values = header_values(headers, b"retry-after")
    return max((_value_s(value.strip(), answered) for value in values), default=0.0)


def _value_s(value: bytes, answered: datetime | None) -> float:
    if _DECIMAL.fullmatch(value):
        return min(_REST_LIMIT_S, float(value))
    until = _parse_date(value)
    if until is None or answered is None:
        return 0.0
    return min(_REST_LIMIT_S, max(0.0, (until - answered).total_seconds()))


def _parse_date(value: bytes) -> datetime | None:
    try:
        found = parsedate_to_datetime(value.decode("ascii"))
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
    # A date whose zone is unknown ("-0000") can't be compared with one whose zone is known.
    return found if found.tzinfo is not None else None
