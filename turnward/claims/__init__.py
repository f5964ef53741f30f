# SPDX-License-Identifier: BSD-3-Clause
"""Claims, which let calls that must not be repeated run at most once."""

from turnward.claims.pairs import (
    CLAIM_SHARDS,
    ClaimHolder,
    HeldClaim,
    HoldOutcome,
    HoldResult,
    ShardRow,
    shard_key,
    shard_of,
)
from turnward.claims.register import ClaimOutcome, ClaimRegister, ClaimResult
from turnward.claims.rows import ClaimRow, ClaimState, StoredAnswer, claim_key

__all__ = [
    "CLAIM_SHARDS",
    "ClaimResult",
    "ClaimHolder",
    "ClaimOutcome",
    "ClaimRegister",
    "ClaimRow",
    "ClaimState",
    "HeldClaim",
    "HoldResult",
    "HoldOutcome",
    "ShardRow",
    "StoredAnswer",
    "claim_key",
    "shard_key",
    "shard_of",
]
