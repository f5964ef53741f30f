# SPDX-License-Identifier: BSD-3-Clause
"""Tests of admission control, policies, ejection and retry budgets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turnward.endpoints import LoadReport
from turnward.replay import GENERATORS, ReplayOptions, replay
from turnward.resources import Endpoint, PriorityClass
from turnward.routing import POLICIES, AdmissionQueue, EndpointViews, RetryBudget, RouteRequest

CLASSES = {
    "till": PriorityClass(name="till", rank=0, max_wait_s=1.0),
    "statement": PriorityClass(name="statement", rank=5, max_wait_s=10.0),
}


def offer(queue, name, admitted, now_s=0.0):
    return queue.offer(name, now_s, lambda ok: admitted.append((name, ok)))


def test_urgent_class_is_admitted_first_and_has_reserved_slots():
    queue, admitted = AdmissionQueue(CLASSES), []
    queue.set_slots(4, 2)
    for _ in range(4):
        offer(queue, "statement", admitted)
    assert admitted == [("statement", True)] * 2
    for _ in range(2):
        offer(queue, "till", admitted)
    assert admitted[2:] == [("till", True)] * 2


def test_request_that_would_wait_too_long_is_rejected_immediately():
    queue, admitted = AdmissionQueue(CLASSES), []
    queue.set_slots(1)
    ticket = offer(queue, "till", admitted).ok
    queue.end(ticket, 30.0, 30.0)
    offer(queue, "till", admitted, 30.0)
    rejected = offer(queue, "till", admitted, 30.0)
    assert rejected.is_error()
    assert rejected.error.retry_after_s >= 1.0


def test_waiting_request_expires_at_its_wait_limit():
    queue, admitted = AdmissionQueue(CLASSES), []
    queue.set_slots(1)
    offer(queue, "till", admitted)
    offer(queue, "till", admitted)
    queue.dispatch(1.1)
    assert admitted == [("till", True), ("till", False)]


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(
    order=st.lists(st.sampled_from(["till", "statement", "end"]), max_size=40),
    slots=st.integers(1, 5),
)
def test_admission_fills_all_slots_and_never_exceeds_them(order, slots):
    """Requests in flight never exceed the slots, and none waits while a slot is free."""
    queue, running, waiting = AdmissionQueue(CLASSES), [], []
    queue.set_slots(slots)
    for action in order:
        if action == "end":
            if running:
                queue.end(running.pop(0), 0.01, 0.0)
        else:
            offered = queue.offer(action, 0.0, lambda ok: None)
            if offered.is_ok():
                waiting.append(offered.ok)
        running += [ticket for ticket in waiting if ticket.running]
        waiting = [ticket for ticket in waiting if not ticket.running]
        assert len(running) <= slots
        assert not waiting or len(running) == slots


def make_views(count):
    views = EndpointViews()
    endpoints = [
        Endpoint(name=f"e{number}", pool="p", url="http://127.0.0.1:1", zone="a")
        for number in range(count)
    ]
    views.set_endpoints(endpoints, 0.0)
    return views


def test_failing_endpoints_are_ejected_up_to_half_of_the_pool():
    views = make_views(4)
    for view in views.all()[:3]:
        for _ in range(3):
            views.sent(view)
            views.ended(view, False, 0.0, 1.0)
    assert len(views.candidates("p")) == 2


def test_suspect_endpoint_returns_with_slow_start():
    views = make_views(2)
    view = views.all()[0]
    for _ in range(3):
        views.sent(view)
        views.ended(view, False, 0.0, 1.0)
    assert not view.takes_work
    views.report_received(view, LoadReport(0, 0), 2.0)
    assert view.takes_work
    assert view.share(2.0) < view.share(4.0) < view.share(7.0) == 1.0


def test_draining_endpoint_gets_no_requests():
    views = make_views(2)
    views.report_received(views.all()[0], LoadReport(0, 0, leaving=True), 1.0)
    assert [view.name for view in views.candidates("p")] == ["e1"]


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_every_policy_chooses_a_candidate(policy):
    views = make_views(3).all()
    choice = POLICIES[policy]().choose(RouteRequest("p", "a", "prefix", 10), views, 1.0)
    assert choice.view in views


def test_retry_budget_is_a_share_of_successes():
    budget = RetryBudget(share=0.5, burst=2.0)
    assert [budget.take() for _ in range(3)] == [True, True, False]
    budget.record_success()
    assert not budget.take()
    budget.record_success()
    assert budget.take()


def test_retry_budget_limits_attempts_in_an_outage():
    trace = GENERATORS["saturday-burst"](load=0.6, duration_s=20.0)
    outage = ReplayOptions(outage_s=(5.0, 10.0))
    report = replay(trace, "score", POLICIES["score"], outage)
    unlimited = replay(
        trace, "score", POLICIES["score"], ReplayOptions(outage_s=(5.0, 10.0), retry_share=-1.0)
    )
    assert report.attempts <= 1.2 * len(trace.requests) < unlimited.attempts


def test_score_beats_least_in_flight_on_shared_prefixes():
    trace = GENERATORS["saturday-burst"](load=0.8)
    score_report = replay(trace, "score", POLICIES["score"])
    baseline_report = replay(trace, "least_in_flight", POLICIES["least_in_flight"])
    assert score_report.first_token_mean_s <= 0.7 * baseline_report.first_token_mean_s


def test_draining_engine_gets_no_requests_despite_late_load_reports():
    trace = GENERATORS["saturday-burst"](load=0.6, duration_s=20.0)
    options = ReplayOptions(drain_at_s=10.0, report_lag_s=2.0)
    report = replay(trace, "score", POLICIES["score"], options)
    assert report.last_new_work_s <= 10.0
    assert sum(entry.refused for entry in report.classes.values()) == 0
