# SPDX-License-Identifier: BSD-3-Clause
"""Which software version wrote a stream, and whether its pool has others, without I/O."""

from turnward.software_versions.open_streams import OpenStreams
from turnward.software_versions.pool_versions import (
    UNKNOWN_VERSION,
    UNNAMED_VERSION,
    PoolVersions,
    may_be_same_version,
)
from turnward.software_versions.stream_versions import (
    StreamKey,
    StreamVersions,
    UntoldStreams,
    key_draw,
    stream_key,
)

__all__ = [
    "UNKNOWN_VERSION",
    "UNNAMED_VERSION",
    "OpenStreams",
    "PoolVersions",
    "StreamKey",
    "StreamVersions",
    "UntoldStreams",
    "key_draw",
    "may_be_same_version",
    "stream_key",
]
