# SPDX-License-Identifier: BSD-3-Clause
"""Limits and switches of the forwarder."""

import msgspec

from turnward.admission import AdmissionRule
from turnward.gateway.retries import RetryBudgetRule
from turnward.gateway.settings import GatewaySettings

__all__ = ["ForwardingRules"]


class ForwardingRules(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and switches of the forwarder.

    Attributes
    ----------
    repeats : RetryBudgetRule
        Limits of the retry budget.
    looks_for_others : bool
        Whether a retry requires that another endpoint accepts requests.
    stale_after_s : float
        Seconds since the configuration was last confirmed after which an unknown route or key is
        answered with 503 instead of 404 or 401.
    retry_after_s : float
        Default and minimum of the ``Retry-After`` header, in seconds.
    admission : AdmissionRule
        Limits of the queue at a pool's endpoints.
    """

    repeats: RetryBudgetRule = RetryBudgetRule()
    looks_for_others: bool = True
    stale_after_s: float = 3.0
    retry_after_s: float = 0.25
    admission: AdmissionRule = AdmissionRule()

    @classmethod
    def from_settings(cls, settings: GatewaySettings) -> "ForwardingRules":
        """Return the rules of a router."""
        mechanisms = settings.mechanisms
        repeats = RetryBudgetRule(
            settings.repeat_ratio, settings.repeat_window_s, settings.repeat_slack
        )
        if not mechanisms.repeats:
            repeats = RetryBudgetRule(0.0, settings.repeat_window_s, 0.0)
        return cls(
            repeats=repeats,
            looks_for_others=mechanisms.looks_for_others,
            admission=AdmissionRule() if mechanisms.admission else AdmissionRule(shares=()),
        )
