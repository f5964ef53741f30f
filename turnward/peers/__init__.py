# SPDX-License-Identifier: BSD-3-Clause
"""Communication between routers: messages, connections, copies of run records and recovery."""

from turnward.peers.book import RecordBook, RecordOutbox
from turnward.peers.codec import Envelope, WireError, decode, encode
from turnward.peers.errors import PeerError, PeerUnreachableError
from turnward.peers.link import PeerLinks, PeersBase
from turnward.peers.recovery import Recoverer, RecoveryState

__all__ = [
    "Envelope",
    "PeerError",
    "PeerLinks",
    "PeerUnreachableError",
    "PeersBase",
    "RecordBook",
    "RecordOutbox",
    "Recoverer",
    "RecoveryState",
    "WireError",
    "decode",
    "encode",
]
