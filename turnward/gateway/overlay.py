# SPDX-License-Identifier: BSD-3-Clause
"""How routers of a large fleet learn what all others have in flight: sums over two levels.

In a small fleet each router tells all others of itself. In a larger one the members of a zone
form groups of bounded size. Each tells two aggregators of its group: those with the widest
links, and among equals by rendezvous hashing. An aggregator sums its group up, exchanges sums with
the aggregators of the other groups, and tells its members the sum over all. A router is an
aggregator for whoever tells it of itself, so no role is agreed upon: a member that hears nothing
from an aggregator for a while goes to the next one of its group.

Sums are of the last second; what is older does not count. Nothing that a rule bounds follows from
them: how many routers may live is counted by ``PeerBook``, which no lost datagram shrinks.
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
from turnward.gateway.rate_limit import ToldLimit
from turnward.gateway.zone_orders import ZoneOrder
from turnward.hashing import rendezvous_weight
from turnward.quarantine import EMPTY_QUARANTINE_UPDATE, QuarantineUpdate
from turnward.rows import RowVersion

__all__ = ["ALL_GROUPS", "MESH_LIMIT", "FleetSummary", "Overlay"]

#: Routers up to which each tells all others of itself: as many messages as an aggregator sends.
MESH_LIMIT = 12
#: Most members of a group: with as many groups, an aggregator hears about as many members as
#: other aggregators at 250 routers.
_GROUP_LIMIT = 16
#: Aggregators that a member tells of itself, so that one may die unnoticed.
_AGGREGATORS = 2
#: Most endpoints in a sum, so that it fits a few packets.
_SUM_LIMIT = 128
#: Periods between two words of an aggregator to its members: there are two aggregators.
_TOTAL_PERIODS = 2
#: Seconds after which what was told no longer counts.
_LIFE_S = 1.0
#: Group number of a sum over all groups.
ALL_GROUPS = -1
#: Seconds without a word after which an aggregator is taken for silent, and for how long.
_SILENT_AFTER_S = 1.0
_SILENT_FOR_S = 3.0


class FleetSummary(msgspec.Struct, frozen=True, array_like=True, tag="summary"):
    """What an aggregator tells: the sum over its group, or over all groups.

    Attributes
    ----------
    address : str
        The aggregator's.
    group : int
        Its group's number, or ``ALL_GROUPS``.
    routers : int
        How many routers the sum is over.
    configuration_version, configuration_from : int, str
        The newest configuration among them, and the address of a router that has it; in a sum
        for members, what the aggregator has itself.
    confirmed_age_s : float
        How long ago the store said that this configuration is the newest; below 0 when
        it never did.
    endpoints_version, endpoints_era, endpoints_from : int, int, str
        The newest view of the endpoints among them, and who has it; as for the configuration.
    zone_orders : tuple of ZoneOrder or None
        Which zones operators want drained, as the aggregator knows; None when it does not.
    quarantine : QuarantineUpdate
        Runs that were lost with their endpoints, as far as the aggregator knows.
    words : tuple of FeedbackUpdate
        Which endpoints leave or want rest, as the aggregator was told lately.
    limits : tuple of ToldLimit
        The rates that endpoints named lately, as far as the aggregator knows.
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
    limits: tuple[ToldLimit, ...] = ()
    endpoints_era: int = 0

    @property
    def endpoints_as_of(self) -> RowVersion:
        """The store's version that the endpoints are as of."""
        return RowVersion.of(self.endpoints_era, self.endpoints_version)


class _Placed(msgspec.Struct, frozen=True, order=True):
    """A member as groups are formed of them; sorts by width, the widest first.

    Attributes
    ----------
    narrowness : float
        Less for a wider link: its width in Mbit/s below 0.
    """

    narrowness: float
    address: str
    zone: str

    @classmethod
    def from_width(cls, address: str, zone: str, link_mbit_per_s: float) -> "_Placed":
        """Return the member with a link of a width."""
        return cls(-link_mbit_per_s, address, zone)


class _Groups:
    """The groups of a fleet, each with its members in the order in which they aggregate.

    Wide links come first, and are dealt to the groups in turn: an aggregator reads the whole
    configuration from the store and hands copies to its members.
    """

    def __init__(self, members: Iterable[_Placed]):
        by_zone: dict[str, list[_Placed]] = {}
        for member in sorted(members):
            by_zone.setdefault(member.zone, []).append(member)
        self.groups: list[list[str]] = []
        self._group_of: dict[str, int] = {}
        for zone in sorted(by_zone):
            placed = by_zone[zone]
            count = -(-len(placed) // _GROUP_LIMIT)
            for index in range(count):
                self._add(f"{zone}/{index}", placed[index::count])

    def _add(self, name: str, placed: list[_Placed]) -> None:
        number = len(self.groups)

        def rank(member: _Placed) -> tuple[float, int]:
            return (member.narrowness, -rendezvous_weight(name, member.address))

        ranked = [member.address for member in sorted(placed, key=rank)]
        self.groups.append(ranked)
        for address in ranked:
            self._group_of[address] = number

    def of(self, address: str) -> int:
        """Return the number of a member's group."""
        return self._group_of[address]


class _Heard(msgspec.Struct):
    """A message, and when it came."""

    message: Digest | FleetSummary
    received_s: float


class Overlay:
    """One router's part of the exchange: whom to tell what, and what was told.

    Parameters
    ----------
    book : PeerBook
        The members; told of each digest.
    zone : str
        This router's zone.
    clock : callable
        Steady clock in seconds.
    link_mbit_per_s : float
        Width of this router's link; 0 when it is not known.
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
        self._own_place = _Placed.from_width(book.own_address, zone, link_mbit_per_s)
        self._groups = _Groups([self._own_place])
        self._members: dict[str, _Heard] = {}
        self._sums: dict[str, _Heard] = {}
        self._totals: dict[str, _Heard] = {}
        self._asked_since_s: dict[str, float] = {}
        self._silent_until_s: dict[str, float] = {}
        #: What this router told of itself last.
        self._own: Digest | None = None
        self._period = 0

    @property
    def mesh(self) -> bool:
        """Whether each router tells all others of itself."""
        return self._book.max_router_count <= MESH_LIMIT

    @property
    def publishes_updates(self) -> bool:
        """Whether other routers learn from this one what is new."""
        return self.mesh or self._is_aggregator()

    @property
    def receives_updates(self) -> bool:
        """Whether an aggregator has told this router of the others lately.

        A router whose aggregators died with a change asks the store sooner than its old knowledge
        would have it.
        """
        return bool(self._fresh(self._totals))

    # What was told.

    def hear_digest(self, digest: Digest) -> None:
        """Take in what a member tells of itself."""
        if not self.mesh:
            self._members[digest.address] = _Heard(digest, self._clock())

    def hear_summary(self, summary: FleetSummary) -> None:
        """Take in what an aggregator tells."""
        kept = self._totals if summary.group == ALL_GROUPS else self._sums
        kept[summary.address] = _Heard(summary, self._clock())

    def loads(self) -> dict[str, EndpointLoad]:
        """Return what all other routers have in flight, by endpoint, as far as it is known."""
        if self.mesh:
            return self._book.loads()
        total = self._own_total()
        if total is None:
            return {}
        loads = {load.endpoint: load for load in total.loads}
        for own in self._own.loads if self._own is not None else ():
            # The sum holds what this router told of itself.
            told = loads.get(own.endpoint)
            if told is not None:
                loads[own.endpoint] = told.without(own)
        return loads

    @property
    def live_routers(self) -> int:
        """How many routers were heard lately, directly or through an aggregator."""
        if self.mesh:
            return self._book.live_count + 1
        total = self._own_total()
        return total.routers if total is not None else 1

    def _own_total(self) -> FleetSummary | None:
        """Return the sum over all routers that counts most of them."""
        known = [heard.message for heard in self._fresh(self._totals)]
        if self._own is not None and self._is_aggregator() and self._fresh(self._members):
            known.append(self._total())
        return max(known, key=lambda total: total.routers, default=None)

    # Whom to tell what.

    def outgoing(self, own: Digest) -> list[tuple[str, Digest | FleetSummary]]:
        """Return the messages of one period with their addresses."""
        if self.mesh:
            return [(address, own) for address in self._book.addresses]
        self._regroup()
        self._own = own
        self._period += 1
        self._members[own.address] = _Heard(own, self._clock())
        messages: list[tuple[str, Digest | FleetSummary]] = [
            (address, own)
            for address in self._choose(self._own_group)[:_AGGREGATORS]
            if address != own.address
        ]
        if self._is_aggregator():
            messages.extend(self._sums_for_groups())
        self._note_asked([address for address, _ in messages])
        if self._is_aggregator() and self._period % _TOTAL_PERIODS == 0:
            messages.extend(self._totals_for_members())
        return messages

    def watched(self) -> set[str]:
        """Return the addresses of the peers whose silence this router would notice."""
        if self.mesh:
            return set(self._book.addresses)
        self._regroup()
        group = self._groups.groups[self._own_group]
        if self._book.own_address not in group[:_AGGREGATORS]:
            return set()
        return set(group) - {self._book.own_address}

    def _sums_for_groups(self) -> Iterable[tuple[str, FleetSummary]]:
        """Return the own group's sum, for one aggregator of each other group."""
        group_sum = self._group_sum()
        plane = self._own_plane()
        for number in range(len(self._groups.groups)):
            chosen = self._choose(number)[:_AGGREGATORS]
            if chosen and number != self._own_group:
                yield chosen[min(plane, len(chosen) - 1)], group_sum

    def _totals_for_members(self) -> Iterable[tuple[str, FleetSummary]]:
        """Return the sum over all groups, for each member heard."""
        total = self._as_known_here(self._total())
        for heard in self._fresh(self._members):
            if heard.message.address != self._book.own_address:
                yield heard.message.address, total

    def _as_known_here(self, total: FleetSummary) -> FleetSummary:
        """Return a sum that tells of no configuration and endpoints but those known here.

        Members fetch what they are told of from their aggregator. Told who has it first, all
        routers of the fleet would ask that one, and fill its link for seconds.
        """
        own = self._members[self._book.own_address].message
        newest = own.configuration_version == total.configuration_version
        return msgspec.structs.replace(
            total,
            configuration_version=own.configuration_version,
            configuration_from=own.address,
            confirmed_age_s=total.confirmed_age_s if newest else -1.0,
            endpoints_version=own.endpoints_version,
            endpoints_era=own.endpoints_era,
            endpoints_from=own.address,
        )

    def _note_asked(self, addresses: list[str]) -> None:
        """Note who is counted on for an answer from now on."""
        now_s = self._clock()
        self._asked_since_s = {
            address: self._asked_since_s.get(address, now_s) for address in addresses
        }

    def _is_aggregator(self) -> bool:
        """Tell whether another member counts on this router, or none other is left."""
        now_s = self._clock()
        told = any(
            now_s - heard.received_s <= _LIFE_S
            for address, heard in self._members.items()
            if address != self._book.own_address
        )
        return told or self._book.own_address in self._choose(self._own_group)[:_AGGREGATORS]

    def _choose(self, group: int) -> list[str]:
        """Return the members of a group that are not silent, as they are ranked."""
        now_s = self._clock()
        ranked = self._groups.groups[group]
        return [address for address in ranked if not self._is_silent(address, now_s)]

    def _is_silent(self, address: str, now_s: float) -> bool:
        """Tell whether an aggregator that was counted on has said nothing for too long."""
        if address == self._book.own_address:
            return False
        if self._silent_until_s.get(address, 0.0) > now_s:
            return True
        since_s = self._asked_since_s.get(address)
        if since_s is None:
            return False
        heard = [kept[address].received_s for kept in (self._sums, self._totals) if address in kept]
        if now_s - max([since_s, *heard]) <= _SILENT_AFTER_S:
            return False
        self._silent_until_s[address] = now_s + _SILENT_FOR_S
        del self._asked_since_s[address]
        return True

    def _own_plane(self) -> int:
        """Return which of the two exchanges between groups this router takes part in."""
        chosen = self._choose(self._own_group)
        return chosen.index(self._book.own_address) % _AGGREGATORS

    @property
    def _own_group(self) -> int:
        return self._groups.of(self._book.own_address)

    def _regroup(self) -> None:
        if self._grouped_version == self._book.membership_version:
            return
        self._grouped_version = self._book.membership_version
        others = (
            _Placed.from_width(peer.address, peer.zone, peer.link_mbit_per_s)
            for peer in self._book.members
        )
        self._groups = _Groups([self._own_place, *others])

    # Sums.

    def _aged(self, heard: _Heard) -> Digest | FleetSummary:
        """Return a message with the age that its confirmation has by now.

        Told on as it came, it would look new two levels on: a router would take an old
        configuration for the newest, and answer 404 for routes that were added.
        """
        message = heard.message
        if message.confirmed_age_s < 0:
            return message
        age_s = message.confirmed_age_s + self._clock() - heard.received_s
        return msgspec.structs.replace(message, confirmed_age_s=round(age_s, 3))

    def _fresh(self, kept: dict[str, _Heard]) -> list[_Heard]:
        """Return the messages of the last second, and forget older ones."""
        since_s = self._clock() - _LIFE_S
        for address in [address for address, heard in kept.items() if heard.received_s < since_s]:
            del kept[address]
        return list(kept.values())

    def _group_sum(self) -> FleetSummary:
        """Return the sum over the members heard lately, of which there must be one."""
        digests = [self._aged(heard) for heard in self._fresh(self._members)]
        newest = max(digests, key=lambda digest: digest.configuration_version)
        endpoints = max(digests, key=lambda digest: digest.endpoints_as_of)
        return FleetSummary(
            DIGEST_LAYOUT,
            self._book.own_address,
            self._own_group,
            len(digests),
            newest.configuration_version,
            newest.address,
            _least_age(digests, newest.configuration_version),
            endpoints.endpoints_version,
            endpoints.address,
            sum_loads(digest.loads for digest in digests),
            self._own.zone_orders,
            self._own.quarantine,
            self._own.words,
            self._own.limits,
            endpoints.endpoints_era,
        )

    def _total(self) -> FleetSummary:
        """Return the sum over the own group and one sum of each other group."""
        best = {self._own_group: self._group_sum()}
        for summary in (self._aged(heard) for heard in self._fresh(self._sums)):
            known = best.get(summary.group)
            if summary.group != self._own_group and (
                known is None or summary.routers > known.routers
            ):
                best[summary.group] = summary
        sums = list(best.values())
        newest = max(sums, key=lambda one: one.configuration_version)
        endpoints = max(sums, key=lambda one: one.endpoints_as_of)
        return FleetSummary(
            DIGEST_LAYOUT,
            self._book.own_address,
            ALL_GROUPS,
            sum(one.routers for one in sums),
            newest.configuration_version,
            newest.configuration_from,
            _least_age(sums, newest.configuration_version),
            endpoints.endpoints_version,
            endpoints.endpoints_from,
            _largest(sum_loads(one.loads for one in sums)),
            self._own.zone_orders,
            self._own.quarantine,
            self._own.words,
            self._own.limits,
            endpoints.endpoints_era,
        )


def _least_age(told: Iterable[Digest | FleetSummary], version: int) -> float:
    """Return the least age of a confirmation of a configuration; below 0 when there is none."""
    ages = [
        one.confirmed_age_s
        for one in told
        if one.configuration_version == version and one.confirmed_age_s >= 0
    ]
    return min(ages, default=-1.0)


def _largest(loads: tuple[EndpointLoad, ...]) -> tuple[EndpointLoad, ...]:
    """Return the largest loads, as many as a sum may hold."""
    if len(loads) <= _SUM_LIMIT:
        return loads
    return tuple(sorted(loads, key=lambda load: -load.requests)[:_SUM_LIMIT])
