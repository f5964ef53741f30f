# SPDX-License-Identifier: BSD-3-Clause
"""Log lines on faults of a gateway process, of its callers and of stored rows."""

import traceback

from turnward.gateway.unreadable_rows import UnreadableRow
from turnward.http1 import Refusal

__all__ = ["ProcessLogs"]

#: Most characters of a row's key in a log line.
_MAX_KEY_CHARS = 200


class ProcessLogs:
    """Writes the lines.

    Parameters
    ----------
    log : GatewayLog
        Structured log of the process.
    """

    def __init__(self, log):
        self._log = log

    def exception(self, failure: Exception) -> None:
        """Log an exception that nothing handles."""
        where = traceback.extract_tb(failure.__traceback__)[-1:]
        self._log.failure(
            "process.fault",
            cause=f"{type(failure).__name__}: {failure}",
            where=[f"{frame.filename.rpartition('/')[2]}:{frame.lineno}" for frame in where],
        )

    def malformed_request(self, refusal: Refusal) -> None:
        """Log a request that is malformed or exceeds a limit."""
        self._log.failure("request.malformed", status=refusal.status, reason=refusal.reason)

    def unreadable_row(self, row: UnreadableRow) -> None:
        """Log a row that can't be decoded."""
        self._log.failure(
            "row.unreadable",
            table=row.key.table,
            key=row.key.key[:_MAX_KEY_CHARS],
            version=row.version,
            reason=row.reason,
            cause=row.cause,
        )
