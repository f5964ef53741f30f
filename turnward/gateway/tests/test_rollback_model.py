# SPDX-License-Identifier: BSD-3-Clause
"""Routers keep to what they know of orders and endpoints across several rollbacks of the store.

``TURNWARD_SCHEDULES=n`` plays that many schedules of the model instead of a few.
"""

import os
import random

import pytest

from turnward.gateway.feeds import TableFeed
from turnward.gateway.removed_endpoints import RemovedEndpoints
from turnward.gateway.tests.rollback_model import find_violations, schedules

_SCHEDULES = int(os.environ.get("TURNWARD_SCHEDULES", "150"))


def sample(count):
    every = list(schedules())
    return random.Random(1).sample(every, min(count, len(every)))


def violations(count):
    return {
        violation: schedule for schedule in sample(count) for violation in find_violations(schedule)
    }


def test_orders_and_endpoints_across_rollbacks():
    assert violations(_SCHEDULES) == {}


@pytest.mark.parametrize(
    ("owner", "method", "replacement", "found"),
    [
        (TableFeed, "_record_era", lambda *_: None, "a standing order is not in force"),
        (RemovedEndpoints, "correct", lambda _, entries, *__: entries, "a sound endpoint is not"),
        (RemovedEndpoints, "mark_removed", lambda *_: None, "an ended endpoint is in use"),
        (RemovedEndpoints, "record_view", lambda *_: None, "an ended endpoint is used again"),
    ],
)
def test_model_finds_broken_variants(monkeypatch, owner, method, replacement, found):
    monkeypatch.setattr(owner, method, replacement)
    assert any(violation.startswith(found) for violation in violations(150))
