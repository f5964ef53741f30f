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
    """State of a run according to its record."""

    OPEN = 0
    CLOSED = 1
    BILLED = 2


class RunRecord(msgspec.Struct, frozen=True):
    """What a buddy needs to bill a run after the crash of its router.

    Attributes
    ----------
    reserved_tokens : int
        Upper bound of the tokens that the run can use.
    used_tokens : int
        Tokens used; valid once ``state`` is CLOSED.
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
    """Return the prefix of the records that an incarnation keeps in the store."""
    return f"record/{incarnation}/"


def stored_record_key(incarnation: str, run_id: str) -> str:
    """Return the key of a record kept in the store because no buddy could hold it."""
    return f"{stored_records_prefix(incarnation)}{run_id}"


class ConfigEntry(msgspec.Struct, frozen=True):
    """One entry of the configuration log, as JSON."""

    revision: int
    body: bytes


class Heartbeat(msgspec.Struct, frozen=True):
    """The sender is alive and applies configuration ``revision``."""

    revision: int


class HeartbeatAck(msgspec.Struct, frozen=True):
    """Response to a heartbeat, with the configuration revision of the receiver."""

    revision: int


class PutRecords(msgspec.Struct, frozen=True):
    """New or changed run records of the sender, and run ids of records to remove."""

    records: tuple[RunRecord, ...]
    dropped: tuple[str, ...] = ()


class RecordsAck(msgspec.Struct, frozen=True):
    """Whether a ``PutRecords``, ``ReleaseHeldClaim`` or ``MoveShard`` request was accepted."""

    accepted: bool


class HandOver(msgspec.Struct, frozen=True):
    """Request to stop accepting records of ``fenced`` and return those held by ``holder``.

    The receiving process may have registered as a new incarnation in the meantime,
    so the message names the incarnation that held the records.
    """

    fenced: str
    holder: str


class HandOverAck(msgspec.Struct, frozen=True):
    """The held records of a fenced incarnation.

    Attributes
    ----------
    was_holder : bool
        False if this process never was the named holder, so that the records
        of that holder are lost.
    """

    records: tuple[RunRecord, ...]
    was_holder: bool


class ConfigRequest(msgspec.Struct, frozen=True):
    """Request for the configuration entries after revision ``after``."""

    after: int


class ConfigDelta(msgspec.Struct, frozen=True):
    """Configuration entries in order of revision."""

    entries: tuple[ConfigEntry, ...]


class StatusRequest(msgspec.Struct, frozen=True):
    """Request for the part of a router's state that ``kind`` names."""

    kind: str


class StatusReply(msgspec.Struct, frozen=True):
    """The requested part of a router's state, as JSON."""

    body: bytes


class HoldClaim(msgspec.Struct, frozen=True):
    """Request to record a claim of a shard at an epoch."""

    shard: int
    epoch: int
    claim: HeldClaim


class HoldClaimAck(msgspec.Struct, frozen=True):
    """A holder's response to a claim."""

    answer: HoldResult


class ReleaseHeldClaim(msgspec.Struct, frozen=True):
    """Request to remove a claim whose call is known not to have run."""

    shard: int
    epoch: int
    key: str
    token: str


class MoveShard(msgspec.Struct, frozen=True):
    """Request to serve a shard as its row states, starting with these claims."""

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
