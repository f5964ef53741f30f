# SPDX-License-Identifier: BSD-3-Clause
"""When and for how long a content is quarantined, and how routers agree on it."""

import random

import msgspec
import pytest

from turnward.quarantine import (
    EMPTY_QUARANTINE_UPDATE,
    Quarantine,
    QuarantineRule,
    QuarantineUpdate,
    Verdict,
)

RULE = QuarantineRule()


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now_s = 1_000.0

    def __call__(self):
        return self.now_s


class Router:
    """One router's quarantine, and the changes it reported."""

    def __init__(self, clock, rule=RULE):
        self.clock = clock
        self.changes = []
        self.quarantine = Quarantine(
            clock, rule, lambda change: self.changes.append((change.content, change.quarantined))
        )

    def abort(self, endpoint, content="c", duration_s=0.1):
        sent_s = self.clock.now_s
        self.clock.now_s += duration_s
        self.quarantine.record_abort(content, endpoint, sent_s)

    def abort_at(self, *endpoints, content="c"):
        for endpoint in endpoints:
            self.abort(endpoint, content)

    def announce(self, *others):
        update = msgspec.msgpack.encode(self.quarantine.make_update())
        for other in others:
            other.quarantine.merge(msgspec.msgpack.decode(update, type=QuarantineUpdate))


@pytest.fixture
def clock():
    return Clock()


def test_content_is_quarantined_after_aborts_at_three_endpoints(clock):
    router = Router(clock)
    router.abort_at("a", "b")
    assert not router.quarantine.is_quarantined("c")
    router.abort("d")
    assert router.quarantine.is_quarantined("c")
    assert router.changes == [("c", True)]


def test_incarnation_counts_once_and_restarted_endpoint_counts_again(clock):
    router = Router(clock)
    router.abort_at("a@1", "a@1", "b@1", "a@1")
    assert not router.quarantine.is_quarantined("c")
    router.abort("a@2")
    assert router.quarantine.is_quarantined("c")


def test_simultaneous_aborts_do_not_quarantine(clock):
    router = Router(clock)
    for endpoint in "abde":
        router.quarantine.record_abort("c", endpoint, clock.now_s - 0.5)
    assert not router.quarantine.is_quarantined("c")
    router.abort("f")
    assert router.quarantine.is_quarantined("c")


def test_response_clears_a_content(clock):
    router = Router(clock)
    router.abort_at("a", "b")
    router.quarantine.record_response("c")
    router.abort_at("d", "e")
    assert not router.quarantine.is_quarantined("c")


def test_response_of_a_run_in_flight_ends_the_quarantine(clock):
    router = Router(clock)
    router.abort_at("a", "b", "d")
    router.quarantine.record_response("c")
    assert not router.quarantine.is_quarantined("c")
    assert router.changes == [("c", True), ("c", False)]


def test_quarantine_expires_and_one_more_abort_renews_it(clock):
    router = Router(clock)
    router.abort_at("a", "b", "d")
    assert router.quarantine.quarantine_left_s("c") == pytest.approx(RULE.quarantine_s)
    clock.now_s += RULE.quarantine_s + 1
    assert not router.quarantine.is_quarantined("c")
    router.abort("e")
    assert router.quarantine.is_quarantined("c")
    clock.now_s += RULE.quarantine_s + 1
    # The same incarnation again: an endpoint may crash and return without a new one.
    router.abort("e")
    assert router.quarantine.is_quarantined("c")
    clock.now_s += RULE.retention_s + 1
    router.quarantine.make_update()
    router.abort("f")
    assert not router.quarantine.is_quarantined("c")


def test_aborts_at_three_routers_add_up(clock):
    routers = [Router(clock) for _ in range(3)]
    for router, endpoint in zip(routers, "abd", strict=True):
        router.abort(endpoint)
    for router in routers:
        router.announce(*routers)
    assert all(router.quarantine.is_quarantined("c") for router in routers)


def test_update_is_forwarded_to_a_router_that_starts_later(clock):
    one, two, three = (Router(clock) for _ in range(3))
    one.abort_at("a", "b", "d", "e", "f", "g", "h", "i", "j", "k")
    one.announce(two)
    clock.now_s += 300.0
    two.announce(three)
    assert three.quarantine.is_quarantined("c")
    left_s = one.quarantine.quarantine_left_s("c")
    assert three.quarantine.quarantine_left_s("c") == pytest.approx(left_s, abs=0.01)


def test_response_at_one_router_clears_a_content_at_all_routers(clock):
    routers = [Router(clock) for _ in range(3)]
    routers[0].abort_at("a", "b", "d")
    routers[0].announce(*routers[1:])
    clock.now_s += 0.1
    routers[1].quarantine.record_response("c")
    for router in (*routers, *routers):
        router.announce(*routers)
    assert not any(router.quarantine.is_quarantined("c") for router in routers)


def test_update_is_empty_without_suspects_and_bounded_in_size(clock):
    router = Router(clock)
    assert router.quarantine.make_update() is EMPTY_QUARANTINE_UPDATE
    for number in range(200):
        router.abort_at("e-0123456789", "e-9876543210", content=f"{number:016x}")
        router.abort("e-5555555555", content=f"{number + 1_000:016x}", duration_s=0.001)
    # Together with up to 48 endpoint loads it has to fit into a datagram of a few packets.
    assert len(msgspec.msgpack.encode(router.quarantine.make_update())) < 4_096


def test_number_of_suspects_is_bounded_and_quarantined_ones_are_kept(clock):
    router = Router(clock, QuarantineRule(max_contents=50))
    router.abort_at("a", "b", "d")
    for number in range(500):
        router.abort("e", content=f"other {number}", duration_s=0.001)
    assert router.quarantine.is_quarantined("c")
    assert len(router.quarantine._suspects) == 50


def test_repeated_updates_neither_extend_nor_renew_a_quarantine(clock):
    """The delay that each forwarding adds to reported ages must not extend a quarantine."""
    routers = [Router(clock) for _ in range(3)]
    routers[0].abort_at("a", "b", "d")
    for turn in range(400):
        clock.now_s += 0.25
        update = routers[turn % 3].quarantine.make_update()
        clock.now_s += 0.02
        routers[(turn + 1) % 3].quarantine.merge(update)
    left_s = RULE.quarantine_s - 400 * 0.27
    for router in routers:
        assert router.quarantine.quarantine_left_s("c") == pytest.approx(left_s, abs=0.5)


def test_old_response_that_is_passed_on_does_not_end_a_quarantine(clock):
    """Each router that passes it on adds a delay to its time, which would exceed the aborts."""
    routers = [Router(clock) for _ in range(3)]
    routers[0].quarantine.record_response("c")
    clock.now_s += 5.0
    routers[0].abort_at("a", "b", "d")
    clock.now_s += 1.0
    routers[0].abort("e")
    for turn in range(2_000):
        clock.now_s += 0.25
        update = routers[turn % 3].quarantine.make_update()
        clock.now_s += 0.02
        routers[(turn + 1) % 3].quarantine.merge(update)
    assert verdicts(routers[0], "c") == [Verdict.CONFIRMED]
    assert all(router.quarantine.is_quarantined("c") for router in routers)


@pytest.mark.parametrize("seed", range(20))
def test_routers_converge_after_random_aborts_updates_and_responses(seed, clock):
    """All routers reach the same verdict once all updates have been exchanged."""
    rng = random.Random(seed)
    routers = [Router(clock) for _ in range(4)]
    for _ in range(60):
        router = rng.choice(routers)
        action = rng.random()
        if action < 0.6:
            router.abort(f"e{rng.randrange(6)}@{rng.randrange(3)}", f"c{rng.randrange(3)}")
        elif action < 0.7:
            clock.now_s += 0.01
            router.quarantine.record_response(f"c{rng.randrange(3)}")
        else:
            router.announce(*rng.sample(routers, 2))
        clock.now_s += rng.uniform(0.01, 0.2)
    for _ in range(3):
        for router in routers:
            router.announce(*routers)
    for content in ("c0", "c1", "c2"):
        quarantined = {router.quarantine.is_quarantined(content) for router in routers}
        assert len(quarantined) == 1, (content, quarantined)


def record_live(router, *endpoints, reachable_for_s=1_000.0):
    """Record at a router that endpoints still have entries in the store."""
    router.quarantine.record_live_incarnations(set(endpoints), router.clock.now_s - reachable_for_s)


def test_aborts_at_surviving_endpoints_are_dropped(clock):
    router = Router(clock)
    router.abort_at("a", "b", "d")
    clock.now_s += RULE.survival_s - 1
    record_live(router, "a", "b", "d")
    assert router.quarantine.is_quarantined("c")
    clock.now_s += 1.5
    record_live(router, "a", "b", "d")
    assert not router.quarantine.is_quarantined("c")
    assert router.changes == [("c", True), ("c", False)]


def test_aborts_at_crashed_endpoints_are_kept(clock):
    router = Router(clock)
    router.abort_at("a@1", "b@1", "d@1", "e@1")
    for _ in range(20):
        clock.now_s += RULE.survival_s
        # One survives; the others have restarted or were removed.
        record_live(router, "a@1", "b@2", "d@2")
    assert router.quarantine.is_quarantined("c")


def test_entries_read_before_a_store_outage_do_not_show_survival(clock):
    router = Router(clock)
    router.abort_at("a", "b", "d")
    clock.now_s += 60.0
    record_live(router, "a", "b", "d", reachable_for_s=2.0)
    assert router.quarantine.is_quarantined("c")


def test_dropped_aborts_are_not_merged_again_but_later_ones_are(clock):
    one, two = Router(clock), Router(clock)
    one.abort_at("a", "b", "d")
    one.announce(two)
    clock.now_s += RULE.survival_s + 1
    record_live(one, "a", "b", "d")
    two.announce(one)
    assert not one.quarantine.is_quarantined("c")
    one.abort_at("a", "b", "d")
    assert one.quarantine.is_quarantined("c")


# Contents whose aborts may have been caused by another content.


def abort_together(router, *contents, endpoints=("a", "b", "d")):
    """Abort runs of several contents at the same endpoints, in quick succession."""
    for endpoint in endpoints:
        sent_s = router.clock.now_s
        router.clock.now_s += 0.02
        for content in contents:
            router.quarantine.record_abort(content, endpoint, sent_s)


def verdicts(router, *contents):
    return [router.quarantine.verdict(content) for content in contents]


def test_answered_content_is_allowed_where_another_explains_its_aborts(clock):
    router = Router(clock)
    router.quarantine.record_response("popular")
    clock.now_s += 100.0
    abort_together(router, "popular", "fatal")
    assert verdicts(router, "popular", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]


def test_earlier_responses_are_announced_to_other_routers(clock):
    one, two = Router(clock), Router(clock)
    one.quarantine.record_response("popular")
    clock.now_s += 100.0
    abort_together(two, "popular", "fatal")
    assert two.quarantine.is_quarantined("popular")
    two.announce(one)
    one.announce(two)
    assert verdicts(two, "popular", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]


def test_answered_contents_and_single_common_aborts_explain_nothing(clock):
    router = Router(clock)
    for content in ("answered once", "popular"):
        router.quarantine.record_response(content)
    for number, endpoint in enumerate(("a", "b", "d")):
        abort_together(router, "answered once", "popular", f"unique {number}", endpoints=[endpoint])
    assert verdicts(router, "answered once", "unique 0") == [Verdict.ON_TRIAL, Verdict.ALLOWED]


def test_abort_during_a_trial_decides_between_two_unanswered_contents(clock):
    router = Router(clock)
    abort_together(router, "new", "fatal")
    assert verdicts(router, "new", "fatal") == [Verdict.ON_TRIAL, Verdict.ON_TRIAL]
    clock.now_s += 1.0
    assert router.quarantine.begin_trial("fatal")
    assert not router.quarantine.begin_trial("new")
    router.abort("e", "fatal")
    assert verdicts(router, "new", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]


def test_response_to_a_trial_decides_between_two_unanswered_contents(clock):
    router = Router(clock)
    abort_together(router, "new", "fatal")
    clock.now_s += 1.0
    assert router.quarantine.begin_trial("new")
    router.quarantine.record_response("new")
    assert verdicts(router, "new", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]


def test_routers_begin_a_trial_in_order_of_rank(clock):
    quarantines = [Quarantine(clock, rank_of=lambda endpoint, rank=rank: rank) for rank in (0, 1)]
    for quarantine in quarantines:
        quarantine.record_response("c")
        for endpoint in ("a", "b", "d"):
            sent_s = clock.now_s
            clock.now_s += 0.1
            quarantine.record_abort("c", endpoint, sent_s)
    first, second = quarantines
    assert not first.begin_trial("c")
    clock.now_s += 0.7
    assert first.is_quarantined("c")
    assert first.begin_trial("c")
    assert not first.begin_trial("c")
    assert not second.begin_trial("c")
    clock.now_s += 1.0
    assert second.begin_trial("c")


def test_inconclusive_trial_is_repeated(clock):
    router = Router(clock)
    router.quarantine.record_response("c")
    router.abort_at("a", "b", "d")
    clock.now_s += 1.0
    assert router.quarantine.begin_trial("c")
    router.quarantine.end_trial("c")
    assert router.quarantine.begin_trial("c")
    clock.now_s += 4.0
    assert not router.quarantine.begin_trial("c")
    clock.now_s += 1.1
    assert router.quarantine.begin_trial("c")


def test_answered_content_that_begins_to_crash_endpoints_is_confirmed_by_a_trial(clock):
    """For example after a release of the engines that crashes on it."""
    router = Router(clock)
    router.quarantine.record_response("c")
    router.abort_at("a", "b", "d")
    assert verdicts(router, "c") == [Verdict.ON_TRIAL]
    assert router.quarantine.quarantine_left_s("c") <= 2.0
    clock.now_s += 1.0
    assert router.quarantine.begin_trial("c")
    router.abort("e")
    assert verdicts(router, "c") == [Verdict.CONFIRMED]
    assert router.quarantine.quarantine_left_s("c") > 590.0


def test_error_response_does_not_count_as_an_earlier_success(clock):
    router = Router(clock)
    router.quarantine.record_response("c", success=False)
    router.abort_at("a", "b", "d")
    assert verdicts(router, "c") == [Verdict.CONFIRMED]


def test_number_of_answered_contents_is_bounded(clock):
    router = Router(clock)
    for number in range(5_000):
        router.quarantine.record_response(f"c{number}")
    assert len(router.quarantine._answered) == 4_096


# Aborts at endpoints that have crashed but are still listed.


def lose_at_crashed_endpoints(router, *endpoints, content="popular"):
    """Lose runs that were sent to endpoints which had crashed already."""
    for endpoint in endpoints:
        router.abort(endpoint, content, duration_s=0.02)


def test_losses_at_endpoints_that_another_content_crashed_seconds_ago_are_explained(clock):
    """A crashed endpoint is listed until its entry expires, and loses requests until then."""
    router = Router(clock)
    abort_together(router, "popular", "fatal", endpoints=("a", "b"))
    clock.now_s += 1.7
    abort_together(router, "fatal", endpoints=("d",))
    router.quarantine.record_response("popular")
    lose_at_crashed_endpoints(router, "a", "b", "d", "leaves")
    assert verdicts(router, "popular", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]


def test_crash_does_not_explain_losses_after_the_entry_has_expired(clock):
    """An endpoint may return with the same start time."""
    router = Router(clock)
    abort_together(router, "fatal")
    router.quarantine.record_response("popular")
    clock.now_s += RULE.survival_s + 0.1
    lose_at_crashed_endpoints(router, "a", "b", "d")
    assert verdicts(router, "popular", "fatal") == [Verdict.ON_TRIAL, Verdict.CONFIRMED]


def test_later_loss_of_another_content_does_not_explain_an_earlier_one(clock):
    """An endpoint that still ran the other content had survived the earlier loss."""
    router = Router(clock)
    router.quarantine.record_response("popular")
    router.abort_at("a", "b", "d", content="popular")
    clock.now_s += 1.5
    abort_together(router, "fatal")
    assert verdicts(router, "popular") == [Verdict.ON_TRIAL]


def test_trial_at_a_crashed_endpoint_decides_nothing(clock):
    router = Router(clock)
    router.quarantine.record_response("popular")
    abort_together(router, "popular", endpoints=("e", "f", "g"))
    abort_together(router, "fatal")
    assert verdicts(router, "popular", "fatal") == [Verdict.ON_TRIAL, Verdict.CONFIRMED]
    clock.now_s += 1.0
    assert router.quarantine.begin_trial("popular")
    lose_at_crashed_endpoints(router, "a")
    assert verdicts(router, "popular") == [Verdict.ON_TRIAL]
    clock.now_s += 1.0
    assert router.quarantine.begin_trial("popular")
    router.abort("h", "popular")
    assert verdicts(router, "popular") == [Verdict.CONFIRMED]


def test_loss_of_an_answered_content_whose_other_losses_are_explained_is_no_failed_trial(clock):
    """For example a request to an engine that is stopped shortly after others crashed."""
    router = Router(clock)
    router.quarantine.record_response("popular")
    abort_together(router, "popular", "fatal")
    assert verdicts(router, "popular", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]
    clock.now_s += 0.6
    lose_at_crashed_endpoints(router, "stopped")
    assert verdicts(router, "popular", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]
