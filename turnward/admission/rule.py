# SPDX-License-Identifier: BSD-3-Clause
"""Refuses requests that would wait too long, so that admitted requests are served in time.

When a pool is overloaded, the queues at its endpoints grow until every request in them misses its
target, and late requests still take up capacity. A request is therefore admitted only while some
endpoint's queue is shorter than a bound, and refused at once otherwise. Less urgent requests have a
lower bound, which leaves room for urgent ones. The bound applies to the queue alone, not to the
time that the request's own prompt takes.
"""

import msgspec

__all__ = ["AdmissionRule"]


class AdmissionRule(msgspec.Struct, frozen=True, kw_only=True):
    """Longest queues at which requests are admitted.

    Attributes
    ----------
    shares : tuple of float
        Share of a pool's target that the queue may take, by rank; the last one applies to all
        lower ranks. An empty tuple admits every request. Values below 1 allow for queue lengths
        being up to 0.25 s old and all routers admitting requests on them at the same time.

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
        """Return by how much the shortest queue exceeds a request's bound; 0 admits the request.

        Parameters
        ----------
        queue_ms : float
            Time that the shortest queue of the pool takes to process.
        target_s : float
            The shortest target of the pool's routes.
        rank : int
            0 for the most urgent priority of the pool's routes; higher ranks are less urgent.
        """
        if not self.shares:
            return 0.0
        share = self.shares[min(rank, len(self.shares) - 1)]
        return max(0.0, queue_ms - share * target_s * 1_000)
