# SPDX-License-Identifier: BSD-3-Clause
"""When endpoints have crashed, at any router, and which of these crashes were the network's."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Set as AbstractSet

__all__ = ["CrashLog"]

#: Crashes that are further apart have no common cause in the network.
_AT_ONCE_S = 0.5
#: Time in which no crashed endpoint has restarted. A later response may come from its next process,
#: of which the entry does not tell yet.
_RESTART_S = 1.5
_MAX_CRASHES = 256


class CrashLog:
    """The latest crash of each endpoint.

    Parameters
    ----------
    may_be_network : callable
        Returns whether some incarnations are so many that the network is the likelier cause, if all
        of them lose their connections at once.

    Examples
    --------
    >>> log = CrashLog(lambda endpoints: len(endpoints) >= 3)
    >>> [sorted(log.note(f"engine-{number}", 0.04 * number)) for number in range(3)]
    [[], [], ['engine-0', 'engine-1', 'engine-2']]
    >>> log.is_network("engine-0", 0.0), log.is_network("engine-0", 9.0)
    (True, False)
    """

    def __init__(self, may_be_network: Callable[[AbstractSet[str]], bool]):
        self._may_be_network = may_be_network
        self._crashed_s: OrderedDict[str, float] = OrderedDict()
        #: When the network was the cause, by incarnation.
        self._network_s: OrderedDict[str, float] = OrderedDict()

    def note(self, endpoint: str, crashed_s: float) -> set[str]:
        """Record a crash; return the endpoints whose crashes the network has caused, if so."""
        self._crashed_s[endpoint] = max(crashed_s, self._crashed_s.get(endpoint, crashed_s))
        _limit(self._crashed_s)
        at_once = {
            other
            for other, other_s in self._crashed_s.items()
            if abs(other_s - crashed_s) <= _AT_ONCE_S
        }
        if not self._may_be_network(at_once):
            return set()
        for other in at_once:
            self._network_s[other] = self._crashed_s[other]
        _limit(self._network_s)
        return at_once

    def is_network(self, endpoint: str, crashed_s: float) -> bool:
        """Return whether the network is the likelier cause of a crash."""
        network_s = self._network_s.get(endpoint)
        return network_s is not None and crashed_s <= network_s + _AT_ONCE_S

    def has_survived(self, endpoint: str, sent_s: float) -> bool:
        """Return whether a response to a request shows that an endpoint has not crashed."""
        crashed_s = self._crashed_s.get(endpoint)
        if crashed_s is None or not crashed_s < sent_s < crashed_s + _RESTART_S:
            return False
        del self._crashed_s[endpoint]
        return True


def _limit(by_endpoint: OrderedDict[str, float]) -> None:
    while len(by_endpoint) > _MAX_CRASHES:
        by_endpoint.popitem(last=False)
