# SPDX-License-Identifier: BSD-3-Clause
"""Abstract base classes for clients of endpoints."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import StrEnum

import msgspec

from turnward.errors import TurnwardError
from turnward.http import HttpResponse

__all__ = [
    "EndpointError",
    "EngineClientBase",
    "LoadReport",
    "NotRunError",
    "RunStatus",
    "RunState",
    "RunUncertainError",
    "ServiceClientBase",
]


class EndpointError(TurnwardError):
    """Base class for errors of endpoints."""


class NotRunError(EndpointError):
    """The endpoint is known not to have run the request."""


class RunUncertainError(EndpointError):
    """The endpoint may have run the request, in whole or in part."""


class RunState(StrEnum):
    """State of a run at a model engine."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    NEVER_SEEN = "never_seen"


class RunStatus(msgspec.Struct, frozen=True):
    """Status of one run, as its model engine reports it.

    Attributes
    ----------
    used_tokens : int
        Tokens of the prompt and the output together.
    reader_gone : bool
        No client is reading the run's output any more.
    """

    state: RunState
    used_tokens: int = 0
    reader_gone: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """Load of a model engine, possibly out of date.

    Attributes
    ----------
    running, waiting : int
        Number of requests in the batch and in the queue.
    leaving : bool
        The endpoint is draining and accepts no new work.
    """

    running: int
    waiting: int
    leaving: bool = False


class EngineClientBase(ABC):
    """Sends requests to model engines."""

    @abstractmethod
    async def chat(
        self,
        url: str,
        run_id: str,
        body: bytes,
        on_head: Callable[[HttpResponse], None],
        on_data: Callable[[bytes], None],
    ) -> HttpResponse:
        """Run a request and forward its response while it is received.

        Raises
        ------
        NotRunError
            The request was not run.
        RunUncertainError
            The response was incomplete.
        """

    @abstractmethod
    async def resume(self, url: str, run_id: str, start: int, on_data) -> HttpResponse:
        """Forward a run's stream from event number ``start`` on."""

    @abstractmethod
    async def run_status(self, url: str, run_id: str) -> RunStatus:
        """Return the status of a run.

        Raises
        ------
        EndpointError
            The engine did not return a status.
        """

    @abstractmethod
    async def cancel(self, url: str, run_id: str) -> RunStatus:
        """Cancel a run and return its status."""

    @abstractmethod
    async def load(self, url: str) -> LoadReport:
        """Return the engine's load report."""


class ServiceClientBase(ABC):
    """Sends requests to plain services."""

    @abstractmethod
    async def call(self, url: str, run_id: str, method: str, path: str, body: bytes, headers):
        """Send one call on a connection of its own and return the complete response.

        Raises
        ------
        NotRunError
            The call was not run.
        RunUncertainError
            The call may have been run.
        """
