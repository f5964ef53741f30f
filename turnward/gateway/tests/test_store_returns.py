# SPDX-License-Identifier: BSD-3-Clause
"""What routers know stays true when the store comes back from an older copy.

The story. Callers of a deployment were served, for over three seconds, by an engine that had
written to the store that it leaves; it would have ended under them a moment later. Shortly before,
the store had been away for 2.5 s and had come back from a copy some seconds old, so its versions
had gone back and were given out again. Each of six routers chose by a view of the endpoints from
before.

The cause: a view of the endpoints was taken in only if its version was above that of the view
known, and the number of a version tells nothing by itself once the store has come back. The
evidence: the line ``store.read_again``, in which a table is read as of version 29 while 156 stays
known; and a feed that went on asking for changes after a version that the store did not have, up to
230 times a second. Versions are pairs of era and number now, and the first test passes.
"""

from turnward.gateway.tests.return_plays import ReturnPlay

#: Seconds after which an endpoint that leaves must get nothing, as the users bound it.
LEAVES_BINDS_S = 2.0


def requests_after(play, endpoint, known_s):
    """Return how many requests reached an endpoint in the next seconds, from a moment on."""
    play.ask_for(known_s)
    before = len(endpoint.requests)
    play.ask_for(3.0)
    return len(endpoint.requests) - before


def test_endpoint_that_leaves_after_the_store_came_back_is_sent_nothing_more():
    play = ReturnPlay(gateways=3)
    play.ask_for(8.0)
    play.go_back(7.0, away_s=2.5)
    play.ask_for(0.5)
    leaving = play.endpoints[0]
    play.rig.announce(leaving, leaving=True)
    assert requests_after(play, leaving, LEAVES_BINDS_S) == 0
    assert set(play.statuses()) == {200}
