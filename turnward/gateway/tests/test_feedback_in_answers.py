# SPDX-License-Identifier: BSD-3-Clause
"""What endpoints say of themselves in their answers binds the router that hears it.

The story, twice. Callers of one deployment were served by an engine that was about to end, for
seconds after its answers had said that it leaves: it wrote that to the store as well, but the store
was silent, and routers listened to the store alone. Callers of another were refused while engines
were free: two engines of six turned requests away and asked for three seconds of rest; routers took
an answer that turns a request away for a sign of health, and since these two ran nothing they were
the least loaded, so they were sent more than the other four together (352 and 150 in nine seconds).

The evidence: the leaving engine was chosen 19 times by one unchanged version of the entries while
the store was silent; 226 sends of eight routers were turned away, 34 by one engine of one router.
The first two tests bring both about with nothing else wrong: no load, and no fault but one.
"""

import random

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.availability import Availability, UnavailableReason
from turnward.gateway.endpoint_feedback import EndpointFeedback
from turnward.gateway.tests.feedback_simulation import WordPlay
from turnward.gateway.tests.harness import (
    DIALECT,
    ENGINE_POOL,
    Harness,
    answer_head,
    answer_ok,
    answered,
    decode_chunked,
    encode_events,
    raw_answer,
    stream_events,
)
from turnward.gateway.tests.test_crashing_requests import trouble
from turnward.gateway.tests.test_forwarding import error_reason
from turnward.http1 import OutboundPool


def test_draining_endpoint_gets_no_more_requests():
    play = WordPlay(gateways=3, endpoints=4)
    play.endpoints[0].draining = True
    play.ask_for(6.0)
    assert play.endpoints[0].left_s
    assert play.endpoints[0].late_sends() == 0
    assert set(play.statuses()) == {200}


def test_endpoint_in_backoff_gets_no_requests():
    play = WordPlay(gateways=3, endpoints=6)
    for resting in play.endpoints[:2]:
        resting.rest_s = 3.0
    play.ask_for(7.0, pause_s=0.05)
    assert all(resting.rests for resting in play.endpoints[:2])
    assert max(resting.most_in_a_rest() for resting in play.endpoints[:2]) <= 1


def leaving_head(request):
    return [*answer_head(request), (DIALECT.draining, b"1")]


def leaving_stream(endpoint, request):
    """Begin a stream whose head tells that the endpoint leaves, and go on for ever."""
    request.start(200, [*leaving_head(request), (b"content-type", b"text/event-stream")], None)
    request.write(encode_events(1, 1))


def leaving_cut(endpoint, request):
    """Cut an answer off whose head tells that the endpoint leaves."""
    request.start(200, leaving_head(request), 100)
    request.write(b"half")
    endpoint.machine.callLater(0.02, request.abort)


def leaving_error(endpoint, request):
    request.answer(500, leaving_head(request), b"broken")


def leaving_refusal(endpoint, request):
    request.answer(503, [(DIALECT.not_run, b"1"), (DIALECT.draining, b"1")])


def leaving_without_an_id(endpoint, request):
    request.answer(200, [(DIALECT.draining, b"1")], b"whose")


#: An answer that comes between, before any that counts.
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nEndpoint-Leaving: 1\r\n\r\n"


@pytest.mark.parametrize(
    "behave",
    [
        leaving_stream,
        leaving_cut,
        leaving_error,
        leaving_refusal,
        leaving_without_an_id,
        raw_answer(INFORMATIONAL),
    ],
)
def test_feedback_in_any_kind_of_response_applies_at_once(behave):
    harness = Harness(time_limit_s=1.0)
    speaking = harness.endpoint(behave)
    harness.ready()
    harness.send()
    harness.network.advance(0.1)
    assert len(speaking.requests) == 1
    for _ in range(5):
        assert harness.ask().status == 503
    assert len(speaking.requests) == 1


def test_feedback_to_an_abandoned_request_applies():
    harness = Harness(attempts=1)
    answers = [leaving_stream, answer_ok]
    speaking = harness.endpoint(lambda endpoint, request: answers.pop(0)(endpoint, request))
    harness.ready()
    caller = harness.send()
    harness.network.advance(0.1)
    caller.transport.abortConnection()
    harness.network.advance(0.1)
    assert harness.ask().status == 503
    assert len(speaking.requests) == 1


@pytest.mark.parametrize("word", [EndpointFeedback(draining=True), EndpointFeedback(rest_s=2.0)])
def test_request_waiting_for_a_connection_obeys_new_feedback(word):
    harness = Harness()
    speaking = harness.endpoint(answer_ok)
    harness.ready()
    record = harness.gateways[0].endpoints.get("e-1")
    caller = harness.connect()
    caller.transport.write(harness.request_bytes())
    harness.network.advance_until(lambda: record.in_flight == 1)
    assert not speaking.requests
    record.availability.apply_feedback(word, harness.network.clock.seconds())
    harness.network.advance_until(lambda: answered(caller))
    assert caller.status == 503
    assert not speaking.requests
    failed = harness.logs[0].of("attempt.failed")[0]
    assert (failed["how"], failed["sent"]) == ("held", False)
    assert record.in_flight == 0


@pytest.mark.parametrize("word", [EndpointFeedback(draining=True), EndpointFeedback(rest_s=2.0)])
def test_broken_stream_resumes_on_an_available_endpoint(word):
    harness = Harness(pools=(ENGINE_POOL,), repeat=RetryPolicy.STREAM, resumable=True, attempts=3)
    for _ in range(3):
        harness.endpoint(stream_events(6, up_to=2, then=lambda endpoint, request: None))
    harness.ready()
    caller = harness.send()
    harness.network.advance(0.2)
    (first,) = (endpoint for endpoint in harness.endpoints if endpoint.requests)
    speaking, free = (endpoint for endpoint in harness.endpoints if endpoint is not first)
    now_s = harness.network.clock.seconds()
    harness.gateways[0].endpoints.get(speaking.endpoint_id).availability.apply_feedback(word, now_s)
    free.behave = stream_events(6)
    first.requests[0].abort()
    harness.network.advance_until(lambda: answered(caller))
    assert decode_chunked(caller.body) == (encode_events(1, 6), True)
    assert not speaking.requests


def test_slow_upload_goes_to_an_available_endpoint():
    harness = Harness()
    speaking, other = harness.endpoint(leaving_error), harness.endpoint(answer_ok)
    harness.ready()
    slow = harness.connect()
    whole = harness.request_bytes(method=b"POST", body=b"x" * 100)
    slow.transport.write(whole[:-50])
    while not speaking.requests:
        harness.ask()
    slow.transport.write(whole[-50:])
    harness.network.advance_until(lambda: answered(slow))
    assert slow.status == 200
    assert len(speaking.requests) == 1
    assert len(other.requests) >= 2


def test_callers_get_retry_after_when_the_whole_pool_is_in_backoff():
    play = WordPlay(gateways=1, endpoints=2)
    for endpoint in play.endpoints:
        endpoint.rest_s = 3.0
    play.ask_for(0.5)
    sends = sum(len(endpoint.sends) for endpoint in play.endpoints)
    began_s = play.now_s
    refused = play.harness.ask()
    assert play.now_s - began_s < 0.05
    assert refused.status == 503
    assert error_reason(refused) == "endpoints_resting"
    # The rests began up to half a second ago, and are lengthened by up to a quarter.
    assert 2.4 <= float(refused.header(b"retry-after")) <= 1.5 * 1.25 * 3.0
    assert sum(len(endpoint.sends) for endpoint in play.endpoints) == sends
    for endpoint in play.endpoints:
        endpoint.rest_s = 0.0
    play.harness.network.advance(float(refused.header(b"retry-after")))
    assert play.harness.ask().status == 200


def test_log_lines_name_the_feedback_and_its_request():
    play = WordPlay(gateways=1, endpoints=3)
    play.endpoints[0].draining = True
    play.endpoints[1].rest_s = 2.0
    play.ask_for(1.0)
    said = {line["endpoint"]: line for line in play.harness.logs[0].of("endpoint.said")}
    assert said["e-1"]["hold"] == "leaves"
    assert said["e-1"]["request"].startswith("id-")
    assert said["e-2"]["hold"] == "rests"
    assert 2.0 <= said["e-2"]["rest_s"] <= 2.5


def test_log_lines_name_each_new_limit_once():
    play = WordPlay(gateways=1, endpoints=2)
    named = play.endpoints[0]
    for per_s in (40.0, 20.0):
        named.limit_per_s = per_s
        play.ask_for(2.0, pause_s=0.02)
    lines = play.harness.logs[0].of("endpoint.limited")
    assert [line["limit_per_s"] for line in lines] == [40.0, 20.0]
    assert {line["endpoint"] for line in lines} == {named.endpoint.endpoint_id}
    assert lines[0]["request"].startswith("id-")


def test_rejecting_endpoint_without_retry_after_is_tried_rarely():
    play = WordPlay(gateways=2, endpoints=6)
    busy = play.endpoints[0]
    busy.sheds = True
    play.ask_for(6.0, pause_s=0.02)
    # A router tries it after 0.25, 0.5, 1 and each 2 s more, a fifth sooner at the most.
    assert len(busy.sends) <= 2 * 7
    busy.sheds = False
    play.harness.network.advance(2.5)
    before = len(busy.sends)
    play.ask_for(2.0, pause_s=0.02)
    assert len(busy.sends) - before >= 10
    assert set(play.statuses()) == {200}


def test_rejecting_pool_without_retry_after_is_still_tried():
    play = WordPlay(gateways=1, endpoints=2)
    for endpoint in play.endpoints:
        endpoint.sheds = True
    play.ask_for(0.5, pause_s=0.1)
    assert set(play.statuses()) == {503}
    for endpoint in play.endpoints:
        endpoint.sheds = False
    assert play.harness.ask().status == 200


class Troubled:
    """Endpoints that leave, rest, shed work and change, beside troubles of the routers.

    Parameters
    ----------
    size : int
        How many routers.
    seed : int
        Draws what happens.
    """

    def __init__(self, size, seed):
        self.draw = random.Random(seed)
        self.play = WordPlay(gateways=size, endpoints=8)
        self.ending = None

    def run(self, turns):
        for turn in range(turns):
            if turn % 10 == 2:
                self._trouble_routers()
            self._change_an_endpoint(turn)
            self.play.ask_for(0.2, pause_s=0.02)
            if turn % 10 == 8:
                self.ending()
        return self.play.endpoints

    def _trouble_routers(self):
        harness = self.play.harness
        kind = self.draw.choice(("frozen", "apart", "restarted", "store"))
        before = list(harness.gateways)
        self.ending = trouble(self.play, self.draw, kind)
        for machine, old, new in zip(harness.machines, before, harness.gateways, strict=True):
            if old is not new:
                self.play.note_restart(machine.host)

    def _change_an_endpoint(self, turn):
        working = [one for one in self.play.endpoints if not one.draining]
        one = self.draw.choice(working)
        kinds = ("leave", "leave", "rest", "rest", "shed", "entry", "gone", "back")
        what = self.draw.choice(kinds)
        rows = self.play.harness.rows
        if what == "leave" and len(working) > 4:
            one.draining = True
            self.play.add_endpoint()
        elif what == "rest":
            one.rest_s = self.draw.choice((0.0, 0.7, 3.0))
        elif what == "shed":
            one.sheds = not one.sheds
        elif what == "gone":
            rows.remove("endpoints", one.endpoint.endpoint_id)
        elif what in ("entry", "back"):
            for known in self.play.endpoints if what == "back" else [one]:
                self.play.harness.announce(known.endpoint, zone="z", slots=4 + turn)


@pytest.mark.parametrize("size", [3, 7, 14])
@pytest.mark.parametrize("seed", range(3))
def test_feedback_is_obeyed_during_random_faults(size, seed):
    endpoints = Troubled(size, seed).run(60)
    assert sum(bool(one.left_s) for one in endpoints) >= 2
    assert sum(one.late_sends() for one in endpoints) == 0
    assert max(one.most_in_a_rest() for one in endpoints) <= 1


# Versions without a part of it, each of which a play above finds.


def entries_only(monkeypatch):
    monkeypatch.setattr(Availability, "heed", lambda *_, **__: None)


def forgets_with_the_next_entry(monkeypatch):
    take = Availability.apply_entry

    def forget(self, draining):
        self._leaves = False
        self._rest_until_s = 0.0
        take(self, draining)

    monkeypatch.setattr(Availability, "take_entry", forget)


def rest_as_a_wish(monkeypatch):
    unavailable_reason = Availability.unavailable_reason

    def without_rest(self, now_s):
        found = unavailable_reason(self, now_s)
        return None if found is UnavailableReason.BACKOFF else found

    monkeypatch.setattr(Availability, "hold", without_rest)


def known_by_own_requests_only(monkeypatch):
    """Listens to answers that end a request, as a caller of a library would."""
    monkeypatch.setattr(OutboundPool, "note_head", lambda *_: None)


@pytest.mark.parametrize(
    "break_it", [entries_only, forgets_with_the_next_entry, known_by_own_requests_only]
)
def test_draining_simulation_detects_broken_variants(monkeypatch, break_it):
    break_it(monkeypatch)
    assert play_leaving_beside_changed_entries().late_sends() > 0


@pytest.mark.parametrize("break_it", [entries_only, forgets_with_the_next_entry, rest_as_a_wish])
def test_backoff_simulation_detects_broken_variants(monkeypatch, break_it):
    break_it(monkeypatch)
    assert play_rest_of_all_beside_changed_entries() > 1


def test_feedback_is_obeyed_while_entries_change():
    assert play_leaving_beside_changed_entries().late_sends() == 0
    assert play_rest_of_all_beside_changed_entries() <= 1


def play_leaving_beside_changed_entries():
    """Play an endpoint that leaves, and entries that change every half second."""
    play = WordPlay(gateways=2, endpoints=3)
    speaking = play.endpoints[0]
    speaking.draining = True
    for change in range(8):
        play.harness.announce(speaking.endpoint, zone="z", slots=5 + change)
        play.ask_for(0.5, pause_s=0.05)
    return speaking


def play_rest_of_all_beside_changed_entries():
    """Return the most sends in a rest where all endpoints want one, and entries change."""
    play = WordPlay(gateways=2, endpoints=2)
    for endpoint in play.endpoints:
        endpoint.rest_s = 3.0
    for change in range(8):
        for endpoint in play.endpoints:
            play.harness.announce(endpoint.endpoint, zone="z", slots=5 + change)
        play.ask_for(0.5, pause_s=0.05)
    return max(endpoint.most_in_a_rest() for endpoint in play.endpoints)
