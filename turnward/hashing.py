# SPDX-License-Identifier: BSD-3-Clause
"""Rendezvous hashing, and fingerprints of requests' content.

References
----------
Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
"""

import hashlib

__all__ = ["fingerprint", "rendezvous_weight"]


def fingerprint(*parts: bytes) -> str:
    """Return a digest that identifies the content of a request."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()[:32]


def rendezvous_weight(key: str, node: str) -> int:
    """Return the weight of ``node`` for ``key``; the node with the highest weight is chosen."""
    digest = hashlib.blake2b(f"{key}|{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
