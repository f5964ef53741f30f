# SPDX-License-Identifier: BSD-3-Clause
"""Switches for experiments: each mechanism of a gateway can be set to its naive version.

What a mechanism is worth is measured by days played with and without it; operators leave
all of them as they are. In a settings file they stand as ``mechanisms.loans = false``.
"""

import math

import msgspec

__all__ = ["Mechanisms"]


class Mechanisms(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which mechanisms are on, and how strong those are that have a weight.

    Attributes
    ----------
    loans : bool
        Routers that get no tokens from the store borrow from peers. Naive: they refuse.
    spend_reports : bool
        Routers report what they spend. Naive: what a dead one held counts as spent.
    urgency_in_cut : bool
        Part of the tokens is kept for more urgent requests while the store is away. Naive:
        who comes first gets them.
    agreed_homes : bool
        Routers agree on the engine that keeps a prompt part. Naive: each knows only
        its own requests.
    reread_weight : float
        How much more it costs to read a shared part again than to read anything else.
        Naive: 1.
    zone_cost : bool
        Endpoints of other zones cost a little more. Naive: they cost the same.
    rests : bool
        Endpoints that fail get no new work for a while. Naive: they are chosen as before.
    repeats : bool
        A failed request may be sent to a second endpoint. Naive: its failure is passed on.
    weighs_pace : bool
        Long prompts keep away from engines whose streams go on more slowly than most. Naive:
        all engines of a pool are taken for equally fast.
    looks_for_others : bool
        No repeat is used up where no other endpoint takes work. Naive: it is.
    admission : bool
        A request is refused at once where engines have too long a queue for it. Naive: it queues.
    """

    loans: bool = True
    spend_reports: bool = True
    urgency_in_cut: bool = True
    agreed_homes: bool = True
    reread_weight: float = 6.0
    zone_cost: bool = True
    rests: bool = True
    repeats: bool = True
    weighs_pace: bool = True
    looks_for_others: bool = True
    admission: bool = True

    def faults(self) -> list[str]:
        """Return what is wrong beyond types."""
        if 1 <= self.reread_weight < math.inf:
            return []
        return [f"mechanisms.reread_weight: expected 1 or more, found {self.reread_weight}"]
