# SPDX-License-Identifier: BSD-3-Clause
"""The peers known to a router, and the latest digest received from each."""

from collections.abc import Callable, Iterable

import msgspec

from turnward.gateway.account_updates import AccountUpdate
from turnward.gateway.feedback_exchange import FeedbackUpdate
from turnward.gateway.loans import LoanOffer
from turnward.gateway.rate_limit import RateLimitUpdate
from turnward.gateway.restart_suspicions import RestartSuspicion
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

#: Time after which the load of a silent peer no longer counts.
_LOAD_LIFETIME_S = 1.0
#: Time after which a silent peer no longer counts as live.
_PEER_LIFETIME_S = 2.5
#: Layout version of the messages between routers; incremented at each change other than appending
#: fields.
DIGEST_LAYOUT = 6
#: Oldest supported layout. Later ones only append fields, which older readers ignore and for which
#: newer readers use defaults.
OLDEST_DIGEST_LAYOUT = 4


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight from one router at an endpoint, and the speed of their streams.

    Attributes
    ----------
    endpoint : str
        Incarnation of the endpoint; load does not carry over to its next start.
    quiet_gap_ms : float
        Time between two events of a stream while no prompt is processed; 0 if not known.
    held_up_gap_ms : float
        Time between two events of a stream that a prompt being processed delays; 0 if not known.
    gap_weight_centi : int
        Weight of the undisturbed gaps in ``log_gap_sum_centi``, in hundredths; 0 if none is known.
    log_gap_sum_centi : int
        Weighted sum of the logarithms of undisturbed gaps in milliseconds, in hundredths.
    """

    endpoint: str
    requests: int
    prefill_tokens: int
    quiet_gap_ms: float = 0.0
    held_up_gap_ms: float = 0.0
    gap_weight_centi: int = 0
    log_gap_sum_centi: int = 0

    def add(self, other: "EndpointLoad") -> "EndpointLoad":
        """Return the sum of two loads, with the longer of their times between events.

        Examples
        --------
        >>> both = EndpointLoad("e", 1, 10, 20.0).add(EndpointLoad("e", 2, 5, 30.0))
        >>> both.requests, both.prefill_tokens, both.quiet_gap_ms
        (3, 15, 30.0)
        """
        return EndpointLoad(
            self.endpoint,
            self.requests + other.requests,
            self.prefill_tokens + other.prefill_tokens,
            max(self.quiet_gap_ms, other.quiet_gap_ms),
            max(self.held_up_gap_ms, other.held_up_gap_ms),
            self.gap_weight_centi + other.gap_weight_centi,
            self.log_gap_sum_centi + other.log_gap_sum_centi,
        )

    def subtract(self, other: "EndpointLoad") -> "EndpointLoad":
        """Return a sum of loads minus one of its terms.

        Requests and tokens are never below 0. Sums of gaps may be, if the term is newer than the
        one in the sum; added to the newer term, they are the newest sum again.

        Examples
        --------
        >>> remaining = EndpointLoad("e", 3, 10).subtract(EndpointLoad("e", 1, 15))
        >>> remaining.requests, remaining.prefill_tokens
        (2, 0)
        """
        return msgspec.structs.replace(
            self,
            requests=max(0, self.requests - other.requests),
            prefill_tokens=max(0, self.prefill_tokens - other.prefill_tokens),
            gap_weight_centi=self.gap_weight_centi - other.gap_weight_centi,
            log_gap_sum_centi=self.log_gap_sum_centi - other.log_gap_sum_centi,
        )


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """Message in which a router announces its own state to peers.

    Attributes
    ----------
    endpoints_version, endpoints_era : int
        Number and era of the store's version as of which the router knows the endpoints. Versions
        of this software without eras send era 0, which is older than any other.
    confirmed_age_s : float
        Time since the store confirmed the configuration as the newest; negative if it never did.
    short : bool
        Whether the router may soon need to borrow tokens; its peers then announce loan offers.
    spare : tuple of LoanOffer
        Tokens that the router can lend; announced only while some router is ``short``.
    link_mbit_per_s : float
        Bandwidth of the machine's network link; 0 if not configured.
    zone_orders : tuple of ZoneOrder or None
        Zones that operators want drained; None if not known.
    quarantine : QuarantineUpdate
        Runs known to have ended in a crash of their endpoint.
    words : tuple of FeedbackUpdate
        Feedback of endpoints, such as draining or backoff, received lately.
    limits : tuple of RateLimitUpdate
        Rate limits that endpoints announced lately.
    accounts : tuple of AccountUpdate
        Contents of the rows of workspaces' tokens that the router has written lately.
    unreached : tuple of str or None
        Pools of which the router can reach no endpoint; None from versions of this software that
        run no relayed requests.
    keeps_versions : bool
        Whether the router resumes streams at the software version that began them.
    restarted : tuple of RestartSuspicion
        Endpoints of pools with several software versions that may have restarted.
    begun_parts, lost_parts : QuarantineUpdate
        The same as ``quarantine``, for prompt parts: of runs whose response had begun, and of all.
    delay_ms : int
        By how much the router's event loop is late; 0 from versions that do not tell.
    knows_quarantined : bool
        Whether the router knows everything that was quarantined before its start.
    knows_recovery : bool
        Whether it knows if the store was rolled back shortly before its start.
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
    limits: tuple[RateLimitUpdate, ...] = ()
    endpoints_era: int = 0
    accounts: tuple[AccountUpdate, ...] = ()
    unreached: tuple[str, ...] | None = None
    keeps_versions: bool = False
    restarted: tuple[RestartSuspicion, ...] = ()
    begun_parts: QuarantineUpdate = EMPTY_QUARANTINE_UPDATE
    lost_parts: QuarantineUpdate = EMPTY_QUARANTINE_UPDATE
    delay_ms: int = 0
    knows_quarantined: bool = False
    knows_recovery: bool = False

    @property
    def endpoints_as_of(self) -> RowVersion:
        """Version of the store as of which the endpoints are known."""
        return RowVersion.of(self.endpoints_era, self.endpoints_version)


class Peer:
    """A peer, and the latest digest received from it.

    Attributes
    ----------
    takes_relays : bool
        Whether it runs requests that are relayed to it, by its digest or else by its row.
    keeps_versions : bool
        Whether it resumes streams at the software version that began them, likewise.
    tells_paths : bool
        Whether it answers which pools it reaches, by its row.
    """

    __slots__ = (
        "address",
        "digest",
        "is_member",
        "is_replaced",
        "keeps_versions",
        "link_mbit_per_s",
        "node",
        "received_s",
        "takes_relays",
        "tells_paths",
        "zone",
    )

    def __init__(self, address: str):
        self.address = address
        self.node = ""
        self.is_replaced = False
        self.digest: Digest | None = None
        self.received_s: float | None = None
        self.is_member = False
        self.zone = ""
        self.link_mbit_per_s = 0.0
        self.takes_relays = False
        self.keeps_versions = False
        self.tells_paths = False


class PeerBook:
    """Registry of the known peers, by address.

    A peer is a member once the members' table lists it or a digest of it has been received; the
    address of a mere seed may be stale. A silent member remains one, so a lost digest cannot reduce
    their number and thereby raise each router's share of a limit. It is removed only if the
    members' table lists its node at a new address.

    Parameters
    ----------
    own_address : str
        Address of this router, which is never listed.
    clock : callable
        Steady clock in seconds.

    Attributes
    ----------
    membership_version : int
        Incremented when a member is added or removed or the bandwidth of its link changes.
    last_member_change_s : float
        Time at which a member was last added or removed.
    members_read : bool
        Whether the members' table has been read.
    """

    def __init__(self, own_address: str, clock: Callable[[], float]):
        self.own_address = own_address
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        #: Address of each node in the members' table, and the one listed before it.
        self._listed: dict[str, str] = {}
        self._listed_before: dict[str, str] = {}
        self._member_count = 0
        self.membership_version = 0
        self.last_member_change_s = clock()
        self.members_read = False
        #: Called when a member is added.
        self.on_member_added: Callable[[], None] = lambda: None

    def add(self, address: str) -> None:
        """Add an address at which a peer may listen."""
        if address != self.own_address and address not in self._peers:
            self._peers[address] = Peer(address)

    def add_member(
        self, address: str, zone: str, link_mbit_per_s: float = 0.0, node: str = ""
    ) -> None:
        """Add or update a peer from the members' table or from a digest."""
        self.add(address)
        peer = self._peers.get(address)
        if peer is None:
            return
        peer.zone = zone
        if peer.node != node:
            peer.node = node
            peer.is_replaced = False
        if peer.link_mbit_per_s != link_mbit_per_s:
            peer.link_mbit_per_s = link_mbit_per_s
            self.membership_version += 1
        if not peer.is_member:
            peer.is_member = True
            self._member_count += 1
            self._membership_changed()
            self.on_member_added()

    def list_member(
        self,
        node: str,
        address: str,
        zone: str,
        link_mbit_per_s: float = 0.0,
        takes_relays: bool = False,
        keeps_versions: bool = False,
        tells_paths: bool = False,
    ) -> None:
        """Add or update a peer from its row in the members' table.

        If the row names a new address, a new process of the node runs there, and its peers at other
        addresses have been replaced. A store restored from an older copy may list the address
        before the present one, which replaces nothing.
        """
        self.add_member(address, zone, link_mbit_per_s, node)
        peer = self._peers.get(address)
        if peer is not None:
            peer.tells_paths = tells_paths
        if peer is not None and peer.digest is None:
            peer.takes_relays = takes_relays
            peer.keeps_versions = keeps_versions
        listed = self._listed.get(node)
        if address in (listed, self._listed_before.get(node)):
            return
        self._listed[node] = address
        if listed is not None:
            self._listed_before[node] = listed
        for peer in self._peers.values():
            if peer.node == node:
                peer.is_replaced = peer.address != address

    def remove_replaced(self) -> list[str]:
        """Remove the replaced peers that have become silent; return their addresses."""
        since_s = self._clock() - _PEER_LIFETIME_S
        removed = [
            peer.address
            for peer in self._peers.values()
            if peer.is_replaced and (peer.received_s is None or peer.received_s < since_s)
        ]
        for address in removed:
            if self._peers.pop(address).is_member:
                self._member_count -= 1
                self._membership_changed()
        return removed

    def _membership_changed(self) -> None:
        self.membership_version += 1
        self.last_member_change_s = self._clock()

    def receive(self, digest: Digest) -> Peer | None:
        """Record a digest; return its sender, None if that is this router."""
        if digest.address == self.own_address:
            return None
        self.add_member(digest.address, digest.zone, digest.link_mbit_per_s, digest.node)
        peer = self._peers[digest.address]
        peer.digest = digest
        peer.received_s = self._clock()
        peer.takes_relays = digest.unreached is not None
        peer.keeps_versions = digest.keeps_versions
        return peer

    def knows(self, address: str) -> bool:
        """Return whether a peer may listen at an address."""
        return address in self._peers

    def get(self, address: str) -> Peer | None:
        """Return the peer at an address."""
        return self._peers.get(address)

    @property
    def addresses(self) -> list[str]:
        """Addresses of all known peers."""
        return list(self._peers)

    @property
    def members(self) -> list[Peer]:
        """The peers that are members."""
        return [peer for peer in self._peers.values() if peer.is_member]

    @property
    def max_router_count(self) -> int:
        """Upper bound of the number of live routers, including this one."""
        return 1 + self._member_count

    @property
    def known_router_count(self) -> int | None:
        """The same; None until the members' table has been read, as it may list many more."""
        return self.max_router_count if self.members_read else None

    @property
    def live_count(self) -> int:
        """Number of peers from which a digest was received lately."""
        return len(self.live())

    def live(self) -> list[Peer]:
        """Return the peers from which a digest was received lately."""
        since_s = self._clock() - _PEER_LIFETIME_S
        return [peer for peer in self._peers.values() if (peer.received_s or -1e9) >= since_s]

    def loads(self) -> dict[str, EndpointLoad]:
        """Return the sum of the loads of all peers, by endpoint."""
        since_s = self._clock() - _LOAD_LIFETIME_S
        recent_loads = [
            peer.digest.loads
            for peer in self._peers.values()
            if peer.digest is not None and peer.received_s >= since_s
        ]
        return {load.endpoint: load for load in sum_loads(recent_loads)}


def sum_loads(loads_by_router: Iterable[Iterable[EndpointLoad]]) -> tuple[EndpointLoad, ...]:
    """Return the sum of the loads of several routers, by endpoint.

    Examples
    --------
    >>> first, second = EndpointLoad("e", 1, 10), EndpointLoad("e", 2, 5)
    >>> [load.requests for load in sum_loads([[first], [second]])]
    [3]
    """
    totals: dict[str, EndpointLoad] = {}
    for loads in loads_by_router:
        for load in loads:
            total = totals.get(load.endpoint)
            totals[load.endpoint] = load if total is None else total.add(load)
    return tuple(totals.values())
