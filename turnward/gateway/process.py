# SPDX-License-Identifier: BSD-3-Clause
"""A gateway process: creates its components, starts and stops them."""

import random
import uuid
from abc import ABC, abstractmethod

import msgspec
from twisted.internet import defer, task

from turnward.gateway import intake, link_traffic, own_link
from turnward.gateway.choice import EndpointBook
from turnward.gateway.configuration import WarmUpTraits
from turnward.gateway.dialect import Dialect
from turnward.gateway.end_reserve import EndReserveRule
from turnward.gateway.endpoint_reporter import EndpointReporter
from turnward.gateway.engine_costs import ChoiceRule
from turnward.gateway.feeds import (
    FeedListenerBase,
    FleetPollSchedule,
    PeerConfirmedPollSchedule,
    PollScheduleBase,
    Reread,
    TableFeed,
)
from turnward.gateway.forwarding import Forwarder
from turnward.gateway.forwarding_rules import ForwardingRules
from turnward.gateway.holder_client import LENDING_WAIT_S, HolderClient
from turnward.gateway.holders import RendezvousHolders
from turnward.gateway.intake import Intake
from turnward.gateway.lenders import HolderLenders, PeerLenders
from turnward.gateway.link_monitor import LinkMonitor
from turnward.gateway.link_traffic import LinkTraffic
from turnward.gateway.logs import GatewayLog
from turnward.gateway.member_ranks import MemberRanks
from turnward.gateway.member_row import MemberRow
from turnward.gateway.members import MEMBERS_TABLE, Member
from turnward.gateway.metrics import GatewayMetrics
from turnward.gateway.own_link import OwnLink
from turnward.gateway.pauses import CHECK_INTERVAL_S, Pause, PauseDetector
from turnward.gateway.peer_book import DIGEST_LAYOUT, Digest, PeerBook
from turnward.gateway.peers import PeerSynchronizer
from turnward.gateway.pool_version_rows import PoolVersionRows
from turnward.gateway.prepaid import GRANT_SIZING, WITHHELD_SHARE_PER_PRIORITY, PrepaidAccounts
from turnward.gateway.process_logs import ProcessLogs
from turnward.gateway.prompt_lanes import make_prompt_lanes
from turnward.gateway.quarantines import Quarantines
from turnward.gateway.rate_limits import RateLimits
from turnward.gateway.relay import Relay, RelayServer
from turnward.gateway.relay_note import limits_with_relays
from turnward.gateway.relay_paths import PathFinder
from turnward.gateway.service_rates import make_service_rates
from turnward.gateway.settings import GatewaySettings
from turnward.gateway.spend_bounds import make_spend_bounds
from turnward.gateway.state import FleetState
from turnward.gateway.stream_version_rows import StreamVersionRows
from turnward.gateway.table_catch_up import TableCatchUp
from turnward.gateway.table_listeners import EndpointsListener, MembersListener
from turnward.gateway.version_keeper import VersionKeeper
from turnward.gateway.warm_up import WarmUpShares
from turnward.gateway.watch_gaps import WatchGaps
from turnward.http1 import (
    InboundFactory,
    InboundLimits,
    InboundRequest,
    OutboundPool,
)
from turnward.link_use import LinkUse
from turnward.pacing import make_token_pacer
from turnward.quarantine import QuarantineRule
from turnward.rows import VersionedStoreBase

__all__ = ["GatewayProcess", "SourcesBase", "new_incarnation"]

#: Timeouts of long polls to the store, by table.
_CONFIGURATION_WAIT_S = 2.0
_ENDPOINTS_WAIT_S = 4.0
_MEMBERS_WAIT_S = 20.0
#: Delays between two polls after a change, for routers that also receive changes from peers. They
#: bound how long a draining endpoint still gets new requests.
_ROWS_POLL_DELAY_S = 1.0
_MEMBERS_POLL_DELAY_S = 2.0
_STATISTICS_INTERVAL_S = 10.0
_HOUSEKEEPING_INTERVAL_S = 0.5
#: Time for which a stopping process still accepts requests on open connections.
_LINGER_S = 2.6
#: Time before the stop limit at which the remaining requests are aborted.
_STOP_MARGIN_S = 0.8
_STOP_CHECK_INTERVAL_S = 0.1
#: Time for writing the last responses before the process ends.
_FINAL_WRITE_S = 0.1
#: Time after a failed call to the store in which removed entries are assumed to have expired.
_OUTAGE_EXPIRY_S = 2.5
#: Longest time for which a process that starts is not ready because it can't borrow tokens yet.
_LENDERS_WAIT_S = 1.0
#: Time after a pause of the process within which polls fail that the store no longer answers.
_STALE_AFTER_PAUSE_S = 6.0
#: Time after a pause within which the store or a peer tells of entries that have changed.
_CATCH_UP_S = 1.0
#: Age of the last confirmation of the configuration above which the store counts as unreachable.
_STORE_UNREACHABLE_AFTER_S = 3.0
#: Timeout of connections to endpoints.
_CONNECT_TIMEOUT_S = 0.5


def new_incarnation(node: str) -> str:
    """Return a unique name for a new process on a node."""
    return f"{node}@{uuid.uuid4().hex[:10]}"


class SourcesBase(ABC):
    """Defines which tables of the store hold the configuration and the endpoints."""

    @abstractmethod
    def feeds(self, state: FleetState) -> list[tuple[str, float, FeedListenerBase]]:
        """Return the name, long-poll timeout in seconds and listener of each table to follow."""


class GatewayProcess:
    """One router of the fleet, as a gateway.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    settings : GatewaySettings
        Validated settings.
    incarnation : str
        Unique name of this process; see ``new_incarnation``.
    dialect : Dialect
        Names of HTTP headers and paths.
    store : VersionedStoreBase
        Store of versioned rows.
    sources : SourcesBase
        Defines which tables hold the configuration and the endpoints.
    log : GatewayLog
        Structured log of the process.
    metrics : GatewayMetrics
        Metrics of the process.
    rng : random.Random, optional
        Random number generator; seeded by tests.
    started_s : float, optional
        When this process started, by the reactor's clock, and so when earlier processes of the
        node had ended; the present time by default.
    """

    def __init__(
        self,
        reactor,
        settings: GatewaySettings,
        incarnation: str,
        dialect: Dialect,
        store: VersionedStoreBase,
        sources: SourcesBase,
        log: GatewayLog,
        metrics: GatewayMetrics,
        rng: random.Random | None = None,
        started_s: float | None = None,
    ):
        self._rng = rng or random.Random()
        self._reactor = reactor
        self._settings = settings
        self._dialect = dialect
        self._store = store
        self._log = log
        self._logs = ProcessLogs(log)
        self._metrics = metrics
        self._ports: list = []
        self._feed_health: dict[str, bool] = {}
        self._store_failed_s = -1e9
        self._store_reachable_since_s = reactor.seconds()
        self._knows_lenders = False
        self._lenders_awaited_until_s = reactor.seconds() + _LENDERS_WAIT_S
        self._stopping = False
        self._stop_started_s = 0.0
        self._stop_check: task.LoopingCall | None = None
        self.stopped: defer.Deferred = defer.Deferred()
        self.incarnation = incarnation
        self.state = FleetState(reactor.seconds)
        self.state.add_listener(self._state_changed)
        self.state.unreadable_rows.on_unreadable = self._logs.unreadable_row
        self.book = PeerBook(self.peers_address, reactor.seconds)
        self._add_seeds()
        ranks = MemberRanks(self.book)
        self._limits = RateLimits(reactor.seconds, ranks, self.incarnation)
        rates = make_service_rates(settings.load_controls)
        shares = WarmUpShares(ranks)
        self.endpoints = EndpointBook(
            settings.zone,
            reactor.seconds,
            self._make_pool,
            lambda: self.peers.overlay.loads(),
            self._rng,
            ChoiceRule.from_mechanisms(settings.mechanisms),
            self._warm_up_traits,
            shares,
            dialect,
            self._limits,
            rates,
            make_prompt_lanes(settings.load_controls, rates),
        )
        reporter = EndpointReporter(
            reactor.seconds, self.state, self.endpoints, dialect, ranks, metrics, log
        )
        self._feedback_exchange = reporter.feedback_exchange
        self._pauses = PauseDetector(reactor.seconds)
        self._own_link = OwnLink(reactor, self.book, log)
        self._connect_endpoints(reporter, shares)
        self._links = LinkMonitor(reactor, self.endpoints, self.book, self._rng, metrics, log)
        self.relay = Relay(
            reactor,
            self.book,
            settings.zone,
            self._links.links,
            self._rng,
            metrics,
            log,
            self._logs.exception,
        )
        self.holders = RendezvousHolders(self.book, reactor.seconds, settings.budget_holders)
        self.accounts = PrepaidAccounts(
            reactor,
            store,
            settings.node,
            self.incarnation,
            GRANT_SIZING,
            log,
            lambda: self.book.max_router_count,
            make_spend_bounds(settings.load_controls),
            end_reserve_rule=EndReserveRule(share=settings.budget_reserve_share),
            withheld_share_per_priority=WITHHELD_SHARE_PER_PRIORITY
            if settings.mechanisms.urgency_in_cut
            else 0.0,
            reports=settings.mechanisms.spend_reports,
            holders=self.holders,
            lending_wait_s=LENDING_WAIT_S
            if settings.load_controls.spend_bounds_by_scarcity
            else None,
            pacer=make_token_pacer(settings.load_controls.token_pacing, reactor.seconds),
            started_s=started_s,
        )
        self._quarantines = Quarantines(
            reactor,
            QuarantineRule.from_heartbeat(settings.endpoint_heartbeat_ms / 1_000),
            ranks.rank_for,
            self.endpoints,
            store,
            self.state.unreadable_rows,
            self._rng,
            log,
        )
        self.quarantine = self._quarantines.contents
        self.peers = PeerSynchronizer(
            reactor,
            self._identity(),
            self.state,
            self.book,
            self.endpoints.loads,
            self.accounts,
            self._quarantines,
            self._feedback_exchange,
            self._limits,
            log,
            self._rng,
        )
        self._connect_lenders()
        self._versions = self._make_version_keeper()
        self._pool_version_rows = self._make_pool_version_rows(ranks)
        self._member_row = self._make_member_row()
        self.forwarder = self._make_forwarder()
        self._connect_relay()
        self._serve_callers_and_peers()
        store.eras.listen(self._handle_store_rollback)
        self._feeds = [
            TableFeed(
                reactor,
                store,
                table,
                listener,
                wait_s,
                self._rng,
                self._make_health_listener(table, listener),
                on_answer,
                pace,
                self._make_reread_listener(table),
            )
            for table, wait_s, listener, on_answer, pace in self._list_feeds(sources)
        ]

    @property
    def peers_address(self) -> str:
        """``IP:port`` at which this process listens for peers."""
        host, _, _ = self._settings.callers_address.rpartition(":")
        return f"{host}:{self._settings.peers_port}"

    @property
    def ready(self) -> bool:
        """Whether the process is ready to serve new connections."""
        return self._is_complete and not self._intake.spared

    @property
    def _is_complete(self) -> bool:
        return self.forwarder.knows_enough and not self._stopping and self._can_borrow()

    def _can_borrow(self) -> bool:
        """Return whether this router knows the holders of tokens and hears a peer, if there is one.

        Until then it could not borrow tokens if it were cut off from the store.
        """
        if self._knows_lenders or self._reactor.seconds() >= self._lenders_awaited_until_s:
            return True
        alone = not self.book.members
        hears_peer = self.peers.overlay.live_routers > 1
        self._knows_lenders = self.holders.settled and (alone or hears_peer)
        return self._knows_lenders

    # Construction.

    def _identity(self) -> Digest:
        settings = self._settings
        return Digest(
            DIGEST_LAYOUT,
            settings.node,
            self.incarnation,
            self.peers_address,
            settings.zone,
            configuration_version=0,
            endpoints_version=0,
            confirmed_age_s=-1.0,
            link_mbit_per_s=settings.link_mbit_per_s,
        )

    def _connect_lenders(self) -> None:
        """Let the accounts request tokens from holders and borrow them from peers."""
        call = self.peers.call
        # A new member can lend, and borrow, once both have heard each other.
        self.book.on_member_added = self.peers.announce_soon
        self.accounts.refusals.on_refused = self._metrics.count_budget_refusal
        self.accounts.on_written = self._announce_account
        self.accounts.holder_client = HolderClient(
            self.holders, self.peers.call_or_raise, self._log
        )
        if self._settings.mechanisms.loans:
            peers = PeerLenders(self.book, call, self._reactor.seconds)
            self.accounts.lenders = HolderLenders(self.holders, peers, self._reactor.seconds)

    def _connect_endpoints(self, reporter: EndpointReporter, shares: WarmUpShares) -> None:
        """Let the endpoints' book know how current its entries are, and report its changes."""
        #: What requests to endpoints and their responses use of the link.
        self._endpoint_link_use = LinkUse()
        self.endpoints.entries_stale = self._entries_may_be_stale
        self.endpoints.resumed_lately = self._resumed_lately
        self._limits.on_peer_limit = reporter.report_peer_rate_limit
        reporter.listen_to_endpoints(shares)

    def _serve_callers_and_peers(self) -> None:
        """Create the servers of both."""
        self._intake = Intake(self._reactor.seconds, self.book, lambda: self._own_link.delay_s)
        self.peers.delay_ms = lambda: self._intake.delay_ms
        self.callers = InboundFactory(
            self._reactor,
            self.forwarder.handle,
            InboundLimits(),
            self._logs.malformed_request,
            self._logs.exception,
        )
        self.callers.takes = self._intake.takes
        self._peer_server = InboundFactory(
            self._reactor,
            self.peers.serve,
            InboundLimits(),
            self._logs.malformed_request,
            self._logs.exception,
        )
        self._traffic = self._make_traffic()
        for link_use in (
            self._endpoint_link_use,
            self.relay.link_use,
            self.peers.call_link_use,
            self._store.link_use,
        ):
            link_use.on_opened = self._own_link.note_opened

    def _make_traffic(self) -> LinkTraffic:
        counts = {
            "callers": self.callers.link_use,
            "endpoints": self._endpoint_link_use,
            "relays": self.relay.link_use,
            "peers": self._peer_server.link_use,
            "calls": self.peers.call_link_use,
            "datagrams": self.peers.exchange.link_use,
            "store": self._store.link_use,
        }
        return LinkTraffic(
            counts,
            self._settings.link_mbit_per_s,
            lambda: self._own_link.delay_ms,
            lambda: self.callers.accepted,
            self._metrics,
            self._log,
        )

    def _make_version_keeper(self) -> VersionKeeper:
        table = TableCatchUp(
            self._reactor, self.state, self.book, self.peers, self._log, self._table_is_doubtful
        )
        clock = self._reactor.seconds
        keeper = VersionKeeper.from_fleet(
            clock, self.state, self.book, self.peers, self.endpoints, table
        )
        self._stream_version_rows = self._make_stream_version_rows(keeper)
        keeper.wait_until_read = self._stream_version_rows.wait_until_read
        return keeper

    def _make_stream_version_rows(self, keeper: VersionKeeper) -> StreamVersionRows:
        return StreamVersionRows(
            self._reactor,
            self._store,
            self._settings.node,
            keeper,
            lambda: self.book.known_router_count,
            self.state.unreadable_rows,
            self._rng,
        )

    def _make_pool_version_rows(self, ranks: MemberRanks) -> PoolVersionRows:
        rows = PoolVersionRows(
            self._reactor,
            self._store,
            self._versions.pools,
            ranks.rank_for,
            self.state.unreadable_rows,
            self._rng,
            self._log,
        )
        self._watch_gaps = WatchGaps(self._reactor.seconds)
        rows.store_is_away = lambda: self._watch_gaps.failing
        rows.versions_seen = self._stream_version_rows.versions_seen
        self._watch_gaps.on_gap = rows.handle_gap
        self._pauses.on_resumed = self._watch_gaps.note_pause
        self.peers.on_heard = self._watch_gaps.note_peer
        self._versions.on_versions_changed = rows.check
        self._versions.unrecorded = rows.unrecorded
        self._versions.unconfirmed = rows.unconfirmed
        return rows

    def _make_member_row(self) -> MemberRow:
        settings = self._settings
        member = Member(
            self.peers_address,
            settings.zone,
            settings.link_mbit_per_s,
            takes_relays=True,
            keeps_versions=True,
            tells_paths=True,
        )
        return MemberRow(
            self._reactor, self._store, settings.node, member, self._rng, lambda: self._stopping
        )

    def _connect_relay(self) -> None:
        """Let peers run requests for this router, and this router for them."""
        self.peers.on_relayed = RelayServer(self.forwarder.handle_relayed, self._log).serve
        self.peers.unreached_pools = self._links.unreached_pools
        self._links.on_lost = self.forwarder.withdraw_from_endpoints
        self.paths = PathFinder(
            self._reactor,
            self.book,
            self.relay.peers,
            self._links.reaches,
            self._links.unreached_pools,
            self.peers.send,
            self._rng,
            self._log,
        )
        self._links.on_doubt = self.paths.look_for
        self._links.link_delay_s = self._link_delay_s
        self._links.own_link_delay_s = lambda: self._own_link.waiting_s
        self._links.peak_link_delay_s = lambda: self._own_link.peak_delay_s
        self._links.knows_link_delay = lambda: self.paths.knows_link_delay
        self.paths.heard_s = lambda: self.peers.received_s
        self._own_link.heard_s = lambda: self.peers.received_s
        self.paths.on_link_delay_known = self._links.judge_failures
        self.relay.link_is_busy = lambda: self._own_link.delay_s >= own_link.BUSY_S
        self.relay.added_timeout_s = lambda: self._links.added_timeout_s
        self.peers.added_timeout_s = lambda: self._links.added_timeout_s
        self.accounts.added_wait_s = lambda: self._links.added_timeout_s
        self.peers.on_path_question = self.paths.receive_question
        self.peers.on_path_answer = self.paths.receive_answer
        self._quarantines.crashes.on_suspects = self.peers.announce_soon
        self._quarantines.on_part_held = self.forwarder.withdraw_fatal

    def _link_delay_s(self) -> float:
        """Return the delay of the own link, by what is known of it."""
        return max(self._own_link.delay_s, self.paths.link_delay_s)

    def _announce_account(self) -> None:
        """Announce a written account row, which a rollback of the store would lose."""
        if self._store.eras.known is not None:
            self.peers.announce_soon()

    def _add_seeds(self) -> None:
        for seed in self._settings.seeds:
            host, _, _ = seed.rpartition(":")
            self.book.add(f"{host}:{self._settings.peers_port}")

    def _make_pool(self, address: str, on_head) -> OutboundPool:
        host, _, port = address.rpartition(":")
        return OutboundPool(
            self._reactor,
            (host, int(port)),
            _CONNECT_TIMEOUT_S,
            self._logs.exception,
            on_head,
            self._endpoint_link_use,
        )

    def _warm_up_traits(self, pool: str) -> WarmUpTraits | None:
        routes = self.state.routes
        endpoint_pool = routes.pools.get(pool) if routes is not None else None
        return endpoint_pool.warm_up if endpoint_pool is not None else None

    def _make_forwarder(self) -> Forwarder:
        return Forwarder(
            self._reactor,
            self._dialect,
            ForwardingRules.from_settings(self._settings),
            self.state,
            self.endpoints,
            self.accounts,
            self._quarantines,
            lambda: self.book.known_router_count,
            self._versions,
            self._links,
            self.relay,
            self._log,
            self._metrics,
            self._rng,
        )

    def _list_feeds(self, sources: SourcesBase):
        for table, wait_s, listener in sources.feeds(self.state):
            # The configuration has the shortest timeout; its polls confirm that it is the newest.
            confirms = wait_s <= _CONFIGURATION_WAIT_S
            on_answer = self.state.confirm if confirms else None
            yield table, wait_s, listener, on_answer, self._make_poll_schedule(confirms)
        members = MembersListener(self.book, self.state.unreadable_rows)
        pace = FleetPollSchedule(self.peers.overlay, _MEMBERS_POLL_DELAY_S)
        yield MEMBERS_TABLE, _MEMBERS_WAIT_S, members, None, pace

    def _make_poll_schedule(self, holds_configuration: bool) -> PollScheduleBase:
        """Return the rule for how often a table of configuration or endpoints is polled."""
        if holds_configuration:
            return PeerConfirmedPollSchedule(self.peers.overlay, _ROWS_POLL_DELAY_S, self.state)
        return FleetPollSchedule(self.peers.overlay, _ROWS_POLL_DELAY_S)

    def _make_health_listener(self, table: str, listener: FeedListenerBase):
        def on_health(reachable: bool, cause: str = "") -> None:
            if isinstance(listener, EndpointsListener):
                self._watch_gaps.note_poll(reachable)
            if reachable:
                self.accounts.note_store_reachable()
            else:
                self._store_failed_s = self._reactor.seconds()
            if self._feed_health.get(table) == reachable:
                return
            self._feed_health[table] = reachable
            if reachable:
                self._log.belief("store.regained", table=table)
            else:
                self._log.belief("store.lost", table=table, cause=cause)

        return on_health

    def _entries_may_be_stale(self) -> bool:
        """Return whether entries may be out of date, as calls to the store fail or soon may."""
        # Asked first, as it notices a pause that has just ended.
        paused = self._pauses.latest_within(_STALE_AFTER_PAUSE_S) is not None
        return paused or not all(self._feed_health.values())

    def _table_is_doubtful(self) -> bool:
        """Return whether peers may know newer entries and this router may not have heard of it."""
        stale = self._entries_may_be_stale()
        return stale or self.state.unconfirmed_for_s() > _STORE_UNREACHABLE_AFTER_S

    def _resumed_lately(self) -> Pause | None:
        """Return the pause after which entries may still be about to be updated, if any."""
        return self._pauses.latest_within(_CATCH_UP_S)

    def _make_reread_listener(self, table: str):
        def on_reread(reread: Reread) -> None:
            self._log.belief(
                "store.read_again",
                table=table,
                cause=reread.cause,
                version=reread.read_version,
                known=reread.known_version,
            )

        return on_reread

    def _handle_store_rollback(self, era: int) -> None:
        """Rewrite the rows of this router that the store may have lost."""
        self._metrics.store_rollbacks.inc()
        self._log.belief("store.returned", era=era)
        self._quarantines.handle_rollback()
        self._pool_version_rows.handle_rollback()
        self._stream_version_rows.handle_rollback()
        self._member_row.write()

    # Start.

    def start(self) -> None:
        """Listen on all ports, and start the feeds and periodic tasks."""
        self._listen(self._settings.callers_address, self.callers)
        ready = InboundFactory(self._reactor, self._serve_ready, InboundLimits())
        self._listen(self._settings.ready_address, ready)
        self._listen(self.peers_address, self._peer_server)
        host, _, _ = self.peers_address.rpartition(":")
        self._ports.append(
            self._reactor.listenUDP(self._settings.peers_port, self.peers.exchange, interface=host)
        )
        if self._settings.metrics_port:
            metrics = InboundFactory(self._reactor, self._serve_metrics, InboundLimits())
            self._listen(f"{host}:{self._settings.metrics_port}", metrics)
        self._log.event(
            "process.started", zone=self._settings.zone, callers=self._settings.callers_address
        )
        for feed in self._feeds:
            feed.start()
        self.peers.start()
        self.accounts.start()
        self._quarantines.start()
        self._pool_version_rows.start()
        self._stream_version_rows.start()
        self._member_row.write()
        self._start_repeating(self._run_housekeeping, _HOUSEKEEPING_INTERVAL_S)
        self._start_repeating(self._pauses.note_running, CHECK_INTERVAL_S)
        self._start_repeating(self._check_intake, intake.CHECK_INTERVAL_S)
        self._start_repeating(self._own_link.check, own_link.CHECK_INTERVAL_S)
        self._start_repeating(self._traffic.check, link_traffic.CHECK_INTERVAL_S)
        self._start_repeating(self._log_statistics, _STATISTICS_INTERVAL_S)

    def _start_repeating(self, function, interval_s: float) -> task.LoopingCall:
        call = task.LoopingCall(function)
        call.clock = self._reactor
        call.start(interval_s, now=False)
        return call

    def _listen(self, address: str, factory) -> None:
        host, _, port = address.rpartition(":")
        self._ports.append(
            self._reactor.listenTCP(int(port), factory, backlog=1_024, interface=host)
        )

    # Serving.

    def _serve_ready(self, request: InboundRequest) -> None:
        if request.target != self._dialect.ready_path.encode():
            request.answer(404, [])
        else:
            request.answer(200 if self.ready else 503, [])

    def _serve_metrics(self, request: InboundRequest) -> None:
        if request.target.partition(b"?")[0] != self._settings.metrics_path.encode():
            request.answer(404, [])
            return
        metrics = self._metrics
        metrics.open_requests.set(len(self.forwarder.open_requests))
        metrics.link_delay.set(self._own_link.delay_s)
        metrics.lines_dropped.inc(self._log.take_dropped_count())
        metrics.peers_live.set(self.peers.overlay.live_routers - 1)
        metrics.configuration_version.set(self.state.configuration_version)
        metrics.unconfirmed_seconds.set(min(1e6, self.state.unconfirmed_for_s()))
        metrics.zones_drained.set(len(self.state.zone_orders.drained))
        metrics.set_unreadable_rows(self.state.unreadable_rows.counts())
        metrics.contents_quarantined.set(self.quarantine.quarantined_count)
        metrics.parts_quarantined.set(self._quarantines.parts.held_count)
        metrics.peer_messages_refused.set(self.peers.refused_count)
        metrics.endpoints_limited.set(self._limits.limited_count)
        metrics.set_pool_rates(self.endpoints.costs.rates.pools())
        metrics.tokens_strandable.set(self.accounts.strandable_tokens())
        metrics.tokens_free.set(self.accounts.free_tokens())
        request.answer(200, [(b"content-type", metrics.content_type)], metrics.text())

    def _state_changed(self, kind: str, source: str) -> None:
        handlers = {
            "configuration": self._configuration_changed,
            "endpoints": self._endpoints_changed,
            "zone_orders": self._zone_orders_changed,
        }
        handlers[kind](source)

    def _configuration_changed(self, source: str) -> None:
        configuration = self.state.routes.configuration
        self._versions.set_routes(self.state.routes)
        self.callers.limits = configuration.limits
        self._peer_server.limits = limits_with_relays(configuration.limits)
        self.accounts.set_limits(self.state.routes.workspaces, configuration.version)
        self._log.event(
            "configuration.adopted",
            version=configuration.version,
            source=source,
            routes=len(configuration.routes),
            workspaces=len(configuration.workspaces),
        )

    def _endpoints_changed(self, source: str) -> None:
        since_failure_s = self._reactor.seconds() - self._store_failed_s
        self.endpoints.set_entries(self.state.endpoints, since_failure_s <= _OUTAGE_EXPIRY_S)
        entries = self.state.endpoints.values()
        self._versions.set_entries(record.entry for record in self.endpoints.all())
        self._log.event(
            "endpoints.adopted",
            version=self.state.endpoints_version,
            source=source,
            endpoints=len(entries),
            leaving=[entry.incarnation for entry in entries if entry.leaving],
            cold=self.endpoints.cold_incarnations(),
        )

    def _zone_orders_changed(self, source: str) -> None:
        drained = self.state.zone_orders.drained
        self.endpoints.set_drained_zones(drained)
        endpoints = [entry for entry in self.state.endpoints.values() if entry.zone in drained]
        self._log.event(
            "zones.drained",
            zones=sorted(drained),
            source=source,
            endpoints=len(endpoints),
            orders=[msgspec.to_builtins(order) for order in self.state.zone_orders.all()],
        )

    def _check_intake(self) -> None:
        self._intake.check()
        self.callers.sheds_connections = self._intake.spared

    def _run_housekeeping(self) -> None:
        now_s = self._reactor.seconds()
        if self.state.unconfirmed_for_s() > _STORE_UNREACHABLE_AFTER_S:
            self._store_reachable_since_s = now_s
        self._quarantines.record_live_incarnations(
            self.endpoints.incarnations_with_entry(), self._store_reachable_since_s
        )
        self.endpoints.drop_lapsed()
        for address in self.book.remove_replaced():
            self._log.belief("member.removed", address=address, members=self.book.max_router_count)
        for record in self.endpoints.all():
            record.pool.trim(now_s)
        self._log.flush()

    def _log_statistics(self) -> None:
        """Log the calls to the store, open requests and numbers of routers."""
        overlay = self.peers.overlay
        self._log.event(
            "process.figures",
            store_calls=self._metrics.store_call_counts(),
            open_requests=len(self.forwarder.open_requests),
            ended=self._metrics.ended_counts(),
            link_kb=self._traffic.totals_kb(),
            delay_ms=self._intake.delay_ms,
            link_delay_ms=self._own_link.delay_ms,
            members=self.book.max_router_count,
            live=overlay.live_routers,
            tells_others=overlay.publishes_updates,
            drained=sorted(self.state.zone_orders.drained),
        )

    # Reload and stop.

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed seeds and stop limit; other changes need a restart and are ignored."""
        changed = [
            key
            for key in settings.__struct_fields__
            if getattr(settings, key) != getattr(self._settings, key)
        ]
        self._settings = msgspec.structs.replace(
            self._settings, seeds=settings.seeds, stop_limit_s=settings.stop_limit_s
        )
        self._add_seeds()
        self._log.event("process.reloaded", changed=changed)

    def stop(self) -> None:
        """Begin a planned shutdown, which aborts no open request before the stop limit."""
        if self._stopping:
            return
        self._stopping = True
        self.peers.stopping = True
        self.callers.draining = True
        self.accounts.stop()
        self._log.event("process.stopping", open_requests=len(self.forwarder.open_requests))
        self._stop_started_s = self._reactor.seconds()
        self._stop_check = self._start_repeating(self._check_stopped, _STOP_CHECK_INTERVAL_S)

    def _check_stopped(self) -> None:
        if self._stopping_for_s >= _LINGER_S:
            self.forwarder.refuses_new_requests = True
            self._close_idle()
        # By then, connections on which nothing waits to be written have been closed.
        self._reactor.callLater(0, self._end_if_stopped)

    @property
    def _stopping_for_s(self) -> float:
        return self._reactor.seconds() - self._stop_started_s

    def _end_if_stopped(self) -> None:
        elapsed_s = self._stopping_for_s
        limit_s = self._settings.stop_limit_s - _STOP_MARGIN_S
        busy = self.callers.busy or self._peer_server.closing
        pending = busy or self.forwarder.open_requests or not self.accounts.settled
        if elapsed_s < limit_s and (pending or elapsed_s < _LINGER_S):
            return
        if not self._stop_check.running:
            return
        self._stop_check.stop()
        for forwarding in list(self.forwarder.open_requests):
            forwarding.end_at_stop()
        for feed in self._feeds:
            feed.stop()
        if not self.accounts.settled:
            self._log.failure("prepaid.not_returned")
        self._log.event("process.stopped")
        self._log.flush()
        self._reactor.callLater(_FINAL_WRITE_S, self.stopped.callback, None)

    def _close_idle(self) -> None:
        """Close connections without a request; peers' only once no request is relayed here."""
        self.callers.close_idle()
        if not self.forwarder.open_requests:
            self._peer_server.close_idle()
