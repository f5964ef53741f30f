# SPDX-License-Identifier: BSD-3-Clause
"""Typed messages between routers."""

from enum import IntEnum

import msgspec

from turnward.claims.pairs import HeldClaim, HoldResult, ShardRow

__all__ = [
    "ConfigRequest",
    "ConfigDelta",
    "ConfigEntry",
    "HandOver",
    "HandOverAck",
    "Heartbeat",
    "HeartbeatAck",
    "HoldClaim",
    "HoldClaimAck",
    "Message",
    "MoveShard",
    "PutRecords",
    "RecordState",
    "RecordsAck",
    "ReleaseHeldClaim",
    "RunRecord",
    "StatusRequest",
    "StatusReply",
    "stored_record_key",
    "stored_records_prefix",
]


class RecordState(IntEnum):
    """How far a run has come, as its record tells."""

    OPEN = 0
    CLOSED = 1
    BILLED = 2


class RunRecord(msgspec.Struct, frozen=True):
    """What a buddy needs to settle a run whose router is gone.

    Attributes
    ----------
    reserved_tokens : int
        Upper bound of what the run can use.
    used_tokens : int
        What it used; valid once ``state`` is CLOSED.
    """

    request_id: str
    run_id: str
    workspace: str
    budget: str
    endpoint: str
    fingerprint: str
    reserved_tokens: int
    used_tokens: int = 0
    state: RecordState = RecordState.OPEN
    repeatable: bool = True


def stored_records_prefix(incarnation: str) -> str:
    """Return the prefix of records that an incarnation keeps in the table."""
    return f"record/{incarnation}/"


def stored_record_key(incarnation: str, run_id: str) -> str:
    """Return the key of a record kept in the table, where no buddy could hold it."""
    return f"{stored_records_prefix(incarnation)}{run_id}"


class ConfigEntry(msgspec.Struct, frozen=True):
    """One entry of the configuration log, as JSON."""

    revision: int
    body: bytes


class Heartbeat(msgspec.Struct, frozen=True):
    """The sender lives and has ``revision`` in force."""

    revision: int


class HeartbeatAck(msgspec.Struct, frozen=True):
    """Answer to a heartbeat, with the answerer's revision."""

    revision: int


class PutRecords(msgspec.Struct, frozen=True):
    """New or changed run records of the sender, and run ids of records to drop."""

    records: tuple[RunRecord, ...]
    dropped: tuple[str, ...] = ()


class RecordsAck(msgspec.Struct, frozen=True):
    """The records are held; ``accepted`` is False once the sender is fenced."""

    accepted: bool


class HandOver(msgspec.Struct, frozen=True):
    """Stop accepting records of ``fenced`` and send those held by ``holder``.

    The process asked may have been fenced itself since it held them, so the
    incarnation that held them is named.
    """

    fenced: str
    holder: str


class HandOverAck(msgspec.Struct, frozen=True):
    """The records held of a fenced incarnation.

    Attributes
    ----------
    was_holder : bool
        False when this process never was the holder that was asked for, so
        that what the holder held is lost.
    """

    records: tuple[RunRecord, ...]
    was_holder: bool


class ConfigRequest(msgspec.Struct, frozen=True):
    """Send the configuration entries past ``after``."""

    after: int


class ConfigDelta(msgspec.Struct, frozen=True):
    """Configuration entries in order."""

    entries: tuple[ConfigEntry, ...]


class StatusRequest(msgspec.Struct, frozen=True):
    """Send your state for operators."""

    kind: str


class StatusReply(msgspec.Struct, frozen=True):
    """State for operators, as JSON."""

    body: bytes


class HoldClaim(msgspec.Struct, frozen=True):
    """Record a claim of a shard at an epoch."""

    shard: int
    epoch: int
    claim: HeldClaim


class HoldClaimAck(msgspec.Struct, frozen=True):
    """A holder's answer to a claim."""

    answer: HoldResult


class ReleaseHeldClaim(msgspec.Struct, frozen=True):
    """Forget a claim whose call was proved not to have run."""

    shard: int
    epoch: int
    key: str
    token: str


class MoveShard(msgspec.Struct, frozen=True):
    """Begin to hold a shard as its row says, with these claims."""

    row: ShardRow
    claims: tuple[HeldClaim, ...]


Message = (
    Heartbeat
    | HeartbeatAck
    | PutRecords
    | RecordsAck
    | HandOver
    | HandOverAck
    | ConfigRequest
    | ConfigDelta
    | StatusRequest
    | StatusReply
    | HoldClaim
    | HoldClaimAck
    | ReleaseHeldClaim
    | MoveShard
)
