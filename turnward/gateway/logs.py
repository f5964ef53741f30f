# SPDX-License-Identifier: BSD-3-Clause
"""Structured logging to standard output that never blocks the process.

Lines that cannot be written immediately wait in a bounded buffer. Lines that do not fit into the
buffer, or exceed the rate limit, are dropped and counted. Normal lines, failures and state changes
have separate rate limits, so that none of them exhausts the limit of another.
"""

import os
import time
from collections import Counter
from collections.abc import Callable

import msgspec
import structlog

__all__ = ["BoundedLineWriter", "GatewayLog", "LineBudget"]

_BUFFER_BYTES = 262_144
#: Shortest time between two lines on dropped lines.
_DROP_REPORT_INTERVAL_S = 5.0


class BoundedLineWriter:
    """Writes lines to a file descriptor without ever blocking.

    Parameters
    ----------
    descriptor : int
        The file descriptor; it is set to non-blocking mode.
    limit_bytes : int
        Size of the buffer for lines that could not be written yet.
    """

    def __init__(self, descriptor: int, limit_bytes: int = _BUFFER_BYTES):
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._waiting = bytearray()
        self._broken = False
        os.set_blocking(descriptor, False)

    @property
    def waiting_bytes(self) -> int:
        """Bytes that are buffered and not written yet."""
        return len(self._waiting)

    def write_line(self, line: bytes) -> bool:
        """Write or buffer a line; return False if it was dropped."""
        if self._broken or len(self._waiting) + len(line) + 1 > self._limit_bytes:
            self.flush()
            if self._broken or len(self._waiting) + len(line) + 1 > self._limit_bytes:
                return False
        self._waiting += line
        self._waiting += b"\n"
        self.flush()
        return True

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._waiting and not self._broken:
            try:
                written = os.write(self._descriptor, self._waiting)
            except BlockingIOError:
                return
            except OSError:
                self._broken = True
                self._waiting.clear()
                return
            del self._waiting[:written]


class LineBudget:
    """A token bucket that limits the rate of lines."""

    __slots__ = ("_burst", "_level", "_per_s", "_updated_s")

    def __init__(self, per_s: float, burst: float):
        self._per_s = per_s
        self._burst = burst
        self._level = burst
        self._updated_s = 0.0

    def take(self, now_s: float) -> bool:
        """Use one line of the budget; return False if it is exhausted."""
        self._level = min(self._burst, self._level + (now_s - self._updated_s) * self._per_s)
        self._updated_s = now_s
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class GatewayLog:
    """The structured log of one process.

    Parameters
    ----------
    writer : BoundedLineWriter
        Destination of the lines.
    clock : callable
        Steady clock in seconds.
    incarnation : str
        Identifier of the process, written on every line.
    lines_per_s, failures_per_s, state_changes_per_s, endings_per_s : float
        Rate limits of normal lines, failures, state changes and ends of requests.
    """

    def __init__(
        self,
        writer: BoundedLineWriter,
        clock: Callable[[], float],
        incarnation: str,
        lines_per_s: float = 100.0,
        failures_per_s: float = 100.0,
        state_changes_per_s: float = 50.0,
        endings_per_s: float = 150.0,
    ):
        self._writer = writer
        self._clock = clock
        self._normal = LineBudget(lines_per_s, 2 * lines_per_s)
        self._failures = LineBudget(failures_per_s, 2 * failures_per_s)
        self._state_changes = LineBudget(state_changes_per_s, 4 * state_changes_per_s)
        self._endings = LineBudget(endings_per_s, 2 * endings_per_s)
        self._dropped: Counter[str] = Counter()
        self._dropped_total = 0
        self._drops_reported_s = clock()
        logger = structlog.wrap_logger(
            _LineLogger(self._write),
            processors=[self._stamp, structlog.processors.JSONRenderer(serializer=_encode)],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        )
        self._logger = logger.bind(incarnation=incarnation)

    def event(self, event: str, **fields) -> None:
        """Log an event."""
        self._log(self._normal, event, fields)

    def failure(self, event: str, **fields) -> None:
        """Log a failure."""
        self._log(self._failures, event, fields)

    def ending(self, event: str, **fields) -> None:
        """Log the end of a request, whatever its outcome.

        Shares of outcomes that are counted in these lines hold also while lines are left out.
        """
        self._log(self._endings, event, fields)

    def belief(self, event: str, **fields) -> None:
        """Log a change in the known state, such as a lost peer or a quarantined content.

        These lines explain later failures, so they are logged even when the limit for failures is
        exhausted.
        """
        self._log(self._state_changes, event, fields)

    def flush(self) -> None:
        """Write buffered lines and, from time to time, a line on dropped ones."""
        now_s = self._clock()
        if self._dropped and now_s - self._drops_reported_s >= _DROP_REPORT_INTERVAL_S:
            self._drops_reported_s = now_s
            dropped, self._dropped = dict(self._dropped), Counter()
            self._logger.msg("log.left_out", lines=dropped)
        self._writer.flush()

    def _log(self, budget: LineBudget, event: str, fields) -> None:
        if not budget.take(self._clock()):
            self._drop(event)
            return
        self._logger.msg(event, **fields)

    def _stamp(self, _logger, _method, line):
        line["steady_s"] = round(self._clock(), 4)
        line["wall_s"] = round(time.time(), 3)
        return line

    def _write(self, line: bytes) -> None:
        if not self._writer.write_line(line):
            self._drop("not_written")

    def _drop(self, cause: str) -> None:
        self._dropped[cause] += 1
        self._dropped_total += 1

    def take_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        count, self._dropped_total = self._dropped_total, 0
        return count


class _LineLogger:
    """The logger that structlog passes rendered lines to."""

    def __init__(self, write):
        self.msg = write


def _encode(line, **_options) -> bytes:
    return msgspec.json.encode(line, enc_hook=str)
