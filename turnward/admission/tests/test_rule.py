# SPDX-License-Identifier: BSD-3-Clause
"""Admission bounds by urgency, and the expected remaining time of an overload."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turnward.admission import AdmissionRule, OverloadPeriod

RULE = AdmissionRule()
TARGET_S = 0.8
QUEUES_MS = st.floats(0.0, 1e6)


def bound_ms(rank):
    """Return the longest queue at which a request of this rank is admitted."""
    return 1e6 - RULE.excess_ms(1e6, TARGET_S, rank)


@given(target_s=st.floats(0.001, 100.0), rank=st.integers(0, 12))
def test_request_is_never_refused_when_the_queue_is_empty(target_s, rank):
    assert RULE.excess_ms(0.0, target_s, rank) == 0.0


@given(queue_ms=QUEUES_MS, extra_ms=QUEUES_MS, rank=st.integers(0, 11))
def test_longer_queue_or_lower_urgency_never_admits_a_refused_request(queue_ms, extra_ms, rank):
    before = RULE.excess_ms(queue_ms, TARGET_S, rank)
    assert RULE.excess_ms(queue_ms + extra_ms, TARGET_S, rank) >= before
    assert RULE.excess_ms(queue_ms, TARGET_S, rank + 1) >= before


def test_less_urgent_requests_leave_room_for_urgent_ones():
    assert [bound_ms(rank) for rank in range(4)] == pytest.approx([560.0, 400.0, 280.0, 280.0])


def test_without_shares_every_request_is_admitted():
    assert AdmissionRule(shares=()).excess_ms(1e9, TARGET_S, 0) == 0.0


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def test_expected_remaining_overload_is_half_its_age_up_to_a_limit():
    clock = Clock()
    period = OverloadPeriod(clock)
    for _ in range(40):
        remaining_s = period.note_refused()
        assert remaining_s == pytest.approx(min(4.0, (clock.now_s - 100.0) / 2))
        clock.now_s += 0.5
    assert remaining_s == 4.0


def test_pause_without_refusals_ends_an_overload_period():
    clock = Clock()
    period = OverloadPeriod(clock)
    period.note_refused()
    clock.now_s += 0.9
    assert period.note_refused() > 0.0
    clock.now_s += 1.1
    assert period.note_refused() == 0.0
