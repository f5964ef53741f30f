# SPDX-License-Identifier: BSD-3-Clause
"""Runs a gateway on twisted's reactor until its planned stop is over."""

import signal
import sys
from collections.abc import Callable

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
    """Serve until SIGTERM; SIGHUP reads the settings file again.

    Parameters
    ----------
    path : str
        The settings file.
    settings : GatewaySettings
        What was read from it.
    dialect : Dialect
        Names on the wire.
    make_store : callable
        Given the reactor, the store's address and the metrics, returns the store.
    sources : SourcesBase
        Where configuration and endpoints come from.
    """
    reactor = install_steady_reactor()
    incarnation = new_incarnation(settings.node)
    writer = BoundedLineWriter(sys.stdout.fileno())
    log = GatewayLog(writer, reactor.seconds, incarnation, settings.log_lines_per_s)
    metrics = GatewayMetrics()
    store = make_store(reactor, parse_address(settings.store_address), metrics)
    process = GatewayProcess(reactor, settings, incarnation, dialect, store, sources, log, metrics)

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
