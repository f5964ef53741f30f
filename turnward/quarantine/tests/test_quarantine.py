# SPDX-License-Identifier: BSD-3-Clause
"""When a content is held back, for how long, and how routers agree on it."""

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
    """One router's quarantine, and what it told of changes."""

    def __init__(self, clock, rule=RULE):
        self.clock = clock
        self.changes = []
        self.quarantine = Quarantine(
            clock, rule, lambda change: self.changes.append((change.content, change.quarantined))
        )

    def lose(self, endpoint, content="c", took_s=0.1):
        sent_s = self.clock.now_s
        self.clock.now_s += took_s
        self.quarantine.record_abort(content, endpoint, sent_s)

    def lose_at(self, *endpoints, content="c"):
        for endpoint in endpoints:
            self.lose(endpoint, content)

    def tell(self, *others):
        make_update = msgspec.msgpack.encode(self.quarantine.make_update())
        for other in others:
            other.quarantine.merge(msgspec.msgpack.decode(make_update, type=QuarantineUpdate))


@pytest.fixture
def clock():
    return Clock()


def test_content_is_quarantined_after_aborts_at_three_endpoints(clock):
    router = Router(clock)
    router.lose_at("a", "b")
    assert not router.quarantine.is_quarantined("c")
    router.lose("d")
    assert router.quarantine.is_quarantined("c")
    assert router.changes == [("c", True)]


def test_incarnation_counts_once_and_restarted_endpoint_counts_again(clock):
    router = Router(clock)
    router.lose_at("a@1", "a@1", "b@1", "a@1")
    assert not router.quarantine.is_quarantined("c")
    router.lose("a@2")
    assert router.quarantine.is_quarantined("c")


def test_simultaneous_aborts_do_not_quarantine(clock):
    router = Router(clock)
    for endpoint in "abde":
        router.quarantine.record_abort("c", endpoint, clock.now_s - 0.5)
    assert not router.quarantine.is_quarantined("c")
    router.lose("f")
    assert router.quarantine.is_quarantined("c")


def test_response_clears_a_content(clock):
    router = Router(clock)
    router.lose_at("a", "b")
    router.quarantine.record_response("c")
    router.lose_at("d", "e")
    assert not router.quarantine.is_quarantined("c")


def test_response_of_a_run_in_flight_ends_the_quarantine(clock):
    router = Router(clock)
    router.lose_at("a", "b", "d")
    router.quarantine.record_response("c")
    assert not router.quarantine.is_quarantined("c")
    assert router.changes == [("c", True), ("c", False)]


def test_quarantine_expires_and_one_more_abort_renews_it(clock):
    router = Router(clock)
    router.lose_at("a", "b", "d")
    assert router.quarantine.quarantine_left_s("c") == pytest.approx(RULE.hold_s)
    clock.now_s += RULE.hold_s + 1
    assert not router.quarantine.is_quarantined("c")
    router.lose("e")
    assert router.quarantine.is_quarantined("c")
    clock.now_s += RULE.hold_s + 1
    # The same start of an endpoint, which its entry may not tell.
    router.lose("e")
    assert router.quarantine.is_quarantined("c")
    clock.now_s += RULE.memory_s + 1
    router.quarantine.make_update()
    router.lose("f")
    assert not router.quarantine.is_quarantined("c")


def test_aborts_at_three_routers_add_up(clock):
    routers = [Router(clock) for _ in range(3)]
    for router, endpoint in zip(routers, "abd", strict=True):
        router.lose(endpoint)
    for router in routers:
        router.tell(*routers)
    assert all(router.quarantine.is_quarantined("c") for router in routers)


def test_update_is_forwarded_to_a_router_that_starts_later(clock):
    one, two, three = (Router(clock) for _ in range(3))
    one.lose_at("a", "b", "d", "e", "f", "g", "h", "i", "j", "k")
    one.tell(two)
    clock.now_s += 300.0
    two.tell(three)
    assert three.quarantine.is_quarantined("c")
    left_s = one.quarantine.quarantine_left_s("c")
    assert three.quarantine.quarantine_left_s("c") == pytest.approx(left_s, abs=0.01)


def test_response_at_one_router_clears_at_all(clock):
    routers = [Router(clock) for _ in range(3)]
    routers[0].lose_at("a", "b", "d")
    routers[0].tell(*routers[1:])
    clock.now_s += 0.1
    routers[1].quarantine.record_response("c")
    for router in (*routers, *routers):
        router.tell(*routers)
    assert not any(router.quarantine.is_quarantined("c") for router in routers)


def test_update_is_empty_without_suspects_and_bounded_in_size(clock):
    router = Router(clock)
    assert router.quarantine.make_update() is EMPTY_QUARANTINE_UPDATE
    for number in range(200):
        router.lose_at("e-0123456789", "e-9876543210", content=f"{number:016x}")
        router.lose("e-5555555555", content=f"{number + 1_000:016x}", took_s=0.001)
    # Beside up to 48 loads it leaves a datagram of a few packets.
    assert len(msgspec.msgpack.encode(router.quarantine.make_update())) < 4_096


def test_number_of_suspects_is_bounded_and_quarantined_ones_are_kept(clock):
    router = Router(clock, QuarantineRule(contents=50))
    router.lose_at("a", "b", "d")
    for number in range(500):
        router.lose("e", content=f"other {number}", took_s=0.001)
    assert router.quarantine.is_quarantined("c")
    assert len(router.quarantine._suspects) == 50


def test_repeated_updates_neither_extend_nor_renew_a_quarantine(clock):
    """What is told again, later each time by its way, neither lengthens a hold nor revives one."""
    routers = [Router(clock) for _ in range(3)]
    routers[0].lose_at("a", "b", "d")
    for turn in range(400):
        clock.now_s += 0.25
        make_update = routers[turn % 3].quarantine.make_update()
        clock.now_s += 0.02
        routers[(turn + 1) % 3].quarantine.merge(make_update)
    left_s = RULE.hold_s - 400 * 0.27
    for router in routers:
        assert router.quarantine.quarantine_left_s("c") == pytest.approx(left_s, abs=0.5)


@pytest.mark.parametrize("seed", range(20))
def test_routers_converge_after_random_aborts_updates_and_responses(seed, clock):
    """Whatever was lost, served and told in whatever order: once all is told, all agree."""
    draw = random.Random(seed)
    routers = [Router(clock) for _ in range(4)]
    for _ in range(60):
        router = draw.choice(routers)
        what = draw.random()
        if what < 0.6:
            router.lose(f"e{draw.randrange(6)}@{draw.randrange(3)}", f"c{draw.randrange(3)}")
        elif what < 0.7:
            clock.now_s += 0.01
            router.quarantine.record_response(f"c{draw.randrange(3)}")
        else:
            router.tell(*draw.sample(routers, 2))
        clock.now_s += draw.uniform(0.01, 0.2)
    for _ in range(3):
        for router in routers:
            router.tell(*routers)
    for content in ("c0", "c1", "c2"):
        quarantined = {router.quarantine.is_quarantined(content) for router in routers}
        assert len(quarantined) == 1, (content, quarantined)


def outlive(router, *endpoints, contact_s=1_000.0):
    """Let the router see that endpoints stand in the store."""
    router.quarantine.record_live_incarnations(set(endpoints), router.clock.now_s - contact_s)


def test_aborts_at_surviving_endpoints_are_dropped(clock):
    router = Router(clock)
    router.lose_at("a", "b", "d")
    clock.now_s += RULE.outlived_s - 1
    outlive(router, "a", "b", "d")
    assert router.quarantine.is_quarantined("c")
    clock.now_s += 1.5
    outlive(router, "a", "b", "d")
    assert not router.quarantine.is_quarantined("c")
    assert router.changes == [("c", True), ("c", False)]


def test_aborts_at_crashed_endpoints_are_kept(clock):
    router = Router(clock)
    router.lose_at("a@1", "b@1", "d@1", "e@1")
    for _ in range(20):
        clock.now_s += RULE.outlived_s
        # One lives on; the others are born again, or gone.
        outlive(router, "a@1", "b@2", "d@2")
    assert router.quarantine.is_quarantined("c")


def test_entries_read_before_a_store_outage_do_not_show_survival(clock):
    router = Router(clock)
    router.lose_at("a", "b", "d")
    clock.now_s += 60.0
    outlive(router, "a", "b", "d", contact_s=2.0)
    assert router.quarantine.is_quarantined("c")


def test_dropped_aborts_are_not_merged_again_but_later_ones_are(clock):
    one, two = Router(clock), Router(clock)
    one.lose_at("a", "b", "d")
    one.tell(two)
    clock.now_s += RULE.outlived_s + 1
    outlive(one, "a", "b", "d")
    two.tell(one)
    assert not one.quarantine.is_quarantined("c")
    one.lose_at("a", "b", "d")
    assert one.quarantine.is_quarantined("c")


# Contents that may only have run beside another.


def lose_together(router, *contents, ends=("a", "b", "d")):
    """Lose runs of several contents at the same ends, one right after the other."""
    for endpoint in ends:
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
    lose_together(router, "popular", "fatal")
    assert verdicts(router, "popular", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]


def test_earlier_responses_are_announced_to_other_routers(clock):
    one, two = Router(clock), Router(clock)
    one.quarantine.record_response("popular")
    clock.now_s += 100.0
    lose_together(two, "popular", "fatal")
    assert two.quarantine.is_quarantined("popular")
    two.tell(one)
    one.tell(two)
    assert verdicts(two, "popular", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]


def test_answered_contents_and_single_common_aborts_explain_nothing(clock):
    router = Router(clock)
    for content in ("answered once", "popular"):
        router.quarantine.record_response(content)
    for number, endpoint in enumerate(("a", "b", "d")):
        lose_together(router, "answered once", "popular", f"unique {number}", ends=[endpoint])
    assert verdicts(router, "answered once", "unique 0") == [Verdict.ON_TRIAL, Verdict.ALLOWED]


def test_abort_during_a_trial_decides_between_two_unanswered_contents(clock):
    router = Router(clock)
    lose_together(router, "new", "fatal")
    assert verdicts(router, "new", "fatal") == [Verdict.ON_TRIAL, Verdict.ON_TRIAL]
    clock.now_s += 1.0
    assert router.quarantine.begin_trial("fatal")
    assert not router.quarantine.begin_trial("new")
    router.lose("e", "fatal")
    assert verdicts(router, "new", "fatal") == [Verdict.ALLOWED, Verdict.CONFIRMED]


def test_response_to_a_trial_decides_between_two_unanswered_contents(clock):
    router = Router(clock)
    lose_together(router, "new", "fatal")
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
    router.lose_at("a", "b", "d")
    clock.now_s += 1.0
    assert router.quarantine.begin_trial("c")
    router.quarantine.end_trial("c")
    assert router.quarantine.begin_trial("c")
    clock.now_s += 4.0
    assert not router.quarantine.begin_trial("c")
    clock.now_s += 1.1
    assert router.quarantine.begin_trial("c")


def test_answered_content_that_begins_to_crash_endpoints_is_confirmed_by_a_trial(clock):
    """As after a release of the engines that can't bear it."""
    router = Router(clock)
    router.quarantine.record_response("c")
    router.lose_at("a", "b", "d")
    assert verdicts(router, "c") == [Verdict.ON_TRIAL]
    assert router.quarantine.quarantine_left_s("c") <= 2.0
    clock.now_s += 1.0
    assert router.quarantine.begin_trial("c")
    router.lose("e")
    assert verdicts(router, "c") == [Verdict.CONFIRMED]
    assert router.quarantine.quarantine_left_s("c") > 590.0


def test_error_response_does_not_count_as_an_earlier_success(clock):
    router = Router(clock)
    router.quarantine.record_response("c", success=False)
    router.lose_at("a", "b", "d")
    assert verdicts(router, "c") == [Verdict.CONFIRMED]


def test_number_of_answered_contents_is_bounded(clock):
    router = Router(clock)
    for number in range(5_000):
        router.quarantine.record_response(f"c{number}")
    assert len(router.quarantine._answered) == 4_096
