# SPDX-License-Identifier: BSD-3-Clause
"""Claims: calls that may not be repeated run at most once."""

from turnward.claims.register import ClaimAnswer, ClaimOutcome, ClaimRegister
from turnward.claims.rows import ClaimRow, ClaimState, StoredAnswer, claim_key

__all__ = [
    "ClaimAnswer",
    "ClaimOutcome",
    "ClaimRegister",
    "ClaimRow",
    "ClaimState",
    "StoredAnswer",
    "claim_key",
]
