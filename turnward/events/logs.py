# SPDX-License-Identifier: BSD-3-Clause
"""Logging with structlog, with a fixed prefix for each component."""

import sys

import structlog

__all__ = ["configure_logs", "get_log"]


def configure_logs(as_json: bool = False) -> None:
    """Write log lines to standard error, as JSON if ``as_json`` is set."""
    renderer = (
        structlog.processors.JSONRenderer()
        if as_json
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _add_prefix,
            structlog.processors.format_exc_info,
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


def get_log(prefix: str):
    """Return a logger whose lines start with ``prefix``."""
    return structlog.get_logger(prefix=prefix)


def _add_prefix(_logger, _method, line):
    prefix = line.pop("prefix", "")
    if prefix:
        line["event"] = f"{prefix}: {line['event']}"
    return line
