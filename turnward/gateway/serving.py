# SPDX-License-Identifier: BSD-3-Clause
"""Runs a gateway process on Twisted's reactor until it has shut down."""

import signal
import sys
from collections.abc import Callable

from turnward.clocks import PROCESS_START_S
from turnward.gateway.dialect import Dialect
from turnward.gateway.logs import BoundedLineWriter, GatewayLog
from turnward.gateway.metrics import GatewayMetrics
from turnward.gateway.process import GatewayProcess, SourcesBase, new_incarnation
from turnward.gateway.settings import GatewaySettings, load_gateway_settings
from turnward.rows import VersionedStoreBase
from turnward.settings import SettingsError, parse_address
from turnward.steady_reactor import install_steady_reactor

__all__ = ["serve_gateway"]


def serve_gateway(
    path: str,
    settings: GatewaySettings,
    dialect: Dialect,
    make_store: Callable[..., VersionedStoreBase],
    sources: SourcesBase,
) -> None:
    """Serve until SIGTERM; reload the settings file on SIGHUP.

    Parameters
    ----------
    path : str
        The settings file.
    settings : GatewaySettings
        The settings read from the file.
    dialect : Dialect
        Protocol names.
    make_store : callable
        Called with the reactor, the store's address and the metrics; returns the store client.
    sources : SourcesBase
        Sources of the configuration and the endpoints.
    """
    reactor = install_steady_reactor()
    incarnation = new_incarnation(settings.node)
    writer = BoundedLineWriter(sys.stdout.fileno())
    log = GatewayLog(writer, reactor.seconds, incarnation, settings.log_lines_per_s)
    metrics = GatewayMetrics()
    store = make_store(reactor, parse_address(settings.store_address), metrics)
    process = GatewayProcess(
        reactor,
        settings,
        incarnation,
        dialect,
        store,
        sources,
        log,
        metrics,
        started_s=PROCESS_START_S,
    )

    def reload():
        try:
            process.reload(load_gateway_settings(path))
        except SettingsError as failure:
            log.failure("process.reload_refused", cause=str(failure))

    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(process.stop))
    signal.signal(signal.SIGHUP, lambda *_: reactor.callFromThread(reload))
    process.stopped.addCallback(lambda _: reactor.stop())
    reactor.callWhenRunning(process.start)
    reactor.run(installSignalHandlers=False)
