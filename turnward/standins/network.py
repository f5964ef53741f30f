# SPDX-License-Identifier: BSD-3-Clause
"""Machines in one process, joined by connections in memory, under one fake clock.

Each machine looks like twisted's reactor to the code that runs on it. Machines
are killed, frozen and cut off from each other by name, so that a test brings
about a failure at a chosen moment and no socket, port or real time is used.
"""

from abc import ABC, abstractmethod
from bisect import insort
from collections import deque

from twisted.internet import error, task
from twisted.internet.address import IPv4Address
from twisted.internet.base import DelayedCall
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

__all__ = ["MemoryMachine", "MemoryNetwork"]

#: Seconds a packet is on its way.
DELAY_S = 0.001
#: Bytes of each packet that opens a connection.
OPENING_BYTES = 60
#: Bytes under way on a connection above which its writer is asked to pause.
WINDOW_BYTES = 65_536
#: Bytes of one connection that go over a link at once, so that connections share it.
PIECE_BYTES = 8_192


class _SortedClock(task.Clock):
    """Twisted's fake clock, its calls kept in order instead of sorted again for each.

    Four plays of a fleet of 40 routers take 22 s instead of 90 s; 9 in 10 parts went into sorting.
    """

    def callLater(self, when, what, *args, **kwargs):  # noqa: N802
        """See ``IReactorTime.callLater``."""
        call = DelayedCall(
            self.seconds() + when, what, args, kwargs, self.calls.remove, self._sort, self.seconds
        )
        insort(self.calls, call, key=DelayedCall.getTime)
        return call

    def advance(self, amount):
        """Let time pass, and call what has become due."""
        self.rightNow += amount
        while self.calls and self.calls[0].getTime() <= self.seconds():
            call = self.calls.pop(0)
            call.called = 1
            call.func(*call.args, **call.kw)

    def _sort(self, _call):
        self.calls.sort(key=DelayedCall.getTime)


class MemoryNetwork:
    """The machines and the clock they share.

    Attributes
    ----------
    clock : twisted.internet.task.Clock
        Advanced by the test.
    datagrams_wait : bool
        Whether datagrams wait behind connections at narrow links, or pass them.
    """

    def __init__(self):
        self.clock = _SortedClock()
        self._machines: dict[str, MemoryMachine] = {}
        self._cuts: set[frozenset[str]] = set()
        self._refused: set[frozenset[str]] = set()
        self.datagrams_wait = True

    def machine(self, host: str, link_mbit_per_s: float | None = None) -> "MemoryMachine":
        """Return a new machine at an IP number; its link is as wide as named, or takes no time."""
        machine = MemoryMachine(self, host, link_mbit_per_s)
        self._machines[host] = machine
        return machine

    def find(self, host: str) -> "MemoryMachine | None":
        """Return the machine at an IP number."""
        return self._machines.get(host)

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two machines; both sides hear nothing of it."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Let everything pass again, what was held up first."""
        self._cuts.discard(frozenset((one, other)))

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two machines are cut off from each other."""
        return frozenset((one, other)) in self._cuts

    def refuse(self, one: str, other: str) -> None:
        """Refuse new connections between two machines; open ones live on."""
        self._refused.add(frozenset((one, other)))

    def accept(self, one: str, other: str) -> None:
        """Accept new connections between two machines again."""
        self._refused.discard(frozenset((one, other)))

    def is_refused(self, one: str, other: str) -> bool:
        """Tell whether new connections between two machines are refused."""
        return frozenset((one, other)) in self._refused

    def reset(self, one: str, other: str) -> None:
        """Reset the open connections between two machines."""
        for machine in (self._machines[one], self._machines[other]):
            for connection in list(machine.connections):
                if connection.peer.host in (one, other) and connection.host in (one, other):
                    connection.break_off()

    def advance(self, seconds: float, step_s: float = 0.005) -> None:
        """Let time pass in small steps."""
        end_s = self.clock.seconds() + seconds
        while self.clock.seconds() < end_s - 1e-9:
            self.clock.advance(min(step_s, end_s - self.clock.seconds()))

    def advance_until(self, condition, limit_s: float = 10.0) -> bool:
        """Let time pass until a condition holds; False when it does not in time."""
        end_s = self.clock.seconds() + limit_s
        while self.clock.seconds() < end_s:
            if condition():
                return True
            self.clock.advance(0.002)
        return condition()


class _LinkBase(ABC):
    """One direction of a machine's link."""

    def __init__(self):
        self.carried_bytes = 0

    @abstractmethod
    def carry(self, size_bytes: int, arrived, *args) -> None:
        """Call ``arrived`` once as many bytes are through."""


class _NarrowLink(_LinkBase):
    """A link of a width: what it carries goes through one after another."""

    def __init__(self, clock, mbit_per_s: float):
        super().__init__()
        self._clock = clock
        self._bytes_per_s = mbit_per_s * 1e6 / 8
        self._free_s = 0.0

    def carry(self, size_bytes, arrived, *args):
        now_s = self._clock.seconds()
        self._free_s = max(now_s, self._free_s) + size_bytes / self._bytes_per_s
        self.carried_bytes += size_bytes
        self._clock.callLater(self._free_s - now_s, arrived, *args)


class _OpenLink(_LinkBase):
    """A link on which nothing takes time."""

    def carry(self, size_bytes, arrived, *args):
        self.carried_bytes += size_bytes
        arrived(*args)


class MemoryMachine:
    """What code on one machine takes for the reactor.

    Attributes
    ----------
    up, down : _LinkBase
        What leaves the machine, and what reaches it.
    """

    def __init__(self, network: MemoryNetwork, host: str, link_mbit_per_s: float | None = None):
        self._network = network
        clock = network.clock
        self.narrow = link_mbit_per_s is not None
        self.up = _NarrowLink(clock, link_mbit_per_s) if self.narrow else _OpenLink()
        self.down = _NarrowLink(clock, link_mbit_per_s) if self.narrow else _OpenLink()
        self._calls: list = []
        self._frozen: list | None = None
        self.host = host
        self.alive = True
        self.listeners: dict[int, object] = {}
        self.datagram_listeners: dict[int, object] = {}
        self.connections: list[_MemoryTransport] = []
        self.next_port = 40_000

    # IReactorTime

    def seconds(self) -> float:
        """Return the shared clock's time."""
        return self._network.clock.seconds()

    def callLater(self, delay, function, *args, **kwargs):  # noqa: N802
        """Call a function later, if the machine lives and is awake then."""
        call = _MemoryCall(self, function, args, kwargs)
        call.start(self._network.clock, delay)
        self._calls.append(call)
        return call

    def callFromThread(self, function, *args):  # noqa: N802
        """Call a function soon."""
        self.callLater(0, function, *args)

    # IReactorTCP and IReactorUDP

    def listenTCP(self, port, factory, backlog=50, interface=""):  # noqa: N802
        """Accept connections at a port."""
        self.listeners[port] = factory
        factory.doStart()
        return _MemoryPort(self.listeners, interface, port)

    def connectTCP(self, host, port, factory, timeout=30):  # noqa: N802
        """Open a connection."""
        connector = _MemoryConnector(self, host, port, factory)
        connector.begin(timeout)
        return connector

    def listenUDP(self, port, protocol, interface=""):  # noqa: N802
        """Receive datagrams at a port."""
        self.datagram_listeners[port] = protocol
        protocol.makeConnection(_MemoryDatagrams(self, port))
        return _MemoryPort(self.datagram_listeners, interface, port)

    # Failures.

    def kill(self) -> None:
        """End the process: its connections are reset, its calls never come."""
        self.alive = False
        for call in list(self._calls):
            if call.active():
                call.cancel()
        self._calls.clear()
        self.listeners.clear()
        self.datagram_listeners.clear()
        for connection in list(self.connections):
            connection.vanish()

    def restart(self) -> None:
        """Let a killed machine run code again."""
        self.alive = True

    def freeze(self) -> None:
        """Stop the process between two calls; what is due waits."""
        self._frozen = []

    def wake(self) -> None:
        """Let a frozen process go on, with all that became due."""
        due, self._frozen = self._frozen or [], None
        for call in due:
            if call.active():
                call.run()

    def due(self, call: "_MemoryCall") -> None:
        """Run a call whose time has come, or keep it while the machine is frozen."""
        if not self.alive:
            return
        if self._frozen is not None:
            self._frozen.append(call)
        else:
            call.run()

    def forget(self, call: "_MemoryCall") -> None:
        """Drop a call that has run or was cancelled."""
        if call in self._calls:
            self._calls.remove(call)

    @property
    def network(self) -> MemoryNetwork:
        """The network."""
        return self._network

    def reaches(self, host: str) -> bool:
        """Tell whether packets pass to another machine."""
        return not self._network.is_cut(self.host, host)


class _MemoryCall:
    """A call that comes later; it can be cancelled until it runs, also while frozen."""

    def __init__(self, machine, function, args, kwargs):
        self._machine = machine
        self._function = function
        self._args = args
        self._kwargs = kwargs
        self._timer = None
        self._over = False

    def start(self, clock, delay):
        """Have the clock call."""
        self._timer = clock.callLater(delay, self._machine.due, self)

    def active(self):
        """Tell whether the call is still to come."""
        return not self._over

    def cancel(self):
        """Let the call never come."""
        if self._over:
            raise error.AlreadyCalled
        self._end()

    def run(self):
        """Call now."""
        self._end()
        self._function(*self._args, **self._kwargs)

    def _end(self):
        self._over = True
        if self._timer.active():
            self._timer.cancel()
        self._machine.forget(self)


class _MemoryPort:
    """A port that is listened on."""

    def __init__(self, listeners, host, port):
        self._listeners = listeners
        self._host = host
        self._port = port

    def getHost(self):  # noqa: N802
        """Return the address listened on."""
        return IPv4Address("TCP", self._host, self._port)

    def stopListening(self):  # noqa: N802
        """Accept no more."""
        self._listeners.pop(self._port, None)


class _MemoryDatagrams:
    """Sends datagrams of one machine."""

    def __init__(self, machine, port):
        self._machine = machine
        self._port = port

    def write(self, data, address):
        """Send; what can't pass is lost."""
        host, port = address
        machine = self._machine
        if not machine.reaches(host):
            return

        def arrive():
            other = machine.network.find(host)
            if other is None or not other.alive:
                return
            protocol = other.datagram_listeners.get(port)
            if protocol is not None:
                other.callLater(0, protocol.datagramReceived, data, (machine.host, self._port))

        network = machine.network

        def cross():
            other = network.find(host)
            waits = other is not None and network.datagrams_wait
            down = other.down if waits else _OpenLink()
            network.clock.callLater(DELAY_S, down.carry, len(data), arrive)

        up = machine.up if network.datagrams_wait else _OpenLink()
        up.carry(len(data), cross)


class _MemoryConnector:
    """One try to open a connection."""

    def __init__(self, machine, host, port, factory):
        self._machine = machine
        self._host = host
        self._port = port
        self._factory = factory
        self._timeout = None
        self._over = False

    def begin(self, timeout):
        """Send the opening packet."""
        self._timeout = self._machine.callLater(timeout, self._fail, error.TimeoutError())
        self._machine.up.carry(OPENING_BYTES, self._reach)

    def disconnect(self):
        """Give the try up."""
        self._fail(error.UserError())

    def _reach(self):
        """Let the opening packet reach the other machine, and its answer leave there."""
        other = self._machine.network.find(self._host)
        if other is None:
            self._return()
        else:
            other.down.carry(OPENING_BYTES, other.up.carry, OPENING_BYTES, self._return)

    def _return(self):
        self._machine.callLater(2 * DELAY_S, self._machine.down.carry, OPENING_BYTES, self._arrive)

    def _arrive(self):
        if self._over or not self._machine.reaches(self._host):
            return
        other = self._machine.network.find(self._host)
        factory = other.listeners.get(self._port) if other is not None and other.alive else None
        if factory is None or self._machine.network.is_refused(self._machine.host, self._host):
            self._fail(error.ConnectionRefusedError())
            return
        self._over = True
        self._timeout.cancel()
        _join(self._machine, self._factory, other, factory, self._port)

    def _fail(self, reason):
        if self._over:
            return
        self._over = True
        if self._timeout.active():
            self._timeout.cancel()
        self._factory.clientConnectionFailed(self, Failure(reason))


def _join(client, client_factory, server, server_factory, port):
    client.next_port += 1
    near = IPv4Address("TCP", client.host, client.next_port)
    far = IPv4Address("TCP", server.host, port)
    client_end = _MemoryTransport(client, near, far)
    server_end = _MemoryTransport(server, far, near)
    client_end.peer, server_end.peer = server_end, client_end
    accepted = server_factory.buildProtocol(near)
    server_end.protocol = accepted or Protocol()
    client_end.protocol = client_factory.buildProtocol(far)
    server_end.protocol.makeConnection(server_end)
    client_end.protocol.makeConnection(client_end)
    if accepted is None:
        server_end.loseConnection()


class _MemoryHandle:
    """Takes socket options."""

    def setsockopt(self, *_):
        """Take an option."""


class _MemoryTransport:
    """One end of a connection."""

    def __init__(self, machine, host, peer_address):
        self._machine = machine
        self._host = host
        self._peer_address = peer_address
        self._inbox: list = []
        self._paused = False
        self._producer = None
        self._producer_paused = False
        self._closing = False
        self._under_way = 0
        self._on_links = 0
        self._unsent: deque = deque()
        self.disconnected = False
        self.peer: _MemoryTransport | None = None
        self.protocol = None
        machine.connections.append(self)

    # ITCPTransport

    def write(self, data):
        """Send bytes."""
        if self.disconnected or self._closing or not data:
            return
        self._under_way += len(data)
        self._unsent.append(("data", bytes(data)))
        self._send_waiting()
        full = self._under_way > WINDOW_BYTES
        if full and self._producer is not None and not self._producer_paused:
            self._producer_paused = True
            self._producer.pauseProducing()

    def writeSequence(self, parts):  # noqa: N802
        """Send several byte strings."""
        self.write(b"".join(parts))

    def loseConnection(self):  # noqa: N802
        """Close once all is sent."""
        if not self.disconnected and not self._closing:
            self._closing = True
            self._unsent.append(("end", error.ConnectionDone()))
            self._send_waiting()
            self._machine.callLater(DELAY_S, self._lose, connectionDone.value)

    def abortConnection(self):  # noqa: N802
        """Reset."""
        if not self.disconnected:
            self._unsent.clear()
            self._send(("end", error.ConnectionLost()))
            self._closing = True
            self._machine.callLater(0, self._lose, error.ConnectionAborted())

    def registerProducer(self, producer, streaming):  # noqa: N802
        """Take who writes."""
        self._producer = producer

    def unregisterProducer(self):  # noqa: N802
        """Forget who writes."""
        self._producer = None

    def pauseProducing(self):  # noqa: N802
        """Read no more."""
        self._paused = True

    def resumeProducing(self):  # noqa: N802
        """Read on."""
        if self._paused:
            self._paused = False
            self._machine.callLater(0, self._read)

    def setTcpNoDelay(self, _):  # noqa: N802
        """Nothing to do."""

    def getHandle(self):  # noqa: N802
        """Return what takes socket options."""
        return _MemoryHandle()

    def getHost(self):  # noqa: N802
        """Return this end's address."""
        return self._host

    def getPeer(self):  # noqa: N802
        """Return the other end's address."""
        return self._peer_address

    # Packets.

    @property
    def host(self) -> str:
        """IP number of this end."""
        return self._machine.host

    def break_off(self):
        """End this end alone, as a reset from the network does."""
        self._machine.callLater(0, self._lose, error.ConnectionLost())

    def vanish(self):
        """End with the process; the other end is reset."""
        if not self.disconnected:
            self.disconnected = True
            self._unsent.clear()
            self._send(("end", error.ConnectionLost()))

    def _send_waiting(self):
        """Send what waits, as much as may be under way where a link takes time."""
        narrow = self._machine.narrow or self.peer._machine.narrow
        while self._unsent and (not narrow or self._on_links < WINDOW_BYTES):
            kind, value = self._unsent.popleft()
            if kind == "end":
                self._carry((kind, value), 0)
                return
            if narrow and len(value) > PIECE_BYTES:
                self._unsent.appendleft((kind, value[PIECE_BYTES:]))
                value = value[:PIECE_BYTES]
            self._on_links += len(value)
            self._carry((kind, value), len(value))

    def _carry(self, packet, size_bytes):
        self._machine.up.carry(size_bytes, self._cross, packet, size_bytes)

    def _cross(self, packet, size_bytes):
        down = self.peer._machine.down
        self._machine.network.clock.callLater(DELAY_S, down.carry, size_bytes, self._arrive, packet)

    def _send(self, packet):
        self._machine.network.clock.callLater(DELAY_S, self._arrive, packet)

    def _arrive(self, packet):
        if not self._machine.reaches(self.peer._machine.host):
            self._machine.network.clock.callLater(0.05, self._arrive, packet)
            return
        peer = self.peer
        peer._inbox.append(packet)
        peer._machine.callLater(0, peer._read)

    def _read(self):
        while self._inbox and not self._paused and not self.disconnected:
            kind, value = self._inbox.pop(0)
            if kind == "end":
                self._lose(value)
                return
            self.peer._acknowledge(len(value))
            self.protocol.dataReceived(value)

    def _acknowledge(self, count):
        self._under_way -= count
        self._on_links -= count
        if self._unsent:
            self._send_waiting()
        if self._producer_paused and self._under_way <= WINDOW_BYTES // 2:
            self._producer_paused = False
            if self._producer is not None and not self.disconnected:
                self._producer.resumeProducing()

    def _lose(self, reason):
        if self.disconnected:
            return
        self.disconnected = True
        if self in self._machine.connections:
            self._machine.connections.remove(self)
        self.protocol.connectionLost(Failure(reason))
