# SPDX-License-Identifier: BSD-3-Clause
"""When and for how long a content is quarantined."""

import msgspec

__all__ = ["QuarantineRule"]

#: Missed heartbeats after which the entry of an endpoint expires.
_MISSED_HEARTBEATS = 3
#: Time within which all routers learn that an entry has expired: a poll interval of 1 s and two
#: levels of aggregators, with a margin.
_REMOVAL_PROPAGATION_S = 6.4


class QuarantineRule(msgspec.Struct, frozen=True, kw_only=True):
    """When and for how long a content is quarantined.

    Attributes
    ----------
    min_endpoints : int
        Number of incarnations that must have aborted its runs.
    quarantine_s : float
        Seconds after the last abort at which the quarantine expires. A further abort renews it.
    retention_s : float
        Seconds after which an abort is forgotten.
    survival_s : float
        Seconds after an abort, with the store reachable throughout, at which an endpoint that
        still has an entry is known to have survived.
    max_contents : int
        Most contents that are remembered; each takes less than 1 KB.
    one_cause : bool
        Whether only what is suspicious itself may explain the aborts of a suspect, and aborts at
        the same time count once, as one of several suspects has caused them.
    max_announced : int
        Most recently changed contents in one message, which bounds its size when an endpoint with
        many runs crashes.
    """

    min_endpoints: int = 3
    quarantine_s: float = 600.0
    retention_s: float = 3_600.0
    survival_s: float = 10.0
    max_contents: int = 1_024
    one_cause: bool = False
    max_announced: int = 32

    @classmethod
    def from_heartbeat(cls, heartbeat_s: float) -> "QuarantineRule":
        """Return the rule for endpoints that renew their entries at this interval."""
        return cls(survival_s=_MISSED_HEARTBEATS * heartbeat_s + _REMOVAL_PROPAGATION_S)
