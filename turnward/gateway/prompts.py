# SPDX-License-Identifier: BSD-3-Clause
"""What a request tells of its prompt: sizes, and the parts that other prompts may share."""

import zlib

import msgspec

__all__ = ["Prompt", "PromptPart", "parse_prompt_parts"]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt, named by all parts up to it."""

    prefix_hash: int
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """What is known of a prompt.

    Attributes
    ----------
    tokens : int
        Of the whole prompt.
    output_tokens : int
        The most that may be made.
    parts : tuple of PromptPart
        In order; the last one is the request's own or its session's.
    """

    tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other prompts may have too: all but the last."""
        return sum(part.tokens for part in self.parts[:-1])


def parse_prompt_parts(text: str, limit: int = 64) -> tuple[PromptPart, ...]:
    """Return the parts that ``ID:TOKENS,ID:TOKENS`` names; empty when it is not that.

    Examples
    --------
    >>> [part.tokens for part in parse_prompt_parts("a1:800,b2:410")]
    [800, 410]
    >>> parse_prompt_parts("nonsense")
    ()
    """
    parts = []
    prefix_hash = 0
    for word in text.split(",")[:limit]:
        name, _, tokens = word.strip().partition(":")
        if not tokens.isdigit():
            return ()
        prefix_hash = zlib.crc32(name.encode(), prefix_hash)
        parts.append(PromptPart(prefix_hash, int(tokens)))
    return tuple(parts)
