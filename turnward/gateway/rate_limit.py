# SPDX-License-Identifier: BSD-3-Clause
"""The rate that one start of an endpoint says it bears, from all routers together."""

__all__ = ["RateLimit"]


class RateLimit:
    """The requests a second that an endpoint takes from all routers together.

    Attributes
    ----------
    per_s : float or None
        What it named last; None when it has named none.

    Examples
    --------
    >>> limit = RateLimit()
    >>> limit.name(1.5), limit.name(1.5)
    (True, False)
    """

    __slots__ = ("per_s",)

    def __init__(self):
        self.per_s: float | None = None

    def name(self, per_s: float) -> bool:
        """Take in what an answer names; True when that is news."""
        before, self.per_s = self.per_s, per_s
        return before != per_s
