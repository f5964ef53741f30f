# SPDX-License-Identifier: BSD-3-Clause
"""What is known of a pool's versions, in each order in which it becomes known."""

from itertools import permutations

import pytest

from turnward.software_versions import PoolVersions

LIMIT_S = 40.0


class Start:
    """What a process learns at its start, step by step."""

    def __init__(self):
        self.now_s = 100.0
        self.limit_s = None
        self.versions = PoolVersions(lambda: self.now_s, lambda pool: self.limit_s)

    def configure(self):
        self.limit_s = LIMIT_S

    def read_endpoints(self):
        self.versions.set_present({"pool": {"v2"}})

    def read_rows(self):
        self.versions.add_recorded({"pool": ("v1", "v2")})

    def step(self, name):
        getattr(self, name)()
        self.now_s += 0.1


STEPS = ("configure", "read_endpoints", "read_rows")


@pytest.mark.parametrize("order", tuple(permutations(STEPS)), ids="-".join)
def test_version_that_has_left_is_forgotten_in_no_order_of_arrival(order):
    start = Start()
    for name in order:
        assert start.versions.is_mixed("pool")
        start.step(name)
    assert start.versions.of("pool") == {"v1", "v2"}
    assert start.versions.is_mixed("pool")
    start.now_s += LIMIT_S
    assert start.versions.of("pool") == {"v2"}
    assert not start.versions.is_mixed("pool")


@pytest.mark.parametrize("order", tuple(permutations(STEPS[:2])), ids="-".join)
def test_pool_that_nobody_recorded_is_of_unknown_past_for_as_long_as_a_stream_lasts(order):
    start = Start()
    for name in order:
        start.step(name)
    start.versions.add_recorded({"other": ("v1",)})
    assert start.versions.is_mixed("pool")
    start.now_s += LIMIT_S
    assert not start.versions.is_mixed("pool")


def test_gap_makes_the_past_unknown_until_it_is_recorded_again():
    start = Start()
    for name in STEPS:
        start.step(name)
    start.now_s += LIMIT_S
    start.versions.forget_past()
    assert start.versions.is_mixed("pool")
    start.versions.add_recorded({"pool": ("v2",)})
    assert not start.versions.is_mixed("pool")


def test_versions_that_are_added_without_a_record_leave_the_past_unknown():
    start = Start()
    start.configure()
    start.read_endpoints()
    start.versions.add_versions({"pool": ("v2",)})
    assert start.versions.is_mixed("pool")


def test_stream_limit_that_is_gone_or_shorter_for_a_while_forgets_no_version():
    start = Start()
    for name in STEPS:
        start.step(name)
    assert start.versions.is_mixed("pool")
    for limit_s in (0.0, None, 1.0, LIMIT_S):
        start.limit_s = limit_s
        start.now_s += 5.0
        assert start.versions.of("pool") == {"v1", "v2"}
    start.limit_s = 1.0
    start.versions.set_present({"pool": {"v3"}})
    start.now_s += LIMIT_S - 1.0
    assert start.versions.of("pool") == {"v2", "v3"}
    start.now_s += 2.0
    assert start.versions.of("pool") == {"v3"}


def test_version_that_may_have_come_back_during_a_gap_is_kept_for_as_long_as_its_streams_last():
    start = Start()
    for name in STEPS:
        start.step(name)
    start.now_s += LIMIT_S - 5.0
    start.versions.forget_past()
    start.versions.add_recorded({"pool": ("v1", "v2")})
    start.now_s += LIMIT_S - 1.0
    assert start.versions.of("pool") == {"v1", "v2"}
    start.now_s += 2.0
    assert start.versions.of("pool") == {"v2"}


def test_versions_of_streams_that_move_to_a_pool_are_kept_for_as_long_as_they_last():
    start = Start()
    for name in STEPS:
        start.step(name)
    start.now_s += LIMIT_S
    start.versions.add_recorded({"other": ("v0", "v2")})
    start.versions.move_streams("pool", ("other",))
    start.now_s += LIMIT_S - 1.0
    assert start.versions.of("pool") == {"v0", "v2"}
    start.now_s += 2.0
    assert start.versions.of("pool") == {"v2"}


def test_pool_to_which_streams_of_unknown_past_move_is_of_unknown_past():
    start = Start()
    for name in STEPS:
        start.step(name)
    start.now_s += LIMIT_S
    start.versions.forget_past()
    start.versions.add_recorded({"pool": ("v2",)})
    assert not start.versions.is_mixed("pool")
    start.versions.move_streams("pool", ("other",))
    assert start.versions.is_mixed("pool")
