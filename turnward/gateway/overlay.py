# SPDX-License-Identifier: BSD-3-Clause
"""Two-level aggregation overlay, by which routers learn the load of all others.

In a small fleet each router sends its digest to all others. In a larger fleet the members of a zone
form groups of bounded size. Each member sends its digest to two aggregators of its group, which are
chosen by link bandwidth and, among equals, by rendezvous hashing. An aggregator sums up its group,
exchanges summaries with the aggregators of the other groups, and sends the total to its members.
No role is agreed upon: a router is an aggregator for whoever sends it a digest, and a member that
receives nothing from an aggregator for a while turns to the next one of its group.

Summaries cover messages of the last second. No limit is derived from them: the number of routers
that may be live comes from ``PeerBook``, which lost datagrams cannot reduce.
"""

from collections.abc import Callable, Iterable

import msgspec

from turnward.gateway.feedback_exchange import FeedbackUpdate
from turnward.gateway.peer_book import (
    DIGEST_LAYOUT,
    Digest,
    EndpointLoad,
    PeerBook,
    sum_loads,
)
from turnward.gateway.rate_limit import RateLimitUpdate
from turnward.gateway.restart_suspicions import RestartSuspicion
from turnward.gateway.zone_orders import ZoneOrder
from turnward.hashing import rendezvous_weight
from turnward.quarantine import EMPTY_QUARANTINE_UPDATE, QuarantineUpdate
from turnward.rows import RowVersion

__all__ = ["ALL_GROUPS", "MESH_LIMIT", "FleetSummary", "Overlay"]

#: Largest fleet that is a full mesh; a router then sends as many messages as an aggregator.
MESH_LIMIT = 12
#: Balances the members of a group against the number of groups in a fleet of about 250 routers.
_MAX_GROUP_SIZE = 16
#: Aggregators to which a member sends its digest, so that a crash of one loses no data.
_AGGREGATORS_PER_GROUP = 2
#: Most endpoints in a summary, so that it fits a few packets.
_MAX_SUMMED_ENDPOINTS = 128
#: Periods between two totals from one aggregator; members receive them from two.
_PERIODS_PER_TOTAL = 2
#: Time after which a received message no longer counts.
_MESSAGE_LIFETIME_S = 1.0
#: Group number of a summary of all groups.
ALL_GROUPS = -1
#: Time without a message after which an aggregator counts as silent, and for how long it does.
_SILENT_AFTER_S = 1.0
_SILENCE_PENALTY_S = 3.0


class FleetSummary(msgspec.Struct, frozen=True, array_like=True, tag="summary"):
    """Message of an aggregator: the summary of its group, or of all groups.

    Attributes
    ----------
    address : str
        Address of the aggregator.
    group : int
        Number of its group, or ``ALL_GROUPS``.
    routers : int
        Number of routers that are summed up.
    configuration_version, configuration_from : int, str
        Newest configuration among them, and the address of a router that has it; in a total
        for members, the aggregator's own.
    confirmed_age_s : float
        Time since the store confirmed this configuration as the newest; negative if it never did.
    endpoints_version, endpoints_era, endpoints_from : int, int, str
        Newest version of the endpoints among them, and the address of a router that has it; as
        for the configuration.
    zone_orders : tuple of ZoneOrder or None
        Zones that operators want drained; None if the aggregator does not know.
    quarantine : QuarantineUpdate
        Runs that the aggregator knows to have ended in a crash of their endpoint.
    words : tuple of FeedbackUpdate
        Feedback of endpoints, such as draining or backoff, that the aggregator received lately.
    limits : tuple of RateLimitUpdate
        Rate limits of endpoints that the aggregator received lately.
    restarted : tuple of RestartSuspicion
        Endpoints of pools with several software versions that may have restarted.
    begun_parts, lost_parts : QuarantineUpdate
        The same as ``quarantine``, for prompt parts: of runs whose response had begun, and of all.
    knows_quarantined : bool
        Whether the aggregator knows everything that was quarantined before its start.
    knows_recovery : bool
        Whether it knows if the store was rolled back shortly before its start.
    """

    layout: int
    address: str
    group: int
    routers: int
    configuration_version: int
    configuration_from: str
    confirmed_age_s: float
    endpoints_version: int
    endpoints_from: str
    loads: tuple[EndpointLoad, ...] = ()
    zone_orders: tuple[ZoneOrder, ...] | None = None
    quarantine: QuarantineUpdate = EMPTY_QUARANTINE_UPDATE
    words: tuple[FeedbackUpdate, ...] = ()
    limits: tuple[RateLimitUpdate, ...] = ()
    endpoints_era: int = 0
    restarted: tuple[RestartSuspicion, ...] = ()
    begun_parts: QuarantineUpdate = EMPTY_QUARANTINE_UPDATE
    lost_parts: QuarantineUpdate = EMPTY_QUARANTINE_UPDATE
    knows_quarantined: bool = False
    knows_recovery: bool = False

    @property
    def endpoints_as_of(self) -> RowVersion:
        """Version of the store as of which the endpoints are known."""
        return RowVersion.of(self.endpoints_era, self.endpoints_version)


class _GroupCandidate(msgspec.Struct, frozen=True, order=True):
    """A member with the order in which groups are formed: highest bandwidth first.

    Attributes
    ----------
    negated_bandwidth : float
        Bandwidth of the member's link in Mbit/s with a minus sign.
    """

    negated_bandwidth: float
    address: str
    zone: str

    @classmethod
    def from_bandwidth(cls, address: str, zone: str, link_mbit_per_s: float) -> "_GroupCandidate":
        """Return the member with a link of the given bandwidth."""
        return cls(-link_mbit_per_s, address, zone)


class _Groups:
    """The groups of a fleet, each with its members in the order of their rank as aggregators.

    Members with fast links come first and are distributed evenly over the groups, since an
    aggregator reads the whole configuration from the store and sends copies to its members.
    """

    def __init__(self, members: Iterable[_GroupCandidate]):
        by_zone: dict[str, list[_GroupCandidate]] = {}
        for member in sorted(members):
            by_zone.setdefault(member.zone, []).append(member)
        self.groups: list[list[str]] = []
        self._group_of: dict[str, int] = {}
        for zone in sorted(by_zone):
            candidates = by_zone[zone]
            count = -(-len(candidates) // _MAX_GROUP_SIZE)
            for index in range(count):
                self._add(f"{zone}/{index}", candidates[index::count])

    def _add(self, name: str, candidates: list[_GroupCandidate]) -> None:
        number = len(self.groups)

        def rank(member: _GroupCandidate) -> tuple[float, int]:
            return (member.negated_bandwidth, -rendezvous_weight(name, member.address))

        ranked = [member.address for member in sorted(candidates, key=rank)]
        self.groups.append(ranked)
        for address in ranked:
            self._group_of[address] = number

    def group_number(self, address: str) -> int:
        """Return the number of a member's group."""
        return self._group_of[address]


class _ReceivedMessage(msgspec.Struct):
    """A message and the time at which it was received."""

    message: Digest | FleetSummary
    received_s: float


class Overlay:
    """One router's view of the overlay: messages to send and messages received.

    Parameters
    ----------
    book : PeerBook
        The known members.
    zone : str
        This router's zone.
    clock : callable
        Steady clock in seconds.
    link_mbit_per_s : float
        Bandwidth of this router's link; 0 if not known.
    """

    def __init__(
        self,
        book: PeerBook,
        zone: str,
        clock: Callable[[], float],
        link_mbit_per_s: float = 0.0,
    ):
        self._book = book
        self._clock = clock
        self._grouped_version = -1
        self._own_candidate = _GroupCandidate.from_bandwidth(
            book.own_address, zone, link_mbit_per_s
        )
        self._groups = _Groups([self._own_candidate])
        self._member_digests: dict[str, _ReceivedMessage] = {}
        self._group_summaries: dict[str, _ReceivedMessage] = {}
        self._total_summaries: dict[str, _ReceivedMessage] = {}
        self._expected_since_s: dict[str, float] = {}
        self._silent_until_s: dict[str, float] = {}
        #: The latest digest that this router has sent.
        self._own_digest: Digest | None = None
        self._period = 0

    @property
    def mesh(self) -> bool:
        """Whether each router sends its digest to all others."""
        return self._book.max_router_count <= MESH_LIMIT

    @property
    def publishes_updates(self) -> bool:
        """Whether other routers rely on this one for updates."""
        return self.mesh or self._is_aggregator()

    @property
    def receives_updates(self) -> bool:
        """Whether this router has lately received a total from an aggregator.

        If its aggregators have crashed, the router polls the store sooner than the age of its last
        confirmation requires.
        """
        return bool(self._recent_messages(self._total_summaries))

    # Receiving messages.

    def receive_digest(self, digest: Digest) -> None:
        """Record the digest of a member."""
        if not self.mesh:
            self._member_digests[digest.address] = _ReceivedMessage(digest, self._clock())

    def receive_summary(self, summary: FleetSummary) -> None:
        """Record the summary of an aggregator."""
        by_sender = self._total_summaries if summary.group == ALL_GROUPS else self._group_summaries
        by_sender[summary.address] = _ReceivedMessage(summary, self._clock())

    def loads(self) -> dict[str, EndpointLoad]:
        """Return the sum of the known loads of all other routers, by endpoint."""
        if self.mesh:
            return self._book.loads()
        total = self._largest_total()
        if total is None:
            return {}
        loads = {load.endpoint: load for load in total.loads}
        for own in self._own_digest.loads if self._own_digest is not None else ():
            # The total includes this router's own digest.
            total_load = loads.get(own.endpoint)
            if total_load is not None:
                loads[own.endpoint] = total_load.subtract(own)
        return loads

    @property
    def live_routers(self) -> int:
        """Number of routers known to be live, directly or through an aggregator."""
        if self.mesh:
            return self._book.live_count + 1
        total = self._largest_total()
        return total.routers if total is not None else 1

    def _largest_total(self) -> FleetSummary | None:
        """Return the total that includes the most routers."""
        totals = [received.message for received in self._recent_messages(self._total_summaries)]
        if (
            self._own_digest is not None
            and self._is_aggregator()
            and self._recent_messages(self._member_digests)
        ):
            totals.append(self._summarize_fleet())
        return max(totals, key=lambda total: total.routers, default=None)

    # Sending messages.

    def outgoing(self, own: Digest) -> list[tuple[str, Digest | FleetSummary]]:
        """Return the messages of one period with their addresses."""
        if self.mesh:
            return [(address, own) for address in self._book.addresses]
        self._update_groups()
        self._own_digest = own
        self._period += 1
        self._member_digests[own.address] = _ReceivedMessage(own, self._clock())
        messages: list[tuple[str, Digest | FleetSummary]] = [
            (address, own)
            for address in self._responsive_members(self._own_group)[:_AGGREGATORS_PER_GROUP]
            if address != own.address
        ]
        if self._is_aggregator():
            messages.extend(self._summaries_for_groups())
        self._record_expected([address for address, _ in messages])
        if self._is_aggregator() and self._period % _PERIODS_PER_TOTAL == 0:
            messages.extend(self._totals_for_members())
        return messages

    def watched(self) -> set[str]:
        """Return the addresses of the peers from which this router expects messages."""
        if self.mesh:
            return set(self._book.addresses)
        self._update_groups()
        group = self._groups.groups[self._own_group]
        if self._book.own_address not in group[:_AGGREGATORS_PER_GROUP]:
            return set()
        return set(group) - {self._book.own_address}

    def _summaries_for_groups(self) -> Iterable[tuple[str, FleetSummary]]:
        """Return the own group's summary, for one aggregator of each other group."""
        group_summary = self._summarize_group()
        exchange_index = self._own_exchange_index()
        for number in range(len(self._groups.groups)):
            responsive = self._responsive_members(number)[:_AGGREGATORS_PER_GROUP]
            if responsive and number != self._own_group:
                yield responsive[min(exchange_index, len(responsive) - 1)], group_summary

    def _totals_for_members(self) -> Iterable[tuple[str, FleetSummary]]:
        """Return the total, for each member from which a digest was received lately."""
        total = self._with_own_versions(self._summarize_fleet())
        for received in self._recent_messages(self._member_digests):
            if received.message.address != self._book.own_address:
                yield received.message.address, total

    def _with_own_versions(self, total: FleetSummary) -> FleetSummary:
        """Return a total that announces only the configuration and endpoints known here.

        Members then fetch new versions from their aggregator. Otherwise all routers of the fleet
        would fetch them from the first router that has them and saturate its link.
        """
        own = self._member_digests[self._book.own_address].message
        is_newest = own.configuration_version == total.configuration_version
        return msgspec.structs.replace(
            total,
            configuration_version=own.configuration_version,
            configuration_from=own.address,
            confirmed_age_s=total.confirmed_age_s if is_newest else -1.0,
            endpoints_version=own.endpoints_version,
            endpoints_era=own.endpoints_era,
            endpoints_from=own.address,
        )

    def _record_expected(self, addresses: list[str]) -> None:
        """Record from which routers messages are expected from now on."""
        now_s = self._clock()
        self._expected_since_s = {
            address: self._expected_since_s.get(address, now_s) for address in addresses
        }

    def _is_aggregator(self) -> bool:
        """Return whether members send digests to this router, or it ranks as an aggregator."""
        now_s = self._clock()
        has_members = any(
            now_s - received.received_s <= _MESSAGE_LIFETIME_S
            for address, received in self._member_digests.items()
            if address != self._book.own_address
        )
        return (
            has_members
            or self._book.own_address
            in self._responsive_members(self._own_group)[:_AGGREGATORS_PER_GROUP]
        )

    def _responsive_members(self, group: int) -> list[str]:
        """Return the members of a group that are not silent, by rank."""
        now_s = self._clock()
        ranked = self._groups.groups[group]
        return [address for address in ranked if not self._is_silent(address, now_s)]

    def _is_silent(self, address: str, now_s: float) -> bool:
        """Return whether messages expected from an aggregator have failed to arrive."""
        if address == self._book.own_address:
            return False
        if self._silent_until_s.get(address, 0.0) > now_s:
            return True
        since_s = self._expected_since_s.get(address)
        if since_s is None:
            return False
        receipts_s = [
            by_sender[address].received_s
            for by_sender in (self._group_summaries, self._total_summaries)
            if address in by_sender
        ]
        if now_s - max([since_s, *receipts_s]) <= _SILENT_AFTER_S:
            return False
        self._silent_until_s[address] = now_s + _SILENCE_PENALTY_S
        del self._expected_since_s[address]
        return True

    def _own_exchange_index(self) -> int:
        """Return the index of this router among its group's aggregators, modulo their number."""
        responsive = self._responsive_members(self._own_group)
        return responsive.index(self._book.own_address) % _AGGREGATORS_PER_GROUP

    @property
    def _own_group(self) -> int:
        return self._groups.group_number(self._book.own_address)

    def _update_groups(self) -> None:
        if self._grouped_version == self._book.membership_version:
            return
        self._grouped_version = self._book.membership_version
        others = (
            _GroupCandidate.from_bandwidth(peer.address, peer.zone, peer.link_mbit_per_s)
            for peer in self._book.members
        )
        self._groups = _Groups([self._own_candidate, *others])

    # Summaries.

    def _with_current_age(self, received: _ReceivedMessage) -> Digest | FleetSummary:
        """Return a message with the present age of its confirmation.

        Forwarded unchanged, it would look too recent two levels further: a router would consider
        an old configuration the newest and answer 404 for newly added routes.
        """
        message = received.message
        if message.confirmed_age_s < 0:
            return message
        age_s = message.confirmed_age_s + self._clock() - received.received_s
        return msgspec.structs.replace(message, confirmed_age_s=round(age_s, 3))

    def _recent_messages(self, by_sender: dict[str, _ReceivedMessage]) -> list[_ReceivedMessage]:
        """Return the messages within their lifetime, and delete older ones."""
        since_s = self._clock() - _MESSAGE_LIFETIME_S
        for address in [
            address for address, received in by_sender.items() if received.received_s < since_s
        ]:
            del by_sender[address]
        return list(by_sender.values())

    def _summarize_group(self) -> FleetSummary:
        """Return the summary of the members with a recent digest, which must exist."""
        digests = [
            self._with_current_age(received)
            for received in self._recent_messages(self._member_digests)
        ]
        newest = max(digests, key=lambda digest: digest.configuration_version)
        endpoints = max(digests, key=lambda digest: digest.endpoints_as_of)
        return FleetSummary(
            DIGEST_LAYOUT,
            self._book.own_address,
            self._own_group,
            len(digests),
            newest.configuration_version,
            newest.address,
            _min_confirmed_age_s(digests, newest.configuration_version),
            endpoints.endpoints_version,
            endpoints.address,
            sum_loads(digest.loads for digest in digests),
            self._own_digest.zone_orders,
            self._own_digest.quarantine,
            self._own_digest.words,
            self._own_digest.limits,
            endpoints.endpoints_era,
            self._own_digest.restarted,
            self._own_digest.begun_parts,
            self._own_digest.lost_parts,
            self._own_digest.knows_quarantined,
            self._own_digest.knows_recovery,
        )

    def _summarize_fleet(self) -> FleetSummary:
        """Return the summary of the own group and one summary of each other group."""
        best = {self._own_group: self._summarize_group()}
        for summary in (
            self._with_current_age(received)
            for received in self._recent_messages(self._group_summaries)
        ):
            known = best.get(summary.group)
            if summary.group != self._own_group and (
                known is None or summary.routers > known.routers
            ):
                best[summary.group] = summary
        summaries = list(best.values())
        newest = max(summaries, key=lambda summary: summary.configuration_version)
        endpoints = max(summaries, key=lambda summary: summary.endpoints_as_of)
        return FleetSummary(
            DIGEST_LAYOUT,
            self._book.own_address,
            ALL_GROUPS,
            sum(summary.routers for summary in summaries),
            newest.configuration_version,
            newest.configuration_from,
            _min_confirmed_age_s(summaries, newest.configuration_version),
            endpoints.endpoints_version,
            endpoints.endpoints_from,
            _largest_loads(sum_loads(summary.loads for summary in summaries)),
            self._own_digest.zone_orders,
            self._own_digest.quarantine,
            self._own_digest.words,
            self._own_digest.limits,
            endpoints.endpoints_era,
            self._own_digest.restarted,
            self._own_digest.begun_parts,
            self._own_digest.lost_parts,
            self._own_digest.knows_quarantined,
            self._own_digest.knows_recovery,
        )


def _min_confirmed_age_s(messages: Iterable[Digest | FleetSummary], version: int) -> float:
    """Return the lowest age of the confirmations of a configuration, negative without any."""
    ages = [
        message.confirmed_age_s
        for message in messages
        if message.configuration_version == version and message.confirmed_age_s >= 0
    ]
    return min(ages, default=-1.0)


def _largest_loads(loads: tuple[EndpointLoad, ...]) -> tuple[EndpointLoad, ...]:
    """Return the largest loads, up to the limit of a summary."""
    if len(loads) <= _MAX_SUMMED_ENDPOINTS:
        return loads
    return tuple(sorted(loads, key=lambda load: -load.requests)[:_MAX_SUMMED_ENDPOINTS])
