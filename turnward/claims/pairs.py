# SPDX-License-Identifier: BSD-3-Clause
"""Claims held by two routers, so that calls can be sent during a store outage.

Request ids are hashed to shards. For each shard, the store names an epoch and two
holders. A call is sent only after both holders have recorded its claim at the same
epoch and, if the sender reaches the store, the store has recorded it as well. A
holder rejects claims of any epoch but its own. When the holders change, one of them
stays: it stops serving, writes the next epoch, hands its claims to the new holder,
and resumes. The protocol does not depend on clocks.
"""

from enum import StrEnum
from hashlib import blake2b

import msgspec

__all__ = [
    "CLAIM_SHARDS",
    "ClaimHolder",
    "HeldClaim",
    "HoldResult",
    "HoldOutcome",
    "ShardRow",
    "shard_key",
    "shard_of",
]

CLAIM_SHARDS = 16
_SHARDS_PREFIX = "claim-shard/"


class ShardRow(msgspec.Struct, frozen=True):
    """The holders of a shard's claims.

    Attributes
    ----------
    epoch : int
        Increases with each change of holders.
    holders : tuple of str
        Two incarnations; the first has the claims and hands them over to the second.
    from_table : bool
        Whether the first holder starts from the claims in the store, because
        no holder of the previous epoch remains.
    unknown_before_s : float
        Claims of request ids created before this time may be lost, in seconds
        since 1970.
    """

    shard: int
    epoch: int
    holders: tuple[str, str]
    from_table: bool = False
    unknown_before_s: float = 0.0


class HeldClaim(msgspec.Struct, frozen=True):
    """A claim as recorded by its holders.

    Attributes
    ----------
    key : str
        Key of the claim's row.
    token : str
        Unique value that distinguishes this claim from others with the same key.
    fingerprint : str
        Digest of the request.
    incarnation : str
        Router that took the claim; empty if unknown.
    """

    key: str
    token: str
    fingerprint: str
    incarnation: str = ""


class HoldOutcome(StrEnum):
    """Outcome of asking a holder to record a claim.

    STANDING means that another claim of the same key exists, STALE that the
    holder does not serve the claim's epoch or that the claim was released.
    """

    HELD = "held"
    STANDING = "standing"
    STALE = "stale"


class HoldResult(msgspec.Struct, frozen=True):
    """A holder's response to a claim.

    Attributes
    ----------
    standing : HeldClaim or None
        With STANDING, the existing claim of the same key.
    row : ShardRow or None
        With STALE, the row that the holder knows, so that a sender that cannot
        reach the store learns of a change of holders.
    """

    outcome: HoldOutcome
    standing: HeldClaim | None = None
    row: ShardRow | None = None


class _HeldShard:
    __slots__ = ("claims", "epoch", "released", "row", "serving")

    def __init__(self):
        self.epoch = 0
        self.row: ShardRow | None = None
        self.serving = False
        self.claims: dict[str, HeldClaim] = {}
        #: Tokens released in this epoch; a delayed claim with such a token is rejected.
        self.released: set[str] = set()


class ClaimHolder:
    """The shards that one process holds; performs no input or output."""

    def __init__(self):
        self._shards: dict[int, _HeldShard] = {}

    def hold(self, shard: int, epoch: int, claim: HeldClaim) -> HoldResult:
        """Record a claim, or return the reason for rejecting it."""
        held_shard = self._shards.get(shard)
        if held_shard is None:
            return HoldResult(HoldOutcome.STALE)
        if not held_shard.serving or held_shard.epoch != epoch:
            return HoldResult(HoldOutcome.STALE, row=held_shard.row)
        if claim.token in held_shard.released:
            return HoldResult(HoldOutcome.STALE, row=held_shard.row)
        existing = held_shard.claims.setdefault(claim.key, claim)
        if existing.token != claim.token:
            return HoldResult(HoldOutcome.STANDING, existing)
        return HoldResult(HoldOutcome.HELD)

    def release(self, shard: int, epoch: int, key: str, token: str) -> bool:
        """Remove a claim whose call is known not to have run; False if the caller must retry.

        The epoch must be the one being served. During a change of holders the
        claims are in transit, so a removal here would not reach the next holder.
        """
        if not self.serves(shard, epoch):
            return False
        held_shard = self._shards[shard]
        held_shard.released.add(token)
        if key in held_shard.claims and held_shard.claims[key].token == token:
            del held_shard.claims[key]
        return True

    def freeze(self, shard: int) -> tuple[HeldClaim, ...]:
        """Stop serving the current epoch and return the claims to hand over."""
        held_shard = self._shards[shard]
        held_shard.serving = False
        return tuple(held_shard.claims.values())

    def install(self, row: ShardRow, claims: tuple[HeldClaim, ...]) -> bool:
        """Serve a row's epoch with the claims handed over; False if it is not being served."""
        held_shard = self._shards.setdefault(row.shard, _HeldShard())
        if row.epoch < held_shard.epoch:
            return False
        if row.epoch > held_shard.epoch:
            held_shard.claims.update({claim.key: claim for claim in claims})
            held_shard.released.clear()
            held_shard.epoch = row.epoch
            held_shard.row = row
            held_shard.serving = True
        return held_shard.serving

    def has_state(self, shard: int, epoch: int) -> bool:
        """Return whether this process holds the shard's claims of an epoch."""
        held_shard = self._shards.get(shard)
        return held_shard is not None and held_shard.epoch == epoch

    def serves(self, shard: int, epoch: int) -> bool:
        """Return whether this process accepts claims at an epoch."""
        return self.has_state(shard, epoch) and self._shards[shard].serving

    def count(self) -> int:
        """Return the number of held claims."""
        return sum(len(held_shard.claims) for held_shard in self._shards.values())


def shard_of(key: str) -> int:
    """Return the shard that a claim's key belongs to."""
    return int.from_bytes(blake2b(key.encode(), digest_size=4).digest(), "big") % CLAIM_SHARDS


def shard_key(shard: int) -> str:
    """Return the key of a shard's row."""
    return f"{_SHARDS_PREFIX}{shard:02d}"
