# SPDX-License-Identifier: BSD-3-Clause
"""Kills, freezes and outages with separate processes on real sockets."""

import http.client
import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest
import uuid6

from tools.demo import Audit, Caller
from tools.local_fleet import LocalFleet, http_call

CHAT = "/v1/chat/completions"
BOOKINGS = "/services/points/bookings"


class Harness:
    """A fleet with both example deployments, and an audit from the outside."""

    def __init__(self, **settings):
        self.fleet = LocalFleet()
        self.fleet.start_platform()
        self.engines = [self.fleet.start_engine("engine-1"), self.fleet.start_engine("engine-2")]
        self.service = self.fleet.start_service("service-1")
        for number, zone in enumerate(("ost-a", "ost-b", "ost-c"), start=1):
            self.fleet.start_router(f"entry-{number}", zone, **settings)
        self.fleet.wait_ready()
        ports = {"9101": self.engines[0], "9102": self.engines[1], "9103": self.service}
        for name in ("treuepunkt", "fellesstilling"):
            path = f"examples/{name}.toml"
            self._revision = self.fleet.apply_file(self.routers[0], path, ports)
        self.fleet.wait_until(self._ready)
        self.audit = Audit(self.fleet, self.engines, self.service)
        self.caller = Caller(self.fleet)

    @property
    def routers(self):
        return self.fleet.routers

    def _ready(self):
        fleets = [self.fleet.operator(router, "GET", "/fleet")[1] for router in self.routers]
        return all(
            fleet["revision"] >= self._revision
            and fleet["in_force"] == 3
            and all(len(router["buddies"]) == 2 for router in fleet["routers"])
            for fleet in fleets
        )

    def chat_body(self, tokens=30, stream=False):
        message = {"role": "user", "content": "who opened the score?"}
        return msgspec.json.encode(
            {"model": "draft", "messages": [message], "max_tokens": tokens, "stream": stream}
        )

    def send(self, router, path, body, request_id=None, workspace="bakeries", timeout_s=20.0):
        headers = {"Authorization": f"Bearer {workspace}-key", "Content-Type": "application/json"}
        if request_id:
            headers["Idempotency-Key"] = request_id
        return http_call("POST", router.callers_url + path, body, headers, timeout_s)

    def start_chats(self, pool, router, count, **body):
        ids = [str(uuid6.uuid7()) for _ in range(count)]
        encoded = self.chat_body(**body)
        futures = [pool.submit(self.send, router, CHAT, encoded, name) for name in ids]
        return ids, futures

    def start_mixed(self, pool, count):
        """Start chats and bookings in turn, as a caller that asks again; futures by id."""
        futures = {}
        for number in range(count):
            request_id = str(uuid6.uuid7())
            path, body = (CHAT, self.chat_body()) if number % 2 else (BOOKINGS, b"{}")
            futures[request_id] = pool.submit(self.caller.send, "bakeries", path, body, request_id)
        return futures

    def wait_billed(self, ids, limit_s=20.0):
        def billed():
            found = {bill["request_id"] for bill in self.audit.bills()}
            return set(ids) <= found

        self.fleet.wait_until(billed, limit_s)

    def wait_open(self, router, count):
        def enough():
            status = self.fleet.operator(router, "GET", "/fleet")[1]
            own = [entry["status"] for entry in status["routers"] if entry["status"]]
            return any(
                entry["instance"] == router.instance and entry["open_requests"] >= count
                for entry in own
            )

        self.fleet.wait_until(enough)

    def assert_exact(self, answered=()):
        assert self.audit.overspent_tokens() == 0
        assert self.audit.doubled() == 0
        assert self.audit.lost(set(answered)) == 0


@pytest.fixture
def harness():
    harness = Harness()
    yield harness
    harness.fleet.stop()


@pytest.fixture
def pool():
    with ThreadPoolExecutor(16) as pool:
        yield pool


def test_router_killed_with_streams_open_is_recovered_by_its_buddy(harness, pool):
    victim = harness.routers[0]
    ids, futures = harness.start_chats(pool, victim, 3, tokens=200, stream=True)
    harness.fleet.wait_until(lambda: len(harness.audit.engine_runs()) == 3)
    harness.fleet.kill(victim)
    for future in futures:
        with pytest.raises((OSError, http.client.HTTPException)):
            future.result()
    harness.wait_billed(ids)
    retried = [harness.caller.send("bakeries", CHAT, harness.chat_body(), str(uuid6.uuid7()))]
    assert retried[0][0] == "ran"
    harness.assert_exact()


def test_frozen_router_wakes_fenced_and_bills_nothing_twice(harness, pool):
    victim = harness.routers[0]
    ids, futures = harness.start_chats(pool, victim, 3, tokens=100)
    harness.fleet.wait_until(lambda: len(harness.audit.engine_runs()) == 3)
    victim.process.send_signal(signal.SIGSTOP)
    harness.fleet.unlist_instance(victim.instance)
    harness.wait_billed(ids)
    harness.fleet.list_instance(victim.instance)
    victim.process.send_signal(signal.SIGCONT)
    assert [future.result()[0] for future in futures] == [200] * 3
    harness.fleet.wait_until(lambda: harness.send(victim, CHAT, harness.chat_body())[0] == 200)
    harness.assert_exact(ids)


def test_table_outage_serves_chats_runs_a_booking_once_and_bills_after(harness, pool):
    router = harness.routers[0]
    for _ in range(3):
        assert harness.send(router, CHAT, harness.chat_body())[0] == 200
    harness.fleet.set_faults(down=True)
    ids, futures = harness.start_chats(pool, router, 4)
    booking = str(uuid6.uuid7())
    booked = [
        pool.submit(harness.send, each, BOOKINGS, b"{}", booking) for each in harness.routers * 2
    ]
    statuses = Counter(future.result()[0] for future in futures)
    answers = [future.result() for future in booked]
    harness.fleet.set_faults(down=False)
    assert statuses == {200: 4}
    assert sum(status == 200 for status, _, _ in answers) == 1
    refused = [headers for status, headers, _ in answers if status != 200]
    assert all("Retry-After" in headers for headers in refused)
    assert harness.audit.service_calls()[booking] == 1
    harness.wait_billed([*ids, booking])
    harness.assert_exact([*ids, booking])


def test_holder_of_claims_killed_in_an_outage_doubles_no_booking(harness, pool):
    for router in harness.routers:
        for _ in range(3):
            assert harness.send(router, CHAT, harness.chat_body())[0] == 200
    harness.fleet.set_faults(down=True)
    harness.fleet.kill(harness.routers[0])
    ids = [str(uuid6.uuid7()) for _ in range(16)]
    living = harness.routers[1:]
    sent = [
        pool.submit(harness.send, each, BOOKINGS, b"{}", name) for name in ids for each in living
    ]
    statuses = {future.result()[0] for future in sent}
    assert statuses <= {200, 409, 503}
    harness.fleet.set_faults()
    harness.fleet.unlist_instance(harness.routers[0].instance)
    futures = [pool.submit(harness.caller.send, "bakeries", BOOKINGS, b"{}", name) for name in ids]
    assert {future.result()[0] for future in futures} <= {"ran", "unknown"}
    assert set(harness.audit.service_calls()) == set(ids)
    harness.wait_billed(ids)
    harness.assert_exact(ids)


def test_slow_table_whose_writes_go_unanswered_doubles_nothing(harness, pool):
    harness.fleet.set_faults(delay_s=2.5)
    futures = harness.start_mixed(pool, 24)
    time.sleep(6.0)
    harness.fleet.set_faults()
    outcomes = {name: future.result()[0] for name, future in futures.items()}
    ran = [name for name, outcome in outcomes.items() if outcome == "ran"]
    assert len(ran) >= 12
    harness.wait_billed(ran)
    harness.assert_exact(ran)


def test_answers_lost_after_the_write_double_and_lose_nothing(harness, pool):
    harness.fleet.set_faults(lose_answers=12)
    futures = harness.start_mixed(pool, 30)
    outcomes = {name: future.result()[0] for name, future in futures.items()}
    ran = [name for name, outcome in outcomes.items() if outcome == "ran"]
    assert len(ran) >= 25
    harness.wait_billed(ran)
    harness.assert_exact(ran)


def test_one_booking_sent_to_every_router_runs_once(harness, pool):
    request_id = str(uuid6.uuid7())
    futures = [
        pool.submit(harness.send, router, BOOKINGS, b'{"points": 5}', request_id)
        for router in harness.routers * 4
    ]
    statuses = Counter(future.result()[0] for future in futures)
    assert set(statuses) <= {200, 409}
    assert statuses[200] >= 1
    assert harness.audit.service_calls()[request_id] == 1
    harness.wait_billed([request_id])
    harness.assert_exact([request_id])


def test_planned_stop_under_load_cuts_no_request(harness, pool):
    leaver = harness.routers[2]
    ids, futures = harness.start_chats(pool, leaver, 6, tokens=100, stream=True)
    harness.wait_open(leaver, 3)
    leaver.process.send_signal(signal.SIGTERM)
    answers = [future.result() for future in futures]
    whole = [body for status, _, body in answers if status == 200]
    refused = [msgspec.json.decode(body) for status, _, body in answers if status != 200]
    assert all(body.endswith(b"data: [DONE]\n\n") for body in whole)
    assert len(whole) >= 3
    assert all(problem["outcome"] == "not_run" for problem in refused)
    assert leaver.process.wait(timeout=20) == 0
    assert not [row for row in harness.fleet.scan("router/") if leaver.instance in row["key"]]
    harness.assert_exact(ids[: len(whole)] if not refused else ())


def test_leaving_engine_gets_no_new_work_after_two_seconds(harness, pool):
    engine = f"http://127.0.0.1:{harness.engines[0]}"
    stop = threading.Event()

    def keep_calling():
        while not stop.is_set():
            harness.send(harness.routers[1], CHAT, harness.chat_body(tokens=5))

    callers = [pool.submit(keep_calling) for _ in range(4)]
    try:
        http_call("POST", f"{engine}/faults", {"leaving": True})
        time.sleep(2.0)
        before = len(msgspec.json.decode(http_call("GET", f"{engine}/counts")[2])["runs"])
        refused_before = _refused(engine)
        time.sleep(1.0)
        after = len(msgspec.json.decode(http_call("GET", f"{engine}/counts")[2])["runs"])
        assert after == before
        assert _refused(engine) == refused_before
    finally:
        stop.set()
        for caller in callers:
            caller.result()


def _refused(engine):
    return msgspec.json.decode(http_call("GET", f"{engine}/counts")[2])["refused"]


def test_cut_stream_is_resumed_whole_at_the_next_token(harness):
    engine = f"http://127.0.0.1:{harness.engines[0]}"
    http_call("POST", f"{engine}/faults", {"cut_after_tokens": 7})
    status, _, body = harness.send(
        harness.routers[0], CHAT, harness.chat_body(tokens=20, stream=True)
    )
    events = [part for part in body.split(b"\n\n") if b'"content"' in part]
    words = [msgspec.json.decode(part[6:])["choices"][0]["delta"]["content"] for part in events]
    assert status == 200
    assert [word.strip().split(".")[1] for word in words] == [str(n) for n in range(20)]
    assert body.endswith(b"data: [DONE]\n\n")


def test_operators_who_race_get_one_conflict(harness):
    url = f"http://127.0.0.1:{harness.engines[0]}"
    found = harness.fleet.operator(harness.routers[0], "GET", "/resources/endpoints/draft-1")[1][0]
    change = {
        "kind": "endpoints",
        "name": "draft-1",
        "spec": {**found["spec"], "url": url, "drained": True},
        "expected_version": found["version"],
    }
    body = {"changes": [change]}
    answers = [
        harness.fleet.operator(router, "POST", "/apply", body) for router in harness.routers[:2]
    ]
    assert [status for status, _ in answers] == [200, 409]
    revision = answers[0][1]["revision"]
    started = time.monotonic()
    harness.fleet.wait_until(
        lambda: all(
            harness.fleet.operator(router, "GET", "/fleet")[1]["revision"] >= revision
            for router in harness.routers
        )
    )
    assert time.monotonic() - started < 5.0
