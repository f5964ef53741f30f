# SPDX-License-Identifier: BSD-3-Clause
"""Switches that replace single mechanisms of a gateway by simple ones, for experiments.

Simulations with and without a mechanism show its benefit; production deployments keep the
defaults. A settings file sets them like ``mechanisms.loans = false``.
"""

import math

import msgspec

__all__ = ["Mechanisms"]


class Mechanisms(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which mechanisms are enabled, and their weights.

    Attributes
    ----------
    loans : bool
        Routers that get no tokens from the store borrow from peers. If disabled, they reject
        requests.
    spend_reports : bool
        Routers report the tokens that they spend. If disabled, all tokens of a crashed router
        count as spent.
    urgency_in_cut : bool
        Some tokens are withheld for more urgent requests while the store is unreachable. If
        disabled, tokens are given out in order of arrival.
    agreed_homes : bool
        All routers choose the same preferred endpoints for a prompt part. If disabled, each
        router considers only its own requests.
    reread_weight : float
        Cost of processing a shared prompt part again, relative to other prompt tokens; 1 for no
        difference.
    zone_cost : bool
        Endpoints of other zones have a slightly higher cost. If disabled, all zones cost the same.
    rests : bool
        Endpoints that fail get no new requests for a backoff period. If disabled, they are chosen
        as before.
    repeats : bool
        A failed request may be retried at a second endpoint. If disabled, its failure is returned
        to the caller.
    weighs_pace : bool
        Long prompts avoid engines that are slower than most. If disabled, all engines of a pool
        are treated as equally fast.
    looks_for_others : bool
        The retry budget is charged only if another endpoint is available. If disabled, it is
        always charged.
    admission : bool
        A request is rejected at once if the queues are too long for it. If disabled, it is queued.
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
        """Return errors that type conversion does not detect."""
        if 1 <= self.reread_weight < math.inf:
            return []
        return [f"mechanisms.reread_weight: expected 1 or more, found {self.reread_weight}"]
