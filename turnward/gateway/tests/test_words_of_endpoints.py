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

from turnward.gateway.tests.word_plays import WordPlay


def test_endpoint_that_says_that_it_leaves_is_sent_nothing_more():
    play = WordPlay(gateways=3, endpoints=4)
    play.endpoints[0].leaves = True
    play.ask_for(6.0)
    assert play.endpoints[0].left_s
    assert play.endpoints[0].late_sends() == 0
    assert set(play.statuses()) == {200}


def test_endpoint_that_asks_for_rest_gets_it():
    play = WordPlay(gateways=3, endpoints=6)
    for resting in play.endpoints[:2]:
        resting.rest_s = 3.0
    play.ask_for(7.0, pause_s=0.05)
    assert all(resting.rests for resting in play.endpoints[:2])
    assert max(resting.most_in_a_rest() for resting in play.endpoints[:2]) <= 1
