# SPDX-License-Identifier: BSD-3-Clause
"""Switches of the controls for heavy or uneven load; all are off by default."""

import msgspec

__all__ = ["LoadControls"]


class LoadControls(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Which controls for heavy or uneven load are on.

    A settings file sets them like ``load_controls.service_rates = true``.

    Attributes
    ----------
    spend_bounds_by_scarcity : bool
        Bounds on unreported spending follow the sizes of requests and what is left of a limit.
    token_pacing : bool
        While a workspace's tokens run short, they are protected for its most urgent requests.
    service_rates : bool
        The service rate of each engine is measured and shared with peers.
    prompt_lanes : bool
        In a large pool, long prompts run on engines of their own.
    """

    spend_bounds_by_scarcity: bool = False
    token_pacing: bool = False
    service_rates: bool = False
    prompt_lanes: bool = False
