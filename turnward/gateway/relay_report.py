# SPDX-License-Identifier: BSD-3-Clause
"""What a router tells of a relayed request that it answers itself, rather than an endpoint.

It is told in a header, since responses to ``HEAD`` and those that break off lack their body. A
request whose response lacks the report may have run.
"""

import msgspec

from turnward.http1 import HeaderList, header_values

__all__ = ["RelayReport", "without_relay_report"]

_HEADER = b"relay-report"
_NOT_RUN = b"not-run"
_MAY_HAVE_RUN = b"may-have-run"


class RelayReport(msgspec.Struct, frozen=True):
    """Whether a relayed request has run, and why no endpoint's response follows.

    Attributes
    ----------
    not_run : bool
        Whether the request has not run, and never will.
    reason : str
        The reason of the refusal or failure; see ``outcomes.Reason``.

    Examples
    --------
    >>> RelayReport(True, "stopping").header()
    (b'relay-report', b'not-run stopping')
    """

    not_run: bool
    reason: str

    def header(self) -> tuple[bytes, bytes]:
        """Return the header that carries the report."""
        state = _NOT_RUN if self.not_run else _MAY_HAVE_RUN
        return (_HEADER, state + b" " + self.reason.encode())

    @classmethod
    def from_headers(cls, headers: HeaderList) -> "RelayReport | None":
        """Return the report in a response's headers; None if there is none, or it is malformed."""
        values = header_values(headers, _HEADER)
        if len(values) != 1:
            return None
        state, _, reason = values[0].partition(b" ")
        if state not in (_NOT_RUN, _MAY_HAVE_RUN) or not reason:
            return None
        return cls(state == _NOT_RUN, reason.decode("latin-1"))


def without_relay_report(headers: HeaderList) -> HeaderList:
    """Return the headers without any report."""
    return [item for item in headers if item[0] != _HEADER]
