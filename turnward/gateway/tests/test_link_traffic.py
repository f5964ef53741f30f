# SPDX-License-Identifier: BSD-3-Clause
"""A router tells what its own link carries, and for which purpose."""

from turnward.gateway.tests.harness import Harness, answer_ok
from turnward.gateway.tests.test_busy_links import BODY, RATE_PER_S, make_harness, send_steadily


def test_busy_link_is_logged_by_purpose_and_direction():
    harness = make_harness(cut_off=0, gateways=2)
    send_steadily(harness, 3.0)
    line = harness.logs[0].of("link.busy")[-1]
    carried_kb = RATE_PER_S * len(BODY) // 1_000
    assert 0.8 * carried_kb <= line["received_kb"]["callers"] <= 1.2 * carried_kb
    assert 0.8 * carried_kb <= line["sent_kb"]["endpoints"] <= 1.2 * carried_kb
    assert line["received_kb"]["relays"] == line["sent_kb"]["relays"] == 0
    assert 0.5 <= line["share"] <= 1.0
    assert not harness.logs[1].of("link.busy")


def test_figures_count_the_bytes_and_the_ends_of_requests():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready(2)
    for _ in range(3):
        assert harness.ask(method=b"POST", body=BODY).status == 200
    harness.network.advance(10.0)
    figures = harness.logs[0].of("process.figures")[-1]
    assert figures["ended"] == {"served": 3}
    received_kb, sent_kb = figures["link_kb"]["callers"]
    assert 36 <= received_kb <= 38
    assert sent_kb <= 1
    assert figures["link_kb"]["datagrams"][0] > 0
    metrics = harness.gateways[0]._metrics.text().decode()
    assert 'turnward_link_bytes_total{direction="sent",purpose="endpoints"}' in metrics
