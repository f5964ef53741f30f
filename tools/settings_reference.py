# SPDX-License-Identifier: BSD-3-Clause
"""Generates docs/operators/settings.md from the type of the router's settings."""

import sys
from pathlib import Path

import msgspec

from tools.markdown import table
from turnward.settings import RouterSettings

__all__ = ["main", "render"]

PAGE = Path("docs/operators/settings.md")

#: Description of each setting; a test checks that the keys are the fields of `RouterSettings`.
MEANINGS = {
    "instance": "name of the instance, unique in the fleet",
    "zone": "availability zone it stands in",
    "region": "region it stands in",
    "callers_address": "IP:port for callers",
    "operators_address": "IP:port for operators",
    "peers_address": "IP:port for other routers",
    "platform_url": "base URL of table, objects and instance list",
    "operator_key_sha256": "SHA-256 of the operators' key, hexadecimal",
    "statsd_address": "IP:port of statsd; empty sends nothing",
    "log_json": "log lines as JSON",
    "platform_timeout_s": "limit of one call of the platform",
    "config_poll_s": "how often the configuration's head is read",
    "membership_poll_s": "how often the fleet's head and the instance list are read",
    "heartbeat_s": "how often each buddy is told that this router lives",
    "peer_timeout_s": "limit for another router's answer",
    "gone_after_s": "silence after which an unlisted router is fenced",
    "fence_listed_after_s": "silence after which a listed router is fenced",
    "bill_flush_s": "longest time a bill waits to be written with others",
    "grant_horizon_s": "seconds of demand a full grant covers",
    "grant_period_s": "how often grants are planned",
    "grant_wait_s": "how long a request waits for a grant",
    "grant_minimum_tokens": "smallest grant worth a write",
    "event_ship_s": "how often events go to the object store",
    "event_sample": "ship the routine events of one request in so many; others all",
    "drain_grace_s": "how long a leaving router still listens",
    "stop_limit_s": "longest planned stop",
    "request_limit_bytes": "largest body of a caller's request",
    "connection_limit": "callers' connections at once",
    "idle_timeout_s": "silence after which a caller's connection is closed",
    "answer_timeout_s": "limit of one run or call at an endpoint",
    "id_retention_s": "age above which an id of a call that may not be repeated is refused",
}


def render() -> str:
    """Return the page's text."""
    rows = []
    for field in msgspec.structs.fields(RouterSettings):
        default = "required" if field.required else repr(field.default)
        rows.append([f"`{field.name}`", default, MEANINGS[field.name]])
    return (
        "# Settings of a router\n\nMade by `tools/settings_reference.py`. Names end in their "
        "unit.\n\n" + table(["key", "default", "meaning"], rows) + "\n"
    )


def main() -> int:
    """Write the page."""
    PAGE.write_text(render())
    return 0


if __name__ == "__main__":
    sys.exit(main())
