# SPDX-License-Identifier: BSD-3-Clause
"""Which engines of a pool process the long prompts that would hold up other streams."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

from turnward.gateway.endpoint_record import EndpointRecord
from turnward.gateway.load_controls import LoadControls
from turnward.gateway.peer_book import EndpointLoad
from turnward.gateway.service_rates import ServiceRatesBase

__all__ = ["NoPromptLanes", "PromptLanesBase", "make_prompt_lanes"]


class PromptLanesBase(ABC):
    """Divides the engines of a pool between long and short prompts."""

    @abstractmethod
    def refresh(
        self,
        pool: str,
        records: Sequence[EndpointRecord],
        loads: Mapping[str, EndpointLoad],
        pause_target_ms: float,
        now_s: float,
    ) -> None:
        """Update the division of a pool; called before each choice among its engines.

        ``loads`` holds the sums of the peers' reports by incarnation.
        """

    @abstractmethod
    def note_prompt(self, pool: str, uncached_tokens: int, now_s: float) -> None:
        """Record a prompt that this router has sent to the pool, for the measure of its load."""

    @abstractmethod
    def cost_ms(self, record: EndpointRecord, uncached_tokens: int) -> float:
        """Return what placing a prompt in an engine's lane adds to its cost.

        ``uncached_tokens`` is the part of the prompt that the engine has yet to process.
        """

    @abstractmethod
    def may_prefer(self, record: EndpointRecord, uncached_tokens: int) -> bool:
        """Return whether an engine may be the preferred endpoint of a prompt's shared parts."""


class NoPromptLanes(PromptLanesBase):
    """All engines process all prompts."""

    def refresh(self, pool, records, loads, pause_target_ms, now_s):
        """See ``PromptLanesBase.refresh``."""

    def note_prompt(self, pool, uncached_tokens, now_s):
        """See ``PromptLanesBase.note_prompt``."""

    def cost_ms(self, record, uncached_tokens):
        """See ``PromptLanesBase.cost_ms``."""
        return 0.0

    def may_prefer(self, record, uncached_tokens):
        """See ``PromptLanesBase.may_prefer``."""
        return True


def make_prompt_lanes(controls: LoadControls, rates: ServiceRatesBase) -> PromptLanesBase:
    """Return the division of pools that the settings call for."""
    return NoPromptLanes()
