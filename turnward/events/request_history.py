# SPDX-License-Identifier: BSD-3-Clause
"""Tells one request's story from the lines that gateways write to standard output.

Lines may carry a prefix of whoever gathered them; a number before the braces is
taken for the time, otherwise the line's own wall time is.
"""

import re
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["GatewayLine", "parse_line", "read_lines", "render_line", "collect_history"]

#: What changes what a process believes, whichever request it serves.
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
#: Changes of one workspace's tokens; shown where the request's workspace is known.
TOKEN_EVENTS = frozenset(
    (
        "prepaid.taken",
        "prepaid.returned",
        "prepaid.lent",
        "prepaid.borrowed",
        "prepaid.restored",
    )
)
#: What tells why a content is held back; shown of all processes, since all of them hold it back.
CONTENT_EVENTS = frozenset(("attempt.failed", "content.held", "content.tried", "content.cleared"))

_PREFIX = re.compile(r"^\s*(-?\d+(?:\.\d+)?)?[^{]*$")


class GatewayLine(msgspec.Struct, frozen=True):
    """One line: when, of which process, what, and its fields."""

    time_s: float
    incarnation: str
    event: str
    fields: dict[str, Any]


def parse_line(text: str) -> GatewayLine | None:
    """Return a line's content, or None when it is no line of a gateway.

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
    """Return the gateways' lines of a file; other lines are passed over."""
    with path.open(encoding="utf-8", errors="replace") as file:
        parsed = (parse_line(text) for text in file)
        return [line for line in parsed if line is not None]


def collect_history(
    lines: list[GatewayLine], request_id: str, around_s: float
) -> list[GatewayLine]:
    """Return the lines on a request, and what its processes came to believe around it."""
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return []
    took_s = max(line.fields.get("took_ms", 0.0) for line in own) / 1_000
    since_s = min(line.time_s for line in own) - took_s - around_s
    until_s = max(line.time_s for line in own) + around_s
    incarnations = {line.incarnation for line in own}
    workspaces = {line.fields.get("workspace") for line in own} - {None, ""}
    contents = {line.fields.get("content") for line in own} - {None, ""}

    def belongs(line: GatewayLine) -> bool:
        if line.fields.get("request") == request_id:
            return True
        if line.event in CONTENT_EVENTS and line.fields.get("content") in contents:
            return True
        if line.incarnation not in incarnations or not since_s <= line.time_s <= until_s:
            return False
        return line.event in STATE_CHANGE_EVENTS or (
            line.event in TOKEN_EVENTS and line.fields.get("workspace") in workspaces
        )

    return sorted((line for line in lines if belongs(line)), key=lambda line: line.time_s)


def render_line(line: GatewayLine) -> str:
    """Return a line as a person reads it."""
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if value not in (None, "")
    )
    return f"{line.time_s:.3f} {line.incarnation} {line.event} {fields}"
