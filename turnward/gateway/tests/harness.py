# SPDX-License-Identifier: BSD-3-Clause
"""Test harness: gateways, endpoints, callers and the store on an in-memory network."""

import random

import msgspec
from twisted.internet.protocol import ClientFactory, Protocol

from turnward.gateway import (
    Configuration,
    Dialect,
    EndpointEntry,
    EndpointPool,
    EngineTraits,
    GatewayMetrics,
    GatewayProcess,
    GatewaySettings,
    RetryPolicy,
    Route,
    WeightedPool,
    Workspace,
    new_incarnation,
)
from turnward.gateway.load_controls import LoadControls
from turnward.gateway.mechanisms import Mechanisms
from turnward.gateway.standalone import StandaloneSources
from turnward.http1 import InboundFactory, InboundLimits, header_value
from turnward.standins import MemoryNetwork, MemoryRows, RowsClient

HOST = b"shop.example"
KEY = b"key-one"
DIALECT = Dialect()
CALLERS_PORT = 80
READY_PORT = 81
PEERS_PORT = 82
ENDPOINT_PORT = 8000


class ListLog:
    """A gateway log that keeps its lines in a list."""

    def __init__(self):
        self.lines: list[dict] = []

    def event(self, event, **fields):
        self.lines.append({"event": event, **fields})

    failure = belief = ending = event

    def flush(self):
        """Do nothing; no line is buffered."""

    def take_dropped_count(self):
        return 0

    def of(self, event):
        return [line for line in self.lines if line["event"] == event]


class UnusedPool:
    """A connection pool of an endpoint that nothing is sent to."""

    oldest_open_s = None

    def close(self):
        """Do nothing; no connection is open."""

    def has_connection_since(self, time_s):
        return False


class Endpoint:
    """A scripted endpoint.

    Parameters
    ----------
    behave : callable
        Called with the endpoint and each request; sends the response.

    Attributes
    ----------
    disconnected : list
        Requests whose connection the gateway closed.
    answers_early : bool
        Whether ``behave`` is called before the request body has been received.
    """

    def __init__(self, harness, host, endpoint_id, pool, behave):
        self.machine = harness.network.machine(host)
        self.endpoint_id = endpoint_id
        self.pool = pool
        self.address = f"{host}:{ENDPOINT_PORT}"
        self.behave = behave
        self.requests = []
        self.bodies = []
        self.disconnected = []
        self.answers_early = False
        self.factory = InboundFactory(self.machine, self._handle, InboundLimits())
        self.machine.listenTCP(ENDPOINT_PORT, self.factory)

    def _handle(self, request):
        self.requests.append(request)
        request.on_disconnect = lambda: self.disconnected.append(request)
        expected = header_value(request.headers, DIALECT.expected_endpoint)
        if expected is not None and expected != self.endpoint_id.encode():
            request.answer(421, [])
            return
        if self.answers_early:
            self.behave(self, request)
            return
        parts = []
        request.attach(parts.append, lambda: self._body_ended(request, parts))

    def _body_ended(self, request, parts):
        self.bodies.append(b"".join(parts))
        self.behave(self, request)

    def entry(self, **changes):
        entry = EndpointEntry(
            endpoint_id=self.endpoint_id, pool=self.pool, address=self.address, slots=4
        )
        return msgspec.structs.replace(entry, **changes)

    def ids(self):
        return [header_value(request.headers, DIALECT.request_id) for request in self.requests]


def answer_head(request, seal=b"seal"):
    request_id = header_value(request.headers, DIALECT.request_id)
    return [(DIALECT.request_id, request_id), (DIALECT.answer_seal, seal)]


def answer_ok(endpoint, request, body=b"fine"):
    """Answer with 200 and a body."""
    request.answer(200, answer_head(request), body)


def answer_not_run(endpoint, request):
    """Answer that the request has not been run."""
    request.answer(503, [(DIALECT.not_run, b"1")])


def never_answer(endpoint, request):
    """Leave the request unanswered."""


def abort_connection(endpoint, request):
    """Reset the connection."""
    request.abort()


def raw_answer(data):
    """Return a ``behave`` that writes raw bytes, with ``<id>`` replaced by the request id."""

    def behave(endpoint, request):
        request_id = header_value(request.headers, DIALECT.request_id)
        request._connection.transport.write(data.replace(b"<id>", request_id))

    return behave


def encode_events(first, last, size=5):
    """Return encoded events with consecutive ids."""
    return b"".join(
        b"id: %d\ndata: %b\n\n" % (number, b"x" * size) for number in range(first, last + 1)
    )


def stream_events(count, up_to=None, then=None):
    """Return a ``behave`` that streams ``count`` events, or fewer, up to ``up_to``.

    ``then`` is called in place of finishing the response.
    """

    def behave(endpoint, request):
        after = header_value(request.headers, DIALECT.last_event_id)
        first = int(after) + 1 if after else 1
        request.start(200, [*answer_head(request), (b"content-type", b"text/event-stream")], None)
        request.write(encode_events(first, count if up_to is None else up_to))
        if then is None:
            request.finish()
        else:
            then(endpoint, request)

    return behave


class Caller(Protocol):
    """A caller's connection: the bytes received and the reason why it was closed, if so."""

    def __init__(self):
        self.received = b""
        self.closed = None

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason):
        self.closed = reason

    @property
    def status(self):
        return int(self.received.split(b" ", 2)[1]) if self.received else None

    @property
    def body(self):
        return self.received.partition(b"\r\n\r\n")[2]

    def header(self, name):
        head = self.received.partition(b"\r\n\r\n")[0].lower()
        for line in head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key == name.lower():
                return value.strip()
        return None


class _CallerFactory(ClientFactory):
    def __init__(self, caller):
        self._caller = caller

    def buildProtocol(self, addr):
        return self._caller


class Harness:
    """A small in-memory deployment with one or more gateways."""

    #: Share of each token limit withheld as the end reserve.
    budget_reserve_share = 0.0
    #: Switches of gateways started after they are set.
    mechanisms = Mechanisms()
    load_controls = LoadControls()
    #: Widths of the links of some gateways, by number; the others' links take no time.
    links_mbit_per_s: dict[int, float] = {}
    #: Addresses of other routers that gateways know from their settings.
    seeds = ("10.1.0.1:9", "10.1.0.2:9")

    def __init__(self, routes=None, pools=None, workspaces=None, **route_fields):
        self.network = MemoryNetwork()
        self.rows = MemoryRows(self.network.clock)
        self.gateways: list[GatewayProcess] = []
        self.machines = []
        self.clients = []
        self.logs: list[ListLog] = []
        self.endpoints: list[Endpoint] = []
        self._connections = 0
        self._request_count = 0
        self._version = 0
        self.configuration = Configuration(
            version=1,
            routes=tuple(routes or (self.route(**route_fields),)),
            pools=tuple(pools or (EndpointPool(name="pool"),)),
            workspaces=tuple(workspaces or (Workspace(name="acme", keys=(KEY.decode(),)),)),
            needs_keys=True,
        )

    @staticmethod
    def route(**fields):
        defaults = {
            "name": "r",
            "host": HOST.decode(),
            "path_prefix": "/a/",
            "pools": (WeightedPool("pool"),),
            "repeat": RetryPolicy.ANY,
            "attempts": 2,
            "time_limit_s": 5.0,
        }
        return Route(**{**defaults, **fields})

    def configure(self, **changes):
        """Write a new version of the configuration with some fields changed."""
        self.configuration = msgspec.structs.replace(
            self.configuration, version=self.configuration.version + 3, **changes
        )
        self.rows.put("configuration", "all", msgspec.json.encode(self.configuration))

    def endpoint(self, behave, pool="pool", announce=True):
        number = len(self.endpoints) + 1
        endpoint = Endpoint(self, f"10.9.0.{number}", f"e-{number}", pool, behave)
        self.endpoints.append(endpoint)
        if announce:
            self.announce(endpoint)
        return endpoint

    def announce(self, endpoint, **changes):
        value = msgspec.json.encode(endpoint.entry(**changes))
        self.rows.put("endpoints", endpoint.endpoint_id, value)

    def gateway(self, start=True):
        """Add a gateway on a new machine."""
        link_mbit_per_s = self.links_mbit_per_s.get(len(self.gateways))
        number = len(self.gateways) + 1
        machine = self.network.machine(f"10.1.0.{number}", link_mbit_per_s)
        return self.run_gateway(machine, f"node-{number}", start)

    def run_gateway(self, machine, node, start=True, started_s=None):
        """Add a gateway on a given machine, whose process may have started some time ago."""
        host = machine.host
        settings = GatewaySettings(
            node=node,
            zone="z",
            callers_address=f"{host}:{CALLERS_PORT}",
            ready_address=f"{host}:{READY_PORT}",
            store_address="10.0.0.1:1",
            peers_port=PEERS_PORT,
            seeds=list(self.seeds),
            budget_reserve_share=self.budget_reserve_share,
            mechanisms=self.mechanisms,
            load_controls=self.load_controls,
            link_mbit_per_s=self.links_mbit_per_s.get(len(self.gateways), 0.0),
        )
        log = ListLog()
        client = RowsClient(self.rows, machine)
        process = GatewayProcess(
            machine,
            settings,
            new_incarnation(node),
            DIALECT,
            client,
            StandaloneSources(),
            log,
            GatewayMetrics(),
            random.Random(len(self.gateways)),
            started_s,
        )
        self.machines.append(machine)
        self.clients.append(client)
        self.logs.append(log)
        self.gateways.append(process)
        if start:
            process.start()
        return process

    def ready(self, gateways=1):
        """Write the configuration, start gateways and wait until they are ready."""
        self.rows.put("configuration", "all", msgspec.json.encode(self.configuration))
        for _ in range(gateways):
            self.gateway()
        assert self.network.advance_until(lambda: all(g.ready for g in self.gateways))
        return self

    def watch_pools(self):
        """Wait until the gateways know all versions whose streams may still go on."""
        pools = {entry.pool for entry in self.gateways[0].state.endpoints.values()}
        keepers = [gateway.forwarder.versions for gateway in self.gateways]
        assert self.network.advance_until(
            lambda: all(keeper.pools.knows_past(pool) for keeper in keepers for pool in pools),
            limit_s=60.0,
        )

    def connect(self, gateway=0, port=CALLERS_PORT):
        """Open a caller's connection to a gateway and return it."""
        self._connections += 1
        machine = self.network.machine(f"10.7.0.{self._connections}")
        caller = Caller()
        caller.machine = machine
        machine.connectTCP(self.machines[gateway].host, port, _CallerFactory(caller))
        self.network.advance(0.01)
        return caller

    def request_bytes(
        self, method=b"GET", path=b"/a/x", body=None, key=KEY, request_id=None, headers=()
    ):
        """Return an encoded request."""
        self._request_count += 1
        request_id = request_id or b"id-%d" % self._request_count
        lines = [method + b" " + path + b" HTTP/1.1", b"Host: " + HOST]
        lines.append(b"Request-Id: " + request_id)
        if key is not None:
            lines.append(b"Authorization: Bearer " + key)
        lines.extend(name + b": " + value for name, value in headers)
        if body is not None:
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")

    def send(self, gateway=0, **fields):
        """Send a request on a new connection and return the connection."""
        caller = self.connect(gateway)
        caller.transport.write(self.request_bytes(**fields))
        return caller

    def ask(self, gateway=0, limit_s=10.0, **fields):
        """Send a request, wait for the complete response and return the connection."""
        caller = self.send(gateway, **fields)
        self.network.advance_until(lambda: answered(caller), limit_s)
        return caller

    def prompt(self, tokens, output, parts=b""):
        """Return the headers that describe a prompt."""
        return (
            (b"Token-Count", b"%d,%d" % (tokens, output)),
            (b"Prompt-Parts", parts or b"aa:%d" % tokens),
        )


def answered(caller):
    """Return whether a complete response has arrived or the connection has closed."""
    if caller.closed is not None:
        return True
    head, separator, body = caller.received.partition(b"\r\n\r\n")
    if not separator:
        return False
    if b"transfer-encoding: chunked" in head.lower():
        return body.endswith(b"0\r\n\r\n")
    length = caller.header(b"content-length")
    return length is not None and len(body) >= int(length)


def decode_chunked(body):
    """Decode a chunked body; return the content and whether the last chunk has arrived."""
    content = b""
    while True:
        size, separator, rest = body.partition(b"\r\n")
        if not separator:
            return content, False
        length = int(size, 16)
        if length == 0:
            return content, True
        if len(rest) < length + 2:
            return content + rest[:length], False
        content += rest[:length]
        body = rest[length + 2 :]


ENGINE_POOL = EndpointPool(name="pool", engine=EngineTraits(slots=8, event_tokens=5))
