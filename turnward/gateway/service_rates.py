# SPDX-License-Identifier: BSD-3-Clause
"""How fast each engine of a pool processes prompts and generates events."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.load_controls import LoadControls
from turnward.gateway.peer_book import EndpointLoad

__all__ = ["AssumedServiceRates", "ServiceRatesBase", "make_service_rates"]

#: Prompt processing speed assumed for engines.
_ASSUMED_PREFILL_TOKENS_PER_MS = 50.0


class ServiceRatesBase(ABC):
    """Service rates of engines, as far as this router knows them."""

    @abstractmethod
    def refresh(
        self,
        pool: str,
        records: Sequence[EndpointRecord],
        loads: Mapping[str, EndpointLoad],
        now_s: float,
    ) -> None:
        """Update the rates of a pool from own measurements and those of peers.

        Called before each choice; ``loads`` holds the sums of the peers' reports by incarnation.
        """

    @abstractmethod
    def note_first_event(
        self, record: EndpointRecord, queued_tokens: int, elapsed_ms: float, now_s: float
    ) -> None:
        """Record the time from sending a request to its first event.

        ``queued_tokens`` is the number of prompt tokens that the engine had to process until then,
        as far as this router knew: those of the request and those queued before it.
        """

    @abstractmethod
    def prefill_ms(self, record: EndpointRecord, tokens: float) -> float:
        """Return how long an engine takes to process prompt tokens."""

    @abstractmethod
    def event_gap_ms(self, record: EndpointRecord, now_s: float) -> float:
        """Return the time between two events of an undisturbed stream; 0 if unknown."""

    @abstractmethod
    def slowdown(self, record: EndpointRecord) -> float:
        """Return an engine's service time relative to the usual one of its pool."""


class AssumedServiceRates(ServiceRatesBase):
    """The same prompt processing speed for all engines."""

    def refresh(self, pool, records, loads, now_s):
        """See ``ServiceRatesBase.refresh``."""

    def note_first_event(self, record, queued_tokens, elapsed_ms, now_s):
        """See ``ServiceRatesBase.note_first_event``."""

    def prefill_ms(self, record, tokens):
        """See ``ServiceRatesBase.prefill_ms``."""
        return tokens / _ASSUMED_PREFILL_TOKENS_PER_MS

    def event_gap_ms(self, record, now_s):
        """See ``ServiceRatesBase.event_gap_ms``."""
        return record.gap_tracker.observed(now_s).quiet_gap_ms

    def slowdown(self, record):
        """See ``ServiceRatesBase.slowdown``."""
        return 1.0


def make_service_rates(controls: LoadControls) -> ServiceRatesBase:
    """Return the service rates that the settings call for."""
    return AssumedServiceRates()
