# SPDX-License-Identifier: BSD-3-Clause
"""Parts of prompts that were beside one that crashes endpoints are not held back for good."""

import pytest

from turnward.quarantine import LostRun, PartQuarantine, QuarantineRule, Verdict


class Fleet:
    """One router's evidence, and a clock that goes on by a second with each crash."""

    def __init__(self):
        self.now_s = 10.0
        self.parts = PartQuarantine(lambda: self.now_s, QuarantineRule(), lambda change: None)

    def crash(self, endpoint, *runs):
        self.now_s += 1.0
        lost = [LostRun(run, self.now_s - 0.2, began=True) for run in runs]
        self.parts.record_begun(endpoint, lost, self.now_s)

    def progress(self, *parts):
        self.now_s += 0.1
        self.parts.record_progress(parts)

    def verdict(self, part):
        return self.parts.begun.verdict(part)


def test_part_whose_crashes_another_explains_in_part_is_on_trial_and_can_be_cleared():
    fleet = Fleet()
    fleet.crash("a", ("dead",), ("beside",))
    fleet.progress("other")
    fleet.crash("b", ("dead",), ("beside",))
    fleet.crash("c", ("beside",))
    fleet.crash("d", ("dead",))
    assert fleet.verdict("beside") is Verdict.ON_TRIAL
    fleet.now_s += 2.0
    assert fleet.parts.begin_trial(("beside",))
    fleet.parts.record_progress(("beside",))
    assert fleet.parts.held_in(("beside",)) == ()
    assert fleet.verdict("dead") is Verdict.CONFIRMED


def test_part_that_shares_some_crashes_with_others_that_are_not_suspicious_is_confirmed():
    fleet = Fleet()
    fleet.crash("a", ("dead",), ("beside",))
    fleet.progress("other")
    fleet.crash("b", ("dead",), ("beside",))
    fleet.crash("c", ("dead",))
    assert fleet.verdict("dead") is Verdict.CONFIRMED
    assert fleet.verdict("beside") is Verdict.ALLOWED


@pytest.mark.parametrize("together", [("dead", "beside"), ("beside", "dead")])
def test_parts_that_always_come_together_are_both_on_trial(together):
    fleet = Fleet()
    for endpoint in ("a", "b", "c"):
        fleet.crash(endpoint, together)
    assert fleet.verdict("dead") is fleet.verdict("beside") is Verdict.ON_TRIAL
    fleet.now_s += 2.0
    assert not fleet.parts.begin_trial(fleet.parts.held_in(together))
    fleet.parts.record_progress(("beside",))
    assert fleet.verdict("dead") is Verdict.CONFIRMED


def test_part_that_all_runs_share_is_tried_while_none_gets_past_its_first_events():
    fleet = Fleet()
    fleet.progress("shared")
    fleet.now_s += 5.0
    for endpoint in ("a", "b", "c"):
        fleet.crash(endpoint, ("shared",))
    assert fleet.verdict("shared") is Verdict.ON_TRIAL
    fleet.now_s += 2.0
    assert fleet.parts.begin_trial(("shared",))
    fleet.progress("shared")
    assert fleet.parts.held_in(("shared",)) == ()


def test_part_that_is_new_and_in_all_runs_is_tried():
    fleet = Fleet()
    for endpoint in ("a", "b", "c"):
        fleet.crash(endpoint, ("shared",))
    assert fleet.verdict("shared") is Verdict.ON_TRIAL
