# SPDX-License-Identifier: BSD-3-Clause
"""Answers that fill the caller's send buffer at once: the connection they came on still serves."""

import pytest

from turnward.gateway.tests.harness import Harness, answer_ok
from turnward.http1 import header_value

#: The largest answer that is buffered whole.
LARGE_BYTES = 65_536


def answer_large_first(endpoint, request):
    large = header_value(request.headers, b"x-large") is not None
    answer_ok(endpoint, request, b"s" * LARGE_BYTES if large else b"fine")


@pytest.mark.parametrize("cut_off", [False, True], ids=["endpoint", "relay"])
def test_request_after_a_large_answer_is_answered(cut_off):
    harness = Harness(attempts=1, time_limit_s=2.0)
    endpoint = harness.endpoint(answer_large_first)
    harness.ready(2)
    harness.network.advance(1.0)
    if cut_off:
        harness.network.refuse(harness.machines[0].host, endpoint.machine.host)
        harness.ask(path=b"/a/first")
    harness.network.advance(1.0)
    for _ in range(3):
        large = harness.ask(headers=((b"X-Large", b"1"),))
        assert (large.status, len(large.body)) == (200, LARGE_BYTES)
        assert harness.ask(method=b"POST", body=b"x").status == 200
