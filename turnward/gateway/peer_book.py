# SPDX-License-Identifier: BSD-3-Clause
"""What one router knows of the others: who they are, and what they last told."""

from collections.abc import Callable, Iterable

import msgspec

from turnward.gateway.account_updates import AccountUpdate
from turnward.gateway.feedback_exchange import FeedbackUpdate
from turnward.gateway.loans import LoanOffer
from turnward.gateway.rate_limit import ToldLimit
from turnward.gateway.zone_orders import ZoneOrder
from turnward.quarantine import EMPTY_QUARANTINE_UPDATE, QuarantineUpdate
from turnward.rows import RowVersion

__all__ = [
    "DIGEST_LAYOUT",
    "OLDEST_DIGEST_LAYOUT",
    "Digest",
    "EndpointLoad",
    "Peer",
    "PeerBook",
    "sum_loads",
]

#: Seconds after which a silent peer's load no longer counts.
_LOAD_LIFE_S = 1.0
#: Seconds after which a silent peer is no longer taken for live.
_LIFE_S = 2.5
#: Version of the layout of what routers tell each other; it rises with a change that is more than
#: further fields at the end.
DIGEST_LAYOUT = 6
#: Oldest layout that is read, and spoken to routers that know no later one: since then fields were
#: only added at the end, which an older reader passes over and a newer one gives their defaults.
OLDEST_DIGEST_LAYOUT = 4


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one router has in flight at an endpoint, and how fast its streams go on there.

    Attributes
    ----------
    endpoint : str
        The incarnation: load at an earlier start of an endpoint is none at the next.
    quiet_gap_ms : float
        Between two events of a stream when nothing holds them up; 0: not known.
    held_up_gap_ms : float
        Between two events that a prompt holds up which is read there; 0: not known.
    """

    endpoint: str
    requests: int
    prefill_tokens: int
    quiet_gap_ms: float = 0.0
    held_up_gap_ms: float = 0.0

    def with_another(self, other: "EndpointLoad") -> "EndpointLoad":
        """Return the sum of two routers' loads; the longer of their times between events.

        Examples
        --------
        >>> both = EndpointLoad("e", 1, 10, 20.0).with_another(EndpointLoad("e", 2, 5, 30.0))
        >>> both.requests, both.prefill_tokens, both.quiet_gap_ms
        (3, 15, 30.0)
        """
        return EndpointLoad(
            self.endpoint,
            self.requests + other.requests,
            self.prefill_tokens + other.prefill_tokens,
            max(self.quiet_gap_ms, other.quiet_gap_ms),
            max(self.held_up_gap_ms, other.held_up_gap_ms),
        )

    def without(self, other: "EndpointLoad") -> "EndpointLoad":
        """Return a sum of loads less one that it holds; never below 0.

        Examples
        --------
        >>> rest = EndpointLoad("e", 3, 10).without(EndpointLoad("e", 1, 15))
        >>> rest.requests, rest.prefill_tokens
        (2, 0)
        """
        return msgspec.structs.replace(
            self,
            requests=max(0, self.requests - other.requests),
            prefill_tokens=max(0, self.prefill_tokens - other.prefill_tokens),
        )


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """What a router tells its peers of itself.

    Attributes
    ----------
    endpoints_version, endpoints_era : int
        Number and era of the store's version that the endpoints are as of, as it knows them; a
        build that knows no eras tells 0, which is older than any that is named.
    confirmed_age_s : float
        How long ago the store said that the configuration is the newest; below
        0 when it never did.
    short : bool
        It may soon want to borrow tokens: peers tell what they can spare.
    spare : tuple of Spare
        What it can lend; told only while some router is short.
    link_mbit_per_s : float
        Width of its machine's link; 0 when its settings do not tell.
    zone_orders : tuple of ZoneOrder or None
        Which zones operators want drained; None when it does not know.
    quarantine : QuarantineUpdate
        Runs that were lost with their endpoints, as far as it knows.
    words : tuple of FeedbackUpdate
        Which endpoints leave or want rest, as it was told lately.
    limits : tuple of ToldLimit
        The rates that endpoints named lately, as far as it knows.
    accounts : tuple of AccountUpdate
        What the rows of workspaces' tokens say that it has written lately.
    """

    layout: int
    node: str
    incarnation: str
    address: str
    zone: str
    configuration_version: int
    endpoints_version: int
    confirmed_age_s: float
    loads: tuple[EndpointLoad, ...] = ()
    stopping: bool = False
    short: bool = False
    spare: tuple[LoanOffer, ...] = ()
    link_mbit_per_s: float = 0.0
    zone_orders: tuple[ZoneOrder, ...] | None = None
    quarantine: QuarantineUpdate = EMPTY_QUARANTINE_UPDATE
    words: tuple[FeedbackUpdate, ...] = ()
    limits: tuple[ToldLimit, ...] = ()
    endpoints_era: int = 0
    accounts: tuple[AccountUpdate, ...] = ()

    @property
    def endpoints_as_of(self) -> RowVersion:
        """The store's version that the endpoints are as of."""
        return RowVersion.of(self.endpoints_era, self.endpoints_version)


class Peer:
    """One peer as last heard."""

    __slots__ = ("address", "digest", "received_s", "link_mbit_per_s", "member", "zone")

    def __init__(self, address: str):
        self.address = address
        self.digest: Digest | None = None
        self.received_s: float | None = None
        self.member = False
        self.zone = ""
        self.link_mbit_per_s = 0.0


class PeerBook:
    """The peers known, by address.

    A peer is a member once the members' table names it or a digest of it came; an address
    that is only a seed may be stale. Members stay members: none is lost to a digest that
    did not come, so what is shared out by their number is never shared among too few.

    Parameters
    ----------
    own_address : str
        Never listed.

    Attributes
    ----------
    membership_version : int
        Rises when a member is added, or told of with another width of its link.
    last_member_added_s : float
        When the last member was added.
    members_read : bool
        Whether the members' table was read.
    """

    def __init__(self, own_address: str, clock: Callable[[], float]):
        self.own_address = own_address
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        self._member_count = 0
        self.membership_version = 0
        self.last_member_added_s = clock()
        self.members_read = False

    def add(self, address: str) -> None:
        """Take in an address at which a peer may listen."""
        if address != self.own_address and address not in self._peers:
            self._peers[address] = Peer(address)

    def add_member(self, address: str, zone: str, link_mbit_per_s: float = 0.0) -> None:
        """Take in a peer that the members' table names, or that was heard."""
        self.add(address)
        peer = self._peers.get(address)
        if peer is None:
            return
        peer.zone = zone
        if peer.link_mbit_per_s != link_mbit_per_s:
            peer.link_mbit_per_s = link_mbit_per_s
            self.membership_version += 1
        if not peer.member:
            peer.member = True
            self._member_count += 1
            self.membership_version += 1
            self.last_member_added_s = self._clock()

    def hear(self, digest: Digest) -> Peer | None:
        """Take in a digest; return its sender unless that is this router."""
        if digest.address == self.own_address:
            return None
        self.add_member(digest.address, digest.zone, digest.link_mbit_per_s)
        peer = self._peers[digest.address]
        peer.digest = digest
        peer.received_s = self._clock()
        return peer

    def knows(self, address: str) -> bool:
        """Tell whether a peer may listen at an address."""
        return address in self._peers

    def get(self, address: str) -> Peer | None:
        """Return the peer at an address."""
        return self._peers.get(address)

    @property
    def addresses(self) -> list[str]:
        """Addresses of all peers known."""
        return list(self._peers)

    @property
    def members(self) -> list[Peer]:
        """Return the peers that are members."""
        return [peer for peer in self._peers.values() if peer.member]

    @property
    def max_router_count(self) -> int:
        """The most routers that may live, this one among them."""
        return 1 + self._member_count

    @property
    def live_count(self) -> int:
        """Peers heard lately."""
        return len(self.live())

    def live(self) -> list[Peer]:
        """Return the peers heard lately."""
        since_s = self._clock() - _LIFE_S
        return [peer for peer in self._peers.values() if (peer.received_s or -1e9) >= since_s]

    def loads(self) -> dict[str, EndpointLoad]:
        """Return what all peers together have in flight, by endpoint."""
        since_s = self._clock() - _LOAD_LIFE_S
        fresh = [
            peer.digest.loads
            for peer in self._peers.values()
            if peer.digest is not None and peer.received_s >= since_s
        ]
        return {load.endpoint: load for load in sum_loads(fresh)}


def sum_loads(many: Iterable[Iterable[EndpointLoad]]) -> tuple[EndpointLoad, ...]:
    """Return the sums by endpoint of several routers' loads.

    Examples
    --------
    >>> one, two = EndpointLoad("e", 1, 10), EndpointLoad("e", 2, 5)
    >>> [load.requests for load in sum_loads([[one], [two]])]
    [3]
    """
    totals: dict[str, EndpointLoad] = {}
    for loads in many:
        for load in loads:
            before = totals.get(load.endpoint)
            totals[load.endpoint] = load if before is None else before.with_another(load)
    return tuple(totals.values())
