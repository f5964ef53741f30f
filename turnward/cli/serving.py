# SPDX-License-Identifier: BSD-3-Clause
"""Runs the serving commands on twisted's reactor."""

import signal

from twisted.internet import defer
from twisted.web import server

from turnward.events import configure_logs, get_log
from turnward.router.process import RouterProcess
from turnward.settings import SettingsError, parse_address
from turnward.standins import BatchSettings, EngineStandIn, PlatformStandIn, ServiceStandIn

__all__ = ["serve_engine", "serve_platform", "serve_router", "serve_service"]


def serve_router(settings) -> None:
    """Run a router until it has left; SIGTERM begins the planned stop."""
    from twisted.internet import reactor

    log = get_log("router")
    process = RouterProcess.from_config(settings, reactor)

    def failed(failure):
        log.error("The router could not start.", cause=failure.getErrorMessage())
        reactor.stop()

    def start():
        defer.ensureDeferred(process.start()).addErrback(failed)

    reactor.callWhenRunning(start)
    process.stopped.addCallback(lambda _: reactor.stop())
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(process.leave))
    reactor.run(installSignalHandlers=False)


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

    parsed = parse_address(address)
    if parsed is None:
        raise SettingsError([f"address: expected IP:port, found {address!r}"])
    configure_logs()
    site = server.Site(root)
    site.log = lambda request: None
    reactor.listenTCP(parsed[1], site, interface=parsed[0])
    get_log("standin").info("The stand-in serves.", address=address)
    reactor.run()
