# SPDX-License-Identifier: BSD-3-Clause
"""Ids of requests, and hashes of keys.

References
----------
RFC 9562 (UUIDv7); draft-ietf-httpapi-idempotency-key-header.
"""

import hashlib
import uuid

import uuid6

__all__ = ["creation_time_s", "key_hash", "new_id"]

_UUID7 = 7


def new_id() -> str:
    """Return a new UUIDv7 as text."""
    return str(uuid6.uuid7())


def creation_time_s(request_id: str) -> float | None:
    """Return when an id was created, in seconds since 1970, or None if it is not a UUIDv7.

    Examples
    --------
    >>> creation_time_s("not an id") is None
    True
    >>> creation_time_s("0190163d-8694-739b-aea5-966c26f8ad91")
    1718360049.3
    """
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    if parsed.version != _UUID7:
        return None
    return (parsed.int >> 80) / 1000


def key_hash(key: str) -> str:
    """Return the SHA-256 of a bearer key in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()
