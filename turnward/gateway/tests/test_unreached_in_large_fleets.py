# SPDX-License-Identifier: BSD-3-Clause
"""Routers without links to endpoints are served as the others are, in a fleet of any size."""

import pytest

from turnward.gateway import RetryPolicy
from turnward.gateway.members import MEMBERS_TABLE, Member, encode_member
from turnward.gateway.peer_book import DIGEST_LAYOUT
from turnward.gateway.relay_paths import PathAnswer, PoolPaths
from turnward.gateway.tests.test_unreached_endpoints import (
    MIN_SHARE_OF_OTHERS,
    SERVED_AFTER_S,
    Links,
    make_harness,
    send_everywhere,
    serve_with_links_reset_after_they_open,
    served_share,
)

#: Paths that a router without links must know soon; each serves most of what it is sent.
ENOUGH_PATHS = 3
#: Bound of the questions and answers of one router in a second, in a fleet of any size.
MAX_MESSAGES_PER_S = 2 * 16 * 4


def mean_share(callers):
    shares = list(map(served_share, callers))
    return sum(shares) / len(shares)


@pytest.mark.parametrize("how", ["silent", "reset", "new_refused"])
@pytest.mark.parametrize(("gateways", "cut_off"), [(24, 12), (24, 21), (40, 36)])
def test_routers_without_links_serve_as_others_do_while_few_digests_arrive(gateways, cut_off, how):
    harness = make_harness(gateways)
    assert not harness.gateways[0].peers.overlay.mesh
    send_everywhere(harness, 1.0)
    Links(harness, how).cut(*range(cut_off))
    send_everywhere(harness, SERVED_AFTER_S - 1.6)
    callers = send_everywhere(harness, 3.0)
    others = mean_share(callers[cut_off:])
    assert others == 1.0
    assert mean_share(callers[:cut_off]) >= MIN_SHARE_OF_OTHERS * others


@pytest.mark.parametrize("broken", [12, 21])
def test_routers_whose_links_are_reset_after_they_open_serve_as_others_do(broken):
    harness = make_harness(24, repeat=RetryPolicy.ANY, attempts=2)
    shares = serve_with_links_reset_after_they_open(harness, broken, alike=False)
    assert min(shares[broken:]) == 1.0
    assert sum(shares[:broken]) / broken >= MIN_SHARE_OF_OTHERS


def count_hops(harness, how):
    failed = [line for log in harness.logs for line in log.of("attempt.failed")]
    return sum(line["endpoint"].startswith("peer") and line["how"] == how for line in failed)


def test_most_requests_find_a_peer_that_serves_at_the_first_hop():
    harness = make_harness(24)
    send_everywhere(harness, 1.0)
    Links(harness, "silent").cut(*range(21))
    send_everywhere(harness, SERVED_AFTER_S - 1.6)
    for log in harness.logs:
        log.lines.clear()
    send_everywhere(harness, 3.0)
    relayed = sum(len(log.of("request.relayed")) for log in harness.logs)
    assert relayed > 200
    assert count_hops(harness, "not_run") <= relayed / 10


def test_known_paths_are_told_on_so_that_few_routers_with_links_are_found_by_all():
    harness = make_harness(40)
    send_everywhere(harness, 1.0)
    Links(harness, "silent").cut(*range(37))
    send_everywhere(harness, SERVED_AFTER_S - 1.6)
    known = [len(gateway.relay.peers.known_paths("pool")) for gateway in harness.gateways[:37]]
    assert min(known) >= ENOUGH_PATHS


def count_messages(harness):
    """Return a count of questions and answers sent by each router from now on."""
    counts = [0] * len(harness.gateways)
    for number, gateway in enumerate(harness.gateways):

        def count_and_send(message, address, number=number, send=gateway.peers.send):
            counts[number] += 1
            send(message, address)

        gateway.paths._send = count_and_send
    return counts


@pytest.mark.parametrize("gateways", [24, 120])
def test_messages_about_paths_are_bounded_in_a_fleet_of_any_size(gateways):
    harness = make_harness(gateways)
    counts = count_messages(harness)
    harness.network.advance(1.0)
    assert not any(counts)
    cut_off = round(0.9 * gateways)
    Links(harness, "silent").cut(*range(cut_off))
    for gateway in range(cut_off):
        harness.send(gateway, headers=((b"Deadline-Ms", b"900"),))
    harness.network.advance(1.0)
    counts[:] = [0] * gateways
    harness.network.advance(2.0)
    assert max(counts[:cut_off]) <= 2.0 * MAX_MESSAGES_PER_S
    # What is asked of a router with links grows with the share that has none, not with the fleet.
    assert max(counts[cut_off:]) <= 10 * 2.0 * MAX_MESSAGES_PER_S
    Links(harness, "silent").heal(*range(cut_off))
    harness.network.advance(3.0)
    counts[:] = [0] * gateways
    harness.network.advance(1.0)
    assert not any(counts)


def test_answers_about_pools_that_were_not_asked_about_are_ignored():
    harness = make_harness(24)
    origin, peer = harness.gateways[:2]
    told = (PoolPaths("other", True, ("10.1.0.3:82",)),)
    origin.paths.receive_answer(PathAnswer(DIGEST_LAYOUT, peer.peers_address, told))
    assert not origin.relay.peers.known_paths("other")


def test_no_peer_is_asked_because_one_endpoint_refuses_connections():
    harness = make_harness(24)
    counts = count_messages(harness)
    harness.endpoints[0].machine.kill()
    callers = send_everywhere(harness, 2.0)
    assert mean_share(callers) == 1.0
    assert any(log.of("endpoint.lost") for log in harness.logs)
    assert not any(counts)


def test_peers_of_older_builds_are_not_asked():
    harness = make_harness(24)
    for number, gateway in enumerate(harness.gateways):
        member = Member(gateway.peers_address, "z", takes_relays=True, keeps_versions=True)
        harness.rows.put(MEMBERS_TABLE, f"node-{number + 1}", encode_member(member))
    harness.network.advance(5.0)
    assert not any(peer.tells_paths for peer in harness.gateways[0].book.members)
    counts = count_messages(harness)
    Links(harness, "silent").cut(0)
    send_everywhere(harness, 2.0)
    assert counts[0] == 0
