# SPDX-License-Identifier: BSD-3-Clause
"""Encodes and decodes messages between routers with Cap'n Proto."""

import uuid
from pathlib import Path

import capnp
import msgspec

from turnward.claims.pairs import HeldClaim, HoldOutcome, HoldResult, ShardRow
from turnward.errors import TurnwardError
from turnward.events import HybridTimestamp
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
    Message,
    MoveShard,
    PutRecords,
    RecordsAck,
    RecordState,
    ReleaseHeldClaim,
    RunRecord,
    StatusReply,
    StatusRequest,
)

__all__ = ["Envelope", "WireError", "decode", "encode", "pack_id", "unpack_id"]

_SCHEMA = capnp.load(str(Path(__file__).with_name("wire.capnp")))

#: Message types by the schema group that has the same fields.
_GROUPS = {
    "heartbeat": Heartbeat,
    "heartbeatAck": HeartbeatAck,
    "recordsAck": RecordsAck,
    "handOver": HandOver,
    "configAsk": ConfigRequest,
    "statusAsk": StatusRequest,
    "statusReply": StatusReply,
}

_GROUP_NAMES = {message_type: name for name, message_type in _GROUPS.items()}


#: First byte of a packed id, which gives the encoding of the rest.
_UUID_PREFIX, _HEX_PREFIX, _TEXT_PREFIX = b"\x00", b"\x01", b"\x02"
_UUID_LENGTH = 36


class WireError(TurnwardError):
    """A frame that is damaged or not a message of this protocol."""


class Envelope(msgspec.Struct, frozen=True):
    """A message with its number, its sender and the sender's hybrid logical time."""

    number: int
    incarnation: str
    stamp: HybridTimestamp
    message: Message


def pack_id(text: str) -> bytes:
    """Return a compact form of an id or digest; UUIDs and hexadecimal digits shrink by half.

    Examples
    --------
    >>> len(pack_id("0190163d-8694-739b-aea5-966c26f8ad91"))
    17
    >>> unpack_id(pack_id("order 17"))
    'order 17'
    """
    try:
        if len(text) == _UUID_LENGTH and str(uuid.UUID(text)) == text:
            return _UUID_PREFIX + uuid.UUID(text).bytes
        if bytes.fromhex(text).hex() == text:
            return _HEX_PREFIX + bytes.fromhex(text)
    except ValueError:
        pass
    return _TEXT_PREFIX + text.encode()


def unpack_id(packed: bytes) -> str:
    """Return the id or digest of a packed form."""
    prefix, payload = packed[:1], bytes(packed[1:])
    if prefix == _UUID_PREFIX:
        return str(uuid.UUID(bytes=payload))
    if prefix == _HEX_PREFIX:
        return payload.hex()
    return payload.decode()


def encode(envelope: Envelope) -> bytes:
    """Return the frame of an envelope."""
    wire = _SCHEMA.Envelope.new_message(
        number=envelope.number,
        incarnation=envelope.incarnation,
        wallMs=envelope.stamp.wall_ms,
        counter=envelope.stamp.counter,
    )
    message = envelope.message
    message_type = type(message)
    if message_type in _GROUP_NAMES:
        group = wire.init(_GROUP_NAMES[message_type])
        for field in message_type.__struct_fields__:
            setattr(group, field, getattr(message, field))
    elif message_type is PutRecords:
        group = wire.init("putRecords")
        _fill_records(group.init("records", len(message.records)), message.records)
        dropped = group.init("dropped", len(message.dropped))
        for position, run_id in enumerate(message.dropped):
            dropped[position] = pack_id(run_id)
    elif message_type is HandOverAck:
        group = wire.init("handOverAck")
        group.wasHolder = message.was_holder
        _fill_records(group.init("records", len(message.records)), message.records)
    elif message_type is ConfigDelta:
        target = wire.init("configDelta", len(message.entries))
        for position, entry in enumerate(message.entries):
            target[position].revision = entry.revision
            target[position].body = entry.body
    else:
        _fill_claim_message(wire, message)
    return wire.to_bytes_packed()


def _fill_claim_message(wire, message: Message) -> None:
    match message:
        case HoldClaim():
            group = wire.init("holdClaim")
            group.shard, group.epoch = message.shard, message.epoch
            _fill_claim(group.init("claim"), message.claim)
        case HoldClaimAck(answer=answer):
            group = wire.init("holdClaimAck")
            group.outcome = answer.outcome.value
            if answer.row is not None:
                group.row = msgspec.json.encode(answer.row)
            if answer.standing is not None:
                _fill_claim(group.init("standing"), answer.standing)
        case ReleaseHeldClaim():
            group = wire.init("releaseClaim")
            group.releasedShard, group.releasedEpoch = message.shard, message.epoch
            group.releasedKey = message.key
            group.releasedToken = pack_id(message.token)
        case MoveShard():
            group = wire.init("moveShard")
            group.movedRow = msgspec.json.encode(message.row)
            claims = group.init("movedClaims", len(message.claims))
            for position, claim in enumerate(message.claims):
                _fill_claim(claims[position], claim)


def _fill_claim(target, claim: HeldClaim) -> None:
    target.key = claim.key
    target.token = pack_id(claim.token)
    target.fingerprint = pack_id(claim.fingerprint)
    target.incarnation = claim.incarnation


def _read_claim(claim) -> HeldClaim:
    return HeldClaim(
        claim.key, unpack_id(claim.token), unpack_id(claim.fingerprint), claim.incarnation
    )


def _read_row(packed: bytes) -> ShardRow | None:
    return msgspec.json.decode(packed, type=ShardRow) if packed else None


def _read_claim_message(name: str, body) -> Message:
    match name:
        case "holdClaim":
            return HoldClaim(body.shard, body.epoch, _read_claim(body.claim))
        case "holdClaimAck":
            outcome = HoldOutcome(body.outcome)
            standing = None
            if outcome is HoldOutcome.STANDING:
                standing = _read_claim(body.standing)
            return HoldClaimAck(HoldResult(outcome, standing, _read_row(body.row)))
        case "releaseClaim":
            token = unpack_id(body.releasedToken)
            return ReleaseHeldClaim(body.releasedShard, body.releasedEpoch, body.releasedKey, token)
        case "moveShard":
            claims = tuple(_read_claim(claim) for claim in body.movedClaims)
            return MoveShard(msgspec.json.decode(body.movedRow, type=ShardRow), claims)
    raise WireError(f"unknown message {name}")


def decode(frame: bytes) -> Envelope:
    """Return the envelope in a frame.

    Raises
    ------
    WireError
        The frame is damaged or its message type is unknown.
    """
    try:
        wire = _SCHEMA.Envelope.from_bytes_packed(frame)
        return Envelope(
            wire.number,
            wire.incarnation,
            HybridTimestamp(wire.wallMs, wire.counter),
            _read_message(wire),
        )
    except (capnp.KjException, msgspec.MsgspecError, ValueError) as error:
        raise WireError(f"damaged frame: {error}") from error


def _read_message(wire) -> Message:
    name = wire.which()
    body = getattr(wire, str(name))
    if name in _GROUPS:
        message_type = _GROUPS[str(name)]
        return message_type(*(getattr(body, field) for field in message_type.__struct_fields__))
    if name == "putRecords":
        records = tuple(_read_record(record) for record in body.records)
        return PutRecords(records, tuple(unpack_id(packed) for packed in body.dropped))
    if name == "handOverAck":
        records = tuple(_read_record(record) for record in body.records)
        return HandOverAck(records, body.wasHolder)
    if name == "configDelta":
        return ConfigDelta(tuple(ConfigEntry(entry.revision, bytes(entry.body)) for entry in body))
    return _read_claim_message(str(name), body)


def _fill_records(target, records: tuple[RunRecord, ...]) -> None:
    for position, record in enumerate(records):
        _fill_record(target[position], record)


def _fill_record(target, record: RunRecord) -> None:
    target.requestId = pack_id(record.request_id)
    target.runId = pack_id(record.run_id)
    target.workspace = record.workspace
    target.budget = record.budget
    target.endpoint = record.endpoint
    target.fingerprint = pack_id(record.fingerprint)
    target.reservedTokens = record.reserved_tokens
    target.usedTokens = record.used_tokens
    target.state = int(record.state)
    target.repeatable = record.repeatable


def _read_record(record) -> RunRecord:
    return RunRecord(
        unpack_id(record.requestId),
        unpack_id(record.runId),
        record.workspace,
        record.budget,
        record.endpoint,
        unpack_id(record.fingerprint),
        record.reservedTokens,
        record.usedTokens,
        RecordState(record.state),
        record.repeatable,
    )
