# SPDX-License-Identifier: BSD-3-Clause
"""The documents that are made from code are up to date."""

import re
from pathlib import Path

import msgspec

from tools.package_pages import PAGES as PACKAGE_PAGES
from tools.package_pages import packages
from tools.package_pages import render as render_package
from tools.settings_reference import MEANINGS
from tools.settings_reference import PAGE as SETTINGS_PAGE
from tools.settings_reference import render as render_settings
from turnward.replay import GENERATORS, replay
from turnward.routing import POLICIES
from turnward.settings import RouterSettings


def test_settings_reference_is_made_from_the_code():
    assert set(MEANINGS) == set(RouterSettings.__struct_fields__)
    assert SETTINGS_PAGE.read_text() == render_settings()


def test_replay_gives_the_stated_outcomes_to_the_byte():
    stated = Path("docs/measurements/stated-outcomes.json").read_bytes()
    reports = {
        name: msgspec.to_builtins(replay(generate(), "score", POLICIES["score"]))
        for name, generate in GENERATORS.items()
    }
    assert msgspec.json.format(msgspec.json.encode(reports), indent=2) + b"\n" == stated


def test_links_between_documents_lead_somewhere():
    broken = []
    for page in Path("docs").rglob("*.md"):
        for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
            if not (page.parent / target).exists():
                broken.append(f"{page}: {target}")
    assert broken == []


def test_every_package_has_a_page_in_step_with_its_code():
    for package in packages():
        page = (PACKAGE_PAGES / f"{package.name}.md").read_text()
        assert render_package(package, page) == page
