# SPDX-License-Identifier: BSD-3-Clause
"""Estimates how many of a workspace's spent tokens went to requests of each priority."""

from collections import defaultdict

from turnward.pacing.core import PacedRequest, TokenSupply

__all__ = ["WorkspaceUse"]


class WorkspaceUse:
    """Tokens that one workspace's requests asked for and got, by priority.

    A period lasts from one raise of the limit to the next. A new pacer can't know when its first
    period began.

    Parameters
    ----------
    supply : TokenSupply
        What is left at the first request.
    max_before_tokens : int
        Limit of the spent tokens that are counted as spent in the first period.
    """

    __slots__ = (
        "_admitted_tokens",
        "_asked_tokens",
        "_before_tokens",
        "_limit_tokens",
        "_previous_tokens",
        "_start_tokens",
    )

    def __init__(self, supply: TokenSupply, max_before_tokens: int):
        self._limit_tokens = supply.limit_tokens
        self._start_tokens = _spent_tokens(supply)
        self._before_tokens = min(self._start_tokens, max_before_tokens)
        self._asked_tokens: defaultdict[int, int] = defaultdict(int)
        self._admitted_tokens: defaultdict[int, int] = defaultdict(int)
        self._previous_tokens: dict[int, float] = {}

    def note_asked(self, request: PacedRequest, supply: TokenSupply) -> None:
        """Count a request's tokens as asked for, and start a new period if the limit was raised."""
        if supply.limit_tokens > self._limit_tokens:
            self._start_period(supply)
        self._limit_tokens = supply.limit_tokens
        self._asked_tokens[request.priority] += request.tokens

    def note_admitted(self, request: PacedRequest) -> None:
        """Count a request's tokens as admitted."""
        self._admitted_tokens[request.priority] += request.tokens

    def _start_period(self, supply: TokenSupply) -> None:
        before = TokenSupply(
            limit_tokens=self._limit_tokens,
            remaining_tokens=self._limit_tokens - _spent_tokens(supply),
        )
        used = self._used_tokens(before)
        # A kind that used nothing must not count as the most urgent one.
        self._previous_tokens = {priority: tokens for priority, tokens in used.items() if tokens}
        self._start_tokens = _spent_tokens(supply)
        self._before_tokens = 0
        self._asked_tokens.clear()
        self._admitted_tokens.clear()

    def most_urgent_share(self, priority: int) -> float:
        """Return the share of the most urgent requests in the tokens asked for in this period.

        It is 0 if those of ``priority`` are the most urgent. Includes the tokens used in the period
        before.
        """
        tokens = defaultdict(float, self._previous_tokens)
        for other, asked in self._asked_tokens.items():
            tokens[other] += asked
        most_urgent = min(tokens, default=priority)
        if most_urgent >= priority:
            return 0.0
        return tokens[most_urgent] / (sum(tokens.values()) or 1)

    def used_by_most_urgent(self, priority: int, supply: TokenSupply) -> float:
        """Estimate what the most urgent requests used in this period, or in the one before if more.

        It is 0 if those of ``priority`` are the most urgent.
        """
        used, previous = self._used_tokens(supply), self._previous_tokens
        most_urgent = min((*used, *previous), default=priority)
        if most_urgent >= priority:
            return 0.0
        return max(used.get(most_urgent, 0.0), previous.get(most_urgent, 0.0))

    def _used_tokens(self, supply: TokenSupply) -> dict[int, float]:
        """Estimate the tokens used in this period by priority.

        Tokens spent before the first request here, and those that other holders gave out, are
        assumed to be divided like those asked for and admitted here.
        """
        since_tokens = max(0, _spent_tokens(supply) - self._start_tokens)
        asked = sum(self._asked_tokens.values()) or 1
        admitted = sum(self._admitted_tokens.values()) or 1
        return {
            priority: self._before_tokens * tokens / asked
            + since_tokens * self._admitted_tokens[priority] / admitted
            for priority, tokens in self._asked_tokens.items()
        }


def _spent_tokens(supply: TokenSupply) -> int:
    return max(0, supply.limit_tokens - supply.remaining_tokens)
