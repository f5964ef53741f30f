# SPDX-License-Identifier: BSD-3-Clause
"""Why no endpoint of a pool accepts requests."""

import math

import msgspec

from turnward.gateway.outcomes import Reason

__all__ = ["NO_ENDPOINT", "PoolShortage"]


class PoolShortage(msgspec.Struct, frozen=True):
    """Why no endpoint of a pool accepts requests, and how long until one does.

    Attributes
    ----------
    reason : Reason
        Why the endpoint that accepts requests first does not accept them now.
    available_in_s : float
        Time until it does; infinite if none will.
    """

    reason: Reason
    available_in_s: float


NO_ENDPOINT = PoolShortage(Reason.NO_ENDPOINT, math.inf)
