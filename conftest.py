# SPDX-License-Identifier: BSD-3-Clause
"""Starts the longest files first; lets tests fail that KNOWN-RED.txt lists, and prints them."""

from pathlib import Path

import pytest

#: Files that last longest, several of them with real processes. A file's tests run one by one at
#: one worker; begun last, one of these would keep the others waiting.
_LONGEST = (
    "tests/test_processes.py",
    "turnward/gateway/tests/test_prepaid.py",
    "platform/tests/test_configuration_propagation.py",
    "platform/tests/test_zone_order_propagation.py",
    "platform/tests/test_zone_partitions.py",
    "platform/tests/test_soak.py",
    "platform/tests/test_stream_probe.py",
    "platform/tests/test_rejoined_streams.py",
    "platform/tests/test_cold_restarts.py",
)
_KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def _known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt, which begin with a test's id, by that id."""
    lines = _KNOWN_RED.read_text().splitlines() if _KNOWN_RED.exists() else []
    return {line.split()[0]: line for line in lines if line.strip()}


def pytest_collection_modifyitems(items):
    """Begin with the longest files; expect listed tests to fail."""
    items.sort(key=lambda item: not item.nodeid.startswith(_LONGEST))
    listed = _known_red()
    for item in items:
        line = listed.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests that were run."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.getreports(outcome):
            terminalreporter.write_line(f"known red, {outcome}: {report.wasxfail}")
