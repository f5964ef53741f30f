# SPDX-License-Identifier: BSD-3-Clause
"""Rendezvous hashing.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
"""

import hashlib

__all__ = ["rendezvous_weight"]


def rendezvous_weight(key: str, node: str) -> int:
    """Return the weight of ``node`` for ``key``; the highest wins."""
    digest = hashlib.blake2b(f"{key}|{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
