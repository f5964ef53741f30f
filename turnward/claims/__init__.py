# SPDX-License-Identifier: BSD-3-Clause
"""Claims: calls that may not be repeated run at most once."""

from turnward.claims.pairs import (
    CLAIM_SHARDS,
    ClaimHolder,
    HeldClaim,
    HoldAnswer,
    HoldOutcome,
    ShardRow,
    shard_key,
    shard_of,
)
from turnward.claims.register import ClaimAnswer, ClaimOutcome, ClaimRegister
from turnward.claims.rows import ClaimRow, ClaimState, StoredAnswer, claim_key

__all__ = [
    "CLAIM_SHARDS",
    "ClaimAnswer",
    "ClaimHolder",
    "ClaimOutcome",
    "ClaimRegister",
    "ClaimRow",
    "ClaimState",
    "HeldClaim",
    "HoldAnswer",
    "HoldOutcome",
    "ShardRow",
    "StoredAnswer",
    "claim_key",
    "shard_key",
    "shard_of",
]
