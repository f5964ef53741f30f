# SPDX-License-Identifier: BSD-3-Clause
"""Refuses at the entry what would wait too long, so that what is let in is served in time.

Beyond capacity a queue at the endpoints grows until all that is in it is late, and what is late
still takes its turn. Here a request is let in while some endpoint's queue is shorter than its
urgency allows; else it is refused at once. Less urgent requests see a shorter bound, so that there
is room left for urgent ones. The own prompt does not count: a long one is late by itself, but worth
as much for the time that it takes as others are.
"""

import msgspec

__all__ = ["AdmissionRule"]


class AdmissionRule(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of admission.

    Attributes
    ----------
    shares : tuple of float
        Share of a pool's target that the queue may take, by rank; the last one counts for all less
        urgent ones. None lets everything in. What is known of the queue is up to 0.25 s old, and
        all routers let in by it at the same time: hence 0.7 in place of 1. Compared with other
        bounds in decision 25.

    Examples
    --------
    >>> rule = AdmissionRule(shares=(1.0, 0.5))
    >>> rule.excess_ms(queue_ms=700.0, target_s=0.8, rank=0)
    0.0
    >>> rule.excess_ms(queue_ms=700.0, target_s=0.8, rank=1)
    300.0
    """

    shares: tuple[float, ...] = (0.7, 0.5, 0.35)

    def excess_ms(self, queue_ms: float, target_s: float, rank: int) -> float:
        """Return by how much the shortest queue is too long for a request; 0 lets it in.

        Parameters
        ----------
        target_s : float
            The shortest target of the pool's routes.
        rank : int
            0 for the most urgent priority of the pool's routes; rises as urgency falls.
        """
        if not self.shares:
            return 0.0
        share = self.shares[min(rank, len(self.shares) - 1)]
        return max(0.0, queue_ms - share * target_s * 1_000)
