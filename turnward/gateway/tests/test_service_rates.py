# SPDX-License-Identifier: BSD-3-Clause
"""A fleet measures the service rates of its engines, and places prompts by them.

The load: 70 engines, a third of them 2.4 times slower than the others and each 2.5 times slower for
one spell of 600 ms in seven; 71 routers, each of which sees an engine only every 14 s.
"""

import collections
import random

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from turnward.gateway import EndpointEntry, EngineTraits, RetryPolicy
from turnward.gateway.choice import EndpointBook
from turnward.gateway.engine_speed import QuietGapSums, SpeedClass
from turnward.gateway.load_controls import LoadControls
from turnward.gateway.metrics import GatewayMetrics
from turnward.gateway.peer_book import EndpointLoad, sum_loads
from turnward.gateway.prompt_lanes import make_prompt_lanes
from turnward.gateway.prompt_speed import PromptSpeed
from turnward.gateway.prompts import Prompt, parse_prompt_parts
from turnward.gateway.service_rates import (
    AssumedServiceRates,
    MeasuredServiceRates,
    PoolRates,
    make_service_rates,
)
from turnward.gateway.tests.harness import (
    ENGINE_POOL,
    Harness,
    UnusedPool,
    answer_head,
    encode_events,
    never_answer,
)
from turnward.gateway.tests.test_engine_speed import slow_stream

ON = LoadControls(service_rates=True)
ENGINE = EngineTraits(slots=12, event_tokens=10)
#: Time per step and per prompt token of an engine with slowdown 1, and tokens per event.
GAP_MS = 24.0
TOKENS_PER_MS = 160.0
SHORT_PROMPT = Prompt(826, 290, parse_prompt_parts("aa:198,own:628"))
SLOW = 2.4
THREE_SPEEDS = [SLOW if number % 3 == 2 else 1.0 for number in range(70)]
PERIOD_S = 0.25
SPELL_S = 0.6
SPELL_SHARE = 0.15
SPELL_FACTOR = 2.5


def long_prompt(number, tokens=11_992):
    return Prompt(tokens, 380, parse_prompt_parts(f"{number % 40:x}:5382,own:{tokens - 5382}"))


class Engine:
    """An engine that processes prompts in turn, and is slow for a spell now and then."""

    def __init__(self, slowdown, rng):
        self.slowdown = slowdown
        self.busy_until_s = 0.0
        self.prompts = {"long": 0, "short": 0}
        self._cached = set()
        self._event_times_s = collections.deque(maxlen=24)
        self._rng = rng
        self._spell_until_s = 0.0

    def advance(self, now_s):
        quiet_s = SPELL_S * (1 - SPELL_SHARE) / SPELL_SHARE
        if now_s >= self._spell_until_s and self._rng.random() < PERIOD_S / quiet_s:
            self._spell_until_s = now_s + SPELL_S

    def process(self, prompt, now_s):
        """Process a prompt after those before it; return when its first event is sent."""
        shared = prompt.parts[0].prefix_hash
        tokens = prompt.tokens - (prompt.shared_tokens if shared in self._cached else 0)
        self._cached.add(shared)
        started_s = max(self.busy_until_s, now_s)
        self.busy_until_s = started_s + tokens * self.factor(now_s) / TOKENS_PER_MS / 1_000
        return self.busy_until_s + GAP_MS * self.factor(now_s) / 1_000

    def recent_events(self, now_s):
        """Return how many events it has sent in the last second, up to 24."""
        return sum(now_s - event_s <= 1.0 for event_s in self._event_times_s)

    def note_event(self, now_s):
        self._event_times_s.append(now_s)

    def factor(self, now_s):
        return self.slowdown * (SPELL_FACTOR if now_s < self._spell_until_s else 1.0)


class Stream(msgspec.Struct):
    """A stream under way: its router, its record there and its events left."""

    router: int
    record: object
    engine: Engine
    sent_s: float
    prefill_tokens: int
    certain_tokens: int
    first_event_s: float
    events: int


class Fleet:
    """Simulated routers and engines; routers learn from own streams and reports 250 ms old."""

    def __init__(self, slowdowns, routers=71, controls=ON, seed=1, long_tokens=11_992):
        self.now_s = 100.0
        self.long_tokens = long_tokens
        self.rng = random.Random(seed)
        self.engines = [Engine(slowdown, self.rng) for slowdown in slowdowns]
        self.changes = []
        self.streams = []
        self.cut = set()
        self.books = []
        self.peer_loads = []
        self.entries = {
            f"e-{n}": EndpointEntry(
                endpoint_id=f"e-{n}", pool="pool", address=f"10.0.0.{n}:80", slots=12
            )
            for n in range(len(slowdowns))
        }
        for _ in range(routers):
            self.add_router(controls)

    def add_router(self, controls=ON):
        number = len(self.books)
        rates = make_service_rates(controls)
        rates.on_change = lambda record, change: self.changes.append((number, record, change))
        book = EndpointBook(
            "z",
            lambda: self.now_s,
            lambda address, on_head: UnusedPool(),
            lambda: self.peer_loads[number],
            random.Random(number),
            rates=rates,
            lanes=make_prompt_lanes(controls, rates),
        )
        book.set_entries(self.entries)
        self.books.append(book)
        self.peer_loads.append({})
        return book

    def restart(self, number, slowdown):
        """Start an engine anew; its streams end."""
        endpoint_id = f"e-{number}"
        old = self.entries[endpoint_id]
        self.entries[endpoint_id] = msgspec.structs.replace(old, born_ms=1)
        self.streams = [
            stream for stream in self.streams if stream.engine is not self.engines[number]
        ]
        self.engines[number] = Engine(slowdown, self.rng)
        for book in self.books:
            book.set_entries(self.entries)

    def run(self, duration_s, requests_per_s=330, routers=None):
        routers = routers or range(len(self.books))
        for _ in range(round(duration_s / PERIOD_S)):
            self.now_s += PERIOD_S
            for engine in self.engines:
                engine.advance(self.now_s)
            self.streams = [stream for stream in self.streams if self._run_stream(stream)]
            self._exchange_loads()
            for _ in range(round(requests_per_s * PERIOD_S)):
                self._send(self.rng.choice(routers))

    def _send(self, router):
        kind = "long" if self.rng.random() < 0.28 else "short"
        number = self.rng.randrange(1_000) if kind == "long" else 0
        prompt = long_prompt(number, self.long_tokens) if kind == "long" else SHORT_PROMPT
        book = self.books[router]
        record = book.choose("pool", prompt, ENGINE, set(), 0.4).record
        engine = self.engines[int(record.endpoint_id.partition("-")[2])]
        engine.prompts[kind] += 1
        tokens = prompt.tokens - record.cached_tokens(prompt, self.now_s)
        certain = book.certain_prefill_tokens(record, prompt)
        record.remember(prompt, self.now_s)
        record.in_flight += 1
        record.prefill_tokens += tokens
        first_event_s = engine.process(prompt, self.now_s)
        events = 38 if kind == "long" else self.rng.choice((2, 2, 29))
        self.streams.append(
            Stream(router, record, engine, self.now_s, tokens, certain, first_event_s, events)
        )

    def _run_stream(self, stream):
        """Run a stream for a period; return whether it goes on."""
        if stream.first_event_s > self.now_s:
            return True
        rates = self.books[stream.router].costs.rates
        record = stream.record
        if stream.prefill_tokens:
            elapsed_ms = (stream.first_event_s - stream.sent_s) * 1_000
            rates.note_first_event(record, stream.certain_tokens, elapsed_ms, self.now_s)
            record.prefill_tokens -= stream.prefill_tokens
            stream.prefill_tokens = 0
        time_left_ms = min(PERIOD_S, self.now_s - stream.first_event_s) * 1_000
        while stream.events > 1 and time_left_ms > 0:
            gap_ms = GAP_MS * stream.engine.factor(self.now_s) * self.rng.uniform(1.0, 1.1)
            if self.rng.random() < 0.25:
                gap_ms *= 6
            rates.note_gap(record, gap_ms, self.now_s)
            stream.engine.note_event(self.now_s)
            time_left_ms -= gap_ms
            stream.events -= 1
        if stream.events <= 1:
            record.in_flight -= 1
        return stream.events > 1

    def _exchange_loads(self):
        own = [book.loads() for book in self.books]
        totals = {
            load.endpoint: load
            for load in sum_loads(loads for n, loads in enumerate(own) if n not in self.cut)
        }
        for number, loads in enumerate(own):
            peers = dict(totals) if number not in self.cut else {}
            for load in loads:
                if load.endpoint in peers:
                    peers[load.endpoint] = peers[load.endpoint].subtract(load)
            self.peer_loads[number] = peers

    def slowdowns(self, router):
        book = self.books[router]
        by_id = {record.endpoint_id: record for record in book.all()}
        return [
            book.costs.rates.measured_slowdown(by_id[f"e-{n}"]) for n in range(len(self.engines))
        ]

    def errors(self, router):
        """Return the factors by which a router misjudges the engines in use, in ascending order."""
        pairs = zip(self.slowdowns(router), self.engines, strict=True)
        return sorted(
            max(known / engine.slowdown, engine.slowdown / known)
            for known, engine in pairs
            if engine.recent_events(self.now_s) >= 24
        )


def percentile(ranked, percent):
    return ranked[len(ranked) * percent // 100]


@pytest.fixture(scope="module")
def busy_fleet():
    fleet = Fleet(THREE_SPEEDS)
    fleet.run(20.0)
    return fleet


def test_every_router_knows_the_slowdown_of_each_engine(busy_fleet):
    for router in (0, 35, 70):
        errors = busy_fleet.errors(router)
        assert len(errors) > 35
        assert percentile(errors, 50) < 1.1
        assert percentile(errors, 90) < 1.25
        assert errors[-1] < 1.6


def test_slowdowns_are_known_after_some_seconds():
    fleet = Fleet(THREE_SPEEDS)
    fleet.run(4.0)
    assert percentile(fleet.errors(5), 90) < 1.35


def test_slow_spells_change_no_reported_rate(busy_fleet):
    """Two of 71 routers report an engine; all together must stay below 10 lines an engine."""
    changes_per_router = len(busy_fleet.changes) / 71
    assert changes_per_router < 1.5 * 23
    slow = [change for _, record, change in busy_fleet.changes if change.slowdown > 1.8]
    assert len(slow) >= 0.5 * 23 * 71
    reported_by = {}
    for router, record, _ in busy_fleet.changes:
        key = (router, record.incarnation)
        reported_by[key] = reported_by.get(key, 0) + 1
    assert max(reported_by.values()) <= 4


def test_prompt_speed_is_that_of_a_usual_engine(busy_fleet):
    speeds = [
        next(iter(book.costs.rates.pools())).prompt_tokens_per_ms for book in busy_fleet.books
    ]
    speeds.sort()
    assert speeds[10] > 0.75 * TOKENS_PER_MS
    assert speeds[60] < 1.25 * TOKENS_PER_MS


def test_prompts_are_placed_in_proportion_to_the_rates(busy_fleet):
    slow = [engine for engine in busy_fleet.engines if engine.slowdown == SLOW]
    usual = [engine for engine in busy_fleet.engines if engine.slowdown == 1.0]

    def mean(engines, kind):
        return sum(engine.prompts[kind] for engine in engines) / len(engines)

    assert mean(slow, "long") < mean(usual, "long") / 2
    assert mean(slow, "short") > 0.1 * mean(usual, "short")
    assert all(engine.prompts["short"] + engine.prompts["long"] for engine in slow)


def test_short_prompts_use_slower_engines():
    """A third of 30 engines is 1.3 times slower."""
    slowdowns = [1.3 if number % 3 == 2 else 1.0 for number in range(30)]
    fleet = Fleet(slowdowns, routers=40)
    fleet.run(10.0, requests_per_s=145)
    short = {1.0: 0, 1.3: 0}
    for engine in fleet.engines:
        short[engine.slowdown] += engine.prompts["short"]
    assert short[1.3] > 0.4 * short[1.0] / 2


def test_queues_and_costs_are_times_at_the_engine(busy_fleet):
    book = busy_fleet.books[3]
    slow, usual = book.get("e-2"), book.get("e-0")
    load = EndpointLoad("any", 1, 16_000)
    idle = [
        EndpointLoad("any", -record.in_flight, -record.prefill_tokens) for record in (slow, usual)
    ]
    queues_ms = [
        book.costs.queue_ms(record, load.add(own))
        for record, own in zip((slow, usual), idle, strict=True)
    ]
    assert queues_ms[1] == pytest.approx(16_000 / TOKENS_PER_MS, rel=0.4)
    assert queues_ms[0] / queues_ms[1] == pytest.approx(SLOW, rel=0.4)


def test_speed_classes_are_not_used(busy_fleet):
    records = [record for book in busy_fleet.books for record in book.all()]
    assert {record.speed_class for record in records} == {SpeedClass.USUAL}


# Failures halfway.


def test_partitioned_router_knows_only_its_own_streams():
    fleet = Fleet(THREE_SPEEDS, routers=20)
    fleet.cut = {0}
    fleet.run(8.0)
    assert percentile(fleet.errors(5), 90) < 1.35
    alone = fleet.slowdowns(0)
    assert all(0.3 < slowdown < 6.0 for slowdown in alone)
    fleet.cut = set()
    fleet.run(3.0)
    assert percentile(fleet.errors(0), 90) < 1.35


def test_new_router_knows_the_rates_within_a_second():
    fleet = Fleet(THREE_SPEEDS, routers=30)
    fleet.run(8.0)
    fleet.add_router()
    fleet.run(1.0)
    fleet.books[-1].choose("pool", SHORT_PROMPT, ENGINE, set(), 0.4)
    assert percentile(fleet.errors(-1), 80) < 1.5


def test_rates_outlast_the_router_that_measured_them():
    fleet = Fleet(THREE_SPEEDS, routers=20)
    fleet.run(8.0)
    fleet.streams = [stream for stream in fleet.streams if stream.router >= 10]
    for book in fleet.books[:10]:
        for record in book.all():
            record.in_flight = 0
    fleet.run(2.0, routers=range(10, 20))
    assert percentile(fleet.errors(15), 80) < 1.4


def test_restarted_engine_begins_as_usual():
    fleet = Fleet([1.0, 1.0, SLOW], routers=3)
    fleet.run(8.0, requests_per_s=30)
    assert fleet.slowdowns(0)[2] > 1.8
    fleet.restart(2, slowdown=1.0)
    assert fleet.slowdowns(0)[2] == 1.0
    fleet.run(4.0, requests_per_s=30)
    assert fleet.slowdowns(0)[2] < 1.4


def test_rate_of_an_engine_without_events_fades():
    fleet = Fleet([1.0, 1.0, SLOW], routers=3)
    fleet.run(16.0, requests_per_s=30)
    frozen = fleet.engines[2]
    fleet.streams = [stream for stream in fleet.streams if stream.engine is not frozen]
    told = len(fleet.changes)
    for _ in range(720):
        fleet.now_s += PERIOD_S
        for number, book in enumerate(fleet.books):
            fleet.peer_loads[number] = {}
            book.choose("pool", SHORT_PROMPT, ENGINE, {"e-2"}, 0.4)
    assert fleet.slowdowns(0)[2] == pytest.approx(1.0, abs=0.1)
    later = [change for _, record, change in fleet.changes[told:] if record.endpoint_id == "e-2"]
    assert all(change.slowdown > 0.8 * SLOW for change in later)


def test_engine_that_turns_fast_is_used_again():
    fleet = Fleet([1.0, 1.0, 4.0], routers=5)
    fleet.run(8.0, requests_per_s=60)
    assert fleet.slowdowns(0)[2] > 2.5
    fleet.engines[2].slowdown = 1.0
    before = fleet.engines[2].prompts["short"]
    fleet.run(12.0, requests_per_s=60)
    assert fleet.slowdowns(0)[2] < 1.4
    assert fleet.engines[2].prompts["short"] > before + 40


def test_usual_gap_follows_when_all_engines_turn_much_faster():
    """All engines are replaced by ones 10 times faster, as when a pool changes its model."""
    fleet = Fleet([1.0] * 3, routers=1)
    rates = fleet.books[0].costs.rates
    record = fleet.books[0].get("e-0")
    for gap_ms, duration_s in ((240.0, 20), (24.0, 180)):
        end_s = fleet.now_s + duration_s
        while fleet.now_s < end_s:
            fleet.now_s += gap_ms / 1_000
            rates.refresh("pool", fleet.books[0].all(), {}, fleet.now_s)
            for each in fleet.books[0].all():
                rates.note_gap(each, gap_ms, fleet.now_s)
        assert rates.event_gap_ms(record, fleet.now_s) == pytest.approx(gap_ms, rel=0.1)


# Sums.


@given(
    st.lists(st.tuples(st.integers(0, 3), st.floats(1.0, 500.0)), max_size=400),
)
def test_sums_are_the_same_however_gaps_are_spread_over_routers(gaps):
    """The total of any routers is that of their blocks, and the range of its mean that of gaps."""
    routers = [QuietGapSums() for _ in range(4)]
    for router, gap_ms in gaps:
        routers[router].note(gap_ms, 5.0)
    sums = [router.at(5.0) for router in routers]
    loads = [
        EndpointLoad("e", 1, 0, 0.0, 0.0, round(100 * each.weight), round(100 * each.log_sum))
        for each in sums
    ]
    total = sum_loads([[load] for load in loads])[0]
    assert total.gap_weight_centi == 100 * sum(
        sum(router == number for router, _ in gaps) // 8 for number in range(4)
    )
    others = sum_loads([[load] for load in loads[1:]])[0]
    rest = total.subtract(loads[0])
    assert (rest.gap_weight_centi, rest.log_gap_sum_centi) == (
        others.gap_weight_centi,
        others.log_gap_sum_centi,
    )


@given(st.lists(st.floats(1e-3, 1e6), min_size=1, max_size=100))
def test_prompt_speed_is_bounded(apparent):
    speed = PromptSpeed()
    for each in apparent:
        speed.note(each)
    assert 50 / 8 - 1e-6 <= speed.tokens_per_ms <= 50 * 8 + 1e-6


def test_load_has_a_bounded_size():
    load = EndpointLoad("e", 12, 70_000, 24.5, 300.1, 9_999, 65_000)
    older = EndpointLoad("e", 12, 70_000, 24.5, 300.1)
    assert len(msgspec.msgpack.encode(load)) - len(msgspec.msgpack.encode(older)) <= 6


# Older builds, and the control switched off.


class _OlderLoad(msgspec.Struct, frozen=True, array_like=True):
    endpoint: str
    requests: int
    prefill_tokens: int
    quiet_gap_ms: float = 0.0
    held_up_gap_ms: float = 0.0


@given(
    st.lists(
        st.tuples(st.integers(-(10**6), 10**6), st.integers(-(10**9), 10**9)),
        min_size=1,
        max_size=20,
    )
)
@example([(100, 10**7)])
@example([(100, 300), (1, 10**7)])
def test_sums_that_do_not_match_cannot_make_a_choice_fail(sums):
    """A total that lacks a report, or holds it twice, may have a weight close to 0."""
    fleet = Fleet([1.0] * 3, routers=1)
    for weight_centi, log_sum_centi in sums:
        fleet.now_s += PERIOD_S
        load = EndpointLoad("e-1", 1, 0, 0.0, 0.0, weight_centi, log_sum_centi)
        fleet.peer_loads[0] = {"e-1": load}
        assert fleet.books[0].choose("pool", SHORT_PROMPT, ENGINE, set(), 0.4) is not None
        assert all(1 / 8 <= slowdown <= 8 for slowdown in fleet.slowdowns(0))


def test_older_builds_ignore_the_sums_and_leave_them_out():
    load = EndpointLoad("e", 3, 40, 1.5, 2.5, 300, 900)
    older = msgspec.msgpack.decode(msgspec.msgpack.encode(load), type=_OlderLoad)
    assert older == _OlderLoad("e", 3, 40, 1.5, 2.5)
    newer = msgspec.msgpack.decode(msgspec.msgpack.encode(older), type=EndpointLoad)
    assert newer == EndpointLoad("e", 3, 40, 1.5, 2.5)
    assert newer.add(load).gap_weight_centi == 300


def test_fleet_of_mixed_builds_knows_the_rates_from_the_newer_ones():
    fleet = Fleet(THREE_SPEEDS, routers=10)
    for _ in range(10):
        fleet.add_router(LoadControls())
    fleet.run(8.0)
    assert percentile(fleet.errors(3), 90) < 1.35
    assert fleet.slowdowns(15) == [1.0] * 70


@pytest.mark.parametrize("speeds", [[1.0, 1.0, 1.3] * 4, [1.0] * 23 + [SLOW]])
def test_pool_without_a_much_slower_part_keeps_its_speed_classes(speeds, monkeypatch):
    monkeypatch.setattr(f"{__name__}.SPELL_FACTOR", 1.0)
    fleet = Fleet(speeds, routers=5)
    fleet.run(8.0)
    book = fleet.books[0]
    rates = book.costs.rates
    assert not rates.replaces_speed_classes("pool")
    for record in book.all():
        assert rates.slowdown(record) == 1.0
        assert rates.prefill_ms(record, 5_000) == AssumedServiceRates().prefill_ms(record, 5_000)


def test_without_the_control_nothing_is_measured():
    fleet = Fleet(THREE_SPEEDS, routers=4, controls=LoadControls())
    fleet.run(3.0)
    assert fleet.changes == []
    assert fleet.slowdowns(0) == [1.0] * 70
    book = fleet.books[0]
    assert list(book.costs.rates.pools()) == []
    assert {load.gap_weight_centi for load in book.loads()} <= {0}
    assert book.costs.rates.prefill_ms(book.get("e-2"), 500) == 10.0


def test_streams_of_services_are_not_kept():
    rates = MeasuredServiceRates()
    book = Fleet([1.0], routers=1).books[0]
    record = book.get("e-0")
    for _ in range(100):
        rates.note_gap(record, 20.0, 5.0)
    rates.note_first_event(record, 9_000, 80.0, 5.0)
    assert list(rates.pools()) == []


# Gateways.


@pytest.mark.parametrize("controls", [ON, LoadControls()])
def test_gateways_measure_rates_from_forwarded_streams(controls):
    harness = Harness(
        pools=(ENGINE_POOL,), repeat=RetryPolicy.STREAM, time_limit_s=20.0, pause_target_s=0.3
    )
    harness.load_controls = controls
    for gap_s in (0.02, 0.06, 0.02):
        harness.endpoint(slow_stream(gap_s))
    harness.ready(gateways=3)
    harness.network.advance(1.0)
    for number in range(36):
        harness.send(gateway=number % 3, method=b"POST", body=b"", headers=harness.prompt(600, 9))
        harness.network.advance(0.3)
    endpoints = harness.gateways[0].endpoints
    slowdown = endpoints.costs.rates.measured_slowdown(endpoints.get("e-2"))
    changes = [line for log in harness.logs for line in log.of("endpoint.rate")]
    paces = [line for log in harness.logs for line in log.of("endpoint.pace")]
    if controls.service_rates:
        assert 2.0 < slowdown < 3.6
        assert {line["endpoint"] for line in changes} == {"e-2"}
        assert 1 <= len(changes) <= 4
        assert paces == []
    else:
        assert slowdown == 1.0
        assert changes == []
        assert paces


def test_gaps_while_a_slow_caller_holds_the_stream_up_do_not_count():
    harness = Harness(pools=(ENGINE_POOL,), repeat=RetryPolicy.STREAM, time_limit_s=60.0)
    harness.load_controls = ON
    endpoint = harness.endpoint(never_answer)
    harness.ready()
    noted_ms = []
    rates = harness.gateways[0].endpoints.costs.rates
    rates.note_gap = lambda record, gap_ms, now_s: noted_ms.append(gap_ms)
    harness.send(method=b"POST", body=b"", headers=harness.prompt(600, 9))
    harness.network.advance(0.1)
    (forwarding,) = harness.gateways[0].forwarder.open_requests
    request = endpoint.requests[0]
    event_stream = (b"content-type", b"text/event-stream")
    request.start(200, [*answer_head(request), event_stream], None)
    for number in range(1, 6):
        request.write(encode_events(number, number))
        harness.network.advance(0.02)
        if number == 3:
            forwarding._request.on_pause()
            harness.network.advance(2.0)
            forwarding._request.on_resume()
    assert noted_ms == pytest.approx([20.0] * 3, abs=1.0)


def test_metrics_tell_the_range_of_slowdowns_and_the_prompt_speed():
    metrics = GatewayMetrics()
    assert b"engine_slowdown_max{" not in metrics.text()
    metrics.set_pool_rates([PoolRates("chat", 0.9, 2.4, 160.0)])
    assert b'turnward_engine_slowdown_max{pool="chat"} 2.4' in metrics.text()
    assert b'turnward_engine_slowdown_min{pool="chat"} 0.9' in metrics.text()
    assert b'turnward_prompt_tokens_per_ms{pool="chat"} 160.0' in metrics.text()
