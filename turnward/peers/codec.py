# SPDX-License-Identifier: BSD-3-Clause
"""Turns messages between routers into bytes and back, by Cap'n Proto."""

from pathlib import Path

import capnp
import msgspec

from turnward.errors import TurnwardError
from turnward.events import Stamp
from turnward.peers.messages import (
    ConfigAsk,
    ConfigDelta,
    ConfigEntry,
    HandOver,
    HandOverAck,
    Heartbeat,
    HeartbeatAck,
    Message,
    PutRecords,
    RecordsAck,
    RecordState,
    RunRecord,
    StatusAsk,
    StatusReply,
)

__all__ = ["Envelope", "WireError", "decode", "encode"]

_SCHEMA = capnp.load(str(Path(__file__).with_name("wire.capnp")))

#: Messages whose fields are the members of a group of the same name.
_GROUPS = {
    "heartbeat": Heartbeat,
    "heartbeatAck": HeartbeatAck,
    "recordsAck": RecordsAck,
    "handOver": HandOver,
    "configAsk": ConfigAsk,
    "statusAsk": StatusAsk,
    "statusReply": StatusReply,
}

_GROUP_NAMES = {message_type: name for name, message_type in _GROUPS.items()}


class WireError(TurnwardError):
    """A frame that is not a message of this protocol."""


class Envelope(msgspec.Struct, frozen=True):
    """A message with its number, its sender and the sender's hybrid time."""

    number: int
    incarnation: str
    stamp: Stamp
    message: Message


def encode(envelope: Envelope) -> bytes:
    """Return the packed bytes of an envelope."""
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
        _fill_records(wire.init("putRecords", len(message.records)), message.records)
    elif message_type is HandOverAck:
        group = wire.init("handOverAck")
        group.wasHolder = message.was_holder
        _fill_records(group.init("records", len(message.records)), message.records)
    else:
        target = wire.init("configDelta", len(message.entries))
        for position, entry in enumerate(message.entries):
            target[position].revision = entry.revision
            target[position].body = entry.body
    return wire.to_bytes_packed()


def decode(frame: bytes) -> Envelope:
    """Return the envelope in a frame.

    Raises
    ------
    WireError
        The frame is damaged or of a kind not known here.
    """
    try:
        wire = _SCHEMA.Envelope.from_bytes_packed(frame)
        return Envelope(
            wire.number, wire.incarnation, Stamp(wire.wallMs, wire.counter), _message(wire)
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as failure:
        raise WireError(f"damaged frame: {failure}") from failure


def _message(wire) -> Message:
    name = wire.which()
    body = getattr(wire, str(name))
    if name in _GROUPS:
        message_type = _GROUPS[str(name)]
        return message_type(*(getattr(body, field) for field in message_type.__struct_fields__))
    if name == "putRecords":
        return PutRecords(tuple(_read_record(record) for record in body))
    if name == "handOverAck":
        records = tuple(_read_record(record) for record in body.records)
        return HandOverAck(records, body.wasHolder)
    if name == "configDelta":
        return ConfigDelta(tuple(ConfigEntry(entry.revision, bytes(entry.body)) for entry in body))
    raise WireError(f"unknown message {name}")


def _fill_records(target, records: tuple[RunRecord, ...]) -> None:
    for position, record in enumerate(records):
        _fill_record(target[position], record)


def _fill_record(target, record: RunRecord) -> None:
    target.requestId = record.request_id
    target.runId = record.run_id
    target.workspace = record.workspace
    target.budget = record.budget
    target.endpoint = record.endpoint
    target.fingerprint = record.fingerprint
    target.reservedTokens = record.reserved_tokens
    target.usedTokens = record.used_tokens
    target.state = int(record.state)
    target.repeatable = record.repeatable


def _read_record(record) -> RunRecord:
    return RunRecord(
        record.requestId,
        record.runId,
        record.workspace,
        record.budget,
        record.endpoint,
        record.fingerprint,
        record.reservedTokens,
        record.usedTokens,
        RecordState(record.state),
        record.repeatable,
    )
