# SPDX-License-Identifier: BSD-3-Clause
"""Endpoints whose entries name no version, also as older builds copy and record them."""

import msgspec
import pytest

from turnward.gateway import EndpointsSnapshot, RetryPolicy
from turnward.gateway.tests.harness import Harness
from turnward.gateway.tests.test_software_versions import Engine, is_whole, resume
from turnward.rows import RowVersion


def make_unnamed_harness(breaks=False):
    harness = Harness(repeat=RetryPolicy.STREAM, resumable=True, attempts=3)
    for _ in range(3):
        harness.endpoint(Engine("v1", breaks))
    harness.ready(2)
    harness.watch_pools()
    return harness


def adopt_copy_of_an_older_build(gateway):
    """Adopt a newer table in which entries without a version have an empty one."""
    state = gateway.state
    entries = [msgspec.to_builtins(entry) for entry in state.endpoints.values()]
    for entry in entries:
        entry["version"] = ""
    as_of = state.endpoints_version
    newer = EndpointsSnapshot.at(RowVersion.of(as_of.era, as_of.number + 1), ())
    copy = {**msgspec.to_builtins(newer), "entries": entries}
    assert state.adopt_endpoints(msgspec.convert(copy, EndpointsSnapshot), "peer")


def test_copy_of_an_older_build_does_not_replace_endpoints():
    harness = make_unnamed_harness()
    gateway = harness.gateways[0]
    before = {id(record) for record in gateway.endpoints.all()}
    adopt_copy_of_an_older_build(gateway)
    assert {id(record) for record in gateway.endpoints.all()} == before


@pytest.mark.parametrize("copied", [False, True])
def test_stream_goes_on_inside_one_answer(copied):
    harness = make_unnamed_harness(breaks=True)
    if copied:
        adopt_copy_of_an_older_build(harness.gateways[0])
    assert is_whole(harness.ask())


def test_stream_is_resumed_after_a_copy_of_an_older_build():
    harness = make_unnamed_harness()
    harness.ask(request_id=b"begun")
    adopt_copy_of_an_older_build(harness.gateways[0])
    assert resume(harness, b"begun").status == 200


def test_row_of_an_older_build_does_not_make_a_second_version_of_an_empty_name():
    harness = Harness(repeat=RetryPolicy.STREAM, resumable=True, attempts=3)
    for _ in range(2):
        harness.endpoint(Engine("v1"))
    harness.rows.put("pool_versions", "pool", b'[""]')
    harness.ready(2)
    harness.network.advance(1.0)
    assert len(harness.gateways[0].forwarder.versions.pools.of("pool")) == 1
