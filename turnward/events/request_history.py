# SPDX-License-Identifier: BSD-3-Clause
"""Collects the history of one request from the log lines that gateways write.

A line may have a prefix, added by the program that collected the lines. A number at
the start of the prefix is used as the line's time, else the line's own wall time.
"""

import re
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["GatewayLine", "parse_line", "read_lines", "render_line", "collect_history"]

#: Changes of a process's state that concern all requests.
STATE_CHANGE_EVENTS = frozenset(
    (
        "process.started",
        "process.stopping",
        "process.stopped",
        "process.reloaded",
        "configuration.adopted",
        "endpoints.adopted",
        "endpoint.said",
        "endpoint.told_of",
        "store.lost",
        "store.regained",
        "store.returned",
        "store.read_again",
        "peer.lost",
        "peer.regained",
        "prepaid.answer_lost",
        "prepaid.contact_lost",
        "prepaid.contact_regained",
        "prepaid.resolved",
        "prepaid.predecessors",
        "log.left_out",
    )
)
#: Changes of a workspace's tokens, shown if they concern the request's workspace.
TOKEN_EVENTS = frozenset(
    (
        "prepaid.taken",
        "prepaid.returned",
        "prepaid.lent",
        "prepaid.borrowed",
        "prepaid.restored",
    )
)
#: Why a content is quarantined; shown for all processes, since all of them quarantine it.
CONTENT_EVENTS = frozenset(("attempt.failed", "content.held", "content.tried", "content.cleared"))

_PREFIX = re.compile(r"^\s*(-?\d+(?:\.\d+)?)?[^{]*$")


class GatewayLine(msgspec.Struct, frozen=True):
    """One log line of a gateway."""

    time_s: float
    incarnation: str
    event: str
    fields: dict[str, Any]


def parse_line(text: str) -> GatewayLine | None:
    """Parse a line; return None if it is not a log line of a gateway.

    Examples
    --------
    >>> parse_line('7.5 n1 {"event": "process.started", "incarnation": "n1@a"}').time_s
    7.5
    >>> parse_line("something else") is None
    True
    """
    start = text.find("{")
    prefix = _PREFIX.match(text[:start]) if start >= 0 else None
    if prefix is None:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
        event = fields.pop("event")
        incarnation = fields.pop("incarnation")
    except (msgspec.DecodeError, AttributeError, KeyError):
        return None
    time_s = float(prefix[1]) if prefix[1] else float(fields.get("wall_s", 0.0))
    for clock in ("steady_s", "wall_s"):
        fields.pop(clock, None)
    return GatewayLine(time_s, incarnation, event, fields)


def read_lines(path: Path) -> list[GatewayLine]:
    """Return the gateways' log lines in a file and ignore other lines."""
    with path.open(encoding="utf-8", errors="replace") as file:
        parsed = (parse_line(text) for text in file)
        return [line for line in parsed if line is not None]


def collect_history(
    lines: list[GatewayLine], request_id: str, around_s: float
) -> list[GatewayLine]:
    """Return the lines of a request and the state changes around it, ordered by time.

    Parameters
    ----------
    lines : list of GatewayLine
        Log lines of one or more processes.
    request_id : str
        The request's id.
    around_s : float
        Seconds before and after the request in which state changes are included.
    """
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return []
    took_s = max(line.fields.get("took_ms", 0.0) for line in request_lines) / 1_000
    since_s = min(line.time_s for line in request_lines) - took_s - around_s
    until_s = max(line.time_s for line in request_lines) + around_s
    incarnations = {line.incarnation for line in request_lines}
    workspaces = {line.fields.get("workspace") for line in request_lines} - {None, ""}
    contents = {line.fields.get("content") for line in request_lines} - {None, ""}

    def is_relevant(line: GatewayLine) -> bool:
        if line.fields.get("request") == request_id:
            return True
        if line.event in CONTENT_EVENTS and line.fields.get("content") in contents:
            return True
        if line.incarnation not in incarnations or not since_s <= line.time_s <= until_s:
            return False
        return line.event in STATE_CHANGE_EVENTS or (
            line.event in TOKEN_EVENTS and line.fields.get("workspace") in workspaces
        )

    return sorted((line for line in lines if is_relevant(line)), key=lambda line: line.time_s)


def render_line(line: GatewayLine) -> str:
    """Return a line as readable text."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if value not in (None, "")
    )
    return f"{line.time_s:.3f} {line.incarnation} {line.event} {fields}"
