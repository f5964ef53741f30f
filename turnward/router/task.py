# SPDX-License-Identifier: BSD-3-Clause
"""Tasks: actors that own their state and handle messages one batch at a time."""

from abc import ABC, abstractmethod
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.internet.task import LoopingCall

from turnward.endpoints import EndpointError
from turnward.events import get_log
from turnward.fleet import FencedError
from turnward.peers.errors import PeerError
from turnward.store import PlatformError

__all__ = ["TaskBase", "Tick"]


class Tick(msgspec.Struct, frozen=True):
    """Sent to a task by its timer, once per period."""


class TaskBase(ABC):
    """An actor: handles the messages in its mailbox, and a ``Tick`` per period.

    Parameters
    ----------
    reactor
        Twisted's reactor, or a simulated clock.
    period_s : float
        Seconds between ticks.
    on_fenced : callable
        Called without arguments when a write is rejected because the router is fenced.

    Attributes
    ----------
    unexpected_failures : int
        Number of batches that failed with an unhandled exception, which is always a bug.
    """

    #: Prefix of the task's log lines.
    log_prefix = "task"

    def __init__(self, reactor, period_s: float, on_fenced=lambda: None):
        self.reactor = reactor
        self.log = get_log(self.log_prefix)
        self._on_fenced = on_fenced
        self._mailbox: list[Any] = []
        self._busy = False
        self._loop = LoopingCall(self._tick)
        self._loop.clock = reactor
        self._period_s = period_s
        self.unexpected_failures = 0
        self._failing = False

    @abstractmethod
    async def handle(self, messages: list[Any]) -> None:
        """Handle a batch of messages."""

    def start(self) -> None:
        """Start the timer."""
        self._loop.start(self._period_s, now=True)

    def stop(self) -> None:
        """Stop the timer; messages already in the mailbox are still handled."""
        if self._loop.running:
            self._loop.stop()

    def tell(self, message: Any) -> None:
        """Add a message to the mailbox."""
        self._mailbox.append(message)
        if not self._busy:
            self._busy = True
            self.reactor.callLater(0, self._run)

    def _tick(self) -> None:
        if Tick() not in self._mailbox:
            self.tell(Tick())

    def _run(self) -> None:
        defer.ensureDeferred(self._drain())

    async def _drain(self) -> None:
        while self._mailbox:
            messages, self._mailbox = self._mailbox, []
            await self._handle_safely(messages)
        self._busy = False

    async def _handle_safely(self, messages: list[Any]) -> None:
        try:
            await self.handle(messages)
            self._record_success()
        except FencedError:
            self.log.warning("The router is fenced.")
            self._on_fenced()
        except (PlatformError, PeerError, EndpointError) as error:
            self._record_failure(error)
        except Exception:
            self.unexpected_failures += 1
            self.log.exception("A batch of messages failed.")

    def _record_failure(self, error: Exception) -> None:
        """Log only the first of consecutive failures, to limit logging during an outage."""
        if not self._failing:
            self.log.warning("Calls fail.", cause=str(error))
        self._failing = True

    def _record_success(self) -> None:
        if self._failing:
            self.log.info("Calls succeed again.")
        self._failing = False
