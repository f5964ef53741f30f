# SPDX-License-Identifier: BSD-3-Clause
"""Decides whether a pool admits a request, by its urgency and the queues of the pool."""

from turnward.admission import AdmissionRule
from turnward.gateway.choice import EndpointBook, EndpointChoice
from turnward.gateway.state import FleetState

__all__ = ["PoolAdmission"]


class PoolAdmission:
    """Applies the admission rule to the known queues and targets of a pool.

    Parameters
    ----------
    rule : AdmissionRule
        Longest queues at which requests are admitted.
    state : FleetState
        The configuration: targets and priorities of routes.
    endpoints : EndpointBook
        The endpoints and their queues.
    """

    def __init__(self, rule: AdmissionRule, state: FleetState, endpoints: EndpointBook):
        self._rule = rule
        self._state = state
        self._endpoints = endpoints

    def excess_s(self, pool: str, priority: int, choice: EndpointChoice) -> float:
        """Return by how much every queue of a pool exceeds a request's bound; 0 admits it.

        Other endpoints are checked only if the queue of the chosen one is too long.
        """
        if not self._excess_ms(pool, priority, choice.queue_ms):
            return 0.0
        shortest_ms = self._endpoints.shortest_queue_ms(pool)
        return self._excess_ms(pool, priority, shortest_ms) / 1_000

    def _excess_ms(self, pool: str, priority: int, queue_ms: float) -> float:
        routes = self._state.routes
        target_s = routes.targets_s.get(pool, 0.0)
        rank = max(0, priority - routes.most_urgent_priorities.get(pool, 0))
        return self._rule.excess_ms(queue_ms, target_s, rank) if target_s else 0.0
