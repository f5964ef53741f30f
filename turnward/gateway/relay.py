# SPDX-License-Identifier: BSD-3-Clause
"""Relays requests to peers while this router reaches no endpoint of their pool.

The peer runs the request as its own: route, key, tokens, quarantine, admission and attempts are its
decisions, and it alone charges the workspace. This router holds no tokens meanwhile and passes the
response on. A relayed request is never relayed again.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from functools import partial

from turnward.gateway.configuration import Route
from turnward.gateway.outcomes import NOT_RUN_STATUSES, SHARED_OUT_REASONS, Outcome, Reason
from turnward.gateway.peer_book import PeerBook
from turnward.gateway.pool_links import PoolLinks
from turnward.gateway.relay_attempt import MAX_IDLE_S, RelayAttempt, RelayRefusal
from turnward.gateway.relay_note import RelayNote, RelayNoteError
from turnward.gateway.relay_peers import RelayPeers
from turnward.http1 import ExchangeFailure, FailureCause, InboundRequest, OutboundPool
from turnward.link_use import LinkUse

__all__ = ["Relay", "RelayServer"]

#: Timeout of connections to peers, and to those known as paths: if one of these takes long to
#: open, the peer is alive and this router's own link is busy.
_CONNECT_TIMEOUT_S = 0.3
_KNOWN_CONNECT_TIMEOUT_S = 1.0
#: Peers tried for one request.
_MAX_PEERS_TRIED = 3
#: Endpoints that can't be reached after which a request is relayed, if none was in between.
_UNREACHED_TO_RELAY = 2
#: Time spent on a single endpoint after which a request is relayed, if none responded meanwhile.
_SLOW_CONNECT_S = 0.25
#: Time between two requests that must not run twice and probe an unresponsive pool nevertheless. It
#: bounds how late the recovery of a pool that gets no others is noticed.
_PROBE_INTERVAL_S = 2.5
#: The same for requests that may run twice, while endpoints lose requests and none responds.
_REPEATABLE_PROBE_INTERVAL_S = 0.5
#: Relayed requests that one router runs at a time, so that a peer can't use up its memory.
_MAX_RELAYED = 256
#: Relayed requests that peers may turn away in a window before no more are relayed for shares.
#: While most callers come to one router, the shares of its peers are free.
_MAX_TURNED_AWAY = 4
_SHARES_WINDOW_S = 1.0
#: Causes of a relay that tell of this router's links, rather than of its share of a pool.
_UNREACHED_CAUSES = frozenset(("lost", "link_busy", "links_lost", "unreached", "unresponsive"))
#: Refusals that concern the peer alone; another one may serve the request.
_REASONS_OF_THE_PEER = frozenset(
    (
        *SHARED_OUT_REASONS,
        Reason.BUDGET_UNREACHABLE,
        Reason.ENDPOINTS_UNRESPONSIVE,
        Reason.NO_CONFIGURATION,
        Reason.NO_ENDPOINT,
        Reason.RELAYS_FULL,
        Reason.STALE_CONFIGURATION,
        Reason.STOPPING,
    )
)


#: Refusals after which a peer does not serve a pool for some time.
_REASONS_OF_NO_PATH = frozenset(
    (
        Reason.ENDPOINTS_UNRESPONSIVE,
        Reason.NO_CONFIGURATION,
        Reason.RELAYS_FULL,
        Reason.STALE_CONFIGURATION,
        Reason.STOPPING,
    )
)


class Relay:
    """The requests that this router relays.

    Parameters
    ----------
    reactor
        Twisted's reactor.
    book : PeerBook
        The known peers.
    zone : str
        This router's availability zone.
    links : PoolLinks
        Tells which pools this router reaches.
    rng : random.Random
        Decides between equal peers.
    metrics, log
        Where relayed requests are recorded.
    on_error : callable
        Called with an exception raised while a response is processed.

    Attributes
    ----------
    peers : RelayPeers
        Chooses the peers.
    """

    def __init__(
        self,
        reactor,
        book: PeerBook,
        zone: str,
        links: PoolLinks,
        rng: random.Random,
        metrics,
        log,
        on_error: Callable[[Exception], None],
    ):
        self._reactor = reactor
        self._own_address = book.own_address
        self._links = links
        self._metrics = metrics
        self._log = log
        self._on_error = on_error
        self._pools: dict[str, OutboundPool] = {}
        #: What relayed requests and their responses use of the link.
        self.link_use = LinkUse()
        #: When peers have turned requests away, by pool.
        self._turned_away_s: dict[str, deque[float]] = {}
        #: When a request that must not run twice may next probe each pool.
        self._next_probe_s: dict[str, float] = {}
        self.peers = RelayPeers(book, zone, reactor.seconds, rng)
        self.peers.has_open_connection = self._has_open_connection
        #: Returns the time that connections get in addition to open, in seconds.
        self.added_timeout_s: Callable[[], float] = lambda: 0.0
        #: Returns whether packets wait at this router's own link.
        self.link_is_busy: Callable[[], bool] = lambda: False

    # Decisions.

    def take_over(self, request) -> bool:
        """Relay or refuse a request whose pool can't be reached; return False otherwise."""
        if self.may_repeat(request) and self._begin(request, "lost"):
            return True
        if not self._links.is_lost(request.pool):
            return request.tokens_left_to_peer and self._begin(request, "link_busy")
        if self._begin(request, "links_lost"):
            return True
        # An attempt costs nothing while connections are refused at once.
        if not request.relayed_by and not self._links.is_silent(request.pool):
            return False
        request.give_up_unreached()
        return True

    def spare_from_probing(self, request) -> bool:
        """Relay a request rather than probe a pool with it that does not respond here.

        Now and then one does probe, since a pool may get no others; the first one does not.
        """
        pool = request.pool
        if request.must_run_once:
            spared = pool in request.forwarder.endpoints.unresponsive_pools()
            interval_s = _PROBE_INTERVAL_S
        else:
            spared = self._links.in_doubt(pool)
            interval_s = _REPEATABLE_PROBE_INTERVAL_S
        if not spared:
            return False
        now_s = self._reactor.seconds()
        overdue_s = now_s - self._next_probe_s.get(pool, -math.inf)
        if overdue_s >= 0:
            self._next_probe_s[pool] = now_s + interval_s
        if 0 <= overdue_s < interval_s:
            return False
        return self._begin(request, "unresponsive")

    def take_over_unserved(self, request) -> bool:
        """Relay a request that no endpoint accepts, if one may accept it from a peer."""
        if request.pool_unresponsive:
            return self._begin(request, "unresponsive")
        if request.pool_withheld:
            return self._begin(request, "brittle")
        if not request.pool_share_used or not self._may_ask_for_shares(request.pool):
            return False
        return self._begin(request, "share_used")

    def _may_ask_for_shares(self, pool: str) -> bool:
        """Return whether peers have turned few requests for a pool away lately."""
        times_s = self._turned_away_s.get(pool, ())
        since_s = self._reactor.seconds() - _SHARES_WINDOW_S
        return sum(at_s > since_s for at_s in times_s) < _MAX_TURNED_AWAY

    def take_over_unreached(self, request) -> bool:
        """Relay a request that could not be sent, if this router's links are the likely cause."""
        if self._links.opened_since(request.pool, request.first_attempt_s):
            return False
        waited_s = self._reactor.seconds() - request.first_attempt_s
        silent = not self._links.responded_since(request.pool, request.first_attempt_s)
        slow = waited_s >= _SLOW_CONNECT_S and silent
        return (slow or request.endpoints_tried >= _UNREACHED_TO_RELAY) and self._begin(
            request, "unreached"
        )

    def has_path_around(self, pool: str) -> bool:
        """Return whether a peer seems to reach a pool that this router can't reach."""
        return self._links.is_lost(pool) and self.peers.has_path(pool)

    def has_path_around_all(self, route: Route) -> bool:
        """Return whether a peer seems to reach each pool of a route, and this router none."""
        return all(self.has_path_around(weighted.pool) for weighted in route.pools)

    def may_spare_borrowing(self, route: Route) -> bool:
        """Return whether peers should get tokens for a route, as this router's own link is busy.

        A request then crosses the link once, instead of waiting for a loan and for an endpoint.
        """
        return self.link_is_busy() and all(
            self.peers.has_path(weighted.pool) for weighted in route.pools
        )

    def may_repeat(self, request) -> bool:
        """Return whether a peer is the better choice to repeat a request that was lost here.

        Links that accept connections and then reset them look like endpoints that end.
        """
        lost_alone = request.lost_here and not self._links.responded_since(
            request.pool, request.first_attempt_s
        )
        return lost_alone and request.relayable and self.peers.has_path(request.pool)

    def _begin(self, request, cause: str) -> bool:
        if not request.relayable or len(request.peers_tried) >= _MAX_PEERS_TRIED:
            return False
        known_first = cause in _UNREACHED_CAUSES or self._is_in_trouble(request)
        address = self.peers.choose(
            request.pool, request.peers_tried, request.bound_version, known_first
        )
        if address is None:
            return False
        request.peers_tried.add(address)
        note = RelayNote(self._own_address, request.attempts, request.bound_version)
        attempt = RelayAttempt(request, self, address, note)
        self._metrics.requests_relayed.labels(request.pool, "sent").inc()
        self._log.event(
            "request.relayed",
            request=request.request_id.decode("latin-1"),
            pool=request.pool,
            peer=address,
            cause=cause,
            attempts=request.attempts,
            peers_tried=len(request.peers_tried),
            left_ms=request.left_ms,
        )
        is_known = self.peers.is_known(address, request.pool)
        timeout_s = _KNOWN_CONNECT_TIMEOUT_S if is_known else _CONNECT_TIMEOUT_S
        timeout_s += self.added_timeout_s()
        request.begin_relay(attempt, partial(attempt.start, self._pool_of(address), timeout_s))
        return True

    def _is_in_trouble(self, request) -> bool:
        """Return whether this router itself may not reach the pool, whatever its share of it."""
        pool = request.pool
        return self._links.is_lost(pool) or self._links.in_doubt(pool) or request.pool_unresponsive

    def _has_open_connection(self, address: str) -> bool:
        pool = self._pools.get(address)
        return pool is not None and pool.has_idle(MAX_IDLE_S)

    def _pool_of(self, address: str) -> OutboundPool:
        pool = self._pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = OutboundPool(
                self._reactor,
                (host, int(port)),
                _CONNECT_TIMEOUT_S,
                self._on_error,
                link_use=self.link_use,
            )
            self._pools[address] = pool
        pool.trim(self._reactor.seconds())
        return pool

    # Results.

    def served(self, request, attempt: RelayAttempt) -> None:
        """Record that an endpoint has responded through a peer."""
        self.peers.note_path(attempt.address, request.pool)

    def refused(self, request, attempt: RelayAttempt, refusal: RelayRefusal) -> None:
        """Handle a response of the peer's own."""
        if not refusal.not_run and not _may_pass_on(refusal):
            self._unreported(request, attempt)
            return
        if refusal.reason in _REASONS_OF_NO_PATH:
            self.peers.note_unreached(attempt.address, request.pool)
        if not refusal.not_run or refusal.reason not in _REASONS_OF_THE_PEER:
            self._metrics.requests_relayed.labels(request.pool, "refused").inc()
            request.answer_for_peer(attempt, refusal, outcome_of(refusal.status))
            return
        self._note_turned_away(request.pool)
        self._metrics.requests_relayed.labels(request.pool, "turned_away").inc()
        request.end_relay(attempt, "not_run", status=refusal.status, reason=refusal.reason)
        self._try_another(request)

    def _unreported(self, request, attempt: RelayAttempt) -> None:
        """Handle a response that does not tell whether the request has run."""
        self.peers.note_tells_nothing(attempt.address)
        self._metrics.requests_relayed.labels(request.pool, "lost").inc()
        failure = ExchangeFailure(
            FailureCause.MALFORMED, sent=True, answered=True, reused=attempt.reused
        )
        request.relay_lost(attempt, failure)

    def _note_turned_away(self, pool: str) -> None:
        times_s = self._turned_away_s.setdefault(pool, deque(maxlen=_MAX_TURNED_AWAY))
        times_s.append(self._reactor.seconds())

    def lost(self, request, attempt: RelayAttempt, failure: ExchangeFailure) -> None:
        """Handle the loss of a response; what was sent to the peer may have run."""
        if not failure.answered:
            since_s = self._reactor.seconds() if failure.sent else attempt.started_s
            self.peers.note_unreachable(attempt.address, since_s)
        self._metrics.requests_relayed.labels(request.pool, "lost").inc()
        if failure.sent:
            request.relay_lost(attempt, failure)
            return
        request.end_relay(
            attempt, "unreachable", cause=failure.cause, connect_error=failure.connect_error
        )
        self._try_another(request)

    def _try_another(self, request) -> None:
        if self._begin(request, "peer_refused"):
            return
        if self._links.is_lost(request.pool):
            request.give_up_unreached()
        else:
            request.return_to_endpoints()


def _may_pass_on(refusal: RelayRefusal) -> bool:
    """Return whether the caller may get the response to a request that may have run."""
    return refusal.report is not None and refusal.status not in NOT_RUN_STATUSES


def outcome_of(status: int) -> Outcome:
    """Return how a request ended that a peer answered with a status of its own."""
    if status == 504:
        return Outcome.TIME_LIMIT
    return Outcome.UNKNOWN if status >= 500 and status not in NOT_RUN_STATUSES else Outcome.REFUSED


class RelayServer:
    """Runs the requests that peers relay to this router.

    Parameters
    ----------
    handle : callable
        Starts a request, with the note that came with it.
    log
        Where malformed requests are recorded.
    """

    def __init__(self, handle: Callable[[InboundRequest, RelayNote], None], log):
        self._handle = handle
        self._log = log

    def serve(self, request: InboundRequest) -> None:
        """Start a relayed request."""
        try:
            note = RelayNote.take_from(request)
        except RelayNoteError as failure:
            self._log.failure("relay.malformed", cause=str(failure))
            request.answer(400, [])
            return
        self._handle(request, note)

    @staticmethod
    def is_full(relayed_requests: int) -> bool:
        """Return whether no further relayed request is run now."""
        return relayed_requests >= _MAX_RELAYED
