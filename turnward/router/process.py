# SPDX-License-Identifier: BSD-3-Clause
"""The router process: builds the components, registers, serves and shuts down."""

import msgspec
from twisted.internet import defer, task
from twisted.web import server

from turnward.callers.http_resource import CallerResource, LimitedSite
from turnward.callers.request_coordinator import RequestCoordinator
from turnward.endpoints import HttpEngineClient, HttpServiceClient
from turnward.events import EventLog, HybridClock, Metrics, SystemClock, get_log, matches
from turnward.fleet import RouterRow, RouterState
from turnward.http import HttpClient
from turnward.operators.http_resource import OperatorResource
from turnward.operators.states import RouterStatus, StateReader
from turnward.peers.link import PeerLinks
from turnward.peers.messages import (
    ConfigRequest,
    HandOver,
    HandOverAck,
    Heartbeat,
    HeartbeatAck,
    HoldClaim,
    HoldClaimAck,
    Message,
    MoveShard,
    PutRecords,
    RecordsAck,
    ReleaseHeldClaim,
    StatusReply,
    StatusRequest,
)
from turnward.router.bill_task import FlushBills
from turnward.router.config_task import ConfigTask, PeerRevision
from turnward.router.context import RouterContext
from turnward.router.core import RouterCore, new_incarnation
from turnward.router.endpoint_task import EndpointTask
from turnward.router.event_task import EventTask
from turnward.router.grant_task import ReturnTokens
from turnward.router.membership_task import MembershipTask
from turnward.router.pair_task import PairTask
from turnward.router.recovery_task import RecoveryTask
from turnward.settings import RouterSettings, parse_address
from turnward.store import HttpInstanceList, HttpObjectStore, HttpTable, PlatformError

__all__ = ["RouterProcess"]

_REGISTER_RETRY_S = 0.5
_SHUTDOWN_POLL_S = 0.1


class RouterProcess:
    """A router, from startup to shutdown.

    Parameters
    ----------
    context : RouterContext
        The settings, clients and state that the router's components share.
    """

    def __init__(self, context: RouterContext):
        self.context = context
        settings = context.settings
        self._log = get_log("router")
        self._registry = context.registry
        if context.peers is None:
            context.peers = PeerLinks(
                context.reactor, context.events.clock, settings.peer_timeout_s
            )
        context.peers.handler = self.answer_peer
        self.core = RouterCore(context, new_incarnation(settings.instance), self._replace_core)
        self.coordinator = RequestCoordinator(context, self._current_core)
        self.config = ConfigTask(context)
        self.recovery = RecoveryTask(context, self._current_core, self._replace_current_core)
        self.pairs = PairTask(context, self._current_core, self._replace_current_core)
        context.pairs = self.pairs
        self.membership = MembershipTask(
            context, self.config, self.recovery, self._current_core, self._replace_current_core
        )
        self._tasks = (
            self.config,
            self.recovery,
            self.membership,
            self.pairs,
            EndpointTask(context),
            EventTask(context),
        )
        self._ports: list = []
        self._incarnations: set[str] = set()
        self.stopped: defer.Deferred = defer.Deferred()

    @classmethod
    def from_config(cls, settings: RouterSettings, reactor) -> "RouterProcess":
        """Build a router that uses real sockets."""
        clock = SystemClock()
        http = HttpClient(reactor)
        run_http = HttpClient(reactor, persistent=False)
        url, timeout_s = settings.platform_url, settings.platform_timeout_s
        return cls(
            RouterContext(
                settings,
                reactor,
                clock,
                HttpTable(http, url, timeout_s),
                HttpObjectStore(http, url, timeout_s),
                HttpInstanceList(http, url, timeout_s),
                HttpEngineClient(run_http, http, settings.answer_timeout_s),
                HttpServiceClient(run_http, settings.answer_timeout_s),
                EventLog(HybridClock(clock), settings.instance, settings.zone),
                Metrics.from_config(settings.statsd_address),
            )
        )

    async def start(self) -> None:
        """Listen for peers and operators, load the configuration, register, then serve callers."""
        settings = self.context.settings
        self.context.peers.listen(settings.peers_address)
        states = StateReader(self.context, self.status)
        operators = OperatorResource(self.context, states, self.leave)
        self._listen(settings.operators_address, server.Site(operators))
        await self.start_tasks()
        callers = CallerResource(self.context, self.coordinator)
        self._listen(settings.callers_address, LimitedSite(callers, settings))
        self._log.info("The router serves.", incarnation=self.core.incarnation)

    async def start_tasks(self) -> None:
        """Register and start the tasks, without opening any listening port."""
        await self._register_and_start(self.core)
        for component in self._tasks:
            component.start()

    def unexpected_failures(self) -> int:
        """Return the number of message batches that failed with an unhandled exception."""
        return sum(component.unexpected_failures for component in (*self._tasks, *self.core.tasks))

    def _listen(self, address: str, site) -> None:
        host, port = parse_address(address)
        self._ports.append(self.context.reactor.listenTCP(port, site, interface=host))

    async def _register_and_start(self, core: RouterCore) -> None:
        """Register an incarnation and start its tasks; retried until the platform responds."""
        while self.context.machine.state not in ("leaving", "left"):
            try:
                if not self.config.loaded:
                    await self.config.load()
                await self._registry.register(self._row(core.incarnation))
                break
            except PlatformError as error:
                self._log.info("The platform is not reached yet.", cause=str(error))
                await task.deferLater(self.context.reactor, _REGISTER_RETRY_S)
        self._incarnations.add(core.incarnation)
        self.context.peers.incarnation = core.incarnation
        self.context.events.incarnation = core.incarnation
        core.start()
        if self.context.machine.fire("registered"):
            self.context.events.emit("router.registered")

    def _row(self, incarnation: str) -> RouterRow:
        settings = self.context.settings
        return RouterRow(
            incarnation,
            settings.instance,
            settings.zone,
            settings.region,
            settings.peers_address,
            settings.operators_address,
            RouterState.LIVE,
        )

    def _current_core(self) -> RouterCore:
        return self.core

    def _replace_current_core(self) -> None:
        self._replace_core(self.core)

    def _replace_core(self, core: RouterCore) -> None:
        """Stop a fenced incarnation and continue as a new one."""
        if core is not self.core or core.successor is not None:
            return
        core.fenced = True
        self.context.machine.fire("lost")
        self.context.events.emit("router.fenced", of=core.incarnation)
        self._log.warning("This router was fenced.", incarnation=core.incarnation)
        successor = RouterCore(
            self.context, new_incarnation(self.context.settings.instance), self._replace_core
        )
        self.core = successor
        core.hand_over(successor)
        defer.ensureDeferred(self._register_and_start(successor))

    async def answer_peer(self, incarnation: str, message: Message) -> Message:
        """Return the answer to another router's message."""
        context = self.context
        if isinstance(message, Heartbeat):
            context.last_heartbeat_s[incarnation] = context.now_s()
            if message.revision > context.config.revision:
                self.config.tell(PeerRevision(incarnation, message.revision))
            return HeartbeatAck(context.config.revision)
        if isinstance(message, PutRecords):
            return RecordsAck(context.book.put(incarnation, message.records, message.dropped))
        if isinstance(message, HandOver):
            records = context.book.close(message.fenced)
            return HandOverAck(records, message.holder in self._incarnations)
        if isinstance(message, ConfigRequest):
            return self.config.entries_after(message.after)
        if isinstance(message, HoldClaim | ReleaseHeldClaim | MoveShard):
            return self._answer_claim(message)
        if isinstance(message, StatusRequest):
            return StatusReply(msgspec.json.encode(self._status_body(message.kind)))
        return RecordsAck(False)

    def _answer_claim(self, message) -> Message:
        holder = self.pairs.holder
        match message:
            case HoldClaim(shard=shard, epoch=epoch, claim=claim):
                return HoldClaimAck(holder.hold(shard, epoch, claim))
            case MoveShard(row=row, claims=claims):
                return RecordsAck(holder.install(row, claims))
        released = holder.release(message.shard, message.epoch, message.key, message.token)
        return RecordsAck(released)

    def _status_body(self, kind: str):
        name, _, argument = kind.partition("/")
        if name == "silent":
            last_heartbeat_s = self.context.last_heartbeat_s.get(argument)
            return None if last_heartbeat_s is None else self.context.now_s() - last_heartbeat_s
        if name == "events":
            filters = msgspec.json.decode(argument.encode())
            return [event for event in self.context.events.recent() if matches(event, **filters)]
        return self.status()

    def status(self) -> RouterStatus:
        """Return the status that this router reports to operators."""
        context = self.context
        core = self.core
        outbox = core.records.outbox
        endpoints = {
            view.name: {"state": view.machine.state, "in_flight": view.in_flight}
            for view in context.views.all()
        }
        return RouterStatus(
            context.settings.instance,
            core.incarnation,
            context.settings.zone,
            context.machine.state,
            context.config.revision,
            self.coordinator.open_count,
            len(core.bills.writer.pending),
            context.book.count(),
            self.pairs.holder.count(),
            self.pairs.blocked_shards(),
            context.peers.sent_bytes,
            context.peers.received_bytes,
            {buddy: outbox.unsent_count(buddy) for buddy in core.records.buddies},
            endpoints,
            {budget: core.ledger.free_tokens(budget) for budget in core.ledger.budgets()},
            {name: str(state) for name, state in self.recovery.states.items()},
            dict(context.metrics.counters),
            self._advice(),
        )

    def _advice(self) -> list[str]:
        advice = []
        if not self.core.records.buddies:
            advice.append("no buddy: records go to the table; see docs/operators/no-buddy.md")
        if self.pairs.blocked_shards():
            advice.append("claim shards blocked; see docs/operators/blocked-claims.md")
        if self.context.metrics.counters["bills.orphaned"]:
            advice.append("orphaned bills; see docs/operators/orphaned-bills.md")
        return advice

    def leave(self) -> None:
        """Start the planned shutdown."""
        if self.context.machine.fire("leave"):
            self.context.events.emit("router.leaving")
            defer.ensureDeferred(self._leave())

    async def _leave(self) -> None:
        context = self.context
        deadline_s = context.now_s() + context.settings.stop_limit_s
        await self._ignore_outage(
            self._registry.set_field(self.core.incarnation, "state", "leaving")
        )
        await self._pause(context.settings.drain_grace_s)
        for port in self._ports[1:]:
            port.stopListening()
        while self.coordinator.open_count and context.now_s() < deadline_s:
            await self._pause(_SHUTDOWN_POLL_S)
        while context.now_s() < deadline_s and not await self._emptied():
            await self._pause(_SHUTDOWN_POLL_S)
        await self._ignore_outage(self._registry.leave(self.core.incarnation))
        context.events.emit("router.left")
        await self._ship_last_events()
        context.machine.fire("emptied")
        self._close()

    async def _emptied(self) -> bool:
        """Flush bills, return grants, and return whether no other router depends on this one."""
        pending_bills: defer.Deferred = defer.Deferred()
        self.core.bills.tell(FlushBills(pending_bills))
        if await pending_bills:
            return False
        held_tokens: defer.Deferred = defer.Deferred()
        self.core.grants.tell(ReturnTokens(held_tokens))
        if await held_tokens:
            return False
        own = self.core.incarnation
        is_buddy = any(own in row.buddies for row in self.context.live_rows())
        is_recoverer = any(
            row.state is RouterState.FENCED and row.recoverer == own
            for row in self.context.rows.values()
        )
        return not is_buddy and not is_recoverer

    async def _ship_last_events(self) -> None:
        event_task = self._tasks[-1]
        await self._ignore_outage(event_task.handle([]))

    async def _ignore_outage(self, coroutine) -> None:
        try:
            await coroutine
        except PlatformError as error:
            self._log.info("The platform did not answer.", cause=str(error))

    async def _pause(self, seconds: float) -> None:
        await task.deferLater(self.context.reactor, seconds)

    def _close(self) -> None:
        for component in (*self._tasks, self.core):
            component.stop()
        for port in self._ports[:1]:
            port.stopListening()
        self.context.peers.close()
        self._log.info("The router has left.")
        self.stopped.callback(None)
