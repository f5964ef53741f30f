# SPDX-License-Identifier: BSD-3-Clause
"""Requests that only ran beside one that ends engines are not held back with it.

What callers saw: one caller's request ended three engines; it was held back, rightly. From that
second on, what all others of the pool asked for, the same summary, was refused for ten minutes
too, though 177 of its runs had been answered before and every engine was back after some seconds.

What happened: its runs were lost at the same three engines within 50 ms, and some of them had been
sent after others were lost. That is all the evidence that was asked for, and a content that is
held back is answered no more, so that nothing could clear it.
"""

import random

import pytest

from turnward.gateway.tests.crash_simulation import BACK_S, CrashPlay

FATAL = b"what no engine bears"
POPULAR = b"what all ask for"
#: Reasons of refusals of what ends endpoints, or may do so.
QUARANTINE_ERRORS = (b"ends_endpoints", b"may_end_endpoints")
#: Longest that a harmless request may be refused for what another did, in seconds.
INNOCENT_S = 2.0
#: Time in which word of an end is to be everywhere, and sends of what ends engines after that.
KNOWN_S = 1.0
SENDS_LIMIT = 3
#: Seconds in which the popular request is asked for before one that ends engines comes.
BEFORE_S = 3.0


class Newsroom:
    """All callers ask for one content; others send what ends engines.

    Parameters
    ----------
    seed : int
        Draws the moments.
    gateways, endpoints : int
        How many.
    fatal : tuple of bytes
        Bodies that end engines.
    """

    def __init__(self, seed, gateways=4, endpoints=3, fatal=(FATAL,)):
        self._draw = random.Random(seed)
        self._fatal = fatal
        self.play = CrashPlay(gateways=gateways, endpoints=endpoints, crashing=fatal)
        self.asked = []

    def ask(self, times=1):
        """Ask for what all ask for, at any gateways."""
        for _ in range(times):
            self.asked.append((self.play.now_s, self.play.send(POPULAR, self._draw.randrange(99))))

    def ask_for(self, lasts_s, pause_s=0.1):
        """Ask again and again."""
        until_s = self.play.now_s + lasts_s
        while self.play.now_s < until_s:
            self.ask()
            self.play.harness.network.advance(self._draw.uniform(0.0, 2 * pause_s))

    def end_engines(self):
        """End engines one right after the other, before any request in between is answered."""
        # All that was asked for before is answered; what follows runs beside what ends engines.
        self.play.harness.network.advance(2.0)
        for _ in range(3 * len(self._fatal)):
            self.ask(times=3)
            self.play.send(self._draw.choice(self._fatal), self._draw.randrange(99))
            self.play.harness.network.advance(self._draw.uniform(0.05, 0.1))
        self.play.harness.network.advance(0.2)

    def ask_and_end_engines(self, times):
        """Ask for a while, then end engines several times and ask on after each."""
        self.ask_for(3.0)
        for _ in range(times):
            self.end_engines()
            self.ask_for(6.0)
        self.play.harness.network.advance(5.0)

    def refused_s(self):
        """Return when harmless requests were sent that were refused for what another did."""
        return [
            time_s
            for time_s, caller in self.asked
            if any(reason in caller.received for reason in QUARANTINE_ERRORS)
        ]

    def longest_refused_s(self):
        """Return the longest time for which all harmless requests were refused on end."""
        refused_s = set(self.refused_s())
        longest_s, since_s = 0.0, None
        for time_s, _ in self.asked:
            if time_s not in refused_s:
                since_s = None
                continue
            since_s = time_s if since_s is None else since_s
            longest_s = max(longest_s, time_s - since_s)
        return longest_s

    def late_sends(self):
        """Return the most sends of a body that ends engines that came too late."""
        play = self.play
        third_s = {
            body: play.third_crash_s(body) for body in self._fatal if play.crash_count(body) > 2
        }
        late = [play.sends_after(body, at_s + KNOWN_S) for body, at_s in third_s.items()]
        return max(late, default=0)


@pytest.mark.parametrize("seed", range(8))
def test_popular_request_run_beside_a_crashing_one_is_still_served(seed):
    newsroom = Newsroom(seed)
    newsroom.ask_and_end_engines(times=3)
    assert newsroom.longest_refused_s() <= INNOCENT_S
    assert newsroom.late_sends() <= SENDS_LIMIT
    assert newsroom.play.ask(POPULAR).status == 200


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("gateways", [3, 7])
def test_unanswered_popular_request_is_cleared_by_a_trial(seed, gateways):
    """It is asked for by all for the first time while engines end beside it."""
    newsroom = Newsroom(seed, gateways)
    newsroom.end_engines()
    newsroom.ask_for(8.0)
    newsroom.play.harness.network.advance(5.0)
    assert newsroom.longest_refused_s() <= INNOCENT_S + BACK_S
    assert newsroom.late_sends() <= SENDS_LIMIT
    assert newsroom.play.ask(POPULAR).status == 200


@pytest.mark.parametrize("seed", range(4))
def test_several_crashing_requests_are_quarantined_and_a_popular_one_is_not(seed):
    newsroom = Newsroom(seed, gateways=4, endpoints=6, fatal=(b"one", b"two", b"three"))
    newsroom.ask_and_end_engines(times=3)
    assert newsroom.longest_refused_s() <= INNOCENT_S
    assert newsroom.late_sends() <= SENDS_LIMIT
    assert newsroom.play.ask(POPULAR).status == 200


def test_request_that_begins_to_crash_engines_is_quarantined_after_a_trial():
    """Answered by all engines at first; from a release on it ends each that runs it."""
    newsroom = Newsroom(seed=1, gateways=4, endpoints=6, fatal=())
    newsroom.ask_for(3.0)
    play = newsroom.play
    play.harness.network.advance(2.0)
    play.crashing = (POPULAR,)
    newsroom.ask_for(20.0, pause_s=0.5)
    assert play.sends_after(POPULAR, play.third_crash_s(POPULAR) + KNOWN_S) <= SENDS_LIMIT
    assert play.ask(POPULAR).status == 503


def test_log_lines_distinguish_trial_and_confirmation():
    newsroom = Newsroom(seed=1, gateways=2, endpoints=6, fatal=())
    newsroom.ask_for(3.0)
    play = newsroom.play
    play.harness.network.advance(2.0)
    play.crashing = (POPULAR,)
    newsroom.ask_for(12.0, pause_s=0.5)
    lines = [line for log in play.harness.logs for line in log.lines]
    told = [line["verdict"] for line in lines if line["event"] == "content.held"]
    assert set(told) == {"on_trial", "sure"}
    assert any(line["event"] == "content.tried" for line in lines)
    refusals = {line["reason"] for line in lines if line.get("outcome") == "refused"}
    assert {"ends_endpoints", "may_end_endpoints"} <= refusals
