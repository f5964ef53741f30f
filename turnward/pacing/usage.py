# SPDX-License-Identifier: BSD-3-Clause
"""Estimates how many of a workspace's spent tokens went to requests of each priority."""

from collections import defaultdict

from turnward.pacing.core import PacedRequest, TokenSupply

__all__ = ["WorkspaceUse"]

#: Share of the demand from which requests of the most urgent priority are protected alone; with
#: less, a few of them would leave all others unprotected from each other.
_MIN_PROTECTED_SHARE = 0.01


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
        self._previous_tokens = self._used_tokens(before)
        self._start_tokens = _spent_tokens(supply)
        self._before_tokens = 0
        self._asked_tokens.clear()
        self._admitted_tokens.clear()

    def most_urgent_share(self, priority: int) -> float:
        """Return the share of the most urgent requests in the tokens asked for in this period.

        It is 0 if those of ``priority`` are among them. Includes the tokens used in the period
        before.
        """
        tokens = self._demanded_tokens()
        most_urgent = _most_urgent(tokens)
        if priority <= max(most_urgent, default=priority):
            return 0.0
        return sum(tokens[other] for other in most_urgent) / (sum(tokens.values()) or 1)

    def used_by_most_urgent(self, priority: int, supply: TokenSupply) -> float:
        """Estimate what the most urgent requests used in this period, or in the one before if more.

        It is 0 if those of ``priority`` are among them.
        """
        most_urgent = _most_urgent(self._demanded_tokens())
        if priority <= max(most_urgent, default=priority):
            return 0.0
        periods = (self._used_tokens(supply), self._previous_tokens)
        return max(sum(used.get(other, 0.0) for other in most_urgent) for used in periods)

    def _demanded_tokens(self) -> dict[int, float]:
        """Return the tokens asked for in this period and used in the one before, by priority."""
        tokens = defaultdict(float, self._previous_tokens)
        for other, asked in self._asked_tokens.items():
            tokens[other] += asked
        return tokens

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


def _most_urgent(tokens: dict[int, float]) -> set[int]:
    """Return the most urgent priority, and the next ones while they ask for next to nothing."""
    least = _MIN_PROTECTED_SHARE * sum(tokens.values())
    most_urgent, demanded = set(), 0.0
    for priority in sorted(tokens):
        most_urgent.add(priority)
        demanded += tokens[priority]
        if demanded >= least:
            break
    return most_urgent
