# SPDX-License-Identifier: BSD-3-Clause
"""The page on eras of the store lists every table that a gateway writes."""

import re
from pathlib import Path

PAGE = Path("docs/decisions/0028-eras-of-the-store.md")
TABLE = re.compile(r'^(?:\w+_)?TABLE = "([a-z]+)"$', re.MULTILINE)

READ_ONLY = {"configuration", "endpoints"}


def test_page_lists_every_table_that_routers_write():
    sources = [path.read_text() for path in Path("turnward/gateway").glob("*.py")]
    tables = {name for source in sources for name in TABLE.findall(source)}
    section = PAGE.read_text().partition("Every row that routers write")[2]
    named = set(re.findall(r"^\| `([a-z]+)` \|", section, re.MULTILINE))
    assert named == tables - READ_ONLY
