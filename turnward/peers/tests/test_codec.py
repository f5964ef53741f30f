# SPDX-License-Identifier: BSD-3-Clause
"""Encoding and decoding of messages between routers."""

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from turnward.claims.pairs import HeldClaim, HoldOutcome, HoldResult, ShardRow
from turnward.events import HybridTimestamp
from turnward.peers.codec import Envelope, WireError, decode, encode
from turnward.peers.messages import (
    ConfigDelta,
    ConfigEntry,
    ConfigRequest,
    HandOver,
    HandOverAck,
    Heartbeat,
    HeartbeatAck,
    HoldClaim,
    HoldClaimAck,
    MoveShard,
    PutRecords,
    RecordsAck,
    RecordState,
    ReleaseHeldClaim,
    RunRecord,
    StatusReply,
    StatusRequest,
)

CLAIM = HeldClaim("claim/w/id", "0190163d-8694-739b-aea5-966c26f8ad91", "f" * 32, "r1")
ROW = ShardRow(3, 8, ("r1", "r2"), unknown_before_s=1.5)
FUZZ = settings(max_examples=100, derandomize=True, database=None, deadline=None)
TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\x00"), max_size=40)
RECORDS = st.builds(
    RunRecord,
    TEXT,
    st.uuids().map(str),
    TEXT,
    TEXT,
    TEXT,
    st.binary(min_size=16, max_size=16).map(bytes.hex),
    st.integers(0, 2**40),
    st.integers(0, 2**40),
    st.sampled_from(RecordState),
    st.booleans(),
)


def round_trips(message):
    envelope = Envelope(7, "entry-1.0123456789ab", HybridTimestamp(1, 2), message)
    return decode(encode(envelope)) == envelope


@pytest.mark.parametrize(
    "message",
    [
        Heartbeat(5),
        HeartbeatAck(6),
        RecordsAck(True),
        HandOver("a", "b"),
        ConfigRequest(3),
        ConfigDelta((ConfigEntry(1, b"x"),)),
        StatusRequest("status"),
        StatusReply(b"{}"),
        PutRecords((), ("run",)),
        HandOverAck((), False),
        HoldClaim(3, 7, CLAIM),
        HoldClaimAck(HoldResult(HoldOutcome.HELD)),
        HoldClaimAck(HoldResult(HoldOutcome.STANDING, CLAIM)),
        ReleaseHeldClaim(3, 7, "claim/w/id", "token"),
        HoldClaimAck(HoldResult(HoldOutcome.STALE, row=ROW)),
        MoveShard(ROW, (CLAIM, CLAIM)),
    ],
)
def test_every_message_round_trips(message):
    assert round_trips(message)


@FUZZ
@given(records=st.lists(RECORDS, max_size=4))
def test_any_records_round_trip(records):
    assert round_trips(PutRecords(tuple(records), tuple(r.run_id for r in records)))
    assert round_trips(HandOverAck(tuple(records), True))


@FUZZ
@given(frame=st.binary(max_size=200))
def test_any_bytes_give_a_message_or_a_wire_error(frame):
    with contextlib.suppress(WireError):
        decode(frame)
