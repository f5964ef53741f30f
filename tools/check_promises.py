# SPDX-License-Identifier: BSD-3-Clause
"""Checks that every test named in docs/promises.md was run and passed.

Tests listed in KNOWN-RED.txt may fail; the list is printed.
"""

import re
import sys
import xml.etree.ElementTree as ET
from pathlib import Path

__all__ = ["check", "main"]

_TEST_REFERENCE = re.compile(r"`([\w/]+\.py)::(\w+)`")
_PAGE = Path("docs/promises.md")
_KNOWN_RED = Path("KNOWN-RED.txt")


def results(report: str) -> dict[tuple[str, str], bool]:
    """Return whether each test passed, by file and test name without its parameters.

    A parametrized test passes if all its cases do; a skipped case counts as failed.
    """
    found: dict[tuple[str, str], bool] = {}
    for case in ET.parse(report).getroot().iter("testcase"):
        file = case.get("classname", "").replace(".", "/") + ".py"
        name = case.get("name", "").partition("[")[0]
        passed = not any(child.tag in ("failure", "error", "skipped") for child in case)
        found[(file, name)] = found.get((file, name), True) and passed
    return found


def check(text: str, found: dict[tuple[str, str], bool], known_red: str) -> list[str]:
    """Return a message for each test named in the text that was not run or did not pass."""
    named = _TEST_REFERENCE.findall(text)
    faults = [] if named else ["no test is named"]
    for file, name in named:
        if (file, name) not in found:
            faults.append(f"{file}::{name} was not run")
        elif not found[(file, name)] and name not in known_red:
            faults.append(f"{file}::{name} did not pass")
    return faults


def main() -> int:
    """Check the page against a JUnit report; return the exit status."""
    known_red = _KNOWN_RED.read_text() if _KNOWN_RED.exists() else ""
    if known_red.strip():
        print(f"known red:\n{known_red}")
    found = results(sys.argv[1])
    faults = check(_PAGE.read_text(), found, known_red)
    for fault in faults:
        print(f"promises: {fault}", file=sys.stderr)
    if not faults:
        print(f"promises: every named test was run and passed ({len(found)} tests in all)")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
