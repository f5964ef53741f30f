# SPDX-License-Identifier: BSD-3-Clause
"""Prompt sizes, and the prompt parts that requests may share, as requests declare them."""

import zlib

import msgspec

__all__ = ["Prompt", "PromptPart", "parse_prompt_parts"]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt.

    Attributes
    ----------
    prefix_hash : int
        Hash of the ids of all parts up to and including this one.
    tokens : int
        Size of this part alone.
    part_id : str
        Hash of the part's own id, wherever it stands, in hexadecimal.
    """

    prefix_hash: int
    tokens: int
    part_id: str = ""


class Prompt(msgspec.Struct, frozen=True):
    """The declared sizes and parts of a prompt.

    Attributes
    ----------
    tokens : int
        Size of the whole prompt.
    output_tokens : int
        Most tokens that may be generated.
    parts : tuple of PromptPart
        In order; the last one is specific to the request or its session.
    """

    tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other prompts may share: all but the last."""
        return tuple(part.part_id for part in self.parts[:-1])

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other prompts may share: all but the last."""
        return sum(part.tokens for part in self.parts[:-1])


def parse_prompt_parts(text: str, limit: int = 64) -> tuple[PromptPart, ...]:
    """Parse prompt parts of the form ``ID:TOKENS,ID:TOKENS``; empty if malformed.

    Examples
    --------
    >>> [part.tokens for part in parse_prompt_parts("a1:800,b2:410")]
    [800, 410]
    >>> parse_prompt_parts("nonsense")
    ()
    """
    parts = []
    prefix_hash = 0
    for item in text.split(",")[:limit]:
        name, _, tokens = item.strip().partition(":")
        if not tokens.isdigit():
            return ()
        prefix_hash = zlib.crc32(name.encode(), prefix_hash)
        part_id = f"{zlib.crc32(name.encode()):08x}"
        parts.append(PromptPart(prefix_hash, int(tokens), part_id))
    return tuple(parts)
