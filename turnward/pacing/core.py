# SPDX-License-Identifier: BSD-3-Clause
"""Decides which requests get a workspace's prepaid tokens while these run short."""

from abc import ABC, abstractmethod

import msgspec

__all__ = ["PacedRequest", "TokenPacerBase", "TokenSupply", "Unpaced"]


class TokenSupply(msgspec.Struct, frozen=True, kw_only=True):
    """The tokens of a workspace that one holder may count on.

    Attributes
    ----------
    limit_tokens : int
        The workspace's limit.
    remaining_tokens : int
        Tokens not spent yet, here and in the store; those of other holders are estimated.
    holders : int
        Number of routers that give out the workspace's tokens.
    """

    limit_tokens: int
    remaining_tokens: int
    holders: int = 1


class PacedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request for tokens.

    Attributes
    ----------
    tokens : int
        Most tokens that it may use.
    priority : int
        Order among the workspace's own requests, by their route; 0 is the most urgent.
    """

    workspace: str
    tokens: int
    priority: int


class TokenPacerBase(ABC):
    """Decides which requests get tokens, in favour of the most urgent ones."""

    @abstractmethod
    def delay_s(self, request: PacedRequest, supply: TokenSupply) -> float:
        """Return 0 if a request may take tokens now, else the time until one like it may.

        Each request is passed once, on its arrival, so that the pacer can measure the demand.
        """

    @abstractmethod
    def protected_tokens(self, request: PacedRequest, supply: TokenSupply) -> int:
        """Return the tokens protected from a given request."""


class Unpaced(TokenPacerBase):
    """Admits requests in the order of their arrival."""

    def delay_s(self, request: PacedRequest, supply: TokenSupply) -> float:
        """See ``TokenPacerBase.delay_s``."""
        return 0.0

    def protected_tokens(self, request: PacedRequest, supply: TokenSupply) -> int:
        """See ``TokenPacerBase.protected_tokens``."""
        return 0
