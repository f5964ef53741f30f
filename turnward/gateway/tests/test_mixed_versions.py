# SPDX-License-Identifier: BSD-3-Clause
"""Routers of older versions and of this one exchange messages during a rolling upgrade.

Guards against routers that silently drop messages of another layout version, which would separate
the two halves of a fleet: no loans between them, and no knowledge of load or crashing requests.

``recorded/COMMIT.json`` holds messages that the code at that commit encoded, with all fields set.
"""

import json
from pathlib import Path

import msgspec
import pytest

from turnward.gateway.accounts import AccountRow
from turnward.gateway.configuration import ConfigurationCopy
from turnward.gateway.loans import Loan, LoanAsk, LoanOffer, LoanReturn
from turnward.gateway.members import Member
from turnward.gateway.overlay import FleetSummary
from turnward.gateway.peer_book import DIGEST_LAYOUT, OLDEST_DIGEST_LAYOUT, Digest, EndpointLoad
from turnward.gateway.quarantine_rows import QuarantineRow
from turnward.gateway.rate_limit import RateLimitUpdate
from turnward.gateway.spending import SpendReport
from turnward.gateway.state import EndpointsSnapshot
from turnward.gateway.tests.harness import Harness, answer_ok

RECORDED = sorted((Path(__file__).parent / "recorded").glob("*.json"))
TYPES = {
    message_type.__name__: message_type
    for message_type in (
        AccountRow,
        ConfigurationCopy,
        Digest,
        EndpointsSnapshot,
        FleetSummary,
        Loan,
        LoanAsk,
        LoanReturn,
        Member,
        QuarantineRow,
        SpendReport,
    )
}


def differences(recorded, value, path=""):
    """Return the paths of fields whose values differ from the recorded ones."""
    if isinstance(value, msgspec.Struct):
        field_names = list(value.__struct_fields__)
        if type(value).__struct_config__.array_like:
            # Fields are compared by position, since their names are not encoded.
            pairs = list(zip(field_names, recorded.items(), strict=False))
            missing = [f"{path}.{name}" for name in list(recorded)[len(field_names) :]]
            return missing + [
                difference
                for name, (_, old_value) in pairs
                for difference in differences(old_value, getattr(value, name), f"{path}.{name}")
            ]
        return [
            difference
            for name, old_value in recorded.items()
            for difference in (
                differences(old_value, getattr(value, name), f"{path}.{name}")
                if name in field_names
                else [f"{path}.{name}"]
            )
        ]
    if isinstance(value, (tuple, list)):
        if len(value) != len(recorded):
            return [path]
        pairs = zip(recorded, value, strict=True)
        return [
            difference
            for old_value, new_value in pairs
            for difference in differences(old_value, new_value, path)
        ]
    if isinstance(value, dict):
        return [] if {str(key) for key in value} == set(recorded) else [path]
    return [] if value == recorded else [path]


def read(message, layout=None):
    layout = layout or TYPES[message["type"]]
    body = bytes.fromhex(message["bytes"])
    if message["form"] == "json":
        return msgspec.json.decode(body, type=layout)
    return msgspec.msgpack.decode(body, type=layout)


@pytest.mark.parametrize("recorded", RECORDED, ids=lambda path: path.stem)
def test_messages_of_older_versions_are_read_with_every_field(recorded):
    messages = json.loads(recorded.read_text())
    assert len(messages) >= 10
    for message in messages:
        assert differences(message["fields"], read(message), message["type"]) == []


@pytest.mark.parametrize("recorded", RECORDED, ids=lambda path: path.stem)
def test_datagrams_of_older_versions_have_supported_layouts(recorded):
    for message in json.loads(recorded.read_text()):
        if "layout" in message["fields"]:
            assert OLDEST_DIGEST_LAYOUT <= message["fields"]["layout"] <= DIGEST_LAYOUT


def test_field_inserted_in_the_middle_is_detected():
    """Otherwise a value could be decoded as that of another field."""

    class Middle(msgspec.Struct, frozen=True, array_like=True):
        endpoint: str
        added: int
        requests: int
        prefill_tokens: int = 0
        quiet_gap_ms: float = 0.0
        held_up_gap_ms: float = 0.0

    load = EndpointLoad("e", 3, 40, 1.5, 2.5)
    body = msgspec.msgpack.encode(load)
    fields = msgspec.structs.asdict(load)
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(body, type=Middle)
    offer_fields = {"workspace": "acme", "tokens": 7}
    assert differences(offer_fields, LoanOffer("acme", 7)) == []
    assert differences({"workspace": "acme", "pledged": 1, "tokens": 7}, LoanOffer("acme", 1)) != []
    assert differences(fields, EndpointLoad("e", 40, 3, 1.5, 2.5)) == [
        ".requests",
        ".prefill_tokens",
    ]


def test_older_reader_ignores_added_fields():
    """Simulates a version that knows only the first fields."""

    class Older(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
        layout: int
        node: str
        incarnation: str
        address: str

    limits = (RateLimitUpdate("e", 2.0, 10, "me", 70),)
    digest = Digest(DIGEST_LAYOUT, "n", "n@1", "a:1", "z", 1, 1, 0.5, limits=limits)
    older = msgspec.msgpack.decode(msgspec.msgpack.encode(digest), type=Older)
    assert (older.node, older.address) == ("n", "a:1")


class OlderLoan(msgspec.Struct, frozen=True, array_like=True):
    """A loan as versions without pacing know it."""

    tokens: int
    exhausted: bool = False


class OlderLoanAsk(msgspec.Struct, frozen=True, array_like=True):
    """A loan request as versions without pacing know it."""

    workspace: str
    required_tokens: int
    desired_tokens: int
    priority: int = 0
    for_request: bool = False


def test_older_borrower_reads_a_paced_loan_as_a_plain_refusal():
    body = msgspec.msgpack.encode(Loan(0, exhausted=True, retry_after_s=4.0))
    assert msgspec.msgpack.decode(body, type=OlderLoan) == OlderLoan(0, exhausted=True)
    older = msgspec.msgpack.encode(OlderLoan(7))
    assert msgspec.msgpack.decode(older, type=Loan) == Loan(7, retry_after_s=0.0)


def test_older_holder_ignores_the_priority_of_the_route():
    ask = LoanAsk("acme", 5, 9, 3, for_request=True, route_priority=1)
    body = msgspec.msgpack.encode(ask)
    assert msgspec.msgpack.decode(body, type=OlderLoanAsk) == OlderLoanAsk("acme", 5, 9, 3, True)
    older = msgspec.msgpack.encode(OlderLoanAsk("acme", 5, 9, 3, True))
    assert msgspec.msgpack.decode(older, type=LoanAsk).route_priority is None


def limit_to_layout(process, layout):
    """Make a router send and accept one layout only, as older versions do."""
    process.peers.exchange.layouts = range(layout, layout + 1)
    process.peers._identity = msgspec.structs.replace(process.peers._identity, layout=layout)
    process.peers._layouts = ConstantMapping(layout)


class ConstantMapping(dict):
    """A mapping that returns the same value for every key."""

    def __init__(self, value):
        super().__init__()
        self._value = value

    def get(self, key, default=None):
        return self._value


@pytest.mark.parametrize("layout", [4, 5, 6])
@pytest.mark.parametrize("gateways", [2, 4, 14])
def test_routers_of_both_versions_receive_each_others_messages(layout, gateways):
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.rows.put("configuration", "all", msgspec.json.encode(harness.configuration))
    for number in range(gateways):
        process = harness.gateway()
        if number % 2:
            limit_to_layout(process, layout)
    assert harness.network.advance_until(lambda: all(gateway.ready for gateway in harness.gateways))
    harness.network.advance(4.0)
    assert [gateway.peers.overlay.live_routers for gateway in harness.gateways] == [
        gateways
    ] * gateways


def test_versions_that_read_only_their_own_layout_do_not_communicate():
    """Without a common layout, each version sees only its own routers."""
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.rows.put("configuration", "all", msgspec.json.encode(harness.configuration))
    for layout in (5, 6, 5, 6):
        limit_to_layout(harness.gateway(), layout)
    harness.network.advance(6.0)
    assert [gateway.peers.overlay.live_routers for gateway in harness.gateways] == [2] * 4


def test_unknown_layout_is_counted_and_logged_once():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready(gateways=2)
    limit_to_layout(harness.gateways[1], 3)
    harness.network.advance(3.0)
    first = harness.gateways[0]
    assert first.peers.refused_count >= 5
    (line,) = harness.logs[0].of("peer.unreadable")
    assert (line["host"], line["layout"]) == (harness.machines[1].host, 3)


def test_undecodable_datagrams_are_counted_and_logged_once():
    harness = Harness()
    harness.endpoint(answer_ok)
    harness.ready()
    exchange = harness.gateways[0].peers.exchange
    for undecodable in (b"", b"\xff\x00", b"[]", msgspec.msgpack.encode(["digest", 6])):
        exchange.datagramReceived(undecodable, ("10.9.9.9", 1))
    assert harness.gateways[0].peers.refused_count == 4
    (line,) = harness.logs[0].of("peer.unreadable")
    assert line["layout"] is None
