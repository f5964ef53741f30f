# SPDX-License-Identifier: BSD-3-Clause
"""Lets the tests that KNOWN-RED.txt lists fail, and prints how they went."""

from pathlib import Path

import pytest

_KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def _known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt, which begin with a test's id, by that id."""
    lines = _KNOWN_RED.read_text().splitlines() if _KNOWN_RED.exists() else []
    return {line.split()[0]: line for line in lines if line.strip()}


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail."""
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
