# SPDX-License-Identifier: BSD-3-Clause
"""A request that ends the engines that run it is held back after three of them.

What users saw: for ten seconds a tenth to a half of the streams broke off, one wave after the
other, and did so again half a minute later. In each wave all streams of one engine broke off
together; there were nine in a row, and never more than six engines.

What happened: one caller's request ended the process of the engine that ran it, within a tenth of
a second. The caller, or another process of the same workspace, sent it again: under another id,
to another router. That router had lost nothing there, or had lost "a request"; it chose the best
engine that was left, and this one ended too. Engines came back after three seconds and were next.

Why: a failure was remembered of the endpoint alone. Repeats were counted by request id, and the
id was new each time. No router knew the request again, and none told the others.

Evidence: of 66 sends lost at engines in nine seconds, nine had one workspace, one route and one
size; they came under nine ids by four routers, were sent once each, and had no event. One
engine ended 0.17 s after its start with this request alone in flight, which rules out load.
"""

from turnward.gateway.tests.crash_plays import CrashPlay

#: Time in which word of a crash is to be everywhere, in seconds.
KNOWN_S = 1.0
#: How often such a request may reach endpoints after that.
SENDS_LIMIT = 3
FATAL = b"what no engine bears"


def test_request_that_ends_engines_is_held_back_by_all_routers():
    play = CrashPlay(gateways=4, endpoints=6, crashing=(FATAL,))
    for turn in range(40):
        play.send(FATAL, turn)
        play.send(b"harmless %d" % turn, turn + 1)
        play.rig.network.advance(0.5)
    assert play.sends_after(FATAL, play.third_crash_s(FATAL) + KNOWN_S) <= SENDS_LIMIT
    assert len(play.crashes) <= 3 + SENDS_LIMIT
