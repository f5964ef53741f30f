# SPDX-License-Identifier: BSD-3-Clause
"""Tasks: each owns its state, is told messages, and handles them one batch at a time."""

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
    """A task's period is over."""


class TaskBase(ABC):
    """A task with a mailbox.

    Parameters
    ----------
    reactor
        Twisted's reactor, or a fake clock.
    period_s : float
        Seconds between ticks.
    on_fenced : callable
        Called without arguments when a write shows that the router is fenced.

    Attributes
    ----------
    unexpected_failures : int
        Batches that failed for a cause no code foresaw; each is a fault of ours.
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
        """Handle all waiting messages."""

    def start(self) -> None:
        """Begin to tick."""
        self._loop.start(self._period_s, now=True)

    def stop(self) -> None:
        """Tick no more; what is in the mailbox is still handled."""
        if self._loop.running:
            self._loop.stop()

    def tell(self, message: Any) -> None:
        """Put a message into the mailbox."""
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
            self._note_success()
        except FencedError:
            self.log.warning("The router is fenced.")
            self._on_fenced()
        except (PlatformError, PeerError, EndpointError) as failure:
            self._note_failure(failure)
        except Exception:
            self.unexpected_failures += 1
            self.log.exception("A batch of messages failed.")

    def _note_failure(self, failure: Exception) -> None:
        """Log the first failure of a row; an outage would fill the log otherwise."""
        if not self._failing:
            self.log.warning("Calls fail.", cause=str(failure))
        self._failing = True

    def _note_success(self) -> None:
        if self._failing:
            self.log.info("Calls succeed again.")
        self._failing = False
