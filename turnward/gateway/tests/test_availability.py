# SPDX-License-Identifier: BSD-3-Clause
"""Effect of an endpoint's feedback on its availability, whatever the order, and what ends it."""

from itertools import permutations

import msgspec
import pytest

from turnward.gateway.availability import Availability, UnavailableReason
from turnward.gateway.dialect import Dialect
from turnward.gateway.endpoint_feedback import EndpointFeedback
from turnward.gateway.outcomes import Reason
from turnward.gateway.tests.test_choice import ChoiceSimulation, omit

DIALECT = Dialect()
LEAVING = [(DIALECT.draining, b"1")]
DRAINING = EndpointFeedback(draining=True)


def retry_after(seconds):
    return [(b"retry-after", b"%g" % seconds)]


@pytest.fixture
def simulation():
    """Return four endpoints whose entries name their start time."""
    return ChoiceSimulation(born_ms=1_000)


def respond(simulation, name, status, headers):
    """Let an endpoint send a response head."""
    simulation.book.get(f"{name}@1000").pool.on_head(status, headers)


def chosen(simulation, times=40):
    return {choice.endpoint_id for choice in (simulation.choose() for _ in range(times)) if choice}


def test_strongest_reason_wins_in_any_order_of_feedback():
    steps = [
        lambda availability: availability.apply_feedback(DRAINING, 0.0),
        lambda availability: availability.apply_feedback(EndpointFeedback(backoff_s=5.0), 0.0),
        lambda availability: availability.succeeded(),
        lambda availability: availability.apply_entry(draining=False),
    ]
    for ordering in permutations(steps):
        availability = Availability()
        for apply in ordering:
            apply(availability)
        assert availability.unavailable_reason(1.0) is UnavailableReason.DRAINING
        availability.mark_replaced(1.0)
        assert availability.unavailable_reason(2.0) is UnavailableReason.REPLACED


def test_shorter_retry_after_or_success_does_not_shorten_a_backoff():
    availability = Availability()
    availability.apply_feedback(EndpointFeedback(backoff_s=4.0), 0.0)
    availability.apply_feedback(EndpointFeedback(backoff_s=0.5), 1.0)
    availability.succeeded()
    assert availability.unavailable_reason(3.9) is UnavailableReason.BACKOFF
    assert availability.unavailable_reason(4.0) is None


def test_repeated_feedback_is_reported_once():
    availability = Availability()
    assert (
        availability.apply_feedback(EndpointFeedback(backoff_s=3.0), 0.0)
        is UnavailableReason.BACKOFF
    )
    assert availability.apply_feedback(EndpointFeedback(backoff_s=3.0), 0.2) is None
    assert (
        availability.apply_feedback(EndpointFeedback(backoff_s=3.0), 1.0)
        is UnavailableReason.BACKOFF
    )
    assert availability.apply_feedback(DRAINING, 1.0) is UnavailableReason.DRAINING
    assert availability.apply_feedback(DRAINING, 2.0) is None


@pytest.mark.parametrize("status", [100, 200, 429, 500, 503])
def test_draining_in_any_response_outlasts_changed_entries(simulation, status):
    respond(simulation, "e-0", status, LEAVING)
    assert chosen(simulation) == {"e-1", "e-2", "e-3"}
    changed = msgspec.structs.replace(simulation.entries["e-0"], cold_left_s=1.0)
    simulation.book.set_entries({**simulation.entries, "e-0": changed})
    simulation.now_s += 60.0
    assert "e-0" not in chosen(simulation)


def test_draining_outlasts_an_entry_that_expires_and_returns(simulation):
    respond(simulation, "e-0", 200, LEAVING)
    omit(simulation, 0)
    simulation.now_s += 2.0
    simulation.book.set_entries(simulation.entries)
    assert "e-0" not in chosen(simulation)


def test_backoff_outlasts_an_entry_that_expires_and_returns(simulation):
    respond(simulation, "e-0", 503, retry_after(5.0))
    omit(simulation, 0)
    simulation.now_s += 2.0
    simulation.book.set_entries(simulation.entries)
    assert "e-0" not in chosen(simulation)
    simulation.now_s += 5.0
    assert "e-0" in chosen(simulation)


def test_restarted_endpoint_takes_requests(simulation):
    old = simulation.book.get("e-0@1000").pool
    respond(simulation, "e-0", 503, [*LEAVING, *retry_after(60.0)])
    entries = {
        **simulation.entries,
        "e-0": msgspec.structs.replace(simulation.entries["e-0"], born_ms=2_000),
    }
    simulation.book.set_entries(entries)
    assert "e-0" in chosen(simulation)
    # Late feedback of the earlier process does not apply to the new one.
    old.on_head(200, LEAVING)
    assert "e-0" in chosen(simulation)


def test_new_endpoint_at_a_draining_address_takes_requests(simulation):
    respond(simulation, "e-0", 200, LEAVING)
    newcomer = msgspec.structs.replace(simulation.entries["e-0"], endpoint_id="e-9", born_ms=2_000)
    simulation.book.set_entries({**simulation.entries, "e-9": newcomer})
    assert "e-9" in chosen(simulation)
    assert "e-0" not in chosen(simulation)


def test_feedback_of_another_process_at_the_address_is_ignored(simulation):
    respond(simulation, "e-0", 421, [*LEAVING, *retry_after(60.0)])
    assert chosen(simulation) == {"e-0", "e-1", "e-2", "e-3"}


def test_replaced_ends_with_a_changed_entry(simulation):
    simulation.book.get("e-0@1000").availability.mark_replaced(simulation.now_s)
    assert "e-0" not in chosen(simulation)
    changed = msgspec.structs.replace(simulation.entries["e-0"], slots=9)
    simulation.book.set_entries({**simulation.entries, "e-0": changed})
    assert "e-0" in chosen(simulation)


def test_endpoint_in_backoff_is_never_chosen_and_the_pool_reports_when_it_ends(simulation):
    for number, seconds in enumerate((3.0, 2.0, 5.0, 4.0)):
        respond(simulation, f"e-{number}", 503, retry_after(seconds))
    assert simulation.choose() is None
    assert not simulation.book.has_other("pool", set())
    shortage = simulation.book.shortage("pool")
    assert shortage.reason is Reason.ENDPOINTS_BACKING_OFF
    assert 2.0 <= shortage.available_in_s <= 2.0 * 1.25
    simulation.now_s += 2.0 * 1.25
    assert chosen(simulation) == {"e-1"}
    assert simulation.book.shortage("pool") is None


def test_pool_of_draining_endpoints_has_no_endpoint(simulation):
    for number in range(4):
        respond(simulation, f"e-{number}", 200, LEAVING)
    assert simulation.choose() is None
    assert simulation.book.shortage("pool").reason is Reason.NO_ENDPOINT


def test_backoff_ends_at_different_times_per_router():
    ends = set()
    for seed in range(20):
        simulation = ChoiceSimulation(seed=seed, born_ms=1_000)
        respond(simulation, "e-0", 503, retry_after(4.0))
        ends.add(round(simulation.book.get("e-0@1000").availability.backoff_left_s(0.0), 1))
    assert min(ends) >= 4.0
    assert max(ends) <= 5.0
    assert len(ends) >= 6
