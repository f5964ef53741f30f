# SPDX-License-Identifier: BSD-3-Clause
"""Runs the serving commands on Twisted's reactor."""

import signal

from twisted.internet import defer
from twisted.web import server

from turnward.events import configure_logs, get_log
from turnward.gateway import Dialect, load_gateway_settings, serve_gateway
from turnward.gateway.standalone import StandaloneSources, TableRows
from turnward.http import HttpClient
from turnward.router.process import RouterProcess
from turnward.rows import RowChange, RowKey, VersionedTransaction
from turnward.settings import SettingsError, parse_address
from turnward.standins import BatchSettings, EngineStandIn, PlatformStandIn, ServiceStandIn
from turnward.steady_reactor import install_steady_reactor
from turnward.store import HttpTable

__all__ = [
    "serve_engine",
    "serve_standalone_gateway",
    "serve_platform",
    "serve_router",
    "serve_service",
    "write_gateway_rows",
]

PLATFORM_TIMEOUT_S = 2.0


def serve_router(settings) -> None:
    """Run a router until it has shut down; SIGTERM starts the planned shutdown."""
    reactor = install_steady_reactor()
    log = get_log("router")
    process = RouterProcess.from_config(settings, reactor)

    def stop_on_error(failure):
        log.error("The router could not start.", cause=failure.getErrorMessage())
        reactor.stop()

    def start():
        defer.ensureDeferred(process.start()).addErrback(stop_on_error)

    reactor.callWhenRunning(start)
    process.stopped.addCallback(lambda _: reactor.stop())
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(process.leave))
    reactor.run(installSignalHandlers=False)


def serve_standalone_gateway(path: str) -> None:
    """Run a gateway that stores its rows in the platform's table until it has shut down."""

    def make_store(reactor, address, _metrics):
        url = f"http://{address[0]}:{address[1]}"
        return TableRows(reactor, HttpTable(HttpClient(reactor), url, PLATFORM_TIMEOUT_S))

    serve_gateway(path, load_gateway_settings(path), Dialect(), make_store, StandaloneSources())


def write_gateway_rows(url: str, rows: list[tuple[RowKey, bytes]]) -> None:
    """Write rows to the platform's table and overwrite existing ones."""
    from twisted.internet import reactor

    failures = []

    async def write():
        table = TableRows(reactor, HttpTable(HttpClient(reactor), url, PLATFORM_TIMEOUT_S))
        for key, value in rows:
            row = await table.read_row(key)
            change = RowChange(key, value, row.version)
            await table.transact(VersionedTransaction((change,)))

    def start():
        writing = defer.ensureDeferred(write())
        writing.addErrback(lambda failure: failures.append(failure.value))
        writing.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if failures:
        raise failures[0]


def serve_platform(address: str) -> None:
    """Run a platform stand-in."""
    from twisted.internet import reactor

    _serve(address, PlatformStandIn(reactor))


def serve_engine(address: str, slots: int, step_s: float) -> None:
    """Run a model engine stand-in."""
    from twisted.internet import reactor

    _serve(address, EngineStandIn(reactor, BatchSettings(slots=slots, step_s=step_s)))


def serve_service(address: str) -> None:
    """Run a plain service stand-in."""
    from twisted.internet import reactor

    _serve(address, ServiceStandIn(reactor))


def _serve(address: str, root) -> None:
    from twisted.internet import reactor

    host_port = parse_address(address)
    if host_port is None:
        raise SettingsError([f"address: expected IP:port, found {address!r}"])
    configure_logs()
    site = server.Site(root)
    site.log = lambda request: None
    reactor.listenTCP(host_port[1], site, interface=host_port[0])
    get_log("standin").info("The stand-in serves.", address=address)
    reactor.run()
