# SPDX-License-Identifier: BSD-3-Clause
"""Clients of endpoints as abstract base classes."""

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
    """Base class of errors of endpoints."""


class NotRunError(EndpointError):
    """It is proved that the endpoint did not run the request."""


class RunUncertainError(EndpointError):
    """The endpoint may have run the request, wholly or in part."""


class RunState(StrEnum):
    """What an engine says of a run."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    NEVER_SEEN = "never_seen"


class RunStatus(msgspec.Struct, frozen=True):
    """An engine's account of one run, in tokens of prompt and output together."""

    state: RunState
    used_tokens: int = 0
    reader_gone: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's load; it lags.

    Attributes
    ----------
    running, waiting : int
        Requests in the batch and in the queue.
    leaving : bool
        The endpoint takes no new work.
    """

    running: int
    waiting: int
    leaving: bool = False


class EngineClientBase(ABC):
    """Talks to a model engine."""

    @abstractmethod
    async def chat(
        self,
        url: str,
        run_id: str,
        body: bytes,
        on_head: Callable[[HttpResponse], None],
        on_data: Callable[[bytes], None],
    ) -> HttpResponse:
        """Run a request and pass its answer on as it comes.

        Raises
        ------
        NotRunError
            Nothing was run.
        RunUncertainError
            The answer ended before its end.
        """

    @abstractmethod
    async def resume(self, url: str, run_id: str, start: int, on_data) -> HttpResponse:
        """Pass on the rest of a stream from event number ``start``."""

    @abstractmethod
    async def run_status(self, url: str, run_id: str) -> RunStatus:
        """Return what the engine knows of a run.

        Raises
        ------
        EndpointError
            The engine did not say.
        """

    @abstractmethod
    async def cancel(self, url: str, run_id: str) -> RunStatus:
        """Stop a run and return its account."""

    @abstractmethod
    async def load(self, url: str) -> LoadReport:
        """Return the engine's load report."""


class ServiceClientBase(ABC):
    """Talks to a plain service."""

    @abstractmethod
    async def call(self, url: str, run_id: str, method: str, path: str, body: bytes, headers):
        """Send one call on a connection of its own and return the whole answer.

        Raises
        ------
        NotRunError
            Nothing was sent.
        RunUncertainError
            The call may have run.
        """
