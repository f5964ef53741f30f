# SPDX-License-Identifier: BSD-3-Clause
"""Structured lines on standard output that never hold the process up.

A line that can't be written at once waits in a bounded buffer. What does not
fit there, or is over the budget of lines a second, is counted and left out;
lines on failures have a budget of their own, so that they go first.
"""

import os
import time
from collections import Counter
from collections.abc import Callable

import msgspec
import structlog

__all__ = ["BoundedLineWriter", "GatewayLog", "LineBudget"]

#: Bytes of lines that wait for a reader of standard output.
_BUFFER_BYTES = 262_144
#: Seconds between two lines that tell what was left out.
_REPORT_PERIOD_S = 5.0


class BoundedLineWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking.
    limit_bytes : int
        Most bytes that wait.
    """

    def __init__(self, descriptor: int, limit_bytes: int = _BUFFER_BYTES):
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._waiting = bytearray()
        self._broken = False
        os.set_blocking(descriptor, False)

    @property
    def waiting_bytes(self) -> int:
        """Bytes that wait for the reader."""
        return len(self._waiting)

    def write_line(self, line: bytes) -> bool:
        """Write a line or let it wait; False when it is left out."""
        if self._broken or len(self._waiting) + len(line) + 1 > self._limit_bytes:
            self.flush()
            if self._broken or len(self._waiting) + len(line) + 1 > self._limit_bytes:
                return False
        self._waiting += line
        self._waiting += b"\n"
        self.flush()
        return True

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
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
    """A budget of lines a second that may be saved up for a while."""

    __slots__ = ("_burst", "_level", "_per_s", "_seen_s")

    def __init__(self, per_s: float, burst: float):
        self._per_s = per_s
        self._burst = burst
        self._level = burst
        self._seen_s = 0.0

    def take(self, now_s: float) -> bool:
        """Use one line; False when none is left."""
        self._level = min(self._burst, self._level + (now_s - self._seen_s) * self._per_s)
        self._seen_s = now_s
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


class GatewayLog:
    """The lines of one process.

    Parameters
    ----------
    writer : BoundedLineWriter
        Where they go.
    clock : callable
        Steady clock in seconds.
    incarnation : str
        Written on every line.
    lines_per_s, failures_per_s, beliefs_per_s : float
        Budgets of lines on what went well, on what failed, and on what the process takes for true.
    """

    def __init__(
        self,
        writer: BoundedLineWriter,
        clock: Callable[[], float],
        incarnation: str,
        lines_per_s: float = 100.0,
        failures_per_s: float = 100.0,
        beliefs_per_s: float = 50.0,
    ):
        self._writer = writer
        self._clock = clock
        self._normal = LineBudget(lines_per_s, 2 * lines_per_s)
        self._failures = LineBudget(failures_per_s, 2 * failures_per_s)
        self._beliefs = LineBudget(beliefs_per_s, 4 * beliefs_per_s)
        self._left_out: Counter[str] = Counter()
        self._left_out_total = 0
        self._reported_s = clock()
        logger = structlog.wrap_logger(
            _LineLogger(self._write),
            processors=[self._stamp, structlog.processors.JSONRenderer(serializer=_encode)],
            wrapper_class=structlog.BoundLogger,
            cache_logger_on_first_use=True,
        )
        self._logger = logger.bind(incarnation=incarnation)

    def event(self, event: str, **fields) -> None:
        """Write a line on a decision."""
        self._log(self._normal, event, fields)

    def failure(self, event: str, **fields) -> None:
        """Write a line on a decision that ends in a failure."""
        self._log(self._failures, event, fields)

    def belief(self, event: str, **fields) -> None:
        """Write a line on a change of what the process takes for true.

        In a wave of failures, whose lines use up their budget, it tells why they are decided so.
        """
        self._log(self._beliefs, event, fields)

    def flush(self) -> None:
        """Write what waits, and now and then what was left out."""
        now_s = self._clock()
        if self._left_out and now_s - self._reported_s >= _REPORT_PERIOD_S:
            self._reported_s = now_s
            left_out, self._left_out = dict(self._left_out), Counter()
            self._logger.msg("log.left_out", lines=left_out)
        self._writer.flush()

    def _log(self, budget: LineBudget, event: str, fields) -> None:
        if not budget.take(self._clock()):
            self._leave_out(event)
            return
        self._logger.msg(event, **fields)

    def _stamp(self, _logger, _method, line):
        line["steady_s"] = round(self._clock(), 4)
        line["wall_s"] = round(time.time(), 3)
        return line

    def _write(self, line: bytes) -> None:
        if not self._writer.write_line(line):
            self._leave_out("not_written")

    def _leave_out(self, what: str) -> None:
        self._left_out[what] += 1
        self._left_out_total += 1

    def take_dropped_count(self) -> int:
        """Return how many lines were left out since the last call."""
        taken, self._left_out_total = self._left_out_total, 0
        return taken


class _LineLogger:
    """What structlog hands finished lines to."""

    def __init__(self, write):
        self.msg = write


def _encode(line, **_options) -> bytes:
    return msgspec.json.encode(line, enc_hook=str)
