# SPDX-License-Identifier: BSD-3-Clause
"""A Twisted reactor whose timers use a steady clock.

Twisted's own timers use wall-clock time, so a step of the wall clock would delay timers or run
them early, and make leases and peers expire at the wrong time.
"""

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from turnward.clocks import ClockBase, SystemClock

__all__ = ["SteadyReactor", "install_steady_reactor"]


class SteadyReactor(EPollReactor):
    """A reactor that reads the time from a given clock.

    It waits by the kernel's monotonic clock, which stops while the machine is suspended. A timer
    that becomes due during a suspension is therefore late by up to the shortest interval of the
    repeating timers.

    Parameters
    ----------
    clock : ClockBase
        The steady clock.
    """

    def __init__(self, clock: ClockBase):
        self.seconds = clock.now_s
        super().__init__()

    def _doReadOrWrite(self, selectable, fd, event):  # noqa: N802
        """Read from a connection that is lost before reporting how it ended.

        Without this, Twisted reports a reset as an end, and drops what came before it, where the
        connection has only written so far and reading was resumed after its events were fetched.
        """
        if event & self._POLL_DISCONNECTED and fd in self._reads:
            event |= self._POLL_IN
        super()._doReadOrWrite(selectable, fd, event)


def install_steady_reactor(clock: ClockBase | None = None) -> SteadyReactor:
    """Install a ``SteadyReactor`` as the reactor of the process, and return it.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        Another reactor is installed, for example by importing ``twisted.internet.reactor``.
    """
    reactor = SteadyReactor(clock or SystemClock())
    installReactor(reactor)
    return reactor
