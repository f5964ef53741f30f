# SPDX-License-Identifier: BSD-3-Clause
"""Finds out whether an endpoint's process has outlived the end of one of its connections.

A response without length or chunks ends with its connection. A process that is killed closes its
connections in the same way as one that has finished a response, but closes all of them, and takes
no new ones.
"""

from collections.abc import Callable

from turnward.http1 import ExchangeBase, OutboundConnection, OutboundPool

__all__ = ["check_process"]

#: Time within which a process that ends closes all of its connections.
_SETTLE_S = 0.03


def check_process(
    pool: OutboundPool, connect_timeout_s: float, on_result: Callable[[bool], None]
) -> None:
    """Tell later whether an endpoint's process runs: a new connection opens and stays open.

    Connections that are open already prove nothing: the end of one that is not read, or whose
    packets are lost, has not been seen yet. The new one is kept for later requests.
    """
    pool.open(_UnusedExchange(pool, on_result), connect_timeout_s)


class _UnusedExchange(ExchangeBase):
    """Opens a connection and keeps it for later requests."""

    def __init__(self, pool: OutboundPool, on_result: Callable[[bool], None]):
        self._pool = pool
        self._on_result = on_result
        self._connection: OutboundConnection | None = None

    def exchange_started(self, connection):
        self._connection = connection
        self._pool.call_later(_SETTLE_S, self._settled)

    def _settled(self) -> None:
        if self._connection is not None:
            self._connection.release_unused()
            self._end(True)

    def head_received(self, status, headers):
        """Take no response, as there was no request; the process runs."""
        self._connection.drop()
        self._end(True)

    def body_received(self, data):
        """Do nothing; the connection is closed."""

    def response_ended(self):
        """Do nothing; the connection is closed."""

    def exchange_failed(self, failure):
        self._end(False)

    def _end(self, runs: bool) -> None:
        self._connection = None
        self._on_result(runs)
