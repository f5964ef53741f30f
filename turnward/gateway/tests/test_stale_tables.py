# SPDX-License-Identifier: BSD-3-Clause
"""Where a stream goes on at a gateway whose endpoints' table is older than that of its peers."""

from turnward.gateway.tests.harness import answered
from turnward.gateway.tests.test_software_versions import (
    add_engine,
    make_harness,
    refuse_links,
    versions_in,
)


def make_long_running(gateways):
    """Return a fleet that has long known one version alone."""
    harness = make_harness(["v1", "v1"], gateways)
    harness.network.advance(3.0)
    return harness


def keep_table(harness, gateway):
    """Have a gateway keep its endpoints' table as it is."""
    harness.gateways[gateway].state.adopt_endpoints = lambda *args, **kwargs: False


def add_second_version(harness, breaks=False):
    for _ in range(3):
        add_engine(harness, "v2", breaks)
    harness.network.advance(2.0)


def test_peer_that_knows_one_version_does_not_continue_a_relayed_stream_of_another():
    harness = make_long_running(gateways=3)
    for gateway in (1, 2):
        keep_table(harness, gateway)
    add_second_version(harness, breaks=True)
    for endpoint in harness.endpoints:
        endpoint.behave.broken_after_s = 1.0
    callers = [harness.send() for _ in range(8)]
    harness.network.advance(0.1)
    refuse_links(harness, 0)
    harness.send(path=b"/a/other")
    harness.network.advance_until(lambda: all(map(answered, callers)))
    assert any(b"v2" in versions_in(caller) for caller in callers)
    assert all(len(versions_in(caller)) == 1 for caller in callers)
