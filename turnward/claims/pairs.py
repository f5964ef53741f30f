# SPDX-License-Identifier: BSD-3-Clause
"""Claims held by two routers, so that a store outage need not stop calls.

The ids fall into shards. The table names for each shard an epoch and two holders.
A call is sent only after both holders recorded its claim at the same epoch and,
where the sender reaches the store, the table did too. A holder refuses every epoch
but its own. A change of holders keeps one: it stops, writes the next epoch, hands
its claims to the new holder, and goes on. No clock takes part.
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
    """Who holds a shard's claims.

    Attributes
    ----------
    epoch : int
        Rises with each change of holders.
    holders : tuple of str
        Two incarnations; the first has the claims and hands them to the second.
    from_table : bool
        The first holder starts from the claims in the table, since no holder
        of the epoch before is left.
    unknown_before_s : float
        Claims of ids minted before may be lost (seconds since 1970).
    """

    shard: int
    epoch: int
    holders: tuple[str, str]
    from_table: bool = False
    unknown_before_s: float = 0.0


class HeldClaim(msgspec.Struct, frozen=True):
    """A claim as holders keep it.

    Attributes
    ----------
    key : str
        Key of the claim's row.
    incarnation : str
        The router that took it; empty when that is not known.
    """

    key: str
    token: str
    fingerprint: str
    incarnation: str = ""


class HoldOutcome(StrEnum):
    """What a holder says to a claim."""

    HELD = "held"
    STANDING = "standing"
    STALE = "stale"


class HoldResult(msgspec.Struct, frozen=True):
    """A holder's answer.

    Attributes
    ----------
    standing : HeldClaim or None
        The claim that was there before.
    row : ShardRow or None
        With STALE, the row that the holder knows, so that a sender cut off
        from the table learns of a change of holders.
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
        #: Tokens released in this epoch: a claim that was held up on its way may come later.
        self.released: set[str] = set()


class ClaimHolder:
    """The shards that one process holds: pure decisions."""

    def __init__(self):
        self._shards: dict[int, _HeldShard] = {}

    def hold(self, shard: int, epoch: int, claim: HeldClaim) -> HoldResult:
        """Record a claim, or say why not."""
        held = self._shards.get(shard)
        if held is None:
            return HoldResult(HoldOutcome.STALE)
        if not held.serving or held.epoch != epoch:
            return HoldResult(HoldOutcome.STALE, row=held.row)
        if claim.token in held.released:
            return HoldResult(HoldOutcome.STALE, row=held.row)
        standing = held.claims.setdefault(claim.key, claim)
        if standing.token != claim.token:
            return HoldResult(HoldOutcome.STANDING, standing)
        return HoldResult(HoldOutcome.HELD)

    def release(self, shard: int, epoch: int, key: str, token: str) -> bool:
        """Forget a claim whose call was proved not to have run; False: ask again later.

        Like ``hold``, it needs the epoch that is served: during a change the
        claims are on their way to the next holder, where this one would stay.
        """
        if not self.serves(shard, epoch):
            return False
        held = self._shards[shard]
        held.released.add(token)
        if key in held.claims and held.claims[key].token == token:
            del held.claims[key]
        return True

    def freeze(self, shard: int) -> tuple[HeldClaim, ...]:
        """Acknowledge nothing more at this epoch; return the claims to hand over."""
        held = self._shards[shard]
        held.serving = False
        return tuple(held.claims.values())

    def install(self, row: ShardRow, claims: tuple[HeldClaim, ...]) -> bool:
        """Begin to serve a row's epoch with the claims handed over; False when it is past."""
        held = self._shards.setdefault(row.shard, _HeldShard())
        if row.epoch < held.epoch:
            return False
        if row.epoch > held.epoch:
            held.claims.update({claim.key: claim for claim in claims})
            held.released.clear()
            held.epoch = row.epoch
            held.row = row
            held.serving = True
        return held.serving

    def has_state(self, shard: int, epoch: int) -> bool:
        """Tell whether this process holds the shard's claims of an epoch."""
        held = self._shards.get(shard)
        return held is not None and held.epoch == epoch

    def serves(self, shard: int, epoch: int) -> bool:
        """Tell whether this process acknowledges claims at an epoch."""
        return self.has_state(shard, epoch) and self._shards[shard].serving

    def count(self) -> int:
        """Return how many claims are held."""
        return sum(len(held.claims) for held in self._shards.values())


def shard_of(key: str) -> int:
    """Return the shard of a claim's key."""
    return int.from_bytes(blake2b(key.encode(), digest_size=4).digest(), "big") % CLAIM_SHARDS


def shard_key(shard: int) -> str:
    """Return the key of a shard's row."""
    return f"{_SHARDS_PREFIX}{shard:02d}"
